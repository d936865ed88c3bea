package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
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
	// minFallbackEngines is how many engines with short requests may prefill any long prompt when no other engine is
	// available, or available in time.
	minFallbackEngines = 3
	// fallbackGain is how many times sooner a late prompt must be done on engines with short requests to use them.
	fallbackGain = 2
	// minPart is the shortest part of a joint prefill; shorter parts save nothing compared with the duration of an
	// iteration.
	minPart = 60 * time.Millisecond
	// maxPart is the longest part of a joint prefill on one engine when more engines are free. Longer parts make the
	// streams of other long prompts late.
	maxPart = 400 * time.Millisecond
	// maxLateBacklog is the pending prefill, plus one iteration, up to which an engine counts as free for a prompt
	// that is already late.
	maxLateBacklog = 200 * time.Millisecond
	// A held request is placed again every holdInterval. It is held only while its first event is expected at least
	// deadlineMargin before its deadline, or at least deadlineMargin before its target time if every engine has short
	// requests.
	holdInterval   = 40 * time.Millisecond
	deadlineMargin = 700 * time.Millisecond
)

// placeLong decides on a prompt that is not short. engines is the number in service.
func (p *Planner) placeLong(now time.Time, profile RequestProfile, candidates []candidate, engines int) Placement {
	for i := range candidates {
		if candidates[i].server.Zone != p.zone {
			candidates[i].unreported = p.unreported
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		// A prefill pauses the answers that its engine generates.
		return cmp.Or(cmp.Compare(a.pending(), b.pending()), cmp.Compare(a.total.Long, b.total.Long), cmp.Compare(a.rank, b.rank))
	})
	r := p.roomFor(now, profile, candidates)
	t := p.turn(now, profile, r.engines)
	placement := p.placeInTurn(now, profile, t, r, engines)
	switch d := placement.(type) {
	case Hold:
		d.Queue = t.view()
		return d
	case NoPlacement:
		d.Queue = t.view()
		return d
	case Send, JointPrefill:
	}
	return placement
}

// placeInTurn prefills a prompt on as few engines as it takes for the first event to be on time, preferably on engines
// without short requests, when its turn has come. The candidates must be sorted by pending prefill.
func (p *Planner) placeInTurn(now time.Time, profile RequestProfile, t turn, r room, engines int) Placement {
	candidates := r.usable
	mayWait := !profile.TargetTime.IsZero()
	chosen, expected := chooseLongEngines(profile, r.preferred)
	if len(chosen) == 0 || expected > scale(profile.Target, spillTargetShare) {
		chosen, expected = chooseLongEngines(profile, candidates)
	}
	switch {
	case profile.yields():
		// Engines with more urgent requests are used for short parts only.
	case len(chosen) == 0:
		chosen, expected = chooseFallbackEngines(profile, candidates, math.MaxInt64)
		if len(chosen) > 0 && now.Add(expected+deadlineMargin).Before(profile.TargetTime) {
			return hold(HoldShort, candidates, expected)
		}
	case mayWait && now.Add(expected).After(profile.TargetTime):
		// All late prompts would otherwise wait for the few engines without short requests.
		before := expected / fallbackGain
		if fallback, sooner := chooseFallbackEngines(profile, candidates, before); len(fallback) > 0 && sooner < before {
			chosen, expected = fallback, sooner
		}
	}
	if len(chosen) == 0 {
		return p.placeWithoutEngines(now, profile, candidates, engines)
	}
	if mayWait {
		if p.joining && profile.yields() && now.Add(expected+deadlineMargin).Before(profile.Deadline) {
			// What other gateways send is not known yet, and all that have just started would send to the same engines.
			return hold(HoldTurn, candidates, expected)
		}
		if placement, waits := awaitTurn(now, profile, t, candidates, expected); waits {
			return placement
		}
		backlog := expected - profile.PrefillTime()/time.Duration(len(chosen))
		if waitsForFreeEngines(now, profile, expected, backlog) {
			return hold(HoldLate, candidates, expected)
		}
	}
	return p.sendLong(profile, chosen, profile.PrefillTime()/time.Duration(len(chosen)), expected)
}

// waitsForFreeEngines reports whether a prompt whose turn has come, and which would be late, waits until the engines that it
// would be sent to have little before them. Engines prefill all their prompts at a time, so it would make those there late too.
// It waits no longer than engines may have before them, so that it keeps the time in which it can be done.
func waitsForFreeEngines(now time.Time, profile RequestProfile, expected, backlog time.Duration) bool {
	late := now.Add(expected).After(profile.TargetTime)
	return late && backlog > maxLateBacklog && now.Before(profile.TargetTime.Add(sendAhead)) && now.Add(expected+deadlineMargin).Before(profile.Deadline)
}

// chooseLongEngines returns the engines without short requests that prefill a prompt soonest and when they will finish,
// or a set that may include engines with short requests if the parts there are small and the prompt is done sooner.
func chooseLongEngines(profile RequestProfile, candidates []candidate) ([]candidate, time.Duration) {
	prefill, hasMemory := profile.PrefillTime(), profile.memoryFilter()
	isFree := func(c *candidate, parts int) bool { return !c.delayedBy(profile) && hasMemory(c, parts) }
	chosen, expected := choosePrefillEngines(prefill, candidates, time.Duration(targetShare*float64(profile.Target)), isFree)
	if len(chosen) > 0 && expected <= time.Duration(spillTargetShare*float64(profile.Target)) {
		return chosen, expected
	}
	canSpill := func(c *candidate, parts int) bool {
		return hasMemory(c, parts) && (!c.delayedBy(profile) || c.total.PendingPrefill+prefill/time.Duration(parts) <= maxSpillPrefill)
	}
	spill, spillExpected := choosePrefillEngines(prefill, candidates, 0, canSpill)
	if len(chosen) == 0 || len(spill) > 0 && spillExpected < expected {
		return spill, spillExpected
	}
	return chosen, expected
}

// delayedBy reports whether an engine has requests that the prefill of a long prompt must not delay: short ones, and those that
// are more urgent than the least urgent prompts.
func (c *candidate) delayedBy(profile RequestProfile) bool {
	return c.total.Short > 0 || c.total.Urgent > 0 && profile.yields() && !profile.urgent()
}

// chooseFallbackEngines returns a few engines that prefill a prompt before a time although they may have short requests,
// those with the fewest of them. The prompt makes some of these late; using few engines limits how many.
func chooseFallbackEngines(profile RequestProfile, candidates []candidate, before time.Duration) ([]candidate, time.Duration) {
	limit := fallbackEngines(profile)
	part := profile.PrefillTime()/time.Duration(limit) + iterationTime
	usable := slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool { return c.pending() >= before-part })
	slices.SortStableFunc(usable, func(a, b candidate) int { return cmp.Compare(a.fallbackCost(), b.fallbackCost()) })
	usable = usable[:min(len(usable), limit)]
	slices.SortStableFunc(usable, func(a, b candidate) int { return cmp.Compare(a.pending(), b.pending()) })
	return choosePrefillEngines(profile.PrefillTime(), usable, 0, profile.memoryFilter())
}

// fallbackCost orders engines with short requests for the prefill of a long prompt. Engines with the fewest short requests are
// also those on which other long prompts already wait, so both count.
func (c *candidate) fallbackCost() time.Duration {
	return c.pending() + time.Duration(c.total.Short)*iterationTime
}

// fallbackEngines returns how many engines with short requests may prefill a prompt: more for a prompt that a few could not
// prefill in its target time.
func fallbackEngines(profile RequestProfile) int {
	needed := maxJointEngines
	if profile.Target > 0 {
		needed = int(math.Ceil(profile.PrefillTime().Seconds() / profile.Target.Seconds()))
	}
	return min(max(minFallbackEngines, needed), maxJointEngines)
}

// sendLong sends a prompt to the chosen engines. The most suitable of them generates the answer.
func (p *Planner) sendLong(profile RequestProfile, chosen []candidate, part, expected time.Duration) Placement {
	tokens, reserved := profile.Prompt+profile.Answer, profile.reserved()
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

// reserved reports whether a prompt needs more memory than one engine has, so that memory must be reserved at several.
func (p RequestProfile) reserved() bool {
	return float64(p.Prompt+p.Answer) > plannedMemoryShare*float64(p.Engine.KVCacheTokens)
}

// memoryFilter returns a function that reports whether an engine has memory for one of a number of equal parts of a
// prompt. A prompt that one engine has memory for needs no reservation, and the function is always true.
func (p RequestProfile) memoryFilter() func(c *candidate, parts int) bool {
	if !p.reserved() {
		return func(*candidate, int) bool { return true }
	}
	return func(c *candidate, parts int) bool { return fits(p, c, (p.Prompt+p.Answer)/int64(parts)+ReserveSlack) }
}

// meanPendingPrefill returns the mean pending prefill of the engines.
func meanPendingPrefill(candidates []candidate) time.Duration {
	var sum time.Duration
	for i := range candidates {
		sum += candidates[i].total.PendingPrefill
	}
	return sum / time.Duration(len(candidates))
}

// hold returns the decision to hold a request.
func hold(reason HoldReason, candidates []candidate, expected time.Duration) Hold {
	return Hold{Reason: reason, Delay: holdInterval, Expected: expected, MeanPending: meanPendingPrefill(candidates)}
}

// placeWithoutEngines decides on a prompt for which no set of engines is available now. engines is the number in
// service, which includes engines that are avoided for a while. The prompt is held as long as it could be done before its deadline
// once the memory that it lacks is free.
func (p *Planner) placeWithoutEngines(now time.Time, profile RequestProfile, candidates []candidate, engines int) Placement {
	tokens := profile.Prompt + profile.Answer
	maxTokens := plannedMemoryShare * float64(profile.Engine.KVCacheTokens) * float64(min(engines, maxJointEngines))
	if float64(tokens) > maxTokens {
		return NoPlacement{Reason: TooLarge, RetryAfter: retryAfterLarge}
	}
	holdReason, reason := HoldMemory, NoMemory
	if hasMemory, _ := choosePrefillEngines(profile.PrefillTime(), candidates, 0, profile.memoryFilter()); len(hasMemory) > 0 {
		holdReason, reason = HoldShort, Overloaded
	}
	wait := p.memoryWait(profile, candidates)
	if profile.Deadline.IsZero() {
		return NoPlacement{Reason: reason, RetryAfter: max(wait, minOverloadedRetry)}
	}
	needed := wait + profile.fastestPrefill() + deadlineMargin
	if over := now.Add(needed).Sub(profile.Deadline); over > 0 {
		return NoPlacement{Reason: reason, RetryAfter: max(wait, over, minOverloadedRetry)}
	}
	return hold(holdReason, candidates, wait)
}

// memoryWait returns the time until engines have memory for a prompt, if the requests that they serve end evenly over the
// time that long ones have taken lately.
func (p *Planner) memoryWait(profile RequestProfile, candidates []candidate) time.Duration {
	used := make([]int64, 0, len(candidates))
	for i := range candidates {
		used = append(used, candidates[i].total.Memory)
	}
	slices.Sort(used)
	used = used[:min(len(used), maxJointEngines)]
	limit := int64(plannedMemoryShare * float64(profile.Engine.KVCacheTokens))
	missing := profile.Prompt + profile.Answer + int64(len(used))*ReserveSlack
	var sum int64
	for _, u := range used {
		missing -= limit - u
		sum += u
	}
	if missing <= 0 || sum == 0 {
		return 0
	}
	return scale(p.longTime, min(float64(missing)/float64(sum), 1))
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
		finish := chosen[n-1].pending() + part + iterationTime
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
