package dispatch

import (
	"cmp"
	"slices"
	"time"

	"berylward.example/berylward/internal/roster"
)

const (
	// shortRead is the longest reading of a prompt in the class of short ones.
	shortRead = 150 * time.Millisecond
	// packShare is the part of an engine's slots that short requests get before the next engine is used for them. Short
	// requests are packed so that other engines are free for long reading, which makes every stream on its engine pause.
	packShare = 0.75
	// fullShare of the slots of an engine of the zone are used by short requests, while its outstanding reading is at most
	// fullUnread, before engines of other zones are.
	fullShare  = 0.9
	fullUnread = 60 * time.Millisecond
	// packUnread is the longest outstanding reading of an engine that short requests are packed on.
	packUnread = 140 * time.Millisecond
	// spillUnread is the longest outstanding reading, the new part included, that a long prompt may cause on an engine
	// with short requests. A longer one makes their streams late.
	spillUnread = 140 * time.Millisecond
	// wantedShare of its target is the time in which a long prompt should be read; a joint reading takes no more engines
	// than that needs.
	wantedShare = 0.35
	// lateShare of its target is the predicted reading time from which a long prompt may use engines with short requests.
	lateShare = 0.7
	// maxReaders is how many engines read one prompt at most.
	maxReaders = 16
	// fewReaders is how many engines with short requests read a prompt for which there is no other engine.
	fewReaders = 3
	// leastPart is the shortest part of a joint reading; shorter ones gain nothing over the time of a pass.
	leastPart = 60 * time.Millisecond
	// memoryShare of an engine's memory may be planned, because answers are longer than expected at times.
	memoryShare = 0.92
	// heavyTargets is how many times its target a prompt's reading must take on one engine for it to wait until the mean
	// outstanding reading is at most heavyUnread. Reading grows with the square of a prompt's length and its value does not.
	heavyTargets = 2
	heavyUnread  = 90 * time.Millisecond
	// heavyHold is how long such a prompt waits before it is refused, early enough for its caller to come back.
	heavyHold = 4 * time.Second
	// queuedStep is the cost of each request beyond an engine's slots.
	queuedStep = 150 * time.Millisecond
	// peerLife is how long the loads told by another gateway count.
	peerLife = 2 * time.Second
	// longPart is the longest part of a joint reading on an engine, where more engines are free. A longer one makes the
	// streams of other long prompts late.
	longPart = 400 * time.Millisecond
	// heldUnread is the outstanding reading, with a pass, up to which an engine is free for a prompt that is late already.
	heldUnread = 200 * time.Millisecond
	// holdStep is the time between two looks for a free engine, holdMargin what is left before it is too late.
	holdStep   = 40 * time.Millisecond
	holdMargin = 700 * time.Millisecond
	// passTime is a typical pass of an engine with writers, after which a new prompt is read.
	passTime = 60 * time.Millisecond
)

// ReserveSlack is added in tokens to each part of reserved memory, because engines keep memory in blocks.
const ReserveSlack = 512

// view is one backend server with its load from all gateways.
type view struct {
	server *roster.Server
	state  *state
	total  Load
	avoid  bool
	// rank orders the backend servers for this gateway: those of its zone first, then by a hash that differs by gateway.
	rank uint64
}

func (v *view) requests() int { return v.total.Short + v.total.Long }

// Place chooses among the backend servers in service. tried are the IDs of those that had this request before.
func (p *Planner) Place(now time.Time, w Work, servers []*roster.Server, tried []string) Placement {
	if len(servers) == 0 {
		return Nowhere{Reason: NoServer, RetryAfter: retryNoServer}
	}
	views, cold := p.views(now, w, servers, tried)
	if len(views) == 0 {
		if cold {
			return Nowhere{Reason: AllCold, RetryAfter: retryCold}
		}
		return Nowhere{Reason: AllTried, RetryAfter: retryTried}
	}
	switch {
	case w.Engine == nil:
		return p.plain(views)
	case w.Short():
		return p.short(w, views)
	}
	return p.long(now, w, views, len(servers))
}

const (
	// retryNoServer is when a caller may come back to a service without backend servers.
	retryNoServer = 500 * time.Millisecond
	// retryLarge is when memory for a prompt beyond one engine's may be free.
	retryLarge = 3500 * time.Millisecond
	// retryCold and retryTried are when a cold or refusing backend server may take a request.
	retryCold  = 300 * time.Millisecond
	retryTried = 200 * time.Millisecond
)

// views returns the backend servers that may be asked, those that are avoided only when there are no others.
func (p *Planner) views(now time.Time, w Work, servers []*roster.Server, tried []string) ([]view, bool) {
	p.expirePeers(now)
	p.scratch = p.scratch[:0]
	cold, healthy := false, 0
	var mean float64
	for _, s := range servers {
		mean += float64(p.state(s).errors) / float64(len(servers))
	}
	for _, s := range servers {
		if slices.Contains(tried, s.ID) {
			continue
		}
		st := p.state(s)
		if w.ColdPerSecond > 0 && now.Before(s.ColdUntil) && !st.cold.bears(now, w.ColdPerSecond/float64(p.gateways), p.random) {
			cold = true
			continue
		}
		v := view{server: s, state: st, total: st.own, rank: p.rank(s, st.key)}
		v.avoid = now.Before(st.avoidUntil) || float64(st.errors) > mean+errorMargin
		if t := p.told[st.key]; t != nil {
			v.total.add(t.sum, 1)
			for _, until := range t.avoid {
				v.avoid = v.avoid || now.Before(until)
			}
		}
		if !v.avoid {
			healthy++
		}
		p.scratch = append(p.scratch, v)
	}
	if healthy > 0 && healthy < len(p.scratch) {
		p.scratch = slices.DeleteFunc(p.scratch, func(v view) bool { return v.avoid })
	}
	return p.scratch, cold
}

// rank returns the place of a backend server in this gateway's own order; lower comes first.
func (p *Planner) rank(s *roster.Server, key Key) uint64 {
	mixed := (uint64(key) ^ p.seed) * 0x9e3779b97f4a7c15
	rank := mixed >> 1
	if s.Zone != p.zone {
		rank |= 1 << 63
	}
	return rank
}

// plain chooses by requests for each slot, then by zone.
func (p *Planner) plain(views []view) Placement {
	best, bestCost := 0, 0.0
	offset := p.random.IntN(len(views))
	for n := range views {
		i := (n + offset) % len(views)
		v := &views[i]
		cost := float64(v.requests()) / float64(max(v.server.Slots, 1))
		if v.server.Zone != p.zone {
			cost += otherZone
		}
		if n == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return Send{Server: views[best].server, Seen: views[best].total}
}

// otherZone is the cost of another zone in shares of a plain backend server's slots.
const otherZone = 0.12

// short packs short prompts on engines that have some already, below a limit, then on an engine without, then on fuller
// engines, and otherwise takes the engine that is free first. Each gateway goes through the engines in an order of its own,
// so that gateways that have not heard of each other's latest sends rarely meet on one engine.
func (p *Planner) short(w Work, views []view) Placement {
	slices.SortFunc(views, func(a, b view) int { return cmp.Compare(a.rank, b.rank) })
	best := p.packing(w, views)
	if best < 0 {
		best = p.soonest(w, views)
	}
	v := &views[best]
	return Send{Server: v.server, Expected: v.total.Unread + w.Read() + passTime, Seen: v.total}
}

// packing returns the first engine with short prompts and room for one more, else the first without short prompts, else the
// one with the fewest of those beyond packShare, and -1 when there is none. Engines of other zones count only when those of
// the zone have no room: what is known of them is older, and all gateways that find the same few of them would meet there.
func (p *Planner) packing(w Work, views []view) int {
	empty, full := -1, -1
	limit := max(int(packShare*float64(w.Engine.Slots)), 1)
	most := max(int(fullShare*float64(w.Engine.Slots)), 1)
	for i := range views {
		v := &views[i]
		near := v.server.Zone == p.zone
		if !near && (empty >= 0 || full >= 0) {
			break
		}
		switch {
		case v.total.Unread > packUnread || v.requests() >= w.Engine.Slots:
		case v.total.Short >= limit:
			if near && v.total.Unread <= fullUnread && v.total.Short <= most && (full < 0 || v.total.Short < views[full].total.Short) {
				full = i
			}
		case v.total.Short > 0:
			return i
		case empty < 0:
			empty = i
		}
	}
	if empty >= 0 {
		return empty
	}
	return full
}

// soonest returns the engine that will have read a new prompt first.
func (p *Planner) soonest(w Work, views []view) int {
	best, bestCost := 0, time.Duration(0)
	for i := range views {
		v := &views[i]
		cost := v.total.Unread + time.Duration(v.requests())*passTime/8
		if over := v.requests() - w.Engine.Slots + 1; over > 0 {
			cost += time.Duration(over) * queuedStep
		}
		if w.Engine.MemoryTokens > 0 && !fits(w, v, w.Prompt+w.Answer) {
			cost += time.Second
		}
		if i == 0 || cost < bestCost || cost == bestCost && v.server.Zone == p.zone && views[best].server.Zone != p.zone {
			best, bestCost = i, cost
		}
	}
	return best
}

func fits(w Work, v *view, tokens int64) bool {
	return float64(v.total.Memory+tokens) <= memoryShare*float64(w.Engine.MemoryTokens)
}

// long reads a prompt on as few engines as bring its first event in time, preferably on those without short requests. engines
// is the number in service.
func (p *Planner) long(now time.Time, w Work, views []view, engines int) Placement {
	slices.SortStableFunc(views, func(a, b view) int {
		return cmp.Or(cmp.Compare(a.total.Unread, b.total.Unread), cmp.Compare(a.rank, b.rank))
	})
	read := w.Read()
	needs := w.Prompt + w.Answer
	reserved := float64(needs) > memoryShare*float64(w.Engine.MemoryTokens)
	holds := func(v *view, parts int) bool { return !reserved || fits(w, v, needs/int64(parts)+ReserveSlack) }
	free := func(v *view, parts int) bool { return v.total.Short == 0 && holds(v, parts) }
	chosen, expected := readers(read, views, time.Duration(wantedShare*float64(w.Target)), free)
	if len(chosen) == 0 || expected > time.Duration(lateShare*float64(w.Target)) {
		spill := func(v *view, parts int) bool {
			return holds(v, parts) && (v.total.Short == 0 || v.total.Unread+read/time.Duration(parts) <= spillUnread)
		}
		if more, at := readers(read, views, 0, spill); len(chosen) == 0 || len(more) > 0 && at < expected {
			chosen, expected = more, at
		}
	}
	heavy := read > heavyTargets*w.Target
	if len(chosen) == 0 && !heavy {
		// Every engine has short requests, so the prompt makes some of them late, the fewest on few engines.
		slices.SortStableFunc(views, func(a, b view) int { return cmp.Compare(a.total.Short, b.total.Short) })
		chosen, expected = readers(read, views[:min(len(views), fewReaders)], 0, holds)
		if len(chosen) > 0 && now.Add(expected+holdMargin).Before(w.Due) {
			return Hold{For: holdStep, Expected: expected}
		}
	}
	if len(chosen) == 0 {
		return p.noMemory(now, w, needs, engines)
	}
	part := read / time.Duration(len(chosen))
	if heavy && !w.Due.IsZero() && meanUnread(views) > heavyUnread {
		// The engines' time is worth more to shorter prompts.
		if now.Add(expected+holdMargin).Before(w.Latest) && now.Before(w.Due.Add(heavyHold-w.Target)) {
			return Hold{For: holdStep, Expected: expected}
		}
		return Nowhere{Reason: Overloaded, RetryAfter: retryLarge}
	}
	if !w.Due.IsZero() && now.Add(expected).After(w.Due) && expected-part > heldUnread &&
		now.Add(expected+holdMargin).Before(w.Latest) {
		return Hold{For: holdStep, Expected: expected}
	}
	slices.SortStableFunc(chosen, func(a, b view) int { return p.compareWriters(w, needs, &a, &b) })
	if len(chosen) == 1 && !reserved {
		return Send{Server: chosen[0].server, Expected: expected, Seen: chosen[0].total}
	}
	j := Joint{Part: part, Reserved: reserved, Expected: expected, Seen: chosen[0].total}
	for i := range chosen {
		j.Servers = append(j.Servers, chosen[i].server)
	}
	return j
}

// meanUnread returns the mean outstanding reading of the engines.
func meanUnread(views []view) time.Duration {
	var sum time.Duration
	for i := range views {
		sum += views[i].total.Unread
	}
	return sum / time.Duration(len(views))
}

// noMemory decides about a prompt for which no engines together have memory now. engines is the number in service, of which
// some may be avoided for a while.
func (p *Planner) noMemory(now time.Time, w Work, needs int64, engines int) Placement {
	most := memoryShare * float64(w.Engine.MemoryTokens) * float64(min(engines, maxReaders))
	if float64(needs) > most {
		return Nowhere{Reason: TooLarge, RetryAfter: retryLarge}
	}
	if now.Add(holdMargin).Before(w.Latest) && now.Before(w.Due.Add(heavyHold-w.Target)) {
		return Hold{For: holdStep}
	}
	return Nowhere{Reason: Overloaded, RetryAfter: retryLarge}
}

// compareWriters orders engines by how well they write the answer to a prompt: those with memory for it first, then those
// without short requests, in the zone, and with the most memory free.
func (p *Planner) compareWriters(w Work, tokens int64, a, b *view) int {
	return cmp.Or(
		compareBool(fits(w, b, tokens), fits(w, a, tokens)),
		cmp.Compare(min(a.total.Short, 1), min(b.total.Short, 1)),
		compareBool(b.server.Zone == p.zone, a.server.Zone == p.zone),
		cmp.Compare(a.total.Memory, b.total.Memory),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// readers returns the engines, of those that may read a part, that read a prompt together, and when they will have read
// it: the fewest that are done within wanted with parts that are not too long, otherwise those that are done first. The
// views are sorted by outstanding reading.
func readers(read time.Duration, views []view, wanted time.Duration, may func(v *view, parts int) bool) ([]view, time.Duration) {
	var best []view
	var done time.Duration
	chosen := make([]view, 0, maxReaders)
	for n := 1; n <= min(len(views), maxReaders); n++ {
		part := read / time.Duration(n)
		if n > 1 && part < leastPart {
			break
		}
		chosen = chosen[:0]
		for i := range views {
			if may(&views[i], n) {
				chosen = append(chosen, views[i])
			}
			if len(chosen) == n {
				break
			}
		}
		if len(chosen) < n {
			continue
		}
		at := chosen[n-1].total.Unread + part + passTime
		intime := at <= wanted && part <= longPart
		if len(best) == 0 || at < done || intime {
			best, done = slices.Clone(chosen), at
		}
		if intime {
			break
		}
	}
	return best, done
}
