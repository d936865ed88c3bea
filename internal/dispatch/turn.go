package dispatch

import (
	"cmp"
	"slices"
	"time"

	"berylward.example/berylward/internal/route"
)

const (
	// sendAhead is the prefill that engines may have before them when a long prompt is sent, each on average. It covers
	// the time until gateways hear of the prefill that is done and send more. What has been sent keeps its place, so with a
	// longer sendAhead prompts wait behind others that should go after them.
	sendAhead = 1500 * time.Millisecond
	// minOverloadedRetry is the shortest delay that is suggested to the caller of a request refused for lack of capacity.
	// Predictions are off by most of a second, so a caller that returns sooner would often be refused again.
	minOverloadedRetry = time.Second
)

// arrivedAt returns when the request arrived.
func (p RequestProfile) arrivedAt() time.Time { return p.TargetTime.Add(-p.Target) }

// turn is the place of a long prompt among those that all gateways hold, and when it may be sent.
type turn struct {
	// ahead is the prefill that engines have before them and that of held prompts that go first; the prompt is sent when it
	// is at most allowed.
	ahead, allowed time.Duration
	// wait is the predicted time until then.
	wait time.Duration
	// drain is the time in which the engines do what goes first now. Unlike wait, it does not count what will arrive.
	drain time.Duration
}

// due reports whether the prompt may be sent.
func (t turn) due() bool { return t.ahead <= t.allowed }

// view returns the turn for logs.
func (t turn) view() QueueView { return QueueView{Ahead: t.ahead, Allowed: t.allowed, Wait: t.wait} }

// queuedPrompt is a held prompt in the order of sending.
type queuedPrompt struct {
	arrivedAt time.Time
	prefill   time.Duration
	rank      route.Rank
	// own is set for the prompt whose turn is looked for.
	own bool
	// service is the prefill of prompts of its length that has been sent or goes first, this one included, as a share of what
	// was admitted.
	service float64
	// workspace is 0, and got too, if the requests for the service are not ranked; got is the engine time that the workspace will
	// have got lately when the prompt is sent.
	workspace Key
	got       time.Duration
}

// turn returns the turn of a long prompt at a number of engines.
//
// Engine time is shared among the lengths of prompts in proportion to what is admitted of each, and prompts of one length go in
// the order of arrival: the prompt goes first whose length has got, with it, the smallest part of what was admitted. So neither
// longer nor shorter prompts can take the engine time of the others, however many there are. While all can be served this is
// close to the order of arrival.
//
// Where requests are ranked, the rank goes before this order, and within a rank the workspace that has got the least engine time.
func (p *Planner) turn(now time.Time, profile RequestProfile, engines int) turn {
	prefill := profile.PrefillTime()
	work := p.queue.workOf(now, profile.workKey())
	work.Pending += p.pendingLong(now, profile.workKey())
	if profile.HoldID == 0 {
		work.Admitted.Add(prefill, prefill)
	}
	var urgent urgentWork
	if profile.Ranks.Ranked() {
		urgent = p.urgentWork(now, profile)
		work.Pending += urgent.pending
	}
	queued := p.queue.heldFor(profile)
	var older PrefillByLength
	own := sortByService(queued, work)
	var uses map[Key]workspaceUse
	if profile.Ranks.Ranked() {
		uses = p.queue.workspaceUses(now, profile.workKey())
		addHeld(uses, queued, own.rank)
		own.got = sortByWorkspace(queued, uses, own.rank, engines)
	}
	t := turn{ahead: work.Pending, allowed: time.Duration(engines) * profile.sendAhead()}
	for _, q := range queued {
		switch {
		case q.own:
			continue
		case goesFirst(q, own):
			t.ahead += q.prefill
		}
		if q.rank == own.rank && q.workspace == own.workspace && q.arrivedAt.Before(own.arrivedAt) {
			older.Add(q.prefill, q.prefill)
		}
		if q.rank < own.rank {
			work.Pending += q.prefill
		}
	}
	if !t.due() {
		left := float64(engines)
		if profile.urgent() {
			left = max(left-urgent.engines, minEnginesLeft)
		}
		if profile.Ranks.Ranked() {
			older.scale(1 / workspacePart(uses, own.workspace, left)) // The others get their parts meanwhile.
		}
		t.drain = scale(t.ahead-t.allowed, 1/left)
		t.wait = max(t.drain, loadedWait(prefill, work, older, t.allowed, left))
	}
	return t
}

// sortByService sets the service of each queued prompt and returns the prompt whose turn is looked for.
func sortByService(queued []queuedPrompt, work LongWork) queuedPrompt {
	slices.SortFunc(queued, func(a, b queuedPrompt) int {
		return cmp.Or(a.arrivedAt.Compare(b.arrivedAt), compareBool(b.own, a.own), cmp.Compare(a.prefill, b.prefill))
	})
	var own queuedPrompt
	sent := work.Sent
	for i := range queued {
		q := &queued[i]
		if q.rank != work.Rank {
			continue // The rank decides between them.
		}
		sent.Add(q.prefill, q.prefill)
		q.service = float64(sent.near(q.prefill)) / float64(max(work.Admitted.near(q.prefill), 1))
		if q.own {
			own = *q
		}
	}
	return own
}

// goesFirst reports whether a queued prompt is sent before another one. Of one rank, the workspace that has got the least engine
// time goes first.
func goesFirst(q, other queuedPrompt) bool {
	if q.rank != other.rank {
		return q.rank < other.rank
	}
	if q.got != other.got {
		return q.got < other.got
	}
	return q.service < other.service || q.service == other.service && q.arrivedAt.Before(other.arrivedAt)
}

// loadedWait returns the predicted wait of a prompt if prompts of other lengths go on being admitted as lately: its length then has its
// share of the engines, or what the others leave if that is more. older is the prefill of held prompts that arrived earlier.
// Without it, a prompt would be held that those which arrive after it and go first make miss its deadline.
func loadedWait(prefill time.Duration, work LongWork, older PrefillByLength, allowed time.Duration, engines float64) time.Duration {
	total, own := work.Admitted.Total().Seconds(), work.Admitted.near(prefill).Seconds()
	if own == 0 {
		return 0
	}
	share := own / total
	rate := max(share*engines, engines-(total-own)/workMemory.Seconds())
	ahead := older.near(prefill).Seconds() + share*(work.Pending-allowed).Seconds()
	return seconds(max(0, ahead) / rate)
}

// awaitTurn holds a long prompt until its turn, or refuses it, and reports whether it does; otherwise the prompt may be sent.
// expected is the predicted time to its first event if it is sent now.
//
// A prompt that has just arrived is refused if it would probably not be done before its deadline. One that is held keeps its
// place as long as it could be done if it were sent now, and is sent at the latest when its time runs out. Where requests are ranked,
// no prompt is sent out of turn, since more urgent ones or other workspaces would pay for it; it is refused as soon as what goes first
// takes too long.
func awaitTurn(now time.Time, profile RequestProfile, t turn, candidates []candidate, expected time.Duration) (Placement, bool) {
	needed := expected
	if !t.due() && profile.HoldID == 0 {
		needed += t.wait + deadlineMargin
	}
	left := profile.Deadline.Sub(now)
	switch {
	case needed > left:
		return NoPlacement{Reason: Overloaded, RetryAfter: max(needed-left, minOverloadedRetry)}, true
	case t.due(), expected+deadlineMargin > left && !profile.Ranks.Ranked():
		return nil, false
	case profile.Ranks.Ranked() && expected+t.drain > left:
		return NoPlacement{Reason: Overloaded, RetryAfter: max(expected+t.drain-left, minOverloadedRetry)}, true
	}
	return hold(HoldTurn, candidates, expected), true
}
