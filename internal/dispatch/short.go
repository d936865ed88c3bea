package dispatch

import (
	"cmp"
	"slices"
	"time"

	"berylward.example/berylward/internal/forecast"
)

const (
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
	// queuedRequestCost is the cost of each request beyond an engine's slots.
	queuedRequestCost = 150 * time.Millisecond
)

// placeShort packs short prompts on engines that already have some, up to a limit, then on an engine without, then on
// fuller engines, and otherwise chooses the engine that will be free first. Each gateway fills the engines in an
// order of its own, and draws among the first of them, so that gateways that have not yet received each other's latest
// reports rarely choose the same engine. A request is refused if no engine is expected to begin its answer before its
// caller gives up.
func (p *Planner) placeShort(now time.Time, profile RequestProfile, candidates []candidate) Placement {
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	best := p.packedEngine(profile, candidates)
	var expected time.Duration
	switch {
	case best < 0 && profile.Ranks.Ranked():
		best, expected = p.soonestEngine(profile, candidates)
	case best < 0:
		best = p.earliestEngine(profile, candidates)
	}
	c := &candidates[best]
	switch {
	case !profile.Ranks.Ranked():
		expected = c.total.PendingPrefill + c.paced(c.slotWait(profile)+profile.PrefillTime()+iterationTime)
	case expected == 0:
		expected = c.predict(forecast.NewEngine(profile.Engine), profile).First
	}
	if over := now.Add(expected).Sub(profile.Deadline); over > 0 && !profile.Deadline.IsZero() {
		return NoPlacement{Reason: Overloaded, RetryAfter: max(over, minOverloadedRetry)}
	}
	return Send{Server: c.server, Expected: expected, Seen: c.total}
}

// slotWait returns the time that one more request waits for a slot of the engine.
func (c *candidate) slotWait(profile RequestProfile) time.Duration {
	return time.Duration(max(c.requests()-profile.Engine.Slots+1, 0)) * queuedRequestCost
}

// packedEngine returns the index of the engine that a short prompt is packed on, and -1 if no engine has room. Gateways
// that hear the same reports would all fill the same engine until the next ones, so it is drawn from as many engines as
// have room for what other gateways have probably sent since their last reports.
func (p *Planner) packedEngine(profile RequestProfile, candidates []candidate) int {
	n := slices.IndexFunc(candidates, func(c candidate) bool { return c.server.Zone != p.zone })
	if n < 0 {
		n = len(candidates)
	}
	// Reports about engines in other zones are older, and gateways of all zones would choose the same few of them.
	if i := p.drawPacked(profile, candidates[:n], p.sameZoneInterval, true); i >= 0 {
		return i
	}
	if i := p.drawPacked(profile, candidates[n:], p.otherZoneInterval, false); i >= 0 {
		return n + i
	}
	return -1
}

// drawPacked draws one of the first engines of a list that together have room for what other gateways have probably sent
// there since their last reports, or of all while other gateways are probably not known. It returns -1 if none has room.
func (p *Planner) drawPacked(profile RequestProfile, candidates []candidate, interval time.Duration, overpack bool) int {
	rooms := shortRooms(profile, candidates, overpack)
	if !p.joining {
		rooms = firstRooms(rooms, p.unreportedShort(candidates, interval))
	}
	free := 0
	for _, r := range rooms {
		free += r.free
	}
	if free == 0 {
		return -1
	}
	draw := p.random.IntN(free)
	for _, r := range rooms {
		if draw < r.free {
			return r.index
		}
		draw -= r.free
	}
	return -1
}

// firstRooms returns as many of the first rooms as have place for more than a number of prompts together, or all of them.
func firstRooms(rooms []shortRoom, prompts float64) []shortRoom {
	free := 0
	for i, r := range rooms {
		free += r.free
		if float64(free) > prompts {
			return rooms[:i+1]
		}
	}
	return rooms
}

// shortRoom is the number of short prompts that a candidate still has room for.
type shortRoom struct{ index, free int }

// shortRooms returns the engines with room for short prompts in the order in which they are filled: those with some, then
// those without, and with overpack those with the fewest beyond packSlotShare.
func shortRooms(profile RequestProfile, candidates []candidate, overpack bool) []shortRoom {
	var partial, empty, overpacked []shortRoom
	limit := max(int(packSlotShare*float64(profile.Engine.Slots)), 1)
	overpackLimit := max(int(overpackSlotShare*float64(profile.Engine.Slots)), 1)
	for i := range candidates {
		c := &candidates[i]
		slots := c.slots(profile.Engine.Slots) - c.requests()
		switch {
		case c.total.PendingPrefill > maxPackPrefill || slots <= 0:
		case c.total.Short >= limit:
			if overpack && c.total.PendingPrefill <= maxOverpackPrefill && c.total.Short <= overpackLimit {
				overpacked = append(overpacked, shortRoom{i, min(overpackLimit+1-c.total.Short, slots)})
			}
		case c.total.Short > 0:
			partial = append(partial, shortRoom{i, min(limit-c.total.Short, slots)})
		default:
			empty = append(empty, shortRoom{i, min(limit, slots)})
		}
	}
	slices.SortStableFunc(overpacked, func(a, b shortRoom) int { return cmp.Compare(b.free, a.free) })
	return slices.Concat(partial, empty, overpacked)
}

// unreportedShort returns the number of short prompts that other gateways have probably sent to engines in the interval
// between their reports.
func (p *Planner) unreportedShort(candidates []candidate, interval time.Duration) float64 {
	reported := 0
	for i := range candidates {
		reported += candidates[i].total.Short - candidates[i].state.own.Short
	}
	return float64(reported) * float64(interval) / float64(p.shortTime)
}

// earliestEngine returns the index of the engine that will finish the prefill of a new prompt first.
func (p *Planner) earliestEngine(profile RequestProfile, candidates []candidate) int {
	best, bestCost := 0, time.Duration(0)
	for i := range candidates {
		c := &candidates[i]
		cost := c.total.PendingPrefill + c.paced(time.Duration(c.requests())*iterationTime/8+c.slotWait(profile)+profile.PrefillTime()+iterationTime)
		if profile.Engine.KVCacheTokens > 0 && !fits(profile, c, profile.Prompt+profile.Answer) {
			cost += time.Second
		}
		if i == 0 || cost < bestCost || cost == bestCost && c.server.Zone == p.zone && candidates[best].server.Zone != p.zone {
			best, bestCost = i, cost
		}
	}
	return best
}
