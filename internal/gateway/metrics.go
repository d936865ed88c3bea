package gateway

import (
	"expvar"
	"log"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"k8s.io/klog/v2"

	"berylward.example/berylward/internal/telemetry"
)

const (
	// Histograms hold 1 to 60,000 ms with two significant digits.
	histogramMost   = 60_000
	histogramDigits = 2
)

// metrics holds counters and latency histograms. It is safe for concurrent use.
type metrics struct {
	counters   *expvar.Map
	latencies  *expvar.Map
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

func newMetrics(m *telemetry.Metrics) *metrics {
	out := &metrics{counters: new(expvar.Map), latencies: new(expvar.Map), histograms: map[string]*hdrhistogram.Histogram{}}
	if m != nil {
		out.counters, out.latencies = m.Slice("gateway"), m.Slice("gateway-latency-ms")
	}
	return out
}

func (m *metrics) count(name string) { m.counters.Add(name, 1) }

// observe adds a latency to the histogram of a name.
func (m *metrics) observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, histogramMost, histogramDigits)
		m.histograms[name] = h
		m.latencies.Set(name, expvar.Func(func() any { return m.summary(name) }))
	}
	// A latency beyond the range counts as the largest one, so it cannot fail.
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), histogramMost))
}

// summary returns the quantiles of a histogram in milliseconds.
func (m *metrics) summary(name string) any {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	return struct {
		Count int64 `json:"count"`
		P50   int64 `json:"p50"`
		P90   int64 `json:"p90"`
		P99   int64 `json:"p99"`
		Max   int64 `json:"max"`
	}{h.TotalCount(), h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99), h.Max()}
}

// quietLog takes the lines that net/http logs by itself, which are about callers' connections.
func quietLog(l klog.Logger) *log.Logger { return log.New(lineWriter{l.V(1)}, "", 0) }

type lineWriter struct{ log klog.Logger }

func (w lineWriter) Write(p []byte) (int, error) {
	w.log.Info("connection of a caller", "detail", string(p))
	return len(p), nil
}
