package sched

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/wire"
)

// restart begins a new incarnation: before it replies to anybody it ends all that its engine runs, and it has lost
// all other state.
func (m *agentModel) restart(a *modelAgent) {
	m.cutLink(a)
	for request, at := range m.running {
		if at == a.name {
			delete(m.running, request)
		}
	}
	a.incarnation++
	a.attempts, a.tombstones = map[string]*modelAttempt{}, map[string]uint64{}
	m.link(a)
}

func (m *agentModel) pickAgent() *modelAgent {
	return rapid.SampledFrom(m.agents).Draw(m.t, "agent")
}

// takeMessage removes a message from a queue: usually the first, sometimes a later one. Sometimes the message also
// stays and is delivered again.
func takeMessage[T any](m *agentModel, queue *[]T) T {
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

func (m *agentModel) arrive() {
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
func (m *agentModel) runningAt(a *modelAgent) *modelAttempt {
	var all []*modelAttempt
	for _, at := range a.attempts {
		if at.running {
			all = append(all, at)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(x, y *modelAttempt) int { return cmp.Compare(attemptKey(x.id), attemptKey(y.id)) })
	return rapid.SampledFrom(all).Draw(m.t, "attempt")
}

func (m *agentModel) progress(a *modelAgent, at *modelAttempt) {
	offset := at.from + uint64(len(at.events))
	e := eventOf(at.id.GetRequest(), offset)
	at.events = append(at.events, e)
	m.sendToEntry(a, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: frameOf(at.id, offset, e)}})
}

// answerEngineProof replies to the entry's request for proof as the engine of an unreachable agent: it ends the
// attempt.
func (m *agentModel) answerEngineProof() {
	ask := m.engineProofs[0]
	m.engineProofs = m.engineProofs[1:]
	a := m.agents[slices.IndexFunc(m.agents, func(a *modelAgent) bool { return a.name == ask.Server })]
	proof := wire.Proof_PROOF_NEVER_STARTED
	if at := a.attempts[attemptKey(ask.Attempt)]; at != nil && at.running {
		m.stop(a, at, wire.Proof_PROOF_CANCELLED)
		proof = wire.Proof_PROOF_CANCELLED
	}
	a.tombstones[ask.Attempt.GetRequest()] = max(a.tombstones[ask.Attempt.GetRequest()], ask.Attempt.GetNumber())
	m.step(EngineProved{Attempt: ask.Attempt, Server: ask.Server, Proof: proof})
}

func (m *agentModel) actions() map[string]func(*rapid.T) {
	onAgent := func(do func(a *modelAgent)) func(*rapid.T) {
		return func(*rapid.T) { do(m.pickAgent()) }
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
			m.step(MessageReceived{Agent: agentOf(a.name), Incarnation: a.incarnation, Message: takeMessage(m, &a.toEntry)})
		}
	})
	deliver := onAgent(func(a *modelAgent) {
		if len(a.toAgent) > 0 {
			m.agentReceives(a, takeMessage(m, &a.toAgent))
		}
	})
	flow := onAgent(m.exchange)
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
		"room": onAgent(m.sendRoom),
		"lose": onAgent(func(a *modelAgent) {
			if len(a.toAgent) > 0 {
				takeMessage(m, &a.toAgent)
			}
			if len(a.toEntry) > 0 {
				takeMessage(m, &a.toEntry)
			}
		}),
		"cut": onAgent(func(a *modelAgent) {
			m.cutLink(a)
			m.step(AgentDown{Agent: agentOf(a.name), Incarnation: a.incarnation})
		}),
		"link": onAgent(func(a *modelAgent) {
			if !a.up {
				m.link(a)
			}
		}),
		"restart": onAgent(m.restart),
		"engine": func(*rapid.T) {
			if len(m.engineProofs) > 0 {
				m.answerEngineProof()
			}
		},
		"leave": func(*rapid.T) {
			if len(m.order) > 0 {
				m.step(CallerLeft{Request: rapid.SampledFrom(m.order).Draw(m.t, "request")})
			}
		},
		"time": func(*rapid.T) { m.advance(time.Duration(rapid.IntRange(1, 400).Draw(m.t, "ms")) * time.Millisecond) },
	}
}

// exchange delivers all messages of an agent without losses and lets its engine produce two events.
func (m *agentModel) exchange(a *modelAgent) {
	for len(a.toAgent) > 0 {
		m.agentReceives(a, takeMessage(m, &a.toAgent))
	}
	if at := m.runningAt(a); at != nil {
		m.progress(a, at)
		m.progress(a, at)
	}
	for len(a.toEntry) > 0 {
		m.step(MessageReceived{Agent: agentOf(a.name), Incarnation: a.incarnation, Message: takeMessage(m, &a.toEntry)})
	}
}

func (m *agentModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.step(Tick{})
}

// settle lets all deadlines pass and checks that each request has ended exactly once and that no state remains.
func (m *agentModel) settle() {
	for range 100 {
		m.advance(lateFactor * time.Second)
	}
	for _, id := range m.order {
		if m.requests[id].ends != 1 {
			m.t.Fatalf("%s: %d ends", id, m.requests[id].ends)
		}
	}
	st := m.s.Status()
	if st.Live != 0 || slices.Max(st.Queued) != 0 || len(m.s.timers.items) != 0 {
		m.t.Fatalf("state remains after all requests ended: %+v", st)
	}
	for _, v := range m.s.servers {
		if v.inflight != 0 || len(v.reservedBy) != 0 {
			m.t.Fatalf("%s: %d in flight, %d waiting", v.name, v.inflight, len(v.reservedBy))
		}
	}
}

// modelRounds makes the runs longer than the library's default.
const modelRounds = 4

// TestModel searches for sequences of faults that violate the rules on attempts, reported outcomes and frames.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range modelRounds {
			t.Repeat(m.actions())
		}
		m.settle()
	})
}
