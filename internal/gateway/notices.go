package gateway

import (
	"time"

	"berylward.example/berylward/internal/roster"
)

// recordNotice takes in what a response says about the availability of its backend server: that it leaves, or for how
// long it wants no requests. The response must belong to a request that was sent to this incarnation.
func (g *Gateway) recordNotice(s *roster.Server, head ResponseHead) {
	if head.Misdirected || !head.Leaving && head.RetryAfter == 0 {
		return // a misdirected request was answered by another server
	}
	now := g.clock.Now()
	var change roster.Change = roster.None{}
	g.mu.Lock()
	if head.Leaving {
		change = g.roster.RecordLeaving(now, s)
	}
	if head.RetryAfter > 0 {
		g.planner.RecordBusy(now, s, head.RetryAfter)
	}
	g.mu.Unlock()
	g.handleChange(change)
	if head.RetryAfter > 0 {
		g.metrics.count("servers-busy")
		g.log.Info("backend server wants no requests", "backend", s.ID, "service", s.Service, "for-ms", head.RetryAfter.Milliseconds())
	}
}

// UnavailableServer is a backend server with an entry that gets no requests because of what it said in a response.
type UnavailableServer struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	// Reason is "leaving" or "busy".
	Reason string `json:"reason"`
	// ForMS is for how long a busy backend server gets no requests, in milliseconds.
	ForMS int64 `json:"for-ms,omitempty"`
}

// unavailableServers returns the backend servers that leave or want no requests, sorted by ID. It must be called with the
// gateway's lock held.
func (g *Gateway) unavailableServers(now time.Time) []UnavailableServer {
	var list []UnavailableServer
	for _, s := range g.roster.Servers() {
		if g.roster.IsLeaving(s) {
			list = append(list, UnavailableServer{ID: s.ID, Service: s.Service, Reason: "leaving"})
		} else if wait := g.planner.BusyFor(now, s); wait > 0 {
			list = append(list, UnavailableServer{ID: s.ID, Service: s.Service, Reason: "busy", ForMS: wait.Milliseconds()})
		}
	}
	return list
}
