package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
)

// Guards against repeats of all gateways together beyond the limits in any window, and against streams of one gateway that
// are given up while the others have repeated nothing.
func TestAllowance(t *testing.T) {
	limits := dispatch.AllowanceLimits{Share: 0.2, Reserve: 118, Window: 10 * time.Second}
	const service = dispatch.Key(7)
	cases := map[string]struct {
		gateways int
		// storm says which gateways want a repeat at each step.
		storm func(gateway int, at time.Duration) bool
		// least repeats that must be allowed within the first second of the storm.
		least int
	}{
		"one gateway's streams break": {21, func(g int, at time.Duration) bool { return g == 3 && at < time.Second }, 12},
		"all at once":                 {21, func(_ int, at time.Duration) bool { return at < time.Second }, 100},
		"for ever":                    {21, func(int, time.Duration) bool { return true }, 100},
		"three gateways":              {3, func(int, time.Duration) bool { return true }, 40},
		"one gateway":                 {1, func(int, time.Duration) bool { return true }, 40},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var group []*dispatch.Allowance
			for range tc.gateways {
				a := dispatch.NewAllowance(limits)
				a.SetGateways(tc.gateways)
				group = append(group, a)
			}
			const step = 20 * time.Millisecond
			var repeats, requests []int
			early := 0
			for at := -10 * time.Second; at < 30*time.Second; at += step {
				now := start.Add(at)
				n, m := 0, 0
				for g, a := range group {
					if (int(at/step)+g)%8 == 0 {
						a.Request(now, service)
						m++
					}
					if at >= 0 && tc.storm(g, at) && a.Repeat(now, service) {
						n++
					}
				}
				if at >= 0 && at < time.Second {
					early += n
				}
				repeats, requests = append(repeats, n), append(requests, m)
				// Others hear of it 300 ms later at most.
				if int(at/step)%15 == 0 {
					for g, a := range group {
						for other, b := range group {
							if other != g {
								b.SetPeer(now, fmt.Sprint(g), a.Usages(now))
							}
						}
					}
				}
			}
			assert.Assert(t, early >= tc.least, "%d repeats in the first second", early)
			size := int(limits.Window / step)
			for i := size; i+size < len(repeats); i++ {
				sum, asked := 0, 0
				for j := i; j < i+size; j++ {
					sum += repeats[j]
					asked += requests[j]
				}
				most := limits.Share*float64(asked) + limits.Reserve
				assert.Assert(t, float64(sum) <= most, "%d repeats in a window, allowed %.0f", sum, most)
			}
		})
	}
}
