package sched

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// A small model of agents and their engines, whose messages may be lost with a link, doubled, delayed and reordered.
// The model knows what really runs where; the scheduler only sees messages.

// modelAttempt is what one engine did for one attempt.
type modelAttempt struct {
	id      *wire.AttemptID
	from    uint64
	events  []string
	running bool
	proof   wire.Proof
}

// modelAgent is one agent with its engine and its links.
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
	starts    int // engines that began it
}

type model struct {
	t        *rapid.T
	s        *Scheduler
	now      time.Time
	agents   []*modelAgent
	requests map[string]*modelRequest
	order    []string
	asked    []ProveAtEngine
	running  map[string]string // request -> agent whose engine runs it
}

var modelClasses = []*wire.Class{summary, order, urgentModel, appeal}

func newModel(t *rapid.T) *model {
	s, err := New(Options{Seed: rapid.Uint64().Draw(t, "seed"), Reservations: 2, MaxQueued: 8, LeaseDuration: 200 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	m := &model{t: t, s: s, now: time.Unix(1_700_000_000, 0), requests: map[string]*modelRequest{}, running: map[string]string{}}
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

func (m *model) step(e Event) {
	for _, action := range m.s.Step(m.now, e) {
		m.take(action)
	}
}

func (m *model) take(action Action) {
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
		m.asked = append(m.asked, a)
	}
}

// send puts a message on the link. The daemon drops one that is meant for another incarnation.
func (m *model) send(a Send) {
	agent := m.agentNamed(a.Agent)
	if !agent.up || agent.incarnation != a.Incarnation {
		return
	}
	agent.toAgent = append(agent.toAgent, a.Message)
}

func (m *model) agentNamed(name string) *modelAgent {
	return m.agents[slices.IndexFunc(m.agents, func(a *modelAgent) bool { return agentOf(a.name) == name })]
}

// answered checks rule 4: the answer is all of one run, each event once and in order.
func (m *model) answered(a Answer) {
	r := m.requests[a.Request]
	m.end(r)
	if uint64(len(r.delivered)) != a.End.GetEvents() {
		m.t.Fatalf("%s: %d events delivered, %d announced", r.id, len(r.delivered), a.End.GetEvents())
	}
	for i, e := range r.delivered {
		if e != eventOf(r.id, uint64(i)) {
			m.t.Fatalf("%s: event %d is %q", r.id, i, e)
		}
	}
}

// failed checks rule 2: "no" is said only if no engine began it and none can.
func (m *model) failed(f Fail) {
	r := m.requests[f.Request]
	m.end(r)
	if f.Err.Ran == result.RanNo && r.starts > 0 {
		m.t.Fatalf("%s: said not to have run, and it ran", r.id)
	}
	if f.Err.Ran == result.RanYes && r.starts == 0 {
		m.t.Fatalf("%s: said to have run, and it didn't", r.id)
	}
	if !f.Err.Code.Info().Ran.Has(f.Err.Ran) {
		m.t.Fatalf("%s: code %s may not say %s", r.id, f.Err.Code, f.Err.Ran)
	}
	if f.Err.Ran == result.RanNo {
		r.starts = -1000 // any later start breaks the promise
	}
}

func (m *model) end(r *modelRequest) {
	r.ends++
	if r.ends > 1 {
		m.t.Fatalf("%s: ended twice", r.id)
	}
}

func eventOf(request string, i uint64) string { return fmt.Sprintf("%s/%d", request, i) }

func key(id *wire.AttemptID) string { return fmt.Sprintf("%s.%d", id.GetRequest(), id.GetNumber()) }

// agentTakes is what a gate does with a message: tombstones first, at most one attempt of a request.
func (m *model) agentTakes(a *modelAgent, msg *wire.EntryMessage) {
	switch k := msg.GetKind().(type) {
	case *wire.EntryMessage_Dispatch:
		m.agentDispatch(a, k.Dispatch)
	case *wire.EntryMessage_Cancel:
		m.agentCancel(a, k.Cancel.GetAttempt())
	case *wire.EntryMessage_Reserve:
		if id := k.Reserve.GetAttempt(); rapid.IntRange(0, 4).Draw(m.t, "refuse reservation") == 0 && a.attempts[key(id)] == nil {
			a.tombstones[id.GetRequest()] = max(a.tombstones[id.GetRequest()], id.GetNumber())
			m.over(a, &wire.Over{Attempt: id, Proof: wire.Proof_PROOF_NEVER_STARTED})
			return
		}
		m.say(a, &wire.AgentMessage{Kind: &wire.AgentMessage_Offer{Offer: &wire.Offer{Attempt: k.Reserve.GetAttempt(), Server: a.name}}})
	}
}

func (m *model) agentDispatch(a *modelAgent, d *wire.Dispatch) {
	id := d.GetAttempt()
	if at := a.attempts[key(id)]; at != nil {
		if !at.running {
			m.sayEnd(a, at)
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

// begin checks rules 1 and 3 where they matter: at the engine.
func (m *model) begin(a *modelAgent, id *wire.AttemptID, from uint64) {
	r := m.requests[id.GetRequest()]
	if at := m.running[r.id]; at != "" {
		m.t.Fatalf("%s: begins at %s while it runs at %s", r.id, a.name, at)
	}
	r.starts++
	if r.starts < 0 {
		m.t.Fatalf("%s: begins after its caller was told that it never would", r.id)
	}
	if r.starts > 1 && !r.class.GetRepeatable() {
		m.t.Fatalf("%s: not repeatable, and began twice", r.id)
	}
	m.running[r.id] = a.name
	a.attempts[key(id)] = &modelAttempt{id: id, from: from, running: true}
	m.say(a, &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: id, Server: a.name}}})
}

func (m *model) agentCancel(a *modelAgent, id *wire.AttemptID) {
	at := a.attempts[key(id)]
	switch {
	case at == nil:
		a.tombstones[id.GetRequest()] = max(a.tombstones[id.GetRequest()], id.GetNumber())
		proof := wire.Proof_PROOF_NEVER_STARTED
		if a.incarnation > 1 {
			proof = wire.Proof_PROOF_CANCELLED // an incarnation before may have run it
		}
		m.over(a, &wire.Over{Attempt: id, Proof: proof})
	case at.running:
		m.stop(a, at, wire.Proof_PROOF_CANCELLED)
	default:
		m.sayEnd(a, at)
	}
}

// stop ends a run, and leaves the tombstone that keeps the attempt over.
func (m *model) stop(a *modelAgent, at *modelAttempt, proof wire.Proof) {
	at.running = false
	at.proof = proof
	delete(m.running, at.id.GetRequest())
	a.tombstones[at.id.GetRequest()] = max(a.tombstones[at.id.GetRequest()], at.id.GetNumber())
	m.sayEnd(a, at)
}

func (m *model) sayEnd(a *modelAgent, at *modelAttempt) {
	o := &wire.Over{Attempt: at.id, Proof: at.proof}
	if at.proof == wire.Proof_PROOF_COMPLETED {
		o.Answer = endOf(at.from, at.events...)
	}
	m.over(a, o)
}

func (m *model) over(a *modelAgent, o *wire.Over) {
	o.Server = a.name
	m.say(a, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: o}})
}

func (m *model) say(a *modelAgent, msg *wire.AgentMessage) {
	if a.up {
		a.toEntry = append(a.toEntry, msg)
	}
}

func (m *model) link(a *modelAgent) {
	a.up = true
	m.step(AgentUp{Hello: &wire.AgentHello{Agent: agentOf(a.name), Incarnation: a.incarnation}})
	m.sayRoom(a)
}

func (m *model) sayRoom(a *modelAgent) {
	room := readyRoom(a.name, kindModel, testModel, uint32(rapid.IntRange(0, 2).Draw(m.t, "free")))
	m.say(a, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
}

// cut loses the link with everything on it.
func (m *model) cut(a *modelAgent) {
	a.up = false
	a.toAgent, a.toEntry = nil, nil
}
