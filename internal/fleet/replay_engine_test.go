package fleet_test

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"berylward.example/berylward/internal/fleet"
)

// engine is a simulated engine: one prefill at a time in order of arrival, and a prefix cache that evicts the
// least recently used blocks.
type engine struct {
	name  string
	links []*fleet.View
	// free is when the last accepted request ends its prefill.
	free time.Time
	// cache is the state after all accepted requests, which is what the next one finds, because the engine
	// serves in order.
	cache   *simplelru.LRU[uint64, int64]
	used    int64
	events  int
	ticking bool
}

func newEngine(name string) *engine {
	cache, err := simplelru.NewLRU[uint64, int64](1<<30, nil)
	if err != nil {
		panic(err) // Only a size below one is an error.
	}
	return &engine{name: name, cache: cache}
}

// cached returns the tokens of the longest cached prefix.
func (e *engine) cached(chain []uint64) int64 {
	tokens := int64(0)
	for i, hash := range chain {
		if !e.cache.Contains(hash) {
			break
		}
		tokens = depth(i)
	}
	return tokens
}

// depth returns the tokens that the hash at index i covers.
func depth(i int) int64 { return int64(fleet.PrefixBytes(i) / fleet.PrefixBlock * blockTokens) }

// admit returns the tokens that a request will find cached and the changes that it makes to the cache.
func (e *engine) admit(q *request) (cached int64, added, evicted []uint64) {
	cached = e.cached(q.need.Prefix)
	added, evicted = e.store(q.need.Prefix)
	return cached, added, evicted
}

func prefill(tokens int64) time.Duration {
	return time.Duration(float64(tokens) / prefillRate * float64(time.Second))
}

func (e *engine) backlog(now time.Time) time.Duration { return max(e.free.Sub(now), 0) }

func (e *engine) fullness(now time.Time) float64 {
	return e.backlog(now).Seconds() * prefillRate / window
}

// finish returns the time until a request would end its prefill here.
func (e *engine) finish(now time.Time, q *request) time.Duration {
	return e.backlog(now) + prefill(q.prompt-e.cached(q.need.Prefix))
}

// store puts a chain into the cache and returns what that added and evicted. The start of the chain is stored
// last, because a prefix without its start is of no use.
func (e *engine) store(chain []uint64) (added, evicted []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		tokens := depth(i)
		if i > 0 {
			tokens -= depth(i - 1)
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
