package agent

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of what one server keeps for entries whose rings are full.
const (
	maxUnsent      = 4096
	maxUnsentBytes = 8 << 20
)

// unsent keeps what the full ring of an entry's open link refused, until the ring has room.
//
// The gate repeats what was lost with a link only when the link opens again. Without this, the end of an attempt that
// met a full ring would be lost while its link stays open: the entry, which heard that the attempt started, would wait
// until the deadline and answer "unknown" to a caller whose answer is there. One would notice it by the counter of
// dropped messages and by requests that end at their deadline.
type unsent struct {
	entries  map[gate.EntryID][]*wire.AgentMessage
	messages int
	bytes    int
}

// needsDelivery tells whether nobody would repeat the message while its link stays open. Room is repeated at each
// heartbeat, and an offer after it lapsed.
func needsDelivery(message *wire.AgentMessage) bool {
	return message.GetOver() != nil || message.GetFrame() != nil || message.GetStarted() != nil
}

// any tells whether messages are kept.
func (u *unsent) any() bool { return u.messages > 0 }

// hasMessagesFor tells whether messages for the entry are kept. Later ones go behind them.
func (u *unsent) hasMessagesFor(id gate.EntryID) bool {
	return len(u.entries[id]) > 0
}

// add keeps a message. It returns false if there is no room, or if no link would ever take the message.
func (u *unsent) add(id gate.EntryID, message *wire.AgentMessage) bool {
	size := proto.Size(message)
	if size > link.MaxMessage || u.messages >= maxUnsent || u.bytes+size > maxUnsentBytes {
		return false
	}
	if u.entries == nil {
		u.entries = make(map[gate.EntryID][]*wire.AgentMessage)
	}
	u.entries[id] = append(u.entries[id], message)
	u.messages++
	u.bytes += size
	return true
}

// first returns the oldest message for the entry, nil if there is none.
func (u *unsent) first(id gate.EntryID) *wire.AgentMessage {
	if !u.hasMessagesFor(id) {
		return nil
	}
	return u.entries[id][0]
}

// removeFirst forgets the oldest message for the entry.
func (u *unsent) removeFirst(id gate.EntryID) {
	list := u.entries[id]
	u.messages--
	u.bytes -= proto.Size(list[0])
	list[0] = nil
	if len(list) == 1 {
		delete(u.entries, id)
		return
	}
	u.entries[id] = list[1:]
}

// bufferUnsent keeps a message that the entry's ring refused. It returns false if the message is lost. A link that isn't
// open needs nothing kept: the gate repeats all when it opens.
func (s *server) bufferUnsent(id gate.EntryID, message *wire.AgentMessage) bool {
	if !needsDelivery(message) || !s.isLinked(id) || !s.unsent.add(id, message) {
		return false
	}
	s.meter.delayed()
	return true
}

// sendUnsent sends what waits for rings, each entry's in its order, as far as there is room.
func (s *server) sendUnsent() {
	for id := range s.unsent.entries {
		linked := s.isLinked(id)
		for m := s.unsent.first(id); m != nil; m = s.unsent.first(id) {
			if linked && !s.links.Send(id, m) {
				break
			}
			s.unsent.removeFirst(id)
		}
	}
}

func (s *server) isLinked(id gate.EntryID) bool {
	return slices.Contains(s.linkedEntries(), id)
}
