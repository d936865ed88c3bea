package dispatch

import (
	"cmp"
	"slices"
	"time"

	"berylward.example/berylward/internal/roster"
)

const (
	// maxShortPrefill is the longest prefill time of a prompt in the short class.
	maxShortPrefill = 150 * time.Millisecond
	// packSlotShare is the share of an engine's slots that short requests use before the next engine is used for
	// them. Short requests are packed to leave other engines free for long prefills, each of which pauses all streams
	// on its engine.
	packSlotShare = 0.75
	// overpackSlotShare is the share of the slots that short requests may use on an engine in the gateway's zone,
	// while its pending prefill is at most maxOverpackPrefill, before engines in other zones are used.
	overpackSlotShare  = 0.9
	maxOverpackPrefill = 60 * time.Millisecond
	// maxPackPrefill is the longest pending prefill of an engine that short requests are packed on.
	maxPackPrefill = 140 * time.Millisecond
	// maxSpillPrefill is the longest pending prefill, the new part included, that a long prompt may cause on an
	// engine with short requests. More would make the streams of these requests late.
	maxSpillPrefill = 140 * time.Millisecond
	// targetShare is the share of its target time within which a long prompt should be prefilled. A joint prefill
	// uses the fewest engines that achieve this.
	targetShare = 0.35
	// spillTargetShare is the share of its target time above which a long prompt may use engines with short requests.
	spillTargetShare = 0.7
	// maxJointEngines is the largest number of engines that prefill one prompt.
	maxJointEngines = 16
	// maxFallbackEngines is how many engines with short requests prefill a long prompt when no other engine is
	// available.
	maxFallbackEngines = 3
	// minPart is the shortest part of a joint prefill; shorter parts save nothing compared with the duration of an
	// iteration.
	minPart = 60 * time.Millisecond
	// plannedMemoryShare is the share of an engine's memory that may be planned, because some answers are longer than
	// expected.
	plannedMemoryShare = 0.92
	// A prompt is heavy when its prefill on one engine would take more than heavyPrefillFactor times its target. A
	// heavy prompt waits until the mean pending prefill is at most maxHeavyMeanPrefill: its prefill time grows with
	// the square of its length, and its value does not.
	heavyPrefillFactor  = 2
	maxHeavyMeanPrefill = 90 * time.Millisecond
	// maxHeavyHold is how long a heavy prompt, or one that the engines have no memory for, is held before it is
	// refused, early enough for its caller to try again.
	maxHeavyHold = 4 * time.Second
	// queuedRequestCost is the cost of each request beyond an engine's slots.
	queuedRequestCost = 150 * time.Millisecond
	// peerReportTTL is how long a report of another gateway counts.
	peerReportTTL = 2 * time.Second
	// maxPart is the longest part of a joint prefill on one engine when more engines are free. Longer parts make the
	// streams of other long prompts late.
	maxPart = 400 * time.Millisecond
	// maxLateBacklog is the pending prefill, plus one iteration, up to which an engine counts as free for a prompt
	// that is already late.
	maxLateBacklog = 200 * time.Millisecond
	// A held request is placed again every holdInterval. It is held only while its first event is expected at least
	// deadlineMargin before its deadline, or before its target time if every engine has short requests.
	holdInterval   = 40 * time.Millisecond
	deadlineMargin = 700 * time.Millisecond
	// iterationTime is the typical duration of a scheduler iteration of an engine that generates answers. A new
	// prompt is prefilled after it.
	iterationTime = 60 * time.Millisecond
)

// ReserveSlack is the number of tokens added to each part of reserved memory, because engines allocate memory in
// blocks.
const ReserveSlack = 512

// candidate is a backend server with its load from all gateways.
type candidate struct {
	server *roster.Server
	state  *serverState
	total  Load
	avoid  bool
	// rank orders the backend servers for this gateway: those of its zone first, then by a hash that differs between
	// gateways.
	rank uint64
}

func (c *candidate) requests() int { return c.total.Short + c.total.Long }

// Place decides where a request goes, given the backend servers in service and the IDs of those that have been tried.
func (p *Planner) Place(now time.Time, profile RequestProfile, servers []*roster.Server, tried []string) Placement {
	if len(servers) == 0 {
		return NoPlacement{Reason: NoServer, RetryAfter: retryAfterNoServer}
	}
	candidates, cold := p.candidates(now, profile, servers, tried)
	if len(candidates) == 0 {
		if cold {
			return NoPlacement{Reason: AllCold, RetryAfter: retryAfterCold}
		}
		return NoPlacement{Reason: AllTried, RetryAfter: retryAfterTried}
	}
	switch {
	case profile.Engine == nil:
		return p.placePlain(candidates)
	case profile.Short():
		return p.placeShort(profile, candidates)
	}
	return p.placeLong(now, profile, candidates, len(servers))
}

const (
	// retryAfterNoServer applies to a service without backend servers.
	retryAfterNoServer = 500 * time.Millisecond
	// retryAfterLarge is the time in which engines may become free for a heavy prompt, or memory for a prompt larger
	// than one engine's memory.
	retryAfterLarge = 3500 * time.Millisecond
	// retryAfterCold and retryAfterTried are the times after which a cold or a refusing backend server may accept a
	// request.
	retryAfterCold  = 300 * time.Millisecond
	retryAfterTried = 200 * time.Millisecond
)

// candidates returns the backend servers that may be chosen. Those to be avoided are included only if there are no
// others. It also reports whether a cold backend server was left out because of its rate limit.
func (p *Planner) candidates(now time.Time, profile RequestProfile, servers []*roster.Server, tried []string) ([]candidate, bool) {
	p.expirePeers(now)
	p.candidateBuf = p.candidateBuf[:0]
	cold, healthy := false, 0
	var mean float64
	for _, s := range servers {
		mean += float64(p.stateOf(s).errorRate) / float64(len(servers))
	}
	for _, s := range servers {
		if slices.Contains(tried, s.ID) {
			continue
		}
		st := p.stateOf(s)
		if profile.ColdPerSecond > 0 && now.Before(s.ColdUntil) && !st.cold.allows(now, profile.ColdPerSecond/float64(p.gateways), p.random) {
			cold = true
			continue
		}
		c := candidate{server: s, state: st, total: st.own, rank: p.rank(s, st.key)}
		c.avoid = now.Before(st.avoidUntil) || float64(st.errorRate) > mean+errorRateMargin
		if peer := p.peerLoads[st.key]; peer != nil {
			c.total.add(peer.sum, 1)
			for _, until := range peer.avoidUntil {
				c.avoid = c.avoid || now.Before(until)
			}
		}
		if !c.avoid {
			healthy++
		}
		p.candidateBuf = append(p.candidateBuf, c)
	}
	if healthy > 0 && healthy < len(p.candidateBuf) {
		p.candidateBuf = slices.DeleteFunc(p.candidateBuf, func(c candidate) bool { return c.avoid })
	}
	return p.candidateBuf, cold
}

// rank returns the position of a backend server in this gateway's own order; lower comes first.
func (p *Planner) rank(s *roster.Server, key Key) uint64 {
	mixed := (uint64(key) ^ p.seed) * 0x9e3779b97f4a7c15
	rank := mixed >> 1
	if s.Zone != p.zone {
		rank |= 1 << 63
	}
	return rank
}

// placePlain chooses the backend server with the fewest requests per slot; one in another zone has an extra cost.
func (p *Planner) placePlain(candidates []candidate) Placement {
	best, bestCost := 0, 0.0
	offset := p.random.IntN(len(candidates))
	for n := range candidates {
		i := (n + offset) % len(candidates)
		c := &candidates[i]
		cost := float64(c.requests()) / float64(max(c.server.Slots, 1))
		if c.server.Zone != p.zone {
			cost += otherZoneCost
		}
		if n == 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return Send{Server: candidates[best].server, Seen: candidates[best].total}
}

// otherZoneCost is the cost of sending to another zone, as a share of a plain backend server's slots.
const otherZoneCost = 0.12

// placeShort packs short prompts on engines that already have some, up to a limit, then on an engine without, then on
// fuller engines, and otherwise chooses the engine that will be free first. Each gateway tries the engines in an
// order of its own, so that gateways that have not yet received each other's latest reports rarely choose the same
// engine.
func (p *Planner) placeShort(profile RequestProfile, candidates []candidate) Placement {
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	best := p.packedEngine(profile, candidates)
	if best < 0 {
		best = p.earliestEngine(profile, candidates)
	}
	c := &candidates[best]
	return Send{Server: c.server, Expected: c.total.PendingPrefill + profile.PrefillTime() + iterationTime, Seen: c.total}
}

// packedEngine returns the index of the first engine with short prompts and room for one more, else of the first
// without short prompts, else of the one with the fewest short prompts beyond packSlotShare, and -1 if there is none.
// Engines in other zones are considered only if those in the gateway's zone have no room: reports about them are
// older, and gateways of all zones would choose the same few of them.
func (p *Planner) packedEngine(profile RequestProfile, candidates []candidate) int {
	empty, overpacked := -1, -1
	limit := max(int(packSlotShare*float64(profile.Engine.Slots)), 1)
	overpackLimit := max(int(overpackSlotShare*float64(profile.Engine.Slots)), 1)
	for i := range candidates {
		c := &candidates[i]
		sameZone := c.server.Zone == p.zone
		if !sameZone && (empty >= 0 || overpacked >= 0) {
			break
		}
		switch {
		case c.total.PendingPrefill > maxPackPrefill || c.requests() >= profile.Engine.Slots:
		case c.total.Short >= limit:
			if sameZone && c.total.PendingPrefill <= maxOverpackPrefill && c.total.Short <= overpackLimit && (overpacked < 0 || c.total.Short < candidates[overpacked].total.Short) {
				overpacked = i
			}
		case c.total.Short > 0:
			return i
		case empty < 0:
			empty = i
		}
	}
	if empty >= 0 {
		return empty
	}
	return overpacked
}

// earliestEngine returns the index of the engine that will finish the prefill of a new prompt first.
func (p *Planner) earliestEngine(profile RequestProfile, candidates []candidate) int {
	best, bestCost := 0, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		cost := c.total.PendingPrefill + time.Duration(c.requests())*iterationTime/8
		if over := c.requests() - profile.Engine.Slots + 1; over > 0 {
			cost += time.Duration(over) * queuedRequestCost
		}
		if profile.Engine.KVCacheTokens > 0 && !fits(profile, c, profile.Prompt+profile.Answer) {
			cost += time.Second
		}
		if i == 0 || cost < bestCost || cost == bestCost && c.server.Zone == p.zone && candidates[best].server.Zone != p.zone {
			best, bestCost = i, cost
		}
	}
	return best
}

func fits(profile RequestProfile, c *candidate, tokens int64) bool {
	return float64(c.total.Memory+tokens) <= plannedMemoryShare*float64(profile.Engine.KVCacheTokens)
}

// placeLong prefills a prompt on as few engines as it takes for the first event to be on time, preferably on engines
// without short requests. engines is the number in service.
func (p *Planner) placeLong(now time.Time, profile RequestProfile, candidates []candidate, engines int) Placement {
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.total.PendingPrefill, b.total.PendingPrefill), cmp.Compare(a.rank, b.rank))
	})
	prefill := profile.PrefillTime()
	tokens := profile.Prompt + profile.Answer
	reserved := float64(tokens) > plannedMemoryShare*float64(profile.Engine.KVCacheTokens)
	hasMemory := func(c *candidate, parts int) bool {
		return !reserved || fits(profile, c, tokens/int64(parts)+ReserveSlack)
	}
	isFree := func(c *candidate, parts int) bool { return c.total.Short == 0 && hasMemory(c, parts) }
	chosen, expected := choosePrefillEngines(prefill, candidates, time.Duration(targetShare*float64(profile.Target)), isFree)
	if len(chosen) == 0 || expected > time.Duration(spillTargetShare*float64(profile.Target)) {
		canSpill := func(c *candidate, parts int) bool {
			return hasMemory(c, parts) && (c.total.Short == 0 || c.total.PendingPrefill+prefill/time.Duration(parts) <= maxSpillPrefill)
		}
		if spill, spillExpected := choosePrefillEngines(prefill, candidates, 0, canSpill); len(chosen) == 0 || len(spill) > 0 && spillExpected < expected {
			chosen, expected = spill, spillExpected
		}
	}
	heavy := prefill > heavyPrefillFactor*profile.Target
	if len(chosen) == 0 && !heavy {
		// Every engine has short requests, and the prompt makes some of them late. Using few engines limits how many.
		slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.total.Short, b.total.Short) })
		chosen, expected = choosePrefillEngines(prefill, candidates[:min(len(candidates), maxFallbackEngines)], 0, hasMemory)
		if len(chosen) > 0 && now.Add(expected+deadlineMargin).Before(profile.TargetTime) {
			return Hold{Delay: holdInterval, Expected: expected}
		}
	}
	if len(chosen) == 0 {
		return p.placeWithoutMemory(now, profile, tokens, engines)
	}
	part := prefill / time.Duration(len(chosen))
	if heavy && !profile.TargetTime.IsZero() && meanPendingPrefill(candidates) > maxHeavyMeanPrefill {
		// The engines' time is worth more to shorter prompts.
		if now.Add(expected+deadlineMargin).Before(profile.Deadline) && now.Before(profile.TargetTime.Add(maxHeavyHold-profile.Target)) {
			return Hold{Delay: holdInterval, Expected: expected}
		}
		return NoPlacement{Reason: Overloaded, RetryAfter: retryAfterLarge}
	}
	if !profile.TargetTime.IsZero() && now.Add(expected).After(profile.TargetTime) && expected-part > maxLateBacklog &&
		now.Add(expected+deadlineMargin).Before(profile.Deadline) {
		return Hold{Delay: holdInterval, Expected: expected}
	}
	slices.SortStableFunc(chosen, func(a, b candidate) int { return p.compareAnswerEngines(profile, tokens, &a, &b) })
	if len(chosen) == 1 && !reserved {
		return Send{Server: chosen[0].server, Expected: expected, Seen: chosen[0].total}
	}
	joint := JointPrefill{PartTime: part, Reserved: reserved, Expected: expected, Seen: chosen[0].total}
	for i := range chosen {
		joint.Servers = append(joint.Servers, chosen[i].server)
	}
	return joint
}

// meanPendingPrefill returns the mean pending prefill of the engines.
func meanPendingPrefill(candidates []candidate) time.Duration {
	var sum time.Duration
	for i := range candidates {
		sum += candidates[i].total.PendingPrefill
	}
	return sum / time.Duration(len(candidates))
}

// placeWithoutMemory decides on a prompt that no set of engines has memory for now. engines is the number in service,
// which includes engines that are avoided for a while.
func (p *Planner) placeWithoutMemory(now time.Time, profile RequestProfile, tokens int64, engines int) Placement {
	maxTokens := plannedMemoryShare * float64(profile.Engine.KVCacheTokens) * float64(min(engines, maxJointEngines))
	if float64(tokens) > maxTokens {
		return NoPlacement{Reason: TooLarge, RetryAfter: retryAfterLarge}
	}
	if now.Add(deadlineMargin).Before(profile.Deadline) && now.Before(profile.TargetTime.Add(maxHeavyHold-profile.Target)) {
		return Hold{Delay: holdInterval}
	}
	return NoPlacement{Reason: Overloaded, RetryAfter: retryAfterLarge}
}

// compareAnswerEngines orders engines by suitability for generating the answer to a prompt: first those with memory
// for it, then those without short requests, those in the gateway's zone, and those with the most free memory.
func (p *Planner) compareAnswerEngines(profile RequestProfile, tokens int64, a, b *candidate) int {
	return cmp.Or(
		compareBool(fits(profile, b, tokens), fits(profile, a, tokens)),
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

// choosePrefillEngines returns the engines that prefill a prompt together, and when they will finish: the fewest that
// finish within target with parts of at most maxPart, or else those that finish first. Only engines for which
// eligible returns true are chosen. The candidates must be sorted by pending prefill.
func choosePrefillEngines(prefill time.Duration, candidates []candidate, target time.Duration, eligible func(c *candidate, parts int) bool) ([]candidate, time.Duration) {
	var best []candidate
	var bestFinish time.Duration
	chosen := make([]candidate, 0, maxJointEngines)
	for n := 1; n <= min(len(candidates), maxJointEngines); n++ {
		part := prefill / time.Duration(n)
		if n > 1 && part < minPart {
			break
		}
		chosen = chosen[:0]
		for i := range candidates {
			if eligible(&candidates[i], n) {
				chosen = append(chosen, candidates[i])
			}
			if len(chosen) == n {
				break
			}
		}
		if len(chosen) < n {
			continue
		}
		finish := chosen[n-1].total.PendingPrefill + part + iterationTime
		onTime := finish <= target && part <= maxPart
		if len(best) == 0 || finish < bestFinish || onTime {
			best, bestFinish = slices.Clone(chosen), finish
		}
		if onTime {
			break
		}
	}
	return best, bestFinish
}
