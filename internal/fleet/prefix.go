package fleet

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"berylward.example/berylward/pkg/answer"
)

const (
	// PrefixBlock is the size in bytes of the blocks at whose ends prefixes are hashed. 4 KiB is about 1,000 tokens,
	// the length of the shortest prompts. Routing gains nothing from shorter common prefixes.
	PrefixBlock = 4 << 10
	// MaxPrefixHashes limits the chain of prefix hashes in an offer to 512 bytes. The first 16 hashes are one block
	// apart; after them, there are eight hashes for each doubling of the length. 64 hashes thus reach 4 MiB (about a
	// million tokens), and the length of a shared prefix is known to within 1/8.
	MaxPrefixHashes = 64

	denseHashes       = 16
	hashesPerDoubling = 8
)

// PrefixBytes returns the number of prompt bytes that the hash at index i of PrefixHashes covers.
func PrefixBytes(i int) int { return prefixBlocks(i) * PrefixBlock }

func prefixBlocks(i int) int {
	if i < denseHashes {
		return i + 1
	}
	i -= denseHashes
	base := denseHashes << (i / hashesPerDoubling)
	return base + (i%hashesPerDoubling+1)*(base/hashesPerDoubling)
}

// PrefixHashes returns the xxhash64 digests of increasingly long prefixes of a prompt; PrefixBytes gives their
// lengths. Prompts with a common prefix have a common start of the chain.
func PrefixHashes(prompt []byte) []uint64 {
	var hashes []uint64
	d := xxhash.New()
	done := 0
	for i := range MaxPrefixHashes {
		end := PrefixBytes(i)
		if end > len(prompt) {
			break
		}
		_, _ = d.Write(prompt[done:end])
		done = end
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

const (
	// maxTrackedPrefixes limits the memory for prefix records to about 4 MB: 250 different prompts of the maximum
	// length, or thousands of shorter ones.
	maxTrackedPrefixes = 16384
	// holdersPerPrefix is the number of workers recorded for a prefix.
	holdersPerPrefix = 4
	// cacheHalfLife is the half-life of the confidence in a record. Caches evict entries without timely notice.
	cacheHalfLife = 10 * time.Minute
	// grantedConfidence applies while the prefill may still be running.
	grantedConfidence = 0.7
	// eventConfidence applies after a cache event, which may be late.
	eventConfidence = 0.8
	// evictedFactor lowers the confidence after an eviction event. The record is kept, because the event may be older
	// than the latest use.
	evictedFactor = 0.3
	// gapFactor lowers a worker's cache accuracy when cache events were lost.
	gapFactor = 0.8
	// minConfidence is the least confidence at which Choose uses a record.
	minConfidence = 0.3
	// accuracyGain is the weight of one finished request in a worker's cache accuracy. minAccuracy limits the
	// decrease, so that a worker can regain its accuracy.
	accuracyGain = 0.2
	minAccuracy  = 0.2
)

type holder struct {
	worker     *worker
	cacheEpoch uint32
	updated    time.Time
	confidence float64
}

// holders are the workers recorded as holding one prefix.
type holders [holdersPerPrefix]holder

func (h *holder) currentConfidence(now time.Time) float64 {
	if h.worker == nil || h.cacheEpoch != h.worker.cacheEpoch {
		return 0
	}
	age := max(now.Sub(h.updated), 0)
	return h.confidence * h.worker.cacheAccuracy * math.Exp2(-float64(age)/float64(cacheHalfLife))
}

// recordPrefixes records that a worker holds all prefixes of a chain.
func (v *View) recordPrefixes(now time.Time, w *worker, chain []uint64, confidence float64) {
	for _, hash := range chain {
		h, ok := v.prefixHolders.Get(hash)
		if !ok {
			h = &holders{}
			v.prefixHolders.Add(hash, h)
		}
		h.update(now, w, confidence)
	}
}

// update replaces the worker's own record, or else the one with the least confidence.
func (h *holders) update(now time.Time, w *worker, confidence float64) {
	least := 0
	for i := range h {
		if h[i].worker == w {
			least = i
			if h[i].cacheEpoch == w.cacheEpoch {
				confidence = max(confidence, h[i].confidence)
			}
			break
		}
		if h[i].currentConfidence(now) < h[least].currentConfidence(now) {
			least = i
		}
	}
	h[least] = holder{worker: w, cacheEpoch: w.cacheEpoch, updated: now, confidence: confidence}
}

// PrefixCached records an event: a worker's cache stored a prefix.
func (v *View) PrefixCached(now time.Time, name string, hash uint64) {
	if w := v.workers[name]; w != nil {
		v.recordPrefixes(now, w, []uint64{hash}, eventConfidence)
	}
}

// PrefixEvicted records an event: a worker's cache evicted a prefix.
func (v *View) PrefixEvicted(_ time.Time, name string, hash uint64) {
	w := v.workers[name]
	h, ok := v.prefixHolders.Peek(hash)
	if w == nil || !ok {
		return
	}
	for i := range h {
		if h[i].worker == w {
			h[i].confidence *= evictedFactor
		}
	}
}

// CacheGap records that cache events of a worker were lost.
func (v *View) CacheGap(_ time.Time, name string) {
	if w := v.workers[name]; w != nil {
		w.cacheAccuracy = max(w.cacheAccuracy*gapFactor, minAccuracy)
	}
}

// expectedHitShare returns the share of the chain's bytes that the worker is expected to have cached.
func (v *View) expectedHitShare(now time.Time, w *worker, chain []uint64) float64 {
	for i := len(chain) - 1; i >= 0; i-- {
		h, ok := v.prefixHolders.Peek(chain[i])
		if !ok {
			continue
		}
		for j := range h {
			if h[j].worker == w && h[j].currentConfidence(now) >= minConfidence {
				return float64(prefixBlocks(i)) / float64(prefixBlocks(len(chain)-1))
			}
		}
	}
	return 0
}

// updateAccuracy compares the expected share of cached tokens with the share that the engine reported.
func (w *worker) updateAccuracy(expected float64, usage answer.Usage) {
	if expected <= 0 || usage.PromptTokens <= 0 {
		return
	}
	actual := float64(usage.CachedTokens) / float64(usage.PromptTokens)
	w.cacheAccuracy += accuracyGain * (min(actual/expected, 1) - w.cacheAccuracy)
	w.cacheAccuracy = max(w.cacheAccuracy, minAccuracy)
}
