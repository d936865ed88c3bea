package dispatch

import (
	"math/rand/v2"
	"time"

	"berylward.example/berylward/internal/roster"
)

const (
	// avoidFirst is how long a backend server is avoided after a failure; each further one in a row doubles it, up to
	// avoidMost. Its entry in the store outlives it by some seconds.
	avoidFirst = 400 * time.Millisecond
	avoidMost  = 6 * time.Second
	// avoidFull is how long a backend server is avoided that refused because it is full.
	avoidFull = 150 * time.Millisecond
	// errorWeight is the weight of the newest answer in the rate of failed answers.
	errorWeight = 0.12
	// errorMargin is by how much the rate of failed answers must exceed the mean of the service for a backend server to
	// be avoided. Some failures belong to the requests, whichever backend server gets them.
	errorMargin = 0.2
)

// Outcome says how a request ended at a backend server. It is a sealed interface: Answered, Errored, Full, Lost and
// Abandoned are its only implementations.
//
//sumtype:decl
type Outcome interface{ outcome() }

// Answered means that the backend server gave its whole answer, or is giving it.
type Answered struct{}

// Errored means that the backend server answered with an error of its own.
type Errored struct{}

// Full means that the backend server refused the request without running it.
type Full struct{}

// Lost means that no connection came about, or that the answer broke off or did not come in time.
type Lost struct{}

// Abandoned means that the caller left or its time ended, which tells nothing of the backend server.
type Abandoned struct{}

func (Answered) outcome()  {}
func (Errored) outcome()   {}
func (Full) outcome()      {}
func (Lost) outcome()      {}
func (Abandoned) outcome() {}

// rate is an exponentially weighted mean.
type rate float64

func (r *rate) add(x float64) { *r += rate(errorWeight) * (rate(x) - *r) }

func (st *state) learn(now time.Time, o Outcome) {
	switch o.(type) {
	case Answered:
		st.failures = 0
		st.avoidUntil = time.Time{}
		st.errors.add(0)
	case Errored:
		st.errors.add(1)
	case Full:
		st.avoid(now, avoidFull)
	case Lost:
		st.errors.add(1)
		st.avoid(now, min(avoidFirst<<min(st.failures, 8), avoidMost))
		st.failures++
	case Abandoned:
	}
}

func (st *state) avoid(now time.Time, d time.Duration) {
	if until := now.Add(d); until.After(st.avoidUntil) {
		st.avoidUntil = until
	}
}

// Blame records that a backend server failed a request that it was helping with.
func (p *Planner) Blame(now time.Time, s *roster.Server) {
	st := p.state(s)
	st.learn(now, Lost{})
	p.changed = true
}

// coldLimit counts the sends to a backend server in the present and the former window of coldWindow.
type coldLimit struct {
	start         time.Time
	count, former int
	// next is when one more send is due at a rate below one in coldWindow, and period the pause at that rate.
	next   time.Time
	period time.Duration
}

// coldWindow is the span over which sends to a cold backend server are limited. Any span of this length counts, so the
// former window counts too.
const coldWindow = time.Second

func (c *coldLimit) roll(now time.Time) {
	switch elapsed := now.Sub(c.start); {
	case elapsed >= 2*coldWindow:
		c.start, c.count, c.former = now, 0, 0
	case elapsed >= coldWindow:
		c.start, c.former, c.count = c.start.Add(coldWindow), c.count, 0
	}
}

func (c *coldLimit) note(now time.Time) {
	c.roll(now)
	c.count++
	if c.period > 0 {
		c.next = now.Add(c.period)
	}
}

// bears says whether one more send stays within a share of a rate per second. Where the share is below one send in
// coldWindow, gateways take turns: each draws when its first send is due, so that not all send at once.
func (c *coldLimit) bears(now time.Time, perSecond float64, random *rand.Rand) bool {
	if perSecond >= 1 {
		c.period = 0
		c.roll(now)
		return float64(c.count+c.former+1) <= perSecond
	}
	c.period = time.Duration(float64(coldWindow) / perSecond)
	if now.Sub(c.next) > c.period {
		c.next = now.Add(time.Duration(random.Float64() * float64(c.period)))
	}
	return !now.Before(c.next)
}
