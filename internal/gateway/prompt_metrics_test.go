package gateway

import (
	"expvar"
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
		want    map[string]string
	}{
		"answered":           {5_000, "answered", 0, map[string]string{"review/8k/answered": "1"}},
		"refused after hold": {300_000, "refused-overloaded", 4 * time.Second, map[string]string{"review/384k/refused": "1", "review/384k/held": "1", "review/384k/held-ms": "4000"}},
		"upper bound":        {384_000, "failed-deadline", 0, map[string]string{"review/384k/failed": "1"}},
		"error of a backend": {100_000, "answered-error", 0, map[string]string{"review/128k/answered-error": "1"}},
		"above all bounds":   {5_000_000, "caller-left", 0, map[string]string{"review/longer/caller-left": "1"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			values := new(expvar.Map)
			newPromptMetrics(values).record("review", tc.tokens, tc.outcome, tc.held)
			got := map[string]string{}
			values.Do(func(kv expvar.KeyValue) { got[kv.Key] = kv.Value.String() })
			assert.DeepEqual(t, got, tc.want)
		})
	}
}
