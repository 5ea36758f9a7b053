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

// EntryID names one run of an entry process. A restarted entry is another one.
type EntryID struct {
	Name        string
	Incarnation uint64
}

// EntryServer is the agent's side of the links to all entries. Hello, Up, Down and Receive are required.
//
// For one link the calls come in this order: Up, any number of Receive, Down. If an entry opens a new link, Down of the
// old one comes before Up of the new one. Receive may be called for Messages and Bulk at the same time, and by
// several links; it may block, which holds that entry back, until its context ends.
type EntryServer struct {
	// Hello makes the agent's own hello.
	Hello func() *wire.AgentHello
	// Admit refuses an entry by an error; nil admits all. It is asked for each stream, and may be called at any time.
	Admit func(hello *wire.EntryHello) error
	// Up and Down say that an entry's link is open or lost.
	Up   func(ctx context.Context, hello *wire.EntryHello)
	Down func(id EntryID, cause error)
	// Receive takes a message of an entry, heartbeats included; the link has answered those. A Dispatch is whole and
	// its digest holds. There are no BodyChunks. An error ends the link.
	Receive func(ctx context.Context, id EntryID, message *wire.EntryMessage) error
	// Timing has defaults for zero values.
	Timing Timing

	mu      sync.Mutex
	links   map[string]*entryLink // by entry name
	refused atomic.Uint64
}

// Register adds the server to a mux; see Serve. Send, Broadcast and Entries may be called before and meanwhile: an
// agent's gates have something to say before its links are served.
func (s *EntryServer) Register(mux *drpcmux.Mux) error {
	s.Timing = s.Timing.WithDefaults()
	s.mu.Lock()
	s.links = make(map[string]*entryLink)
	s.mu.Unlock()
	return wire.DRPCRegisterAgentLink(mux, entryService{s})
}

// Send passes a message to an entry. It returns false, and counts it, if that incarnation has no open link, its ring
// is full, or the message is over MaxMessage. The message must not be changed afterwards. It never blocks.
func (s *EntryServer) Send(id EntryID, message *wire.AgentMessage) bool {
	l := s.open(id)
	if l == nil || !l.send(message) {
		s.refused.Add(1)
		return false
	}
	return true
}

// Broadcast passes a message to all entries with an open link. It returns how many took it.
func (s *EntryServer) Broadcast(message *wire.AgentMessage) int {
	sent := 0
	for _, id := range s.Entries() {
		if s.Send(id, message) {
			sent++
		}
	}
	return sent
}

// Entries returns the entries with an open link, in no order.
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

// DroppedMessages returns how many messages Send couldn't pass on.
func (s *EntryServer) DroppedMessages() uint64 {
	return s.refused.Load()
}

func (s *EntryServer) open(id EntryID) *entryLink {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[id.Name]
	if l == nil || l.id != id || !l.isUp.Load() {
		return nil
	}
	return l
}

// begin makes the link of a new Messages stream. An older link of the same entry ends first: the entry dials anew
// only when it has given the old one up, which this side may not have noticed yet.
func (s *EntryServer) begin(ctx context.Context, hello *wire.EntryHello) (*entryLink, error) {
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
		case <-old.gone:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
}

// join finds the link that waits for its Bulk stream.
func (s *EntryServer) join(hello *wire.EntryHello) (*entryLink, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.links[hello.GetEntry()]
	if l == nil || l.id.Incarnation != hello.GetIncarnation() || l.joined {
		return nil, errors.Wrap(ErrProtocol, "no link waits for this bulk stream")
	}
	l.joined = true
	return l, nil
}

func (s *EntryServer) end(l *entryLink) {
	s.mu.Lock()
	delete(s.links, l.id.Name)
	s.mu.Unlock()
	close(l.gone)
}

// entryService implements the generated interface.
type entryService struct{ s *EntryServer }

// entryStream is what both generated stream types have.
type entryStream interface {
	Context() context.Context
	Send(*wire.AgentBatch) error
	Recv() (*wire.EntryBatch, error)
}

// Messages serves the first stream of a link, and owns the link.
func (e entryService) Messages(stream wire.DRPCAgentLink_MessagesStream) error {
	hello, err := e.s.hello(stream)
	if err != nil {
		return err
	}
	l, err := e.s.begin(stream.Context(), hello)
	if err != nil {
		return err
	}
	defer e.s.end(l)
	return l.run(stream)
}

// Bulk serves the second stream of a link.
func (e entryService) Bulk(stream wire.DRPCAgentLink_BulkStream) error {
	hello, err := e.s.hello(stream)
	if err != nil {
		return err
	}
	l, err := e.s.join(hello)
	if err != nil {
		return err
	}
	return l.runBulk(stream)
}

// hello reads the entry's hello. A peer that connects and says nothing is aborted after Timing.Hello.
func (s *EntryServer) hello(stream entryStream) (*wire.EntryHello, error) {
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
	if s.Admit == nil {
		return hello, nil
	}
	if err := s.Admit(hello); err != nil {
		return nil, errors.Wrap(err, "link: entry not admitted")
	}
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
