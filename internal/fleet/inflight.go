package fleet

import (
	"time"

	"berylward.example/berylward/pkg/answer"
)

// attempt is an attempt of this entry that has not ended.
type attempt struct {
	worker *worker
	// tokens is the number of tokens not expected to be cached, which is what workers count in their windows.
	tokens   int64
	prefix   []uint64
	isolated bool
	answered bool
	// reportsAtAnswer is load.reports at the time the attempt was answered. A later observation includes the attempt.
	reportsAtAnswer uint64
	// expectedHitShare is the share of the prompt that was expected to be cached.
	expectedHitShare float64
}

// inflight holds the totals over the attempts at one worker.
type inflight struct {
	attempts   int
	tokens     int64
	unanswered int64
	isolated   int
}

// Sent records that an attempt was offered to a worker. It ignores an identifier that is already recorded.
func (v *View) Sent(now time.Time, id answer.ID, name string, req Request) {
	w := v.workers[name]
	if w == nil || v.attempts[id] != nil {
		return
	}
	v.shortShare.observe(req)
	expected := v.expectedHitShare(now, w, req.Prefix)
	a := &attempt{
		worker:           w,
		tokens:           int64(float64(max(req.Tokens, 0)) * (1 - expected)),
		prefix:           req.Prefix,
		isolated:         req.SuspectState == Isolated,
		expectedHitShare: expected,
	}
	v.attempts[id] = a
	w.inflight.attempts++
	w.inflight.tokens += a.tokens
	w.inflight.unanswered += a.tokens
	w.load.unreportedTokens += a.tokens
	if a.isolated {
		w.inflight.isolated++
	}
}

// Granted records that the worker accepted an attempt: the worker had room and will soon hold the prompt's prefix.
func (v *View) Granted(now time.Time, id answer.ID) {
	a := v.markAnswered(id)
	if a == nil {
		return
	}
	l := &a.worker.load
	l.clamp(now, v.fleetMean.value(), 0, maxLoadAfterGrant)
	l.notBefore = time.Time{}
	v.recordPrefixes(now, a.worker, a.prefix, grantedConfidence)
}

// Queued records the position, counted from 0, that the worker gave an attempt in its queue. A worker with a queue is
// full.
func (v *View) Queued(now time.Time, id answer.ID, position int) {
	if a := v.markAnswered(id); a != nil {
		full := 1 + queueStep*float64(max(position, 0)+1)
		a.worker.load.clamp(now, v.fleetMean.value(), full, full)
	}
}

// Refused records that the worker refused an attempt, which ends the attempt.
func (v *View) Refused(now time.Time, id answer.ID, r Refusal) {
	a := v.markAnswered(id)
	if a == nil {
		return
	}
	w := a.worker
	v.remove(id, a)
	switch r.Reason {
	case answer.ReasonDraining:
		w.draining = true
	case answer.ReasonOverloaded, answer.ReasonNotReady, answer.ReasonNoWorker:
		w.load.recordRefusal(now, r.RetryAfter, a.tokens)
		if r.Fullness <= 0 {
			w.load.clamp(now, v.fleetMean.value(), 1, max(1, w.load.decayedFullness(now, v.fleetMean.value())))
		}
	default:
		// Other reasons concern the request and say nothing about the worker's load.
	}
	if r.Fullness > 0 {
		w.load.observe(now, r.Fullness, w.inflight.unanswered)
		v.fleetMean.observe(r.Fullness)
	}
}

// Ended records the outcome of an attempt. It ignores unknown and repeated identifiers.
func (v *View) Ended(now time.Time, id answer.ID, outcome answer.Outcome, usage answer.Usage) {
	a := v.attempts[id]
	if a == nil {
		return
	}
	w := a.worker
	v.remove(id, a)
	switch o := outcome.(type) {
	case answer.Done:
		v.recordPrefixes(now, w, a.prefix, 1)
		w.updateAccuracy(a.expectedHitShare, usage)
	case answer.NotRun:
	case answer.Unknown:
		if o.Reason == answer.ReasonBackendFailed {
			w.cacheEpoch++
		}
	}
}

// Inflight returns the number of attempts in flight at a worker and the sum of their tokens.
func (v *View) Inflight(name string) (attempts int, tokens int64) {
	if w := v.workers[name]; w != nil {
		return w.inflight.attempts, w.inflight.tokens
	}
	return 0, 0
}

// markAnswered records that the worker answered an attempt and returns the attempt, or nil when it is unknown.
func (v *View) markAnswered(id answer.ID) *attempt {
	a := v.attempts[id]
	if a != nil && !a.answered {
		a.answered = true
		a.reportsAtAnswer = a.worker.load.reports
		a.worker.inflight.unanswered -= a.tokens
	}
	return a
}

// remove ends an attempt and subtracts its tokens from the estimate that includes them.
func (v *View) remove(id answer.ID, a *attempt) {
	delete(v.attempts, id)
	w := a.worker
	w.inflight.attempts--
	w.inflight.tokens -= a.tokens
	if a.isolated {
		w.inflight.isolated--
	}
	included := a.answered && a.reportsAtAnswer < w.load.reports
	if !a.answered {
		w.inflight.unanswered -= a.tokens
	}
	if included {
		w.load.fullness = max(0, w.load.fullness-float64(a.tokens)/w.load.windowTokens())
	} else {
		w.load.unreportedTokens = max(0, w.load.unreportedTokens-a.tokens)
	}
}
