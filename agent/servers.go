package agent

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// servers holds the backend servers of an agent. A server that is gone is kept, since its gate's tombstones are still
// needed.
type servers struct {
	deps  serverDeps
	start func(*server) // starts the event loop
	limit int           // maximum number of servers

	mu      sync.Mutex
	byName  map[string]*server
	entries map[gate.EntryID]bool // with an open link
}

func newServers(deps serverDeps, start func(*server), limit int) *servers {
	l := &servers{
		deps:    deps,
		start:   start,
		limit:   limit,
		byName:  make(map[string]*server),
		entries: make(map[gate.EntryID]bool),
	}
	l.deps.linkedEntries = l.linkedEntries
	return l
}

// get returns a server by name, nil if it is unknown.
func (l *servers) get(name string) *server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byName[name]
}

// getOrCreate returns a server by name, and creates it if it is unknown. It returns nil if the limit is reached or the
// name is invalid.
//
// A message for a server that has not announced itself yet needs a gate: the refusal leaves a tombstone, so that a
// copy of a refused dispatch doesn't run once the server has announced itself.
func (l *servers) getOrCreate(name string) *server {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.byName[name]; s != nil {
		return s
	}
	if len(l.byName) >= l.limit || checkName("server", name) != nil {
		return nil
	}
	s := newServer(name, l.deps)
	for _, id := range sortedEntries(l.entries) {
		s.inputs.TryPush(gateEvent{gate.EntryConnected{Entry: id}})
	}
	l.byName[name] = s
	l.start(s)
	return s
}

// entryConnected tells all servers, including those created later, that an entry has an open link.
func (l *servers) entryConnected(ctx context.Context, id gate.EntryID) {
	l.setLinked(id, true)
	l.broadcast(ctx, gateEvent{gate.EntryConnected{Entry: id}})
}

// entryDisconnected tells all servers that the link of an entry is lost.
func (l *servers) entryDisconnected(ctx context.Context, id gate.EntryID) {
	l.setLinked(id, false)
	l.broadcast(ctx, gateEvent{gate.EntryDisconnected{Entry: id}})
}

func (l *servers) setLinked(id gate.EntryID, linked bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if linked {
		l.entries[id] = true
		return
	}
	delete(l.entries, id)
}

// getOrCreateAnnounced is getOrCreate for an announcement. The error has the code ring_full.
func (l *servers) getOrCreateAnnounced(name string) (*server, error) {
	s := l.getOrCreate(name)
	if s == nil {
		return nil, result.New(result.RingFull, "an agent takes at most %d backend servers", l.limit)
	}
	return s, nil
}

// all returns the servers, sorted by name.
func (l *servers) all() []*server {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*server, 0, len(l.byName))
	for _, s := range l.byName {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.name, b.name) })
	return list
}

// linkedEntries returns the entries with an open link.
func (l *servers) linkedEntries() []gate.EntryID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sortedEntries(l.entries)
}

func sortedEntries(entries map[gate.EntryID]bool) []gate.EntryID {
	return slices.SortedFunc(maps.Keys(entries), func(a, b gate.EntryID) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// records returns the records for the directory, sorted by name.
func (l *servers) records() []*wire.ServerRecord {
	records := []*wire.ServerRecord{}
	for _, s := range l.all() {
		if record := s.view.Load().record; record != nil {
			records = append(records, record)
		}
	}
	return records
}

func sameRecords(a, b []*wire.ServerRecord) bool {
	return slices.EqualFunc(a, b, func(x, y *wire.ServerRecord) bool { return proto.Equal(x, y) })
}

// broadcast pushes an input to all servers, until ctx ends.
func (l *servers) broadcast(ctx context.Context, in input) {
	for _, s := range l.all() {
		if s.push(ctx, in) != nil {
			return
		}
	}
}
