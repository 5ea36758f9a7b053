package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/outbox"
	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// serverGate is the gate of one server as its duty drives it.
type serverGate interface {
	Step(now time.Time, event gate.Event) []gate.Action
	NextTick() time.Duration
}

// entryLinks is how gates reach entries. Neither call blocks.
type entryLinks interface {
	Send(id gate.EntryID, message *wire.AgentMessage) bool
	Broadcast(message *wire.AgentMessage)
}

// serverDeps is what all servers of an agent share.
type serverDeps struct {
	log       log.Interface
	meter     *meter
	timing    settings.AgentTiming
	ready     *readiness
	links     entryLinks
	newEngine func(*wire.ServerRecord) (engine.Client, error)
	newGate   func() serverGate
	spawn     func(func(ctx context.Context))
	// onChange says that a server's view onChange.
	onChange func(*server)
	// report hands a report over for control. It never blocks.
	report func(outbox.Item)
	// propose has control commit a command.
	propose func(context.Context, *wire.Command) (*wire.CommandResult, error)
	// advice returns what the directory has of a server's advice, nil for nothing.
	advice func(server string) *wire.ServerAdvice
	// uniqueNamePerStart says that each start of a server has another name.
	uniqueNamePerStart bool
	// senderCount is how many agents send to the same servers, this one included.
	senderCount func() int
	// linkedEntries returns the entries with an open link.
	linkedEntries func() []gate.EntryID
}

// server is one backend server as its gate duty sees it. All fields without another remark are the duty's own.
type server struct {
	serverDeps
	name string
	base context.Context // the duty's own, ends with the agent

	lifetime    context.Context // ends when the server is forgotten
	endLifetime context.CancelFunc

	inputs *ring.Ring[input]
	gate   serverGate
	// pending holds events that a step led to. They don't go through the ring: the duty would wait for itself if the
	// ring were full.
	pending        []pendingEvent
	currentRefusal refusal
	unsent         unsent
	adviceState    adviceState

	record      *wire.ServerRecord // latest announcement, nil before the first
	client      engine.Client      // nil before the first announcement
	announcedAt time.Time
	gateRecord  *wire.ServerRecord // latest that the gate gave for the directory, nil before its engine is proved free
	leaving     leaving
	runs        map[attemptKey]*engineRun

	view atomic.Pointer[serverView] // for other duties
}

// serverView is what other duties see of a server. It isn't changed once it is stored.
type serverView struct {
	record    *wire.ServerRecord // what belongs in the directory; nil if the server doesn't
	client    engine.Client      // nil before the first announcement
	condition wire.ServerCondition
	recovered bool // no stream of an earlier incarnation is left on the engine
	leaving   bool
	drained   bool
}

// gone says whether the server stopped announcing itself long ago.
func (v *serverView) gone() bool {
	return v.condition == wire.ServerCondition_SERVER_CONDITION_GONE
}

// announced says whether the server ever announced itself.
func (v *serverView) announced() bool {
	return v.client != nil
}

func newServer(name string, deps serverDeps) *server {
	s := &server{
		serverDeps: deps,
		name:       name,
		inputs:     ring.New[input]("gate_inputs", inputRingCapacity),
		gate:       deps.newGate(),
		runs:       make(map[attemptKey]*engineRun),
	}
	s.adviceState.observeEmpty.Store(true)
	s.lifetime, s.endLifetime = context.WithCancel(context.Background())
	s.log = deps.log.WithField("server", name)
	s.view.Store(&serverView{})
	return s
}

// push hands an input to the gate duty, and waits while its ring is full.
func (s *server) push(ctx context.Context, in input) error {
	return s.inputs.Push(ctx, in)
}

// publish stores a new view and says so.
func (s *server) publish() {
	view := &serverView{
		client:    s.client,
		condition: s.gateRecord.GetCondition(),
		recovered: s.recovered(),
		leaving:   s.leaving.requested,
		drained:   s.leaving.drained,
	}
	if s.recovered() && !view.gone() && !s.leaving.departed {
		view.record = s.directoryRecord(view.condition)
	}
	s.view.Store(view)
	s.onChange(s)
}

// recovered says whether the gate found the engine free of what earlier incarnations started. Its first word on the
// condition says so.
func (s *server) recovered() bool {
	return s.gateRecord != nil
}

// directoryRecord is the latest announcement with the condition.
func (s *server) directoryRecord(condition wire.ServerCondition) *wire.ServerRecord {
	return &wire.ServerRecord{
		Server:       s.record.GetServer(),
		Kind:         s.record.GetKind(),
		Address:      s.record.GetAddress(),
		Models:       s.record.GetModels(),
		Slots:        s.record.GetSlots(),
		Capabilities: s.record.GetCapabilities(),
		Condition:    condition,

		TokensPerEvent: s.record.GetTokensPerEvent(),
		MaxConnections: s.record.GetMaxConnections(),
	}
}

// conditions are the names of a server's conditions in logs and answers.
var conditions = map[wire.ServerCondition]string{
	wire.ServerCondition_SERVER_CONDITION_UNSPECIFIED: "announced",
	wire.ServerCondition_SERVER_CONDITION_READY:       "ready",
	wire.ServerCondition_SERVER_CONDITION_SUSPECT:     "suspect",
	wire.ServerCondition_SERVER_CONDITION_DRAINING:    "draining",
	wire.ServerCondition_SERVER_CONDITION_DRAINED:     "drained",
	wire.ServerCondition_SERVER_CONDITION_GONE:        "gone",
}

func conditionName(condition wire.ServerCondition) string {
	return conditions[condition]
}
