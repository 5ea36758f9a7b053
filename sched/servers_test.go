package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func TestServerThatLeftGetsNothingNew(t *testing.T) {
	// Symptom: a server that leaves goes on getting work.
	// Sequence: one of the three signs that it leaves comes; the two others go on saying that it is there.
	// Cause: a sign that isn't looked at, or not from that moment on.
	rows := []struct {
		name  string
		leave func(w *world)
	}{
		{"removed from the directory", func(w *world) { w.step(Directory{}) }},
		{"draining in the directory", func(w *world) {
			w.records[0].Servers[0].Condition = wire.ServerCondition_SERVER_CONDITION_DRAINING
			w.step(Directory{Agents: w.records})
		}},
		{"link down", func(w *world) { w.down("s1") }},
		{"gate draining", func(w *world) { w.condition("s1", wire.ServerCondition_SERVER_CONDITION_DRAINING) }},
		{"gate suspect", func(w *world) { w.condition("s1", wire.ServerCondition_SERVER_CONDITION_SUSPECT) }},
		{"gate of another model", func(w *world) { w.room("s1", kindModel, "other", 4) }},
	}
	for _, row := range rows {
		t.Run(row.name+", free room", func(t *testing.T) {
			w := newWorld(t, Options{})
			w.serve("s1", kindModel, testModel, 4)
			row.leave(w)
			w.arrive("r", appeal)
			w.pass(5 * time.Second)
			assert.Empty(t, w.dispatches("r"))
			assert.Empty(t, w.reserves("r"))
		})
		t.Run(row.name+", reserved", func(t *testing.T) {
			w := newWorld(t, Options{})
			w.serve("s1", kindModel, testModel, 0)
			w.arrive("r", appeal)
			res := w.reserves("r")
			require.Len(t, res, 1)
			row.leave(w)
			w.offer("s1", res[0].id)
			w.pass(5 * time.Second)
			assert.Empty(t, w.dispatches("r"))
			assert.Len(t, w.reserves("r"), 1)
		})
	}
}

func (w *world) condition(server string, c wire.ServerCondition) {
	w.t.Helper()
	room := readyRoom(server, kindModel, testModel, 4)
	room.Condition = c
	w.say(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
}

func TestDispatchLooksAtTheServerOnceMore(t *testing.T) {
	// Symptom: a server that leaves, or that a key's record doesn't name, gets work.
	// Sequence: whatever leads some code to dispatch to it.
	// Cause: the last look before the body is sent left out.
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 0)
	w.serve("other", kindModel, "another", 4)
	w.serve("down", kindModel, testModel, 4)
	w.down("down")
	w.arrive("r", appeal)
	w.arriveKeyed("keyed", appeal, "s1")
	rows := []struct{ request, server string }{{"r", "other"}, {"r", "down"}, {"keyed", "unnamed"}}
	for _, row := range rows {
		if row.request == "keyed" {
			w.serve("unnamed", kindModel, testModel, 0)
		}
		w.s.dispatch(w.s.requests[row.request], w.s.servers[row.server], false)
		assert.Empty(t, w.s.requests[row.request].attempts, row.server)
	}
}

func TestAttemptInFlightAtLeavingServerGoesOn(t *testing.T) {
	w, d := twoServers(t, summary)
	w.condition(d.server, wire.ServerCondition_SERVER_CONDITION_DRAINING)
	w.step(Directory{})
	assert.Empty(t, w.cancels("r"))
	w.frame(d.server, d.id, 0, "a")
	w.complete(d.server, d.id, 0, "a")
	assert.Contains(t, w.answers, "r")
}

func TestRoomBeforeTheDirectoryCountsOnceListed(t *testing.T) {
	w := newWorld(t, Options{})
	w.up("s1", 1)
	w.room("s1", kindModel, testModel, 4)
	w.arrive("r", summary)
	assert.Empty(t, w.dispatches("r"))
	w.list("s1", kindModel, testModel)
	w.last("r", 1)
}

func TestAdvertisedRoomIsNotGivenOutTwice(t *testing.T) {
	// Symptom: gates refuse most dispatches.
	// Sequence: a gate advertises two attempts; five requests arrive before its next report.
	// Cause: own dispatches in flight not counted against the room.
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 2)
	total := 0
	ids := []string{"a", "b", "c", "d", "e"}
	for _, id := range ids {
		w.arrive(id, summary)
		total += len(w.dispatches(id))
	}
	assert.Equal(t, 2, total)
	// The agent knows of both, but this report may be from before them.
	for _, id := range ids[:2] {
		w.say("s1", started(w.last(id, 1)))
	}
	assert.Empty(t, w.dispatches("c"))
	// Another one may have the slot that is free now; the gate will say.
	w.complete("s1", w.last("a", 1).id, 0)
	assert.Empty(t, w.dispatches("c"))
	w.room("s1", kindModel, testModel, 1)
	assert.Len(t, w.dispatches("c"), 1)
	assert.Empty(t, w.dispatches("d"))
}

func TestRefusedDispatchTriesElsewhereAtOnce(t *testing.T) {
	w, d := twoServers(t, summary)
	w.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
	assert.Equal(t, d.other(), w.last("r", 2).server)
	assert.Equal(t, uint64(1), w.counted(Retries, retryNeverStarted))
}

func TestRefusedEverywhereBacksOff(t *testing.T) {
	// Symptom: an entry and its gates send each other dispatches and refusals without pause.
	// Sequence: all gates refuse although they have advertised room.
	// Cause: no back-off.
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 4)
	w.arrive("r", appeal)
	for range 50 {
		d := w.dispatches("r")
		w.prove("s1", d[len(d)-1].id, wire.Proof_PROOF_NEVER_STARTED)
		w.room("s1", kindModel, testModel, 4)
		w.pass(backOffMost / 4)
	}
	assert.Less(t, len(w.dispatches("r")), 30)
	assert.Greater(t, len(w.dispatches("r")), 5)
}

func TestRefusedReservationIsPlacedElsewhere(t *testing.T) {
	// Symptom: a request waits until its deadline at gates that have refused it.
	// Sequence: every gate refuses the reservation, which leaves a tombstone for its number there.
	// Cause: the refusal isn't taken, or the same number is tried again.
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 0)
	w.arrive("r", appeal)
	first := w.reserves("r")[0]
	w.prove("s1", first.id, wire.Proof_PROOF_NEVER_STARTED)
	w.pass(2 * backOffMost)
	again := w.reserves("r")
	require.Len(t, again, 2)
	assert.Greater(t, again[1].id.GetNumber(), first.id.GetNumber())
}

func TestReservationsAreMadeUpForAndRenewed(t *testing.T) {
	// Symptom: a request waits at one slow gate while others are idle soon.
	// Sequence: two of the three servers that it waits at leave, and others come.
	// Cause: reservations placed once only.
	w := newWorld(t, Options{})
	for _, name := range []string{"s1", "s2", "s3"} {
		w.serve(name, kindModel, testModel, 0)
	}
	w.arrive("r", appeal)
	require.Len(t, w.reserves("r"), 3)
	w.down("s1")
	w.down("s2")
	w.serve("s4", kindModel, testModel, 0)
	w.serve("s5", kindModel, testModel, 0)
	w.pass(reservationRenewal)
	var servers []string
	for _, res := range w.reserves("r")[3:] {
		servers = append(servers, res.server)
	}
	assert.ElementsMatch(t, []string{"s3", "s4", "s5"}, servers)
	assert.Len(t, w.s.servers["s4"].waiting, 1)
}

func (w *world) counted(c Counter, label string) uint64 {
	n := uint64(0)
	for _, count := range w.counts {
		if count.Counter == c && count.Label == label {
			n += count.Add
		}
	}
	return n
}

func TestLongPromptGoesWhereItsPrefixIs(t *testing.T) {
	w := newWorld(t, Options{SampledServers: 2})
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	for _, name := range names {
		w.serve(name, kindModel, testModel, 100)
	}
	send := func(id string) string {
		r := w.request(id, summary)
		r.PromptTokens, r.Prefix = 4000, []uint64{1, 2, 3}
		w.step(Arrive{Request: r})
		return w.last(id, 1).server
	}
	first := send("r1")
	assert.Equal(t, first, send("r2"))
	for digest := uint64(1); digest <= 3; digest++ {
		w.step(CacheHint{Server: first, Digest: digest, Evicted: true})
		w.step(CacheHint{Server: "j", Digest: digest})
	}
	assert.Equal(t, "j", send("r3"))
}

func TestPrefixTableIsBounded(t *testing.T) {
	p := newPrefixTable(100)
	for i := range uint64(1000) {
		p.add("s", i)
	}
	assert.Len(t, p.entries, 100)
	assert.Equal(t, 1, p.cached("s", []uint64{999}))
	assert.Equal(t, 0, p.cached("s", []uint64{0}))
	for i := range uint64(1000) {
		p.hint("s", i, true)
	}
	assert.Empty(t, p.entries)
	assert.Nil(t, p.newest)
	assert.Nil(t, p.oldest)
}

func TestExplainSaysWhy(t *testing.T) {
	w := newWorld(t, Options{HistorySize: 2})
	w.serve("s1", kindModel, testModel, 0)
	w.list("s2", kindModel, testModel)
	w.arrive("r", appeal)
	e, ok := w.s.Explain("r")
	require.True(t, ok)
	assert.Equal(t, "reserved", e.State)
	assert.Equal(t, []string{"s1"}, e.Reservations)
	assert.Equal(t, []PassedOver{{Server: "s1", Reason: PassedNoRoom}, {Server: "s2", Reason: PassedLinkDown}}, e.PassedOver)
	w.offer("s1", w.reserves("r")[0].id)
	w.complete("s1", w.last("r", 1).id, 0)
	e, ok = w.s.Explain("r")
	require.True(t, ok, "finished requests are still known")
	require.Len(t, e.Attempts, 1)
	assert.Equal(t, "PROOF_COMPLETED", e.Attempts[0].Proof)
	for _, id := range []string{"x", "y"} {
		w.arrive(id, appeal)
		w.step(CallerLeft{Request: id})
	}
	_, ok = w.s.Explain("r")
	assert.False(t, ok, "but only so many")
	assert.Len(t, w.s.history.byID, 2)
}

func TestStatus(t *testing.T) {
	w, d := twoServers(t, summary)
	w.down(d.server)
	st := w.s.Status()
	assert.Equal(t, 1, st.Dispatched)
	assert.Equal(t, 1, st.AwaitingProof)
	assert.Len(t, st.Servers, 2)
}
