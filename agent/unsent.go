package agent

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/holding"
	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of the messages that one server buffers for entries whose rings are full.
const (
	maxUnsent      = 4096
	maxUnsentBytes = 8 << 20
)

// unsent buffers messages that the full ring of an entry's open link refused, until the ring has room.
//
// The gate repeats messages only when a link opens again. Without the buffer, the end of an attempt that meets a full
// ring would be lost while the link stays open: the entry, which knows that the attempt started, would wait until the
// deadline and answer "unknown" although the answer is there. The counter of dropped messages would increase, and
// requests would end at their deadlines.
type unsent struct {
	entries  map[gate.EntryID][]*wire.AgentMessage
	messages int
	bytes    int
	held     *held            // nil if nothing is counted
	account  *holding.Account // set together with held
}

// needsDelivery reports whether a message isn't repeated while its link stays open. Room is repeated at each
// heartbeat, and an offer after it expires.
func needsDelivery(message *wire.AgentMessage) bool {
	return message.GetOver() != nil || message.GetFrame() != nil || message.GetStarted() != nil
}

// any reports whether messages are buffered.
func (u *unsent) any() bool { return u.messages > 0 }

// hasMessagesFor reports whether messages for the entry are buffered. Later ones are sent after them.
func (u *unsent) hasMessagesFor(id gate.EntryID) bool {
	return len(u.entries[id]) > 0
}

// add buffers a message. It returns false if the buffer is full, or if the message exceeds the limit of a link.
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
	u.held.addUnsent(u.account, size)
	return true
}

// first returns the oldest message for the entry, nil if there is none.
func (u *unsent) first(id gate.EntryID) *wire.AgentMessage {
	if !u.hasMessagesFor(id) {
		return nil
	}
	return u.entries[id][0]
}

// removeFirst removes the oldest message for the entry.
func (u *unsent) removeFirst(id gate.EntryID) {
	list := u.entries[id]
	size := proto.Size(list[0])
	u.messages--
	u.bytes -= size
	u.held.releaseUnsent(u.account, size)
	list[0] = nil
	if len(list) == 1 {
		delete(u.entries, id)
		return
	}
	u.entries[id] = list[1:]
}

// bufferUnsent buffers a message that the entry's ring refused. It returns false if the message is dropped. Nothing is
// buffered for a link that isn't open, since the gate repeats all messages when it opens.
func (s *server) bufferUnsent(id gate.EntryID, message *wire.AgentMessage) bool {
	if !needsDelivery(message) || !s.isLinked(id) || !s.unsent.add(id, message) {
		return false
	}
	s.meter.delayed()
	return true
}

// sendUnsent sends buffered messages as far as the rings have room, in order for each entry.
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
