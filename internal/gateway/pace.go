package gateway

import (
	"math"
	"time"

	"berylward.example/berylward/internal/dispatch"
)

// ServerPace is the pace of a backend server that answers more slowly than published, or whose requests in flight are limited.
type ServerPace struct {
	ID string `json:"id"`
	// Slowness is how many times more slowly than published the server answers, rounded to tenths; Evidence is the weight of what
	// shows it, in answers.
	Slowness float64 `json:"slowness"`
	Evidence float64 `json:"evidence"`
	// Window is the number of requests in flight that the server gets from all gateways; zero if it is not limited.
	Window int `json:"window,omitempty"`
}

// plannerOptions returns the options of the planner that the settings ask for.
func (s Settings) plannerOptions() []dispatch.Option {
	if s.Pace {
		return []dispatch.Option{dispatch.WithPace()}
	}
	return nil
}

// paceStatus returns the backend servers that are slow or limited. It must be called with the gateway's lock held.
func (g *Gateway) paceStatus(now time.Time) []ServerPace {
	var list []ServerPace
	for _, s := range g.planner.SlowServers(now) {
		list = append(list, ServerPace{ID: s.Server, Slowness: tenths(s.Slowness), Evidence: tenths(s.Evidence), Window: s.Window})
	}
	return list
}

// logPace logs and counts changes of the pace of backend servers.
func (g *Gateway) logPace(changes []dispatch.PaceChange) {
	for _, c := range changes {
		g.metrics.count("pace-" + string(c.Kind))
		g.log.Info("pace of a backend server changed", "backend", c.Server, "change", string(c.Kind), "slowness", tenths(c.Slowness))
	}
}

func tenths(x float64) float64 { return math.Round(10*x) / 10 }
