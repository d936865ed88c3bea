package dispatch

import (
	"cmp"
	"slices"
	"time"
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
// fuller engines, and otherwise chooses the engine that will be free first. Each gateway tries the engines in an
// order of its own, so that gateways that have not yet received each other's latest reports rarely choose the same
// engine. A request that has just arrived is refused if no engine is expected to begin its answer before its caller gives
// up.
func (p *Planner) placeShort(now time.Time, profile RequestProfile, candidates []candidate) Placement {
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	best := p.packedEngine(profile, candidates)
	if best < 0 {
		best = p.earliestEngine(profile, candidates)
	}
	c := &candidates[best]
	expected := c.total.PendingPrefill + c.slotWait(profile) + profile.PrefillTime() + iterationTime
	if over := now.Add(expected).Sub(profile.Deadline); over > 0 && !profile.Deadline.IsZero() && !profile.Admitted {
		return NoPlacement{Reason: Overloaded, RetryAfter: max(over, minOverloadedRetry)}
	}
	return Send{Server: c.server, Expected: expected, Seen: c.total}
}

// slotWait returns the time that one more request waits for a slot of the engine.
func (c *candidate) slotWait(profile RequestProfile) time.Duration {
	return time.Duration(max(c.requests()-profile.Engine.Slots+1, 0)) * queuedRequestCost
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
		cost += c.slotWait(profile)
		if profile.Engine.KVCacheTokens > 0 && !fits(profile, c, profile.Prompt+profile.Answer) {
			cost += time.Second
		}
		if i == 0 || cost < bestCost || cost == bestCost && c.server.Zone == p.zone && candidates[best].server.Zone != p.zone {
			best, bestCost = i, cost
		}
	}
	return best
}
