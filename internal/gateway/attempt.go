package gateway

import (
	"slices"
	"sync"
	"time"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/suspect"
)

// minRemaining is the shortest remaining time in which an attempt is started; with less, the response could not arrive
// before the deadline.
const minRemaining = 5 * time.Millisecond

// attemptResult says how an attempt ended. It is a sealed interface: completed, retryable and permanentFailure are its
// only implementations.
//
//sumtype:decl
type attemptResult interface{ attemptResult() }

// completed means that the caller has received its response or has disconnected.
type completed struct{}

// retryable means that the attempt failed and the request may be sent again if the retry rules allow it.
type retryable struct{ reason string }

// permanentFailure means that the request has failed and must not be sent again.
type permanentFailure struct{ reason string }

func (completed) attemptResult()        {}
func (retryable) attemptResult()        {}
func (permanentFailure) attemptResult() {}

// attempt is one send of a request to a backend server.
type attempt struct {
	server      *roster.Server
	helpers     []*roster.Server
	leases      *leases
	placementID dispatch.PlacementID
	placedAt    time.Time
	sentAt      time.Time
	expected    time.Duration
	load        dispatch.Load
	joint       bool
	last        bool // no further send is allowed after this one
	probe       bool // the request is sent to show whether it still ends backend servers
	givenUp     bool // the attempt is not waited for any more, but its backend server may still run it
	prefilling  bool // the wait for an event was extended because the engine prefills, which counts once
	// firstEventAt is when the first event arrived; answerRecorded is set once the answer has been recorded for the parts of
	// the prompt.
	firstEventAt   time.Time
	answerRecorded bool
}

// runAttempts sends the request until the caller has its response or no further attempt is allowed.
func (q *request) runAttempts(send func(*attempt) attemptResult) {
	for {
		a := q.nextAttempt()
		if a == nil {
			return
		}
		var reason string
		q.attempt = a
		result := send(a)
		q.attempt = nil
		q.endProbe(a)
		switch s := result.(type) {
		case completed:
			return
		case permanentFailure:
			q.fail(s.reason)
			return
		case retryable:
			reason = s.reason
		}
		if !q.mayRetry() {
			q.giveUp(reason, q.retryDelay())
			return
		}
	}
}

// nextAttempt chooses the backend server of the next attempt and records the attempt with the planner. It blocks while
// the planner holds the request. It returns nil when the request has ended.
func (q *request) nextAttempt() *attempt {
	for {
		a, wait := q.placeOnce()
		if wait == 0 {
			q.endHold()
			if a == nil {
				q.cancelProbes()
			}
			return a
		}
		began := q.gateway.clock.Now()
		q.awaitHold(wait)
		q.heldTime += q.gateway.clock.Since(began)
	}
}

// placeOnce returns the next attempt, or how long to hold the request before the next try.
func (q *request) placeOnce() (*attempt, time.Duration) {
	g := q.gateway
	now := g.clock.Now()
	remaining := q.deadline.Sub(now)
	if remaining < minRemaining || q.ctx.Err() != nil {
		q.expire()
		return nil, 0
	}
	if q.outlastsShutdown(remaining) {
		q.giveUp("stopping", retryAfterElsewhere)
		return nil, 0
	}
	g.mu.Lock()
	unlock := sync.OnceFunc(g.mu.Unlock)
	defer unlock() // after a panic
	ok := q.followTable() && q.maySendAgain() && q.followShares(q.current.Route)
	requestQuarantine, quarantined := q.checkRequest(now).(suspect.RequestQuarantined)
	parts := q.checkParts(now)
	partQuarantine, isPartQuarantined := parts.(suspect.PartQuarantined)
	service := dispatch.ServiceKey(q.service)
	withinBudget := !q.exchanged || g.retries.Allows(now, service)
	var placement dispatch.Placement = dispatch.NoPlacement{}
	var placementID dispatch.PlacementID
	if ok && !quarantined && !isPartQuarantined && withinBudget {
		placement, placementID = q.place(now)
		if placementID != 0 && q.exchanged {
			g.retries.TryRetry(now, service)
		}
	}
	gateways, peerAge := g.group.Size(), g.planner.OldestReportAge(now)
	unlock()
	switch {
	case !ok:
		q.giveUp("withdrawn", retryAfterElsewhere)
		return nil, 0
	case quarantined:
		g.log.Info("request refused: backend servers crashed while running it", "request", q.req.ID, "fingerprint", q.fingerprint.Short(),
			"for-ms", requestQuarantine.Until.Sub(now).Milliseconds())
		q.giveUp("quarantined", requestQuarantine.Until.Sub(now))
		return nil, 0
	case isPartQuarantined:
		g.log.Info("request refused: prompt part quarantined", "request", q.req.ID, "part", partQuarantine.Part.String(),
			"for-ms", partQuarantine.Until.Sub(now).Milliseconds())
		q.giveUp("quarantined-part", partQuarantine.Until.Sub(now))
		return nil, 0
	case !withinBudget:
		q.giveUp("retry-budget", retryAfterDefault)
		return nil, 0
	}
	q.sends++
	a := &attempt{placementID: placementID, placedAt: now}
	switch p := placement.(type) {
	case dispatch.Hold:
		q.sends--
		q.recordHold(p, gateways)
		return nil, p.Delay
	case dispatch.NoPlacement:
		q.sends--
		g.log.Info("no placement", "request", q.req.ID, "reason", string(p.Reason), "rank", q.profile.Rank.String(), "tried", len(q.tried), "table", q.current.Version,
			"queue-ahead-ms", p.Queue.Ahead.Milliseconds(), "queue-allowed-ms", p.Queue.Allowed.Milliseconds(), "queue-wait-ms", p.Queue.Wait.Milliseconds())
		q.giveUp(string(p.Reason), p.RetryAfter)
		return nil, 0
	case dispatch.Send:
		a.server, a.expected, a.load = p.Server, p.Expected, p.Seen
	case dispatch.JointPrefill:
		a.server, a.helpers, a.expected, a.load, a.joint = p.Servers[0], p.Servers[1:], p.Expected, p.Seen, true
		if p.Reserved {
			a.leases = newLeases(q, p.Servers)
		}
	}
	a.probe, q.probesPart, q.probesRequest = q.probesRequest, false, false
	a.last = q.sends >= maxSends || q.attemptsLeft() <= 1
	g.log.Info("sent", "request", q.req.ID, "backend", a.server.ID, "send", q.sends, "helpers", serverIDs(a.helpers),
		"expected-ms", a.expected.Milliseconds(), "remaining-ms", remaining.Milliseconds(), "table", q.current.Version,
		"backend-revision", a.server.Revision, "short", a.load.Short, "long", a.load.Long, "unread-ms", a.load.PendingPrefill.Milliseconds(),
		"gateways", gateways, "peer-age-ms", peerAge.Milliseconds())
	return a, 0
}

// place asks the planner for a placement and records it. It must be called with the gateway's lock held.
func (q *request) place(now time.Time) (dispatch.Placement, dispatch.PlacementID) {
	planner, profile := q.gateway.planner, q.currentProfile()
	placement := planner.Place(now, profile, q.gateway.roster.InService(q.service), q.tried)
	switch p := placement.(type) {
	case dispatch.Hold:
		q.holdID = planner.RecordHold(now, profile, p)
	case dispatch.Send, dispatch.JointPrefill, dispatch.NoPlacement:
	}
	return placement, planner.RecordPlacement(now, q.profile, placement)
}

// endHold records that the request is not held any more.
func (q *request) endHold() {
	if q.holdID == 0 {
		return
	}
	q.gateway.locked(func() { q.gateway.planner.EndHold(q.holdID) })
	q.holdID = 0
}

// recordHold counts the first hold of a request and logs the first hold for each reason.
func (q *request) recordHold(h dispatch.Hold, gateways int) {
	if len(q.holdReasons) == 0 {
		q.gateway.metrics.count("held")
	}
	if slices.Contains(q.holdReasons, h.Reason) {
		return
	}
	q.holdReasons = append(q.holdReasons, h.Reason)
	q.gateway.metrics.count("held-" + string(h.Reason))
	q.gateway.log.Info("held", "request", q.req.ID, "reason", string(h.Reason), "rank", q.profile.Rank.String(), "expected-ms", h.Expected.Milliseconds(),
		"mean-unread-ms", h.MeanPending.Milliseconds(), "queue-ahead-ms", h.Queue.Ahead.Milliseconds(),
		"queue-allowed-ms", h.Queue.Allowed.Milliseconds(), "queue-wait-ms", h.Queue.Wait.Milliseconds(),
		"elapsed-ms", q.elapsed().Milliseconds(), "gateways", gateways)
}

func serverIDs(servers []*roster.Server) []string {
	result := make([]string, 0, len(servers))
	for _, s := range servers {
		result = append(result, s.ID)
	}
	return result
}

// currentProfile returns the profile of the next attempt. A request is not held once its caller has received a part of
// the response, because the caller is waiting for the next event.
func (q *request) currentProfile() dispatch.RequestProfile {
	profile := q.profile
	profile.HoldID = q.holdID
	// That a silent attempt is given up rests on a prediction for another backend server. It is not made again for the next
	// placement: other requests may have been moved there meanwhile, and the answer would be cut for which the server still worked.
	if !q.moved {
		profile.CompleteBy = q.completeBy()
	}
	if q.delivered {
		profile.TargetTime, profile.Deadline = time.Time{}, time.Time{}
	}
	return profile
}

// expire ends a request whose deadline has passed, which must end because of a shutdown, or whose caller has disconnected.
func (q *request) expire() {
	if q.deadline.Sub(q.gateway.clock.Now()) < minRemaining {
		if len(q.runs) == 0 && !q.delivered {
			q.refuse("deadline", retryAfterDefault)
			return
		}
		q.fail("deadline")
		return
	}
	if q.gateway.shutdown.hasEndedRequests() {
		q.giveUp("stopping", retryAfterElsewhere)
		return
	}
	q.leave()
}

// mayStillSend reports whether the table still admits the request and the backend servers of an attempt still take requests. Time
// passes between the placement and the send when memory is reserved first.
func (q *request) mayStillSend(a *attempt) bool {
	g := q.gateway
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !q.followTable() || !q.maySendAgain() {
		return false
	}
	for _, s := range append([]*roster.Server{a.server}, a.helpers...) {
		if !g.roster.StillInService(s) || g.planner.BusyFor(now, s) > 0 {
			return false
		}
	}
	return true
}
