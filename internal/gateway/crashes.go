package gateway

import (
	"context"
	"time"

	"berylward.example/berylward/internal/backend"
	"berylward.example/berylward/internal/dispatch"
	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/suspect"
)

const (
	// endedProbeTimeout bounds the check whether a backend server has ended, which is one opening of a connection.
	endedProbeTimeout = 120 * time.Millisecond
	// answerGoesOn is how long after its first event an answer counts as one that has gone on. An answer that ends its backend
	// server has at most just begun.
	answerGoesOn = 300 * time.Millisecond
)

// recordLostConnection records what a lost connection says about the request. A backend server that has ended implicates the
// requests whose answers had not begun there, and the parts that their prompts share with others. Single connections break
// for many reasons, so the server is asked for a new connection first.
func (q *request) recordLostConnection(a *attempt, failure *backend.Error) {
	g := q.gateway
	goneOn := a.wentOn(g.clock.Now())
	ended := !goneOn && g.hasEnded(q.ctx, a.server)
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if ended || !failure.Reused {
		g.suspects.RecordCrash(now, a.server.ID, []suspect.Fingerprint{q.fingerprint})
	}
	if !ended || len(q.req.Parts) == 0 {
		return
	}
	implications := make([]suspect.Implication, 0, len(q.req.Parts))
	for _, p := range q.req.Parts {
		implications = append(implications, suspect.Implication{Part: p, Request: q.fingerprint.Tag()})
	}
	g.metrics.count("crashes-implicating-parts")
	g.log.Info("backend server ended before an answer", "request", q.req.ID, "backend", a.server.ID, "parts", partNames(q.req.Parts))
	g.logQuarantined(now, g.parts.RecordCrash(now, suspect.ServerKey(dispatch.BackendKey(a.server)), implications))
}

// hasEnded reports whether nothing listens at the address of a backend server any more.
func (g *Gateway) hasEnded(ctx context.Context, s *roster.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, endedProbeTimeout)
	defer cancel()
	g.metrics.count("crash-probes")
	return g.pool.Refuses(ctx, s.Address)
}

// wentOn reports whether the answer of an attempt has gone on for a while after its first event.
func (a *attempt) wentOn(now time.Time) bool {
	return !a.firstEventAt.IsZero() && now.Sub(a.firstEventAt) >= answerGoesOn
}

// recordAnswer records once for each attempt that the answer goes on, or is complete, so that the parts of the prompt did not
// end the backend server.
func (q *request) recordAnswer(a *attempt, complete bool) {
	now := q.gateway.clock.Now()
	if a.firstEventAt.IsZero() {
		a.firstEventAt = now
	}
	if a.answerRecorded || len(q.req.Parts) == 0 || !complete && !a.wentOn(now) {
		return
	}
	a.answerRecorded = true
	g := q.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	g.logReleased(g.parts.RecordAnswer(a.firstEventAt, q.req.Parts))
}

// checkParts returns the state of the parts of the request's prompt. It must be called with the gateway's lock held.
func (q *request) checkParts(now time.Time) suspect.PartState {
	// The rank among the gateways takes a pass over all of them.
	if !q.gateway.parts.Holds(q.req.Parts) {
		return suspect.PartsUsable{}
	}
	if q.probesPart {
		return suspect.PartProbe{Part: q.req.Parts[0]}
	}
	state := q.gateway.parts.Check(now, q.gateway.group.Rank(), q.req.Parts)
	if probe, ok := state.(suspect.PartProbe); ok {
		q.probesPart = true
		q.gateway.log.Info("prompt part probed", "request", q.req.ID, "part", probe.Part.String())
	}
	return state
}

// cancelProbe makes room for another probe when the request ends without having been sent as one.
func (q *request) cancelProbe() {
	if !q.probesPart {
		return
	}
	q.probesPart = false
	q.gateway.mu.Lock()
	q.gateway.parts.CancelProbe(q.req.Parts)
	q.gateway.mu.Unlock()
}

// mergePartReport takes in the report of another gateway. It must be called with the gateway's lock held.
func (g *Gateway) mergePartReport(now time.Time, data []byte) {
	if len(data) == 0 {
		return
	}
	report, err := suspect.DecodePartReport(data)
	if err != nil {
		g.metrics.count("peer-errors")
		return
	}
	quarantined, released := g.parts.Merge(now, report)
	g.logQuarantined(now, quarantined)
	g.logReleased(released)
}

func (g *Gateway) logQuarantined(now time.Time, parts []suspect.Part) {
	until := g.parts.Quarantined(now)
	for _, p := range parts {
		g.metrics.count("parts-quarantined")
		g.log.Info("prompt part quarantined: backend servers end when they begin an answer on it", "part", p.String(),
			"for-ms", until[p].Sub(now).Milliseconds())
	}
}

func (g *Gateway) logReleased(parts []suspect.Part) {
	for _, p := range parts {
		g.metrics.count("parts-released")
		g.log.Info("prompt part released: an answer on it has gone on", "part", p.String())
	}
}

func partNames(parts []suspect.Part) []string {
	names := make([]string, 0, len(parts))
	for _, p := range parts {
		names = append(names, p.String())
	}
	return names
}
