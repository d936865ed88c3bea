package gateway

import (
	"time"

	"berylward.example/berylward/internal/suspect"
)

// checkRequest returns the state of the whole request. It must be called with the gateway's lock held.
func (q *request) checkRequest(now time.Time) suspect.RequestState {
	g := q.gateway
	// The rank among the gateways takes a pass over all of them.
	if !g.requests.Quarantined(now, q.fingerprint) {
		return suspect.RequestUsable{}
	}
	if q.probesRequest {
		return suspect.RequestProbe{}
	}
	state := g.requests.Check(now, g.group.Rank(), q.fingerprint)
	if _, ok := state.(suspect.RequestProbe); ok {
		q.probesRequest = true
		g.metrics.count("requests-probed")
		g.log.Info("request probed", "request", q.req.ID, "fingerprint", q.fingerprint.Short())
	}
	return state
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

// cancelProbes makes room for other probes when the request ends without having been sent as one.
func (q *request) cancelProbes() {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	if q.probesPart {
		q.gateway.parts.CancelProbe(q.req.Parts)
	}
	if q.probesRequest {
		q.gateway.requests.CancelProbe(q.fingerprint)
	}
	q.probesPart, q.probesRequest = false, false
}

// endProbe makes room for other probes when an attempt has ended that was one. An attempt that was given up keeps its place,
// because its backend server may still end.
func (q *request) endProbe(a *attempt) {
	if !a.probe || a.givenUp {
		return
	}
	q.gateway.locked(func() { q.gateway.requests.CancelProbe(q.fingerprint) })
}

// mergeRequestReport takes in the report of another gateway. It must be called with the gateway's lock held.
func (g *Gateway) mergeRequestReport(now time.Time, data []byte) {
	if len(data) == 0 {
		return
	}
	report, err := suspect.DecodeRequestReport(data)
	if err != nil {
		g.metrics.count("peer-errors")
		return
	}
	g.requests.Merge(now, report)
	for _, e := range report.Ends {
		if server, ok := e.Crash.ServerOf(); ok && g.unanswered.Has(server) {
			g.recordEndOf(now, server, reportedServer)
		}
	}
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
	for _, c := range report.Crashes {
		if g.unanswered.Has(c.Server) {
			g.recordEndOf(now, c.Server, reportedServer)
		}
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
