package sched

import (
	"fmt"
	"slices"
	"testing"
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

// restart begins a new incarnation: before it answers anybody it ends all that its engine runs, and it has forgotten
// everything else.
func (m *model) restart(a *modelAgent) {
	m.cut(a)
	for request, at := range m.running {
		if at == a.name {
			delete(m.running, request)
		}
	}
	a.incarnation++
	a.attempts, a.tombstones = map[string]*modelAttempt{}, map[string]uint64{}
	m.link(a)
}

func (m *model) pick() *modelAgent {
	return rapid.SampledFrom(m.agents).Draw(m.t, "agent")
}

// take removes a message from a queue: mostly the first, now and then another one, and now and then it stays to
// come again.
func take[T any](m *model, queue *[]T) T {
	at := 0
	if rapid.IntRange(0, 3).Draw(m.t, "reorder") == 0 {
		at = rapid.IntRange(0, len(*queue)-1).Draw(m.t, "position")
	}
	message := (*queue)[at]
	if rapid.IntRange(0, 5).Draw(m.t, "double") != 0 {
		*queue = slices.Delete(*queue, at, at+1)
	}
	return message
}

func (m *model) arrive() {
	id := fmt.Sprintf("r%d", len(m.order))
	class := rapid.SampledFrom(modelClasses).Draw(m.t, "class")
	stream := rapid.Bool().Draw(m.t, "stream")
	m.requests[id] = &modelRequest{id: id, class: class, stream: stream}
	m.order = append(m.order, id)
	m.step(Arrive{Request: &Request{
		ID: id, Organisation: rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "organisation"), Class: class,
		Target: testModel, Stream: stream, PromptTokens: 10, Arrived: m.now,
		Deadline: m.now.Add(time.Duration(class.GetDeadlineMs()) * time.Millisecond),
	}})
}

// runningAt returns an attempt that the agent's engine runs, or nil.
func (m *model) runningAt(a *modelAgent) *modelAttempt {
	var all []*modelAttempt
	for _, at := range a.attempts {
		if at.running {
			all = append(all, at)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(x, y *modelAttempt) int { return compareString(key(x.id), key(y.id)) })
	return rapid.SampledFrom(all).Draw(m.t, "attempt")
}

func (m *model) progress(a *modelAgent, at *modelAttempt) {
	offset := at.from + uint64(len(at.events))
	e := eventOf(at.id.GetRequest(), offset)
	at.events = append(at.events, e)
	m.say(a, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: frameOf(at.id, offset, e)}})
}

// askedEngine answers the entry's own question at an engine whose agent is gone: it ends the attempt.
func (m *model) askedEngine() {
	ask := m.asked[0]
	m.asked = m.asked[1:]
	a := m.agents[slices.IndexFunc(m.agents, func(a *modelAgent) bool { return a.name == ask.Server })]
	proof := wire.Proof_PROOF_NEVER_STARTED
	if at := a.attempts[key(ask.Attempt)]; at != nil && at.running {
		m.stop(a, at, wire.Proof_PROOF_CANCELLED)
		proof = wire.Proof_PROOF_CANCELLED
	}
	a.tombstones[ask.Attempt.GetRequest()] = max(a.tombstones[ask.Attempt.GetRequest()], ask.Attempt.GetNumber())
	m.step(EngineProved{Attempt: ask.Attempt, Server: ask.Server, Proof: proof})
}

func (m *model) actions() map[string]func(*rapid.T) {
	onAgent := func(do func(a *modelAgent)) func(*rapid.T) {
		return func(*rapid.T) { do(m.pick()) }
	}
	onRun := func(do func(a *modelAgent, at *modelAttempt)) func(*rapid.T) {
		return onAgent(func(a *modelAgent) {
			if at := m.runningAt(a); at != nil {
				do(a, at)
			}
		})
	}
	receive := onAgent(func(a *modelAgent) {
		if len(a.toEntry) > 0 {
			m.step(Received{Agent: agentOf(a.name), Incarnation: a.incarnation, Message: take(m, &a.toEntry)})
		}
	})
	deliver := onAgent(func(a *modelAgent) {
		if len(a.toAgent) > 0 {
			m.agentTakes(a, take(m, &a.toAgent))
		}
	})
	flow := onAgent(m.flow)
	return map[string]func(*rapid.T){
		"flow":     flow,
		"flow2":    flow,
		"flow3":    flow,
		"arrive2":  func(*rapid.T) { m.arrive() },
		"arrive":   func(*rapid.T) { m.arrive() },
		"receive":  receive,
		"receive2": receive,
		"receive3": receive,
		"deliver":  deliver,
		"deliver2": deliver,
		"progress": onRun(m.progress),
		"complete": onRun(func(a *modelAgent, at *modelAttempt) { m.stop(a, at, wire.Proof_PROOF_COMPLETED) }),
		"fail":     onRun(func(a *modelAgent, at *modelAttempt) { m.stop(a, at, wire.Proof_PROOF_FAILED) }),
		"unproven": onRun(func(a *modelAgent, at *modelAttempt) {
			m.over(a, &wire.Over{Attempt: at.id, Proof: wire.Proof_PROOF_UNPROVEN})
		}),
		"room": onAgent(m.sayRoom),
		"lose": onAgent(func(a *modelAgent) {
			if len(a.toAgent) > 0 {
				take(m, &a.toAgent)
			}
			if len(a.toEntry) > 0 {
				take(m, &a.toEntry)
			}
		}),
		"cut": onAgent(func(a *modelAgent) {
			m.cut(a)
			m.step(AgentDown{Agent: agentOf(a.name), Incarnation: a.incarnation})
		}),
		"link": onAgent(func(a *modelAgent) {
			if !a.up {
				m.link(a)
			}
		}),
		"restart": onAgent(m.restart),
		"engine": func(*rapid.T) {
			if len(m.asked) > 0 {
				m.askedEngine()
			}
		},
		"leave": func(*rapid.T) {
			if len(m.order) > 0 {
				m.step(CallerLeft{Request: rapid.SampledFrom(m.order).Draw(m.t, "request")})
			}
		},
		"time": func(*rapid.T) { m.pass(time.Duration(rapid.IntRange(1, 400).Draw(m.t, "ms")) * time.Millisecond) },
	}
}

// flow is what happens when nothing goes wrong for a moment.
func (m *model) flow(a *modelAgent) {
	for len(a.toAgent) > 0 {
		m.agentTakes(a, take(m, &a.toAgent))
	}
	if at := m.runningAt(a); at != nil {
		m.progress(a, at)
		m.progress(a, at)
	}
	for len(a.toEntry) > 0 {
		m.step(Received{Agent: agentOf(a.name), Incarnation: a.incarnation, Message: take(m, &a.toEntry)})
	}
}

func (m *model) pass(d time.Duration) {
	m.now = m.now.Add(d)
	m.step(Tick{})
}

// settle lets all deadlines pass and checks that each request has its one end, and nothing is left behind.
func (m *model) settle() {
	for range 100 {
		m.pass(lateFactor * time.Second)
	}
	for _, id := range m.order {
		if m.requests[id].ends != 1 {
			m.t.Fatalf("%s: %d ends", id, m.requests[id].ends)
		}
	}
	st := m.s.Status()
	if st.Live != 0 || slices.Max(st.Queued) != 0 || len(m.s.wakes.items) != 0 {
		m.t.Fatalf("left behind: %+v", st)
	}
	for _, v := range m.s.servers {
		if v.inflight != 0 || len(v.waiting) != 0 {
			m.t.Fatalf("%s: %d in flight, %d waiting", v.name, v.inflight, len(v.waiting))
		}
	}
}

// modelRounds makes the runs longer than the library's default.
const modelRounds = 4

// TestModel looks for sequences of faults that break the rules on attempts, truth and frames.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range modelRounds {
			t.Repeat(m.actions())
		}
		m.settle()
	})
}
