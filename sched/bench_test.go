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

// benchHarness holds a scheduler of 400 servers with 10,000 requests queued for lack of room.
type benchHarness struct {
	s    *Scheduler
	now  time.Time
	next int
}

func newBenchHarness(b *testing.B, byLength bool) *benchHarness {
	b.Helper()
	s, err := New(Options{MaxQueued: 2 * benchQueued, ByLength: byLength})
	if err != nil {
		b.Fatal(err)
	}
	h := &benchHarness{s: s, now: time.Unix(1_700_000_000, 0)}
	var records []*wire.AgentRecord
	for i := range benchServers {
		name := fmt.Sprintf("s%03d", i)
		records = append(records, &wire.AgentRecord{Agent: agentOf(name), Servers: []*wire.ServerRecord{
			{Server: name, Kind: kindModel, Models: []string{benchTarget(i)}, Condition: wire.ServerCondition_SERVER_CONDITION_READY},
		}})
	}
	s.Step(h.now, Directory{Agents: records})
	for i := range benchServers {
		s.Step(h.now, AgentUp{Hello: &wire.AgentHello{Agent: agentOf(fmt.Sprintf("s%03d", i)), Incarnation: 1}})
		h.reportRoom(i, 0)
	}
	for range benchQueued {
		h.arrive()
	}
	return h
}

func benchTarget(i int) string { return fmt.Sprint("model-", i%benchTargets) }

func (h *benchHarness) receive(i int, m *wire.AgentMessage) []Action {
	return h.s.Step(h.now, MessageReceived{Agent: agentOf(fmt.Sprintf("s%03d", i)), Incarnation: 1, Message: m})
}

func (h *benchHarness) reportRoom(i int, free uint32) []Action {
	name := fmt.Sprintf("s%03d", i)
	return h.receive(i, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: readyRoom(name, kindModel, benchTarget(i), free)}})
}

func (h *benchHarness) arrive() {
	h.next++
	class := []*wire.Class{appeal, summary, urgentModel}[h.next%3]
	h.s.Step(h.now, Arrive{Request: &Request{
		ID: fmt.Sprint("r", h.next), Organisation: fmt.Sprint("org-", h.next%20), Class: class, Target: benchTarget(h.next),
		PromptTokens: uint32(10 + h.next%1000), Prefix: []uint64{uint64(h.next % 100), uint64(h.next % 500)},
		Arrived: h.now, Deadline: h.now.Add(time.Duration(class.GetDeadlineMs()) * time.Millisecond),
	}})
}

// BenchmarkRequest measures the total cost of a request at its entry: arrival, room, dispatch, start, a frame, the
// end.
func BenchmarkRequest(b *testing.B) { benchmarkRequest(b, false) }

// BenchmarkRequestByLength is BenchmarkRequest with the placement by length.
func BenchmarkRequestByLength(b *testing.B) { benchmarkRequest(b, true) }

func benchmarkRequest(b *testing.B, byLength bool) {
	b.Helper()
	h := newBenchHarness(b, byLength)
	steps := 0
	b.ReportAllocs()
	for b.Loop() {
		i := h.next % benchServers
		h.arrive()
		steps += 2 + h.answerDispatch(h.reportRoom(i, 1))
	}
	b.ReportMetric(float64(steps)/float64(b.N), "steps/op")
}

// answerDispatch answers the dispatch among the actions, if there is one, and returns the number of steps.
func (h *benchHarness) answerDispatch(actions []Action) int {
	d := dispatchIn(actions)
	if d == nil {
		return 0
	}
	var i int
	_, _ = fmt.Sscanf(d.GetServer(), "s%03d", &i)
	id := d.GetAttempt()
	h.receive(i, &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: id, Server: d.GetServer()}}})
	h.receive(i, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: frameOf(id, 0, "a", "b")}})
	h.reportRoom(i, 0)
	h.receive(i, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: &wire.Over{
		Attempt: id, Server: d.GetServer(), Proof: wire.Proof_PROOF_COMPLETED, Answer: answerEndOf(0, "a", "b"),
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

// BenchmarkTick measures a tick without expired timers.
func BenchmarkTick(b *testing.B) {
	h := newBenchHarness(b, false)
	b.ReportAllocs()
	for b.Loop() {
		h.s.Step(h.now, Tick{})
	}
}
