package fleet

import (
	"math"
	"time"
)

const (
	// retryShare is the share of recent requests that may be retried; more would turn an overload into a
	// storm of retries.
	retryShare = 0.1
	// retryMemory is the time constant after which a request no longer counts as recent.
	retryMemory = 10 * time.Second
	// retryReserve lets an entry with little traffic retry the streams of one failed backend server. At 400 entries
	// it adds at most 400 retries a second, 4.5 % of the peak of 8,900 requests a second.
	retryReserve = 10
)

// RetryBudget bounds retries to a share of recent requests. Each request adds retryShare of a token, each
// retry takes one. Tokens above retryReserve decay with the time constant retryMemory; below it they refill within
// that time. The zero value is ready to use; it is owned by one goroutine at a time.
type RetryBudget struct {
	tokens  float64
	updated time.Time
	begun   bool
}

// Request records a first attempt.
func (b *RetryBudget) Request(now time.Time) {
	b.age(now)
	b.tokens += retryShare
}

// Retry takes a token and reports whether there was one.
func (b *RetryBudget) Retry(now time.Time) bool {
	b.age(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *RetryBudget) age(now time.Time) {
	if !b.begun {
		b.begun, b.tokens, b.updated = true, retryReserve, now
		return
	}
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return
	}
	ratio := float64(elapsed) / float64(retryMemory)
	if b.tokens > retryReserve {
		b.tokens = retryReserve + (b.tokens-retryReserve)*math.Exp(-ratio)
	} else {
		b.tokens = math.Min(retryReserve, b.tokens+retryReserve*ratio)
	}
	b.updated = now
}
