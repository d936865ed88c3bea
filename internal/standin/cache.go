package standin

import (
	"container/list"
	"time"

	"berylward.example/berylward/internal/engine"
)

// maxCacheEvents limits the event log. Older events are lost, as they are for a slow reader of a real engine.
const maxCacheEvents = 4096

// cache is the prefix cache of an engine. It holds a limited number of blocks and evicts the least recently used block
// that is not pinned. It is used under the engine's lock.
type cache struct {
	maxBlocks int
	eventLag  time.Duration
	dropEvery uint64
	blocks    map[engine.BlockHash]*list.Element
	lru       *list.List
	sequence  uint64
	events    []timedEvent
}

type block struct {
	hash engine.BlockHash
	pins int
}

type timedEvent struct {
	at time.Time
	engine.CacheEvent
}

func newCache(s settings) *cache {
	return &cache{
		maxBlocks: int(s.cacheCapacity / tokensPerBlock), eventLag: s.eventLag, dropEvery: s.dropEvery,
		blocks: map[engine.BlockHash]*list.Element{}, lru: list.New(),
	}
}

// pin returns how many of the leading blocks are cached, and protects these from eviction until unpin.
func (c *cache) pin(hashes []engine.BlockHash) int {
	for i, hash := range hashes {
		element := c.blocks[hash]
		if element == nil {
			return i
		}
		element.Value.(*block).pins++
		c.lru.MoveToFront(element)
	}
	return len(hashes)
}

func (c *cache) unpin(hashes []engine.BlockHash) {
	for _, hash := range hashes {
		if element := c.blocks[hash]; element != nil {
			element.Value.(*block).pins--
		}
	}
}

// store adds blocks until no more memory can be freed without evicting pinned blocks or blocks of the same prompt.
func (c *cache) store(now time.Time, hashes []engine.BlockHash) {
	pinned := c.pin(hashes)
	var stored, evicted []engine.BlockHash
	for _, hash := range hashes[pinned:] {
		if element := c.blocks[hash]; element != nil {
			element.Value.(*block).pins++
			c.lru.MoveToFront(element)
			pinned++
			continue
		}
		if c.lru.Len() >= c.maxBlocks {
			victim := c.victim()
			if victim == nil {
				break
			}
			hash := c.lru.Remove(victim).(*block).hash
			delete(c.blocks, hash)
			evicted = append(evicted, hash)
		}
		c.blocks[hash] = c.lru.PushFront(&block{hash: hash, pins: 1})
		stored = append(stored, hash)
		pinned++
	}
	c.unpin(hashes[:pinned])
	c.publish(now, engine.CacheEvicted, evicted)
	c.publish(now, engine.CacheStored, stored)
}

func (c *cache) victim() *list.Element {
	for element := c.lru.Back(); element != nil; element = element.Prev() {
		if element.Value.(*block).pins == 0 {
			return element
		}
	}
	return nil
}

// clear empties the cache. The caller must discard the pins of running streams, because they do not apply to blocks
// that are stored again under the same hashes.
func (c *cache) clear(now time.Time) {
	clear(c.blocks)
	c.lru.Init()
	c.publish(now, engine.CacheCleared, nil)
}

// publish appends an event to the log under the next sequence number. Every dropEvery-th event is dropped, which leaves
// a gap in the numbers.
func (c *cache) publish(now time.Time, kind engine.CacheEventKind, hashes []engine.BlockHash) {
	if len(hashes) == 0 && kind != engine.CacheCleared {
		return
	}
	c.sequence++
	if c.dropEvery > 0 && c.sequence%c.dropEvery == 0 {
		return
	}
	c.events = append(c.events, timedEvent{now, engine.CacheEvent{Sequence: c.sequence, Kind: kind, Hashes: hashes}})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// since returns the events with a higher sequence number that are at least as old as the lag.
func (c *cache) since(now time.Time, after uint64) []engine.CacheEvent {
	events := []engine.CacheEvent{}
	for _, event := range c.events {
		if event.Sequence > after && !event.at.Add(c.eventLag).After(now) {
			events = append(events, event.CacheEvent)
		}
	}
	return events
}
