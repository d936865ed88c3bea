// Package dispatch chooses the backend servers that a request is sent to, without a sidecar beside each of them. A
// Planner counts the requests that its gateway has sent, adds the loads that other gateways report, and learns from
// outcomes which backend servers to avoid. It is owned by one gateway, must be used by one goroutine at a time, reads
// no clock and does no input or output.
package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
)

// RequestProfile describes the cost and the deadlines of a request.
type RequestProfile struct {
	Service Key
	// Engine is nil for a plain service.
	Engine *route.Engine
	// Prompt and Answer are numbers of tokens; Answer is an estimate.
	Prompt, Answer int64
	// Target is the target time to the first event, or to the complete answer of a plain service.
	Target time.Duration
	// The first event is late after TargetTime and too late for the caller after Deadline. A request without these
	// times is never held.
	TargetTime, Deadline time.Time
	// CompleteBy is when the answer must be complete because the gateway ends; zero while it does not. A request whose answer
	// would probably be complete later is refused.
	CompleteBy time.Time
	// ColdPerSecond limits the rate of requests that all gateways together send to one cold backend server; zero
	// means no limit.
	ColdPerSecond float64
	// Fingerprint is the same for identical requests; zero when this does not matter.
	Fingerprint uint64
	// HoldID identifies the request while it is held; zero before.
	HoldID HoldID
	// Rank is the urgency of the request, Ranks the range of the ranks of its service. Rank has no effect if the requests for the
	// service are not ranked.
	Rank  route.Rank
	Ranks route.RankRange
	// Workspace is the WorkspaceKey of the workspace. It has no effect if the requests for the service are not ranked.
	Workspace Key
}

// PrefillTime returns the time that one engine needs to prefill the prompt alone.
func (p RequestProfile) PrefillTime() time.Duration { return p.Engine.PrefillTime(p.Prompt) }

// Short reports whether the request is in the class of short prompts, which must not be delayed by the prefill of long
// ones.
func (p RequestProfile) Short() bool { return p.PrefillTime() <= maxShortPrefill }

// PlacementID identifies a placed request until it ends.
type PlacementID uint64

// Key identifies one incarnation of a backend server in reports between gateways. In a fleet of 1,200 backend
// servers, two share a key with a probability of about 1 in 6,000; their loads are then added together.
type Key uint32

// BackendKey returns the key of a backend server.
func BackendKey(s *roster.Server) Key {
	return Key((xxhash.Sum64String(s.ID) ^ uint64(s.StartedAt.UnixMilli())*0x9e3779b97f4a7c15) >> 32)
}

// ServiceKey returns the key that identifies a service in reports between gateways.
func ServiceKey(name string) Key { return Key(xxhash.Sum64String(name) >> 32) }

// Load is the outstanding work of one gateway at one backend server.
type Load struct {
	Key Key
	// Short and Long are the numbers of outstanding requests by the class of their prompt.
	Short, Long int
	// Urgent is how many of them are more urgent than others for the service; zero if they are not ranked.
	Urgent int
	// PendingPrefill is the pending prefill time, Memory the number of tokens held in memory.
	PendingPrefill time.Duration
	Memory         int64
	// AvoidFor is the time for which the gateway still avoids the backend server because of failures.
	AvoidFor time.Duration
}

// add adds the counts of another load, or subtracts them with a sign of -1.
func (l *Load) add(other Load, sign int) {
	l.Short += sign * other.Short
	l.Long += sign * other.Long
	l.Urgent += sign * other.Urgent
	l.PendingPrefill += time.Duration(sign) * other.PendingPrefill
	l.Memory += int64(sign) * other.Memory
}

// placedRequest is a request that was placed and has not ended.
type placedRequest struct {
	placedAt time.Time
	servers  []*serverState
	service  Key
	// prefill is the prefill time at each of the servers, expected the predicted time to the first event.
	prefill, expected time.Duration
	memory            int64
	// urgent is set if others for the service are less urgent.
	urgent bool
	rank   route.Rank
	// reserved means that memory is held at each of the servers, and not only at the first.
	reserved    bool
	short       bool
	prefillDone bool
	pace        placedPace
}

// parts returns the number of parts in which the prompt is prefilled.
func (r *placedRequest) parts() int { return len(r.servers) }

// serverState is what this gateway knows of one incarnation of a backend server.
type serverState struct {
	key Key
	own Load
	// lastProgress is when a request of this gateway at the backend server last made progress.
	lastProgress time.Time
	// failures counts the lost requests since the last answer; avoidUntil is when the backend server may be used
	// again.
	failures   int
	avoidUntil time.Time
	errorRate  average
	cold       coldLimit
	// busyUntil is when the backend server, which refused a request and stated for how long, may get requests again.
	// Unlike avoidUntil it is a hard limit.
	busyUntil time.Time
	// pace is nil as long as the server has not been a candidate, and when its pace is not followed.
	pace *serverPace
	// left is set while the backend server is not known to be in service. The state is then dropped as soon as nothing
	// depends on it.
	left bool
}

// Planner places requests and keeps the state that this needs.
type Planner struct {
	zone   string
	random *rand.Rand
	// seed makes the order in which this gateway tries backend servers differ from that of other gateways.
	seed     uint64
	states   map[Key]*serverState
	requests map[PlacementID]*placedRequest
	lastID   PlacementID
	// peers holds the last report of each other gateway, peerLoads the sum of these reports by backend server.
	peers     map[string]peerReport
	peerLoads map[Key]*peerLoad
	gateways  int
	// joining is set while other gateways are probably not all known.
	joining bool
	// sameZoneInterval and otherZoneInterval are the intervals between the reports of a gateway of the same zone and of
	// another.
	sameZoneInterval, otherZoneInterval time.Duration
	// shortTime is the mean time from the sending of a short prompt to the end of its answer.
	shortTime time.Duration
	// longTime is the mean time from the sending of a long prompt to the end of its answer, while it holds memory.
	longTime time.Duration
	// unreported is the prefill that gateways have probably sent to an engine of another zone since their last reports.
	unreported   time.Duration
	loadsChanged bool
	queue        longQueue
	pace         *pacing
	candidateBuf []candidate
}

// Option configures a Planner.
type Option func(*Planner)

// WithRandomSource sets the source of randomness.
func WithRandomSource(source rand.Source) Option {
	return func(p *Planner) { p.random = rand.New(source) }
}

const (
	// initialShortTime and initialLongTime are the expected times from the sending of a prompt to the end of its answer before
	// any has been answered, answerTimeWeight the weight of the newest such time in the mean.
	initialShortTime = 2 * time.Second
	initialLongTime  = 5 * time.Second
	answerTimeWeight = 0.05
)

// NewPlanner returns a planner for a gateway in a zone.
func NewPlanner(zone string, options ...Option) *Planner {
	p := &Planner{
		zone: zone, random: rand.New(rand.NewPCG(1, 2)), states: map[Key]*serverState{}, requests: map[PlacementID]*placedRequest{},
		peers: map[string]peerReport{}, peerLoads: map[Key]*peerLoad{}, gateways: 1,
		queue: newLongQueue(), shortTime: initialShortTime, longTime: initialLongTime,
	}
	for _, o := range options {
		o(p)
	}
	p.seed = p.random.Uint64()
	return p
}

func (p *Planner) stateOf(s *roster.Server) *serverState {
	key := BackendKey(s)
	st := p.states[key]
	if st == nil {
		st = &serverState{key: key, own: Load{Key: key}, left: true}
		p.states[key] = st
	}
	return st
}

// Forget drops the state of a backend server that has left. Its entry may return, so the state stays as long as requests are
// outstanding there, and as long as the server is avoided, wants no requests or counts against its rate limit.
func (p *Planner) Forget(now time.Time, s *roster.Server) {
	if st := p.states[BackendKey(s)]; st != nil {
		st.left = true
		p.dropIfUnused(now, st)
	}
}

// dropIfUnused drops the state of a backend server that has left if nothing depends on it.
func (p *Planner) dropIfUnused(now time.Time, st *serverState) {
	if st.left && st.own == (Load{Key: st.key}) && !now.Before(st.busyUntil) && !now.Before(st.avoidUntil) && !st.cold.counts(now) && !st.dependsOnPace(now) {
		delete(p.states, st.key)
	}
}

// Expire drops the states of backend servers that have left and on which nothing depends any more.
func (p *Planner) Expire(now time.Time) {
	for _, st := range p.states {
		p.dropIfUnused(now, st)
	}
}

// SetGatewayCount sets the number of gateways, this one included. Rate limits of cold backend servers are divided
// evenly among them.
func (p *Planner) SetGatewayCount(n int) { p.gateways = max(n, 1) }

// SetJoining states whether other gateways are probably not all known, as after a start. Short prompts are then spread over
// the engines instead of packed on a few, because the load that other gateways add there is not known.
func (p *Planner) SetJoining(joining bool) { p.joining = joining }

// unreportedShare is the part of the interval between reports from other zones that an engine there has probably got in
// prefill meanwhile: reports are half an interval old in the mean, and engines of a loaded fleet are busy half the time.
const unreportedShare = 0.25

// SetReportIntervals sets the intervals between the reports of gateways in this gateway's zone and in others. The longer
// they are, the more engines a short prompt is drawn from. The larger the difference, the less load an engine of another
// zone must report to be preferred for a long prompt.
func (p *Planner) SetReportIntervals(sameZone, otherZones time.Duration) {
	p.sameZoneInterval, p.otherZoneInterval = sameZone, otherZones
	p.unreported = max(time.Duration(unreportedShare*float64(otherZones-sameZone)), 0)
}

// idleConnectionShare is the share of a backend server's connection limit that all gateways together may use for idle
// connections. The rest is for running requests, and for gateways that do not know of each other yet.
const idleConnectionShare = 0.6

// MaxIdleConnections returns how many idle connections this gateway may keep to a backend server that accepts
// maxConnections from all callers together; zero means that the backend server states no limit.
func (p *Planner) MaxIdleConnections(maxConnections int) int {
	if maxConnections == 0 {
		return math.MaxInt
	}
	return int(idleConnectionShare * float64(maxConnections) / float64(p.gateways))
}

// Loads returns the outstanding load of this gateway by backend server, and reports whether it has changed since the
// last call. That a server which has left is avoided is not told: it would take the place of another load in a datagram.
func (p *Planner) Loads(now time.Time) ([]Load, bool) {
	changed := p.loadsChanged || p.queue.changed
	p.loadsChanged, p.queue.changed = false, false
	loads := make([]Load, 0, len(p.states))
	for _, st := range p.states {
		l := st.own
		if !st.left {
			l.AvoidFor = max(0, st.avoidUntil.Sub(now))
		}
		if l.Short+l.Long > 0 || l.PendingPrefill > 0 || l.AvoidFor > 0 {
			loads = append(loads, l)
		}
	}
	return loads, changed
}

// RecordPlacement records that a request is sent as placed. The PlacementID identifies it in calls of RecordProgress
// and RecordEnd. It is zero for Hold and NoPlacement.
func (p *Planner) RecordPlacement(now time.Time, profile RequestProfile, place Placement) PlacementID {
	r := &placedRequest{placedAt: now, service: profile.Service, short: profile.Short(), prefill: profile.PrefillTime(), urgent: profile.Engine != nil && profile.urgent(), rank: profile.rank()}
	switch place := place.(type) {
	case Send:
		r.servers, r.expected = []*serverState{p.stateOf(place.Server)}, place.Expected
		r.memory = profile.Prompt + profile.Answer
	case JointPrefill:
		for _, s := range place.Servers {
			r.servers = append(r.servers, p.stateOf(s))
		}
		r.prefill, r.expected = place.PartTime, place.Expected
		r.memory = profile.Prompt + profile.Answer
		if place.Reserved {
			r.memory, r.reserved = r.memory/int64(len(place.Servers))+ReserveSlack, true
		}
	case Hold, NoPlacement:
		return 0
	}
	if !r.short {
		if profile.HoldID == 0 {
			p.queue.recordAdmission(now, profile)
		}
		p.queue.ownWorkOf(now, profile.workKey()).sent.Add(profile.PrefillTime(), profile.PrefillTime())
		p.queue.recordWorkspaceSend(now, profile)
	} else if r.urgent {
		p.queue.running[profile.workKey()]++
	}
	for i, st := range r.servers {
		st.left = false
		st.own.PendingPrefill += r.prefill
		if i == 0 || r.reserved {
			st.own.Memory += r.memory
		}
		if i > 0 {
			continue
		}
		if r.short {
			st.own.Short++
		} else {
			st.own.Long++
		}
		if r.urgent {
			st.own.Urgent++
		}
		st.cold.recordSend(now)
	}
	p.recordPlacedPace(now, r, profile, place)
	p.loadsChanged = true
	p.lastID++
	p.requests[p.lastID] = r
	return p.lastID
}

// RecordProgress records that an event of a request has arrived, which means that the prefill of its prompt is done.
func (p *Planner) RecordProgress(now time.Time, id PlacementID) {
	if r := p.requests[id]; r != nil {
		p.recordProgressPace(now, r)
		p.finishPrefill(r)
		r.servers[0].lastProgress = now
	}
}

func (p *Planner) finishPrefill(r *placedRequest) {
	if r.prefillDone {
		return
	}
	r.prefillDone = true
	p.loadsChanged = true
	for _, st := range r.servers {
		st.own.PendingPrefill -= r.prefill
	}
}

// RecordEnd records how a request ended at its backend server.
func (p *Planner) RecordEnd(now time.Time, id PlacementID, o Outcome) {
	r := p.requests[id]
	if r == nil {
		return
	}
	delete(p.requests, id)
	p.recordEndPace(now, r, o)
	p.finishPrefill(r)
	p.loadsChanged = true
	first := r.servers[0]
	if r.urgent {
		first.own.Urgent--
	}
	if r.short {
		first.own.Short--
		p.queue.endShort(r)
	} else {
		first.own.Long--
	}
	if _, answered := o.(Answered); answered {
		mean := &p.longTime
		if r.short {
			mean = &p.shortTime
		}
		*mean += scale(now.Sub(r.placedAt)-*mean, answerTimeWeight)
	}
	first.recordOutcome(now, o)
	for i, st := range r.servers {
		if i == 0 || r.reserved {
			st.own.Memory -= r.memory
		}
		p.dropIfUnused(now, st)
	}
}
