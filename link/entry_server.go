package link

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"
	"storj.io/drpc/drpcmux"

	"github.com/carawaypitch/carawaypitch/wire"
)

// EntryID identifies one run of an entry process. A restarted entry has another incarnation.
type EntryID struct {
	Name        string
	Incarnation uint64
}

// EntryServer is the agent's side of the links to all entries. Hello, Up, Down and Receive are required.
//
// For each link the calls come in this order: Up, any number of Receive, Down. If an entry opens a new link, Down of the
// old one comes before Up of the new one. Receive may be called for Messages and Bulk at the same time, and for several
// links. It may block until its context ends, which applies backpressure to that entry.
type EntryServer struct {
	// Hello returns the agent's hello.
	Hello func() *wire.AgentHello
	// Admit refuses an entry by an error; nil admits all. It is called for each stream, and may be called concurrently.
	Admit func(hello *wire.EntryHello) error
	// Up is called when the link of an entry is open, and Down when it is lost.
	Up   func(ctx context.Context, hello *wire.EntryHello)
	Down func(id EntryID, cause error)
	// Receive handles a message of an entry, heartbeats included; the link has answered those. A Dispatch is complete
	// and its digest verified. BodyChunks are not passed on. An error ends the link.
	Receive func(ctx context.Context, id EntryID, message *wire.EntryMessage) error
	// Timing gives the durations of the links; zero values mean the defaults.
	Timing Timing

	mu      sync.Mutex
	links   map[string]*entryLink // by entry name
	dropped atomic.Uint64
}

// Register adds the server to a mux; see Serve. Send, Broadcast and Entries may be called before and at the same time,
// since the gates of an agent send messages before its links are served.
func (s *EntryServer) Register(mux *drpcmux.Mux) error {
	s.Timing = s.Timing.WithDefaults()
	s.mu.Lock()
	s.links = make(map[string]*entryLink)
	s.mu.Unlock()
	return wire.DRPCRegisterAgentLink(mux, entryService{s})
}

// Send queues a message for an entry. It reports false, and counts the message as dropped, if that incarnation has no open
// link, its ring is full, or the message is larger than MaxMessage. The message must not be changed afterwards. Send never
// blocks.
func (s *EntryServer) Send(id EntryID, message *wire.AgentMessage) bool {
	l := s.openLink(id)
	if l == nil || !l.send(message) {
		s.dropped.Add(1)
		return false
	}
	return true
}

// Broadcast queues a message for all entries with an open link. It returns the number of links that accepted it.
func (s *EntryServer) Broadcast(message *wire.AgentMessage) int {
	sent := 0
	for _, id := range s.Entries() {
		if s.Send(id, message) {
			sent++
		}
	}
	return sent
}

// Entries returns the entries with an open link, in no particular order.
func (s *EntryServer) Entries() []EntryID {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]EntryID, 0, len(s.links))
	for _, l := range s.links {
		if l.isUp.Load() {
			ids = append(ids, l.id)
		}
	}
	return ids
}

// DroppedMessages returns the number of messages that Send could not queue.
func (s *EntryServer) DroppedMessages() uint64 {
	return s.dropped.Load()
}

func (s *EntryServer) openLink(id EntryID) *entryLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[id.Name]
	if l == nil || l.id != id || !l.isUp.Load() {
		return nil
	}
	return l
}

// addLink adds the link of a new Messages stream. It first ends an older link of the same entry: the entry dials again only
// after it has given up the old link, which this side may not have detected yet.
func (s *EntryServer) addLink(ctx context.Context, hello *wire.EntryHello) (*entryLink, error) {
	l := newEntryLink(ctx, s, hello)
	for {
		s.mu.Lock()
		old := s.links[l.id.Name]
		if old == nil {
			s.links[l.id.Name] = l
			s.mu.Unlock()
			return l, nil
		}
		s.mu.Unlock()
		if old.id.Incarnation > l.id.Incarnation {
			return nil, errors.Wrap(ErrProtocol, "an older incarnation of the entry")
		}
		old.fail(ErrReplaced)
		select {
		case <-old.closed:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// claimBulk returns the link that waits for this Bulk stream, and an error if there is none.
func (s *EntryServer) claimBulk(hello *wire.EntryHello) (*entryLink, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[hello.GetEntry()]
	if l == nil || l.id.Incarnation != hello.GetIncarnation() || l.hasBulk {
		return nil, errors.Wrap(ErrProtocol, "no link waits for this bulk stream")
	}
	l.hasBulk = true
	return l, nil
}

func (s *EntryServer) removeLink(l *entryLink) {
	s.mu.Lock()
	delete(s.links, l.id.Name)
	s.mu.Unlock()
	close(l.closed)
}

// entryService implements the generated server interface.
type entryService struct{ s *EntryServer }

// entryStream is the common interface of the generated server streams.
type entryStream interface {
	Context() context.Context
	Send(*wire.AgentBatch) error
	Recv() (*wire.EntryBatch, error)
}

// Messages serves the first stream of a link, for the lifetime of the link.
func (e entryService) Messages(stream wire.DRPCAgentLink_MessagesStream) error {
	hello, err := e.s.readHello(stream)
	if err != nil {
		return err
	}
	l, err := e.s.addLink(stream.Context(), hello)
	if err != nil {
		return err
	}
	defer e.s.removeLink(l)
	return l.run(stream)
}

// Bulk serves the second stream of a link.
func (e entryService) Bulk(stream wire.DRPCAgentLink_BulkStream) error {
	hello, err := e.s.readHello(stream)
	if err != nil {
		return err
	}
	l, err := e.s.claimBulk(hello)
	if err != nil {
		return err
	}
	return l.runBulk(stream)
}

// readHello reads and admits the entry's hello. It aborts a peer that sends none within Timing.HandshakeTimeout.
func (s *EntryServer) readHello(stream entryStream) (*wire.EntryHello, error) {
	ctx := stream.Context()
	timer := time.AfterFunc(s.Timing.HandshakeTimeout, func() { Abort(ctx) })
	defer timer.Stop()
	batch, err := stream.Recv()
	if err != nil {
		return nil, errors.Wrap(err, "link: hello")
	}
	if len(batch.GetMessages()) != 1 || batch.GetMessages()[0].GetHello().GetEntry() == "" {
		return nil, errors.Wrap(ErrProtocol, "the first message isn't a hello")
	}
	hello := batch.GetMessages()[0].GetHello()
	if s.Admit != nil {
		if err := s.Admit(hello); err != nil {
			return nil, errors.Wrap(err, "link: entry not admitted")
		}
	}
	Admit(ctx)
	return hello, nil
}

func (s *EntryServer) answerHello(stream entryStream) error {
	hello := &wire.AgentMessage{Kind: &wire.AgentMessage_Hello{Hello: s.Hello()}}
	if err := stream.Send(&wire.AgentBatch{Messages: []*wire.AgentMessage{hello}}); err != nil {
		return errors.Wrap(err, "link: hello")
	}
	return nil
}

func agentMessageSize(message *wire.AgentMessage) int {
	return proto.Size(message)
}
