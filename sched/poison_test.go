package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// newPoisonHarness returns a harness with the given number of servers of the test service, each with room.
func newPoisonHarness(t *testing.T, servers int) *harness {
	h := newHarness(t, Options{})
	for i := range servers {
		h.addServer(fmt.Sprint("s", i), kindService, testService, 1)
	}
	return h
}

// poisonKeyOf returns the key that all requests of a harness for a class share.
func (h *harness) poisonKeyOf(class *wire.Class) poison.Key {
	return poison.Key{Organisation: "org", Fingerprint: h.request("any", class).fingerprint()}
}

// crash ends an attempt by a crash of its server's process.
func (h *harness) crash(at sentMessage) {
	h.t.Helper()
	h.over(at.server, &wire.Over{
		Attempt: at.id, Proof: wire.Proof_PROOF_CANCELLED, Began: true, Crash: h.crashAt(at),
	})
	h.advance(MinTickInterval)
}

// crashAt returns the crash of an attempt's server as its agent reports it.
func (h *harness) crashAt(at sentMessage) *wire.Crash {
	return &wire.Crash{
		Id: fmt.Sprint(at.server, "@", at.id.GetNumber()), Server: at.server, Alone: h.isWatched(at), Reporter: agentOf(at.server),
	}
}

// isWatched reports whether an attempt was sent as one that has to begin alone.
func (h *harness) isWatched(at sentMessage) bool {
	for _, sent := range h.sent {
		if d := sent.Message.GetDispatch(); d != nil && d.GetAttempt() == at.id {
			return d.GetWork().GetWatched()
		}
	}
	return false
}

// committedRecord returns a record with the given number of crashes.
func committedRecord(key poison.Key, crashes int, version uint64) *wire.PoisonRecord {
	record := key.NewRecord()
	for i := range crashes {
		poison.AddCrash(record, &wire.Crash{Id: fmt.Sprint(i), Server: fmt.Sprint("other-", i), Alone: i == 2}, 1)
	}
	record.Version = version
	return record
}

// clearedVersions returns the versions of the records that the actions ask control to clear.
func clearedVersions(actions []Action) []uint64 {
	var versions []uint64
	for _, a := range actions {
		if c, ok := a.(ClearPoison); ok {
			for _, record := range c.Records {
				versions = append(versions, record.GetVersion())
			}
		}
	}
	return versions
}

// Guards against an entry that sends a request to server after server, crashing each. Its attempts end with their
// servers' processes before control has committed anything; the local crashes must count. The caller of the third
// attempt is told that it ran, later callers that theirs didn't.
func TestLocalCrashesQuarantineRequest(t *testing.T) {
	h := newPoisonHarness(t, 6)
	h.arrive("r1", gateCheck)
	for n := range poison.QuarantineThreshold {
		h.crash(h.lastDispatch("r1", n+1))
	}
	require.Len(t, h.dispatches("r1"), poison.QuarantineThreshold)
	require.Equal(t, result.EngineLost, h.failures["r1"].Code)
	require.Equal(t, result.RanYes, h.failures["r1"].Ran)

	h.arrive("r2", gateCheck)
	require.Empty(t, h.dispatches("r2"))
	failure := h.failures["r2"]
	require.Equal(t, result.RequestQuarantined, failure.Code)
	require.Equal(t, result.RanNo, failure.Ran)
	require.Positive(t, failure.RetryAfter)
	for _, at := range h.dispatches("r1") {
		require.Contains(t, failure.Message, at.server, "the reason names the servers")
	}
	explanation, known := h.s.Explain("r2")
	require.True(t, known)
	require.Equal(t, failure.Message, explanation.Reason)
	lost := 0
	for _, c := range h.counts {
		if c.Counter == Lost {
			lost++
		}
	}
	require.Equal(t, 1, lost, "r1 only: refused repeats don't count against the class's target")
	other := h.request("r3", gateCheck)
	other.Organisation = "rival"
	h.step(Arrive{Request: other})
	require.Len(t, h.dispatches("r3"), 1, "the same request of another organisation is a different one")

	h.advance(localCrashRetention + time.Second)
	h.arrive("r4", gateCheck)
	require.Len(t, h.dispatches("r4"), 1, "by then control has committed or refuted the crashes")
}

// Guards against three more crashed servers for each entry although one entry knows of three crashes: the agents
// that saw them can't reach control, while their entries can. The entry must report crashes as well.
func TestEntryReportsCrashesToControl(t *testing.T) {
	h := newPoisonHarness(t, 6)
	var notes []*wire.NoteCrash
	h.arrive("r1", gateCheck)
	for n := range poison.QuarantineThreshold {
		at := h.lastDispatch("r1", n+1)
		for _, proof := range []wire.Proof{wire.Proof_PROOF_UNPROVEN, wire.Proof_PROOF_CANCELLED} {
			over := &wire.Over{
				Attempt: at.id, Server: at.server, Proof: proof, Began: true, Crash: h.crashAt(at),
			}
			for _, a := range h.step(MessageReceived{Agent: agentOf(at.server), Incarnation: 1, Message: &wire.AgentMessage{
				Kind: &wire.AgentMessage_Over{Over: over},
			}}) {
				if report, ok := a.(ReportCrash); ok {
					notes = append(notes, report.Note)
				}
			}
		}
		h.advance(MinTickInterval)
	}
	require.Len(t, notes, poison.QuarantineThreshold, "each crash once, although it is reported before and with the proof")
	record := h.poisonKeyOf(gateCheck).NewRecord()
	for i, note := range notes {
		require.Equal(t, h.poisonKeyOf(gateCheck), poison.KeyOf(note.GetRan()[0]))
		require.True(t, poison.AddCrash(record, note.GetCrash(), uint64(i)))
	}
	require.Equal(t, poison.Quarantined, poison.StandingOf(record))
}

// Guards against sending a request that other entries know to crash servers: it is queued or running when the
// committed record arrives. The record must also apply to requests that have already arrived.
func TestCommittedQuarantineAppliesToQueuedRequests(t *testing.T) {
	h := newPoisonHarness(t, 1)
	h.arrive("runs", gateCheck)
	h.reportRoom("s0", kindService, testService, 0)
	h.arrive("waits", gateCheck)
	h.step(PoisonRecords{Records: []*wire.PoisonRecord{committedRecord(h.poisonKeyOf(gateCheck), 3, 9)}})
	require.Equal(t, result.RequestQuarantined, h.failures["waits"].Code)
	require.Nil(t, h.failures["runs"])
	h.crash(h.lastDispatch("runs", 1))
	require.Len(t, h.dispatches("runs"), 1)
	require.Equal(t, result.EngineLost, h.failures["runs"].Code)

	h.step(PoisonRecords{})
	h.reportRoom("s0", kindService, testService, 1)
	h.advance(localCrashRetention)
	h.arrive("later", gateCheck)
	require.Len(t, h.dispatches("later"), 1)
}

// Guards against a request that may be harmless and takes capacity at several servers: it has to begin alone, and
// each gate where it has a reservation drains its server. It must reserve at one server only, and not be sent to
// one that runs others.
func TestWatchedRequestReservesAtOneServer(t *testing.T) {
	h := newPoisonHarness(t, 3)
	for i := range 3 {
		room := readyRoom(fmt.Sprint("s", i), kindService, testService, 2)
		room.Running = 1
		h.receive(fmt.Sprint("s", i), &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
	}
	h.step(PoisonRecords{Records: []*wire.PoisonRecord{committedRecord(h.poisonKeyOf(gateCheck), 2, 9)}})
	h.arrive("r1", gateCheck)
	require.Empty(t, h.dispatches("r1"))
	reserved := h.reserves("r1")
	require.Len(t, reserved, 1)
	h.offer(reserved[0].server, reserved[0].id)
	require.Len(t, h.dispatches("r1"), 1)
	require.True(t, h.isWatched(h.lastDispatch("r1", 1)))
}

// Guards against counting local and committed crashes separately: two committed crashes and a local one must
// quarantine the request.
func TestLocalAndCommittedCrashesAddUp(t *testing.T) {
	h := newPoisonHarness(t, 3)
	h.step(PoisonRecords{Records: []*wire.PoisonRecord{committedRecord(h.poisonKeyOf(gateCheck), 2, 9)}})
	h.arrive("r1", gateCheck)
	at := h.lastDispatch("r1", 1)
	require.True(t, h.isWatched(at))
	h.crash(at)
	require.Len(t, h.dispatches("r1"), 1)
	require.Equal(t, result.EngineLost, h.failures["r1"].Code)
}

// Guards against a harmless request that stays refused: it ran during crashes and is then answered, or was answered
// shortly before three servers crashed at once. The answer must clear the crashes.
func TestAnswerClearsPoisonRecord(t *testing.T) {
	h := newPoisonHarness(t, 2)
	h.step(PoisonRecords{Records: []*wire.PoisonRecord{committedRecord(h.poisonKeyOf(gateCheck), 2, 9)}})
	h.arrive("r1", gateCheck)
	at := h.lastDispatch("r1", 1)
	h.frame(at.server, at.id, 0, "x")
	actions := h.s.Step(h.now, MessageReceived{Agent: agentOf(at.server), Incarnation: 1, Message: &wire.AgentMessage{
		Kind: &wire.AgentMessage_Over{Over: &wire.Over{
			Attempt: at.id, Server: at.server, Proof: wire.Proof_PROOF_COMPLETED, Answer: answerEndOf(0, "x"),
		}},
	}})
	require.Equal(t, []uint64{9}, clearedVersions(actions))

	require.Equal(t, []uint64{12}, clearedVersions(h.step(PoisonRecords{Records: []*wire.PoisonRecord{committedRecord(h.poisonKeyOf(gateCheck), 3, 12)}})))
	h.reportRoom(at.server, kindService, testService, 1)
	h.arrive("r2", gateCheck)
	require.Len(t, h.dispatches("r2"), 1, "it isn't refused meanwhile")

	h.advance(recentAnswerRetention + time.Second)
	require.Empty(t, clearedVersions(h.step(PoisonRecords{Records: []*wire.PoisonRecord{committedRecord(h.poisonKeyOf(gateCheck), 3, 15)}})))
	h.arrive("r3", gateCheck)
	require.Equal(t, result.RequestQuarantined, h.failures["r3"].Code, "an old answer doesn't refute crashes")
}

// Guards against clearing crashes on an error answer, which a server may give before it begins to run a request.
func TestErrorAnswerClearsNoPoisonRecord(t *testing.T) {
	h := newPoisonHarness(t, 2)
	h.step(PoisonRecords{Records: []*wire.PoisonRecord{committedRecord(h.poisonKeyOf(passIssue), 2, 9)}})
	h.arrive("r1", passIssue)
	at := h.lastDispatch("r1", 1)
	h.frame(at.server, at.id, 0, "x")
	end := answerEndOf(0, "x")
	end.Status = 500
	actions := h.s.Step(h.now, MessageReceived{Agent: agentOf(at.server), Incarnation: 1, Message: &wire.AgentMessage{
		Kind: &wire.AgentMessage_Over{Over: &wire.Over{
			Attempt: at.id, Server: at.server, Proof: wire.Proof_PROOF_COMPLETED, Answer: end,
		}},
	}})
	require.Empty(t, clearedVersions(actions))
}

// poisonTableOf returns a scheduler that knows of a number of suspect parts, and a request with 12 others.
func poisonTableOf(b *testing.B, suspects int) (*Scheduler, *request) {
	s, err := New(Options{})
	require.NoError(b, err)
	var records []*wire.PoisonRecord
	for i := range suspects {
		records = append(records, committedRecord(poison.PartKey(testModel, uint64(i+1000)), 2, uint64(i+1)))
	}
	s.Step(time.Unix(1, 0), PoisonRecords{Records: records})
	r := &request{Request: &Request{Target: testModel, Class: gateCheck}}
	for i := range 13 {
		r.Parts = append(r.Parts, Part{ID: uint64(i + 1)})
	}
	r.subjects = subjectsOf(r.Request)
	return s, r
}

// BenchmarkSuspicion measures what crashes say about a request with 12 shared parts, without and with known suspects, and
// noting its answer.
func BenchmarkSuspicion(b *testing.B) {
	for _, suspects := range []int{0, 10_000} {
		b.Run(fmt.Sprint(suspects, "suspects"), func(b *testing.B) {
			s, r := poisonTableOf(b, suspects)
			for b.Loop() {
				s.suspect(r)
			}
		})
	}
	b.Run("answered", func(b *testing.B) {
		s, r := poisonTableOf(b, 10_000)
		for b.Loop() {
			s.noteAnswered(r, &wire.AnswerEnd{Status: 200})
		}
	})
}
