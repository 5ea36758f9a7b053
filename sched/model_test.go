package sched

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// A small model of agents and their engines, whose messages may be lost with a link, duplicated, delayed and
// reordered. The model knows what runs where; the scheduler only receives messages.

// modelAttempt is an attempt as one engine ran it.
type modelAttempt struct {
	id      *wire.AttemptID
	from    uint64
	events  []string
	running bool
	proof   wire.Proof
}

// modelAgent is an agent with its engine and its links.
type modelAgent struct {
	name        string
	incarnation uint64
	up          bool
	toAgent     []*wire.EntryMessage // sent, not received
	toEntry     []*wire.AgentMessage
	attempts    map[string]*modelAttempt // of this incarnation
	tombstones  map[string]uint64
}

type modelRequest struct {
	id        string
	class     *wire.Class
	stream    bool
	ends      int
	delivered []string
	begun     int // engines that began it
}

type agentModel struct {
	t            *rapid.T
	s            *Scheduler
	now          time.Time
	agents       []*modelAgent
	requests     map[string]*modelRequest
	order        []string
	engineProofs []ProveAtEngine
	running      map[string]string // request to the agent whose engine runs it
}

var modelClasses = []*wire.Class{summary, order, urgentModel, appeal}

func newModel(t *rapid.T) *agentModel {
	s, err := New(Options{Seed: rapid.Uint64().Draw(t, "seed"), Reservations: 2, MaxQueued: 8, LeaseDuration: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	m := &agentModel{t: t, s: s, now: time.Unix(1_700_000_000, 0), requests: map[string]*modelRequest{}, running: map[string]string{}}
	var records []*wire.AgentRecord
	for i := range 3 {
		name := fmt.Sprintf("s%d", i)
		m.agents = append(m.agents, &modelAgent{name: name, incarnation: 1, attempts: map[string]*modelAttempt{}, tombstones: map[string]uint64{}})
		records = append(records, &wire.AgentRecord{Agent: agentOf(name), Servers: []*wire.ServerRecord{
			{Server: name, Kind: kindModel, Address: name, Models: []string{testModel}, Condition: wire.ServerCondition_SERVER_CONDITION_READY},
		}})
	}
	m.step(Directory{Agents: records})
	for _, a := range m.agents {
		m.link(a)
	}
	return m
}

func (m *agentModel) step(e Event) {
	for _, action := range m.s.Step(m.now, e) {
		m.handleAction(action)
	}
}

func (m *agentModel) handleAction(action Action) {
	switch a := action.(type) {
	case Send:
		m.send(a)
	case Deliver:
		r := m.requests[a.Request]
		for _, e := range a.Events {
			r.delivered = append(r.delivered, string(e))
		}
	case Answer:
		m.answered(a)
	case Fail:
		m.failed(a)
	case ProveAtEngine:
		m.engineProofs = append(m.engineProofs, a)
	}
}

// send queues a message on the link. As in the entry, a message for another incarnation is dropped.
func (m *agentModel) send(a Send) {
	agent := m.agentNamed(a.Agent)
	if !agent.up || agent.incarnation != a.Incarnation {
		return
	}
	agent.toAgent = append(agent.toAgent, a.Message)
}

func (m *agentModel) agentNamed(name string) *modelAgent {
	return m.agents[slices.IndexFunc(m.agents, func(a *modelAgent) bool { return agentOf(a.name) == name })]
}

// answered checks that an answer is from one run, with each event once and in order.
func (m *agentModel) answered(a Answer) {
	r := m.requests[a.Request]
	m.requestEnded(r)
	if uint64(len(r.delivered)) != a.End.GetEvents() {
		m.t.Fatalf("%s: %d events delivered, %d announced", r.id, len(r.delivered), a.End.GetEvents())
	}
	for i, e := range r.delivered {
		if e != eventOf(r.id, uint64(i)) {
			m.t.Fatalf("%s: event %d is %q", r.id, i, e)
		}
	}
}

// failed checks that "no" is reported only if no engine began the request and none will.
func (m *agentModel) failed(f Fail) {
	r := m.requests[f.Request]
	m.requestEnded(r)
	if f.Err.Ran == result.RanNo && r.begun > 0 {
		m.t.Fatalf("%s: reported as not run, but it ran", r.id)
	}
	if f.Err.Ran == result.RanYes && r.begun == 0 {
		m.t.Fatalf("%s: reported as run, but it never began", r.id)
	}
	if !f.Err.Code.Info().Ran.Has(f.Err.Ran) {
		m.t.Fatalf("%s: code %s may not carry ran %s", r.id, f.Err.Code, f.Err.Ran)
	}
	if f.Err.Ran == result.RanNo {
		r.begun = -1000 // any later start breaks the promise
	}
}

func (m *agentModel) requestEnded(r *modelRequest) {
	r.ends++
	if r.ends > 1 {
		m.t.Fatalf("%s: ended twice", r.id)
	}
}

func eventOf(request string, i uint64) string { return fmt.Sprintf("%s/%d", request, i) }

func attemptKey(id *wire.AttemptID) string {
	return fmt.Sprintf("%s.%d", id.GetRequest(), id.GetNumber())
}

// agentReceives handles a message as a gate does: tombstones first, and at most one attempt of a request.
func (m *agentModel) agentReceives(a *modelAgent, msg *wire.EntryMessage) {
	switch k := msg.GetKind().(type) {
	case *wire.EntryMessage_Dispatch:
		m.agentDispatch(a, k.Dispatch)
	case *wire.EntryMessage_Cancel:
		m.agentCancel(a, k.Cancel.GetAttempt())
	case *wire.EntryMessage_Reserve:
		if id := k.Reserve.GetAttempt(); rapid.IntRange(0, 4).Draw(m.t, "refuse reservation") == 0 && a.attempts[attemptKey(id)] == nil {
			a.tombstones[id.GetRequest()] = max(a.tombstones[id.GetRequest()], id.GetNumber())
			m.over(a, &wire.Over{Attempt: id, Proof: wire.Proof_PROOF_NEVER_STARTED})
			return
		}
		m.sendToEntry(a, &wire.AgentMessage{Kind: &wire.AgentMessage_Offer{Offer: &wire.Offer{Attempt: k.Reserve.GetAttempt(), Server: a.name}}})
	}
}

func (m *agentModel) agentDispatch(a *modelAgent, d *wire.Dispatch) {
	id := d.GetAttempt()
	if at := a.attempts[attemptKey(id)]; at != nil {
		if !at.running {
			m.sendOver(a, at)
		}
		return
	}
	if id.GetNumber() <= a.tombstones[id.GetRequest()] {
		m.over(a, &wire.Over{Attempt: id, Proof: wire.Proof_PROOF_NEVER_STARTED})
		return
	}
	if rapid.IntRange(0, 4).Draw(m.t, "refuse") == 0 {
		a.tombstones[id.GetRequest()] = id.GetNumber()
		m.over(a, &wire.Over{Attempt: id, Proof: wire.Proof_PROOF_NEVER_STARTED})
		return
	}
	m.begin(a, id, uint64(d.GetResumeFrom()))
}

// begin checks at the engine that a request runs once at a time, never after its caller was told that it won't run,
// and at most once if it may not be repeated.
func (m *agentModel) begin(a *modelAgent, id *wire.AttemptID, from uint64) {
	r := m.requests[id.GetRequest()]
	if at := m.running[r.id]; at != "" {
		m.t.Fatalf("%s: begins at %s while it runs at %s", r.id, a.name, at)
	}
	r.begun++
	if r.begun < 0 {
		m.t.Fatalf("%s: begins after its caller was told that it never would", r.id)
	}
	if r.begun > 1 && !r.class.GetRepeatable() {
		m.t.Fatalf("%s: may not be repeated, but began twice", r.id)
	}
	m.running[r.id] = a.name
	a.attempts[attemptKey(id)] = &modelAttempt{id: id, from: from, running: true}
	m.sendToEntry(a, &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: id, Server: a.name}}})
}

func (m *agentModel) agentCancel(a *modelAgent, id *wire.AttemptID) {
	at := a.attempts[attemptKey(id)]
	switch {
	case at == nil:
		a.tombstones[id.GetRequest()] = max(a.tombstones[id.GetRequest()], id.GetNumber())
		proof := wire.Proof_PROOF_NEVER_STARTED
		if a.incarnation > 1 {
			proof = wire.Proof_PROOF_CANCELLED // an earlier incarnation may have run it
		}
		m.over(a, &wire.Over{Attempt: id, Proof: proof})
	case at.running:
		m.stop(a, at, wire.Proof_PROOF_CANCELLED)
	default:
		m.sendOver(a, at)
	}
}

// stop ends a run, and leaves the tombstone that prevents a restart.
func (m *agentModel) stop(a *modelAgent, at *modelAttempt, proof wire.Proof) {
	at.running = false
	at.proof = proof
	delete(m.running, at.id.GetRequest())
	a.tombstones[at.id.GetRequest()] = max(a.tombstones[at.id.GetRequest()], at.id.GetNumber())
	m.sendOver(a, at)
}

func (m *agentModel) sendOver(a *modelAgent, at *modelAttempt) {
	o := &wire.Over{Attempt: at.id, Proof: at.proof}
	if at.proof == wire.Proof_PROOF_COMPLETED {
		o.Answer = answerEndOf(at.from, at.events...)
	}
	m.over(a, o)
}

func (m *agentModel) over(a *modelAgent, o *wire.Over) {
	o.Server = a.name
	m.sendToEntry(a, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: o}})
}

func (m *agentModel) sendToEntry(a *modelAgent, msg *wire.AgentMessage) {
	if a.up {
		a.toEntry = append(a.toEntry, msg)
	}
}

func (m *agentModel) link(a *modelAgent) {
	a.up = true
	m.step(AgentUp{Hello: &wire.AgentHello{Agent: agentOf(a.name), Incarnation: a.incarnation}})
	m.sendRoom(a)
}

func (m *agentModel) sendRoom(a *modelAgent) {
	room := readyRoom(a.name, kindModel, testModel, uint32(rapid.IntRange(0, 2).Draw(m.t, "free")))
	m.sendToEntry(a, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
}

// cutLink closes the link and loses all messages on it.
func (m *agentModel) cutLink(a *modelAgent) {
	a.up = false
	a.toAgent, a.toEntry = nil, nil
}
