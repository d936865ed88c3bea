package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShortPool guards against sending long prompts to workers with short requests while other workers have room,
// against short requests that wait in a full pool, and against a pool that takes the only workers.
func TestShortPool(t *testing.T) {
	short, long := Request{Model: "m", Tokens: 1_000, Short: true}, Request{Model: "m", Tokens: 50_000}
	tests := map[string]struct {
		engines int
		// shortPerLong is the number of short requests observed for each long one.
		shortPerLong int
		req          Request
		// poolFullness is the reported fullness of the workers in the short pool. othersRefuse is set when the other
		// workers refuse requests.
		poolFullness    float64
		othersRefuse    bool
		inPool, outside bool
	}{
		"short request stays in the pool":               {8, 5, short, 0, false, true, false},
		"long request stays outside the pool":           {8, 5, long, 0, false, false, true},
		"short request leaves a full pool":              {8, 5, short, 1.5, false, true, true},
		"long request uses the pool when others refuse": {8, 5, long, 0, true, true, false},
		"few workers have no pool":                      {3, 5, long, 0, false, true, true},
		"no pool without short requests":                {4, 0, long, 0, false, true, true},
		"pool size is limited":                          {8, 500, long, 0, false, false, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := newView(engines(tt.engines, 1), true)
			for n := range 20 * (tt.shortPerLong + 1) {
				if n%(tt.shortPerLong+1) == 0 {
					v.shortShare.observe(Request{Model: "m", Tokens: 50_000})
				} else {
					v.shortShare.observe(Request{Model: "m", Tokens: 1_000, Short: true})
				}
			}
			pool := shortPool(v)
			for name := range v.workers {
				if pool[name] {
					v.Report(start, name, Report{Status: StatusServing, Window: 100_000, Fullness: tt.poolFullness})
					continue
				}
				v.Report(start, name, Report{Status: StatusServing, Window: 100_000})
				if tt.othersRefuse {
					v.workers[name].load.recordRefusal(start, time.Second, 0)
				}
			}
			inPool, outside := false, false
			for range 200 {
				offer, ok := v.Choose(start, tt.req).(SendOffer)
				assert.Assert(t, ok)
				inPool, outside = inPool || pool[offer.Worker], outside || !pool[offer.Worker]
			}
			assert.Equal(t, inPool, tt.inPool)
			assert.Equal(t, outside, tt.outside)
			assert.Assert(t, len(pool) <= max(tt.engines/4, 1), len(pool))
		})
	}
}

// shortPool returns the workers that restrictToPool keeps for a short request while no worker is loaded. When it
// keeps all workers, shortPool returns one of them, so that there are workers inside and outside the result.
func shortPool(v *View) map[string]bool {
	v.rebuildIndex()
	req := Request{Model: "m", Short: true}
	v.collectCandidates(start, target{false, "m"}, req)
	v.restrictToPool(req)
	pool := map[string]bool{}
	for _, w := range v.candidates {
		pool[w.Name] = true
	}
	if len(pool) == len(v.workers) {
		return map[string]bool{v.candidates[0].Name: true}
	}
	return pool
}
