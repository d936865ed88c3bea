package gateway

import (
	"encoding/json"
	"expvar"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/telemetry"
)

// Guards against a read of the metrics that waits for a request which waits for the read, so that no request ends any more, and
// against requests that are missing in the metrics.
func TestMetricsReadDuringRequests(t *testing.T) {
	const workers, routes = 4, 2000
	instance := "metrics-read-during-requests"
	m := newMetrics(telemetry.NewMetrics(instance))
	var done sync.WaitGroup
	finished := make(chan struct{})
	for worker := range workers {
		done.Go(func() {
			for i := range routes {
				for _, route := range []string{fmt.Sprintf("review-%d-%d", worker, i), "chat"} {
					m.observe(route, time.Second)
					m.prompts.record(route, 5_000, "answered", time.Second)
					m.forecasts.record(route, 5_000, time.Second, time.Second)
				}
			}
		})
	}
	go func() {
		done.Wait()
		close(finished)
	}()
	root := expvar.Get("berylward")
	deadline := time.After(time.Minute)
	for reading := true; reading; {
		select {
		case <-finished:
			reading = false
		case <-deadline:
			t.Fatal("requests do not end while the metrics are read")
		default:
			read := make(chan string, 1)
			go func() { read <- root.String() }()
			select {
			case text := <-read:
				assert.Assert(t, json.Valid([]byte(text)))
			case <-deadline:
				t.Fatal("a read of the metrics does not end")
			}
		}
	}
	assert.Equal(t, m.latencies()["chat"], latency{Count: workers * routes, P50: 1003, P90: 1003, P99: 1003, Max: 1003})
	assert.Equal(t, m.prompts.counters()["chat/8k/held-ms"], int64(workers*routes*1000))
}
