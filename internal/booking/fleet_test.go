package booking

import (
	"fmt"
	"slices"
	"time"

	"github.com/google/uuid"
)

const (
	testKeyLifetime = time.Hour
	testClockSkew   = time.Second
)

// step is one event of a simulated history. a and b select among the objects that exist, modulo their number, so every
// list of steps is a valid history.
type step struct {
	action string
	a, b   int
}

// process is one incarnation of a worker's sidecar.
type process struct {
	worker      int
	table       *Table
	clockOffset time.Duration // offset of its clock from the simulated time
	ownership   int           // index into fleet.ownerships
	paused      bool
	running     []string
}

// inFlightMessage is a message on its way to a worker, or a call on its way to one incarnation.
type inFlightMessage struct {
	to      int
	request []byte
	seal    []byte
	call    *attempt
	sent    time.Time
}

type attempt struct {
	to  *process
	key int
}

// key is the checker's record of one key.
type key struct {
	call      Call
	createdAt time.Time
	opaque    bool
	runs      int // 1 when the call ran or may have run
	firstRun  time.Time
	ranBy     *attempt // the attempt that ran
	answer    string
	answers   int
}

// fleet simulates several sidecars with their operators, callers and network, and checks the history against the
// invariants.
type fleet struct {
	failf       func(string, ...any)
	now         time.Time
	ownerships  []Ownership
	processes   []*process // by worker; nil while the process is down
	starts      int
	inFlight    []inFlightMessage
	keys        []*key
	keysByName  map[string]*key
	partitioned map[[2]int]bool
	opts        []Option
	runs        int
	replays     int
	unknown     int
	maxTransit  time.Duration // longest transit of a seal, which moves the sender's seal floor later
}

func newFleet(failf func(string, ...any), workers int, opts ...Option) *fleet {
	f := &fleet{
		failf: failf, now: epochStart, keysByName: make(map[string]*key), partitioned: make(map[[2]int]bool),
		processes: make([]*process, workers),
		opts:      append([]Option{WithKeyLifetime(testKeyLifetime), WithClockSkew(testClockSkew)}, opts...),
	}
	o := Ownership{Epoch: 1}
	for i := range workers {
		o.Workers = append(o.Workers, Worker{Name: string(rune('a' + i)), InService: true})
	}
	f.ownerships = []Ownership{o}
	for i := range workers {
		f.start(i, 0)
	}
	return f
}

func (f *fleet) start(worker, ownership int) {
	f.starts++
	p := &process{worker: worker, clockOffset: time.Duration(f.starts%3-1) * testClockSkew / 2, ownership: ownership}
	id := uuid.UUID{byte(f.starts >> 8), byte(f.starts)}
	name := string(rune('a' + worker))
	var err error
	p.table, err = New(Config{Service: "desk", Worker: name, Incarnation: id, Start: f.now.Add(p.clockOffset)}, f.opts...)
	if err != nil {
		f.failf("new: %v", err)
	}
	p.table.Adopt(f.now.Add(p.clockOffset), f.ownerships[ownership])
	f.processes[worker] = p
}

// declare publishes a new ownership that changes one worker.
func (f *fleet) declare(change func(*Worker), worker int) {
	last := f.ownerships[len(f.ownerships)-1]
	next := Ownership{Epoch: last.Epoch + 3, Previous: last.Epoch, Workers: slices.Clone(last.Workers)}
	change(&next.Workers[worker])
	f.ownerships = append(f.ownerships, next)
}

// apply performs one step.
func (f *fleet) apply(s step) {
	f.now = f.now.Add(50 * time.Millisecond)
	worker := s.a % len(f.processes)
	p := f.processes[worker]
	switch s.action {
	case "zone":
		f.declare(func(w *Worker) { w.InService = !w.InService }, worker)
	case "lost":
		last := f.ownerships[len(f.ownerships)-1].Workers[worker]
		if p == nil || last.Lost {
			f.declare(func(w *Worker) { w.Lost = !w.Lost }, worker)
		}
	case "adopt", "skip":
		if p != nil && p.ownership+1 < len(f.ownerships) {
			p.ownership++
			if s.action == "skip" {
				p.ownership = len(f.ownerships) - 1
			}
			p.table.Adopt(f.now.Add(p.clockOffset), f.ownerships[p.ownership])
		}
	case "crash":
		f.processes[worker] = nil
	case "restart":
		// A worker declared lost stays down until operators declare it again. Its new process then reads that
		// declaration.
		from := 0
		for i, o := range f.ownerships {
			if o.Workers[worker].Lost {
				from = i + 1
			}
		}
		if p == nil && from < len(f.ownerships) {
			f.start(worker, from+s.b%(len(f.ownerships)-from))
		}
	case "pause":
		if p != nil {
			p.paused = !p.paused
		}
	case "cut":
		pair := [2]int{worker, s.b % len(f.processes)}
		f.partitioned[pair] = !f.partitioned[pair]
	case "expire":
		f.now = f.now.Add(testKeyLifetime)
	case "wait":
		f.now = f.now.Add(time.Duration(s.b) * testKeyLifetime / 100)
	case "tick":
		f.sendRequests(p)
	case "deliver", "repeat", "lose":
		if len(f.inFlight) > 0 {
			i := s.a % len(f.inFlight)
			m := f.inFlight[i]
			if s.action != "repeat" {
				f.inFlight = slices.Delete(f.inFlight, i, i+1)
			}
			if s.action != "lose" {
				f.deliver(m)
			}
		}
	case "round":
		f.round()
	case "call":
		f.call(s.a, s.b)
	case "done", "failed", "never":
		if p != nil && !p.paused && len(p.running) > 0 {
			i := s.b % len(p.running)
			name := p.running[i]
			p.running = slices.Delete(p.running, i, i+1)
			f.end(p, name, s.action)
		}
	}
}

func (f *fleet) sendRequests(p *process) {
	if p == nil || p.paused {
		return
	}
	for _, r := range p.table.DueSealRequests(f.now.Add(p.clockOffset)) {
		data, err := EncodeSealRequest(r)
		if err != nil {
			f.failf("encode: %v", err)
		}
		to := int(r.To.Name[0] - 'a')
		f.inFlight = append(f.inFlight, inFlightMessage{to: to, request: data})
	}
}

// call sends an attempt with a new or an existing key to its owner in one of the last three ownerships.
func (f *fleet) call(selector, via int) {
	if selector%3 == 0 || len(f.keys) == 0 {
		k := &key{createdAt: f.now, opaque: via%4 == 3}
		text := timestampedKey(f.now.Add(time.Duration(via%3-1)*testClockSkew/2), len(f.keys))
		if k.opaque {
			text = fmt.Sprintf("order %d", len(f.keys))
		}
		k.call = Call{Key: text}
		f.keys = append(f.keys, k)
		f.keysByName[EntryName("", text)] = k
		selector = 3 * len(f.keys)
	}
	i := selector / 3 % len(f.keys)
	if selector%3 == 0 {
		i = len(f.keys) - 1
	}
	o := f.ownerships[max(0, len(f.ownerships)-1-via%3)]
	if w, ok := o.Owner(EntryName("", f.keys[i].call.Key)); ok {
		if p := f.processes[w.Name[0]-'a']; p != nil {
			f.inFlight = append(f.inFlight, inFlightMessage{to: p.worker, call: &attempt{to: p, key: i}})
		}
	}
}

func (f *fleet) deliver(m inFlightMessage) {
	p := f.processes[m.to]
	if p == nil || p.paused {
		return
	}
	now := f.now.Add(p.clockOffset)
	switch {
	case m.request != nil:
		r, err := DecodeSealRequest(m.request)
		from := int(r.From[0] - 'a')
		if err != nil || f.partitioned[[2]int{from, m.to}] {
			return
		}
		if s, ok := p.table.Seal(now, r); ok {
			data, err := EncodeSeal(s)
			if err != nil {
				f.failf("encode: %v", err)
			}
			f.inFlight = append(f.inFlight, inFlightMessage{to: from, seal: data, sent: f.now})
		}
	case m.seal != nil:
		s, err := DecodeSeal(m.seal)
		if err != nil || f.partitioned[[2]int{int(s.From[0] - 'a'), m.to}] {
			return
		}
		f.maxTransit = max(f.maxTransit, f.now.Sub(m.sent))
		if result := p.table.Receive(now, s); result.Conflicts > 0 {
			f.failf("worker %d received a second run of a key among %q", m.to, s.Entries)
		}
	case m.call.to == p:
		f.offer(now, p, m.call)
	}
}

// offer delivers an attempt to the table and checks the decision against the history.
func (f *fleet) offer(now time.Time, p *process, a *attempt) Decision {
	k := f.keys[a.key]
	d := p.table.Offer(now, k.call)
	switch d := d.(type) {
	case Run:
		// An opaque key may run again after its declared lifetime, a timestamped one never.
		if k.runs > 0 && (!k.opaque || f.now.Before(k.firstRun.Add(testKeyLifetime))) {
			f.failf("key %d runs a second time, at worker %d", a.key, p.worker)
		}
		k.runs, k.firstRun = 1, f.now
		k.answers++
		k.answer = fmt.Sprintf("answer %d of key %d", k.answers, a.key)
		k.ranBy = a
		f.runs++
		p.running = append(p.running, d.Name)
	case Replay:
		f.replays++
		if string(d.Answer.Body) != k.answer {
			f.failf("key %d: got answer %q, want %q", a.key, d.Answer.Body, k.answer)
		}
	case Reject:
		// An attempt ends long before minCopyRetention. A frame later than that is dropped by its identifier.
		if k.ranBy == a && f.now.Sub(k.firstRun) < minCopyRetention {
			f.failf("key %d: attempt ran and was rejected %v later for %s", a.key, f.now.Sub(k.firstRun), d.Reason)
		}
	case Wait:
		if k.runs == 0 {
			f.failf("key %d waits for a run that never started", a.key)
		}
	case Unknown:
		f.unknown++
		if k.runs == 0 && k.createdAt.After(f.now.Add(-testKeyLifetime)) && f.starts == len(f.processes) && !k.opaque &&
			k.createdAt.After(epochStart.Add(2*testClockSkew+f.maxTransit)) && !f.everLost() {
			f.failf("key %d never ran but has outcome unknown in a fleet without failures", a.key)
		}
	}
	return d
}

func (f *fleet) everLost() bool {
	return slices.ContainsFunc(f.ownerships, func(o Ownership) bool {
		return slices.ContainsFunc(o.Workers, func(w Worker) bool { return w.Lost })
	})
}

func (f *fleet) end(p *process, name, how string) {
	now := f.now.Add(p.clockOffset)
	k := f.keysByName[name]
	switch how {
	case "done":
		p.table.Complete(now, name, Answer{Status: 200, Body: []byte(k.answer)})
	case "failed":
		p.table.Failed(now, name, "backend-failed")
	case "never":
		if p.table.NeverRan(name) {
			k.runs, k.ranBy = 0, nil
		}
	}
}

// converge adopts the last ownership at every worker, then runs 40 rounds, after which nothing changes any more.
func (f *fleet) converge() {
	for _, p := range f.processes {
		if p != nil {
			p.ownership = len(f.ownerships) - 1
			p.table.Adopt(f.now.Add(p.clockOffset), f.ownerships[p.ownership])
		}
	}
	for range 40 {
		f.round()
	}
}

// round makes every running worker send its requests, then delivers all messages in order.
func (f *fleet) round() {
	f.now = f.now.Add(500 * time.Millisecond)
	for _, p := range f.processes {
		f.sendRequests(p)
	}
	for len(f.inFlight) > 0 {
		m := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		f.deliver(m)
	}
}
