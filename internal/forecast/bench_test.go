package forecast_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"berylward.example/berylward/internal/forecast"
)

// fleetLoads returns the loads of a number of engines, from idle ones to some with a queue.
func fleetLoads(n int) []forecast.Load {
	all := make([]forecast.Load, n)
	for i := range all {
		l := forecast.Load{Generating: i % 13, PrefillTokens: int64(i%7) * 5_000, Prefilling: i % 2, Slowness: 1 + float64(i%4)}
		l.Context, l.OutputLeft = int64(l.Generating)*5_000, int64(l.Generating+l.Prefilling)*300
		if l.Generating == 12 {
			l.Waiting, l.Prefilling = i%20, 0
		}
		all[i] = l
	}
	return all
}

// BenchmarkPredict measures a decision that predicts a request at each engine of a fleet.
func BenchmarkPredict(b *testing.B) {
	e := forecast.NewEngine(engines["khökh tamga"])
	for _, n := range []int{69, 300, 1200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			all := fleetLoads(n)
			best := forecast.Prediction{}
			b.ReportAllocs()
			for b.Loop() {
				for i := range all {
					if p := forecast.Predict(e, all[i], forecast.Request{Prompt: 4_960, Output: answer}); p.First > best.First {
						best = p
					}
				}
			}
		})
	}
}

// Guards against a forecast that takes memory for each engine of each decision.
func TestPredictAllocates(t *testing.T) {
	e, all := forecast.NewEngine(engines["brescia"]), fleetLoads(100)
	assert.Equal(t, testing.AllocsPerRun(10, func() {
		for _, l := range all {
			forecast.Predict(e, l, forecast.Request{Prompt: 4_960, Output: answer})
			forecast.PredictPart(e, l, forecast.Request{Prompt: 260_000, Output: answer, Helpers: 3})
		}
	}), 0.0)
}
