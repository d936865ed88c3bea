package entry

import (
	"context"
	"time"

	"berylward.example/berylward/internal/booking"
	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/internal/link"
	"berylward.example/berylward/internal/suspect"
	"berylward.example/berylward/internal/workspace"
	"berylward.example/berylward/pkg/answer"
)

// newRequest returns a request of an authenticated caller.
func (e *Entry) newRequest(c caller, w work, deadline time.Time) *request {
	r := &request{
		entry: e, sequence: e.sequence.Add(1), workspace: c.workspace.Name, work: w, deadline: deadline,
	}
	priority := c.snapshot.Declarations.Priorities[c.workspace.Priority]
	r.priority, r.weight = priority.Engine, priority.Weight
	switch w := w.(type) {
	case *promptWork:
		e.mu.Lock()
		if estimate := e.tokenEstimator.Tokens(w.model, int64(len(w.text))); estimate > 0 {
			w.tokens = estimate
		}
		e.mu.Unlock()
		w.short = w.tokens <= c.snapshot.Declarations.Classes.ShortTokens
		w.prefixes = fleet.PrefixHashes([]byte(w.text))
		r.fingerprint = suspect.NewFingerprint(r.workspace, w.model, suspect.BodyDigest([]byte(w.text)))
	case *callWork:
		r.fingerprint = suspect.NewFingerprint(r.workspace, w.service+" "+w.method+" "+w.path, suspect.BodyDigest(w.body))
	}
	return r
}

// admit takes the request's tokens from the limit of its workspace. If the limit delays the request, admit waits. It
// returns nil if the request is admitted and its outcome if it is refused.
func (e *Entry) admit(ctx context.Context, r *request) answer.Outcome {
	prompt, ok := r.work.(*promptWork)
	if !ok {
		return nil
	}
	e.mu.Lock()
	admission := e.limiter.Take(e.clock.Now(), r.workspace, prompt.tokens+prompt.maxTokens)
	e.mu.Unlock()
	switch a := admission.(type) {
	case workspace.Admit:
		return nil
	case workspace.Delay:
		r.lastFailure = attemptFailed{reason: answer.ReasonRateLimited, retryAfter: a.For}
		if outcome := e.waitDelay(ctx, r, a.For); outcome != nil {
			e.refund(r.workspace, prompt.tokens+prompt.maxTokens)
			return outcome
		}
		return nil
	case workspace.Deny:
		return answer.NotRun{Reason: a.Reason, RetryAfter: a.RetryAfter}
	}
	return nil
}

func (e *Entry) refund(workspace string, tokens int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.Refund(e.clock.Now(), workspace, tokens)
}

// settleTokens corrects the tokens taken from the workspace's limit to the actual usage, and updates the estimate of
// bytes per token.
func (e *Entry) settleTokens(r *request, outcome answer.Outcome, usage answer.Usage) {
	prompt, ok := r.work.(*promptWork)
	if !ok {
		return
	}
	taken := prompt.tokens + prompt.maxTokens
	switch o := outcome.(type) {
	case answer.NotRun:
		if o.Reason != answer.ReasonRateLimited {
			e.refund(r.workspace, taken)
		}
	case answer.Done:
		used := usage.PromptTokens + usage.GeneratedTokens
		e.mu.Lock()
		defer e.mu.Unlock()
		e.tokenEstimator.Learn(prompt.model, int64(len(prompt.text)), usage.PromptTokens)
		if used < taken {
			e.limiter.Refund(e.clock.Now(), r.workspace, taken-used)
		} else {
			e.limiter.Charge(e.clock.Now(), r.workspace, used-taken)
		}
	case answer.Unknown:
	}
}

// place returns the peer and the identifier of the next attempt, or the outcome if there is none. It waits while no
// worker may be asked.
func (e *Entry) place(ctx context.Context, r *request) (*peer, answer.ID, answer.Outcome) {
	for {
		e.mu.Lock()
		now := e.clock.Now()
		suspectState := e.suspectState(now, r)
		changed := e.viewChanged
		choice := e.chooseWorker(now, r, suspectState)
		if offer, ok := choice.(fleet.SendOffer); ok && e.peers[offer.Worker] != nil {
			p := e.peers[offer.Worker]
			id := r.nextID()
			e.view.Sent(now, id, offer.Worker, r.placementRequest(suspectState))
			e.mu.Unlock()
			return p, id, nil
		}
		e.mu.Unlock()
		switch choice := choice.(type) {
		case fleet.SendOffer:
			// The peers were removed in the meantime because the entry is stopping.
			if outcome := e.waitForChange(ctx, r, maxRetryDelay, changed); outcome != nil {
				return nil, answer.ID{}, outcome
			}
		case fleet.Reject:
			if outcome := e.rejectOrWait(ctx, r, choice, changed); outcome != nil {
				return nil, answer.ID{}, outcome
			}
		case fleet.Wait:
			if outcome := e.waitForChange(ctx, r, choice.Until.Sub(now), changed); outcome != nil {
				return nil, answer.ID{}, outcome
			}
		}
	}
}

// chooseWorker chooses a worker for the request. The caller holds the lock.
func (e *Entry) chooseWorker(now time.Time, r *request, suspectState fleet.SuspectState) fleet.Choice {
	w, ok := r.work.(*callWork)
	if !ok || !r.hasOwner() {
		return e.view.Choose(now, r.placementRequest(suspectState))
	}
	name, ok := e.ownerOf(r.workspace, w)
	if !ok {
		return fleet.Reject{Reason: answer.ReasonNoWorker}
	}
	if p := e.peers[name]; p == nil || !p.connected() {
		return fleet.Wait{Until: now.Add(maxRetryDelay)}
	}
	return fleet.SendOffer{Worker: name}
}

// ownerOf returns the only worker that may run a call with a key or a ticket. The caller holds the lock.
func (e *Entry) ownerOf(workspaceName string, w *callWork) (string, bool) {
	if w.ticket != "" {
		ticket, err := booking.ParseTicket(w.ticket)
		return ticket.Worker, err == nil
	}
	s := e.config.Snapshot()
	if s == nil {
		return "", false
	}
	owner, ok := booking.DeclaredOwnership(s, w.service).Owner(booking.EntryName(workspaceName, w.key))
	return owner.Name, ok
}

// rejectOrWait returns the outcome of a request that no worker can take. If workers that refused may be asked again, it
// waits for the retry delay and returns nil.
func (e *Entry) rejectOrWait(ctx context.Context, r *request, rejection fleet.Reject, changed <-chan struct{}) answer.Outcome {
	if len(r.triedWorkers) > 0 && rejection.Reason == answer.ReasonNoWorker {
		r.triedWorkers = nil
		return e.waitForChange(ctx, r, retryDelay(r.refusals, r.lastFailure.retryAfter), changed)
	}
	switch rejection.Reason {
	case answer.ReasonQuarantined:
		return r.failedOutcome(rejection.Reason, e.quarantineRemaining(r))
	case answer.ReasonNotServed:
		// The declarations name the model or the service, so a worker is missing from the membership.
		if e.lacksInstanceList() {
			return r.failedOutcome(answer.ReasonNotReady, listRetryDelay)
		}
		return r.failedOutcome(answer.ReasonNoWorker, 0)
	}
	return r.failedOutcome(rejection.Reason, 0)
}

// quarantineRemaining returns how long a request will still be refused.
func (e *Entry) quarantineRemaining(r *request) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	if q, ok := e.suspects.Check(now, r.fingerprint).(suspect.Quarantined); ok {
		return q.Until.Sub(now)
	}
	return 0
}

// waitForChange waits for d or for a change of the view. It returns the outcome if the request ends in the meantime.
func (e *Entry) waitForChange(ctx context.Context, r *request, d time.Duration, changed <-chan struct{}) answer.Outcome {
	timer := e.clock.NewTimer(max(d, time.Millisecond))
	defer timer.Stop()
	select {
	case <-timer.C():
		return nil
	case <-changed:
		return nil
	case <-ctx.Done():
		reason := r.lastFailure.reason
		if reason == "" {
			reason = contextReason(ctx)
		}
		return r.failedOutcome(reason, 0)
	}
}

// suspectState returns what is known about crashes caused by the request. The caller holds the lock.
func (e *Entry) suspectState(now time.Time, r *request) fleet.SuspectState {
	switch e.suspects.Check(now, r.fingerprint).(type) {
	case suspect.NotSuspect:
		return fleet.NotSuspect
	case suspect.Isolated:
		return fleet.Isolated
	case suspect.Quarantined:
		return fleet.Quarantined
	}
	return fleet.NotSuspect
}

func (e *Entry) tryRetry() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.retryBudget.Retry(e.clock.Now())
}

func (e *Entry) recordGrant(id answer.ID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.Granted(e.clock.Now(), id)
}

func (e *Entry) recordQueued(id answer.ID, position int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.view.Queued(e.clock.Now(), id, position)
}

// recordResult records the result of an attempt in the view.
func (e *Entry) recordResult(id answer.ID, res attemptResult, usage answer.Usage) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	switch res := res.(type) {
	case requestEnded:
		e.view.Ended(now, id, res.outcome, usage)
	case attemptFailed:
		if res.refused {
			reason := res.reason
			if reason == answer.ReasonStopping {
				reason = answer.ReasonDraining
			}
			e.view.Refused(now, id, fleet.Refusal{Reason: reason, RetryAfter: res.retryAfter, Fullness: res.fullness})
		} else {
			e.view.Ended(now, id, answer.Unknown{Reason: res.reason}, usage)
		}
	}
	e.notifyViewChanged()
}

// notifyViewChanged wakes the requests that wait for a change of the view. The caller holds the lock.
func (e *Entry) notifyViewChanged() {
	close(e.viewChanged)
	e.viewChanged = make(chan struct{})
}

// issueTicket asks any worker of the service for a ticket.
func (e *Entry) issueTicket(ctx context.Context, r *request) (*link.Ticket, *failure) {
	for {
		p, id, outcome := e.place(ctx, r)
		if outcome != nil {
			return nil, failureOf(outcome)
		}
		a := newAttempt(p, id)
		service := r.work.(*callWork).service
		ticket, res := a.awaitTicket(ctx, &link.TicketRequest{ID: link.WireID(id), Service: service})
		if ticket != nil {
			e.recordResult(id, requestEnded{answer.Done{}}, answer.Usage{})
			return ticket, nil
		}
		// A ticket request runs nothing even if the ticket is lost, so it can always be repeated.
		res.ran = false
		e.recordResult(id, res, answer.Usage{})
		if outcome := e.prepareRetry(ctx, r, p, res); outcome != nil {
			return nil, failureOf(outcome)
		}
	}
}
