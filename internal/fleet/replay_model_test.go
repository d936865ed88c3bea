// This file compares routing policies on the same arrivals. Entries with views from package fleet send prompts to
// simulated engines with bounded prefix caches, in virtual time and with one random seed. The simulation measures the
// share of prompt tokens found in caches and the time that requests wait.
package fleet_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"

	"berylward.example/berylward/internal/fleet"
	"berylward.example/berylward/pkg/answer"
)

// Config describes a simulation.
type Config struct {
	Workers, Entries int
	// Requests arrive as a Poisson process of Rate per second.
	Requests int
	Rate     float64
	// Documents is the number of long texts that callers send repeatedly, with Zipf popularity.
	Documents int
	Seed      uint64
	// Policy routes the requests. A nil Policy selects the oracle, which knows every cache and queue and takes the
	// worker that finishes first.
	Policy fleet.Policy
}

// Result holds the measurements of a simulation.
type Result struct {
	// HitShare is the share of all prompt tokens that were found in caches.
	HitShare float64
	// ShortP99 is the 99th percentile of the time from arrival to the end of prefill, for short requests.
	ShortP99 time.Duration
	// Mean is the mean of that time over all requests.
	Mean time.Duration
	// Refusals counts refused offers. Failed counts requests for which Choose returned Reject.
	Refusals, Failed int
}

const (
	blockTokens = 1000
	// prefillRate is the rate of one engine in tokens per second.
	prefillRate = 20_000
	// cacheTokens is the size of one engine's prefix cache, about eight long documents.
	cacheTokens = 1_000_000
	// window is the admission window in tokens. An engine with more than two windows of waiting work refuses an
	// offer.
	window = 400_000
	// reportInterval is the time between `state` messages of a busy engine.
	reportInterval = time.Second
	// reportLag and eventLag delay `state` messages and cache events. One cache event in eventLossInterval is lost.
	reportLag         = 500 * time.Millisecond
	eventLag          = 2 * time.Second
	eventLossInterval = 10
	linkDelay         = 1500 * time.Microsecond
	timeout           = 2 * time.Minute
	shortShare        = 0.6
	workspaces        = 10
	zones             = 3
)

var origin = time.Unix(1_800_000_000, 0)

// event is an action at a virtual time. seq keeps events with equal times in order.
type event struct {
	at     time.Time
	seq    int
	action func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].seq, q[j].seq)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type request struct {
	number   int
	attempt  uint32
	view     *fleet.View
	arrival  time.Time
	short    bool
	req      fleet.Request
	prompt   int64
	finished bool
}

type simulation struct {
	config  Config
	now     time.Time
	queue   eventQueue
	lastSeq int
	random  *rand.Rand
	views   []*fleet.View
	engines []*engine
	byName  map[string]*engine

	hitTokens, promptTokens int64
	waits                   []time.Duration
	shortWaits              []time.Duration
	result                  Result
}

// Run simulates one configuration.
func Run(c Config) Result {
	s := &simulation{config: c, now: origin, random: rand.New(rand.NewPCG(c.Seed, 0)), byName: map[string]*engine{}}
	var list []fleet.Instance
	for i := range c.Workers {
		name := fmt.Sprintf("engine-%04d", i)
		list = append(list, fleet.Instance{Name: name, Zone: zone(i), Region: "region", Role: fleet.RoleEngine, Models: []string{"model"}})
		e := newEngine(name)
		s.engines = append(s.engines, e)
		s.byName[name] = e
	}
	for i := range c.Entries {
		list = append(list, fleet.Instance{Name: fmt.Sprintf("entry-%04d", i), Zone: zone(i), Region: "region", Role: fleet.RoleEntry})
	}
	policy := c.Policy
	if policy == nil {
		policy = fleet.Affinity{}
	}
	for i, self := range list[c.Workers:] {
		v := fleet.NewView(self, rand.NewPCG(c.Seed, uint64(i+1)), fleet.WithPolicy(policy))
		v.Update(s.now, list)
		for _, name := range v.Subset() {
			v.LinkUp(s.now, name)
			s.byName[name].views = append(s.byName[name].views, v)
		}
		s.views = append(s.views, v)
	}
	s.scheduleArrivals()
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.action()
	}
	return s.summary()
}

func zone(i int) string { return fmt.Sprint("zone-", i%zones) }

func (s *simulation) after(d time.Duration, action func()) {
	s.lastSeq++
	heap.Push(&s.queue, event{s.now.Add(d), s.lastSeq, action})
}

// scheduleArrivals draws all requests before any policy acts, so that every policy gets the same requests.
func (s *simulation) scheduleArrivals() {
	c := s.config
	popularity := rand.NewZipf(s.random, 1.1, 1, uint64(c.Documents-1))
	blocks := make([]int, c.Documents)
	for i := range blocks {
		// Log-uniform between 20 and 400 blocks.
		blocks[i] = int(20 * math.Exp(s.random.Float64()*math.Log(20)))
	}
	at := time.Duration(0)
	for n := range c.Requests {
		at += time.Duration(s.random.ExpFloat64() / c.Rate * float64(time.Second))
		q := &request{number: n + 1, arrival: origin.Add(at), view: s.views[s.random.IntN(len(s.views))]}
		var text uint64
		size := 1 + s.random.IntN(4)
		q.short = s.random.Float64() < shortShare
		if q.short {
			text = 1<<32 + uint64(n)
		} else {
			text = popularity.Uint64()
			size = blocks[text]
		}
		q.prompt = int64(size) * blockTokens
		q.req = fleet.Request{Model: "model", Tokens: q.prompt, Prefix: chain(text, size), Deadline: q.arrival.Add(timeout)}
		s.after(at, func() { s.route(q) })
	}
}

// chain returns the hashes of a text whose first block holds the instructions of its workspace.
func chain(text uint64, blocks int) []uint64 {
	var hashes []uint64
	for i := 0; i < fleet.MaxPrefixHashes && fleet.PrefixBytes(i) <= blocks*fleet.PrefixBlock; i++ {
		if i == 0 {
			hashes = append(hashes, text%workspaces)
			continue
		}
		hashes = append(hashes, (text+1)<<8|uint64(i))
	}
	return hashes
}

func (s *simulation) route(q *request) {
	if s.config.Policy == nil {
		best := slices.MinFunc(s.engines, func(a, b *engine) int {
			return cmp.Compare(a.timeToPrefill(s.now, q), b.timeToPrefill(s.now, q))
		})
		s.accept(q, best, answer.ID{})
		return
	}
	switch c := q.view.Choose(s.now, q.req).(type) {
	case fleet.SendOffer:
		q.attempt++
		id := answer.ID{Incarnation: uuid.Nil, Sequence: uint64(q.number), Attempt: q.attempt}
		q.view.Sent(s.now, id, c.Worker, q.req)
		s.after(linkDelay, func() { s.offer(q, s.byName[c.Worker], id) })
	case fleet.Wait:
		s.after(max(c.Until.Sub(s.now), time.Millisecond), func() { s.route(q) })
	case fleet.Reject:
		s.result.Failed++
	}
}

func (s *simulation) offer(q *request, e *engine, id answer.ID) {
	fullness := e.fullness(s.now)
	if fullness > 2 {
		s.result.Refusals++
		retry := e.backlog(s.now) / 4
		s.after(linkDelay, func() {
			q.view.Refused(s.now, id, fleet.Refusal{Reason: answer.ReasonOverloaded, RetryAfter: retry, Fullness: fullness})
			q.req.TriedWorkers = append(q.req.TriedWorkers, e.name)
			if len(q.req.TriedWorkers) >= 3 {
				q.req.TriedWorkers = nil
			}
			s.route(q)
		})
		return
	}
	s.after(linkDelay, func() {
		if !q.finished {
			q.view.Granted(s.now, id)
		}
	})
	s.accept(q, e, id)
}

// accept queues a request at an engine, which serves in order of arrival.
func (s *simulation) accept(q *request, e *engine, id answer.ID) {
	begin := s.now
	if e.idleAt.After(begin) {
		begin = e.idleAt
	}
	cached, added, evicted := e.admit(q)
	e.idleAt = begin.Add(prefill(q.prompt - cached))
	s.after(e.idleAt.Sub(s.now), func() {
		s.cacheEvents(e, added, evicted)
		s.complete(q, e, id, cached)
	})
	s.report(e)
	if !e.reporting {
		e.reporting = true
		s.after(reportInterval, func() { s.reportPeriodically(e) })
	}
}

// reportPeriodically reports the load of an engine at an interval while the engine is busy.
func (s *simulation) reportPeriodically(e *engine) {
	s.report(e)
	e.reporting = e.backlog(s.now) > 0
	if e.reporting {
		s.after(reportInterval, func() { s.reportPeriodically(e) })
	}
}

func (s *simulation) complete(q *request, e *engine, id answer.ID, cached int64) {
	q.finished = true
	s.hitTokens += cached
	s.promptTokens += q.prompt
	wait := s.now.Sub(q.arrival)
	s.waits = append(s.waits, wait)
	if q.short {
		s.shortWaits = append(s.shortWaits, wait)
	}
	s.report(e)
	if s.config.Policy != nil {
		usage := answer.Usage{PromptTokens: q.prompt, CachedTokens: cached}
		s.after(linkDelay, func() { q.view.Ended(s.now, id, answer.Done{}, usage) })
	}
}

// report sends a `state` message with the engine's current load. It arrives after reportLag.
func (s *simulation) report(e *engine) {
	report := fleet.Report{Status: fleet.StatusServing, Window: window, Fullness: e.fullness(s.now)}
	s.after(reportLag, func() {
		for _, v := range e.views {
			v.Report(s.now, e.name, report)
		}
	})
}

func (s *simulation) cacheEvents(e *engine, added, evicted []uint64) {
	s.after(eventLag, func() {
		for i, hash := range slices.Concat(added, evicted) {
			e.cacheEvents++
			lost := e.cacheEvents%eventLossInterval == 0
			for _, v := range e.views {
				switch {
				case lost:
					v.CacheGap(s.now, e.name)
				case i < len(added):
					v.PrefixCached(s.now, e.name, hash)
				default:
					v.PrefixEvicted(s.now, e.name, hash)
				}
			}
		}
	})
}

func (s *simulation) summary() Result {
	if s.promptTokens > 0 {
		s.result.HitShare = float64(s.hitTokens) / float64(s.promptTokens)
	}
	var sum time.Duration
	for _, w := range s.waits {
		sum += w
	}
	if len(s.waits) > 0 {
		s.result.Mean = sum / time.Duration(len(s.waits))
	}
	if len(s.shortWaits) > 0 {
		slices.Sort(s.shortWaits)
		s.result.ShortP99 = s.shortWaits[len(s.shortWaits)*99/100]
	}
	return s.result
}
