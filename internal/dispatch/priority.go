package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"berylward.example/berylward/internal/route"
)

const (
	// rankedSendAhead takes the place of sendAhead for prompts that are less urgent than others. What has been sent cannot be
	// overtaken, and a more urgent prompt has to find an engine free within its target time.
	rankedSendAhead = 500 * time.Millisecond
	// urgencyShort and urgencyLong are the priorities of prompts in the queues of engines, if the requests of the service are not
	// ranked.
	urgencyShort = 2
	urgencyLong  = 5
	// minEnginesLeft keeps predictions finite when more urgent requests take all engines.
	minEnginesLeft = 0.5
	// urgentLoad is the share of their time for which engines that are left to more urgent long prompts prefill these. With more, the
	// prompts wait for each other beyond their target times.
	urgentLoad = 0.5
	// maxRunning is the largest number of entries in a report of running short prompts.
	maxRunning = 8
)

// RunningShort is how many short prompts of one rank for a service a gateway has sent that have not ended.
type RunningShort struct {
	Service  Key
	Rank     route.Rank
	Requests int
}

// runningShort returns the report of this gateway, the most urgent prompts first.
func (q *longQueue) runningShort() []RunningShort {
	running := make([]RunningShort, 0, len(q.running))
	for key, n := range q.running {
		running = append(running, RunningShort{Service: key.service, Rank: key.rank, Requests: n})
	}
	slices.SortFunc(running, func(a, b RunningShort) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Service, b.Service))
	})
	return running[:min(len(running), maxRunning)]
}

// RunningShort returns the short prompts that all gateways have sent for a service and that have not ended, by rank, the most
// urgent first. It returns none if the requests of the service are not ranked.
func (p *Planner) RunningShort(now time.Time, service Key) []RunningShort {
	p.expirePeers(now)
	byRank := map[route.Rank]int{}
	for key, n := range p.queue.running {
		if key.service == service {
			byRank[key.rank] += n
		}
	}
	for _, peer := range p.queue.peers {
		for _, r := range peer.running {
			if r.Service == service {
				byRank[r.Rank] += r.Requests
			}
		}
	}
	running := make([]RunningShort, 0, len(byRank))
	for _, rank := range slices.Sorted(maps.Keys(byRank)) {
		running = append(running, RunningShort{Service: service, Rank: rank, Requests: byRank[rank]})
	}
	return running
}

// endShort records that a short prompt has ended.
func (q *longQueue) endShort(r *placedRequest) {
	if !r.urgent {
		return
	}
	key := workKey{r.service, r.rank}
	if q.running[key]--; q.running[key] <= 0 {
		delete(q.running, key)
	}
}

// urgentShort returns how many short prompts that are more urgent than a request all gateways have sent for its service.
func (q *longQueue) urgentShort(profile RequestProfile) int {
	sum := 0
	for key, n := range q.running {
		if key.service == profile.Service && key.rank < profile.Rank {
			sum += n
		}
	}
	for _, peer := range q.peers {
		for _, r := range peer.running {
			if r.Service == profile.Service && r.Rank < profile.Rank {
				sum += r.Requests
			}
		}
	}
	return sum
}

// urgentWork is what long prompts of other ranks than that of a request take of the engines that it may use.
type urgentWork struct {
	// engines is the number of engines that prompts which are more urgent have taken lately.
	engines float64
	// pending is the prefill of prompts of other ranks that has been sent and is probably not done.
	pending time.Duration
}

func (p *Planner) urgentWork(now time.Time, profile RequestProfile) urgentWork {
	var u urgentWork
	add := func(w LongWork) {
		// The least urgent prompts and the others use different engines.
		sameEngines := (w.Rank < profile.Ranks.Least) == profile.urgent()
		if w.Service != profile.Service || w.Rank == profile.Rank || !sameEngines {
			return
		}
		u.pending += w.Pending
		if w.Rank < profile.Rank {
			u.engines += w.Admitted.Total().Seconds() / workMemory.Seconds()
		}
	}
	for key, w := range p.queue.work {
		w.forget(now)
		add(LongWork{Service: key.service, Rank: key.rank, Admitted: w.admitted, Pending: p.pendingLong(now, key)})
	}
	for _, peer := range p.queue.peers {
		for _, w := range peer.work {
			add(w)
		}
	}
	return u
}

// urgent reports whether other requests for the service are less urgent.
func (p RequestProfile) urgent() bool { return p.Ranks.Ranked() && p.Rank < p.Ranks.Least }

// yields reports whether other requests for the service are more urgent.
func (p RequestProfile) yields() bool { return p.Ranks.Ranked() && p.Rank > p.Ranks.Most }

// EngineUrgency returns the priority of the prompt in the queue of its engine, 0 to 9; 0 is the most urgent. Short prompts go first, and
// more urgent prompts before the least urgent ones.
func (p RequestProfile) EngineUrgency() int {
	least := p.Ranks.Ranked() && !p.urgent()
	switch {
	case p.Short() && !least:
		return urgencyShort
	case p.urgent():
		return urgencyLong - 1
	case least && !p.Short():
		return urgencyLong + 1
	}
	return urgencyLong
}

// sendAhead returns the prefill that engines may have before them when the prompt is sent.
func (p RequestProfile) sendAhead() time.Duration {
	if p.yields() {
		return rankedSendAhead
	}
	return sendAhead
}

// room is the part of the engines that a long prompt may use.
type room struct {
	// usable are the engines that it may use, preferred those of them that less urgent prompts leave to it.
	usable, preferred []candidate
	// engines is how many engines it may rely on.
	engines int
}

// roomFor returns the room that more urgent requests leave to a long prompt. Engines stay free for short prompts that are more
// urgent, and further ones for long prompts that are more urgent. All gateways leave the same engines, so that these are soon free.
// The order of the candidates is kept.
func (p *Planner) roomFor(now time.Time, profile RequestProfile, candidates []candidate) room {
	if !profile.yields() {
		return room{usable: candidates, engines: len(candidates)}
	}
	e := groupEngines(candidates)
	leftShort := min(max(p.enginesForShort(profile)-e.withShort, 0), len(e.free))
	leftLong := min(max(p.enginesForLong(now, profile)-e.withLong, 0), len(e.free)-leftShort)
	forShort, forLong := e.free[:leftShort], e.free[leftShort:leftShort+leftLong]
	r := room{engines: max(len(e.free)-leftShort-leftLong, 1)}
	r.usable = slices.DeleteFunc(slices.Clone(candidates), func(c candidate) bool {
		return slices.Contains(forShort, c.state.key) || !profile.urgent() && slices.Contains(forLong, c.state.key)
	})
	if profile.urgent() {
		r.engines += leftLong + e.withLong
		r.preferred = slices.DeleteFunc(slices.Clone(r.usable), func(c candidate) bool {
			return c.total.Short > 0 || c.total.Urgent == 0 && !slices.Contains(forLong, c.state.key)
		})
	}
	return r
}

// enginesInUse groups the engines of a service whose requests are ranked.
type enginesInUse struct {
	// withShort have short prompts, withLong only long ones, some of which are more urgent than others.
	withShort, withLong int
	// free are the keys of the others in an order that all gateways share.
	free []Key
}

func groupEngines(candidates []candidate) enginesInUse {
	var e enginesInUse
	for i := range candidates {
		switch c := &candidates[i]; {
		case c.total.Short > 0:
			e.withShort++
		case c.total.Urgent > 0:
			e.withLong++
		default:
			e.free = append(e.free, c.state.key)
		}
	}
	slices.Sort(e.free)
	return e
}

// enginesForShort returns how many engines the short prompts that are more urgent than a long one need: those that run, and as many
// more as arrive while a part of a prompt is prefilled.
func (p *Planner) enginesForShort(profile RequestProfile) int {
	growth := 1 + maxPart.Seconds()/p.shortTime.Seconds()
	perEngine := packSlotShare * float64(max(profile.Engine.Slots, 1))
	return int(math.Ceil(float64(p.queue.urgentShort(profile)) * growth / perEngine))
}

// enginesForLong returns how many engines the long prompts need that are more urgent than the least urgent ones.
func (p *Planner) enginesForLong(now time.Time, profile RequestProfile) int {
	return int(math.Ceil(p.urgentEngines(now, profile.Service, profile.Ranks.Least) / urgentLoad))
}

// urgentEngines returns how many engines the long prompts for a service that are more urgent than a rank have kept busy lately.
func (p *Planner) urgentEngines(now time.Time, service Key, rank route.Rank) float64 {
	var admitted time.Duration
	for key, w := range p.queue.work {
		if key.service == service && key.rank < rank {
			w.forget(now)
			admitted += w.admitted.Total()
		}
	}
	for _, peer := range p.queue.peers {
		for _, w := range peer.work {
			if w.Service == service && w.Rank < rank {
				admitted += w.Admitted.Total()
			}
		}
	}
	return admitted.Seconds() / workMemory.Seconds()
}
