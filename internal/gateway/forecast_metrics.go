package gateway

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"berylward.example/berylward/internal/lengths"
)

const (
	// maxForecastMetrics is the number of pairs of a route and a band of prompt length of which forecasts are compared. Each takes
	// about 5 KB, so that all of them take 2.7 MB.
	maxForecastMetrics = 512
	// forecastDigits is the number of significant digits of the histograms of forecasts; two would take six times the memory.
	forecastDigits = 1
)

// forecastMetrics compares the predicted with the measured time from the placement of an attempt to its first event, by route and
// band of prompt length. It keeps those that were used last. It is safe for concurrent use.
type forecastMetrics struct {
	mu    sync.Mutex
	pairs *simplelru.LRU[string, *forecastPair]
}

// forecastPair holds the times of one route and band in ms. distance is the absolute difference.
type forecastPair struct {
	predicted, measured, distance *hdrhistogram.Histogram
	late                          int64
}

func newForecastMetrics() *forecastMetrics {
	return &forecastMetrics{pairs: newLRU[*forecastPair](maxForecastMetrics)}
}

// record compares the times of one attempt.
func (m *forecastMetrics) record(route string, tokens int64, predicted, measured time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := route + "/" + lengths.BandName(tokens)
	p, ok := m.pairs.Get(key)
	if !ok {
		p = &forecastPair{predicted: newForecastHistogram(), measured: newForecastHistogram(), distance: newForecastHistogram()}
		m.pairs.Add(key, p)
	}
	recordMilliseconds(p.predicted, predicted)
	recordMilliseconds(p.measured, measured)
	recordMilliseconds(p.distance, (measured - predicted).Abs())
	if measured > predicted {
		p.late++
	}
}

func newForecastHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, forecastDigits)
}

// ForecastAccuracy compares predicted and measured times to the first event.
type ForecastAccuracy struct {
	Count int64 `json:"count"`
	// Late is how many first events came later than predicted.
	Late int64 `json:"late"`
	// Predicted and Measured are the times in milliseconds, Distance the absolute differences.
	Predicted TimeQuantiles `json:"predicted-ms"`
	Measured  TimeQuantiles `json:"measured-ms"`
	Distance  TimeQuantiles `json:"distance-ms"`
}

// TimeQuantiles are quantiles of times in milliseconds.
type TimeQuantiles struct {
	P50 int64 `json:"p50"`
	P90 int64 `json:"p90"`
	P99 int64 `json:"p99"`
}

func quantilesOf(h *hdrhistogram.Histogram) TimeQuantiles {
	return TimeQuantiles{h.ValueAtQuantile(50), h.ValueAtQuantile(90), h.ValueAtQuantile(99)}
}

// accuracy returns the comparison by ROUTE/BAND.
func (m *forecastMetrics) accuracy() map[string]ForecastAccuracy {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make(map[string]ForecastAccuracy, m.pairs.Len())
	for _, key := range m.pairs.Keys() {
		if p, ok := m.pairs.Peek(key); ok {
			all[key] = ForecastAccuracy{
				Count: p.measured.TotalCount(), Late: p.late, Predicted: quantilesOf(p.predicted), Measured: quantilesOf(p.measured), Distance: quantilesOf(p.distance),
			}
		}
	}
	return all
}

// recordFirstEvent compares the predicted time to the first event of an attempt with the measured one, if the attempt has not had
// an event before. Plain services have no prediction.
func (q *request) recordFirstEvent(a *attempt, now time.Time) {
	if !a.firstEventAt.IsZero() || q.profile.Engine == nil || a.expected <= 0 {
		return
	}
	q.predictedFirst, q.measuredFirst = a.expected, now.Sub(a.placedAt)
	q.gateway.metrics.forecasts.record(q.admitted.Route.Name, q.profile.Prompt, q.predictedFirst, q.measuredFirst)
}
