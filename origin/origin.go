// Package origin keeps which software version of a backend server began a stream, and tells which pools have servers of one
// version only.
//
// Callers resume streams at any entry, and a stream may go on only at the version that began it. An entry notes the origins of
// its own streams and tells control instances, which keep them in memory; an entry that doesn't know a stream asks them. An
// origin never changes, so an answer that knows one is right however old it is, and not knowing is always possible: then the
// stream goes on only if its pool has had servers of one version since before it can have begun.
package origin

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Retention is how long an origin is kept after it was last noted, and how long a version counts as serving after its last server
// has left the directory. A stream and all tries of its caller take less.
const Retention = time.Minute

const (
	// generations is the number of parts of a table that are forgotten one after the other.
	generations = 4
	// maxOrigins bounds the distinct origins of a table: pools times versions within Retention.
	maxOrigins = 1 << 12
)

// Origin is what began a stream.
type Origin struct {
	// Pool is the pool of the server.
	Pool string
	// Version is its software version, empty if it doesn't say.
	Version string
}

// Key identifies a stream: a hash of its caller's organisation and of the attempt that brought its first event.
type Key uint64

// KeyOf returns the key of a stream.
func KeyOf(organisation, attempt string) Key {
	return Key(xxhash.Sum64String(organisation + "\n" + attempt))
}

// Table holds the origins of streams for Retention, up to a bound. It is not safe for concurrent use.
type Table struct {
	limit   int
	parts   [generations]part // the newest first
	origins []Origin
	index   map[Origin]uint16
}

// part holds the streams that were noted within a span, or within less if there were many.
type part struct {
	began   time.Time
	streams map[Key]entry
}

// entry is the origin of one stream, as an index of Table.origins, and when it was noted, in milliseconds since its part began.
type entry struct {
	origin uint16
	at     uint32
}

// span is the time for which one part of a table is filled. One part more than Retention needs is kept.
const span = Retention / (generations - 1)

// NewTable returns a table of at most limit streams. Beyond it the oldest part is forgotten.
func NewTable(limit int) *Table {
	return &Table{limit: limit, index: make(map[Origin]uint16)}
}

// advance begins a new part if the newest is full or has its span, and forgets those that are too old.
func (t *Table) advance(now time.Time) {
	newest := &t.parts[0]
	if newest.streams == nil || now.Sub(newest.began) >= span || len(newest.streams) >= max(t.limit/generations, 1) {
		copy(t.parts[1:], t.parts[:generations-1])
		t.parts[0] = part{now, make(map[Key]entry)}
	}
	for i := 1; i < generations; i++ {
		if now.Sub(t.parts[i].began) > Retention+span {
			t.parts[i].streams = nil
		}
	}
	if t.Len() == 0 {
		// Otherwise the list would grow with each version ever seen.
		t.origins, t.index = nil, make(map[Origin]uint16)
	}
}

// Put notes the origin of a stream. It reports whether there was room for a new origin.
func (t *Table) Put(now time.Time, key Key, o Origin) bool {
	t.advance(now)
	i, known := t.index[o]
	if !known {
		if len(t.origins) >= maxOrigins {
			return false
		}
		i = uint16(len(t.origins))
		t.origins = append(t.origins, o)
		t.index[o] = i
	}
	newest := &t.parts[0]
	newest.streams[key] = entry{i, uint32(now.Sub(newest.began) / time.Millisecond)}
	return true
}

// Get returns the origin of a stream and how long ago it was noted. It returns false if the stream isn't known.
func (t *Table) Get(now time.Time, key Key) (Origin, time.Duration, bool) {
	t.advance(now)
	for _, p := range t.parts {
		if e, ok := p.streams[key]; ok {
			return t.origins[e.origin], max(now.Sub(p.began)-time.Duration(e.at)*time.Millisecond, 0), true
		}
	}
	return Origin{}, 0, false
}

// Len returns the number of streams, counting those twice that were noted in two parts.
func (t *Table) Len() int {
	n := 0
	for _, p := range t.parts {
		n += len(p.streams)
	}
	return n
}

// All returns the origins of all streams, for a control instance that may not have them.
func (t *Table) All(now time.Time) *wire.StreamOrigins {
	t.advance(now)
	groups := NewGroups()
	for _, p := range t.parts {
		for key, e := range p.streams {
			groups.Add(key, t.origins[e.origin])
		}
	}
	return groups.Message()
}

// Record notes the origins of a message.
func (t *Table) Record(now time.Time, m *wire.StreamOrigins) {
	for _, group := range m.GetGroups() {
		for _, stream := range group.GetStreams() {
			t.Put(now, Key(stream), Origin{group.GetPool(), group.GetVersion()})
		}
	}
}

// Groups collects origins for a message.
type Groups struct{ streams map[Origin][]uint64 }

// NewGroups returns an empty collection.
func NewGroups() *Groups { return &Groups{streams: make(map[Origin][]uint64)} }

// Add adds the origin of a stream. It reports whether the collection was empty.
func (g *Groups) Add(key Key, o Origin) bool {
	first := len(g.streams) == 0
	g.streams[o] = append(g.streams[o], uint64(key))
	return first
}

// Message returns the collected origins and empties the collection. It returns nil if there are none.
func (g *Groups) Message() *wire.StreamOrigins {
	if len(g.streams) == 0 {
		return nil
	}
	m := &wire.StreamOrigins{}
	for o, streams := range g.streams {
		slices.Sort(streams)
		m.Groups = append(m.Groups, &wire.StreamOriginGroup{Pool: o.Pool, Version: o.Version, Streams: slices.Compact(streams)})
	}
	slices.SortFunc(m.Groups, func(a, b *wire.StreamOriginGroup) int {
		return compareOrigins(Origin{a.GetPool(), a.GetVersion()}, Origin{b.GetPool(), b.GetVersion()})
	})
	g.streams = make(map[Origin][]uint64)
	return m
}
