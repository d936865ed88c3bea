package dispatch

import (
	"time"

	"berylward.example/berylward/internal/route"
)

// progressWindow is how recently a backend server must have made progress to count as alive; it covers a long
// iteration.
const progressWindow = 600 * time.Millisecond

// prefillSilenceFactor allows for predictions of prefill that are too short. A larger factor delays the detection of an engine that
// died with long prompts.
const prefillSilenceFactor = 1.5

// MadeProgress reports whether any request of this gateway at the backend server of a placed request made progress
// recently. Such a backend server is busy rather than dead.
func (p *Planner) MadeProgress(now time.Time, id PlacementID) bool {
	r := p.requests[id]
	return r != nil && now.Sub(r.servers[0].lastProgress) < progressWindow
}

// ExpectedWait returns how long a placed request, whose prompt is not prefilled yet, probably waits in all for its first event,
// by the present load of its engine from all gateways. It is zero if the request has had an event, and if this or another
// gateway avoids the engine because of failures.
func (p *Planner) ExpectedWait(now time.Time, id PlacementID, engine *route.Engine) time.Duration {
	r := p.requests[id]
	if r == nil || r.prefillDone {
		return 0
	}
	total, avoided := p.groupLoad(now, r.servers[0])
	if avoided {
		return 0
	}
	queued := max(total.Short+total.Long-engine.Slots, 0)
	return scale(total.PendingPrefill+time.Duration(queued)*queuedRequestCost+iterationTime, p.slowness(now, r.servers[0]))
}

// IsPrefilling reports whether the prompts that the engine of a placed request has to prefill, from all gateways, explain how long
// this gateway has had no event from it: an iteration of an engine that also generates answers prefills up to some seconds of
// prompts, and all its streams pause meanwhile. It is false while the request's own prompt is not prefilled, see ExpectedWait, and
// if this or another gateway avoids the engine because of failures.
func (p *Planner) IsPrefilling(now time.Time, id PlacementID) bool {
	r := p.requests[id]
	if r == nil || !r.prefillDone {
		return false
	}
	st := r.servers[0]
	total, avoided := p.groupLoad(now, st)
	if avoided {
		return false
	}
	explained := time.Duration(prefillSilenceFactor * p.slowness(now, st) * float64(total.PendingPrefill+iterationTime))
	return now.Sub(st.lastProgress) < explained
}

// groupLoad returns the load of a backend server from all gateways, and reports whether one of them avoids it because of
// failures.
func (p *Planner) groupLoad(now time.Time, st *serverState) (Load, bool) {
	total, avoided := st.own, now.Before(st.avoidUntil)
	if peer := p.peerLoads[st.key]; peer != nil {
		total.add(peer.sum, 1)
		avoided = avoided || peer.avoided(now)
	}
	return total, avoided
}
