package worker

import (
	"slices"
	"time"

	"berylward.example/berylward/pkg/answer"
)

// DrainCause says why a backend server drains.
type DrainCause string

// The causes of a drain.
const (
	// DrainZone means that operators have taken the zone out of service.
	DrainZone DrainCause = "zone"
	// DrainLeaving means that the instance list marks the instance as leaving.
	DrainLeaving DrainCause = "leaving"
	// DrainStop means that the process was told to stop. It cannot be withdrawn.
	DrainStop DrainCause = "stop"
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
	// Causes are in alphabetical order. All of them must be withdrawn before the server serves again.
	Causes []DrainCause
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

// Transition is the effect of an event on the state. It is a sealed interface: NoTransition and Transitioned are its
// only implementations.
//
//sumtype:decl
type Transition interface{ transition() }

// NoTransition means that neither the kind of state nor the causes of a drain have changed.
type NoTransition struct{}

// Transitioned means that the state has changed. ResetWindow is set when the new state is Serving; the owner must then
// reset the Window to its cold limits.
type Transitioned struct {
	To          State
	ResetWindow bool
}

func (NoTransition) transition() {}
func (Transitioned) transition() {}

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
	causes                   []DrainCause
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
func (l *Lifecycle) Ready(time.Time) Transition {
	return l.apply(func() { l.responding, l.failed = true, false })
}

// Failed records that the engine has failed.
func (l *Lifecycle) Failed(now time.Time, reason answer.Reason) Transition {
	return l.apply(func() {
		if !l.failed {
			l.downSince = now
		}
		l.responding, l.failed, l.failReason = false, true, reason
	})
}

// Drain adds a cause for draining. A repeated cause changes nothing.
func (l *Lifecycle) Drain(now time.Time, c DrainCause) Transition {
	return l.apply(func() {
		if len(l.causes) == 0 {
			l.drainingSince = now
		}
		if i, found := slices.BinarySearch(l.causes, c); !found {
			l.causes = slices.Insert(l.causes, i, c)
		}
	})
}

// WithdrawCause withdraws a cause for draining, except DrainStop.
func (l *Lifecycle) WithdrawCause(_ time.Time, c DrainCause) Transition {
	return l.apply(func() {
		if i, found := slices.BinarySearch(l.causes, c); found && c != DrainStop {
			l.causes = slices.Delete(l.causes, i, i+1)
		}
	})
}

// Idle records that no request is running. If DrainStop is among the causes, the state is Stopped from then on.
func (l *Lifecycle) Idle(time.Time) Transition {
	return l.apply(func() { l.stopped = l.stopped || slices.Contains(l.causes, DrainStop) })
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

func (l *Lifecycle) apply(event func()) Transition {
	before, causes := l.phase(), len(l.causes)
	event()
	after := l.phase()
	if before == after && (after != phaseDraining || causes == len(l.causes)) {
		return NoTransition{}
	}
	return Transitioned{To: l.State(), ResetWindow: after == phaseServing}
}
