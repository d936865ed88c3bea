package entry

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/suspect"
	"berylward.example/berylward/internal/telemetry"
	"berylward.example/berylward/pkg/answer"
)

// work is what a caller requests. It is a sealed interface: promptWork and callWork are its only implementations.
//
//sumtype:decl
type work interface{ work() }

// promptWork is a prompt for a model.
type promptWork struct {
	model, adapter    string
	text              string
	tokens, maxTokens int64
	// short reports whether the prompt is in the declared class of short prompts.
	short    bool
	prefixes []uint64
	// parameters is the JSON object of sampling parameters for the engine, or nil.
	parameters []byte
	// delivered is the part of the answer that the caller has already received.
	delivered []byte
}

// callWork is a call of a plain service.
type callWork struct {
	service    string
	method     string
	path       string
	header     http.Header
	body       []byte
	idempotent bool
	key        string
	ticket     string
}

func (*promptWork) work() {}
func (*callWork) work()   {}

// request is one request of a caller. It is owned by the goroutine of the caller's connection.
type request struct {
	entry       *Entry
	sequence    uint64
	attempts    uint32
	workspace   string
	priority    int
	weight      int
	deadline    time.Time
	fingerprint suspect.Fingerprint
	work        work
	// ran is set if an earlier attempt ran or may have run.
	ran bool
	// failedRuns counts the attempts that failed after they ran or may have run.
	failedRuns int
	// refusals counts the attempts that were refused or failed. triedWorkers are the workers that the next attempt
	// avoids.
	refusals     int
	triedWorkers []string
	lastFailure  attemptFailed
}

func (r *request) id() string { return fmt.Sprintf("%s-%d", r.entry.incarnation, r.sequence) }

func (r *request) nextID() answer.ID {
	r.attempts++
	return answer.ID{Incarnation: r.entry.incarnation, Sequence: r.sequence, Attempt: r.attempts}
}

// retrySafe reports whether the request may be sent again after it ran or may have run. With a key or a ticket a
// retry is safe, because the worker answers it from its table.
func (r *request) retrySafe() bool {
	switch w := r.work.(type) {
	case *promptWork:
		return true
	case *callWork:
		return w.idempotent || w.key != "" || w.ticket != ""
	}
	return false
}

// failedOutcome returns the outcome of a request that ends without an answer.
func (r *request) failedOutcome(reason answer.Reason, retryAfter time.Duration) answer.Outcome {
	if r.ran {
		return answer.Unknown{Reason: reason}
	}
	return answer.NotRun{Reason: reason, RetryAfter: retryAfter}
}

// placementRequest returns the request in the form in which the view chooses a worker for it.
func (r *request) placementRequest(suspectState fleet.SuspectState) fleet.Request {
	req := fleet.Request{Deadline: r.deadline, TriedWorkers: r.triedWorkers, SuspectState: suspectState}
	switch w := r.work.(type) {
	case *promptWork:
		req.Model, req.Tokens, req.Prefix, req.Short = w.model, w.tokens+w.maxTokens, w.prefixes, w.short
	case *callWork:
		req.Service, req.Tokens = w.service, 1
	}
	return req
}

// newOffer returns the message that asks a sidecar to run the request.
func (r *request) newOffer(ctx context.Context, id answer.ID, now time.Time) *link.Offer {
	m := &link.Offer{
		ID: link.WireID(id), Remaining: r.deadline.Sub(now), Workspace: r.workspace, Priority: r.priority, Weight: r.weight,
		Fingerprint: r.fingerprint[:], Trace: telemetry.Inject(ctx),
	}
	switch w := r.work.(type) {
	case *promptWork:
		m.Prompt = &link.PromptBody{
			Model: w.model, Adapter: w.adapter, Text: w.text, Tokens: w.tokens, MaxTokens: w.maxTokens,
			Delivered: string(w.delivered), Prefixes: w.prefixes,
			Parameters: w.parameters,
		}
	case *callWork:
		m.Call = &link.CallBody{
			Service: w.service, Method: w.method, Path: w.path, Header: w.header, Body: w.body,
			Idempotent: w.idempotent, Key: w.key, Ticket: w.ticket,
		}
	}
	return m
}

// promptSink records the delivered part of the answer, so that a later attempt continues after it.
type promptSink struct {
	request *request
	work    *promptWork
	out     *completionWriter
	// held is the memory of the answer.
	held *body.Reservation
}

func (s *promptSink) setHead(int, map[string][]string) error { return nil }

func (s *promptSink) deliver(data []byte) error {
	copies := 1
	if !s.out.stream {
		copies = 2 // one for a later attempt, one for the response
	}
	if err := s.held.ResizeFor(copies * (len(s.work.delivered) + len(data))); err != nil {
		return err
	}
	s.work.delivered = append(s.work.delivered, data...)
	return s.out.deliver(data)
}

// runRequest runs a request to its outcome. It makes attempts until a worker has answered, the deadline has passed or
// no further attempt is allowed.
func (e *Entry) runRequest(ctx context.Context, r *request, out answerSink) (answer.Outcome, answer.Usage) {
	defer e.logPanic(r)
	e.metrics.Add("requests", 1)
	e.countRequest()
	outcome, usage := e.runAttempts(ctx, r, out)
	e.metrics.Add("outcome-"+answer.OutcomeName(outcome), 1)
	e.settleTokens(r, outcome, usage)
	return outcome, usage
}

// countRequest counts a request for the retry budget.
func (e *Entry) countRequest() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryBudget.Request(e.clock.Now())
}

func (e *Entry) runAttempts(ctx context.Context, r *request, out answerSink) (answer.Outcome, answer.Usage) {
	if refusal := e.admit(ctx, r); refusal != nil {
		return refusal, answer.Usage{}
	}
	if w, ok := e.needsGroup(r); ok {
		return e.runGroup(ctx, r, w, out)
	}
	for {
		p, id, outcome := e.place(ctx, r)
		if outcome != nil {
			return outcome, answer.Usage{}
		}
		res, usage := e.runAttempt(ctx, r, p, id, out)
		switch res := res.(type) {
		case requestEnded:
			if n, ok := res.outcome.(answer.NotRun); ok && r.ran {
				return answer.Unknown{Reason: n.Reason}, usage
			}
			return res.outcome, usage
		case attemptFailed:
			if w, ok := r.work.(*promptWork); ok && res.reason == answer.ReasonTooLarge && res.refused {
				// The entry did not know the engine's memory yet, or the prompt with the delivered part no longer
				// fits.
				return e.runGroup(ctx, r, w, out)
			}
			if outcome := e.prepareRetry(ctx, r, p, res); outcome != nil {
				return outcome, usage
			}
		}
	}
}

// runAttempt runs one attempt in a span of its own.
func (e *Entry) runAttempt(ctx context.Context, r *request, p *peer, id answer.ID, out answerSink) (attemptResult, answer.Usage) {
	ctx, span := e.tracer.Start(ctx, "link attempt", trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(
		attribute.String("berylward.id", id.String()), attribute.String("berylward.worker", p.name)))
	defer span.End()
	a := newAttempt(p, id)
	e.metrics.Add("attempts", 1)
	ended := false
	defer func() {
		if !ended {
			a.abandon()
		}
	}()
	res := a.run(ctx, r.newOffer(ctx, id, e.clock.Now()), out)
	ended = true
	e.recordResult(id, res, a.usage)
	switch res := res.(type) {
	case requestEnded:
		span.SetAttributes(attribute.String("berylward.outcome", answer.OutcomeName(res.outcome)))
	case attemptFailed:
		span.SetAttributes(attribute.String("berylward.reason", string(res.reason)), attribute.Bool("berylward.ran", res.ran))
	}
	return res, a.usage
}

const (
	// refusalsBeforeDelay is how many workers may refuse in a row before the request waits.
	refusalsBeforeDelay = 3
	// minRetryDelay and maxRetryDelay bound the delay after refusals. A refusal that says when to retry is subject to
	// the upper bound only.
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = time.Second
)

// prepareRetry returns the outcome if the request must not be retried. Otherwise it waits for the delay before the
// next attempt, if there is one, and returns nil.
func (e *Entry) prepareRetry(ctx context.Context, r *request, p *peer, res attemptFailed) answer.Outcome {
	r.lastFailure = res
	r.ran = r.ran || res.ran
	if res.ran && !r.retrySafe() {
		return answer.Unknown{Reason: res.reason}
	}
	if res.ran && r.hasOwner() && !res.outcomeLost() {
		// The worker keeps this outcome in its table for the lifetime of the key, so a retry would get the same one.
		return answer.Unknown{Reason: res.reason}
	}
	if res.refused && (permanentRefusal(res.reason) || r.cannotMeetDeadline(res) || r.hasOwner() && res.reason == answer.ReasonStopping) {
		// The next incarnation of a stopping owner cannot know whether a request with the key ran. Waiting would turn
		// a request that is known not to have run into one with an unknown outcome.
		return r.failedOutcome(res.reason, res.retryAfter)
	}
	if res.ran {
		if outcome := e.awaitRetryBudget(ctx, r); outcome != nil {
			return outcome
		}
	}
	e.metrics.Add("retries", 1)
	r.refusals++
	if !slices.Contains(r.triedWorkers, p.name) {
		r.triedWorkers = append(r.triedWorkers, p.name)
	}
	if r.hasOwner() {
		r.triedWorkers = nil
		return e.waitDelay(ctx, r, retryDelay(r.refusals, res.retryAfter))
	}
	if r.refusals%refusalsBeforeDelay == 0 && !res.ran {
		r.triedWorkers = nil
		return e.waitDelay(ctx, r, retryDelay(r.refusals/refusalsBeforeDelay, res.retryAfter))
	}
	return nil
}

// awaitRetryBudget waits until a request that ran may be retried, and returns the outcome if the request ends first.
// The first retry does not use the budget: one failed worker costs each of its requests one retry, even if there are
// few other requests, and the sidecars admit no more than their servers can run. Further retries share the budget, so
// that a lasting failure does not multiply the load.
func (e *Entry) awaitRetryBudget(ctx context.Context, r *request) answer.Outcome {
	r.failedRuns++
	if r.failedRuns == 1 {
		return nil
	}
	for !e.tryRetry() {
		e.metrics.Add("retry-budget-waits", 1)
		if outcome := e.waitDelay(ctx, r, maxRetryDelay); outcome != nil {
			return outcome
		}
	}
	return nil
}

// outcomeLost reports whether the outcome of the attempt is unknown to the entry but may be known to the worker.
func (a attemptFailed) outcomeLost() bool {
	return a.reason == answer.ReasonLinkLost || a.reason == answer.ReasonBrokenAnswer
}

// cannotMeetDeadline reports whether a refusal because of the deadline ends the request. It does if the request
// cannot finish in time even on an idle worker, or if several workers have refused it. Waiting would only shorten the
// remaining time.
func (r *request) cannotMeetDeadline(res attemptFailed) bool {
	return res.reason == answer.ReasonDeadline && (res.retryAfter == 0 || r.refusals+1 >= refusalsBeforeDelay)
}

// permanentRefusal reports whether every other worker would refuse for the same reason.
func permanentRefusal(reason answer.Reason) bool {
	switch reason {
	case answer.ReasonQuarantined, answer.ReasonKeyMismatch, answer.ReasonKeyTooOld, answer.ReasonBadRequest,
		answer.ReasonBackendRejected, answer.ReasonTooLarge, answer.ReasonTableFull:
		return true
	}
	return false
}

func retryDelay(refusals int, hint time.Duration) time.Duration {
	if hint > 0 {
		return min(hint, maxRetryDelay)
	}
	return min(minRetryDelay<<min(refusals, 6), maxRetryDelay)
}

// waitDelay waits for d. It returns the outcome if the request ends in the meantime, or at once if the deadline would
// pass before d.
func (e *Entry) waitDelay(ctx context.Context, r *request, d time.Duration) answer.Outcome {
	if now := e.clock.Now(); now.Add(d).After(r.deadline) {
		return r.failedOutcome(r.lastFailure.reason, r.lastFailure.retryAfter)
	}
	timer := e.clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return nil
	case <-ctx.Done():
		return r.failedOutcome(contextReason(ctx), 0)
	}
}

// hasOwner reports whether only one worker, the owner of the key or ticket, can run the request.
func (r *request) hasOwner() bool {
	w, ok := r.work.(*callWork)
	return ok && (w.key != "" || w.ticket != "")
}
