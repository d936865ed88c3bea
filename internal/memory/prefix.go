package memory

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxPrefixes bounds the memory of the estimator to about 2 MB, which is enough for 250 different prompts of the
	// maximum length.
	maxPrefixes = 16_384
	// initialConfidence is the fraction of an estimate that counts before the engine has confirmed any estimate. A
	// reservation that is too small can cause a rejected request, whereas one that is too large only wastes memory.
	initialConfidence = 0.8
	// confidenceWeight is the weight of one reported usage in the confidence.
	confidenceWeight = 0.2
	// gapConfidenceFactor lowers the confidence when cache events were lost, because one of them may have been an
	// eviction.
	gapConfidenceFactor = 0.8
	// minConfidence keeps estimates above zero. Only an estimate above zero can be confirmed and so raise the
	// confidence.
	minConfidence = 0.2
)

// Prefix is a leading part of a prompt, identified by a hash that the caller computes, and its length in tokens.
type Prefix struct {
	Hash   uint64
	Tokens int64
}

// CacheChange is one event of an engine's prefix cache. Events identify blocks by hashes that only the engine can
// compute. An event therefore does not say which prompt it concerns, only how much of the cache has changed. It is a
// sealed interface: BlocksStored, BlocksEvicted and CacheCleared are its only implementations.
//
//sumtype:decl
type CacheChange interface{ sequence() uint64 }

// BlocksStored means that this number of blocks was added to the cache.
type BlocksStored struct {
	Sequence uint64
	Blocks   int64
}

// BlocksEvicted means that this number of blocks was evicted from the cache.
type BlocksEvicted struct {
	Sequence uint64
	Blocks   int64
}

// CacheCleared means that the cache was emptied.
type CacheCleared struct{ Sequence uint64 }

func (c BlocksStored) sequence() uint64  { return c.Sequence }
func (c BlocksEvicted) sequence() uint64 { return c.Sequence }
func (c CacheCleared) sequence() uint64  { return c.Sequence }

// PrefixEstimator estimates which prefixes an engine has in its cache. It uses the prompts that the engine ran, the
// usage that it reported and the events of its cache. The number of prefixes is bounded, and an estimate may be too
// high or too low.
type PrefixEstimator struct {
	lru          *simplelru.LRU[uint64, struct{}]
	confidence   float64
	incarnation  string
	lastSequence uint64
	// cachedBlocks is the number of cached blocks according to the events.
	cachedBlocks int64
}

// NewPrefixEstimator returns an estimator without prefixes.
func NewPrefixEstimator() *PrefixEstimator {
	lru, err := simplelru.NewLRU[uint64, struct{}](maxPrefixes, nil)
	if err != nil {
		panic(err) // NewLRU fails only for a size below one.
	}
	return &PrefixEstimator{lru: lru, confidence: initialConfidence}
}

// Len returns the number of prefixes that are assumed to be cached.
func (p *PrefixEstimator) Len() int { return p.lru.Len() }

// AddPrefilled records that the engine has prefilled a prompt with these prefixes, which are ordered by length.
func (p *PrefixEstimator) AddPrefilled(prefixes []Prefix) {
	for _, prefix := range prefixes {
		p.lru.Add(prefix.Hash, struct{}{})
	}
}

// Cached estimates how many leading tokens of a prompt are cached.
func (p *PrefixEstimator) Cached(prefixes []Prefix) int64 {
	for i := len(prefixes) - 1; i >= 0; i-- {
		if _, ok := p.lru.Get(prefixes[i].Hash); ok {
			return int64(float64(prefixes[i].Tokens) * p.confidence)
		}
	}
	return 0
}

// Learn compares an estimate with the number of cached tokens that the engine reported. Prefixes beyond the
// reported length are removed.
func (p *PrefixEstimator) Learn(prefixes []Prefix, estimate, reported int64) {
	if estimate <= 0 {
		return
	}
	ratio := min(float64(max(reported, 0))/float64(estimate), 1)
	p.confidence = max(p.confidence+confidenceWeight*(ratio-p.confidence), minConfidence)
	if reported >= estimate {
		return
	}
	for _, prefix := range prefixes {
		if prefix.Tokens > reported {
			p.lru.Remove(prefix.Hash)
		}
	}
}

// ApplyChanges applies cache events of one incarnation of the engine, in order. Events that were already applied are
// ignored. Sequence numbers restart with each incarnation.
func (p *PrefixEstimator) ApplyChanges(incarnation string, changes []CacheChange) {
	if incarnation != p.incarnation {
		if p.incarnation != "" {
			p.lru.Purge()
		}
		p.incarnation, p.lastSequence, p.cachedBlocks = incarnation, 0, 0
	}
	for _, change := range changes {
		sequence := change.sequence()
		if sequence <= p.lastSequence {
			continue
		}
		if sequence > p.lastSequence+1 {
			p.confidence = max(p.confidence*gapConfidenceFactor, minConfidence)
		}
		p.lastSequence = sequence
		switch c := change.(type) {
		case BlocksStored:
			p.cachedBlocks += c.Blocks
		case BlocksEvicted:
			p.evict(c.Blocks)
		case CacheCleared:
			p.lru.Purge()
			p.cachedBlocks = 0
		}
	}
}

// evict removes the same fraction of the prefixes as the engine evicted of its blocks, least recently used first,
// as engines do.
func (p *PrefixEstimator) evict(blocks int64) {
	fraction := 1.0
	if p.cachedBlocks > blocks {
		fraction = float64(blocks) / float64(p.cachedBlocks)
	}
	p.cachedBlocks = max(p.cachedBlocks-blocks, 0)
	for range int(math.Ceil(fraction * float64(p.lru.Len()))) {
		p.lru.RemoveOldest()
	}
}
