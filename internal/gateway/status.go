package gateway

import (
	"time"

	"berylward.example/berylward/internal/body"
	"berylward.example/berylward/internal/callers"
	"berylward.example/berylward/internal/dispatch"
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
	TableVersion int64 `json:"table"`
	TableAge     int64 `json:"table-age-ms"`
	// StoreEra is how often the store has come back from an older copy, by its own count. TableLost is set while the store lacks the table in force,
	// or another gateway has a newer one, so that the table cannot be proven. ZonesHeld are zones that are out only because they were before the
	// store came back.
	StoreEra       int64    `json:"store-era,omitempty"`
	TableLost      bool     `json:"table-lost,omitempty"`
	ZonesHeld      []string `json:"zones-held,omitempty"`
	BackendServers int      `json:"backend-servers"`
	Gateways       int      `json:"gateways"`
	Connections    uint64   `json:"connections-opened"`
	// CallerConnections are the connections that callers have open.
	CallerConnections callers.Usage `json:"caller-connections"`
	// ReportAges is by zone the age of the oldest report of another gateway, in milliseconds.
	ReportAges map[string]int64 `json:"report-ages-ms,omitempty"`
	// HeldLong is the number of long prompts that all gateways hold until their turn, HeldPrefill their prefill time on one
	// engine in milliseconds.
	HeldLong    int   `json:"held-long"`
	HeldPrefill int64 `json:"held-prefill-ms"`
	// RunningShort is by service and rank how many short prompts all gateways have sent that have not ended, for services whose
	// requests are ranked. Long prompts that are less urgent leave engines free for them.
	RunningShort map[string]map[string]int `json:"running-short,omitempty"`
	// Prompts is by route how many prompts of different lengths this gateway has answered since its start.
	Prompts map[string]lengths.Shares `json:"prompts,omitempty"`
	// Forecasts compares by route and band of prompt length, as ROUTE/BAND, the predicted with the measured times to first events
	// since the start.
	Forecasts map[string]ForecastAccuracy `json:"forecasts,omitempty"`
	// Reserving is the number of prompts for which memory is reserved at several engines, Panics the number of requests whose
	// goroutines panicked since the start.
	Reserving int64 `json:"reserving"`
	Panics    int64 `json:"panics"`
	// Workspaces counts by workspace the prompts for services whose requests are ranked, since the start of this gateway.
	Workspaces map[string]WorkspacePrompts `json:"workspaces,omitempty"`
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
		Connections: g.pool.ConnectionsOpened(), Prompts: g.metrics.prompts.shares(), Forecasts: g.metrics.forecasts.accuracy(),
		Reserving: g.reserving.Load(), Panics: g.metrics.value("request-panics"), Workspaces: g.metrics.workspaces.counts(),
		CallerConnections: g.conns.Usage(), RequestBodies: g.requestBodies.Usage(), ResponseBodies: g.responseBodies.Usage(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if t := g.currentTable.Table(); t != nil {
		s.TableVersion, s.TableAge = t.Version, int64(g.currentTable.ProofAge(g.boot.Now())/time.Millisecond)
	}
	s.StoreEra, s.TableLost, s.ZonesHeld = g.currentTable.Era(), !g.currentTable.Provable(), g.roster.HeldZones()
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
	s.RunningShort = g.runningShort(now)
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

// runningShort returns the running short prompts by service and rank. It must be called with the gateway's lock held.
func (g *Gateway) runningShort(now time.Time) map[string]map[string]int {
	table := g.currentTable.Table()
	if table == nil {
		return nil
	}
	running := map[string]map[string]int{}
	for _, service := range table.RankedServices() {
		byRank := map[string]int{}
		for _, r := range g.planner.RunningShort(now, dispatch.ServiceKey(service)) {
			byRank[r.Rank.String()] = r.Requests
		}
		running[service] = byRank
	}
	return running
}

// Reload applies the seeds of changed settings. Changed addresses and limits apply only after a restart.
func (g *Gateway) Reload(s Settings) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.group.SetSeeds(s.Seeds)
}
