package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/pkg/answer"
)

const (
	// readBuffer is the size in bytes of one read of a stream.
	readBuffer = 4 << 10
	// firstWaitLeast and firstWaitFactor bound the wait for the first event: the least time, and times the prediction.
	firstWaitLeast  = 900 * time.Millisecond
	firstWaitFactor = 2.5
	// extendStep is the time between two looks at a silent attempt that is waited for longer.
	extendStep = 200 * time.Millisecond
	// gapWaitLeast and gapWaitFactor bound the wait for the next event: the least time, and times the longest pause that
	// is on time.
	gapWaitLeast  = time.Second
	gapWaitFactor = 3.5
)

// stream serves a request whose answer is a series of events, which are sent on as they come. A resumable stream that
// breaks goes on at another backend server after the last event that the caller has.
func (q *request) stream() {
	events := &answer.Events{}
	if q.call.Resumes {
		events.ResumeAfter(q.call.ResumeAfter)
	}
	q.attempts(func(a *attempt) step {
		events.Restart()
		return q.streamAttempt(a, events)
	})
}

// extend returns the function that decides whether a silent attempt is waited for longer: while its backend server makes
// progress with other requests, or when the request cannot be sent again.
func (q *request) extend(a *attempt) func() time.Duration {
	return func() time.Duration {
		g := q.g
		now := g.clock.Now()
		remaining := q.deadline.Sub(now)
		if remaining <= 0 || q.ctx.Err() != nil {
			return 0
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if a.last || g.planner.Moving(now, a.ticket) || !g.repeats.Allows(now, dispatch.ServiceKey(q.service)) {
			return min(extendStep, remaining)
		}
		return 0
	}
}

// firstWait returns how long an attempt may wait for its first event.
func (q *request) firstWait(a *attempt) time.Duration {
	remaining := q.deadline.Sub(q.g.clock.Now())
	if a.last || !q.admitted.Route.Idempotent() {
		return remaining
	}
	wait := max(firstWaitLeast, time.Duration(firstWaitFactor*float64(a.expected)))
	if a.joint {
		// The backend server itself finds out after this time that a helper is gone.
		wait += q.g.Stall
	}
	return min(wait, remaining)
}

// gapWait returns how long an attempt may wait for its next event.
func (q *request) gapWait(a *attempt) time.Duration {
	remaining := q.deadline.Sub(q.g.clock.Now())
	if a.last || !q.admitted.Route.Idempotent() || q.admitted.Route.MaxGap == 0 {
		return remaining
	}
	return min(remaining, max(gapWaitLeast, time.Duration(gapWaitFactor*float64(q.admitted.Route.MaxGap))))
}

func (q *request) streamAttempt(a *attempt, events *answer.Events) step {
	if a.leases != nil {
		if err := a.leases.reserve(); err != nil {
			q.g.log.Info("memory not reserved", "request", q.call.ID, "error", err.Error())
			q.tried = append(q.tried, a.leases.full...)
			q.ended(a, dispatch.Abandoned{})
			return again{"memory"}
		}
	}
	started := q.g.clock.Now()
	wait := q.firstWait(a)
	after, resumes := events.Last()
	x, reply, err := q.exchange(a, wait, q.extend(a), resume{after, resumes})
	if err != nil {
		return q.lost(a, err)
	}
	if reply.Status != http.StatusOK || !reply.Signed {
		return q.streamRefused(a, x, reply)
	}
	left := max(wait-q.g.clock.Since(started), gapWaitLeast/4)
	err = q.relay(a, x, events, left)
	if err == nil {
		x.Done(true, reply.KeepAlive)
		q.ran = append(q.ran, a.server)
		q.ended(a, dispatch.Answered{})
		q.outcome = "answered"
		return finished{}
	}
	x.Done(false, 0)
	if errors.Is(err, errCallerLeft) {
		q.ended(a, dispatch.Abandoned{})
		q.outcome = "caller-left"
		return finished{}
	}
	return q.lost(a, err)
}

// streamRefused reads an answer that is no stream.
func (q *request) streamRefused(a *attempt, x *backend.Exchange, reply Reply) step {
	body, next := q.wholeAnswer(a, x, reply)
	if next != nil {
		return next
	}
	if q.delivered {
		q.tried = append(q.tried, a.server.ID)
		q.ended(a, dispatch.Errored{})
		return again{"backend-error"}
	}
	return q.answered(a, reply, x.Response, body)
}

// errCallerLeft means that an event could not be sent to the caller.
var errCallerLeft = errors.New("caller left")

// relay sends events on until the stream ends. The first whole event commits the caller's answer to this backend
// server's head.
func (q *request) relay(a *attempt, x *backend.Exchange, events *answer.Events, wait time.Duration) error {
	flusher := http.NewResponseController(q.w)
	buf := make([]byte, readBuffer)
	for {
		if err := x.Wait(wait, q.extend(a)); err != nil && !errors.Is(err, io.EOF) {
			return x.Explain(q.ctx, err)
		}
		n, err := x.Response.Body.Read(buf)
		if n > 0 {
			if err := events.Write(buf[:n]); err != nil {
				return &backend.Error{Op: "read", Kind: backend.KindMalformed, Err: err}
			}
			sent, werr := q.deliver(a, x, events)
			if werr != nil {
				return errCallerLeft
			}
			if sent {
				now := q.g.clock.Now()
				if !q.lastEvent.IsZero() {
					q.widestGap = max(q.widestGap, now.Sub(q.lastEvent))
				}
				q.lastEvent = now
				if err := flusher.Flush(); err != nil {
					return errCallerLeft
				}
				wait = q.gapWait(a)
			}
		}
		switch {
		case err == io.EOF && events.Partial():
			return &backend.Error{Op: "read", Kind: backend.KindBroken, Err: errors.New("stream ended in an event")}
		case err == io.EOF:
			if !q.delivered {
				q.commit(x)
			}
			return nil
		case err != nil:
			return x.Explain(q.ctx, err)
		}
	}
}

// deliver sends the whole events that have come, and returns whether there was one.
func (q *request) deliver(a *attempt, x *backend.Exchange, events *answer.Events) (bool, error) {
	sent := false
	for event := events.Next(); event != nil; event = events.Next() {
		if !sent {
			q.progress(a)
			if !q.delivered {
				q.commit(x)
			}
		}
		sent = true
		if _, err := q.w.Write(event); err != nil {
			return sent, err
		}
	}
	return sent, nil
}

func (q *request) progress(a *attempt) {
	now := q.g.clock.Now()
	q.g.mu.Lock()
	q.g.planner.Progress(now, a.ticket)
	q.g.mu.Unlock()
}

// commit sends the head of the answer.
func (q *request) commit(x *backend.Exchange) {
	q.g.protocol.CopyHead(q.w.Header(), x.Response)
	q.w.WriteHeader(x.Response.StatusCode)
	q.delivered = true
	q.firstByte = q.elapsed()
	q.g.metrics.observe(q.admitted.Route.Name+"-first", q.firstByte)
}
