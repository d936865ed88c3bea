// This file compares routing policies on the same arrivals. Entries with views from package fleet send
// prompts to simulated engines with bounded prefix caches, in virtual time and from one seed. It measures the
// share of prompt tokens found in caches and how long requests wait.
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

// Config describes a run.
type Config struct {
	Workers, Entries int
	// Requests arrive as a Poisson process of Rate per second.
	Requests int
	Rate     float64
	// Documents are the long texts that callers send again, with Zipf popularity.
	Documents int
	Seed      uint64
	// Policy routes the requests; nil selects the oracle, which knows every cache and queue and takes the
	// worker that finishes first.
	Policy fleet.Policy
}

// Result is what a run measured.
type Result struct {
	// HitShare is the share of all prompt tokens that were found in caches.
	HitShare float64
	// ShortP99 is the 99th percentile of the time from arrival to the end of prefill, for short requests.
	ShortP99 time.Duration
	// Mean is the mean of that time over all requests.
	Mean time.Duration
	// Refusals counts refused offers; Failed counts requests that were given up.
	Refusals, Failed int
}

const (
	blockTokens = 1000
	// prefillRate is in tokens per second for one engine.
	prefillRate = 20_000
	// cacheTokens is the size of one engine's prefix cache, about eight long documents.
	cacheTokens = 1_000_000
	// window is the admission window in tokens; an offer that finds twice as much waiting is refused.
	window = 400_000
	// reportInterval is the time between `state` messages of a busy engine.
	reportInterval = time.Second
	// reportLag and eventLag delay `state` messages and cache events; one event in eventLoss is lost.
	reportLag  = 500 * time.Millisecond
	eventLag   = 2 * time.Second
	eventLoss  = 10
	linkDelay  = 1500 * time.Microsecond
	timeout    = 2 * time.Minute
	shortShare = 0.6
	workspaces = 10
	zones      = 3
)

var origin = time.Unix(1_800_000_000, 0)

// event is a change at a virtual time; the number keeps events of one time in order.
type event struct {
	at     time.Time
	number int
	run    func()
}

type agenda []event

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return cmp.Or(a[i].at.Compare(a[j].at), cmp.Compare(a[i].number, a[j].number)) < 0
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

// Push implements heap.Interface.
func (a *agenda) Push(x any) { *a = append(*a, x.(event)) }

// Pop implements heap.Interface.
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type request struct {
	number   int
	attempt  uint32
	view     *fleet.View
	arrival  time.Time
	short    bool
	need     fleet.Need
	prompt   int64
	finished bool
}

type run struct {
	config  Config
	now     time.Time
	agenda  agenda
	number  int
	random  *rand.Rand
	views   []*fleet.View
	engines []*engine
	byName  map[string]*engine

	hit, total int64
	waits      []time.Duration
	shorts     []time.Duration
	result     Result
}

// Run simulates one configuration.
func Run(c Config) Result {
	r := &run{config: c, now: origin, random: rand.New(rand.NewPCG(c.Seed, 0)), byName: map[string]*engine{}}
	var list []fleet.Instance
	for i := range c.Workers {
		name := fmt.Sprintf("engine-%04d", i)
		list = append(list, fleet.Instance{Name: name, Zone: zone(i), Region: "region", Role: fleet.RoleEngine, Models: []string{"model"}})
		e := newEngine(name)
		r.engines = append(r.engines, e)
		r.byName[name] = e
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
		v.Update(r.now, list)
		for _, name := range v.Subset() {
			v.LinkUp(r.now, name)
			r.byName[name].links = append(r.byName[name].links, v)
		}
		r.views = append(r.views, v)
	}
	r.arrivals()
	for len(r.agenda) > 0 {
		e := heap.Pop(&r.agenda).(event)
		r.now = e.at
		e.run()
	}
	return r.summary()
}

func zone(i int) string { return fmt.Sprint("zone-", i%zones) }

func (r *run) after(d time.Duration, run func()) {
	r.number++
	heap.Push(&r.agenda, event{r.now.Add(d), r.number, run})
}

// arrivals draws all requests before any policy acts, so that every policy gets the same ones.
func (r *run) arrivals() {
	c := r.config
	popularity := rand.NewZipf(r.random, 1.1, 1, uint64(c.Documents-1))
	blocks := make([]int, c.Documents)
	for i := range blocks {
		// Log-uniform between 20 and 400 blocks.
		blocks[i] = int(20 * math.Exp(r.random.Float64()*math.Log(20)))
	}
	at := time.Duration(0)
	for n := range c.Requests {
		at += time.Duration(r.random.ExpFloat64() / c.Rate * float64(time.Second))
		q := &request{number: n + 1, arrival: origin.Add(at), view: r.views[r.random.IntN(len(r.views))]}
		var text uint64
		size := 1 + r.random.IntN(4)
		q.short = r.random.Float64() < shortShare
		if q.short {
			text = 1<<32 + uint64(n)
		} else {
			text = popularity.Uint64()
			size = blocks[text]
		}
		q.prompt = int64(size) * blockTokens
		q.need = fleet.Need{Model: "model", Tokens: q.prompt, Prefix: chain(text, size), Deadline: q.arrival.Add(timeout)}
		r.after(at, func() { r.route(q) })
	}
}

// chain makes the hashes of a text whose first block holds its workspace's instructions.
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

func (r *run) route(q *request) {
	if r.config.Policy == nil {
		best := slices.MinFunc(r.engines, func(a, b *engine) int {
			return cmp.Compare(a.finish(r.now, q), b.finish(r.now, q))
		})
		r.accept(q, best, answer.ID{})
		return
	}
	switch c := q.view.Choose(r.now, q.need).(type) {
	case fleet.Ask:
		q.attempt++
		id := answer.ID{Incarnation: uuid.Nil, Sequence: uint64(q.number), Attempt: q.attempt}
		q.view.Sent(r.now, id, c.Worker, q.need)
		r.after(linkDelay, func() { r.offer(q, r.byName[c.Worker], id) })
	case fleet.Hold:
		r.after(max(c.Until.Sub(r.now), time.Millisecond), func() { r.route(q) })
	case fleet.GiveUp:
		r.result.Failed++
	}
}

func (r *run) offer(q *request, e *engine, id answer.ID) {
	fullness := e.fullness(r.now)
	if fullness > 2 {
		r.result.Refusals++
		retry := e.backlog(r.now) / 4
		r.after(linkDelay, func() {
			q.view.Refused(r.now, id, fleet.Refusal{Reason: answer.ReasonOverloaded, RetryAfter: retry, Fullness: fullness})
			q.need.Tried = append(q.need.Tried, e.name)
			if len(q.need.Tried) >= 3 {
				q.need.Tried = nil
			}
			r.route(q)
		})
		return
	}
	r.after(linkDelay, func() {
		if !q.finished {
			q.view.Granted(r.now, id)
		}
	})
	r.accept(q, e, id)
}

// accept queues a request at an engine, which serves in order of arrival.
func (r *run) accept(q *request, e *engine, id answer.ID) {
	begin := r.now
	if e.free.After(begin) {
		begin = e.free
	}
	cached, added, evicted := e.admit(q)
	e.free = begin.Add(prefill(q.prompt - cached))
	r.after(e.free.Sub(r.now), func() {
		r.cacheEvents(e, added, evicted)
		r.complete(q, e, id, cached)
	})
	r.report(e)
	if !e.ticking {
		e.ticking = true
		r.after(reportInterval, func() { r.tick(e) })
	}
}

// tick reports the load of a busy engine at an interval, as its fullness changes.
func (r *run) tick(e *engine) {
	r.report(e)
	e.ticking = e.backlog(r.now) > 0
	if e.ticking {
		r.after(reportInterval, func() { r.tick(e) })
	}
}

func (r *run) complete(q *request, e *engine, id answer.ID, cached int64) {
	q.finished = true
	r.hit += cached
	r.total += q.prompt
	wait := r.now.Sub(q.arrival)
	r.waits = append(r.waits, wait)
	if q.short {
		r.shorts = append(r.shorts, wait)
	}
	r.report(e)
	if r.config.Policy != nil {
		usage := answer.Usage{PromptTokens: q.prompt, CachedTokens: cached}
		r.after(linkDelay, func() { q.view.Ended(r.now, id, answer.Done{}, usage) })
	}
}

// report sends a `state` message with what the engine said reportLag ago.
func (r *run) report(e *engine) {
	report := fleet.Report{Status: fleet.StatusServing, Window: window, Fullness: e.fullness(r.now)}
	r.after(reportLag, func() {
		for _, v := range e.links {
			v.Report(r.now, e.name, report)
		}
	})
}

func (r *run) cacheEvents(e *engine, added, evicted []uint64) {
	r.after(eventLag, func() {
		for i, hash := range slices.Concat(added, evicted) {
			e.events++
			lost := e.events%eventLoss == 0
			for _, v := range e.links {
				switch {
				case lost:
					v.CacheGap(r.now, e.name)
				case i < len(added):
					v.Cached(r.now, e.name, hash)
				default:
					v.Evicted(r.now, e.name, hash)
				}
			}
		}
	})
}

func (r *run) summary() Result {
	if r.total > 0 {
		r.result.HitShare = float64(r.hit) / float64(r.total)
	}
	var sum time.Duration
	for _, w := range r.waits {
		sum += w
	}
	if len(r.waits) > 0 {
		r.result.Mean = sum / time.Duration(len(r.waits))
	}
	if len(r.shorts) > 0 {
		slices.Sort(r.shorts)
		r.result.ShortP99 = r.shorts[len(r.shorts)*99/100]
	}
	return r.result
}
