package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
)

// Guards against an overload in which shorter prompts of a route are served because they need no turn while longer ones are
// refused, and against refusals without an overload or of prompts that were admitted before.
func TestEvenRefusal(t *testing.T) {
	const pool, review, digest = 1, 7, 8
	longerRefused := dispatch.ShedCounts{Route: review, Arrived: [3]float64{20, 20, 10}, Refused: [3]float64{0, 20, 5}}
	evenly := dispatch.ShedCounts{Route: review, Arrived: [3]float64{20, 20, 10}, Refused: [3]float64{10, 10, 5}}
	few := dispatch.ShedCounts{Route: review, Arrived: [3]float64{20, 1, 0}, Refused: [3]float64{0, 1, 0}}
	cases := map[string]struct {
		shed                 dispatch.ShedCounts
		tokens               int64
		route                dispatch.Key
		held                 int
		admitted             bool
		minRefused, maxShare float64
	}{
		"shorter prompt":            {longerRefused, 100_000, review, 1, false, 0.95, 1},
		"longest prompt":            {longerRefused, 450_000, review, 1, false, 0, 0},
		"refused evenly":            {evenly, 100_000, review, 1, false, 0, 0},
		"one longer prompt refused": {few, 100_000, review, 1, false, 0.1, 0.4},
		"no longer prompt waits":    {longerRefused, 100_000, review, 0, false, 0, 0},
		"admitted before":           {longerRefused, 100_000, review, 1, true, 0, 0},
		"other route":               {longerRefused, 100_000, digest, 1, false, 0, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			const tries = 200
			p, now, refused := newPlanner(1), start, 0
			var held []dispatch.HeldPrompt
			for range tc.held {
				held = append(held, dispatch.HeldPrompt{Service: pool, Route: review, Waited: time.Second, Prefill: 12 * time.Second})
			}
			p.SetPeerLoads(now, "other", nil)
			p.SetPeerQueue(now, "other", dispatch.QueueReport{Held: held, Shed: []dispatch.ShedCounts{tc.shed}})
			for range tries {
				profile := longProfile(tc.tokens)
				profile.Service, profile.Route, profile.Admitted = pool, tc.route, tc.admitted
				if refusal, ok := p.Place(now, profile, newServers(20), nil).(dispatch.NoPlacement); ok {
					assert.Equal(t, refusal.Reason, dispatch.Overloaded)
					refused++
				}
			}
			share := float64(refused) / tries
			assert.Assert(t, share >= tc.minRefused && share <= tc.maxShare, "refused %.2f", share)
		})
	}
}

// Guards against refusals that are never forgotten, and against counts that another gateway's planner does not get.
func TestShedCounts(t *testing.T) {
	p := newPlanner(1)
	profile := longProfile(450_000)
	profile.Route = 7
	for range 4 {
		p.RecordArrival(start, profile)
	}
	p.RecordPlacement(start, profile, dispatch.NoPlacement{Reason: dispatch.Overloaded})
	p.RecordPlacement(start, profile, dispatch.NoPlacement{Reason: dispatch.NoServer})
	shed := p.Queue(start).Shed
	assert.DeepEqual(t, shed, []dispatch.ShedCounts{{Route: 7, Arrived: [3]float64{0, 0, 4}, Refused: [3]float64{0, 0, 1}}})
	later := p.Queue(start.Add(15 * time.Second)).Shed
	assert.Assert(t, later[0].Arrived[2] > 1 && later[0].Arrived[2] < 2, "%v", later)
	assert.Equal(t, len(p.Queue(start.Add(5*time.Minute)).Shed), 0)
}
