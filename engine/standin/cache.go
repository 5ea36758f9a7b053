package standin

import (
	"container/list"
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
)

// prefixCache holds the hashes of computed prompt blocks and evicts the least recently used.
type prefixCache struct {
	capacity int
	order    *list.List
	blocks   map[uint64]*list.Element
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		order:    list.New(),
		blocks:   make(map[uint64]*list.Element),
	}
}

// match returns the number of leading blocks that are cached and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	count := 0
	for _, block := range blocks {
		element, ok := c.blocks[block]
		if !ok {
			break
		}
		c.order.MoveToFront(element)
		count++
	}
	return count
}

// store adds the blocks and returns those that are new and those that were evicted.
func (c *prefixCache) store(blocks []uint64) (stored, evicted []uint64) {
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
		stored = append(stored, block)
	}
	for c.order.Len() > c.capacity {
		last := c.order.Back()
		block := c.order.Remove(last).(uint64)
		delete(c.blocks, block)
		evicted = append(evicted, block)
	}
	return stored, evicted
}

func (c *prefixCache) len() int { return c.order.Len() }

// maxCacheEvents limits the number of retained events.
const maxCacheEvents = 4096

// cacheLog publishes cache events with a delay, without those that drop selects.
type cacheLog struct {
	lag    time.Duration
	drop   func(seq uint64) bool
	seq    uint64
	events []timestampedEvent
}

type timestampedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

func (l *cacheLog) add(kind engine.CacheEventKind, id engine.AttemptID, blocks []uint64) {
	l.seq++
	if l.drop(l.seq) {
		return
	}
	if len(l.events) == maxCacheEvents {
		l.events = append(l.events[:0], l.events[maxCacheEvents/2:]...)
	}
	l.events = append(l.events, timestampedEvent{
		at: time.Now(),
		event: engine.CacheEvent{
			Seq:    l.seq,
			Kind:   kind,
			ID:     id,
			Blocks: blocks,
		},
	})
}

// after returns the published events with sequence numbers above seq.
func (l *cacheLog) after(seq uint64) []engine.CacheEvent {
	published := time.Now().Add(-l.lag)
	events := []engine.CacheEvent{}
	for _, stored := range l.events {
		if stored.event.Seq > seq && !stored.at.After(published) {
			events = append(events, stored.event)
		}
	}
	return events
}

// restart resets the sequence numbers, as a restarted engine does.
func (l *cacheLog) restart() {
	l.seq = 0
	l.events = nil
	l.add(engine.CacheCleared, "", nil)
}
