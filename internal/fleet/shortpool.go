package fleet

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// minWorkersForPool is the least number of available workers from which a pool for short requests is set aside.
	// With fewer workers, a pool of one would leave too few for the other requests.
	minWorkersForPool = 4
	// poolHeadroom multiplies the short requests' share of the tokens to give the pool's share of the workers. Short
	// requests spend most of their time on decoding, which the tokens of their prompts do not show. With a factor of
	// 2, short requests slowed each other as much as a prefill did.
	poolHeadroom = 4
	// maxPoolShare limits the pool to the share that the declarations reserve for short requests by default.
	maxPoolShare = 0.25
	// spillThreshold is how much lower, in windows, the load of a worker outside the pool must be before a short
	// request leaves the pool. A lower threshold sent short requests to workers where prefills slowed them more than
	// a full pool does.
	spillThreshold = 1.0
	// shareDecay is the factor by which one request reduces the weight of earlier ones in the learned share. It
	// covers about a thousand requests, because one long request in 50 accounts for most of the tokens.
	shareDecay = 0.999
)

// shortTokenShare estimates which share of all tokens belongs to short requests.
type shortTokenShare struct{ shortTokens, totalTokens float64 }

func (s *shortTokenShare) observe(req Request) {
	if req.Model == "" {
		return
	}
	s.shortTokens *= shareDecay
	s.totalTokens = s.totalTokens*shareDecay + float64(req.Tokens)
	if req.Short {
		s.shortTokens += float64(req.Tokens)
	}
}

// poolSize returns how many of n workers are in the short pool: none when short requests need less than half a
// worker. The result is rounded up, because the learned share depends on the few long requests, and a pool that is
// too small slows every short request.
func (s *shortTokenShare) poolSize(n int) int {
	if s.totalTokens == 0 {
		return 0
	}
	wanted := poolHeadroom * s.shortTokens / s.totalTokens * float64(n)
	if wanted < 0.5 {
		return 0
	}
	return min(int(math.Ceil(wanted)), int(maxPoolShare*float64(n)))
}

// restrictToPool keeps only the candidates inside the short pool for a short request, and only those outside it for any
// other request. It keeps all candidates when none would remain. For a short request, it also keeps all of them when
// the load of a candidate outside the pool is lower than every load inside it by more than spillThreshold. The pool is
// the first workers in the rendezvous order of the model, so that entries with the same workers agree without
// communicating.
//
// The pool exists because a prefill slows every stream of its engine, whatever the priorities are: the engine
// prefills a chunk in each step, and all streams wait for the step. Longer requests use the pool only when all other
// workers have refused them. Full memory is common at high load, so the fullness does not show whether a request
// could wait at another worker instead.
func (v *View) restrictToPool(req Request) {
	if req.Model == "" {
		return
	}
	v.shortPool = v.shortPool[:0]
	for _, w := range v.linked[target{false, req.Model}] {
		if v.available(w) {
			v.shortPool = append(v.shortPool, w)
		}
	}
	if len(v.shortPool) < minWorkersForPool {
		return
	}
	hash := xxhash.Sum64String(req.Model)
	slices.SortFunc(v.shortPool, func(a, b *worker) int { return cmp.Compare(hrwWeight(hash, b.nameHash), hrwWeight(hash, a.nameHash)) })
	v.shortPool = v.shortPool[:v.shortShare.poolSize(len(v.shortPool))]
	keptMin, otherMin, kept := math.Inf(1), math.Inf(1), 0
	for i, w := range v.candidates {
		if slices.Contains(v.shortPool, w) == req.Short {
			keptMin, kept = min(keptMin, v.candidateLoads[i]), kept+1
		} else {
			otherMin = min(otherMin, v.candidateLoads[i])
		}
	}
	if kept == 0 || req.Short && keptMin > otherMin+spillThreshold {
		return
	}
	next := 0
	for i, w := range v.candidates {
		if slices.Contains(v.shortPool, w) != req.Short {
			w.candidateSeq = 0
			continue
		}
		w.candidateIndex = next
		v.candidates[next], v.candidateLoads[next] = w, v.candidateLoads[i]
		next++
	}
	v.candidates, v.candidateLoads = v.candidates[:next], v.candidateLoads[:next]
}
