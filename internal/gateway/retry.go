package gateway

import (
	"slices"
	"time"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
)

// attemptsLeft returns how many more backend servers may run the request. Backend servers that have ended do not count
// against the route's limit; those that drain do, because they may still be running it.
func (q *request) attemptsLeft() int {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return q.countAttemptsLeft()
}

// countAttemptsLeft is attemptsLeft for callers that hold the gateway's lock.
func (q *request) countAttemptsLeft() int {
	remaining := q.admitted.Route.MaxAttempts
	for _, s := range q.ranOn {
		if q.gateway.roster.Present(s) {
			remaining--
		}
	}
	return remaining
}

// maySendElsewhere reports whether the request could be sent to another backend server if a running attempt, which may
// have run, ended now. It must be called with the gateway's lock held.
func (q *request) maySendElsewhere(now time.Time, a *attempt) bool {
	g := q.gateway
	if q.sends >= maxSends || !q.admitted.Route.Idempotent() || !g.retries.Allows(now, dispatch.ServiceKey(q.service)) {
		return false
	}
	left := q.countAttemptsLeft()
	if g.roster.Present(a.server) {
		left--
	}
	_, admitted := q.stillAdmitted()
	return left > 0 && admitted && !g.requests.Quarantined(now, q.fingerprint) && slices.ContainsFunc(g.roster.InService(q.service), func(s *roster.Server) bool {
		return s.ID != a.server.ID && !slices.Contains(q.tried, s.ID) && g.planner.BusyFor(now, s) == 0
	}) && q.completesElsewhere(now, a)
}

// completesElsewhere reports whether another backend server could complete the answer before the end of a shutdown, if there
// is one. It must be called with the gateway's lock held.
func (q *request) completesElsewhere(now time.Time, a *attempt) bool {
	if q.completeBy().IsZero() {
		return true
	}
	g := q.gateway
	tried := append(slices.Clone(q.tried), a.server.ID)
	switch g.planner.Place(now, q.currentProfile(), g.roster.InService(q.service), tried).(type) {
	case dispatch.Send, dispatch.JointPrefill:
		return true
	case dispatch.Hold, dispatch.NoPlacement:
	}
	return false
}

// mayRetry reports whether the request may be sent again after it may have run on the backend servers in q.ranOn.
func (q *request) mayRetry() bool {
	if q.sends >= maxSends || q.ctx.Err() != nil {
		return false
	}
	if len(q.ranOn) == 0 {
		return true
	}
	return q.admitted.Route.Idempotent() && q.attemptsLeft() > 0
}

// retryDelay returns the retry delay for the caller of a request that may not be sent again. It is the time until a
// backend server takes requests again if none does now.
func (q *request) retryDelay() time.Duration {
	g := q.gateway
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if wait := g.planner.NextFree(now, g.roster.InService(q.service)); wait > 0 {
		return wait
	}
	return retryAfterDefault
}
