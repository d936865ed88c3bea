package forecast_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/forecast"
	"berylward.example/berylward/internal/route"
)

// engines are the engines of both deployments of docs/contention.md.
var engines = map[string]*route.Engine{
	"khökh tamga": {
		Slots: 12, KVCacheTokens: 344_250, StepsPerIteration: 38, StepTime: 1310 * time.Microsecond, StepTimePerSequence: 917 * time.Nanosecond,
		StepTimePer1000Context: 2130 * time.Nanosecond, PrefillRate: 154_000, PrefillTimePerMillionPairs: 162 * time.Microsecond,
		PrefillChunk: 2048, HelperStepTime: 50 * time.Microsecond, UsualAnswer: 600,
	},
	"brescia": {
		Slots: 12, KVCacheTokens: 232_000, StepsPerIteration: 48, StepTime: 1020 * time.Microsecond, StepTimePerSequence: 2260 * time.Nanosecond,
		StepTimePer1000Context: 4310 * time.Nanosecond, PrefillRate: 206_000, PrefillTimePerMillionPairs: 138 * time.Microsecond,
		PrefillChunk: 2048, HelperStepTime: 50 * time.Microsecond, UsualAnswer: 600,
	},
}

// answer is the length of each answer in the tests.
const answer = 600

// simLoad is the load of an engine when one more request arrives.
type simLoad struct {
	generating int
	context    float64
	prefilling float64 // length of one prompt that is prefilled
	waiting    int
	prompt     float64 // length of the waiting prompts
	slowness   float64
	newPrompt  int64
}

func (l simLoad) engine(e *route.Engine) *simEngine {
	s := &simEngine{e: e, slowness: max(l.slowness, 1), slots: generating(l.generating, l.context, answer)}
	if l.prefilling > 0 {
		s.slots = append(s.slots, prompts(1, l.prefilling, answer)...)
	}
	s.waiting = prompts(l.waiting, l.prompt, answer)
	return s
}

var loads = map[string]simLoad{
	"idle":                               {newPrompt: 4_960},
	"idle, long prompt":                  {newPrompt: 260_000 / 2},
	"few writers":                        {generating: 3, context: 5_000, newPrompt: 4_960},
	"few writers, slow":                  {generating: 3, context: 5_000, newPrompt: 4_960, slowness: 4},
	"few writers, long prompt":           {generating: 3, context: 5_000, newPrompt: 150_000},
	"one slot free":                      {generating: 11, context: 5_000, newPrompt: 4_960},
	"all slots taken":                    {generating: 12, context: 5_000, newPrompt: 4_960},
	"queue":                              {generating: 12, context: 5_000, waiting: 8, prompt: 4_960, newPrompt: 4_960},
	"queue of three rounds":              {generating: 12, context: 5_000, waiting: 30, prompt: 4_960, newPrompt: 4_960},
	"queue, slow":                        {generating: 12, context: 5_000, waiting: 8, prompt: 4_960, newPrompt: 4_960, slowness: 3},
	"long prefill beside writers":        {generating: 4, context: 5_000, prefilling: 150_000, newPrompt: 4_960},
	"long prefill alone":                 {prefilling: 150_000, newPrompt: 4_960},
	"long prefill, long prompt":          {generating: 2, context: 5_000, prefilling: 100_000, newPrompt: 45_000},
	"one long writer":                    {generating: 1, context: 120_000, newPrompt: 4_960},
	"no memory until an answer ends":     {generating: 3, context: 60_000, newPrompt: 160_000},
	"many prompts at once, slots enough": {generating: 2, context: 5_000, waiting: 6, prompt: 20_000, newPrompt: 4_960},
}

// randomLoads adds loads with up to a full engine and a queue to the named ones.
func randomLoads(n int) map[string]simLoad {
	random := rand.New(rand.NewPCG(1, 2))
	all := maps.Clone(loads)
	for i := range n {
		l := simLoad{
			generating: random.IntN(13), context: 2_000 + 10_000*random.Float64(), prompt: 2_000 + 8_000*random.Float64(),
			newPrompt: 2_000 + random.Int64N(8_000),
		}
		switch {
		case l.generating == 12:
			l.waiting = random.IntN(30)
		case random.IntN(3) == 0:
			l.prefilling = 2_000 + 100_000*random.Float64()
		}
		if random.IntN(5) == 0 {
			l.newPrompt = 20_000 + random.Int64N(80_000)
		}
		all[fmt.Sprint("random ", i)] = l
	}
	return all
}

// arrivals are the moments within an iteration at which the new request arrives.
var arrivals = []float64{0.02, 0.25, 0.5, 0.75, 0.98}

// place runs an engine until its first iteration, during which the new request arrives, and returns when it arrives.
func place(s *simEngine, r *simRequest, phase float64) float64 {
	idle := len(s.slots)+len(s.waiting)+len(s.parts) == 0
	if idle {
		s.waiting = append(s.waiting, r)
		return 0
	}
	s.admit()
	arrived := phase * s.iterate()
	s.waiting = append(s.waiting, r)
	return arrived
}

// Guards against predictions that the iterations of an engine contradict by more than the one iteration at a time of which nobody
// outside of the engine knows the beginning.
func TestPredict(t *testing.T) {
	for engine, e := range engines {
		for name, load := range randomLoads(200) {
			for _, phase := range arrivals {
				t.Run(fmt.Sprint(engine, "/", name, "/", phase), func(t *testing.T) {
					s := load.engine(e)
					s.admit()
					known := s.load()
					p := forecast.Predict(forecast.NewEngine(e), known, forecast.Request{Prompt: load.newPrompt, Output: answer})
					r := prompts(1, float64(load.newPrompt), answer)[0]
					arrived := place(s, r, phase)
					s.run(r)
					assert.Check(t, p.Preempted == (s.preempted > 0), "preempted %d times", s.preempted)
					checkTimes(t, p, r, arrived, s.longest)
				})
			}
		}
	}
}

// checkTimes checks the predicted first event and end of a request that arrived at a time, with a bound in seconds.
func checkTimes(t *testing.T, p forecast.Prediction, r *simRequest, arrived, bound float64) {
	t.Helper()
	assert.Check(t, within(p.First, r.first-arrived, bound), "first event after %.3f s, predicted %v, iteration %.3f s", r.first-arrived, p.First, bound)
	assert.Check(t, within(p.End, r.end-arrived, bound), "end after %.3f s, predicted %v, iteration %.3f s", r.end-arrived, p.End, bound)
}

func within(predicted time.Duration, measured, bound float64) bool {
	return math.Abs(predicted.Seconds()-measured) <= bound
}

// Guards against a request that is said to end in time although its engine will preempt it for lack of memory, and against one that
// is said to be preempted although the answers of others end before.
func TestPreemption(t *testing.T) {
	// free is the memory in tokens that is free beside the prompt when it arrives. Three answers end 200 token steps apart.
	cases := map[string]struct {
		free      float64
		preempted bool
	}{
		"full before an answer ends":     {400, true},
		"fits until its end":             {3_000, false},
		"no memory until an answer ends": {-5_000, false},
	}
	for engine, e := range engines {
		for name, tc := range cases {
			t.Run(engine+"/"+name, func(t *testing.T) {
				s := simLoad{generating: 3, context: 50_000}.engine(e)
				r := prompts(1, float64(e.KVCacheTokens)-s.used()-tc.free, answer)[0]
				p := forecast.Predict(forecast.NewEngine(e), s.load(), forecast.Request{Prompt: int64(r.prompt), Output: answer})
				arrived := place(s, r, 0.5)
				s.run(r)
				assert.Equal(t, s.preempted > 0, tc.preempted)
				assert.Equal(t, p.Preempted, tc.preempted)
				checkTimes(t, p, r, arrived, s.longest)
			})
		}
	}
}

// Guards against a prompt that is sent where it makes the pauses of others too long, or them too late, without the planner knowing.
// The bound is an iteration without prefill for the pause, because the prefill of a prompt may be cut between iterations at any
// place, and the longest iteration for the delay.
func TestEffectOnOthers(t *testing.T) {
	for engine, e := range engines {
		for name, load := range loads {
			if load.generating == 0 {
				continue
			}
			t.Run(engine+"/"+name, func(t *testing.T) {
				without, with := load.engine(e), load.engine(e)
				with.admit()
				p := forecast.Predict(forecast.NewEngine(e), with.load(), forecast.Request{Prompt: load.newPrompt, Output: answer})
				others, delayed := append([]*simRequest{}, without.slots...), append([]*simRequest{}, with.slots...)
				r := prompts(1, float64(load.newPrompt), answer)[0]
				place(with, r, 0.5)
				with.run(r)
				for i := range others {
					without.run(others[i])
					with.run(delayed[i])
				}
				step := float64(e.StepsPerIteration) * e.StepTime.Seconds() * max(load.slowness, 1)
				for i := range load.generating {
					// They have sent an event when the new request is placed.
					others[i].events, delayed[i].events = append([]float64{0}, others[i].events...), append([]float64{0}, delayed[i].events...)
				}
				addedGap := longestGap(delayed) - longestGap(others)
				addedDelay := 0.0
				for i := range others {
					addedDelay = max(addedDelay, delayed[i].end-others[i].end)
				}
				assert.Check(t, within(p.AddedGap, addedGap, step), "pause longer by %.3f s, predicted %v", addedGap, p.AddedGap)
				assert.Check(t, within(p.AddedDelay, addedDelay, with.longest), "later by %.3f s, predicted %v", addedDelay, p.AddedDelay)
				// The contexts of all requests grow by at most an answer while the new one generates, and one of the others may end
				// when it begins.
				tokens := float64(e.Slots*answer) + load.context + answer
				grown := float64(e.StepsPerIteration) * (tokens/1000*e.StepTimePer1000Context.Seconds() + e.StepTimePerSequence.Seconds()) * max(load.slowness, 1)
				assert.Check(t, within(p.Gap, longestGap([]*simRequest{r}), grown), "pause %.3f s, predicted %v", longestGap([]*simRequest{r}), p.Gap)
			})
		}
	}
}

// longestGap returns the longest pause between two events of a request, in seconds.
func longestGap(requests []*simRequest) float64 {
	longest := 0.0
	for _, r := range requests {
		for i := 1; i < len(r.events); i++ {
			longest = max(longest, r.events[i]-r.events[i-1])
		}
	}
	return longest
}

// Guards against a prompt in parts that is expected before the slowest of its engines has prefilled its part, or after prefills that
// its parts go before.
func TestJointPrefill(t *testing.T) {
	cases := map[string][]simLoad{
		"idle engines":                   {{}, {}, {}, {}},
		"writers everywhere":             {{generating: 3, context: 5_000}, {generating: 2, context: 5_000}, {generating: 5, context: 5_000}, {generating: 1, context: 5_000}},
		"a long prefill at a helper":     {{generating: 3, context: 5_000}, {generating: 2, context: 5_000, prefilling: 150_000}, {}, {}},
		"a long prefill at the first":    {{generating: 3, context: 5_000, prefilling: 150_000}, {generating: 2, context: 5_000}, {}, {}},
		"a slow helper":                  {{generating: 3, context: 5_000}, {generating: 3, context: 5_000, slowness: 4}, {}, {}},
		"first engine has no free slot":  {{generating: 12, context: 5_000}, {generating: 2, context: 5_000}, {}, {}},
		"two engines, no writers at all": {{prefilling: 60_000}, {prefilling: 60_000}},
	}
	for engine, e := range engines {
		for name, tc := range cases {
			for _, phase := range arrivals {
				t.Run(fmt.Sprint(engine, "/", name, "/", phase), func(t *testing.T) {
					const prompt = 260_000
					f, request := forecast.NewEngine(e), forecast.Request{Prompt: prompt, Output: answer, Helpers: len(tc) - 1}
					parts := float64(len(tc))
					var partDone time.Duration
					ready, longest := 0.0, 0.0
					for _, load := range tc[1:] {
						s := load.engine(e)
						s.admit()
						partDone = max(partDone, forecast.PredictPart(f, s.load(), request).First)
						part := &simRequest{prompt: prompt, parts: parts, left: prompt / parts}
						arrived := 0.0
						if len(s.slots) > 0 {
							arrived = phase * s.iterate()
						}
						s.parts = append(s.parts, part)
						s.run(part)
						ready, longest = max(ready, part.end-arrived), max(longest, s.longest)
					}
					s := tc[0].engine(e)
					s.admit()
					p := forecast.Predict(f, s.load(), request).Await(partDone)
					r := &simRequest{prompt: prompt, parts: parts, left: prompt / parts, output: answer}
					arrived := place(s, r, phase)
					r.ready = arrived + ready
					s.run(r)
					longest = max(longest, s.longest)
					checkTimes(t, p, r, arrived, longest)
				})
			}
		}
	}
}

// Guards against sums of reports from which another state of the engine is concluded than gateways had in mind.
func TestEstimate(t *testing.T) {
	e := engines["khökh tamga"]
	short := e.PrefillTime(4_960)
	cases := map[string]struct {
		sums forecast.Sums
		want forecast.Load
	}{
		"idle":             {forecast.Sums{}, forecast.Load{}},
		"parts only":       {forecast.Sums{Prefill: time.Second}, forecast.Load{PrefillTime: time.Second}},
		"writers":          {forecast.Sums{Requests: 3, Memory: 3 * 5_560}, forecast.Load{Generating: 3, Context: 3 * 5_260, OutputLeft: 900}},
		"a prompt arrived": {forecast.Sums{Requests: 3, Memory: 3 * 5_560, Prefill: short}, forecast.Load{Generating: 2, Prefilling: 1, PrefillTime: short, PrefillTokens: 4_960, Context: 2 * 5_260, OutputLeft: 1_200}},
		"queue":            {forecast.Sums{Requests: 20, Memory: 20 * 5_560, Prefill: 8 * short}, forecast.Load{Generating: 12, Waiting: 8, PrefillTime: 8 * short, PrefillTokens: 8 * 4_960, Context: 12 * 5_260, OutputLeft: 3_600}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			got := forecast.Estimate(forecast.NewEngine(e), tc.sums)
			assert.Check(t, math.Abs(float64(got.PrefillTokens-tc.want.PrefillTokens)) <= 1, "%d tokens", got.PrefillTokens)
			got.PrefillTokens = tc.want.PrefillTokens
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// Guards against reports and tables with senseless figures that make a time negative or without end, and against a service without
// published figures.
func TestSenselessFigures(t *testing.T) {
	values := []int64{math.MinInt64, -1, 0, 1, 12, 1 << 40, math.MaxInt64}
	random := rand.New(rand.NewPCG(3, 4))
	value := func() int64 { return values[random.IntN(len(values))] }
	for range 20_000 {
		figures := &route.Engine{
			Slots: int(value()), KVCacheTokens: value(), StepsPerIteration: int(value()), StepTime: time.Duration(value()), PrefillRate: float64(value()),
			StepTimePer1000Context: time.Duration(value()), PrefillTimePerMillionPairs: time.Duration(value()), PrefillChunk: value(), UsualAnswer: value(),
		}
		e := forecast.NewEngine(figures)
		if random.IntN(10) == 0 {
			e = forecast.NewEngine(nil)
		}
		l := forecast.Load{Generating: int(value()), Prefilling: int(value()), Waiting: int(value()), Joint: int(value()), PrefillTokens: value(), PrefillTime: time.Duration(value()), Context: value(), OutputLeft: value(), Slowness: float64(value())}
		if random.IntN(2) == 0 {
			l = forecast.Estimate(e, forecast.Sums{Requests: int(value()), Prefill: time.Duration(value()), Memory: value(), Slowness: float64(value())})
		}
		r := forecast.Request{Prompt: value(), Output: value(), Helpers: int(value())}
		for _, p := range []forecast.Prediction{forecast.Predict(e, l, r), forecast.PredictPart(e, l, r)} {
			assert.Assert(t, min(p.First, p.Gap, p.End, p.AddedGap, p.AddedDelay) >= 0 && p.End >= p.First, "%+v: %+v, %+v: %+v", figures, l, r, p)
		}
	}
}
