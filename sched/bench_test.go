package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	benchServers = 400
	benchQueued  = 10_000
	benchTargets = 5
)

// benchWorld is a scheduler of 400 servers with 10,000 requests queued for want of room.
type benchWorld struct {
	s    *Scheduler
	now  time.Time
	next int
}

func newBenchWorld(b *testing.B) *benchWorld {
	b.Helper()
	s, err := New(Options{MaxQueued: 2 * benchQueued})
	if err != nil {
		b.Fatal(err)
	}
	w := &benchWorld{s: s, now: time.Unix(1_700_000_000, 0)}
	var records []*wire.AgentRecord
	for i := range benchServers {
		name := fmt.Sprintf("s%03d", i)
		records = append(records, &wire.AgentRecord{Agent: agentOf(name), Servers: []*wire.ServerRecord{
			{Server: name, Kind: kindModel, Models: []string{benchTarget(i)}, Condition: wire.ServerCondition_SERVER_CONDITION_READY},
		}})
	}
	s.Step(w.now, Directory{Agents: records})
	for i := range benchServers {
		s.Step(w.now, AgentUp{Hello: &wire.AgentHello{Agent: agentOf(fmt.Sprintf("s%03d", i)), Incarnation: 1}})
		w.room(i, 0)
	}
	for range benchQueued {
		w.arrive()
	}
	return w
}

func benchTarget(i int) string { return fmt.Sprint("model-", i%benchTargets) }

func (w *benchWorld) say(i int, m *wire.AgentMessage) []Action {
	return w.s.Step(w.now, MessageReceived{Agent: agentOf(fmt.Sprintf("s%03d", i)), Incarnation: 1, Message: m})
}

func (w *benchWorld) room(i int, free uint32) []Action {
	name := fmt.Sprintf("s%03d", i)
	return w.say(i, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: readyRoom(name, kindModel, benchTarget(i), free)}})
}

func (w *benchWorld) arrive() {
	w.next++
	class := []*wire.Class{appeal, summary, urgentModel}[w.next%3]
	w.s.Step(w.now, Arrive{Request: &Request{
		ID: fmt.Sprint("r", w.next), Organisation: fmt.Sprint("org-", w.next%20), Class: class, Target: benchTarget(w.next),
		PromptTokens: uint32(10 + w.next%1000), Prefix: []uint64{uint64(w.next % 100), uint64(w.next % 500)},
		Arrived: w.now, Deadline: w.now.Add(time.Duration(class.GetDeadlineMs()) * time.Millisecond),
	}})
}

// BenchmarkRequest measures all that one request costs its entry: arrival, room, dispatch, start, a frame, the end.
func BenchmarkRequest(b *testing.B) {
	w := newBenchWorld(b)
	steps := 0
	b.ReportAllocs()
	for b.Loop() {
		i := w.next % benchServers
		w.arrive()
		steps += 2 + w.serveOne(w.room(i, 1))
	}
	b.ReportMetric(float64(steps)/float64(b.N), "steps/op")
}

// serveOne answers the dispatch among the actions.
func (w *benchWorld) serveOne(actions []Action) int {
	d := dispatchIn(actions)
	if d == nil {
		return 0
	}
	var i int
	_, _ = fmt.Sscanf(d.GetServer(), "s%03d", &i)
	id := d.GetAttempt()
	w.say(i, &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: id, Server: d.GetServer()}}})
	w.say(i, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: frameOf(id, 0, "a", "b")}})
	w.room(i, 0)
	w.say(i, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: &wire.Over{
		Attempt: id, Server: d.GetServer(), Proof: wire.Proof_PROOF_COMPLETED, Answer: endOf(0, "a", "b"),
	}}})
	return 4
}

func dispatchIn(actions []Action) *wire.Dispatch {
	for _, a := range actions {
		if s, ok := a.(Send); ok && s.Message.GetDispatch() != nil {
			return s.Message.GetDispatch()
		}
	}
	return nil
}

// BenchmarkTick measures a tick with nothing due.
func BenchmarkTick(b *testing.B) {
	w := newBenchWorld(b)
	b.ReportAllocs()
	for b.Loop() {
		w.s.Step(w.now, Tick{})
	}
}
