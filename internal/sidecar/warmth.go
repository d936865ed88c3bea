package sidecar

import (
	"time"

	"berylward.example/berylward/internal/engine"
	"berylward.example/berylward/internal/worker"
)

const (
	// minPrefillSample is the least number of tokens prefilled between two probes for which the prefill rate shows
	// whether the engine is warm. With a few small prompts the rate depends on the steps of the batch instead: on a
	// stand-in it was 8,000 tokens per second instead of 40,000, and the window was reset under short prompts alone.
	minPrefillSample = 4096
	// decodeThresholdFactor lowers the threshold for the decode rate of a stream. That rate also falls with the batch
	// size, on a stand-in to 45 % of the rate of a single stream.
	decodeThresholdFactor = 0.75
)

// warmthEstimator estimates whether the engine is warm. An interval with much prefill is judged by the prefill rate
// against the declared rate. Any other interval is judged by the decode rate of a stream against the best rate that
// was seen while the engine reported itself warm. A report that the engine is cold always counts; a report that it is
// warm proves nothing, because an engine may turn cold without notice.
type warmthEstimator struct {
	prefilledTokens int64
	bestDecodeRate  float64
}

// addPrefill adds the uncached prompt tokens of a request that has received its first token.
func (w *warmthEstimator) addPrefill(uncached int64) { w.prefilledTokens += uncached }

// report returns the load report for the window. Its prefill rate is comparable with the declared one, and zero when it
// is not known.
func (w *warmthEstimator) report(load engine.Load, declared, coldShare float64) worker.LoadReport {
	r := worker.LoadReport{Incarnation: load.Incarnation.String()}
	prefilled := w.prefilledTokens
	w.prefilledTokens = 0
	switch {
	case !load.Warm:
		// One tenth of the threshold is certainly slow.
		r.PrefillRate = max(declared*coldShare/10, 1)
	case prefilled >= minPrefillSample && load.PrefillRate > 0:
		r.PrefillRate = load.PrefillRate
	case load.DecodeRate > 0:
		w.bestDecodeRate = max(w.bestDecodeRate, load.DecodeRate)
		r.PrefillRate = declared * load.DecodeRate / (w.bestDecodeRate * decodeThresholdFactor)
	}
	return r
}

// observeLoad passes a load report to the window and returns the reset of the window that results from it, if any.
func (b *backend) observeLoad(now time.Time, load engine.Load) (worker.WindowReset, bool) {
	limits := b.admissionLimits
	coldShare := 0.0
	if limits.prefillRate > 0 {
		coldShare = limits.warmPrefillRate / limits.prefillRate
	}
	reset, ok := b.window.Observe(now, b.warmth.report(load, limits.prefillRate, coldShare)).(worker.WindowReset)
	return reset, ok
}

// observeSlow makes the window treat the engine as slow until the first load report after a reset. A cold engine can
// end quick requests before its first report, which would otherwise grow the window beyond the engine's capacity.
func (b *backend) observeSlow(now time.Time) {
	if b.Service == "" {
		b.window.Observe(now, worker.LoadReport{Incarnation: b.load.Incarnation.String(), PrefillRate: 1})
	}
}
