package gateway

import (
	"expvar"
	"log"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"k8s.io/klog/v2"

	"berylward.example/berylward/internal/telemetry"
)

const (
	// Histograms cover 1 to 60,000 ms with two significant digits.
	histogramMax    = 60_000
	histogramDigits = 2
	// maxRouteMetrics is the number of routes of which metrics are kept. Releases rename routes, and the histograms of a route take
	// memory as long as they are kept.
	maxRouteMetrics = 512
)

// metrics holds counters and latency histograms. It is safe for concurrent use. A read of the metrics waits for the lock of the
// histograms, so nothing that waits for expvar may hold that lock.
type metrics struct {
	counters   *expvar.Map
	prompts    *promptMetrics
	forecasts  *forecastMetrics
	workspaces *workspaceMetrics
	mu         sync.Mutex
	histograms *simplelru.LRU[string, *hdrhistogram.Histogram]
}

func newMetrics(m *telemetry.Metrics) *metrics {
	// Each route has a histogram of whole answers and one of first bytes.
	out := &metrics{counters: new(expvar.Map), histograms: newLRU[*hdrhistogram.Histogram](2 * maxRouteMetrics), prompts: newPromptMetrics(), forecasts: newForecastMetrics(),
		workspaces: newWorkspaceMetrics(),
	}
	if m != nil {
		out.counters = m.Slice("gateway")
		m.Publish("gateway-latency-ms", func() any { return out.latencies() })
		m.Publish("gateway-prompts", func() any { return out.prompts.counters() })
		m.Publish("gateway-forecasts", func() any { return out.forecasts.accuracy() })
		m.Publish("gateway-workspaces", func() any { return out.workspaces.counts() })
	}
	return out
}

// newLRU returns a cache that drops the value which was used least recently when it is full.
func newLRU[V any](size int) *simplelru.LRU[string, V] {
	cache, err := simplelru.NewLRU[string, V](size, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below one.
	}
	return cache
}

func (m *metrics) count(name string) { m.counters.Add(name, 1) }

// value returns the value of a counter.
func (m *metrics) value(name string) int64 {
	if v, ok := m.counters.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// observe records a latency in the histogram of the given name, which is dropped once too many others have been used since.
func (m *metrics) observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h, ok := m.histograms.Get(name)
	if !ok {
		h = hdrhistogram.New(1, histogramMax, histogramDigits)
		m.histograms.Add(name, h)
	}
	recordMilliseconds(h, d)
}

// recordMilliseconds records a time in a histogram of 1 to histogramMax ms.
func recordMilliseconds(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the range of the histogram, so recording cannot fail.
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), histogramMax))
}

// latency holds quantiles of a histogram in milliseconds.
type latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50"`
	P90   int64 `json:"p90"`
	P99   int64 `json:"p99"`
	Max   int64 `json:"max"`
}

// latencies returns the quantiles of each histogram.
func (m *metrics) latencies() map[string]latency {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]latency, m.histograms.Len())
	for _, name := range m.histograms.Keys() {
		if h, ok := m.histograms.Peek(name); ok {
			all[name] = latency{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
		}
	}
	return all
}

// newHTTPLog returns a logger for the messages of net/http, which concern the connections of callers.
func newHTTPLog(l klog.Logger) *log.Logger { return log.New(lineWriter{l.V(1)}, "", 0) }

type lineWriter struct{ log klog.Logger }

func (w lineWriter) Write(p []byte) (int, error) {
	w.log.Info("caller connection error", "detail", string(p))
	return len(p), nil
}
