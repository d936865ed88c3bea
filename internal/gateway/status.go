package gateway

import (
	"time"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/callers"
	"berylward.example/berylward/internal/lengths"
)

// Status is the state of a gateway, as shown to operators.
type Status struct {
	Role     string `json:"role"`
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Ready    bool   `json:"ready"`
	Stopping bool   `json:"stopping"`
	Running  int64  `json:"running"`
	// TableVersion is the version of the routing table in force, zero when there is none; TableAge is in milliseconds.
	TableVersion   int64  `json:"table"`
	TableAge       int64  `json:"table-age-ms"`
	BackendServers int    `json:"backend-servers"`
	Gateways       int    `json:"gateways"`
	Connections    uint64 `json:"connections-opened"`
	// CallerConnections are the connections that callers have open.
	CallerConnections callers.Usage `json:"caller-connections"`
	// ReportAges is by zone the age of the oldest report of another gateway, in milliseconds.
	ReportAges map[string]int64 `json:"report-ages-ms,omitempty"`
	// HeldLong is the number of long prompts that all gateways hold until their turn, HeldPrefill their prefill time on one
	// engine in milliseconds.
	HeldLong    int   `json:"held-long"`
	HeldPrefill int64 `json:"held-prefill-ms"`
	// Prompts is by route how many prompts of different lengths this gateway has answered since its start.
	Prompts map[string]lengths.Shares `json:"prompts,omitempty"`
	// QuarantinedRequests holds by fingerprint for how many milliseconds the request is not sent.
	QuarantinedRequests map[string]int64 `json:"quarantined-requests-ms,omitempty"`
	// QuarantinedParts holds by prompt part for how many milliseconds no request with it is sent.
	QuarantinedParts map[string]int64 `json:"quarantined-parts-ms,omitempty"`
	// RequestBodies and ResponseBodies are the memory that bodies take.
	RequestBodies  body.Usage `json:"request-bodies"`
	ResponseBodies body.Usage `json:"response-bodies"`
	// Unavailable lists the backend servers that get no requests because they said that they leave or are busy.
	Unavailable []UnavailableServer `json:"unavailable,omitempty"`
	// Pace lists the backend servers that are slower than published or whose requests in flight are limited, if the gateway follows
	// the pace of servers.
	Pace []ServerPace `json:"pace,omitempty"`
}

// Status returns the current state of the gateway.
func (g *Gateway) Status() Status {
	s := Status{
		Role: "gateway", Instance: g.Instance, Zone: g.Zone, Ready: g.Ready(), Stopping: g.shutdown.hasBegun(), Running: g.active.Load(),
		Connections: g.pool.ConnectionsOpened(), Prompts: g.metrics.prompts.shares(),
		CallerConnections: g.conns.Usage(), RequestBodies: g.requestBodies.Usage(), ResponseBodies: g.responseBodies.Usage(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.currentTable.Table(); t != nil {
		s.TableVersion, s.TableAge = t.Version, int64(g.currentTable.ProofAge(g.boot.Now())/time.Millisecond)
	}
	s.BackendServers, s.Gateways = g.roster.Len(), g.group.Size()
	now := g.clock.Now()
	for zone, age := range g.group.ReportAges(now) {
		if s.ReportAges == nil {
			s.ReportAges = map[string]int64{}
		}
		s.ReportAges[zone] = age.Milliseconds()
	}
	held, heldPrefill := g.planner.HeldLong(now)
	s.HeldLong, s.HeldPrefill = held, heldPrefill.Milliseconds()
	for f, until := range g.requests.List(now) {
		if s.QuarantinedRequests == nil {
			s.QuarantinedRequests = map[string]int64{}
		}
		s.QuarantinedRequests[f.Short()] = until.Sub(now).Milliseconds()
	}
	for part, until := range g.parts.Quarantined(now) {
		if s.QuarantinedParts == nil {
			s.QuarantinedParts = map[string]int64{}
		}
		s.QuarantinedParts[part.String()] = until.Sub(now).Milliseconds()
	}
	s.Unavailable = g.unavailableServers(now)
	s.Pace = g.paceStatus(now)
	return s
}

// Reload applies the seeds of changed settings. Changed addresses and limits apply only after a restart.
func (g *Gateway) Reload(s Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group.SetSeeds(s.Seeds)
}
