package booking

import "time"

// previousLimits holds the limits that applied before a change, for as long as calls with keys from that time may
// arrive.
type previousLimits struct {
	keyLifetime, clockSkew time.Duration
	until                  time.Time
	// expiredBefore is the creation time before which an entry may have expired under a shorter lifetime.
	expiredBefore time.Time
}

// Limits are the declared limits of a table that can change while it is in use.
type Limits struct {
	// KeyLifetime is how long a key and its answer are retained.
	KeyLifetime time.Duration
	// ClockSkew is the largest difference between any two clocks of callers and workers.
	ClockSkew time.Duration
	// MaxEntries is the maximum number of entries, as set by WithMaxEntries.
	MaxEntries int
}

// SetLimits changes the limits, or returns an Error of KindConfig and changes nothing. An entry never expires earlier
// because of the change, and expires later when the lifetime or the clock skew rises. A table that holds more than the
// new limits allow rejects new keys until enough entries have expired. Whether a call may have run before is judged by
// the larger of the old and new limits until keys from before the change are too old.
func (t *Table) SetLimits(now time.Time, l Limits) error {
	if l.KeyLifetime <= 0 || l.ClockSkew < 0 || l.MaxEntries <= 0 {
		return &Error{Op: "set limits", Kind: KindConfig}
	}
	WithMaxEntries(l.MaxEntries)(&t.opt)
	if l.KeyLifetime == t.opt.keyLifetime && l.ClockSkew == t.opt.clockSkew {
		return nil
	}
	// Drop expired entries now, so that no entry created before expiredBefore has its lifetime extended.
	t.lastSweep = time.Time{}
	t.sweep(now)
	life, skew := t.longestKeyLifetime(now), t.longestClockSkew(now)
	t.previous.keyLifetime, t.previous.clockSkew, t.previous.until = life, skew, now.Add(life+2*skew)
	if l.KeyLifetime > t.opt.keyLifetime {
		t.previous.expiredBefore = later(t.previous.expiredBefore, now.Add(-t.opt.keyLifetime))
	}
	if extension := l.KeyLifetime - t.opt.keyLifetime + 2*(l.ClockSkew-t.opt.clockSkew); extension > 0 {
		for _, e := range t.entries {
			e.expiresAt = e.expiresAt.Add(extension)
		}
	}
	t.opt.keyLifetime, t.opt.clockSkew = l.KeyLifetime, l.ClockSkew
	return nil
}

// Limits returns the current limits.
func (t *Table) Limits() Limits { return Limits{t.opt.keyLifetime, t.opt.clockSkew, t.opt.maxEntries} }

// mayHaveExpired reports whether an entry for a key or ticket created at this time may have expired under a shorter
// lifetime.
func (t *Table) mayHaveExpired(createdAt time.Time) bool {
	return !t.previous.expiredBefore.IsZero() && createdAt.Before(t.previous.expiredBefore.Add(max(t.opt.clockSkew, t.previous.clockSkew)))
}

func (t *Table) longestKeyLifetime(now time.Time) time.Duration {
	if now.Before(t.previous.until) {
		return max(t.opt.keyLifetime, t.previous.keyLifetime)
	}
	return t.opt.keyLifetime
}

func (t *Table) longestClockSkew(now time.Time) time.Duration {
	if now.Before(t.previous.until) {
		return max(t.opt.clockSkew, t.previous.clockSkew)
	}
	return t.opt.clockSkew
}
