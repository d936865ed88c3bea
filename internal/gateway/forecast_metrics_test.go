package gateway

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against forecasts whose error is not seen because early and late ones, or lengths and routes, are mixed, and against memory
// that grows with each route that a release has renamed.
func TestForecastMetrics(t *testing.T) {
	const ms = time.Millisecond
	m := newForecastMetrics()
	for range 9 {
		m.record("review", 5_000, 100*ms, 150*ms)
	}
	m.record("review", 5_000, 400*ms, 100*ms)
	m.record("review", 260_000, 2*time.Second, 10*time.Minute)
	got := m.accuracy()
	assert.Equal(t, len(got), 2)
	short, long := got["review/8k"], got["review/512k"]
	assert.Equal(t, short.Count, int64(10))
	assert.Equal(t, short.Late, int64(9))
	for name, tc := range map[string]struct{ got, want int64 }{
		"predicted": {short.Predicted.P50, 100}, "measured": {short.Measured.P50, 150}, "distance": {short.Distance.P50, 50},
		"largest distance": {short.Distance.P99, 300}, "long measured": {long.Measured.P50, histogramMax},
	} {
		// A histogram of one significant digit is off by at most a sixteenth.
		assert.Check(t, tc.got >= tc.want && tc.got <= tc.want+tc.want/16, "%s: %d", name, tc.got)
	}
	for i := range 2 * maxForecastMetrics {
		m.record(fmt.Sprint("review-", i), 5_000, ms, ms)
	}
	assert.Equal(t, len(m.accuracy()), maxForecastMetrics)
}
