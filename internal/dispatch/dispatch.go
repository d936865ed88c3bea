// Package dispatch decides which backend servers a request is sent to, without a process of its own beside each of
// them. A Planner counts what its gateway has sent, adds what other gateways tell of theirs, and learns from outcomes
// which backend servers are better avoided. It is owned by one gateway, must be used by one goroutine at a time, reads no
// clock and does no input or output.
package dispatch

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylward.example/berylward/internal/roster"
	"berylward.example/berylward/internal/route"
)

// Work describes what a request asks of a backend server.
type Work struct {
	// Engine is nil for a plain service.
	Engine *route.Engine
	// Prompt and Answer are in tokens; Answer is the number expected.
	Prompt, Answer int64
	// Target is the time to the first event, or to the whole answer of a plain service.
	Target time.Duration
	// Due is when the first event would be late, Latest when it would be too late for its caller. A request without them is
	// never held.
	Due, Latest time.Time
	// ColdPerSecond bounds the requests to one cold backend server from all gateways; zero means no bound.
	ColdPerSecond float64
	// Fingerprint identifies requests that are the same; zero when it does not matter.
	Fingerprint uint64
}

// Read returns how long one engine reads the prompt alone.
func (w Work) Read() time.Duration { return w.Engine.ReadTime(w.Prompt) }

// Short says whether the request is one of those that long reading must not hold up.
func (w Work) Short() bool { return w.Read() <= shortRead }

// Placement says where a request goes. It is a sealed interface: Send, Joint, Hold and Nowhere are its only
// implementations.
//
//sumtype:decl
type Placement interface{ placement() }

// Send names the one backend server to send to.
type Send struct {
	Server *roster.Server
	// Expected is the predicted time to the first event.
	Expected time.Duration
	// Seen is the load of the backend server from all gateways, before this request.
	Seen Load
}

// Joint names the backend servers that read a prompt together. Servers[0] gets the request and answers it.
type Joint struct {
	Servers []*roster.Server
	// Part is how long each of them reads.
	Part time.Duration
	// Reserved means that the prompt's memory has to be reserved at each of them first.
	Reserved bool
	Expected time.Duration
	// Seen is the load of Servers[0] from all gateways, before this request.
	Seen Load
}

// Hold means that the request will be late whatever is done, so those that can still be on time go first. It is to be
// placed again after For.
type Hold struct {
	For time.Duration
	// Expected is the predicted time to the first event if it were sent now.
	Expected time.Duration
}

// Reason says why a request goes nowhere.
type Reason string

// The reasons.
const (
	// NoServer means that no backend server of the service may get new work.
	NoServer Reason = "no-server"
	// AllTried means that each was tried, or refused.
	AllTried Reason = "all-tried"
	// AllCold means that those in service are cold and have got what they bear this second.
	AllCold Reason = "all-cold"
	// Overloaded means that the request waited for free engines for as long as it could.
	Overloaded Reason = "overloaded"
	// TooLarge means that the prompt exceeds the memory of all engines together.
	TooLarge Reason = "too-large"
)

// Nowhere means that the request cannot be sent now.
type Nowhere struct {
	Reason Reason
	// RetryAfter is when it may be possible.
	RetryAfter time.Duration
}

func (Send) placement()    {}
func (Joint) placement()   {}
func (Hold) placement()    {}
func (Nowhere) placement() {}

// Ticket identifies one placed request until it ends.
type Ticket uint64

// Key identifies a backend server's life among gateways. Two of 1,200 have the same key once in some 6,000 fleets, and
// then count each other's loads.
type Key uint32

// KeyOf returns the key of a backend server.
func KeyOf(s *roster.Server) Key {
	return Key((xxhash.Sum64String(s.ID) ^ uint64(s.Born.UnixMilli())*0x9e3779b97f4a7c15) >> 32)
}

// Load is what one gateway has outstanding at one backend server.
type Load struct {
	Key Key
	// Short and Long are requests that have not ended, by the class of their prompt.
	Short, Long int
	// Unread is reading that has not ended, Memory the tokens held.
	Unread time.Duration
	Memory int64
	// Avoid is for how long the gateway avoids the backend server because of failures.
	Avoid time.Duration
}

// job is one placed request.
type job struct {
	servers []*state
	part    time.Duration
	memory  int64
	// reserved means that memory is held at each of the servers, otherwise only at the first.
	reserved bool
	short    bool
	begun    bool
}

// state is what is known of one life of a backend server.
type state struct {
	key Key
	own Load
	// moved is when a request of this gateway there last made progress.
	moved time.Time
	// recent failures by outcome, and until when the server is avoided.
	failures   int
	avoidUntil time.Time
	errors     rate
	cold       coldLimit
}

// Planner decides on placements.
type Planner struct {
	zone   string
	random *rand.Rand
	// seed makes this gateway's order of the backend servers its own.
	seed   uint64
	states map[Key]*state
	jobs   map[Ticket]*job
	next   Ticket
	// peers holds what each other gateway told last, told the sum of it by backend server.
	peers    map[string]report
	told     map[Key]*told
	gateways int
	changed  bool
	scratch  []view
}

// report is what one gateway told.
type report struct {
	at    time.Time
	loads []Load
}

// told is what all other gateways have outstanding at one backend server, and until when some of them avoid it.
type told struct {
	sum   Load
	avoid map[string]time.Time
}

// Option configures a Planner.
type Option func(*Planner)

// WithSource sets the source of randomness.
func WithSource(source rand.Source) Option {
	return func(p *Planner) { p.random = rand.New(source) }
}

// NewPlanner returns a planner for a gateway in a zone.
func NewPlanner(zone string, options ...Option) *Planner {
	p := &Planner{
		zone: zone, random: rand.New(rand.NewPCG(1, 2)), states: map[Key]*state{}, jobs: map[Ticket]*job{},
		peers: map[string]report{}, told: map[Key]*told{}, gateways: 1,
	}
	for _, o := range options {
		o(p)
	}
	p.seed = p.random.Uint64()
	return p
}

func (p *Planner) state(s *roster.Server) *state {
	key := KeyOf(s)
	st := p.states[key]
	if st == nil {
		st = &state{key: key, own: Load{Key: key}}
		p.states[key] = st
	}
	return st
}

// Forget drops what is known of a backend server that is gone. Requests that still run there stay counted.
func (p *Planner) Forget(s *roster.Server) {
	key := KeyOf(s)
	if st := p.states[key]; st != nil && st.own.Short+st.own.Long == 0 {
		delete(p.states, key)
	}
}

// SetGateways tells how many gateways there are, this one included. Limits on cold backend servers are shared evenly.
func (p *Planner) SetGateways(n int) { p.gateways = max(n, 1) }

// Idle returns how many idle connections this gateway may keep to one backend server that accepts most from all callers;
// zero most means that it states no bound.
func (p *Planner) Idle(most int) int {
	if most == 0 {
		return math.MaxInt
	}
	return int(idleConnections * float64(most) / float64(p.gateways))
}

// idleConnections is the share of the connections accepted by a backend server that gateways together may keep idle. The rest
// is for requests that run, and for gateways that have not heard of each other.
const idleConnections = 0.6

// SetPeer takes the loads that another gateway told, in place of those it told before.
func (p *Planner) SetPeer(now time.Time, gateway string, loads []Load) {
	p.forgetPeer(gateway)
	p.peers[gateway] = report{at: now, loads: loads}
	for _, l := range loads {
		t := p.told[l.Key]
		if t == nil {
			t = &told{}
			p.told[l.Key] = t
		}
		t.sum.add(l, 1)
		if l.Avoid > 0 {
			if t.avoid == nil {
				t.avoid = map[string]time.Time{}
			}
			t.avoid[gateway] = now.Add(l.Avoid)
		}
	}
}

// forgetPeer takes what a gateway told out of the sums.
func (p *Planner) forgetPeer(gateway string) {
	for _, l := range p.peers[gateway].loads {
		t := p.told[l.Key]
		if t == nil {
			continue // an empty load, dropped with the last other one
		}
		t.sum.add(l, -1)
		delete(t.avoid, gateway)
		if t.sum == (Load{}) && len(t.avoid) == 0 {
			delete(p.told, l.Key)
		}
	}
	delete(p.peers, gateway)
}

// expirePeers forgets the gateways that have told nothing for too long.
func (p *Planner) expirePeers(now time.Time) {
	for gateway, r := range p.peers {
		if now.Sub(r.at) > peerLife {
			p.forgetPeer(gateway)
		}
	}
}

// add adds the counts of another load, or takes them away with a sign of -1.
func (l *Load) add(other Load, sign int) {
	l.Short += sign * other.Short
	l.Long += sign * other.Long
	l.Unread += time.Duration(sign) * other.Unread
	l.Memory += int64(sign) * other.Memory
}

// OldestReport returns the age of the oldest loads of another gateway that count.
func (p *Planner) OldestReport(now time.Time) time.Duration {
	var oldest time.Duration
	for _, r := range p.peers {
		if age := now.Sub(r.at); age <= peerLife {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// Loads returns what this gateway has outstanding, and whether it changed since the last call.
func (p *Planner) Loads(now time.Time) ([]Load, bool) {
	changed := p.changed
	p.changed = false
	loads := make([]Load, 0, len(p.states))
	for _, st := range p.states {
		l := st.own
		l.Avoid = max(0, st.avoidUntil.Sub(now))
		if l.Short+l.Long > 0 || l.Unread > 0 || l.Avoid > 0 {
			loads = append(loads, l)
		}
	}
	return loads, changed
}

// Placed records that a request goes to a backend server, or to several. The ticket is needed for Progress
// and Ended.
func (p *Planner) Placed(now time.Time, w Work, place Placement) Ticket {
	j := &job{short: w.Short(), part: w.Read()}
	switch place := place.(type) {
	case Send:
		j.servers = []*state{p.state(place.Server)}
		j.memory = w.Prompt + w.Answer
	case Joint:
		for _, s := range place.Servers {
			j.servers = append(j.servers, p.state(s))
		}
		j.part = place.Part
		j.memory = w.Prompt + w.Answer
		if place.Reserved {
			j.memory, j.reserved = j.memory/int64(len(place.Servers))+ReserveSlack, true
		}
	case Hold, Nowhere:
		return 0
	}
	for i, st := range j.servers {
		st.own.Unread += j.part
		if i == 0 || j.reserved {
			st.own.Memory += j.memory
		}
		if i > 0 {
			continue
		}
		if j.short {
			st.own.Short++
		} else {
			st.own.Long++
		}
		st.cold.note(now)
	}
	p.changed = true
	p.next++
	p.jobs[p.next] = j
	return p.next
}

// Progress records that an event of a request came: its prompt has been read everywhere.
func (p *Planner) Progress(now time.Time, t Ticket) {
	if j := p.jobs[t]; j != nil {
		p.read(j)
		j.servers[0].moved = now
	}
}

// Moving says whether another request of this gateway made progress lately at the backend server of a request. Such a
// backend server is busy rather than dead.
func (p *Planner) Moving(now time.Time, t Ticket) bool {
	j := p.jobs[t]
	return j != nil && now.Sub(j.servers[0].moved) < movingWithin
}

// movingWithin is how lately a backend server must have made progress to count as alive; it covers a long pass.
const movingWithin = 600 * time.Millisecond

func (p *Planner) read(j *job) {
	if j.begun {
		return
	}
	j.begun = true
	p.changed = true
	for _, st := range j.servers {
		st.own.Unread -= j.part
	}
}

// Ended records how a request ended at its backend server.
func (p *Planner) Ended(now time.Time, t Ticket, o Outcome) {
	j := p.jobs[t]
	if j == nil {
		return
	}
	delete(p.jobs, t)
	p.read(j)
	p.changed = true
	for i, st := range j.servers {
		if i == 0 || j.reserved {
			st.own.Memory -= j.memory
		}
	}
	st := j.servers[0]
	if j.short {
		st.own.Short--
	} else {
		st.own.Long--
	}
	st.learn(now, o)
}
