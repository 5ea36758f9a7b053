package gate

import (
	"fmt"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

var (
	entryA = EntryID{Name: "entry-a", Incarnation: 1}
	entryB = EntryID{Name: "entry-b", Incarnation: 1}
)

const (
	sampleServer = "engine-1"
	sampleModel  = "sample"
	sampleSlots  = 2
)

// tester is the common interface of testing.T, testing.B and rapid.T.
type tester interface {
	require.TestingT
	Helper()
}

// harness drives a gate with a fake clock and records its actions until they are reset.
type harness struct {
	t             tester
	gate          *Gate
	now           time.Time
	actions       []Action
	nextHeartbeat time.Time // time of the next heartbeats and announcement
}

// newHarness returns a harness whose server has not announced itself.
func newHarness(t tester, config Config) *harness {
	return &harness{t: t, gate: New(config), now: time.Unix(1000, 0)}
}

// newReadyHarness returns a harness with a cleared server of two slots and no predecessor.
func newReadyHarness(t tester) *harness {
	return newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(sampleSlots))
}

func newReadyHarnessWith(t tester, config Config, record *wire.ServerRecord) *harness {
	b := newHarness(t, config)
	b.step(Announced{Server: record})
	b.step(EngineListed{})
	b.step(EntryConnected{Entry: entryA})
	b.step(EntryConnected{Entry: entryB})
	b.actions = nil
	return b
}

func sampleRecord(slots uint32) *wire.ServerRecord {
	return &wire.ServerRecord{
		Server: sampleServer,
		Kind:   "model",
		Models: []string{sampleModel},
		Slots:  slots,
		Capabilities: &wire.Capabilities{
			Fencing: "refuses", Kv: true, Resume: true, OnDisconnect: "continues",
		},
	}
}

// work returns repeatable, preemptible work of tier 2 with ample time.
func work() *wire.Work {
	return &wire.Work{
		Organisation: "org",
		Class:        "summary",
		Tier:         2,
		Target:       sampleModel,
		Repeatable:   true,
		PromptTokens: 100,
		OutputTokens: 20,
		RemainingMs:  60_000,
		Preemptible:  true,
	}
}

func workOf(change func(*wire.Work)) *wire.Work {
	w := work()
	change(w)
	return w
}

func firstTierWork() *wire.Work {
	return workOf(func(w *wire.Work) { w.Tier, w.Preemptible = 1, false })
}

func id(request string, number uint64) *wire.AttemptID {
	return &wire.AttemptID{Request: request, Number: number}
}

func (b *harness) step(e Event) []Action {
	actions := b.gate.Step(b.now, e)
	b.actions = append(b.actions, actions...)
	return actions
}

// advance advances the clock tick by tick, with heartbeats and announcements.
func (b *harness) advance(d time.Duration) {
	b.advanceWith(d, func() {
		b.receive(entryA, heartbeat())
		b.receive(entryB, heartbeat())
		if r := b.gate.server.record; r != nil {
			b.step(Announced{Server: r})
		}
	})
}

// advanceWith advances the clock tick by tick and calls each about every half second.
func (b *harness) advanceWith(d time.Duration, each func()) {
	until := b.now.Add(d)
	for b.now.Before(until) {
		b.now = b.now.Add(TickInterval)
		b.step(Tick{})
		if !b.now.Before(b.nextHeartbeat) {
			each()
			b.nextHeartbeat = b.now.Add(500 * time.Millisecond)
		}
	}
}

func heartbeat() *wire.EntryMessage {
	return &wire.EntryMessage{Kind: &wire.EntryMessage_Heartbeat{Heartbeat: &wire.EntryHeartbeat{}}}
}

func (b *harness) receive(from EntryID, m *wire.EntryMessage) []Action {
	return b.step(MessageReceived{Entry: from, Message: m})
}

func (b *harness) reserve(from EntryID, attempt *wire.AttemptID, w *wire.Work) []Action {
	m := &wire.Reserve{Attempt: attempt, Server: sampleServer, Work: w}
	return b.receive(from, &wire.EntryMessage{Kind: &wire.EntryMessage_Reserve{Reserve: m}})
}

func (b *harness) dispatch(from EntryID, attempt *wire.AttemptID, w *wire.Work) []Action {
	return b.dispatchOf(from, &wire.Dispatch{Attempt: attempt, Work: w})
}

func (b *harness) dispatchOffered(from EntryID, attempt *wire.AttemptID, w *wire.Work) []Action {
	return b.dispatchOf(from, &wire.Dispatch{Attempt: attempt, Work: w, Offered: true})
}

func (b *harness) dispatchOf(from EntryID, m *wire.Dispatch) []Action {
	m.Server = sampleServer
	return b.receive(from, &wire.EntryMessage{Kind: &wire.EntryMessage_Dispatch{Dispatch: m}})
}

func (b *harness) cancelAttempt(from EntryID, attempt *wire.AttemptID, cause wire.CancelCause) []Action {
	m := &wire.Cancel{Attempt: attempt, Server: sampleServer, Cause: cause}
	return b.receive(from, &wire.EntryMessage{Kind: &wire.EntryMessage_Cancel{Cancel: m}})
}

func (b *harness) callerLeft(from EntryID, attempt *wire.AttemptID) []Action {
	return b.cancelAttempt(from, attempt, wire.CancelCause_CANCEL_CAUSE_CALLER_LEFT)
}

func (b *harness) progress(attempt *wire.AttemptID, events ...string) []Action {
	var data [][]byte
	for _, event := range events {
		data = append(data, []byte(event))
	}
	return b.step(EngineProgress{Attempt: attempt, Events: data})
}

func (b *harness) finish(attempt *wire.AttemptID) []Action {
	return b.endRun(attempt, engine.Outcome{End: engine.EndCompleted, Status: 200}, nil)
}

func (b *harness) endRun(attempt *wire.AttemptID, o engine.Outcome, err error) []Action {
	return b.step(EngineEnded{Attempt: attempt, Outcome: o, Err: err, ContentType: "text/event-stream"})
}

// loseConnection ends a run with a broken connection.
func (b *harness) loseConnection(attempt *wire.AttemptID) []Action {
	return b.endRun(attempt, engine.Outcome{}, &engine.CallError{Call: "run", Class: engine.ErrOutcomeUnknown})
}

// answerCancel answers the last CancelEngine of an attempt.
func (b *harness) answerCancel(attempt *wire.AttemptID, r engine.CancelResult) []Action {
	try := uint32(0)
	for _, a := range b.actions {
		if c, ok := a.(CancelEngine); ok && sameAttempt(c.Attempt, attempt) {
			try = c.Try
		}
	}
	require.NotZero(b.t, try, "no cancel of %v was asked for", attempt)
	return b.step(EngineCancelled{Attempt: attempt, Try: try, Result: r})
}

func sameAttempt(a, b *wire.AttemptID) bool {
	return a.GetRequest() == b.GetRequest() && a.GetNumber() == b.GetNumber()
}

// actionsOf returns the actions of one type.
func actionsOf[T Action](actions []Action) []T {
	var out []T
	for _, a := range actions {
		if wanted, ok := a.(T); ok {
			out = append(out, wanted)
		}
	}
	return out
}

// oversTo returns the Over messages sent to an entry.
func oversTo(actions []Action, to EntryID) []*wire.Over {
	var out []*wire.Over
	for _, s := range actionsOf[Send](actions) {
		if o := s.Message.GetOver(); o != nil && s.Entry == to {
			out = append(out, o)
		}
	}
	return out
}

// onlyOver requires exactly one Over to an entry, with the given proof, and returns it.
func onlyOver(t tester, actions []Action, to EntryID, proof wire.Proof) *wire.Over {
	t.Helper()
	list := oversTo(actions, to)
	require.Len(t, list, 1, "%v", list)
	require.Equal(t, proof, list[0].Proof, "%v", list[0])
	return list[0]
}

func refusedWith(t tester, actions []Action, code result.Code) *wire.Over {
	t.Helper()
	over := onlyOver(t, actions, entryA, wire.Proof_PROOF_NEVER_STARTED)
	require.Equal(t, code, result.Code(over.Code), over.Message)
	require.Empty(t, actionsOf[StartEngine](actions))
	return over
}

func startedIDs(actions []Action) []string {
	var out []string
	for _, s := range actionsOf[StartEngine](actions) {
		out = append(out, string(engineAttemptID(s.Dispatch.Attempt.Request, s.Dispatch.Attempt.Number)))
	}
	return out
}

func offeredIDs(actions []Action) []string {
	var out []string
	for _, s := range actionsOf[Send](actions) {
		if o := s.Message.GetOffer(); o != nil {
			out = append(out, string(engineAttemptID(o.Attempt.Request, o.Attempt.Number)))
		}
	}
	return out
}

// start dispatches an attempt without an offer and requires that it runs.
func (b *harness) start(from EntryID, attempt *wire.AttemptID, w *wire.Work) {
	b.t.Helper()
	actions := b.dispatch(from, attempt, w)
	require.Len(b.t, actionsOf[StartEngine](actions), 1, "%v", actions)
}

// fillSlots takes all slots with tier-2 work of entry A.
func (b *harness) fillSlots() []*wire.AttemptID {
	b.t.Helper()
	var all []*wire.AttemptID
	for i := range b.gate.limit.announced {
		attempt := id(fmt.Sprintf("fill-%d", i), 1)
		b.start(entryA, attempt, work())
		all = append(all, attempt)
	}
	return all
}

func noChartErrors(t tester, b *harness) {
	t.Helper()
	assert.Zero(t, b.gate.chartErrors, "%v", actionsOf[Count](b.actions))
}
