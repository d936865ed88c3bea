package fleet

import (
	"slices"
	"time"

	"berylward.example/berylward/pkg/answer"
)

const (
	// minAffinityBlocks is the length in blocks from which a prompt is routed by prefix. For shorter prompts a
	// prefill costs less than the uneven load that affinity causes.
	minAffinityBlocks = 2
	// loadBound and loadSlack limit the load of a worker that is chosen by prefix. Requests for a popular prefix move
	// to the next worker when the load exceeds loadBound times the mean plus loadSlack windows. The slack keeps
	// affinity in effect when the fleet is idle.
	loadBound = 1.25
	loadSlack = 0.1
	// unseenHitShare is the share of a prompt expected to be cached at the worker that rendezvous hashing selects
	// when this entry has no record of the prefix: other entries select the same worker.
	unseenHitShare = 0.5
	// Penalties, in windows. A worker in another zone adds 1.5 ms, which matters only between nearly equal loads. A
	// worker in another region is used when its load is lower by half a window. A worker whose model is not warm has
	// to load it first.
	zonePenalty   = 0.05
	regionPenalty = 0.5
	coldPenalty   = 1
	// linkWait is how long a request waits while a link is being established, or an isolated request while every worker
	// that could take it runs another one.
	linkWait = 250 * time.Millisecond
	// queueWait is how long a request waits in the single-queue baseline. The caller chooses again earlier if an
	// attempt ends.
	queueWait = 20 * time.Millisecond
)

// Choose returns the next step for a request. It selects only workers that are linked, in service, not draining, not
// down and not yet tried. It records nothing: the caller reports a sent offer with Sent.
func (v *View) Choose(now time.Time, req Request) Choice {
	if req.SuspectState == Quarantined {
		return Reject{answer.ReasonQuarantined}
	}
	if !req.Deadline.IsZero() && !now.Before(req.Deadline) {
		return Reject{answer.ReasonDeadline}
	}
	v.rebuildIndex()
	t := target{false, req.Model}
	if req.Service != "" {
		t = target{true, req.Service}
	}
	if v.served[t] == 0 {
		return Reject{answer.ReasonNotServed}
	}
	nextFree, untried := v.collectCandidates(now, t, req)
	if len(v.candidates) > 0 {
		return v.applyPolicy(now, req)
	}
	if untried > 0 {
		return waitOrReject(req, nextFree, answer.ReasonOverloaded)
	}
	if v.hasUnlinkedWorker(t, req) {
		return waitOrReject(req, now.Add(linkWait), answer.ReasonNoWorker)
	}
	return Reject{answer.ReasonNoWorker}
}

func waitOrReject(req Request, until time.Time, reason answer.Reason) Choice {
	if !req.Deadline.IsZero() && !until.Before(req.Deadline) {
		return Reject{reason}
	}
	return Wait{until}
}

// collectCandidates fills v.candidates and v.candidateLoads. It returns the number of available workers that were not
// tried yet, and, of those that must not be asked now, the earliest time at which one may be asked.
func (v *View) collectCandidates(now time.Time, t target, req Request) (nextFree time.Time, untried int) {
	v.chooseSeq++
	v.candidates, v.candidateLoads = v.candidates[:0], v.candidateLoads[:0]
	mean := v.fleetMean.value()
	for _, w := range v.linked[t] {
		if !v.available(w) || slices.Contains(req.TriedWorkers, w.Name) {
			continue
		}
		untried++
		until := time.Time{}
		if w.load.blocked(now, req.Tokens) {
			until = w.load.notBefore
		} else if req.SuspectState == Isolated && w.inflight.isolated > 0 {
			until = now.Add(linkWait)
		}
		if !until.IsZero() {
			if nextFree.IsZero() || until.Before(nextFree) {
				nextFree = until
			}
			continue
		}
		w.candidateSeq, w.candidateIndex = v.chooseSeq, len(v.candidates)
		v.candidates = append(v.candidates, w)
		v.candidateLoads = append(v.candidateLoads, w.estimate(now, mean))
	}
	return nextFree, untried
}

// hasUnlinkedWorker reports whether the subset contains an untried worker in service that serves the target and has
// no link yet.
func (v *View) hasUnlinkedWorker(t target, req Request) bool {
	for _, name := range v.Subset() {
		w := v.workers[name]
		if w == nil || w.linked || !v.inService(w.Instance) || slices.Contains(req.TriedWorkers, name) {
			continue
		}
		if t.service && w.Service == t.name || !t.service && slices.Contains(w.Models, t.name) {
			return true
		}
	}
	return false
}

func (v *View) applyPolicy(now time.Time, req Request) Choice {
	switch p := v.policy.(type) {
	case Affinity:
		v.restrictToPool(req)
		if w := v.chooseByPrefix(now, req); w != nil {
			return SendOffer{w.Name}
		}
		if req.Short {
			// Reports lag behind short requests, so only the entry's own count of attempts keeps it from sending
			// several of them to the same worker.
			return SendOffer{v.fewestAttempts().Name}
		}
		return SendOffer{v.chooseByLoad(req).Name}
	case Random:
		return SendOffer{v.candidates[v.random.IntN(len(v.candidates))].Name}
	case RoundRobin:
		v.roundRobinNext++
		return SendOffer{v.candidates[v.roundRobinNext%uint64(len(v.candidates))].Name}
	case LeastRequests:
		return SendOffer{v.fewestAttempts().Name}
	case SingleQueue:
		w := v.fewestAttempts()
		if w.inflight.attempts >= max(p.Depth, 1) {
			return waitOrReject(req, now.Add(queueWait), answer.ReasonOverloaded)
		}
		return SendOffer{w.Name}
	}
	return Reject{answer.ReasonInternal}
}

// fewestAttempts returns the candidate with the fewest attempts in flight. The scan starts at a random index, so that
// ties are broken evenly.
func (v *View) fewestAttempts() *worker {
	start := v.random.IntN(len(v.candidates))
	best := v.candidates[start]
	for i := range v.candidates {
		if w := v.candidates[(start+i)%len(v.candidates)]; w.inflight.attempts < best.inflight.attempts {
			best = w
		}
	}
	return best
}

// chooseByLoad takes two random candidates at or below the mean load and returns the cheaper one. Comparing two
// instead of all keeps entries with the same stale estimates from choosing the same worker. For the same reason the
// two are drawn from all candidates when fewer than a quarter are at or below the mean, for example after one idle
// worker has joined.
func (v *View) chooseByLoad(req Request) *worker {
	mean := v.meanLoad()
	v.lightlyLoaded = v.lightlyLoaded[:0]
	for i, l := range v.candidateLoads {
		if l <= mean {
			v.lightlyLoaded = append(v.lightlyLoaded, i)
		}
	}
	if len(v.lightlyLoaded) < 2 || len(v.lightlyLoaded)*4 < len(v.candidates) {
		v.lightlyLoaded = v.lightlyLoaded[:0]
		for i := range v.candidates {
			v.lightlyLoaded = append(v.lightlyLoaded, i)
		}
	}
	n := len(v.lightlyLoaded)
	i := v.random.IntN(n)
	if n == 1 {
		return v.candidates[v.lightlyLoaded[i]]
	}
	j := v.random.IntN(n - 1)
	if j >= i {
		j++
	}
	a, b := v.lightlyLoaded[i], v.lightlyLoaded[j]
	if v.cost(b, req) < v.cost(a, req) {
		a = b
	}
	return v.candidates[a]
}

func (v *View) meanLoad() float64 {
	sum := 0.0
	for _, l := range v.candidateLoads {
		sum += l
	}
	return sum / float64(len(v.candidateLoads))
}

func (v *View) cost(i int, req Request) float64 {
	w, cost := v.candidates[i], v.candidateLoads[i]
	switch {
	case w.Zone == v.self.Zone:
	case w.Region == v.self.Region:
		cost += zonePenalty
	default:
		cost += regionPenalty
	}
	if req.Model != "" && w.warmModels != nil && !slices.Contains(w.warmModels, req.Model) {
		cost += coldPenalty
	}
	return cost
}

// chooseByPrefix returns the candidate for the prompt's prefix. It returns nil when the prompt is too short, or when
// every candidate is above the load bound or has more work waiting than the cached prefix would save.
//
// The candidate recorded as holding the deepest prefix comes first. Without one, rendezvous hashing over one
// hash of the chain decides, so that all entries agree without communicating. That hash is the one at the largest
// power of two of blocks, at most 16. Text appended to a long prompt does not change it, and 16 blocks distinguish
// prompts that share only their instructions.
func (v *View) chooseByPrefix(now time.Time, req Request) *worker {
	if len(req.Prefix) < minAffinityBlocks {
		return nil
	}
	bound := loadBound*v.meanLoad() + loadSlack
	lowest := slices.Min(v.candidateLoads)
	depth := 1
	for depth*2 <= min(len(req.Prefix), denseHashes) {
		depth *= 2
	}
	// A recorded prefix of less than half that depth most likely covers only shared instructions.
	for i := len(req.Prefix) - 1; i >= 0 && prefixBlocks(i)*2 >= depth; i-- {
		if w := v.likeliestHolder(now, req, i, bound, lowest); w != nil {
			return w
		}
	}
	var best *worker
	var score uint64
	for i, w := range v.candidates {
		if v.candidateLoads[i] > bound || v.candidateLoads[i] > lowest+unseenHitShare*w.prefillSaved(req, len(req.Prefix)-1) {
			continue
		}
		if weight := hrwWeight(req.Prefix[depth-1], w.nameHash); best == nil || weight > score {
			best, score = w, weight
		}
	}
	return best
}

// prefillSaved returns how much prefill, in windows, is saved when the prefix up to index i is cached.
func (w *worker) prefillSaved(req Request, i int) float64 {
	share := float64(prefixBlocks(i)) / float64(prefixBlocks(len(req.Prefix)-1))
	return share * float64(req.Tokens) / w.load.windowTokens()
}

// likeliestHolder returns the candidate that most probably holds the prefix up to index i. It ignores candidates above
// the load bound, and those whose load exceeds the lowest load by more than the prefill saved. It returns nil when none
// is left.
func (v *View) likeliestHolder(now time.Time, req Request, i int, bound, lowest float64) *worker {
	h, ok := v.prefixHolders.Get(req.Prefix[i])
	if !ok {
		return nil
	}
	var best *worker
	score := minConfidence
	for j := range h {
		w := h[j].worker
		if w == nil || w.candidateSeq != v.chooseSeq || v.candidateLoads[w.candidateIndex] > min(bound, lowest+w.prefillSaved(req, i)) {
			continue
		}
		if s := h[j].currentConfidence(now); s >= score {
			best, score = w, s
		}
	}
	return best
}
