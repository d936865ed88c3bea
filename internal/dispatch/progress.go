package dispatch

import (
	"time"

	"berylward.example/berylward/internal/route"
)

// progressWindow is how recently a backend server must have made progress to count as alive; it covers a long
// iteration.
const progressWindow = 600 * time.Millisecond

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
	return total.PendingPrefill + time.Duration(queued)*queuedRequestCost + iterationTime
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
