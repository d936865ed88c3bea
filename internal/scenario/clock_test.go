package scenario

import (
	"sync"
	"time"

	"k8s.io/utils/clock"
)

// pausableClock is the clock of one process. While it is paused, no timer fires, as in a suspended process, but Now
// continues to advance.
type pausableClock struct {
	clock.RealClock
	mu       sync.Mutex
	paused   bool
	deferred []func()
}

func (c *pausableClock) pause() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = true
}

func (c *pausableClock) resume() {
	c.mu.Lock()
	deferred := c.deferred
	c.paused, c.deferred = false, nil
	c.mu.Unlock()
	for _, fire := range deferred {
		fire()
	}
}

// runOrDefer calls fire at once or, while the clock is paused, when it resumes.
func (c *pausableClock) runOrDefer(fire func()) {
	c.mu.Lock()
	if c.paused {
		c.deferred = append(c.deferred, fire)
		c.mu.Unlock()
		return
	}
	c.mu.Unlock()
	fire()
}

// pausableTimer implements a timer and, if period is set, a ticker.
type pausableTimer struct {
	clock  *pausableClock
	period time.Duration
	out    chan time.Time
	mu     sync.Mutex
	timer  *time.Timer
	// resetCount is incremented by Reset and Stop. A deferred firing with an older count is dropped.
	resetCount int
}

func (c *pausableClock) NewTimer(d time.Duration) clock.Timer   { return c.start(d, 0) }
func (c *pausableClock) NewTicker(d time.Duration) clock.Ticker { return ticker{c.start(d, d)} }

func (c *pausableClock) start(d, period time.Duration) *pausableTimer {
	t := &pausableTimer{clock: c, period: period, out: make(chan time.Time, 1)}
	t.Reset(d)
	return t
}

func (t *pausableTimer) Reset(d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resetCount++
	resetCount := t.resetCount
	active := t.timer != nil && t.timer.Stop()
	select {
	case <-t.out:
	default:
	}
	t.timer = time.AfterFunc(d, func() { t.clock.runOrDefer(func() { t.fire(resetCount) }) })
	return active
}

func (t *pausableTimer) fire(resetCount int) {
	t.mu.Lock()
	current := resetCount == t.resetCount
	t.mu.Unlock()
	if !current {
		return
	}
	select {
	case t.out <- time.Now():
	default:
	}
	if t.period > 0 {
		t.mu.Lock()
		defer t.mu.Unlock()
		if resetCount == t.resetCount {
			t.timer = time.AfterFunc(t.period, func() { t.clock.runOrDefer(func() { t.fire(resetCount) }) })
		}
	}
}

func (t *pausableTimer) Stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.resetCount++
	return t.timer.Stop()
}

func (t *pausableTimer) C() <-chan time.Time { return t.out }

type ticker struct{ *pausableTimer }

func (t ticker) Stop() { t.pausableTimer.Stop() }
