package dispatch

import "time"

const (
	// A prompt is heavy if its prefill on one engine takes more than heavyPrefillFactor times its target. The heavy
	// prompts of all gateways form one queue, from which they are sent in the order of arrival as far as their share of
	// the engines' time allows. Without a limit they would make shorter prompts late, and without a share of their own
	// they would wait for idle engines in vain.
	heavyPrefillFactor = 2
	// idleMeanPrefill is the mean pending prefill up to which the engines count as idle, so that heavy prompts may
	// exceed their share.
	idleMeanPrefill = 90 * time.Millisecond
	// minHeavyShare is the share of the engines' time that heavy prompts may always use.
	minHeavyShare = 0.25
	// heavyPace is the time in which the queue of heavy prompts should be done. The longer the queue, the larger is
	// their share, up to their part in the prefill of all long prompts.
	heavyPace = 4 * time.Second
	// Heavy prompts have their share of the prefill that is pending at the engines, which counts as at least
	// minShareWindow for each. Beyond maxShareWindow they wait, because more pending prefill makes all prompts late.
	minShareWindow = time.Second
	maxShareWindow = 1500 * time.Millisecond
	// maxQueueShare is the share of its time up to the deadline that a request may wait in the queue.
	maxQueueShare = 0.6
	// minOverloadedRetry is the shortest delay that is suggested to the caller of a request refused because of the queue.
	minOverloadedRetry = time.Second
)

// heavy reports whether one engine would take a multiple of the target time to prefill the prompt.
func (p RequestProfile) heavy() bool {
	return p.Engine != nil && p.PrefillTime() > heavyPrefillFactor*p.Target
}

// arrivedAt returns when the request arrived.
func (p RequestProfile) arrivedAt() time.Time { return p.TargetTime.Add(-p.Target) }

// queuePosition is the place of a request in the queue of heavy prompts of all gateways.
type queuePosition struct {
	// ahead is the heavy prefill that is pending at the engines or held for older requests, late that of prompts which
	// may be sent at any time.
	ahead, late time.Duration
	// allowed is the pending prefill of heavy prompts that their share allows.
	allowed time.Duration
	// drainTime is the time in which the engines do the pending prefill that the share allows.
	drainTime time.Duration
	// sameRoute is set if the request is heavy itself, or if prompts of its route are in the queue.
	sameRoute bool
}

// view returns the position for logs.
func (q queuePosition) view() QueueView {
	return QueueView{Ahead: q.ahead, Allowed: q.allowed, Wait: q.wait()}
}

// due reports whether it is the request's turn.
func (q queuePosition) due() bool { return q.ahead <= q.allowed }

// wait returns the predicted time until it is the request's turn.
func (q queuePosition) wait() time.Duration {
	if q.due() {
		return 0
	}
	return seconds(q.drainTime.Seconds() * float64(q.ahead+q.late-q.allowed) / float64(q.allowed))
}

// queuePosition returns the place of a long prompt in the queue, as if it were heavy.
func (p *Planner) queuePosition(now time.Time, profile RequestProfile, candidates []candidate) queuePosition {
	var pending time.Duration
	for i := range candidates {
		pending += candidates[i].total.PendingHeavy
	}
	queued := p.queue.seenBy(profile)
	engines := float64(len(candidates))
	work := pending + queued.older + queued.younger + queued.due + profile.PrefillTime()
	needed := work.Seconds() / heavyPace.Seconds() / engines
	share := max(minHeavyShare, min(needed, p.queue.heavyShare(now, profile.Service)))
	if p.queue.held[profile.HoldID].due {
		// The others whose turn has come do not go first.
		queued.due = 0
	}
	delay := meanPendingPrefill(candidates)
	window := min(max(delay, minShareWindow), maxShareWindow)
	return queuePosition{
		ahead: pending + queued.older, late: queued.due, allowed: seconds(share * engines * window.Seconds()),
		drainTime: max(delay, window), sameRoute: queued.sameRoute || profile.heavy(),
	}
}

// refuseForQueue refuses a request that has just arrived if the queue is too long, and reports whether it does. The
// decision does not depend on the length of the prompt, so that an overload is shed evenly over the prompts of a route.
func refuseForQueue(profile RequestProfile, position queuePosition) (NoPlacement, bool) {
	limit := seconds(maxQueueShare * profile.Deadline.Sub(profile.arrivedAt()).Seconds())
	wait := position.wait()
	if profile.Admitted || !position.sameRoute || wait <= limit {
		return NoPlacement{}, false
	}
	return NoPlacement{Reason: Overloaded, RetryAfter: max(wait-limit, minOverloadedRetry)}, true
}

// delayHeavy holds or refuses a heavy prompt, and reports whether it does; otherwise the prompt may be sent. expected is
// the predicted time to its first event if it is sent now.
func delayHeavy(now time.Time, profile RequestProfile, position queuePosition, candidates []candidate, expected time.Duration) (Placement, bool) {
	if !profile.heavy() {
		return nil, false
	}
	due := position.due() || meanPendingPrefill(candidates) <= idleMeanPrefill
	needed := expected
	if !due {
		needed += position.wait() + deadlineMargin
	}
	if over := now.Add(needed).Sub(profile.Deadline); over > 0 {
		return NoPlacement{Reason: Overloaded, RetryAfter: max(over, minOverloadedRetry)}, true
	}
	if due {
		return nil, false
	}
	return hold(HoldHeavy, candidates, expected), true
}
