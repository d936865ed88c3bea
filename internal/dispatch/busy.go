package dispatch

import (
	"time"

	"berylward.example/berylward/internal/roster"
)

const (
	// busySpread is the span over which requests that were held until a backend server takes requests again are sent, so
	// that they do not arrive together.
	busySpread = 100 * time.Millisecond
	// minBusyRetry is the shortest delay suggested to the caller of a request refused because all backend servers are busy.
	minBusyRetry = 20 * time.Millisecond
)

// RecordBusy records that a backend server refused a request and wants no requests from this gateway for a time.
func (p *Planner) RecordBusy(now time.Time, s *roster.Server, wait time.Duration) {
	st := p.stateOf(s)
	if until := now.Add(wait); until.After(st.busyUntil) {
		st.busyUntil = until
	}
}

// BusyFor returns for how long a backend server wants no requests from this gateway; zero if it takes requests.
func (p *Planner) BusyFor(now time.Time, s *roster.Server) time.Duration {
	st := p.states[BackendKey(s)]
	if st == nil {
		return 0
	}
	return max(st.busyUntil.Sub(now), 0)
}

// NextFree returns the time until the first of the backend servers takes requests again; zero if one does now.
func (p *Planner) NextFree(now time.Time, servers []*roster.Server) time.Duration {
	var next time.Duration
	for i, s := range servers {
		if wait := p.BusyFor(now, s); i == 0 || wait < next {
			next = wait
		}
	}
	return next
}

// excluded tells why backend servers are no candidates although they are in service and have not been tried.
type excluded struct {
	// cold is set if one was left out because of the rate limit for cold backend servers.
	cold bool
	// freeAt is when the first of those that want no requests takes them again; zero if there are none.
	freeAt time.Time
}

func (e *excluded) addBusy(until time.Time) {
	if e.freeAt.IsZero() || until.Before(e.freeAt) {
		e.freeAt = until
	}
}

// placeWithoutCandidates decides on a request for which no backend server is a candidate. If all want no requests for a
// time, the request is held until the first takes requests again, or refused at once when it could not be served then.
func (p *Planner) placeWithoutCandidates(now time.Time, profile RequestProfile, e excluded) Placement {
	wait := e.freeAt.Sub(now)
	switch {
	case e.cold && (e.freeAt.IsZero() || wait > retryAfterCold):
		return NoPlacement{Reason: AllCold, RetryAfter: retryAfterCold}
	case e.freeAt.IsZero():
		return NoPlacement{Reason: AllTried, RetryAfter: retryAfterTried}
	case now.Add(wait + busySpread + profile.serviceTime()).Before(profile.Deadline):
		delay := wait + time.Duration(p.random.Int64N(int64(busySpread)))
		return Hold{Reason: HoldBusy, Delay: delay, Expected: wait + profile.serviceTime()}
	}
	return NoPlacement{Reason: AllBusy, RetryAfter: max(wait, minBusyRetry)}
}

// serviceTime returns the time in which an idle backend server answers a request, or begins to answer a prompt.
func (p RequestProfile) serviceTime() time.Duration {
	if p.Engine == nil {
		return p.Target
	}
	return p.PrefillTime() + deadlineMargin
}
