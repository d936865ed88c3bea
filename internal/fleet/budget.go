package fleet

import (
	"math"
	"time"
)

const (
	// retryShare is the share of recent requests that may be retried. A higher share would turn an overload into a
	// retry storm.
	retryShare = 0.1
	// retryDecayTime is the time constant with which the weight of past requests decays.
	retryDecayTime = 10 * time.Second
	// retryReserve lets an entry with little traffic retry the streams of one failed backend server. With 400 entries
	// it adds at most 400 retries per second, 4.5 % of the peak of 8,900 requests per second.
	retryReserve = 10
)

// RetryBudget limits retries to a share of recent requests. Each request adds retryShare of a token and each retry
// takes one token. Tokens above retryReserve decay with the time constant retryDecayTime; below it they refill within
// that time. The zero value is ready to use. A RetryBudget must be used by one goroutine at a time.
type RetryBudget struct {
	tokens      float64
	updated     time.Time
	initialized bool
}

// Request records the first attempt of a request.
func (b *RetryBudget) Request(now time.Time) {
	b.decay(now)
	b.tokens += retryShare
}

// Retry takes a token and reports whether one was available.
func (b *RetryBudget) Retry(now time.Time) bool {
	b.decay(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) decay(now time.Time) {
	if !b.initialized {
		b.initialized, b.tokens, b.updated = true, retryReserve, now
		return
	}
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	ratio := float64(elapsed) / float64(retryDecayTime)
	if b.tokens > retryReserve {
		b.tokens = retryReserve + (b.tokens-retryReserve)*math.Exp(-ratio)
	} else {
		b.tokens = math.Min(retryReserve, b.tokens+retryReserve*ratio)
	}
	b.updated = now
}
