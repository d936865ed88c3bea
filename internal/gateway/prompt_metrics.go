package gateway

import (
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"berylward.example/berylward/internal/lengths"
)

// outcomeClass returns an outcome without the reason of a refusal or failure.
func outcomeClass(outcome string) string {
	for _, class := range []string{"refused", "failed"} {
		if strings.HasPrefix(outcome, class+"-") {
			return class
		}
	}
	return outcome
}

// promptMetrics counts requests with prompts by route, band of prompt length and outcome, and adds up how long they
// were held. It also counts by route how many prompts of each length were answered. It keeps the maxRouteMetrics
// routes that were used last. It is safe for concurrent use.
type promptMetrics struct {
	mu     sync.Mutex
	routes *simplelru.LRU[string, *routePrompts]
}

// routePrompts counts the prompts of one route, by the name of a counter and by length.
type routePrompts struct {
	counters map[string]int64
	byLength lengths.Histogram
}

func newPromptMetrics() *promptMetrics {
	return &promptMetrics{routes: newLRU[*routePrompts](maxRouteMetrics)}
}

// record counts a request that has ended.
func (m *promptMetrics) record(route string, tokens int64, outcome string, held time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.routes.Get(route)
	if !ok {
		r = &routePrompts{counters: map[string]int64{}}
		m.routes.Add(route, r)
	}
	prefix := route + "/" + lengths.BandName(tokens) + "/"
	r.counters[prefix+outcomeClass(outcome)]++
	if held > 0 {
		r.counters[prefix+"held"]++
		r.counters[prefix+"held-ms"] += held.Milliseconds()
	}
	r.byLength.Record(tokens, outcome == "answered")
}

// counters returns the counters of all routes.
func (m *promptMetrics) counters() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := map[string]int64{}
	for _, r := range m.routes.Values() {
		maps.Copy(all, r.counters)
	}
	return all
}

// shares returns by route how many prompts of different lengths were answered. Each attempt of a caller counts.
func (m *promptMetrics) shares() map[string]lengths.Shares {
	m.mu.Lock()
	defer m.mu.Unlock()
	shares := make(map[string]lengths.Shares, m.routes.Len())
	for _, route := range m.routes.Keys() {
		if r, ok := m.routes.Peek(route); ok {
			shares[route] = r.byLength.Shares()
		}
	}
	return shares
}

// logPromptShares logs by route and length how many prompts were answered, so that a length that is refused more often than the
// others is seen.
func (g *Gateway) logPromptShares() {
	for route, s := range g.metrics.prompts.shares() {
		for _, band := range s.Bands {
			g.log.Info("prompts by length", "route", route, "length", band.Name, "all", band.All, "answered", band.Answered)
		}
	}
}
