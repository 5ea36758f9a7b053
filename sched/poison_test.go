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

// poisonWorld is a world with so many servers of the test service with room.
func poisonWorld(t *testing.T, servers int) *world {
	w := newWorld(t, Options{})
	for i := range servers {
		w.serve(fmt.Sprint("s", i), kindService, testService, 1)
	}
	return w
}

// print is the key that all requests of a world for a class share.
func (w *world) print(class *wire.Class) poison.Key {
	return poison.Key{Organisation: "org", Fingerprint: w.request("any", class).fingerprint()}
}

// crash ends an attempt by the end of its server's process.
func (w *world) crash(at sentTo) {
	w.t.Helper()
	w.over(at.server, &wire.Over{
		Attempt: at.id, Proof: wire.Proof_PROOF_CANCELLED, Began: true, Crash: w.crashAt(at),
	})
	w.pass(MinTickInterval)
}

// crashAt is the crash of an attempt's server, as its agent reports it.
func (w *world) crashAt(at sentTo) *wire.Crash {
	return &wire.Crash{
		Id: fmt.Sprint(at.server, "@", at.id.GetNumber()), Server: at.server, Alone: w.isWatched(at), Reporter: agentOf(at.server),
	}
}

// isWatched tells whether an attempt was sent as one that has to begin alone.
func (w *world) isWatched(at sentTo) bool {
	for _, sent := range w.sent {
		if d := sent.Message.GetDispatch(); d != nil && d.GetAttempt() == at.id {
			return d.GetWork().GetWatched()
		}
	}
	return false
}

// committed is a record of so many crashes.
func committed(key poison.Key, crashes int, version uint64) *wire.PoisonRecord {
	record := key.NewRecord()
	for i := range crashes {
		poison.AddCrash(record, &wire.Crash{Id: fmt.Sprint(i), Server: fmt.Sprint("other-", i), Alone: i == 2}, 1)
	}
	record.Version = version
	return record
}

// cleared are the versions of the records that a step has control forget.
func cleared(actions []Action) []uint64 {
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

// Symptom: one entry sends a request to server after server, and each crashes. Sequence: its attempts end with their servers'
// processes, before control has committed anything. The caller of the third hears that it ran, later ones that theirs did not.
// Cause: an entry that goes by what control has committed only.
func TestEntryGoesByTheCrashesThatItHasSeen(t *testing.T) {
	w := poisonWorld(t, 6)
	w.arrive("r1", gateCheck)
	for n := range poison.QuarantineThreshold {
		w.crash(w.last("r1", n+1))
	}
	require.Len(t, w.dispatches("r1"), poison.QuarantineThreshold)
	require.Equal(t, result.EngineLost, w.failures["r1"].Code)
	require.Equal(t, result.RanYes, w.failures["r1"].Ran)

	w.arrive("r2", gateCheck)
	require.Empty(t, w.dispatches("r2"))
	failure := w.failures["r2"]
	require.Equal(t, result.RequestQuarantined, failure.Code)
	require.Equal(t, result.RanNo, failure.Ran)
	require.Positive(t, failure.RetryAfter)
	for _, at := range w.dispatches("r1") {
		require.Contains(t, failure.Message, at.server, "the reason names the servers")
	}
	explanation, known := w.s.Explain("r2")
	require.True(t, known)
	require.Equal(t, failure.Message, explanation.Reason)
	lost := 0
	for _, c := range w.counts {
		if c.Counter == Lost {
			lost++
		}
	}
	require.Equal(t, 1, lost, "r1 only: who repeats it doesn't make the class look as if it missed its target")
	other := w.request("r3", gateCheck)
	other.Organisation = "rival"
	w.step(Arrive{Request: other})
	require.Len(t, w.dispatches("r3"), 1, "another caller's request is another one")

	w.pass(ownCrashLife + time.Second)
	w.arrive("r4", gateCheck)
	require.Len(t, w.dispatches("r4"), 1, "control has it by then, or has refuted it")
}

// Symptom: three servers more crash for each entry, though one knows of three crashes. Sequence: the agents that saw them are cut
// off from control, and their entries are not. Cause: crashes reported by agents only.
func TestEntryReportsTheCrashesThatItHearsOf(t *testing.T) {
	w := poisonWorld(t, 6)
	var notes []*wire.NoteCrash
	w.arrive("r1", gateCheck)
	for n := range poison.QuarantineThreshold {
		at := w.last("r1", n+1)
		for _, proof := range []wire.Proof{wire.Proof_PROOF_UNPROVEN, wire.Proof_PROOF_CANCELLED} {
			over := &wire.Over{
				Attempt: at.id, Server: at.server, Proof: proof, Began: true, Crash: w.crashAt(at),
			}
			for _, a := range w.step(MessageReceived{Agent: agentOf(at.server), Incarnation: 1, Message: &wire.AgentMessage{
				Kind: &wire.AgentMessage_Over{Over: over},
			}}) {
				if report, ok := a.(ReportCrash); ok {
					notes = append(notes, report.Note)
				}
			}
		}
		w.pass(MinTickInterval)
	}
	require.Len(t, notes, poison.QuarantineThreshold, "each crash once, though it is heard of before and with the proof")
	record := w.print(gateCheck).NewRecord()
	for i, note := range notes {
		require.Equal(t, w.print(gateCheck), poison.KeyOf(note.GetRan()[0]))
		require.True(t, poison.AddCrash(record, note.GetCrash(), uint64(i)))
	}
	require.Equal(t, poison.Quarantined, poison.StandingOf(record))
}

// Symptom: an entry sends a request on that others know to crash servers. Sequence: requests wait and run when control's word
// comes. Cause: the word of control looked at on arrival only.
func TestWordOfControlBindsWhatWaits(t *testing.T) {
	w := poisonWorld(t, 1)
	w.arrive("runs", gateCheck)
	w.room("s0", kindService, testService, 0)
	w.arrive("waits", gateCheck)
	w.step(PoisonRecords{Records: []*wire.PoisonRecord{committed(w.print(gateCheck), 3, 9)}})
	require.Equal(t, result.RequestQuarantined, w.failures["waits"].Code)
	require.Nil(t, w.failures["runs"])
	w.crash(w.last("runs", 1))
	require.Len(t, w.dispatches("runs"), 1)
	require.Equal(t, result.EngineLost, w.failures["runs"].Code)

	w.step(PoisonRecords{})
	w.room("s0", kindService, testService, 1)
	w.pass(ownCrashLife)
	w.arrive("later", gateCheck)
	require.Len(t, w.dispatches("later"), 1)
}

// Symptom: a request that may be innocent takes several servers from all others. Sequence: it has to begin alone; it waits at
// three gates, each of which lets its server run empty, or is sent to a server that runs others. Cause: as many reservations as
// for any request.
func TestWatchedRequestWaitsAtOneGate(t *testing.T) {
	w := poisonWorld(t, 3)
	for i := range 3 {
		room := readyRoom(fmt.Sprint("s", i), kindService, testService, 2)
		room.Running = 1
		w.say(fmt.Sprint("s", i), &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
	}
	w.step(PoisonRecords{Records: []*wire.PoisonRecord{committed(w.print(gateCheck), 2, 9)}})
	w.arrive("r1", gateCheck)
	require.Empty(t, w.dispatches("r1"))
	reserved := w.reserves("r1")
	require.Len(t, reserved, 1)
	w.offer(reserved[0].server, reserved[0].id)
	require.Len(t, w.dispatches("r1"), 1)
	require.True(t, w.isWatched(w.last("r1", 1)))
}

func TestCrashesSeenHereAndElsewhereAddUp(t *testing.T) {
	w := poisonWorld(t, 3)
	w.step(PoisonRecords{Records: []*wire.PoisonRecord{committed(w.print(gateCheck), 2, 9)}})
	w.arrive("r1", gateCheck)
	at := w.last("r1", 1)
	require.True(t, w.isWatched(at))
	w.crash(at)
	require.Len(t, w.dispatches("r1"), 1)
	require.Equal(t, result.EngineLost, w.failures["r1"].Code)
}

// Symptom: a request that harmed nobody stays refused. Sequence: it was beside crashes, and then a server answers it; or it was
// answered a moment before three servers died at once. Cause: crashes that nothing takes back.
func TestAnswerRefutesCrashes(t *testing.T) {
	w := poisonWorld(t, 2)
	w.step(PoisonRecords{Records: []*wire.PoisonRecord{committed(w.print(gateCheck), 2, 9)}})
	w.arrive("r1", gateCheck)
	at := w.last("r1", 1)
	w.frame(at.server, at.id, 0, "x")
	actions := w.s.Step(w.now, MessageReceived{Agent: agentOf(at.server), Incarnation: 1, Message: &wire.AgentMessage{
		Kind: &wire.AgentMessage_Over{Over: &wire.Over{
			Attempt: at.id, Server: at.server, Proof: wire.Proof_PROOF_COMPLETED, Answer: endOf(0, "x"),
		}},
	}})
	require.Equal(t, []uint64{9}, cleared(actions))

	require.Equal(t, []uint64{12}, cleared(w.step(PoisonRecords{Records: []*wire.PoisonRecord{committed(w.print(gateCheck), 3, 12)}})))
	w.room(at.server, kindService, testService, 1)
	w.arrive("r2", gateCheck)
	require.Len(t, w.dispatches("r2"), 1, "it isn't refused meanwhile")

	w.pass(wholeAnswerLife + time.Second)
	require.Empty(t, cleared(w.step(PoisonRecords{Records: []*wire.PoisonRecord{committed(w.print(gateCheck), 3, 15)}})))
	w.arrive("r3", gateCheck)
	require.Equal(t, result.RequestQuarantined, w.failures["r3"].Code, "an answer of long ago says nothing")
}

// A server may answer with an error before it begins to run a request.
func TestErrorOfAServerRefutesNothing(t *testing.T) {
	w := poisonWorld(t, 2)
	w.step(PoisonRecords{Records: []*wire.PoisonRecord{committed(w.print(passIssue), 2, 9)}})
	w.arrive("r1", passIssue)
	at := w.last("r1", 1)
	w.frame(at.server, at.id, 0, "x")
	end := endOf(0, "x")
	end.Status = 500
	actions := w.s.Step(w.now, MessageReceived{Agent: agentOf(at.server), Incarnation: 1, Message: &wire.AgentMessage{
		Kind: &wire.AgentMessage_Over{Over: &wire.Over{
			Attempt: at.id, Server: at.server, Proof: wire.Proof_PROOF_COMPLETED, Answer: end,
		}},
	}})
	require.Empty(t, cleared(actions))
}
