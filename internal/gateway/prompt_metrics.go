package gateway

import (
	"expvar"
	"strings"
	"time"
)

// promptBands are the ranges of prompt length by which requests are counted, in tokens. Their number is fixed, so that
// callers cannot add metrics.
var promptBands = []struct {
	maxTokens int64
	name      string
}{
	{8_000, "8k"}, {32_000, "32k"}, {64_000, "64k"}, {128_000, "128k"}, {192_000, "192k"}, {256_000, "256k"},
	{384_000, "384k"}, {512_000, "512k"},
}

// longestBand is the name of the range above the last of promptBands.
const longestBand = "longer"

func bandName(tokens int64) string {
	for _, b := range promptBands {
		if tokens <= b.maxTokens {
			return b.name
		}
	}
	return longestBand
}

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
// were held. It is safe for concurrent use.
type promptMetrics struct{ values *expvar.Map }

func newPromptMetrics(values *expvar.Map) *promptMetrics { return &promptMetrics{values} }

// record counts a request that has ended.
func (m *promptMetrics) record(route string, tokens int64, outcome string, held time.Duration) {
	prefix := route + "/" + bandName(tokens) + "/"
	m.values.Add(prefix+outcomeClass(outcome), 1)
	if held > 0 {
		m.values.Add(prefix+"held", 1)
		m.values.Add(prefix+"held-ms", held.Milliseconds())
	}
}
