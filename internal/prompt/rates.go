package prompt

import (
	"math"
	"time"
)

const (
	// rateHalfLife is the observed time after which the weight of an observation has halved. Engines often report a
	// prefill only at its end, so the half-life spans several long prefills.
	rateHalfLife = 30 * time.Second
	// ratePriorTime is the initial weight of the declared rate, expressed as observed time.
	ratePriorTime = 10 * time.Second
)

// rateEstimate is an exponentially decayed ratio of tokens to seconds of observed work.
type rateEstimate struct{ tokens, seconds float64 }

func newRateEstimate(perSecond float64) rateEstimate {
	return rateEstimate{tokens: perSecond * ratePriorTime.Seconds(), seconds: ratePriorTime.Seconds()}
}

func (r *rateEstimate) observe(tokens int64, elapsed time.Duration) {
	if elapsed > 0 {
		decay := math.Exp2(-elapsed.Seconds() / rateHalfLife.Seconds())
		r.tokens *= decay
		r.seconds = r.seconds*decay + elapsed.Seconds()
	}
	r.tokens += float64(tokens)
}

// perSecond returns the estimated rate. It is at least one token per second, so that predictions stay finite while
// an engine is stuck.
func (r *rateEstimate) perSecond() float64 { return max(r.tokens/r.seconds, 1) }
