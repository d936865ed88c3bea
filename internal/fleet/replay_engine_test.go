package fleet_test

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"berylward.example/berylward/internal/fleet"
)

// engine simulates an engine that runs one prefill at a time in order of arrival and has a prefix cache that evicts
// the least recently used blocks.
type engine struct {
	name  string
	views []*fleet.View
	// idleAt is when the prefill of the last accepted request ends.
	idleAt time.Time
	// cache is the state after all accepted requests. This is the state that the next request finds, because the
	// engine serves in order.
	cache       *simplelru.LRU[uint64, int64]
	used        int64
	cacheEvents int
	reporting   bool
}

func newEngine(name string) *engine {
	cache, err := simplelru.NewLRU[uint64, int64](1<<30, nil)
	if err != nil {
		panic(err) // Only a size below one is an error.
	}
	return &engine{name: name, cache: cache}
}

// cached returns the number of tokens in the longest cached prefix.
func (e *engine) cached(chain []uint64) int64 {
	tokens := int64(0)
	for i, hash := range chain {
		if !e.cache.Contains(hash) {
			break
		}
		tokens = prefixTokens(i)
	}
	return tokens
}

// prefixTokens returns the number of tokens that the hash at index i covers.
func prefixTokens(i int) int64 { return int64(fleet.PrefixBytes(i) / fleet.PrefixBlock * blockTokens) }

// admit returns the number of tokens that a request will find cached, and the changes that it makes to the cache.
func (e *engine) admit(q *request) (cached int64, added, evicted []uint64) {
	cached = e.cached(q.req.Prefix)
	added, evicted = e.store(q.req.Prefix)
	return cached, added, evicted
}

func prefill(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / prefillRate * float64(time.Second))
}

func (e *engine) backlog(now time.Time) time.Duration { return max(e.idleAt.Sub(now), 0) }

func (e *engine) fullness(now time.Time) float64 {
	return e.backlog(now).Seconds() * prefillRate / window
}

// timeToPrefill returns the time until the prefill of a request would end at this engine.
func (e *engine) timeToPrefill(now time.Time, q *request) time.Duration {
	return e.backlog(now) + prefill(q.prompt-e.cached(q.req.Prefix))
}

// store puts a chain into the cache and returns the hashes that were added and evicted. The start of the chain is
// stored last, because a prefix without its start is of no use.
func (e *engine) store(chain []uint64) (added, evicted []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		tokens := prefixTokens(i)
		if i > 0 {
			tokens -= prefixTokens(i - 1)
		}
		if !e.cache.Contains(chain[i]) {
			added = append(added, chain[i])
			e.used += tokens
		}
		e.cache.Add(chain[i], tokens)
	}
	for e.used > cacheTokens {
		hash, tokens, ok := e.cache.RemoveOldest()
		if !ok {
			break
		}
		e.used -= tokens
		evicted = append(evicted, hash)
	}
	return added, evicted
}
