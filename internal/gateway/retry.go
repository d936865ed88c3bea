package gateway

import (
	"slices"
	"time"

	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
)

// run is a backend server that may have run the request.
type run struct {
	server *roster.Server
	// answered is set if the server has sent at least the head of a response, so that it had neither ended nor been cut off.
	answered bool
}

// followTable applies the table in force to a request that was admitted on arrival, and reports whether the table still admits
// it. Its key may belong to another workspace by now, and its route may have other rules for retries. followTable must be called
// with the gateway's lock held.
func (q *request) followTable() bool {
	admitted, ok := q.gateway.currentTable.AdmitAgain(q.req.Host, q.req.Path, q.req.Key).(route.Admitted)
	if ok {
		q.current = admitted
	}
	return ok
}

// idempotent reports whether the request may run more than once, both by the table on arrival and by the one in force.
func (q *request) idempotent() bool {
	return q.admitted.Route.Idempotent() && q.current.Route.Idempotent()
}

// maySendAgain reports whether the route allows another backend server to run the request. It must be called with the gateway's
// lock held.
func (q *request) maySendAgain() bool {
	return len(q.runs) == 0 || q.idempotent() && q.countAttemptsLeft() > 0
}

// attemptsLeft returns how many more backend servers may run the request. Backend servers that have ended do not count
// against the route's limit; those that drain do, because they may still be running it. So do those that answered: a server
// whose entry is removed without notice goes on serving for a while.
func (q *request) attemptsLeft() int {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return q.countAttemptsLeft()
}

// countAttemptsLeft is attemptsLeft for callers that hold the gateway's lock.
func (q *request) countAttemptsLeft() int {
	remaining := min(q.admitted.Route.MaxAttempts, q.current.Route.MaxAttempts)
	for _, r := range q.runs {
		if r.answered || q.gateway.roster.Present(r.server) {
			remaining--
		}
	}
	return remaining
}

// maySendElsewhere reports whether the request could be sent to another backend server if a running attempt, which may
// have run, ended now. It must be called with the gateway's lock held.
func (q *request) maySendElsewhere(now time.Time, a *attempt) bool {
	g := q.gateway
	if q.sends >= maxSends || !q.followTable() || !q.idempotent() || !g.retries.Allows(now, dispatch.ServiceKey(q.service)) {
		return false
	}
	left := q.countAttemptsLeft()
	if g.roster.Present(a.server) {
		left--
	}
	return left > 0 && !g.requests.Quarantined(now, q.fingerprint) && slices.ContainsFunc(g.roster.InService(q.service), func(s *roster.Server) bool {
		return s.ID != a.server.ID && !slices.Contains(q.tried, s.ID) && g.planner.BusyFor(now, s) == 0
	}) && q.servedElsewhere(now, a)
}

// servedElsewhere reports whether another backend server could take the request now and begin in time, and complete the answer
// before the end of a shutdown, if there is one. It must be called with the gateway's lock held.
func (q *request) servedElsewhere(now time.Time, a *attempt) bool {
	g := q.gateway
	tried := append(slices.Clone(q.tried), a.server.ID)
	profile := q.currentProfile()
	profile.CompleteBy = q.completeBy()
	switch g.planner.Place(now, profile, g.roster.InService(q.service), tried).(type) {
	case dispatch.Send, dispatch.JointPrefill:
		return true
	case dispatch.Hold, dispatch.NoPlacement:
	}
	return false
}

// mayRetry reports whether the request may be sent again after an attempt has failed.
func (q *request) mayRetry() bool {
	if q.sends >= maxSends || q.ctx.Err() != nil {
		return false
	}
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return q.maySendAgain()
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
