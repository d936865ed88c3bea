package dispatch

import (
	"math/rand/v2"
	"time"

	"berylward.example/berylward/internal/roster"
)

const (
	// initialAvoidance is how long a backend server is avoided after a failure. Each further consecutive failure
	// doubles it, up to maxAvoidance. The store keeps the entry of a dead backend server for some seconds.
	initialAvoidance = 400 * time.Millisecond
	maxAvoidance     = 6 * time.Second
	// unreachableAvoidance replaces initialAvoidance if no connection was established. When the backend servers of a zone end
	// together, their entries last for some seconds, and the gateways of the zone would spend their sends on dialing all of
	// them again and again.
	unreachableAvoidance = 1600 * time.Millisecond
	// goneAvoidance is how long an incarnation is avoided after another server answered at its address. The store shows
	// within this time that it is gone.
	goneAvoidance = 6 * time.Second
	// fullAvoidance is how long a backend server is avoided after it refused a request because it is full.
	fullAvoidance = 150 * time.Millisecond
	// errorRateWeight is the weight of the newest outcome in the error rate.
	errorRateWeight = 0.12
	// errorRateMargin is by how much the error rate of a backend server must exceed the mean of its service for the
	// backend server to be avoided. Some failures are caused by the requests, whichever backend server gets them.
	errorRateMargin = 0.2
)

// Outcome says how a request ended at a backend server. It is a sealed interface: Answered, Errored, Full, Gone,
// Unreachable, Lost and Abandoned are its only implementations.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Answered means that the backend server sent its complete answer, or is sending it.
type Answered struct{}

// Errored means that the backend server answered with an error of its own.
type Errored struct{}

// Full means that the backend server refused the request without running it.
type Full struct{}

// Gone means that another server answered at the address of the backend server, which therefore has ended.
type Gone struct{}

// Unreachable means that no connection was established.
type Unreachable struct{}

// Lost means that the answer broke off or did not arrive in time.
type Lost struct{}

// Abandoned means that the caller left or its deadline passed, which says nothing about the backend server.
type Abandoned struct{}

func (Answered) outcome()    {}
func (Errored) outcome()     {}
func (Full) outcome()        {}
func (Gone) outcome()        {}
func (Unreachable) outcome() {}
func (Lost) outcome()        {}
func (Abandoned) outcome()   {}

// average is an exponentially weighted moving average.
type average float64

func (a *average) add(x float64) { *a += average(errorRateWeight) * (average(x) - *a) }

func (st *serverState) recordOutcome(now time.Time, o Outcome) {
	switch o.(type) {
	case Answered:
		st.failures = 0
		st.avoidUntil = time.Time{}
		st.errorRate.add(0)
	case Errored:
		st.errorRate.add(1)
	case Full:
		st.avoidFor(now, fullAvoidance)
	case Gone:
		st.avoidFor(now, goneAvoidance)
	case Unreachable:
		st.recordFailure(now, unreachableAvoidance)
	case Lost:
		st.recordFailure(now, initialAvoidance)
	case Abandoned:
	}
}

// recordFailure records a failed request. The avoidance doubles with each consecutive failure.
func (st *serverState) recordFailure(now time.Time, avoidance time.Duration) {
	st.errorRate.add(1)
	st.avoidFor(now, min(avoidance<<min(st.failures, 8), maxAvoidance))
	st.failures++
}

func (st *serverState) avoidFor(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(st.avoidUntil) {
		st.avoidUntil = until
	}
}

// RecordHelperFailure records that a backend server failed while it was helping with a request.
func (p *Planner) RecordHelperFailure(now time.Time, s *roster.Server) {
	st := p.stateOf(s)
	st.recordOutcome(now, Lost{})
	p.loadsChanged = true
}

// coldLimit counts the sends to a backend server in the current and the previous window of coldWindow.
type coldLimit struct {
	start           time.Time
	count, previous int
	lastSend        time.Time
	// nextSend is when the next send is due at a rate below one per coldWindow, and period the time between two sends
	// at that rate.
	nextSend time.Time
	period   time.Duration
}

// coldWindow is the span over which sends to a cold backend server are limited. The limit applies to any span of this
// length, so the previous window counts too.
const coldWindow = time.Second

func (c *coldLimit) advance(now time.Time) {
	switch elapsed := now.Sub(c.start); {
	case elapsed >= 2*coldWindow:
		c.start, c.count, c.previous = now, 0, 0
	case elapsed >= coldWindow:
		c.start, c.previous, c.count = c.start.Add(coldWindow), c.count, 0
	}
}

func (c *coldLimit) recordSend(now time.Time) {
	c.advance(now)
	c.count++
	c.lastSend = now
	if c.period > 0 {
		c.nextSend = now.Add(c.period)
	}
}

// counts reports whether earlier sends still count against the limit.
func (c *coldLimit) counts(now time.Time) bool {
	return now.Before(c.nextSend) || now.Sub(c.lastSend) < coldWindow
}

// allows reports whether one more send stays within this gateway's share of the rate limit. With a share below one send
// per coldWindow, each gateway draws the time of its first send at random, so that they do not all send at once.
func (c *coldLimit) allows(now time.Time, perSecond float64, random *rand.Rand) bool {
	if perSecond >= 1 {
		c.period = 0
		c.advance(now)
		return float64(c.count+c.previous+1) <= perSecond
	}
	c.period = time.Duration(float64(coldWindow) / perSecond)
	if now.Sub(c.nextSend) > c.period {
		c.nextSend = now.Add(time.Duration(random.Float64() * float64(c.period)))
	}
	return !now.Before(c.nextSend)
}
