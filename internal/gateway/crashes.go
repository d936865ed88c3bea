package gateway

import (
	"context"
	"net/netip"
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
// requests that it had not answered, and the parts of prompts whose answers had not begun. Single connections break for many
// reasons, so the server is asked for a new connection first.
func (q *request) recordLostConnection(a *attempt, failure *backend.Error) {
	g := q.gateway
	send := q.unansweredSend(a)
	ended := g.hasEnded(a.server)
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case ended:
		g.unanswered.Record(serverKey(a.server), send)
		g.recordEnd(now, a.server)
	case failure.Reused:
		// The server may have closed an idle connection, or have started again meanwhile, which the store will show.
		g.unanswered.Record(serverKey(a.server), send)
	default:
		g.requests.RecordBreak(now, suspect.LostRequest{Fingerprint: q.fingerprint, Probe: a.probe})
	}
}

// recordGivenUp keeps a request that was sent and is not waited for any more as evidence, in case its backend server ends.
func (q *request) recordGivenUp(a *attempt) {
	g := q.gateway
	if a.sentAt.IsZero() {
		return
	}
	send := q.unansweredSend(a)
	a.givenUp = true
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unanswered.Record(serverKey(a.server), send)
}

// unansweredSend returns what counts as evidence if the backend server of an attempt ends. An answer that has gone on shows that
// the parts of the prompt are sound; the request as a whole may end its server at any time before the answer is complete.
func (q *request) unansweredSend(a *attempt) suspect.UnansweredSend {
	now := q.gateway.clock.Now()
	send := suspect.UnansweredSend{Fingerprint: q.fingerprint, SentAt: a.sentAt, GaveUpAt: now, Probe: a.probe}
	if !a.wentOn(now) {
		send.Parts = q.req.Parts
	}
	return send
}

// recordRefusedDial records that nothing listens at the address of a backend server any more.
func (g *Gateway) recordRefusedDial(s *roster.Server) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.recordEnd(now, s)
}

// recordEnd records that an incarnation of a backend server has ended under the requests that it has not answered. It must be
// called with the gateway's lock held.
func (g *Gateway) recordEnd(now time.Time, s *roster.Server) { g.recordEndOf(now, serverKey(s), s.ID) }

// reportedServer is the name in logs of a backend server whose end another gateway has reported by its key.
const reportedServer = "reported"

// recordEndOf is recordEnd for a server that is known by its key; name identifies it in the log.
func (g *Gateway) recordEndOf(now time.Time, server suspect.ServerKey, name string) {
	var implications []suspect.Implication
	for _, s := range g.unanswered.RecordEnd(now, server) {
		g.requests.RecordEnd(now, server, suspect.LostRequest{Fingerprint: s.Fingerprint, Probe: s.Probe})
		g.log.Info("backend server ended before an answer", "fingerprint", s.Fingerprint.Short(), "backend", name,
			"sent-ms", now.Sub(s.SentAt).Milliseconds(), "given-up-ms", now.Sub(s.GaveUpAt).Milliseconds(), "probe", s.Probe, "parts", partNames(s.Parts))
		for _, p := range s.Parts {
			implications = append(implications, suspect.Implication{Part: p, Request: s.Fingerprint.Tag()})
		}
		if len(s.Parts) > 0 {
			g.metrics.count("crashes-implicating-parts")
		}
	}
	if len(implications) > 0 {
		g.logQuarantined(now, g.parts.RecordCrash(now, server, implications))
	}
}

// recordReplaced records the end of the incarnations that a new one takes the place of. Two processes cannot listen at one
// address, so they have ended.
func (g *Gateway) recordReplaced(joined roster.Joined) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.unanswered.Empty() {
		return
	}
	if joined.Previous != nil {
		g.recordDeparture(now, joined.Previous)
	}
	for _, s := range g.roster.AtAddress(joined.Server.Address) {
		if s.ID != joined.Server.ID {
			g.recordDeparture(now, s)
		}
	}
}

// recordLeft records that the entry of a backend server was removed. If the server did not leave as planned, and something was
// not answered there, it is asked for a connection; one that gives none has ended.
func (g *Gateway) recordLeft(s *roster.Server) {
	now := g.clock.Now()
	g.mu.Lock()
	ask := g.unanswered.Has(serverKey(s)) && !s.Draining && !g.roster.IsLeaving(s)
	if !ask || len(g.roster.AtAddress(s.Address)) > 0 {
		g.recordDeparture(now, s)
		ask = false
	}
	g.mu.Unlock()
	if ask {
		g.tomb.Go(func() error {
			if !g.accepts(s) {
				g.recordRefusedDial(s)
			}
			return nil
		})
	}
}

// recordDeparture records that an incarnation of a backend server is gone, as planned or not. It must be called with the
// gateway's lock held.
func (g *Gateway) recordDeparture(now time.Time, s *roster.Server) {
	if s.Draining || g.roster.IsLeaving(s) {
		g.unanswered.Forget(serverKey(s))
		return
	}
	g.recordEnd(now, s)
}

// serverKey returns the key that identifies an incarnation of a backend server in reports on suspects.
func serverKey(s *roster.Server) suspect.ServerKey { return suspect.ServerKey(dispatch.BackendKey(s)) }

// hasEnded reports whether nothing listens at the address of a backend server any more.
func (g *Gateway) hasEnded(s *roster.Server) bool { return g.askServer(s, g.pool.Refuses) }

// accepts reports whether a backend server takes a new connection.
func (g *Gateway) accepts(s *roster.Server) bool { return g.askServer(s, g.pool.Accepts) }

// askServer calls ask with the address of a backend server, for at most endedProbeTimeout. It does not end early when a caller
// leaves, because the outcome concerns other requests too.
func (g *Gateway) askServer(s *roster.Server, ask func(context.Context, netip.AddrPort) bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endedProbeTimeout)
	defer cancel()
	g.metrics.count("crash-probes")
	return ask(ctx, s.Address)
}

// wentOn reports whether the answer of an attempt has gone on for a while after its first event.
func (a *attempt) wentOn(now time.Time) bool {
	return !a.firstEventAt.IsZero() && now.Sub(a.firstEventAt) >= answerGoesOn
}

// recordAnswer records that an answer goes on, or is complete. The first shows that the parts of the prompt do not end the backend
// server, the second that the request does not.
func (q *request) recordAnswer(a *attempt, complete bool) {
	now := q.gateway.clock.Now()
	if a.firstEventAt.IsZero() {
		a.firstEventAt = now
	}
	partsSound := len(q.req.Parts) > 0 && !a.answerRecorded && (complete || a.wentOn(now))
	if !complete && !partsSound {
		return
	}
	a.answerRecorded = a.answerRecorded || partsSound
	g := q.gateway
	g.mu.Lock()
	defer g.mu.Unlock()
	if complete && g.requests.RecordAnswer(now, q.fingerprint) {
		g.metrics.count("requests-released")
		g.log.Info("request released: it was answered", "request", q.req.ID, "fingerprint", q.fingerprint.Short())
	}
	if partsSound {
		g.logReleased(g.parts.RecordAnswer(a.firstEventAt, q.req.Parts))
	}
}
