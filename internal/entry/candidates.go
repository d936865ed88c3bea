package entry

import (
	"context"
	"math/rand/v2"
	"slices"

	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/internal/memory"
	"berylward.example/berylward/pkg/answer"
)

// groupCandidate is a worker that may join a group.
type groupCandidate struct {
	worker string
	// capacity is the memory that one member can have on the worker when it is idle, and free is the part of it that
	// is free now. Both are in tokens.
	free, capacity int64
}

// assumedCapacity is the capacity in tokens that is assumed while no worker has reported its memory. It is larger
// than any prompt, so that a prompt that arrives while a site starts waits instead of being refused.
const assumedCapacity = 1 << 40

// groupCandidates returns the workers of this region that are in service for a model, with their memory. A worker
// that is not ready yet has no free memory and is assumed to have the largest known capacity. The caller holds the
// lock.
func (e *Entry) groupCandidates(model string) []groupCandidate {
	var list []groupCandidate
	largest := int64(0)
	for _, i := range e.instances {
		p := e.peers[i.Name]
		if p == nil || i.Leaving || i.Region != e.Region || !slices.Contains(i.Models, model) || e.zoneOutOfService(i.Zone) {
			continue
		}
		c := groupCandidate{worker: i.Name}
		if p.lastState != nil && p.lastState.Phase != "draining" && p.lastState.Phase != "stopped" {
			c.capacity = p.lastState.GroupLimit
			if p.connected() && p.lastState.Phase == "serving" && slices.Contains(p.lastState.Models, model) {
				c.free = p.lastState.GroupTokens
			}
		}
		largest = max(largest, c.capacity)
		list = append(list, c)
	}
	if largest == 0 {
		largest = assumedCapacity
	}
	for n, c := range list {
		if s := e.peers[c.worker].lastState; c.capacity == 0 && (s == nil || s.Phase == "starting" || s.Phase == "down") {
			list[n].capacity = largest
		}
	}
	return list
}

func (e *Entry) zoneOutOfService(zone string) bool {
	s := e.config.Snapshot()
	return s != nil && s.ZoneOut(zone)
}

// needsGroup returns the request's prompt and true if the prompt does not fit on any single engine, even an idle one.
// Short prompts never need a group, and none does while no worker has reported its memory.
func (e *Entry) needsGroup(r *request) (*promptWork, bool) {
	w, ok := r.work.(*promptWork)
	s := e.config.Snapshot()
	if !ok || s == nil || w.tokens <= s.Declarations.Classes.ShortTokens {
		return nil, false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	largest := int64(0)
	for _, c := range e.groupCandidates(w.model) {
		if c.capacity < assumedCapacity {
			largest = max(largest, c.capacity)
		}
	}
	return w, largest > 0 && w.tokens+w.maxTokens > largest
}

// runGroup runs a prompt on a group. It refuses the prompt at once if it would not fit on idle engines or could not
// finish in time. While the engines are busy with other work, it retries until the deadline is too close.
func (e *Entry) runGroup(ctx context.Context, r *request, w *promptWork, out answerSink) (answer.Outcome, answer.Usage) {
	for {
		e.mu.Lock()
		now := e.clock.Now()
		suspectState, list, job := e.suspectState(now, r), e.groupCandidates(w.model), e.groupJob(r, w)
		e.mu.Unlock()
		if suspectState == fleet.Quarantined {
			return r.failedOutcome(answer.ReasonQuarantined, e.quarantineRemaining(r)), answer.Usage{}
		}
		var free, idle []memory.Candidate
		for _, c := range list {
			free = append(free, memory.Candidate{Worker: c.worker, Free: c.free})
			idle = append(idle, memory.Candidate{Worker: c.worker, Free: c.capacity})
		}
		if g, steps := memory.NewGroup(now, job, idle); g.Ended() {
			return r.failedOutcome(failureReason(steps), 0), answer.Usage{}
		}
		g, steps := memory.NewGroup(now, job, free)
		run := &groupRun{entry: e, request: r, work: w, out: out, plan: g, events: newEventQueue(e.waiting)}
		outcome, usage := run.run(ctx, steps)
		notRun, ok := outcome.(answer.NotRun)
		if !ok || (notRun.Reason != answer.ReasonOverloaded && notRun.Reason != answer.ReasonNoWorker) {
			return outcome, usage
		}
		e.metrics.Add("groups-not-formed", 1)
		r.lastFailure = attemptFailed{reason: answer.ReasonOverloaded}
		r.refusals++
		// Two groups that refuse each other must not retry at the same time.
		delay := retryDelay(r.refusals, 0)
		if outcome := e.waitDelay(ctx, r, delay/2+rand.N(delay)); outcome != nil {
			return outcome, answer.Usage{}
		}
	}
}

// groupJob describes the prompt for the group plan. It uses the declared rates of a server with a full batch. The
// caller holds the lock.
func (e *Entry) groupJob(r *request, w *promptWork) memory.GroupJob {
	job := memory.GroupJob{
		ID: answer.ID{Incarnation: e.incarnation, Sequence: r.sequence}, Prompt: w.tokens, Generate: w.maxTokens,
		Deadline: r.deadline,
	}
	if s := e.config.Snapshot(); s != nil {
		m, _ := s.Model(w.model)
		job.Prefill = float64(m.PrefillTokensPerSecond)
		job.Decode = float64(m.DecodeTokensPerSecond) / float64(max(s.Declarations.WarmUp.MaxRequests, 1))
	}
	return job
}

func failureReason(steps []memory.Step) answer.Reason {
	for _, step := range steps {
		if f, ok := step.(memory.Fail); ok {
			switch o := f.Outcome.(type) {
			case answer.NotRun:
				return o.Reason
			case answer.Unknown:
				return o.Reason
			case answer.Done:
			}
		}
	}
	return answer.ReasonNoWorker
}
