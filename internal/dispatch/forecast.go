package dispatch

import (
	"time"

	"berylward.example/berylward/internal/forecast"
)

// predict returns the predicted course of a prompt at an engine, from what all gateways have placed there.
func (c *candidate) predict(e forecast.Engine, profile RequestProfile) forecast.Prediction {
	// The pending prefill of a slow engine is already that of its pace.
	slowness := max(c.slowness, 1)
	load := forecast.Estimate(e, forecast.Sums{
		Requests: c.requests(), Prefill: scale(c.total.PendingPrefill, 1/slowness), Memory: c.total.Memory, Slowness: slowness,
	})
	return forecast.Predict(e, load, forecast.Request{Prompt: profile.Prompt, Output: profile.Answer})
}

// soonestEngine returns the index of the engine that is predicted to begin the answer to a prompt first, and when. Of equal ones, one
// in the gateway's zone is chosen.
func (p *Planner) soonestEngine(profile RequestProfile, candidates []candidate) (int, time.Duration) {
	engine := forecast.NewEngine(profile.Engine)
	best, first := 0, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		at := c.predict(engine, profile).First
		if i == 0 || at < first || at == first && c.server.Zone == p.zone && candidates[best].server.Zone != p.zone {
			best, first = i, at
		}
	}
	return best, first
}
