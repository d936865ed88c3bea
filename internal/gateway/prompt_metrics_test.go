package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against prompts of one length that are refused more often than the others of their route without a metric
// that shows it, and against metrics whose number grows with what callers send.
func TestPromptMetrics(t *testing.T) {
	cases := map[string]struct {
		tokens  int64
		outcome string
		held    time.Duration
		want    map[string]int64
	}{
		"answered":           {5_000, "answered", 0, map[string]int64{"review/8k/answered": 1}},
		"refused after hold": {300_000, "refused-overloaded", 4 * time.Second, map[string]int64{"review/512k/refused": 1, "review/512k/held": 1, "review/512k/held-ms": 4000}},
		"upper bound":        {512_000, "failed-deadline", 0, map[string]int64{"review/512k/failed": 1}},
		"error of a backend": {100_000, "answered-error", 0, map[string]int64{"review/128k/answered-error": 1}},
		"above all bounds":   {5_000_000, "caller-left", 0, map[string]int64{"review/longer/caller-left": 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			m := newPromptMetrics()
			m.record("review", tc.tokens, tc.outcome, tc.held)
			assert.DeepEqual(t, m.counters(), tc.want)
		})
	}
}

// Guards against metrics that grow with each route that a release has renamed, until the process has no memory left.
func TestMetricsOfFormerRoutes(t *testing.T) {
	cases := map[string]int{"at the bound": maxRouteMetrics, "beyond the bound": 3 * maxRouteMetrics}
	for name, routes := range cases {
		t.Run(name, func(t *testing.T) {
			m := newMetrics(nil)
			for i := range routes {
				for _, route := range []string{fmt.Sprint("review-", i), "chat"} {
					m.observe(route, time.Second)
					m.observe(route+"-first", time.Second)
					m.prompts.record(route, 5_000, "answered", time.Second)
				}
			}
			assert.Check(t, len(m.latencies()) <= 2*maxRouteMetrics, "%d", len(m.latencies()))
			assert.Check(t, len(m.prompts.counters()) <= 3*maxRouteMetrics, "%d", len(m.prompts.counters()))
			assert.Check(t, len(m.prompts.shares()) <= maxRouteMetrics, "%d", len(m.prompts.shares()))
			assert.Equal(t, m.prompts.shares()["chat"].All.All, int64(routes))
			assert.Equal(t, m.prompts.counters()["chat/8k/answered"], int64(routes))
			assert.Equal(t, m.latencies()["chat"].Count, int64(routes))
		})
	}
}
