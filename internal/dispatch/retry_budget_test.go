package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/dispatch"
)

// Guards against gateways that together exceed the retry limits in any window, including right after a restart, when
// they do not know of each other. Also guards against a gateway that gives up streams although the other gateways have
// made no retries.
func TestRetryLimits(t *testing.T) {
	limits := dispatch.SharedRetryLimits{Share: 0.2, Reserve: 118, Window: 10 * time.Second}
	const service = dispatch.Key(7)
	cases := map[string]struct {
		gateways int
		// wantsRetry reports whether a gateway attempts a retry at a point in time.
		wantsRetry func(gateway int, at time.Duration) bool
		// minRetries is how many retries must be allowed within the first second.
		minRetries int
		// All gateways restart at restartAt and do not know of each other for the time isolated after that.
		restartAt, isolated time.Duration
		// idle gateways receive no requests, so the limit of each is less than one retry.
		idle bool
	}{
		"one gateway's streams break": {gateways: 21, wantsRetry: func(g int, at time.Duration) bool { return g == 3 && at < time.Second }, minRetries: 12},
		"all gateways at once":        {gateways: 21, wantsRetry: func(_ int, at time.Duration) bool { return at < time.Second }, minRetries: 100},
		"all gateways without end":    {gateways: 21, wantsRetry: func(int, time.Duration) bool { return true }, minRetries: 100},
		"three gateways":              {gateways: 3, wantsRetry: func(int, time.Duration) bool { return true }, minRetries: 40},
		"one gateway":                 {gateways: 1, wantsRetry: func(int, time.Duration) bool { return true }, minRetries: 40},
		"all restarted": {
			gateways: 21, wantsRetry: func(_ int, at time.Duration) bool { return at < 20*time.Second }, minRetries: 100,
			restartAt: 4 * time.Second, isolated: 1500 * time.Millisecond,
		},
		"less than one retry per gateway": {gateways: 200, wantsRetry: func(int, time.Duration) bool { return true }, minRetries: 50, idle: true},
		"many restarted": {
			gateways: 100, wantsRetry: func(_ int, at time.Duration) bool { return at > 5*time.Second }, restartAt: 5 * time.Second,
			isolated: 3 * time.Second,
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			const step = 20 * time.Millisecond
			newGroup := func(now time.Time, gateways int, complete bool) (group []*dispatch.SharedRetryBudget) {
				for i := range tc.gateways {
					budget := dispatch.NewSharedRetryBudget(limits, now, rand.NewPCG(uint64(i), 1))
					budget.SetGatewayCount(gateways, complete)
					group = append(group, budget)
				}
				return group
			}
			group := newGroup(start.Add(-20*time.Second), tc.gateways, true)
			var retries, requests []int
			early := 0
			for at := -10 * time.Second; at < 30*time.Second; at += step {
				now := start.Add(at)
				retried, requested := 0, 0
				connected := tc.restartAt == 0 || at < tc.restartAt || at >= tc.restartAt+tc.isolated
				switch {
				case tc.restartAt > 0 && at == tc.restartAt:
					group = newGroup(now, 1, false)
				case tc.restartAt > 0 && at == tc.restartAt+tc.isolated:
					for _, budget := range group {
						budget.SetGatewayCount(tc.gateways, true)
					}
				}
				for g, budget := range group {
					if (int(at/step)+g)%8 == 0 && !tc.idle {
						budget.Request(now, service)
						requested++
					}
					if at >= 0 && tc.wantsRetry(g, at) && budget.TryRetry(now, service) {
						retried++
					}
				}
				if at >= 0 && at < time.Second {
					early += retried
				}
				retries, requests = append(retries, retried), append(requests, requested)
				// Reports of other gateways arrive at most 300 ms later.
				if connected && int(at/step)%15 == 0 {
					for g, budget := range group {
						for other, peer := range group {
							if other != g {
								peer.SetPeerUsage(now, fmt.Sprint(g), budget.LocalUsage(now))
							}
						}
					}
				}
			}
			assert.Assert(t, early >= tc.minRetries, "%d retries in the first second", early)
			size := int(limits.Window / step)
			for i := size; i+size < len(retries); i++ {
				retrySum, requestSum := 0, 0
				for j := i; j < i+size; j++ {
					retrySum += retries[j]
					requestSum += requests[j]
				}
				limit := limits.Share*float64(requestSum) + limits.Reserve
				assert.Assert(t, float64(retrySum) <= limit, "%d retries in a window, allowed %.0f", retrySum, limit)
			}
		})
	}
}
