package gateway

import (
	"github.com/go-faster/errors"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
)

// recordOutcome reports the outcome of an attempt to the planner and releases the memory reserved for it.
func (q *request) recordOutcome(a *attempt, o dispatch.Outcome) {
	g := q.gateway
	now := g.clock.Now()
	g.locked(func() {
		g.planner.RecordEnd(now, a.placementID, o)
		switch o.(type) {
		case dispatch.Answered, dispatch.Errored, dispatch.Full:
			g.unanswered.RecordAlive(now, serverKey(a.server))
		default:
		}
	})
	if a.leases != nil {
		a.leases.release()
	}
}

// handleFailure decides what follows an attempt that failed before a complete response arrived.
func (q *request) handleFailure(a *attempt, err error) attemptResult {
	var failure *backend.Error
	if !errors.As(err, &failure) {
		failure = &backend.Error{Op: "exchange", Kind: backend.KindConnectionLost, Err: err}
	}
	if failure.LacksDescriptors() {
		q.recordOutcome(a, dispatch.Abandoned{})
		q.gateway.log.Info("no file descriptor left for a connection to a backend server", "request", q.req.ID, "error", failure.Err.Error())
		q.giveUp("descriptors", retryAfterElsewhere)
		return completed{}
	}
	if failure.Sent() {
		q.runs = append(q.runs, run{server: a.server, answered: failure.Kind == backend.KindMalformed})
	}
	q.tried = append(q.tried, a.server.ID)
	q.moved = failure.Kind == backend.KindTimeout && q.gateway.shutdown.hasBegun()
	if failure.Sent() && failure.Kind != backend.KindConnectionLost {
		q.recordGivenUp(a)
	}
	if q.ctx.Err() != nil {
		q.recordOutcome(a, dispatch.Abandoned{})
		q.expire()
		return completed{}
	}
	switch {
	case failure.Kind == backend.KindConnectionLost && failure.Reused:
		// The backend server may have closed an idle connection, which says little about its health.
		q.recordOutcome(a, dispatch.Abandoned{})
	case failure.Kind == backend.KindDial:
		q.recordOutcome(a, dispatch.Unreachable{})
	default:
		q.recordOutcome(a, dispatch.Lost{})
	}
	switch {
	case failure.Kind == backend.KindConnectionLost:
		q.recordLostConnection(a, failure)
	case failure.Refused():
		q.gateway.recordRefusedDial(a.server)
	}
	q.gateway.metrics.count("attempts-" + string(failure.Kind))
	q.gateway.log.Info("attempt lost", "request", q.req.ID, "backend", a.server.ID, "kind", string(failure.Kind), "reused", failure.Reused,
		"error", failure.Err.Error(), "elapsed-ms", q.elapsed().Milliseconds(), "delivered", q.delivered)
	return retryable{"backend-" + string(failure.Kind)}
}

// handleRefusal decides what follows a response that says that the request did not run.
func (q *request) handleRefusal(a *attempt, r ResponseHead) attemptResult {
	if r.RetryAfter == 0 {
		q.tried = append(q.tried, a.server.ID)
	}
	if faulty := q.faultyHelper(a, r); faulty != nil {
		now := q.gateway.clock.Now()
		q.gateway.locked(func() { q.gateway.planner.RecordHelperFailure(now, faulty) })
		q.tried = append(q.tried, faulty.ID)
		q.recordOutcome(a, dispatch.Abandoned{})
	} else if r.Misdirected {
		q.recordOutcome(a, dispatch.Gone{})
	} else {
		q.recordOutcome(a, dispatch.Full{})
	}
	q.gateway.metrics.count("attempts-refused")
	q.gateway.log.Info("attempt refused", "request", q.req.ID, "backend", a.server.ID, "status", r.Status, "culprit", r.FaultyServer,
		"misdirected", r.Misdirected, "elapsed-ms", q.elapsed().Milliseconds())
	return retryable{"backend-refused"}
}

// faultyHelper returns the helper that a response names as the cause of the failure, or nil.
func (q *request) faultyHelper(a *attempt, r ResponseHead) *roster.Server {
	for _, s := range a.helpers {
		if r.FaultyServer == s.ID || r.FaultyServer == s.Address.String() {
			return s
		}
	}
	return nil
}
