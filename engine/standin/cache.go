package standin

import (
	"container/list"
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
)

// prefixCache holds the hashes of computed prompt blocks, the least recently
// used ones leaving first.
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

// match gives how many blocks at the start of blocks are cached, and marks
// them as used.
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

// store puts the blocks in the cache and gives those that are new and those
// that had to leave.
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

// maxCacheEvents bounds the events that are kept.
const maxCacheEvents = 4096

// cacheLog publishes cache events late and with gaps.
type cacheLog struct {
	lag    time.Duration
	lost   func(seq uint64) bool
	seq    uint64
	events []datedEvent
}

type datedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

func (l *cacheLog) add(kind engine.CacheEventKind, id engine.AttemptID, blocks []uint64) {
	l.seq++
	if l.lost(l.seq) {
		return
	}
	if len(l.events) == maxCacheEvents {
		l.events = append(l.events[:0], l.events[maxCacheEvents/2:]...)
	}
	l.events = append(l.events, datedEvent{
		at: time.Now(),
		event: engine.CacheEvent{
			Seq:    l.seq,
			Kind:   kind,
			ID:     id,
			Blocks: blocks,
		},
	})
}

// after gives the published events with numbers above seq.
func (l *cacheLog) after(seq uint64) []engine.CacheEvent {
	published := time.Now().Add(-l.lag)
	events := []engine.CacheEvent{}
	for _, dated := range l.events {
		if dated.event.Seq > seq && !dated.at.After(published) {
			events = append(events, dated.event)
		}
	}
	return events
}

// restart begins the numbers anew, as a restarted engine does.
func (l *cacheLog) restart() {
	l.seq = 0
	l.events = nil
	l.add(engine.CacheCleared, "", nil)
}
