package worker

import (
	"slices"
	"time"

	"berylward.example/berylward/pkg/answer"
)

// Cause says why a backend server drains.
type Cause string

// The causes of a drain.
const (
	// CauseZone means that operators have taken the zone out of service.
	CauseZone Cause = "zone"
	// CauseLeaving means that the instance list marks the instance as leaving.
	CauseLeaving Cause = "leaving"
	// CauseStop means that the process was told to stop. It cannot be withdrawn.
	CauseStop Cause = "stop"
)

// State is the state of a backend server. It is a sealed interface: Starting, Serving, Draining, Down and Stopped are
// its only implementations.
//
//sumtype:decl
type State interface{ state() }

// Starting means that the engine has not responded yet.
type Starting struct{}

// Serving means that new work may be granted.
type Serving struct{}

// Draining means that running requests complete and no new work is granted.
type Draining struct {
	// Causes are in alphabetical order. All of them must be withdrawn before the worker serves again.
	Causes []Cause
	Since  time.Time
}

// Down means that the engine has failed.
type Down struct {
	Reason answer.Reason
	Since  time.Time
}

// Stopped means that a stop was ordered and the last request has ended.
type Stopped struct{}

func (Starting) state() {}
func (Serving) state()  {}
func (Draining) state() {}
func (Down) state()     {}
func (Stopped) state()  {}

// Move says whether an event changed the state. It is a sealed interface: Stay and Moved are its only
// implementations.
//
//sumtype:decl
type Move interface{ move() }

// Stay means that the state has not changed.
type Stay struct{}

// Moved means that the state has changed. Cold is set when the worker starts to serve; the owner must then reset
// the Window to its cold limits.
type Moved struct {
	To   State
	Cold bool
}

func (Stay) move()  {}
func (Moved) move() {}

type phase int

const (
	phaseStarting phase = iota
	phaseServing
	phaseDraining
	phaseDown
	phaseStopped
)

// Lifecycle is the state machine of one backend server. A drain takes precedence over a failure, so an engine that
// recovers during a drain gets no work. The zero value is in the state Starting.
type Lifecycle struct {
	causes                   []Cause
	responding, failed       bool
	stopped                  bool
	failReason               answer.Reason
	drainingSince, downSince time.Time
}

// State returns the current state.
func (l *Lifecycle) State() State {
	switch l.phase() {
	case phaseStarting:
		return Starting{}
	case phaseServing:
		return Serving{}
	case phaseDraining:
		return Draining{Causes: slices.Clone(l.causes), Since: l.drainingSince}
	case phaseDown:
		return Down{Reason: l.failReason, Since: l.downSince}
	case phaseStopped:
	}
	return Stopped{}
}

// MayGrant reports whether new work may be granted.
func (l *Lifecycle) MayGrant() bool { return l.phase() == phaseServing }

// Ready records that the engine responds.
func (l *Lifecycle) Ready(time.Time) Move {
	return l.apply(func() { l.responding, l.failed = true, false })
}

// Failed records that the engine has failed.
func (l *Lifecycle) Failed(now time.Time, reason answer.Reason) Move {
	return l.apply(func() {
		if !l.failed {
			l.downSince = now
		}
		l.responding, l.failed, l.failReason = false, true, reason
	})
}

// Drain adds a cause for draining. A repeated cause changes nothing.
func (l *Lifecycle) Drain(now time.Time, c Cause) Move {
	return l.apply(func() {
		if len(l.causes) == 0 {
			l.drainingSince = now
		}
		if i, found := slices.BinarySearch(l.causes, c); !found {
			l.causes = slices.Insert(l.causes, i, c)
		}
	})
}

// Return withdraws a cause for draining, except CauseStop.
func (l *Lifecycle) Return(_ time.Time, c Cause) Move {
	return l.apply(func() {
		if i, found := slices.BinarySearch(l.causes, c); found && c != CauseStop {
			l.causes = slices.Delete(l.causes, i, i+1)
		}
	})
}

// Idle records that no request is running. If CauseStop is among the causes, the worker is stopped from then on.
func (l *Lifecycle) Idle(time.Time) Move {
	return l.apply(func() { l.stopped = l.stopped || slices.Contains(l.causes, CauseStop) })
}

func (l *Lifecycle) phase() phase {
	switch {
	case l.stopped:
		return phaseStopped
	case len(l.causes) > 0:
		return phaseDraining
	case l.failed:
		return phaseDown
	case !l.responding:
		return phaseStarting
	}
	return phaseServing
}

func (l *Lifecycle) apply(event func()) Move {
	before, causes := l.phase(), len(l.causes)
	event()
	after := l.phase()
	if before == after && (after != phaseDraining || causes == len(l.causes)) {
		return Stay{}
	}
	return Moved{To: l.State(), Cold: after == phaseServing}
}
