package agent

import (
	"bytes"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/wire"
)

// limitedLinks accept a limited number of messages.
type limitedLinks struct {
	room int
	sent []*wire.AgentMessage
}

func (l *limitedLinks) Send(_ gate.EntryID, message *wire.AgentMessage) bool {
	if l.room == 0 {
		return false
	}
	l.room--
	l.sent = append(l.sent, message)
	return true
}

func (l *limitedLinks) Broadcast(*wire.AgentMessage) {}

// newLimitedLinkServer returns a server with one linked entry, whose ring accepts room messages.
func newLimitedLinkServer(t *testing.T, room int) (*server, *limitedLinks, *[]gate.EntryID) {
	t.Helper()
	s, _ := newTestServer(t.Context(), nil)
	links := &limitedLinks{room: room}
	open := []gate.EntryID{linkedEntry}
	s.links = links
	s.linkedEntries = func() []gate.EntryID { return open }
	return s, links, &open
}

var linkedEntry = gate.EntryID{Name: "entry-1", Incarnation: 1}

func (s *server) sendAll(messages ...*wire.AgentMessage) {
	for _, message := range messages {
		s.perform(time.Time{}, gate.Send{Entry: linkedEntry, Message: message})
	}
}

func frameMessage(offset uint64, event []byte) *wire.AgentMessage {
	frame := &wire.Frame{Attempt: &wire.AttemptID{Request: "r1", Number: 1}, Offset: offset, Events: [][]byte{event}}
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: frame}}
}

func overMessage(request string) *wire.AgentMessage {
	over := &wire.Over{Attempt: &wire.AttemptID{Request: request, Number: 1}, Proof: wire.Proof_PROOF_COMPLETED}
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: over}}
}

// The end of an attempt that meets the full ring of a slow entry must be delivered when the ring has room. The gate
// repeats it only when the link opens again, so the caller would get "unknown" at the deadline.
func TestEndOfAttemptSurvivesFullRing(t *testing.T) {
	s, links, _ := newLimitedLinkServer(t, 1)
	messages := []*wire.AgentMessage{
		frameMessage(0, []byte("a")),
		frameMessage(1, []byte("b")),
		frameMessage(2, []byte("c")),
		overMessage("r1"),
	}
	s.sendAll(messages[:3]...)
	links.room = 1
	s.sendAll(messages[3])
	assert.Equal(t, messages[:1], links.sent, "an end is not sent before buffered events")
	s.sendUnsent()
	assert.Equal(t, messages[:2], links.sent)
	links.room = 10
	s.sendUnsent()
	assert.Equal(t, messages, links.sent)
	s.sendUnsent()
	s.sendAll(overMessage("r2"))
	assert.Len(t, links.sent, len(messages)+1, "nothing is sent twice")
	assert.Zero(t, s.unsent.bytes+s.unsent.messages)
	assert.Equal(t, uint64(3), s.meter.set.GetOrCreateCounter(metricDelayed).Get())
	assert.Zero(t, s.meter.set.GetOrCreateCounter(metricDropped).Get())
}

// Buffered messages must be bounded, for entries that don't read, and dropped with the link. The gate repeats them on
// the next link anyway.
func TestUnsentMessagesAreBounded(t *testing.T) {
	s, links, open := newLimitedLinkServer(t, 0)
	room := &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: new(wire.Room)}}
	s.sendAll(room, frameMessage(0, bytes.Repeat([]byte("a"), link.MaxMessage)))
	assert.Zero(t, s.unsent.messages, "room is repeated; a message over the limit can't be sent")
	for range maxUnsent + 1 {
		s.sendAll(overMessage("r1"))
	}
	assert.Equal(t, maxUnsent, s.unsent.messages)
	*open = nil
	links.room = 10
	s.sendUnsent()
	assert.Empty(t, links.sent)
	assert.Zero(t, s.unsent.bytes+s.unsent.messages)
	s.sendAll(overMessage("r1"))
	assert.Len(t, links.sent, 1)

	links.room = 0
	s.sendAll(overMessage("r1"))
	assert.Zero(t, s.unsent.messages, "nothing is buffered without a link")
	*open = []gate.EntryID{linkedEntry}
	event := bytes.Repeat([]byte("a"), maxUnsentBytes/8)
	for range 10 {
		s.sendAll(frameMessage(0, event))
	}
	assert.Equal(t, 7, s.unsent.messages)
}
