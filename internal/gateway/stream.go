package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/route"
	"berylward.example/berylward/pkg/answer"
)

const (
	// readBuffer is the size in bytes of the buffer for reading a stream.
	readBuffer = 4 << 10
	// The wait for the first event is firstWaitFactor times the predicted time, and at least firstWaitMin.
	firstWaitMin    = 900 * time.Millisecond
	firstWaitFactor = 2.5
	// extendInterval is the pause between checks of a silent attempt whose wait was extended.
	extendInterval = 200 * time.Millisecond
	// The wait for the next event is gapWaitFactor times the route's longest pause, and at least gapWaitMin.
	gapWaitMin    = time.Second
	gapWaitFactor = 3.5
)

// stream serves a request whose response is a series of events, which are relayed as they arrive. When a resumable
// stream breaks, it resumes at another backend server after the last event that the caller has received.
func (q *request) stream() {
	events := &answer.EventSplitter{}
	if q.req.Resumes {
		events.ResumeAfter(q.req.ResumeAfter)
	}
	q.runAttempts(func(a *attempt) attemptResult {
		events.DropPartial()
		return q.streamAttempt(a, events)
	})
}

// extendFunc returns the function that decides, at the end of each wait for a silent attempt, whether to wait longer. It
// waits longer if the request could not be sent again, and for a stream also while the backend server makes progress
// with other requests, or while its load explains that the stream has not begun or pauses.
func (q *request) extendFunc(a *attempt) func() time.Duration {
	isStream := q.admitted.Route.Kind == route.Stream
	return func() time.Duration {
		g := q.gateway
		now := g.clock.Now()
		remaining := q.deadline.Sub(now)
		if remaining <= 0 || q.ctx.Err() != nil {
			return 0
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		if !q.maySendElsewhere(now, a) || isStream && q.isBusy(now, a) {
			return min(extendInterval, remaining)
		}
		return 0
	}
}

// isBusy reports whether the backend server of the silent attempt of a stream is probably busy rather than dead, and counts the
// attempt once if prefill is the reason. isBusy must be called with the gateway's lock held.
func (q *request) isBusy(now time.Time, a *attempt) bool {
	planner := q.gateway.planner
	if planner.MadeProgress(now, a.placementID) {
		return true
	}
	if !planner.IsPrefilling(now, a.placementID) {
		return q.isQueued(now, a)
	}
	if !a.prefilling {
		a.prefilling = true
		q.gateway.metrics.count("streams-paused-by-prefill")
	}
	return true
}

// isQueued reports whether the silent attempt of a short prompt probably waits in the queue of its engine, by what other
// gateways have reported since it was sent. Sent elsewhere, it would lose its place. isQueued must be called with the gateway's
// lock held.
func (q *request) isQueued(now time.Time, a *attempt) bool {
	if q.profile.Engine == nil || !q.profile.Short() {
		return false
	}
	wait := q.gateway.planner.ExpectedWait(now, a.placementID, q.profile.Engine)
	return now.Sub(a.placedAt) < time.Duration(firstWaitFactor*float64(wait))
}

// firstWait returns how long an attempt may wait for its first event.
func (q *request) firstWait(a *attempt) time.Duration {
	remaining := q.deadline.Sub(q.gateway.clock.Now())
	if a.last || !q.idempotent() {
		return remaining
	}
	wait := max(firstWaitMin, time.Duration(firstWaitFactor*float64(a.expected)))
	if a.joint {
		// The backend server itself takes this long to detect that a helper has failed.
		wait += q.gateway.HelperTimeout
	}
	return min(wait, remaining)
}

// gapWait returns how long an attempt may wait for its next event.
func (q *request) gapWait(a *attempt) time.Duration {
	remaining := q.deadline.Sub(q.gateway.clock.Now())
	if a.last || !q.idempotent() || q.admitted.Route.MaxGap == 0 {
		return remaining
	}
	return min(remaining, max(gapWaitMin, time.Duration(gapWaitFactor*float64(q.admitted.Route.MaxGap))))
}

func (q *request) streamAttempt(a *attempt, events *answer.EventSplitter) attemptResult {
	ctx := q.ctx
	if a.leases != nil {
		if err := a.leases.reserve(); err != nil {
			q.gateway.log.Info("memory not reserved", "request", q.req.ID, "error", err.Error())
			q.tried = append(q.tried, a.leases.failedIDs...)
			q.recordOutcome(a, dispatch.Abandoned{})
			return retryable{"memory"}
		}
		if !q.mayStillSend(a) {
			q.recordOutcome(a, dispatch.Abandoned{})
			return retryable{"backend-left"}
		}
		var giveUp context.CancelCauseFunc
		ctx, giveUp = context.WithCancelCause(ctx)
		defer giveUp(nil)
		a.leases.watchUse(giveUp)
	}
	started := q.gateway.clock.Now()
	wait := q.firstWait(a)
	after, resumes := events.Last()
	x, head, err := q.exchange(ctx, a, wait, q.extendFunc(a), resumePoint{after, resumes})
	if err != nil {
		return q.handleFailure(a, unusedOr(ctx, err))
	}
	if head.Status != http.StatusOK || !head.Signed {
		return q.handleNonStream(a, x, head)
	}
	remaining := max(wait-q.gateway.clock.Since(started), gapWaitMin/4)
	err = q.relay(a, x, events, remaining)
	if err == nil {
		q.endExchange(x, head)
		q.recordAnswer(a, true)
		q.runs = append(q.runs, run{server: a.server, answered: true})
		q.recordOutcome(a, dispatch.Answered{})
		q.outcome = "answered"
		return completed{}
	}
	x.Done(false, 0)
	var limit *body.Error
	if errors.As(err, &limit) {
		return q.handleUnreadable(a, err, &backend.Error{Op: "read", Kind: backend.KindMalformed, Err: err})
	}
	if errors.Is(err, errCallerDisconnected) {
		q.recordGivenUp(a)
		q.recordOutcome(a, dispatch.Abandoned{})
		q.leave()
		return completed{}
	}
	return q.handleFailure(a, unusedOr(ctx, err))
}

// handleNonStream handles a response that is not a stream of events.
func (q *request) handleNonStream(a *attempt, x *backend.Exchange, head ResponseHead) attemptResult {
	buffer := q.gateway.responseBodies.NewBuffer()
	defer buffer.Release()
	if result := q.readResponse(a, x, head, buffer); result != nil {
		return result
	}
	if q.delivered {
		q.tried = append(q.tried, a.server.ID)
		q.recordOutcome(a, dispatch.Errored{})
		return retryable{"backend-error"}
	}
	return q.handleResponse(a, head, x.Response, buffer.Bytes())
}

// errCallerDisconnected means that an event could not be sent to the caller.
var errCallerDisconnected = errors.New("caller disconnected")

// relay passes events to the caller until the stream ends. The head of the caller's response is sent with the first
// complete event, and comes from this backend server.
func (q *request) relay(a *attempt, x *backend.Exchange, events *answer.EventSplitter, wait time.Duration) error {
	held := q.gateway.responseBodies.Reserve()
	defer held.Release()
	flusher := http.NewResponseController(q.response)
	buf := make([]byte, readBuffer)
	// Bytes that complete no event do not extend the wait for the next one.
	due := q.gateway.clock.Now().Add(wait)
	for {
		if err := x.Wait(max(due.Sub(q.gateway.clock.Now()), 0), q.extendFunc(a)); err != nil && !errors.Is(err, io.EOF) {
			return x.WrapError(q.ctx, err)
		}
		n, err := x.Response.Body.Read(buf)
		if n > 0 {
			if err := events.Write(buf[:n]); err != nil {
				return &backend.Error{Op: "read", Kind: backend.KindMalformed, Err: err}
			}
			if err := holdEvent(held, events); err != nil {
				return err
			}
			sent, werr := q.deliver(a, x, events)
			if werr != nil {
				return errCallerDisconnected
			}
			if sent {
				now := q.gateway.clock.Now()
				q.recordFirstEvent(a, now)
				q.recordAnswer(a, false)
				if !q.lastEvent.IsZero() {
					q.longestGap = max(q.longestGap, now.Sub(q.lastEvent))
				}
				q.lastEvent = now
				if err := flusher.Flush(); err != nil {
					return errCallerDisconnected
				}
				due = now.Add(q.gapWait(a))
			}
		}
		switch {
		case err == io.EOF && events.Partial():
			return &backend.Error{Op: "read", Kind: backend.KindConnectionLost, Err: errors.New("stream ended within an event")}
		case err == io.EOF:
			if !q.delivered {
				q.writeHead(x)
			}
			return nil
		case err != nil:
			return x.WrapError(q.ctx, err)
		}
	}
}

// holdEvent reserves the memory that an incomplete event takes beyond the buffer that each stream has. It fails if the event is
// too large or if there is no memory.
func holdEvent(held *body.Reservation, events *answer.EventSplitter) error {
	size := int64(events.Buffered())
	if size > maxEvent {
		return &body.Error{Op: "hold event", Kind: body.KindTooLarge, Size: size, Limit: maxEvent}
	}
	return held.Resize(max(size-readBuffer, 0))
}

// deliver sends the complete events received so far, and reports whether there was one.
func (q *request) deliver(a *attempt, x *backend.Exchange, events *answer.EventSplitter) (bool, error) {
	sent := false
	for event := events.Next(); event != nil; event = events.Next() {
		if !sent {
			q.recordProgress(a)
			if !q.delivered {
				q.writeHead(x)
			}
		}
		sent = true
		if _, err := q.response.Write(event); err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// recordProgress records that an event has arrived.
func (q *request) recordProgress(a *attempt) {
	if a.leases != nil {
		a.leases.use.confirm()
	}
	now := q.gateway.clock.Now()
	q.gateway.locked(func() {
		q.gateway.planner.RecordProgress(now, a.placementID)
		q.gateway.unanswered.RecordAlive(now, serverKey(a.server))
	})
}

// writeHead sends the head of the response.
func (q *request) writeHead(x *backend.Exchange) {
	q.gateway.protocol.CopyHeaders(q.response.Header(), x.Response)
	q.announceClose()
	q.delivered = true // before the write, which may send a part of the head and then panic
	q.response.WriteHeader(x.Response.StatusCode)
	q.firstByte = q.elapsed()
	q.gateway.metrics.observe(q.admitted.Route.Name+"-first", q.firstByte)
}
