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

// servers holds the backend servers of an agent. One that is gone stays known: its gate's tombstones must outlive it.
type servers struct {
	deps  serverDeps
	begin func(*server) // starts the gate duty
	most  int           // servers

	mu      sync.Mutex
	list    map[string]*server
	entries map[gate.EntryID]bool // that are linked
}

func newServers(deps serverDeps, begin func(*server), most int) *servers {
	l := &servers{
		deps:    deps,
		begin:   begin,
		most:    most,
		list:    make(map[string]*server),
		entries: make(map[gate.EntryID]bool),
	}
	l.deps.linked = l.linked
	return l
}

// get returns a server by name, nil if it isn't known.
func (l *servers) get(name string) *server {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.list[name]
}

// expect returns a server by name, and begins one that isn't known yet. It returns nil if there are too many.
//
// A message for a server that has not announced itself yet must meet a gate: its refusal leaves a tombstone, so that
// a copy of a refused dispatch doesn't run once the server is there.
func (l *servers) expect(name string) *server {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.list[name]; s != nil {
		return s
	}
	if len(l.list) >= l.most || checkName("server", name) != nil {
		return nil
	}
	s := newServer(name, l.deps)
	for _, id := range sortedEntries(l.entries) {
		s.inputs.TryPush(gateEvent{gate.EntryConnected{Entry: id}})
	}
	l.list[name] = s
	l.begin(s)
	return s
}

// entryUp tells all servers that an entry is linked, also those that are made while it is.
func (l *servers) entryUp(ctx context.Context, id gate.EntryID) {
	l.setLinked(id, true)
	l.tellAll(ctx, gateEvent{gate.EntryConnected{Entry: id}})
}

// entryDown tells all servers that an entry's link is lost.
func (l *servers) entryDown(ctx context.Context, id gate.EntryID) {
	l.setLinked(id, false)
	l.tellAll(ctx, gateEvent{gate.EntryDisconnected{Entry: id}})
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

// admit is expect for an announcement. Its error has the code ring_full.
func (l *servers) admit(name string) (*server, error) {
	s := l.expect(name)
	if s == nil {
		return nil, result.New(result.RingFull, "an agent takes at most %d backend servers", l.most)
	}
	return s, nil
}

// all returns the servers in the order of their names.
func (l *servers) all() []*server {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*server, 0, len(l.list))
	for _, s := range l.list {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.name, b.name) })
	return list
}

// linked returns the entries with an open link.
func (l *servers) linked() []gate.EntryID {
	l.mu.Lock()
	defer l.mu.Unlock()
	return sortedEntries(l.entries)
}

func sortedEntries(entries map[gate.EntryID]bool) []gate.EntryID {
	return slices.SortedFunc(maps.Keys(entries), func(a, b gate.EntryID) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Incarnation, b.Incarnation))
	})
}

// records returns what belongs in the directory, in the order of the names.
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

// tellAll hands an input to all servers, until ctx ends.
func (l *servers) tellAll(ctx context.Context, in input) {
	for _, s := range l.all() {
		if s.push(ctx, in) != nil {
			return
		}
	}
}
