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
	// Histograms cover 1 to 60,000 ms with two significant digits.
	histogramMax    = 60_000
	histogramDigits = 2
)

// metrics holds counters and latency histograms. It is safe for concurrent use.
type metrics struct {
	counters   *expvar.Map
	prompts    *promptMetrics
	latencies  *expvar.Map
	mu         sync.Mutex
	histograms map[string]*hdrhistogram.Histogram
}

func newMetrics(m *telemetry.Metrics) *metrics {
	out := &metrics{counters: new(expvar.Map), latencies: new(expvar.Map), histograms: map[string]*hdrhistogram.Histogram{}}
	prompts := new(expvar.Map)
	if m != nil {
		out.counters, out.latencies, prompts = m.Slice("gateway"), m.Slice("gateway-latency-ms"), m.Slice("gateway-prompts")
	}
	out.prompts = newPromptMetrics(prompts)
	return out
}

func (m *metrics) count(name string) { m.counters.Add(name, 1) }

// observe records a latency in the histogram of the given name.
func (m *metrics) observe(name string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.histograms[name]
	if h == nil {
		h = hdrhistogram.New(1, histogramMax, histogramDigits)
		m.histograms[name] = h
		m.latencies.Set(name, expvar.Func(func() any { return m.summary(name) }))
	}
	// The value is clamped to the range of the histogram, so recording cannot fail.
	_ = h.RecordValue(min(max(d.Milliseconds(), 1), histogramMax))
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

// newHTTPLog returns a logger for the messages of net/http, which concern the connections of callers.
func newHTTPLog(l klog.Logger) *log.Logger { return log.New(lineWriter{l.V(1)}, "", 0) }

type lineWriter struct{ log klog.Logger }

func (w lineWriter) Write(p []byte) (int, error) {
	w.log.Info("caller connection error", "detail", string(p))
	return len(p), nil
}
