package fleet_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/fleet"
)

// TestHitShare guards against a default policy whose cache hit share does not exceed that of every baseline. The table
// is printed with -v.
func TestHitShare(t *testing.T) {
	policies := []struct {
		name   string
		policy fleet.Policy
	}{{"affinity", fleet.Affinity{}}, {"random", fleet.Random{}}, {"round-robin", fleet.RoundRobin{}},
		{"least-requests", fleet.LeastRequests{}}, {"single-queue", fleet.SingleQueue{}}, {"oracle", nil}}
	tests := map[string]Config{
		"20 workers": {Workers: 20, Entries: 3, Requests: 2000, Rate: 6, Documents: 200},
		"60 workers": {Workers: 60, Entries: 12, Requests: 2500, Rate: 18, Documents: 600},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			for c.Seed = 1; c.Seed <= 3; c.Seed++ {
				var first Result
				for i, p := range policies {
					c.Policy = p.policy
					r := Run(c)
					t.Logf("seed %d %-15s hit share %.3f, short p99 %8.3fs, mean %7.3fs, %d refusals, %d failed", c.Seed, p.name,
						r.HitShare, r.ShortP99.Seconds(), r.Mean.Seconds(), r.Refusals, r.Failed)
					if i == 0 {
						first = r
					} else if p.policy != nil {
						assert.Assert(t, first.HitShare > r.HitShare, p.name)
					}
				}
			}
		})
	}
}
