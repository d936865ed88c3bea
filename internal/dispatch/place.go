package dispatch

import (
	"slices"
	"time"

	"berylward.example/berylward/internal/roster"
)

const (
	// maxShortPrefill is the longest prefill time of a prompt in the short class.
	maxShortPrefill = 150 * time.Millisecond
	// plannedMemoryShare is the share of an engine's memory that may be planned, because some answers are longer than
	// expected.
	plannedMemoryShare = 0.92
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
	// unreported is prefill that other gateways have probably sent there since their last reports.
	unreported time.Duration
	// slowness is how many times more slowly than published the server answers, and 0 or 1 if it does not. total.PendingPrefill is
	// multiplied by it, and slowPrefill is what it adds to a prefill. full means that the server should get no more requests now.
	slowness    float64
	slowPrefill time.Duration
	full        bool
	// due means that the window of the server is not open, and that it is this gateway's turn to send there.
	due bool
	// rank orders the backend servers for this gateway: those of its zone first, then by a hash that differs between
	// gateways.
	rank uint64
}

// pending returns the prefill that a new prompt probably waits for.
func (c *candidate) pending() time.Duration {
	return c.total.PendingPrefill + c.unreported + c.slowPrefill
}

func (c *candidate) requests() int { return c.total.Short + c.total.Long }

const (
	// retryAfterNoServer applies to a service without backend servers.
	retryAfterNoServer = 500 * time.Millisecond
	// retryAfterLarge is the time in which engines may be added for a prompt larger than the memory of all of them. Nothing
	// is known of when that is.
	retryAfterLarge = 3500 * time.Millisecond
	// retryAfterCold and retryAfterTried are the times after which a cold or a refusing backend server may accept a
	// request.
	retryAfterCold  = 300 * time.Millisecond
	retryAfterTried = 200 * time.Millisecond
)

// Place decides where a request goes, given the backend servers in service and the IDs of those that have been tried.
func (p *Planner) Place(now time.Time, profile RequestProfile, servers []*roster.Server, tried []string) Placement {
	return limitToCompletion(now, profile, p.placeAnyTime(now, profile, servers, tried))
}

// placeAnyTime is Place without regard to the time by which the answer must be complete.
func (p *Planner) placeAnyTime(now time.Time, profile RequestProfile, servers []*roster.Server, tried []string) Placement {
	if len(servers) == 0 {
		return NoPlacement{Reason: NoServer, RetryAfter: retryAfterNoServer}
	}
	candidates, without := p.candidates(now, profile, servers, tried)
	if len(candidates) == 0 {
		return p.placeWithoutCandidates(now, profile, without)
	}
	switch {
	case profile.Engine == nil:
		return p.placePlain(candidates)
	case profile.Short():
		return p.placeShort(now, profile, candidates)
	}
	return p.placeLong(now, profile, candidates, len(servers))
}

// candidates returns the backend servers that may be chosen, and why others may not. Those to be avoided are included
// only if there are no others.
func (p *Planner) candidates(now time.Time, profile RequestProfile, servers []*roster.Server, tried []string) ([]candidate, excluded) {
	p.expirePeers(now)
	p.candidateBuf = p.candidateBuf[:0]
	var without excluded
	healthy := 0
	var mean float64
	for _, s := range servers {
		mean += float64(p.stateOf(s).errorRate) / float64(len(servers))
	}
	for _, s := range servers {
		if slices.Contains(tried, s.ID) {
			continue
		}
		st := p.stateOf(s)
		st.left = false
		if now.Before(st.busyUntil) {
			without.addBusy(st.busyUntil)
			continue
		}
		if profile.ColdPerSecond > 0 && now.Before(s.ColdUntil) && !st.cold.allows(now, profile.ColdPerSecond/float64(p.gateways), p.random) {
			without.cold = true
			continue
		}
		c := candidate{server: s, state: st, rank: p.rank(s, st.key)}
		c.total, c.avoid = p.groupLoad(now, st)
		c.avoid = c.avoid || float64(st.errorRate) > mean+errorRateMargin
		p.applyPace(now, profile, &c)
		if !c.avoid {
			healthy++
		}
		p.candidateBuf = append(p.candidateBuf, c)
	}
	if healthy > 0 && healthy < len(p.candidateBuf) {
		p.candidateBuf = slices.DeleteFunc(p.candidateBuf, func(c candidate) bool { return c.avoid })
	}
	p.followWindows(profile)
	p.leaveFailedZone(servers, tried)
	return p.candidateBuf, without
}

// maxTriedPerZone is how many backend servers of one zone a request tries before those of other zones. Failures within a zone
// often have one cause, and the number of sends is limited.
const maxTriedPerZone = 2

// leaveFailedZone removes the candidates of a zone in which maxTriedPerZone backend servers have been tried, if there are others.
func (p *Planner) leaveFailedZone(servers []*roster.Server, tried []string) {
	if len(tried) < maxTriedPerZone {
		return
	}
	counts := map[string]int{}
	for _, s := range servers {
		if slices.Contains(tried, s.ID) {
			counts[s.Zone]++
		}
	}
	failed := func(c candidate) bool { return counts[c.server.Zone] >= maxTriedPerZone }
	if slices.ContainsFunc(p.candidateBuf, func(c candidate) bool { return !failed(c) }) {
		p.candidateBuf = slices.DeleteFunc(p.candidateBuf, failed)
	}
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

// otherZoneRequests is the number of requests that a plain backend server of another zone counts with beyond its own. The way
// between zones and back takes about as long as a server with several slots takes to end one request, so a caller gains
// nothing from another zone unless a server there has more than one request less.
const otherZoneRequests = 1

// placePlain chooses the backend server with the fewest requests per slot, and of equal ones one in the gateway's zone.
func (p *Planner) placePlain(candidates []candidate) Placement {
	best, bestCost := 0, 0.0
	offset := p.random.IntN(len(candidates))
	for n := range candidates {
		i := (n + offset) % len(candidates)
		c := &candidates[i]
		requests, elsewhere := c.requests(), c.server.Zone != p.zone
		if elsewhere {
			requests += otherZoneRequests
		}
		cost := c.plainCost(requests)
		if n == 0 || cost < bestCost || cost == bestCost && !elsewhere && candidates[best].server.Zone != p.zone {
			best, bestCost = i, cost
		}
	}
	return Send{Server: candidates[best].server, Seen: candidates[best].total}
}

// fits reports whether an engine has memory for a number of tokens.
func fits(profile RequestProfile, c *candidate, tokens int64) bool {
	return float64(c.total.Memory+tokens) <= plannedMemoryShare*float64(profile.Engine.KVCacheTokens)
}
