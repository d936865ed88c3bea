package forecast_test

import (
	"slices"
	"time"

	"berylward.example/berylward/internal/forecast"
	"berylward.example/berylward/internal/route"
)

// simRequest is a request at a simulated engine, or a part of a prompt for another engine, which has no output.
type simRequest struct {
	prompt, output, parts float64
	left, written         float64 // prompt tokens to prefill, tokens generated
	ready                 float64 // when the parts at other engines are prefilled
	first, end            float64
	events                []float64
}

// context returns the tokens that each step reads for the request.
func (r *simRequest) context() float64 { return r.prompt/r.parts + r.written }

// simEngine executes iterations one by one. It is the reference for the predictions, which only know sums of the load.
type simEngine struct {
	e              *route.Engine
	now, slowness  float64
	slots, waiting []*simRequest // in the order of arrival
	parts          []*simRequest
	longest        float64 // longest iteration, without those before a call of reset
	preempted      int
}

func (s *simEngine) used() float64 {
	used := 0.0
	for _, r := range s.slots {
		used += r.context()
	}
	return used
}

func (s *simEngine) admit() {
	for len(s.waiting) > 0 && len(s.slots) < s.e.Slots && s.used()+s.waiting[0].context() <= float64(s.e.KVCacheTokens) {
		s.slots, s.waiting = append(s.slots, s.waiting[0]), s.waiting[1:]
	}
}

// preempt returns the newest requests to the queue while the engine has too little memory.
func (s *simEngine) preempt() {
	for len(s.slots) > 1 && s.used() > float64(s.e.KVCacheTokens) {
		r := s.slots[len(s.slots)-1]
		r.left = r.prompt + r.written
		s.slots, s.waiting = s.slots[:len(s.slots)-1], append([]*simRequest{r}, s.waiting...)
		s.preempted++
	}
}

// iterate executes one iteration and returns its duration.
func (s *simEngine) iterate() float64 {
	s.preempt()
	s.admit()
	steps := 1.0
	var generating, joint, other []*simRequest
	for _, r := range s.slots {
		if r.parts > 1 {
			joint = append(joint, r)
		} else {
			other = append(other, r)
		}
		if r.left == 0 && r.written > 0 {
			steps = float64(s.e.StepsPerIteration)
			generating = append(generating, r)
		}
	}
	took := steps * s.e.StepTime.Seconds()
	for _, r := range generating {
		n := min(steps, r.output-r.written)
		took += n * (s.e.StepTimePerSequence.Seconds() + (r.context()+(n-1)/2)/1000*s.e.StepTimePer1000Context.Seconds())
		if r.parts > 1 {
			took += n * s.e.HelperStepTime.Seconds()
		}
		r.written += n
	}
	budget := float64(s.e.PrefillChunk) * steps
	all := slices.Concat(s.parts, joint, other)
	for _, r := range all {
		if n := min(r.left, budget); n > 0 {
			// Each part of a prompt has an equal share of all pairs.
			earlier := (r.prompt/r.parts - r.left) * r.parts
			took += n/s.e.PrefillRate + n*(earlier+n*r.parts/2)/1e6*s.e.PrefillTimePerMillionPairs.Seconds()
			budget -= n
			if r.left -= n; r.left < 0.5 {
				r.left = 0
			}
		}
	}
	took *= s.slowness
	s.now += took
	s.longest = max(s.longest, took)
	for _, r := range all {
		if r.left > 0 || s.now < r.ready {
			continue
		}
		r.written = max(r.written, 1)
		if r.first == 0 {
			r.first = s.now
		}
		r.events = append(r.events, s.now)
		if r.written >= r.output {
			r.end = s.now
		}
	}
	s.slots, s.parts = dropEnded(s.slots), dropEnded(s.parts)
	return took
}

func dropEnded(list []*simRequest) []*simRequest {
	var kept []*simRequest
	for _, r := range list {
		if r.end == 0 {
			kept = append(kept, r)
		}
	}
	return kept
}

// run executes iterations until a request has ended.
func (s *simEngine) run(r *simRequest) {
	for r.end == 0 {
		s.iterate()
	}
}

// load returns what gateways know of the engine: sums.
func (s *simEngine) load() forecast.Load {
	l := forecast.Load{Slowness: s.slowness}
	for _, r := range slices.Concat(s.slots, s.waiting, s.parts) {
		l.PrefillTokens += int64(r.left)
		done := r.prompt - r.left*r.parts
		l.PrefillTime += time.Duration((float64(s.e.PrefillTime(int64(r.prompt))) - float64(s.e.PrefillTime(int64(done)))) / r.parts)
	}
	for _, r := range s.slots {
		l.OutputLeft += int64(r.output - r.written)
		if r.left > 0 {
			l.Prefilling++
			continue
		}
		l.Generating++
		l.Context += int64(r.context())
		if r.parts > 1 {
			l.Joint++
		}
	}
	l.Waiting = len(s.waiting)
	return l
}

// generating returns requests that generate, whose remaining output is spread evenly up to an answer.
func generating(n int, prompt, answer float64) []*simRequest {
	var list []*simRequest
	for i := range n {
		left := float64(int(answer * float64(i+1) / float64(n)))
		list = append(list, &simRequest{prompt: prompt, output: answer, parts: 1, written: answer - left + 1, first: -1})
	}
	return list
}

func prompts(n int, prompt, answer float64) []*simRequest {
	var list []*simRequest
	for range n {
		list = append(list, &simRequest{prompt: prompt, output: answer, parts: 1, left: prompt})
	}
	return list
}
