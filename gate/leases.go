package gate

import (
	"slices"
	"time"
)

// entryState is the state of one incarnation of an entry.
type entryState struct {
	id         EntryID
	lastSeen   time.Time // last heartbeat, connection or first message
	roomSentAt time.Time // when the room was last sent to this entry alone
	active     bool      // it has sent a message other than a heartbeat since roomSentAt
	connected  bool      // its link is open
	expired    bool      // silent for longer than the lease
	ended      bool      // control committed its end
}

// leaseValid reports whether the entry's lease is valid.
func (e *entryState) leaseValid() bool { return !e.expired && !e.ended }

// acceptsMessages reports whether messages of the entry are still acted on.
func (e *entryState) acceptsMessages() bool { return !e.ended }

// entryRetention is how long an expired entry without a link is kept.
const entryRetention = 10 * time.Minute

// entryTable holds the entries in the order of their first message, and the last ended incarnation of each.
type entryTable struct {
	byID  map[EntryID]*entryState
	order []*entryState
	ended map[string]uint64 // entry name to highest ended incarnation
}

func newEntryTable() entryTable {
	return entryTable{byID: map[EntryID]*entryState{}, ended: map[string]uint64{}}
}

// get returns the state of an entry and creates it if needed. A message of an ended incarnation may arrive long
// after its end, from a buffer or from a process that control only assumed to be dead, so the new state is marked
// as ended then.
func (t *entryTable) get(id EntryID, now time.Time) *entryState {
	if e := t.byID[id]; e != nil {
		return e
	}
	e := &entryState{id: id, lastSeen: now}
	last, found := t.ended[id.Name]
	e.ended = found && id.Incarnation <= last
	t.byID[id] = e
	t.order = append(t.order, e)
	return e
}

// removeExpired drops entries that were silent for longer than entryRetention and own nothing.
func (t *entryTable) removeExpired(now time.Time, owns func(*entryState) bool) {
	t.order = slices.DeleteFunc(t.order, func(e *entryState) bool {
		if e.connected || e.leaseValid() || now.Sub(e.lastSeen) < entryRetention || owns(e) {
			return false
		}
		delete(t.byID, e.id)
		return true
	})
}

func (g *Gate) entryConnected(id EntryID) {
	e := g.entries.get(id, g.now)
	e.connected = true
	g.renewLease(e)
	if e.ended || !g.cleared() {
		return
	}
	g.send(id, g.roomMessage())
	g.resend(e)
}

func (g *Gate) entryDisconnected(id EntryID) {
	g.entries.get(id, g.now).connected = false
}

// idleRoomInterval is how often the room is sent to an entry that has no work here, in case it missed a broadcast
// because its ring was full. Sent on each heartbeat to all entries, it would make up a fifth of the messages of an
// idle link.
const idleRoomInterval = time.Second

// heartbeat renews the leases of all attempts of the entry and sends it the room. An entry with work here gets the
// room each time, because it subtracts its own attempts from that room.
func (g *Gate) heartbeat(e *entryState) {
	if e.ended {
		return
	}
	g.renewLease(e)
	if g.cleared() && (e.active || g.now.Sub(e.roomSentAt) >= idleRoomInterval) {
		e.roomSentAt, e.active = g.now, false
		g.send(e.id, g.roomMessage())
	}
}

func (g *Gate) renewLease(e *entryState) {
	e.lastSeen = g.now
	e.expired = false
}

// entryEnded ends the leases of an incarnation and of all earlier ones.
func (g *Gate) entryEnded(id EntryID) {
	g.entries.ended[id.Name] = max(g.entries.ended[id.Name], id.Incarnation)
	g.entries.get(id, g.now)
	for _, e := range g.entries.order {
		if e.id.Name == id.Name && e.id.Incarnation <= id.Incarnation && !e.ended {
			e.ended = true
			g.endLease(e)
		}
	}
}

// expireLeases ends the leases of entries that were silent for longer than the lease duration.
func (g *Gate) expireLeases() {
	for _, e := range g.entries.order {
		if e.leaseValid() && g.now.Sub(e.lastSeen) > g.config.LeaseDuration {
			e.expired = true
			g.endLease(e)
		}
	}
	g.entries.removeExpired(g.now, g.ownsAttempts)
}

func (g *Gate) ownsAttempts(e *entryState) bool {
	owned := func(a *attempt) bool { return a.owner == e }
	return slices.ContainsFunc(g.runs, owned) || slices.ContainsFunc(g.held, owned) ||
		slices.ContainsFunc(g.suspended, owned) || g.waiting.contains(owned)
}

// endLease gives up what an entry owned. Nobody would receive the answers: the engine would work without use, and a
// caller that retries through another entry would find its own request still running.
func (g *Gate) endLease(e *entryState) {
	owned := g.waiting.collect(func(a *attempt) bool { return a.owner == e })
	for _, a := range slices.Concat(g.held, g.suspended) {
		if a.owner == e && !slices.Contains(owned, a) {
			owned = append(owned, a)
		}
	}
	for _, a := range owned {
		if g.fire(a, onExpire, eventDetails{refusal: refuseExpired, cause: CauseLeaseExpired}) {
			g.emit(Count{Counter: LeasesExpired, Tier: a.tier(), Add: 1})
		}
	}
	g.reportRetained(e)
}
