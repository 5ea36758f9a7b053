package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// A model of some entries that share the servers of one pool during a roll-out. Messages between entries and servers are
// delayed and cross, links are cut, entries die and start again, learn of the order and the verdict late, and lose control.
// The model checks each send against what its entry knew, and all sends against what control had committed.

const (
	rolloutSchedules = 5000
	rolloutShards    = 8
	rolloutSteps     = 220
	oldVersion       = "v1"
	newVersion       = "v2"
	otherVersion     = "v0"
)

var rolloutClasses = []*wire.Class{summary, appeal, urgentModel, order}

// rolloutTotals are summed over all schedules of a shard.
type rolloutTotals struct {
	sent, exposed              uint64
	exposedSchedules, verdicts int
	overBound, afterVerdict    int // violations
	unheard, wrongReservations int // violations
}

type rolloutWorld struct {
	random    *rand.Rand
	tenths    uint64 // of the exposure share
	now       time.Time
	servers   []*wire.ServerRecord
	entries   []*rolloutEntry
	committed *wire.Rollout
	verdictAt time.Time
	totals    *rolloutTotals
	sent      uint64 // to the pool since the order was committed
	exposed   uint64
	record    func(Action) // nil except to compare actions
}

// rolloutEntry is an entry and its links to the servers.
type rolloutEntry struct {
	world         *rolloutWorld
	name          string
	s             *Scheduler
	known         *wire.Rollout
	confirmedAt   time.Time
	isCutOff      bool
	sent, exposed uint64 // since it learned of the order
	inbox         []MessageReceived
	linked        map[string]bool
	next          int
}

func newRolloutWorld(seed uint64, totals *rolloutTotals) *rolloutWorld {
	w := &rolloutWorld{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0), totals: totals}
	w.tenths = []uint64{1, 4, 10}[w.random.IntN(3)]
	for i := range 2 + w.random.IntN(6) {
		w.addServer(fmt.Sprintf("old%d", i), oldVersion)
	}
	if w.random.IntN(3) == 0 {
		w.addServer("other", otherVersion)
	}
	for i := range 1 + w.random.IntN(3) {
		e := &rolloutEntry{world: w, name: fmt.Sprintf("e%d", i)}
		w.entries = append(w.entries, e)
		e.start()
	}
	return w
}

func (w *rolloutWorld) addServer(name, version string) {
	w.servers = append(w.servers, &wire.ServerRecord{
		Server: name, Kind: kindModel, Address: name, Models: []string{testModel}, Version: version,
		Condition: wire.ServerCondition_SERVER_CONDITION_READY,
	})
}

// start begins a new incarnation of the entry, which serves only once it has what control had committed.
func (e *rolloutEntry) start() {
	s, err := New(Options{Seed: e.world.random.Uint64(), Reservations: 2, MaxQueued: 30, ExposureShare: float64(e.world.tenths) / 10})
	if err != nil {
		panic(err)
	}
	e.s, e.inbox, e.linked, e.known, e.sent, e.exposed = s, nil, map[string]bool{}, nil, 0, 0
	e.isCutOff = false
	e.update()
	for _, v := range e.world.servers {
		e.link(v.GetServer())
	}
}

// update brings the entry what control has committed.
func (e *rolloutEntry) update() {
	if e.isCutOff {
		return
	}
	w := e.world
	if w.committed != nil {
		if e.known == nil || e.known.GetId() != w.committed.GetId() {
			e.sent, e.exposed = 0, 0
		}
		e.known = w.committed
		e.step(Rollouts{Rollouts: []*wire.Rollout{w.committed}})
	}
	var records []*wire.AgentRecord
	for _, v := range w.servers {
		records = append(records, &wire.AgentRecord{Agent: agentOf(v.GetServer()), Incarnation: 1, Servers: []*wire.ServerRecord{v}})
	}
	e.step(Directory{Agents: records, Entries: len(w.entries)})
	e.confirmedAt = w.now
	e.step(ControlContact{ConfirmedAt: w.now})
}

func (e *rolloutEntry) link(server string) {
	e.linked[server] = true
	e.step(AgentUp{Hello: &wire.AgentHello{Agent: agentOf(server), Incarnation: 1}})
	e.room(server)
}

func (e *rolloutEntry) cut(server string) {
	e.linked[server] = false
	e.step(AgentDown{Agent: agentOf(server), Incarnation: 1})
	kept := e.inbox[:0]
	for _, m := range e.inbox {
		if m.Agent != agentOf(server) {
			kept = append(kept, m)
		}
	}
	e.inbox = kept
}

func (e *rolloutEntry) room(server string) {
	room := readyRoom(server, kindModel, testModel, uint32(e.world.random.IntN(5)))
	e.step(MessageReceived{Agent: agentOf(server), Incarnation: 1, Message: &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}}})
}

func (e *rolloutEntry) step(event Event) {
	for _, action := range e.s.Step(e.world.now, event) {
		if e.world.record != nil {
			e.world.record(action)
		}
		send, ok := action.(Send)
		if !ok {
			continue
		}
		switch m := send.Message.GetKind().(type) {
		case *wire.EntryMessage_Dispatch:
			e.dispatched(m.Dispatch)
		case *wire.EntryMessage_Reserve:
			e.reserved(m.Reserve)
		case *wire.EntryMessage_Cancel:
			e.reply(m.Cancel.GetServer(), overOf(m.Cancel.GetAttempt(), m.Cancel.GetServer(), wire.Proof_PROOF_CANCELLED))
		}
	}
	e.checkReservations()
}

func overOf(id *wire.AttemptID, server string, proof wire.Proof) *wire.AgentMessage {
	o := &wire.Over{Attempt: id, Server: server, Proof: proof}
	if proof == wire.Proof_PROOF_COMPLETED {
		o.Answer = answerEndOf(0)
	}
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: o}}
}

func (e *rolloutEntry) reply(server string, m *wire.AgentMessage) {
	if e.linked[server] {
		e.inbox = append(e.inbox, MessageReceived{Agent: agentOf(server), Incarnation: 1, Message: m})
	}
}

func (w *rolloutWorld) versionOf(server string) string {
	for _, v := range w.servers {
		if v.GetServer() == server {
			return v.GetVersion()
		}
	}
	return ""
}

// dispatched checks a send and lets the server answer it in some way.
func (e *rolloutEntry) dispatched(d *wire.Dispatch) {
	w := e.world
	isNew := w.versionOf(d.GetServer()) == newVersion
	e.check(isNew)
	end := []wire.Proof{
		wire.Proof_PROOF_COMPLETED, wire.Proof_PROOF_COMPLETED, wire.Proof_PROOF_COMPLETED, wire.Proof_PROOF_FAILED,
		wire.Proof_PROOF_NEVER_STARTED, wire.Proof_PROOF_CANCELLED,
	}[w.random.IntN(6)]
	if end != wire.Proof_PROOF_NEVER_STARTED {
		e.reply(d.GetServer(), &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: d.GetAttempt(), Server: d.GetServer()}}})
	}
	e.reply(d.GetServer(), overOf(d.GetAttempt(), d.GetServer(), end))
}

func (e *rolloutEntry) check(isNew bool) {
	w := e.world
	if w.committed != nil {
		w.sent++
		w.totals.sent++
		if isNew && w.verdictAt.IsZero() {
			w.exposed++
			w.totals.exposed++
		}
	}
	isReverted := w.committed.GetState() == wire.RolloutState_ROLLOUT_STATE_REVERTED
	if isNew && isReverted && w.now.Sub(w.verdictAt) > DefaultControlSilence {
		w.totals.afterVerdict++
	}
	switch e.known.GetState() {
	case wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS:
		e.sent++
		if isNew {
			e.exposed++
		}
		if isNew && w.now.Sub(e.confirmedAt) > DefaultControlSilence {
			w.totals.unheard++
		}
		if e.exposed*10*entryExposureDivisor > e.sent*w.tenths {
			w.totals.overBound++
		}
	case wire.RolloutState_ROLLOUT_STATE_COMPLETED:
		if !isNew {
			w.totals.afterVerdict++
		}
	case wire.RolloutState_ROLLOUT_STATE_REVERTED:
		if isNew {
			w.totals.afterVerdict++
		}
	}
}

// reserved lets the gate offer a slot or refuse. The offer may arrive after the request was sent elsewhere, and after the
// verdict.
func (e *rolloutEntry) reserved(m *wire.Reserve) {
	if e.world.random.IntN(5) == 0 {
		e.reply(m.GetServer(), overOf(m.GetAttempt(), m.GetServer(), wire.Proof_PROOF_NEVER_STARTED))
		return
	}
	offer := &wire.Offer{Attempt: m.GetAttempt(), Server: m.GetServer()}
	e.reply(m.GetServer(), &wire.AgentMessage{Kind: &wire.AgentMessage_Offer{Offer: offer}})
}

// checkReservations checks that nothing waits at a server that may not be used.
func (e *rolloutEntry) checkReservations() {
	state := e.known.GetState()
	for _, v := range e.s.servers {
		isNew := v.record.GetVersion() == newVersion
		isForbidden := state == wire.RolloutState_ROLLOUT_STATE_COMPLETED && !isNew ||
			state == wire.RolloutState_ROLLOUT_STATE_REVERTED && isNew ||
			state == wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS && isNew && e.world.now.Sub(e.confirmedAt) > DefaultControlSilence
		if isForbidden && len(v.reservedBy) > 0 {
			e.world.totals.wrongReservations++
		}
	}
}

func (e *rolloutEntry) arrive() {
	w := e.world
	class := rolloutClasses[w.random.IntN(len(rolloutClasses))]
	e.next++
	e.step(Arrive{Request: &Request{
		ID: fmt.Sprintf("r%d", e.next), Organisation: "a", Class: class, Target: testModel, PromptTokens: 10, Arrived: w.now,
		Stream: w.random.IntN(2) == 0, Deadline: w.now.Add(time.Duration(class.GetDeadlineMs()) * time.Millisecond),
	}})
}

// receive delivers a message, usually one of the oldest.
func (e *rolloutEntry) receive() {
	if len(e.inbox) == 0 {
		return
	}
	const reordered = 4
	at := e.world.random.IntN(min(len(e.inbox), reordered))
	m := e.inbox[at]
	e.inbox = append(e.inbox[:at:at], e.inbox[at+1:]...)
	e.step(m)
}

func (w *rolloutWorld) order() {
	w.committed = &wire.Rollout{Pool: testModel, To: newVersion, Id: 100, State: wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS}
	for i := range 1 + w.random.IntN(3) {
		w.addServer(fmt.Sprintf("new%d", i), newVersion)
	}
}

func (w *rolloutWorld) verdict() {
	state := wire.RolloutState_ROLLOUT_STATE_COMPLETED
	if w.random.IntN(2) == 0 {
		state = wire.RolloutState_ROLLOUT_STATE_REVERTED
	}
	w.committed = &wire.Rollout{Pool: testModel, To: newVersion, Id: 100, State: state}
	w.verdictAt = w.now
	w.totals.verdicts++
}

func (w *rolloutWorld) step() {
	e := w.entries[w.random.IntN(len(w.entries))]
	server := w.servers[w.random.IntN(len(w.servers))].GetServer()
	switch n := w.random.IntN(1000); {
	case n < 380:
		for range 1 + w.random.IntN(4) {
			e.arrive()
		}
	case n < 720:
		for range 1 + w.random.IntN(8) {
			e.receive()
		}
	case n < 820:
		if e.linked[server] {
			e.room(server)
		}
	case n < 900:
		w.now = w.now.Add(time.Duration(w.random.IntN(400)) * time.Millisecond)
		e.step(Tick{})
	case n < 960:
		e.update()
	case n < 970:
		e.isCutOff = !e.isCutOff
	case n < 975:
		e.start()
	case n < 990:
		if e.linked[server] {
			e.cut(server)
		} else if e.s.servers[server] != nil {
			e.link(server)
		}
	default:
		// Servers that have just been announced are linked.
		for _, v := range w.servers {
			if known := e.s.servers[v.GetServer()]; known != nil && !e.linked[v.GetServer()] {
				e.link(v.GetServer())
			}
		}
	}
}

func (w *rolloutWorld) run() {
	orderAt := w.random.IntN(rolloutSteps / 3)
	verdictAt := orderAt + 1 + w.random.IntN(rolloutSteps)
	for step := range rolloutSteps {
		if step == orderAt {
			w.order()
		}
		if step == verdictAt {
			w.verdict()
		}
		w.step()
	}
	if w.exposed > 0 {
		w.totals.exposedSchedules++
	}
}

// Guards against a version that gets more than its bounded share, or gets requests after the verdict, when entries start, die,
// learn late or lose control, requests are retried, and offers cross the withdrawal of their reservations.
func TestExposureOverSchedules(t *testing.T) {
	for shard := range rolloutShards {
		t.Run(fmt.Sprint(shard), func(t *testing.T) {
			t.Parallel()
			var totals rolloutTotals
			for i := range rolloutSchedules / rolloutShards {
				seed := uint64(shard*rolloutSchedules + i)
				before := totals
				w := newRolloutWorld(seed, &totals)
				w.run()
				require.Equal(t, before.overBound, totals.overBound, "seed %d: sends over the bound", seed)
				require.Equal(t, before.afterVerdict, totals.afterVerdict, "seed %d: sends after the verdict", seed)
				require.Equal(t, before.unheard, totals.unheard, "seed %d: sends without contact with control", seed)
				require.Equal(t, before.wrongReservations, totals.wrongReservations, "seed %d: reservations at unusable servers", seed)
				require.LessOrEqual(t, w.exposed*10*entryExposureDivisor, w.sent*w.tenths, "seed %d: the sums of all entries", seed)
			}
			require.Positive(t, totals.exposedSchedules, "no schedule has used the new version")
			t.Logf("%+v", totals)
		})
	}
}
