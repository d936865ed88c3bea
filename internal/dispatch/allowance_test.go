package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
)

// Guards against repeats of all gateways together beyond the limits in any window, also when all have just started and do
// not know of each other, and against streams of one gateway that are given up while the others have repeated nothing.
func TestAllowance(t *testing.T) {
	limits := dispatch.AllowanceLimits{Share: 0.2, Reserve: 118, Window: 10 * time.Second}
	const service = dispatch.Key(7)
	cases := map[string]struct {
		gateways int
		// storm says which gateways want a repeat at each step.
		storm func(gateway int, at time.Duration) bool
		// least repeats that must be allowed within the first second of the storm.
		least int
		// killed is when all gateways end and start anew. Each knows of itself only for unknown after that.
		killed, unknown time.Duration
		// idle gateways have no requests, so that the part of each is less than one repeat.
		idle bool
	}{
		"one gateway's streams break": {gateways: 21, storm: func(g int, at time.Duration) bool { return g == 3 && at < time.Second }, least: 12},
		"all at once":                 {gateways: 21, storm: func(_ int, at time.Duration) bool { return at < time.Second }, least: 100},
		"for ever":                    {gateways: 21, storm: func(int, time.Duration) bool { return true }, least: 100},
		"three gateways":              {gateways: 3, storm: func(int, time.Duration) bool { return true }, least: 40},
		"one gateway":                 {gateways: 1, storm: func(int, time.Duration) bool { return true }, least: 40},
		"all killed": {
			gateways: 21, storm: func(_ int, at time.Duration) bool { return at < 20*time.Second }, least: 100,
			killed: 4 * time.Second, unknown: 1500 * time.Millisecond,
		},
		"less than one for each": {gateways: 200, storm: func(int, time.Duration) bool { return true }, least: 50, idle: true},
		"many killed": {
			gateways: 100, storm: func(_ int, at time.Duration) bool { return at > 5*time.Second }, killed: 5 * time.Second,
			unknown: 3 * time.Second,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			const step = 20 * time.Millisecond
			begin := func(now time.Time, gateways int, complete bool) (group []*dispatch.Allowance) {
				for i := range tc.gateways {
					a := dispatch.NewAllowance(limits, now, rand.NewPCG(uint64(i), 1))
					a.SetGateways(gateways, complete)
					group = append(group, a)
				}
				return group
			}
			group := begin(start.Add(-20*time.Second), tc.gateways, true)
			var repeats, requests []int
			early := 0
			for at := -10 * time.Second; at < 30*time.Second; at += step {
				now := start.Add(at)
				n, m := 0, 0
				known := tc.killed == 0 || at < tc.killed || at >= tc.killed+tc.unknown
				switch {
				case tc.killed > 0 && at == tc.killed:
					group = begin(now, 1, false)
				case tc.killed > 0 && at == tc.killed+tc.unknown:
					for _, a := range group {
						a.SetGateways(tc.gateways, true)
					}
				}
				for g, a := range group {
					if (int(at/step)+g)%8 == 0 && !tc.idle {
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
				if known && int(at/step)%15 == 0 {
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
