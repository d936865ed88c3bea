package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/pkg/answer"
)

const (
	// maxAttemptEvents limits the queued messages of an attempt whose caller reads slowly. At one token per message,
	// this is more than the longest answers have.
	maxAttemptEvents = 1 << 15
	// cancelTimeout bounds the wait for the sidecar to report whether a cancelled attempt ran. A round trip between
	// zones takes 3 ms.
	cancelTimeout = 250 * time.Millisecond
)

// event is what the peer's goroutine passes to an attempt. It is a sealed interface: messageReceived, attemptLost and
// messageDropped are its only implementations.
//
//sumtype:decl
type event interface{ event() }

// messageReceived carries a message for the attempt.
type messageReceived struct{ message link.Message }

// attemptLost means that no more messages will arrive for the attempt.
type attemptLost struct {
	id  answer.ID
	err error
}

// messageDropped means that a message found no room, so that the attempt cannot go on. The attempt's overflow is set.
type messageDropped struct{}

func (messageReceived) event() {}
func (attemptLost) event()     {}
func (messageDropped) event()  {}

// attemptResult is the result of an attempt. It is a sealed interface: requestEnded and attemptFailed are its only
// implementations.
//
//sumtype:decl
type attemptResult interface{ result() }

// requestEnded means that the request has its final outcome.
type requestEnded struct{ outcome answer.Outcome }

// attemptFailed means that the attempt failed. ran is set if it ran or may have run, and refused if the sidecar
// refused it. The request may be retried if the attempt did not run or the request is idempotent.
type attemptFailed struct {
	reason     answer.Reason
	ran        bool
	crashed    bool
	retryAfter time.Duration
	fullness   float64
	refused    bool
}

func (requestEnded) result()  {}
func (attemptFailed) result() {}

// answerSink receives the answer of a request in order, without gaps or duplicates. Its methods are called by the
// request's goroutine. An error means that the caller has disconnected or that the answer is too large for the sink.
type answerSink interface {
	setHead(status int, header map[string][]string) error
	deliver(data []byte) error
}

// attempt is one attempt to run a request on one worker. It is run by the request's goroutine.
type attempt struct {
	id     answer.ID
	peer   *peer
	events *eventQueue
	// sidecarIncarnation is the incarnation of the sidecar that received the attempt. It is guarded by the peer's
	// lock.
	sidecarIncarnation uuid.UUID
	// receivedBytes is the number of bytes accepted so far. The peer's goroutine reads it to resume the stream.
	receivedBytes atomic.Int64
	overflow      atomic.Bool

	assembler answer.Assembler
	granted   bool
	usage     answer.Usage
}

func newAttempt(p *peer, id answer.ID) *attempt {
	return &attempt{id: id, peer: p, events: newEventQueue(p.entry.waiting)}
}

// run sends the first message and processes events until the attempt ends. ctx ends at the request's deadline or when
// the caller disconnects.
func (a *attempt) run(ctx context.Context, first link.Message, out answerSink) attemptResult {
	if err := a.peer.startAttempt(a, first); err != nil {
		return attemptFailed{reason: answer.ReasonLinkLost}
	}
	defer a.events.Close()
	defer a.peer.removeAttempt(a.id)
	return a.awaitEnd(ctx, out)
}

// awaitEnd processes events until the attempt ends.
func (a *attempt) awaitEnd(ctx context.Context, out answerSink) attemptResult {
	for {
		select {
		case <-a.events.Ready():
			for _, e := range a.events.Take() {
				if r := a.handleEvent(e, out); r != nil {
					return r
				}
				a.events.Handled(e)
			}
			if a.overflow.Load() {
				return requestEnded{answer.Unknown{Reason: answer.ReasonCancelled}}
			}
		case <-ctx.Done():
			return a.cancel(contextReason(ctx))
		}
	}
}

func contextReason(ctx context.Context) answer.Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		return answer.ReasonDeadline
	case errors.Is(cause, errStopping):
		return answer.ReasonEntryStopping
	}
	return answer.ReasonCancelled
}

// handleEvent returns nil while the attempt continues.
func (a *attempt) handleEvent(e event, out answerSink) attemptResult {
	switch e := e.(type) {
	case attemptLost:
		return attemptFailed{reason: answer.ReasonLinkLost, ran: true}
	case messageReceived:
		return a.handleMessage(e.message, out)
	case messageDropped:
		// The caller of handleEvent looks at overflow.
	}
	return nil
}

func (a *attempt) handleMessage(m link.Message, out answerSink) attemptResult {
	switch m := m.(type) {
	case *link.Granted:
		a.granted = true
		a.peer.entry.recordGrant(a.id)
	case *link.Queued:
		a.peer.entry.recordQueued(a.id, m.Position)
	case *link.Refused:
		return attemptFailed{reason: m.Reason, retryAfter: m.RetryAfter, fullness: m.Fullness, refused: true}
	case *link.Head:
		if !answer.IsFinalStatus(m.Status) {
			// Sidecars of earlier versions pass such a status on, and net/http panics on writing one below 100.
			a.peer.entry.metrics.Add("answers-with-invalid-status", 1)
			a.peer.send(&link.Cancel{ID: link.WireID(a.id)})
			return attemptFailed{reason: answer.ReasonBrokenAnswer, ran: true}
		}
		if err := out.setHead(m.Status, m.Header); err != nil {
			return a.cancel(answer.ReasonCancelled)
		}
	case *link.Piece:
		return a.handlePiece(m, out)
	case *link.End:
		return a.handleEnd(m)
	case *link.Failed:
		return attemptFailed{reason: m.Reason, ran: true, crashed: m.Crashed}
	case *link.Cancelled:
		return attemptFailed{reason: answer.ReasonCancelled, ran: m.Ran}
	default:
		a.peer.entry.metrics.Add("unexpected-messages", 1)
	}
	return nil
}

func (a *attempt) handlePiece(m *link.Piece, out answerSink) attemptResult {
	fresh, err := a.assembler.Accept(m.Offset, m.Data)
	if err != nil {
		a.peer.entry.reportViolation("offset-gap", a.id.String()+": "+err.Error())
		a.peer.send(&link.Cancel{ID: link.WireID(a.id)})
		return attemptFailed{reason: answer.ReasonBrokenAnswer, ran: true}
	}
	a.receivedBytes.Store(a.assembler.Length())
	if len(fresh) == 0 {
		return nil
	}
	if err := out.deliver(fresh); err != nil {
		a.peer.entry.countNotHeld(err)
		return a.cancel(deliveryReason(err))
	}
	return nil
}

func (a *attempt) handleEnd(m *link.End) attemptResult {
	done, err := a.assembler.Finish(m.Length, m.Digest)
	if err != nil {
		a.peer.entry.reportViolation("whole-answer", a.id.String()+": "+err.Error())
		var broken *answer.Error
		if errors.As(err, &broken) && broken.Kind == answer.KindDigest {
			// The delivered part is damaged, so no later attempt can complete the answer.
			return requestEnded{answer.Unknown{Reason: answer.ReasonBrokenAnswer}}
		}
		return attemptFailed{reason: answer.ReasonBrokenAnswer, ran: true}
	}
	a.usage = answer.Usage{PromptTokens: m.PromptTokens, CachedTokens: m.CachedTokens, GeneratedTokens: m.GeneratedTokens}
	return requestEnded{done}
}

// cancel asks the sidecar to stop the attempt and waits up to cancelTimeout for it to report whether the attempt ran.
// Without that report the outcome is unknown.
func (a *attempt) cancel(reason answer.Reason) attemptResult {
	a.peer.send(&link.Cancel{ID: link.WireID(a.id)})
	timer := a.peer.entry.clock.NewTimer(cancelTimeout)
	defer timer.Stop()
	for {
		select {
		case <-a.events.Ready():
			for _, e := range a.events.Take() {
				if notRun, settled := provenNotRun(e); settled {
					if notRun {
						return requestEnded{answer.NotRun{Reason: reason}}
					}
					return requestEnded{answer.Unknown{Reason: reason}}
				}
			}
		case <-timer.C():
			return requestEnded{answer.Unknown{Reason: reason}}
		}
	}
}

// provenNotRun reports whether the event settles the outcome of a cancelled attempt and, if so, whether it proves
// that the attempt never ran.
func provenNotRun(e event) (notRun, settled bool) {
	switch e := e.(type) {
	case attemptLost:
		return false, true
	case messageReceived:
		switch m := e.message.(type) {
		case *link.Refused:
			return true, true
		case *link.Cancelled:
			return !m.Ran, true
		case *link.End, *link.Failed:
			return false, true
		}
	case messageDropped:
	}
	return false, false
}

// awaitTicket sends a ticket request and returns the ticket, or how the attempt failed.
func (a *attempt) awaitTicket(ctx context.Context, first *link.TicketRequest) (*link.Ticket, attemptFailed) {
	if err := a.peer.startAttempt(a, first); err != nil {
		return nil, attemptFailed{reason: answer.ReasonLinkLost}
	}
	defer a.peer.removeAttempt(a.id)
	for {
		select {
		case <-a.events.Ready():
			for _, e := range a.events.Take() {
				switch e := e.(type) {
				case attemptLost:
					return nil, attemptFailed{reason: answer.ReasonLinkLost}
				case messageReceived:
					switch m := e.message.(type) {
					case *link.Ticket:
						return m, attemptFailed{}
					case *link.Refused:
						return nil, attemptFailed{reason: m.Reason, retryAfter: m.RetryAfter, refused: true}
					}
				case messageDropped: // tickets are not counted
				}
			}
		case <-ctx.Done():
			return nil, attemptFailed{reason: contextReason(ctx)}
		}
	}
}
