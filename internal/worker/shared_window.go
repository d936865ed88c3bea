package worker

import (
	"math"
	"time"
)

const (
	// startRequests is the size of the window of a new incarnation. Two requests show more than one whether it answers, and are
	// no load for a server that can do anything else.
	startRequests = 2
	// probeRequests is the size of the window of a server whose answers have stopped.
	probeRequests = 1
	// warmSlots is how many requests for each slot are in flight before the window opens. A server that answers so many in
	// time has nothing to prove.
	warmSlots = 1
	// sharedGrowth is the number of requests by which the window grows with each answer that begins or ends in time. Requests
	// stay in flight long after their first events, so with a growth of 1 a window of 12 slots took twelve first events in a row.
	sharedGrowth = 2
	// openReportPeriod is how long a window that has opened is still reported, so that other processes open theirs.
	openReportPeriod = 3 * time.Second
	// settleTime is the time without a late or missing answer after which the window opens with the next answer. A server with little
	// load uses too little of its window for it to grow.
	settleTime = 5 * time.Second
)

// Answer is how a request went at a backend server. It is a sealed interface: Timely, Late and Missing are its only
// implementations.
//
//sumtype:decl
type Answer interface{ answer() }

// Timely means that an answer has begun or ended in time while InFlight requests of all processes were in flight.
type Timely struct{ InFlight int }

// Late means that an answer has begun or ended late.
type Late struct{}

// Missing means that a request sent at SentAt got no complete answer, or that no connection was established.
type Missing struct{ SentAt time.Time }

func (Timely) answer()  {}
func (Late) answer()    {}
func (Missing) answer() {}

// SharedWindow limits the requests in flight at one incarnation of a backend server, summed over all processes that send
// requests to it. Each of them has a copy. The copies agree by reports of cumulative growth, so that a lost report is made up
// for by the next one, and the growth seen by a process outlives it in the copies of the others.
type SharedWindow struct {
	size
	// open means that the window limits nothing.
	open bool
	// generation counts the times that the window was reset to probeRequests, grown the net growth by this process's own
	// evidence since then.
	generation, grown int
	// changedAt is when the window was last reset or started, openedAt when it opened, mergedAt when another process last
	// reported its copy.
	changedAt, openedAt, mergedAt time.Time
	// answeredAt is when an answer last began or ended, troubleAt when one was last late or missing.
	answeredAt, troubleAt time.Time
	peerGrowth            map[string]int
}

// WindowReport is what a process reports of its copy of a window.
type WindowReport struct {
	Open              bool
	Generation, Grown int
}

// NewSharedWindow returns the open window of a backend server with a number of slots.
func NewSharedWindow(slots int) *SharedWindow {
	// Tokens are not limited; gateways count the memory of engines apart.
	s := newSize(Limits{Tokens: math.MaxInt64, Requests: probeRequests}, Limits{Tokens: math.MaxInt64, Requests: warmSlots * slots})
	s.growthFraction = sharedGrowth
	return &SharedWindow{size: s, open: true, peerGrowth: map[string]int{}}
}

// Start closes the window to its first size, for an incarnation that has just started.
func (w *SharedWindow) Start(now time.Time) {
	w.restart(now, 0, startRequests)
}

// restart begins a generation of the window with a size.
func (w *SharedWindow) restart(now time.Time, generation, requests int) {
	w.generation, w.grown, w.changedAt, w.open = generation, 0, now, false
	w.limits.Requests, w.requestCredit = min(requests, w.warm.Requests), 0
	clear(w.peerGrowth)
	w.openIfGrown(now)
}

// Open reports whether the window limits nothing.
func (w *SharedWindow) Open() bool { return w.open }

// Room returns how many more requests may be sent while some are in flight, all processes together. It has no meaning for an
// open window.
func (w *SharedWindow) Room(inFlight int) int { return max(w.limits.Requests-inFlight, 0) }

// Requests returns the size of the window, which has no meaning for an open one.
func (w *SharedWindow) Requests() int { return w.limits.Requests }

// Record applies the evidence of one request, and reports whether the window was reset because answers have stopped.
func (w *SharedWindow) Record(now time.Time, a Answer) bool {
	switch a := a.(type) {
	case Timely:
		w.answeredAt = now
		switch {
		case w.open:
		case now.Sub(w.changedAt) > settleTime && now.Sub(w.troubleAt) > settleTime:
			w.Release(now)
		case w.halfUsed(Limits{Requests: a.InFlight}):
			w.change(now, func() { w.grow(0) })
		}
	case Late:
		w.answeredAt, w.troubleAt = now, now
		w.shrink(now)
	case Missing:
		w.troubleAt = now
		switch {
		case a.SentAt.Before(w.changedAt):
			// The reset since then was for the same failure.
		case a.SentAt.Before(w.answeredAt):
			// The server answers other requests.
			w.shrink(now)
		case !w.open && w.limits.Requests == probeRequests:
			w.changedAt = now
		default:
			w.restart(now, w.generation+1, probeRequests)
			return true
		}
	}
	return false
}

// shrink makes a closed window smaller by one request.
func (w *SharedWindow) shrink(now time.Time) {
	if !w.open {
		w.change(now, func() { w.limits.Requests = max(w.limits.Requests-1, probeRequests) })
	}
}

// change applies own evidence to the size.
func (w *SharedWindow) change(now time.Time, apply func()) {
	before := w.limits.Requests
	apply()
	w.grown += w.limits.Requests - before
	w.openIfGrown(now)
}

func (w *SharedWindow) openIfGrown(now time.Time) {
	if w.limits.Requests >= w.warm.Requests {
		w.Release(now)
	}
}

// Release opens the window.
func (w *SharedWindow) Release(now time.Time) {
	if !w.open {
		w.open, w.openedAt = true, now
	}
}

// Report returns what other processes must know of the window. It returns false for a window that has been open for long.
func (w *SharedWindow) Report(now time.Time) (WindowReport, bool) {
	if w.open && (w.openedAt.IsZero() || now.Sub(w.openedAt) > openReportPeriod) {
		return WindowReport{}, false
	}
	return WindowReport{Open: w.open, Generation: w.generation, Grown: w.grown}, true
}

// ReportedSince reports whether another process has reported its copy since a time.
func (w *SharedWindow) ReportedSince(t time.Time) bool { return w.mergedAt.After(t) }

// ChangedAt returns when the window was last started or reset.
func (w *SharedWindow) ChangedAt() time.Time { return w.changedAt }

// Merge applies the report of another process, and returns whether the other process had reset its window.
func (w *SharedWindow) Merge(now time.Time, process string, r WindowReport) bool {
	if r.Generation < w.generation {
		return false
	}
	w.mergedAt = now
	reset := r.Generation > w.generation
	if reset {
		w.restart(now, r.Generation, probeRequests)
	}
	if w.open {
		return reset
	}
	growth := r.Grown - w.peerGrowth[process]
	w.peerGrowth[process] = r.Grown
	w.limits.Requests = min(max(w.limits.Requests+growth, probeRequests), w.warm.Requests)
	w.openIfGrown(now)
	if r.Open {
		w.Release(now)
	}
	return reset
}
