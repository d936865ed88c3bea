// Package worker holds the state of one backend server: the window, which limits the work in flight, the lifecycle,
// which records whether the server is starting, serving, draining, down or stopped, and its speed compared with what is
// predicted. A Window belongs to a process that alone sends work to the server, a SharedWindow to one of several that do.
// Each value is used by one goroutine, its owner; the package reads no clock.
package worker

import (
	"time"

	"berylward.example/berylward/pkg/answer"
)

// Limits bounds the tokens and requests in flight.
type Limits struct {
	Tokens   int64
	Requests int
}

// LoadReport is one load report of the engine.
type LoadReport struct {
	// Incarnation changes whenever the engine restarts.
	Incarnation string
	// PrefillRate is the prefill rate in tokens per second while the engine was prefilling. Zero means that it did not
	// prefill; the report is then no evidence of whether it is warm.
	PrefillRate float64
}

// WindowChange is the effect of a report on the window. It is a sealed interface: Unchanged, LimitsChanged and
// WindowReset are its only implementations.
//
//sumtype:decl
type WindowChange interface{ change() }

// Unchanged means that the limits of the window are the same as at the previous report or reset.
type Unchanged struct{}

// LimitsChanged means that the limits of the window have changed since the previous report or reset, because the window
// grew with completed work or because SetLimits changed them.
type LimitsChanged struct{ Limits Limits }

// WindowReset means that the window was reset to the cold limits.
type WindowReset struct {
	Reason ResetReason
	Limits Limits
}

func (Unchanged) change()     {}
func (LimitsChanged) change() {}
func (WindowReset) change()   {}

// ResetReason says why the window was reset.
type ResetReason string

// The reasons for a reset.
const (
	// ResetOnIncarnation means that the engine has restarted.
	ResetOnIncarnation ResetReason = "incarnation"
	// ResetOnSpeed means that slowReportLimit consecutive reports were below the warm prefill rate.
	ResetOnSpeed ResetReason = "speed"
	// ResetOnReturn means that the backend server has returned to the state Serving.
	ResetOnReturn ResetReason = "return"
)

// Window limits the tokens and requests in flight at one backend server. It grows with completed work from the cold
// to the warm limits, and is reset when the engine restarts or becomes slow.
type Window struct {
	size
	reportedLimits  Limits
	warmPrefillRate float64
	slowReports     int
	incarnation     string
	inFlight        map[answer.ID]int64
	inFlightTokens  int64
}

// Option configures a Window.
type Option func(*Window)

// WithWarmPrefillRate sets the declared prefill rate of a warm backend server in tokens per second. Without it a slow
// prefill never resets the window.
func WithWarmPrefillRate(tokensPerSecond float64) Option {
	return func(w *Window) { w.warmPrefillRate = tokensPerSecond }
}

// slowReportLimit is the number of consecutive reports below the warm prefill rate that reset the window. Reports
// without a prefill rate do not count. One report is not enough, because it may cover only a few tokens.
const slowReportLimit = 2

// WithGrowth sets the fraction of completed work by which the window grows. The default is 1: after a full window
// of completed work it has doubled.
func WithGrowth(fraction float64) Option {
	return func(w *Window) { w.growthFraction = max(fraction, 0) }
}

// SetLimits changes the cold and warm limits. The window keeps its current size within the new bounds. Work in
// flight is never cut: if it exceeds the window, no new request is allowed until enough of them have ended.
func (w *Window) SetLimits(cold, warm Limits, opts ...Option) {
	w.setBounds(cold, warm)
	for _, o := range opts {
		o(w)
	}
}

// NewWindow returns a window that starts at cold and grows up to warm.
func NewWindow(cold, warm Limits, opts ...Option) *Window {
	w := &Window{size: newSize(cold, warm), reportedLimits: cold, inFlight: make(map[answer.ID]int64)}
	for _, o := range opts {
		o(w)
	}
	return w
}

// Limits returns the current size of the window.
func (w *Window) Limits() Limits { return w.limits }

// InFlight returns the work that has started and has not ended.
func (w *Window) InFlight() Limits {
	return Limits{Tokens: w.inFlightTokens, Requests: len(w.inFlight)}
}

// Allow reports whether the window has room for one more request of this many tokens.
func (w *Window) Allow(tokens int64) bool {
	return len(w.inFlight) < w.limits.Requests && w.inFlightTokens+tokens <= w.limits.Tokens
}

// Started records a request in flight. A repeated identifier is ignored.
func (w *Window) Started(id answer.ID, tokens int64) {
	if _, ok := w.inFlight[id]; ok {
		return
	}
	w.inFlight[id] = tokens
	w.inFlightTokens += tokens
}

// Completed records that a request ended with its complete answer. If at least half of the window was in use and the
// last reported prefill rate was not slow, the window grows by the growth fraction of the request's tokens and of one
// request. A mostly idle window proves no capacity.
func (w *Window) Completed(id answer.ID) {
	tokens, ok := w.inFlight[id]
	if !ok {
		return
	}
	halfUsed := w.halfUsed(w.InFlight())
	w.Abandoned(id)
	if halfUsed && w.slowReports == 0 {
		w.grow(tokens)
	}
}

// Abandoned records that a request ended without a complete answer. This proves no capacity, so the window does not
// grow.
func (w *Window) Abandoned(id answer.ID) {
	w.inFlightTokens -= w.inFlight[id]
	delete(w.inFlight, id)
}

// Observe applies a load report. A changed incarnation resets the window and clears the work in flight, because the
// streams ended with the engine. A late Completed for one of them is ignored.
func (w *Window) Observe(_ time.Time, r LoadReport) WindowChange {
	if r.Incarnation != w.incarnation {
		restarted := w.incarnation != ""
		w.incarnation = r.Incarnation
		if restarted {
			clear(w.inFlight)
			w.inFlightTokens = 0
			return w.Reset(ResetOnIncarnation)
		}
	}
	if r.PrefillRate > 0 {
		if r.PrefillRate >= w.warmPrefillRate {
			w.slowReports = 0
		} else if w.slowReports++; w.slowReports >= slowReportLimit && w.limits != w.cold {
			slowReports := w.slowReports
			change := w.Reset(ResetOnSpeed)
			// The server is still slow, so the window must not grow before a report at the warm prefill rate.
			w.slowReports = slowReports
			return change
		}
	}
	if w.limits != w.reportedLimits {
		w.reportedLimits = w.limits
		return LimitsChanged{Limits: w.limits}
	}
	return Unchanged{}
}

// Reset resets the window to the cold limits. Work in flight still counts, so no new request is allowed until it has
// fallen below them.
func (w *Window) Reset(reason ResetReason) WindowChange {
	w.limits, w.reportedLimits, w.slowReports = w.cold, w.cold, 0
	return WindowReset{Reason: reason, Limits: w.limits}
}
