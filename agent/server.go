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

// serverGate is the part of gate.Gate that a server's event loop uses.
type serverGate interface {
	Step(now time.Time, event gate.Event) []gate.Action
	NextTick() time.Duration
	ReleaseAnswers()
}

// entryLinks sends messages of gates to entries. Neither method blocks. Send reports whether the message was accepted.
type entryLinks interface {
	Send(id gate.EntryID, message *wire.AgentMessage) bool
	Broadcast(message *wire.AgentMessage)
}

// serverDeps are the dependencies that all servers of an agent share.
type serverDeps struct {
	log       log.Interface
	meter     *meter
	timing    settings.AgentTiming
	ready     *readiness
	links     entryLinks
	newEngine func(*wire.ServerRecord) (engine.Client, error)
	newGate   func() serverGate
	spawn     func(func(ctx context.Context))
	// onChange is called when the server's view has changed.
	onChange func(*server)
	// report queues a report to control. It doesn't block.
	report func(outbox.Item)
	// propose proposes a command to control and waits for its commit.
	propose func(context.Context, *wire.Command) (*wire.CommandResult, error)
	// advice returns the directory's record of a server's advice, nil if there is none.
	advice func(server string) *wire.ServerAdvice
	// uniqueNamePerStart reports whether each start of a server has another name.
	uniqueNamePerStart bool
	// senderCount returns the number of agents that send to the same servers, including this one.
	senderCount func() int
	credits     *credits       // nil in tests
	held        *held          // nil if nothing is counted
	origins     *streamOrigins // nil in tests
	// linkedEntries returns the entries with an open link.
	linkedEntries func() []gate.EntryID
}

// server is one backend server with its event loop. Fields without another comment are used by the event loop only.
type server struct {
	serverDeps
	name string
	base context.Context // context of the event loop, ends with the agent or when the server is removed

	lifetime    context.Context // ends when the server is removed
	endLifetime context.CancelFunc

	inputs *ring.Ring[input]
	gate   serverGate
	// pending holds events that resulted from a step. They bypass the ring, since a full ring would deadlock the event
	// loop.
	pending        []pendingEvent
	currentRefusal refusal
	unsent         unsent
	adviceState    adviceState

	record      *wire.ServerRecord // latest announcement, nil before the first
	client      engine.Client      // nil before the first announcement
	announcedAt time.Time
	gateRecord  *wire.ServerRecord // the gate's latest record for the directory, nil until its engine is confirmed free
	leaving     leaving
	runs        map[attemptKey]*engineRun
	// suspendedRuns is the number of runs that are suspended.
	suspendedRuns int

	view atomic.Pointer[serverView] // read by other goroutines
}

// serverView is the state of a server for other goroutines. It is immutable.
type serverView struct {
	record    *wire.ServerRecord // record for the directory, nil if the server doesn't belong there
	client    engine.Client      // nil before the first announcement
	condition wire.ServerCondition
	recovered bool // no stream of an earlier incarnation is left on the engine
	leaving   bool
	drained   bool
}

// gone reports whether the server has not announced itself for so long that it counts as gone.
func (v *serverView) gone() bool {
	return v.condition == wire.ServerCondition_SERVER_CONDITION_GONE
}

// announced reports whether the server has ever announced itself.
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
	s.unsent.held, s.unsent.account = deps.held, deps.held.openUnsent(name)
	s.view.Store(&serverView{})
	return s
}

// push passes an input to the event loop, and blocks while the loop's ring is full. It fails only if ctx ends.
func (s *server) push(ctx context.Context, in input) error {
	return s.inputs.Push(ctx, in)
}

// publish stores a new view and calls onChange.
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

// recovered reports whether the gate has confirmed the engine as free of what earlier incarnations started. The gate
// gives no condition before that.
func (s *server) recovered() bool {
	return s.gateRecord != nil
}

// directoryRecord returns the latest announcement with the given condition.
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
		Version:        s.record.GetVersion(),
		Suspends:       s.record.GetSuspends(),
		SuspendedMs:    s.record.GetSuspendedMs(),
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
