package prompt

import (
	"slices"
	"time"

	"berylward.example/berylward/internal/memory"
	"berylward.example/berylward/pkg/answer"
)

// maxCandidates bounds the number of queued requests that selectNext compares, and so the cost of one start.
const maxCandidates = 256

// NextActions returns what the owner must do now: expirations first, then starts, then suspensions and resumptions.
func (s *Scheduler) NextActions(now time.Time) []Action {
	s.ended.expire(now)
	actions := s.expire(now, nil)
	if !s.draining {
		actions = s.startQueued(now, actions)
	}
	if s.canSuspend {
		actions = s.suspendOrResume(now, actions)
	}
	return actions
}

// NextWakeup returns the time at which NextActions must be called even if nothing else happens, or the zero time if
// there is none.
func (s *Scheduler) NextWakeup() time.Time {
	var wake time.Time
	if len(s.expiries) > 0 {
		wake = s.expiries[0].expiry
	}
	if s.canSuspend {
		for _, req := range s.active {
			if at := s.resumeAt(req); req.suspended && (wake.IsZero() || at.Before(wake)) {
				wake = at
			}
		}
	}
	return wake
}

func (s *Scheduler) expire(now time.Time, actions []Action) []Action {
	for len(s.expiries) > 0 && !now.Before(s.expiries[0].expiry) {
		req := s.expiries[0]
		if req.stage == stageQueued || req.stage == stageGranted {
			s.endNotStarted(now, req)
			reason := answer.ReasonDeadline
			if req.stage == stageGranted && now.Before(req.Deadline) {
				// The owner did not use the lease in time, for example because its process was paused.
				reason = answer.ReasonNotReady
			}
			actions = append(actions, Expire{ID: req.ID, Outcome: notRun(reason)})
			continue
		}
		// The owner cancels the stream. The memory stays reserved until the owner reports the end.
		s.expiries.removeFirst()
		if req.stage == stageBegun {
			req.stage = stageCancelling
			actions = append(actions, Expire{ID: req.ID, Outcome: unknown(answer.ReasonDeadline)})
		}
	}
	return actions
}

func (s *Scheduler) expireNotBegun(now time.Time, reason answer.Reason, actions []Action) []Action {
	for c := range s.queues {
		for len(s.queues[c]) > 0 {
			req := s.queues[c][len(s.queues[c])-1]
			s.endNotStarted(now, req)
			actions = append(actions, Expire{ID: req.ID, Outcome: notRun(reason)})
		}
	}
	for _, req := range slices.Clone(s.active) {
		if req.stage == stageGranted {
			s.endNotStarted(now, req)
			actions = append(actions, Expire{ID: req.ID, Outcome: notRun(reason)})
		}
	}
	return actions
}

// startQueued grants queued requests class by class. If the request selected next in a class does not fit, the whole
// class waits, so that smaller requests cannot overtake it indefinitely.
func (s *Scheduler) startQueued(now time.Time, actions []Action) []Action {
	for again := true; again; {
		previousBlocked := s.blocked
		for c := range s.queues {
			for len(s.queues[c]) > 0 {
				req := s.selectNext(now, Class(c))
				if s.tooLarge(req) {
					// The engine's memory has shrunk since the offer. If the request waited, it would block its
					// class.
					s.endNotStarted(now, req)
					actions = append(actions, Expire{ID: req.ID, Outcome: notRun(answer.ReasonTooLarge)})
					continue
				}
				if !s.hasPrefillRoom(req.class) {
					break
				}
				if !s.fits(req) {
					if req.class != Short && (s.blocked == nil || req.prefillDue.Before(s.blocked.prefillDue)) {
						s.blocked = req
					}
					break
				}
				s.dequeue(req)
				actions = append(actions, Start{Lease: s.grant(now, req)})
			}
		}
		// If the request that was blocked no longer is, requests that had to yield to it may fit now.
		again = previousBlocked != nil && s.blocked != previousBlocked
	}
	return actions
}

// selectNext returns the request with the earliest prefill due time among the workspaces with the least service, unless
// the requests that it overtakes would become late. In that case it returns the request with the earliest prefill due
// time of all.
func (s *Scheduler) selectNext(now time.Time, c Class) *liveRequest {
	queue := s.queues[c]
	// While a request of the class is blocked, the class is served in order of prefill due time. Later requests
	// yield to the blocked one, so selecting one of them would start neither.
	if s.singleQueue || len(queue) == 1 || (s.blocked != nil && s.blocked.class == c) {
		return queue[0]
	}
	candidates := queue[:min(len(queue), maxCandidates)]
	leastService := candidates[0].flow.service
	for _, req := range candidates {
		leastService = min(leastService, req.flow.service)
	}
	// Workspaces whose service differs by less than one second of prefill count as equal, so that small differences
	// do not override the deadlines.
	prefillRate := s.prefillRate.perSecond()
	classRate := s.classPrefillRate(c)
	tokensAhead := float64(0)
	for class := Short; class <= c; class++ {
		tokensAhead += float64(s.pendingPrefill[class])
	}
	slack := time.Duration(1<<63 - 1)
	for _, req := range candidates {
		if req.flow.service <= leastService+prefillRate {
			if seconds(float64(req.remainingPrefill)/classRate) <= slack {
				return req
			}
			break
		}
		finish := (tokensAhead/classRate + s.serviceSeconds(req, classRate)) * (1 + predictionMargin/2)
		slack = min(slack, req.Deadline.Sub(now)-seconds(finish))
		tokensAhead += float64(req.remainingPrefill)
	}
	return queue[0]
}

// hasPrefillRoom reports whether the engine's pending prefill of this class is below the amount that is sent ahead.
func (s *Scheduler) hasPrefillRoom(c Class) bool {
	return s.pendingPrefill[c] == 0 || float64(s.pendingPrefill[c]) < s.prefillAhead.Seconds()*s.prefillRate.perSecond()
}

// fits reports whether a request fits into the shares, the window and the memory. While a medium or long request is
// blocked, requests with a later prefill due time must not take capacity that it could use: short ones are limited to
// the short share, and the others wait.
func (s *Scheduler) fits(req *liveRequest) bool {
	limits := s.window.Limits()
	charge := s.windowCharge(req)
	dueAfterBlocked := s.blocked != nil && s.blocked != req && req.prefillDue.After(s.blocked.prefillDue)
	if !s.singleQueue && req.class != Short {
		if dueAfterBlocked || s.bulkCount >= s.bulkSlots(limits.Requests) ||
			s.bulkTokens+charge > s.bulkWindowTokens(limits.Tokens) ||
			s.reservations.BulkUsed()+req.tokens() > s.reservations.BulkLimit() {
			return false
		}
	} else if !s.singleQueue && dueAfterBlocked {
		shortUsed := s.reservations.Used() - s.reservations.BulkUsed()
		shortCount := len(s.active) - s.bulkCount
		if shortUsed+req.tokens() > s.reservations.Limit()-s.reservations.BulkLimit() ||
			(shortCount > 0 && shortCount >= limits.Requests-s.bulkSlots(limits.Requests)) {
			return false
		}
	}
	return s.window.Allow(charge) && s.reservations.Used()+req.tokens() <= s.reservations.Limit()
}

// grant reserves memory and window capacity for a request that fits, and returns its lease.
func (s *Scheduler) grant(now time.Time, req *liveRequest) Lease {
	until := now.Add(grantLifetime)
	if req.Deadline.Before(until) {
		until = req.Deadline
	}
	s.reservations.Reserve(now, memory.ReservationRequest{
		ID: req.ID, Prompt: req.Uncached(), Generate: req.MaxTokens, Short: s.singleQueue || req.class == Short, Until: until,
	})
	req.windowCharge = s.windowCharge(req)
	s.window.Started(req.ID, req.windowCharge)
	if req.class != Short {
		s.bulkCount++
		s.bulkTokens += req.windowCharge
	}
	req.stage = stageGranted
	s.active = append(s.active, req)
	s.pendingPrefill[req.class] += req.remainingPrefill
	s.virtualTime[req.class] = max(s.virtualTime[req.class], req.flow.service)
	req.flow.service += float64(req.remainingPrefill) / req.weight()
	s.setExpiry(req, until)
	return s.leaseOf(req)
}

func (s *Scheduler) leaseOf(req *liveRequest) Lease {
	l := Lease{ID: req.ID, Until: req.expiry, Class: req.class}
	if !s.singleQueue {
		l.Priority = enginePriority(req.class, req.Priority)
	}
	return l
}

// release frees the memory and the window capacity of an active request.
func (s *Scheduler) release(req *liveRequest) {
	s.recordPrefill(req, req.remainingPrefill)
	s.reservations.Release(req.ID)
	s.window.Abandoned(req.ID)
	if req.class != Short {
		s.bulkCount--
		s.bulkTokens -= req.windowCharge
	}
	if i := slices.Index(s.active, req); i >= 0 {
		s.active = slices.Delete(s.active, i, i+1)
	}
}

// recordPrefill subtracts prefilled tokens from the pending prefill of an active request.
func (s *Scheduler) recordPrefill(req *liveRequest, tokens int64) {
	if tokens <= 0 {
		return
	}
	req.remainingPrefill -= tokens
	s.pendingPrefill[req.class] -= tokens
	if req.remainingPrefill == 0 && req.stage != stageGranted && !req.suspended {
		s.runningPrefills--
	}
}

// observePrefill updates the prefill rate estimate. Time counts only while at least one prefill is running.
func (s *Scheduler) observePrefill(now time.Time, tokens int64) {
	var busy time.Duration
	if s.runningPrefills > 0 {
		busy = now.Sub(s.prefillObservedAt)
	}
	s.prefillRate.observe(tokens, busy)
	s.prefillObservedAt = now
}

// suspendOrResume suspends long prefills while short ones are pending, unless their slack is at most twice resumeSlack.
// It resumes them when no short prefill is pending or their slack has fallen to resumeSlack.
func (s *Scheduler) suspendOrResume(now time.Time, actions []Action) []Action {
	for _, req := range s.active {
		if req.class != Long || req.stage != stageBegun || (req.remainingPrefill == 0 && !req.suspended) {
			continue
		}
		slack := s.resumeAt(req).Sub(now)
		switch {
		case !req.suspended && s.pendingPrefill[Short] > 0 && slack > s.resumeSlack:
			s.observePrefill(now, 0)
			req.suspended = true
			s.runningPrefills--
			actions = append(actions, Suspend{ID: req.ID})
		case req.suspended && (s.pendingPrefill[Short] == 0 || slack <= 0):
			s.observePrefill(now, 0)
			req.suspended = false
			if req.remainingPrefill > 0 {
				s.runningPrefills++
			}
			actions = append(actions, Resume{ID: req.ID})
		}
	}
	return actions
}

// resumeAt returns the time at which the slack of a long prefill has fallen to resumeSlack.
func (s *Scheduler) resumeAt(req *liveRequest) time.Time {
	rate := s.bulkPrefillRate()
	need := seconds((float64(s.pendingPrefill[Long]-req.remainingPrefill)/rate + s.serviceSeconds(req, rate)) * (1 + predictionMargin))
	return req.Deadline.Add(-need - s.resumeSlack)
}

// repeatedOffer answers a repeated offer of a live request.
func (s *Scheduler) repeatedOffer(now time.Time, req *liveRequest) AdmissionDecision {
	switch req.stage {
	case stageQueued:
		p := s.predict(now, req)
		return Queued{Position: p.position, Start: now.Add(p.start)}
	case stageGranted, stageBegun, stageCancelling:
	}
	// A refusal would claim that the request did not run. Begin rejects a second use of the lease.
	return Grant{Lease: s.leaseOf(req)}
}

func (s *Scheduler) newRequest(now time.Time, r Request) *liveRequest {
	s.lastArrival++
	req := &liveRequest{Request: r, arrival: s.lastArrival, remainingPrefill: r.Uncached(), remainingDecode: max(r.MaxTokens, 0), heapIndex: -1}
	if !s.singleQueue {
		req.class = s.bounds.ClassOf(req.remainingPrefill)
	}
	if s.origin.IsZero() {
		s.origin = now
	}
	req.tokenDemand, req.deadlineOffset = float64(req.tokens()), r.Deadline.Sub(s.origin).Seconds()
	req.prefillDue = r.Deadline.Add(-seconds(float64(req.remainingDecode) / s.decodeRate.perSecond()))
	req.reportedAt = now
	// After this time even the first token would miss the deadline.
	req.expiry = r.Deadline.Add(-seconds(float64(req.remainingPrefill) / s.prefillRate.perSecond()))
	return req
}

// tooLarge reports whether the request does not even fit into an idle backend server.
func (s *Scheduler) tooLarge(req *liveRequest) bool {
	if s.singleQueue || req.class == Short {
		return req.tokens() > s.reservations.Limit()
	}
	return req.tokens() > s.reservations.BulkLimit()
}

// queueFull reports whether the queue limit rejects a request of this workspace. When the queue is at least half
// full, each workspace may hold only an equal part of it, so that one workspace cannot fill the queue.
func (s *Scheduler) queueFull(workspace string) bool {
	if s.queuedCount >= s.queueLimit {
		return true
	}
	if s.singleQueue || 2*s.queuedCount < s.queueLimit {
		return false
	}
	active := len(s.queuedByWorkspace)
	if s.queuedByWorkspace[workspace] == 0 {
		active++
	}
	return s.queuedByWorkspace[workspace] >= max(s.queueLimit/active, 1)
}

// bulkSlots returns how many medium and long requests may be in flight. It is at least one, or they would never
// run.
func (s *Scheduler) bulkSlots(requests int) int {
	return max(int(float64(requests)*(1-s.shortShare)), 1)
}

func (s *Scheduler) bulkWindowTokens(tokens int64) int64 {
	return int64(float64(tokens) * (1 - s.shortShare))
}

// windowCharge returns the number of tokens that a request occupies in the window. The engine prefills in chunks,
// so a request larger than the window is charged with the whole window that its class may use; no other request of
// that share then runs beside it.
func (s *Scheduler) windowCharge(req *liveRequest) int64 {
	limit := s.window.Limits().Tokens
	if req.class != Short {
		limit = s.bulkWindowTokens(limit)
	}
	return min(req.tokens(), limit)
}
