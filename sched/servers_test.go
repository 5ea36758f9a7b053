package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against sending work to a server that is leaving: one of three signals shows that it leaves, while the
// other two still show it as present. Each signal must stop new work at once.
func TestLeavingServerGetsNoNewWork(t *testing.T) {
	rows := []struct {
		name  string
		leave func(h *harness)
	}{
		{"removed from the directory", func(h *harness) { h.step(Directory{}) }},
		{"draining in the directory", func(h *harness) {
			h.records[0].Servers[0].Condition = wire.ServerCondition_SERVER_CONDITION_DRAINING
			h.step(Directory{Agents: h.records})
		}},
		{"link down", func(h *harness) { h.linkDown("s1") }},
		{"gate draining", func(h *harness) { h.reportCondition("s1", wire.ServerCondition_SERVER_CONDITION_DRAINING) }},
		{"gate suspect", func(h *harness) { h.reportCondition("s1", wire.ServerCondition_SERVER_CONDITION_SUSPECT) }},
		{"gate of another model", func(h *harness) { h.reportRoom("s1", kindModel, "other", 4) }},
	}
	for _, row := range rows {
		t.Run(row.name+", free room", func(t *testing.T) {
			h := newHarness(t, Options{})
			h.addServer("s1", kindModel, testModel, 4)
			row.leave(h)
			h.arrive("r", appeal)
			h.advance(5 * time.Second)
			assert.Empty(t, h.dispatches("r"))
			assert.Empty(t, h.reserves("r"))
		})
		t.Run(row.name+", reserved", func(t *testing.T) {
			h := newHarness(t, Options{})
			h.addServer("s1", kindModel, testModel, 0)
			h.arrive("r", appeal)
			res := h.reserves("r")
			require.Len(t, res, 1)
			row.leave(h)
			h.offer("s1", res[0].id)
			h.advance(5 * time.Second)
			assert.Empty(t, h.dispatches("r"))
			assert.Len(t, h.reserves("r"), 1)
		})
	}
}

func (h *harness) reportCondition(server string, c wire.ServerCondition) {
	h.t.Helper()
	room := readyRoom(server, kindModel, testModel, 4)
	room.Condition = c
	h.receive(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
}

// Guards against dispatching to a server that is leaving or that the key's record doesn't allow, whichever code
// asks for it: dispatch must check the server before it sends the body.
func TestDispatchChecksTheServerAgain(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 0)
	h.addServer("other", kindModel, "another", 4)
	h.addServer("down", kindModel, testModel, 4)
	h.linkDown("down")
	h.arrive("r", appeal)
	h.arriveKeyed("keyed", appeal, "s1")
	rows := []struct{ request, server string }{{"r", "other"}, {"r", "down"}, {"keyed", "unnamed"}}
	for _, row := range rows {
		if row.request == "keyed" {
			h.addServer("unnamed", kindModel, testModel, 0)
		}
		h.s.dispatch(h.s.requests[row.request], h.s.servers[row.server], false)
		assert.Empty(t, h.s.requests[row.request].attempts, row.server)
	}
}

// Guards against cancelling attempts at a server that is leaving: the server drains and is removed from the
// directory, and its attempt must still complete.
func TestAttemptInFlightAtLeavingServerCompletes(t *testing.T) {
	h, d := newTwoServerHarness(t, summary)
	h.reportCondition(d.server, wire.ServerCondition_SERVER_CONDITION_DRAINING)
	h.step(Directory{})
	assert.Empty(t, h.cancels("r"))
	h.frame(d.server, d.id, 0, "a")
	h.complete(d.server, d.id, 0, "a")
	assert.Contains(t, h.answers, "r")
}

// Guards against losing a Room report that arrives before the directory lists the server.
func TestRoomReceivedBeforeDirectoryCountsOnceListed(t *testing.T) {
	h := newHarness(t, Options{})
	h.linkUp("s1", 1)
	h.reportRoom("s1", kindModel, testModel, 4)
	h.arrive("r", summary)
	assert.Empty(t, h.dispatches("r"))
	h.listServer("s1", kindModel, testModel)
	h.lastDispatch("r", 1)
}

// Guards against gates that refuse most dispatches: a gate advertises room for two attempts, and five requests
// arrive before its next report. Own dispatches in flight must count against the room.
func TestAdvertisedRoomIsNotUsedTwice(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 2)
	total := 0
	ids := []string{"a", "b", "c", "d", "e"}
	for _, id := range ids {
		h.arrive(id, summary)
		total += len(h.dispatches(id))
	}
	assert.Equal(t, 2, total)
	// The agent knows of both, but the last report may predate them.
	for _, id := range ids[:2] {
		h.receive("s1", started(h.lastDispatch(id, 1)))
	}
	assert.Empty(t, h.dispatches("c"))
	// Another entry may have the slot that is free now; the gate will report it.
	h.complete("s1", h.lastDispatch("a", 1).id, 0)
	assert.Empty(t, h.dispatches("c"))
	h.reportRoom("s1", kindModel, testModel, 1)
	assert.Len(t, h.dispatches("c"), 1)
	assert.Empty(t, h.dispatches("d"))
}

// Guards against a delay after a refused dispatch while another server has room; the retry must be counted.
func TestRefusedDispatchIsRetriedElsewhereAtOnce(t *testing.T) {
	h, d := newTwoServerHarness(t, summary)
	h.prove(d.server, d.id, wire.Proof_PROOF_NEVER_STARTED)
	assert.Equal(t, d.other(), h.lastDispatch("r", 2).server)
	assert.Equal(t, uint64(1), h.countedWithLabel(Retries, retryNeverStarted))
}

// Guards against an endless exchange of dispatches and refusals: all gates refuse although they have advertised
// room. The request must back off.
func TestRefusedEverywhereBacksOff(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 4)
	h.arrive("r", appeal)
	for range 50 {
		d := h.dispatches("r")
		h.prove("s1", d[len(d)-1].id, wire.Proof_PROOF_NEVER_STARTED)
		h.reportRoom("s1", kindModel, testModel, 4)
		h.advance(maxBackoff / 4)
	}
	assert.Less(t, len(h.dispatches("r")), 30)
	assert.Greater(t, len(h.dispatches("r")), 5)
}

// Guards against a request that waits until its deadline at gates that have refused it: every gate refuses the
// reservation and keeps a tombstone for its number. The request must reserve again under a new number.
func TestRefusedReservationIsPlacedElsewhere(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 0)
	h.arrive("r", appeal)
	first := h.reserves("r")[0]
	h.prove("s1", first.id, wire.Proof_PROOF_NEVER_STARTED)
	h.advance(2 * maxBackoff)
	again := h.reserves("r")
	require.Len(t, again, 2)
	assert.Greater(t, again[1].id.GetNumber(), first.id.GetNumber())
}

// Guards against a request that waits at one slow gate while others become idle: two of the three servers where it
// has reservations leave, and others join. Lost reservations must be replaced.
func TestLostReservationsAreReplacedAndRenewed(t *testing.T) {
	h := newHarness(t, Options{})
	for _, name := range []string{"s1", "s2", "s3"} {
		h.addServer(name, kindModel, testModel, 0)
	}
	h.arrive("r", appeal)
	require.Len(t, h.reserves("r"), 3)
	h.linkDown("s1")
	h.linkDown("s2")
	h.addServer("s4", kindModel, testModel, 0)
	h.addServer("s5", kindModel, testModel, 0)
	h.advance(reservationInterval)
	var servers []string
	for _, res := range h.reserves("r")[3:] {
		servers = append(servers, res.server)
	}
	assert.ElementsMatch(t, []string{"s3", "s4", "s5"}, servers)
	assert.Len(t, h.s.servers["s4"].reservedBy, 1)
}

func (h *harness) countedWithLabel(c Counter, label string) uint64 {
	n := uint64(0)
	for _, count := range h.counts {
		if count.Counter == c && count.Label == label {
			n += count.Add
		}
	}
	return n
}

// Guards against computing a long prompt again although a server has its prefix cached, as far as known from own
// dispatches and cache events.
func TestLongPromptPrefersServerWithCachedPrefix(t *testing.T) {
	h := newHarness(t, Options{SampledServers: 2})
	names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	for _, name := range names {
		h.addServer(name, kindModel, testModel, 100)
	}
	send := func(id string) string {
		r := h.request(id, summary)
		r.PromptTokens, r.Prefix = 4000, []uint64{1, 2, 3}
		h.step(Arrive{Request: r})
		return h.lastDispatch(id, 1).server
	}
	first := send("r1")
	assert.Equal(t, first, send("r2"))
	for digest := uint64(1); digest <= 3; digest++ {
		h.step(CacheHint{Server: first, Digest: digest, Evicted: true})
		h.step(CacheHint{Server: "j", Digest: digest})
	}
	assert.Equal(t, "j", send("r3"))
}

// Guards against unbounded memory for prefix digests, and against list entries that remain after their eviction.
func TestPrefixTableIsBounded(t *testing.T) {
	p := newPrefixTable(100)
	for i := range uint64(1000) {
		p.add("s", i)
	}
	assert.Len(t, p.entries, 100)
	assert.Equal(t, 1, p.cachedBlocks("s", []uint64{999}))
	assert.Equal(t, 0, p.cachedBlocks("s", []uint64{0}))
	for i := range uint64(1000) {
		p.applyHint("s", i, true)
	}
	assert.Empty(t, p.entries)
	assert.Nil(t, p.newest)
	assert.Nil(t, p.oldest)
}

// Guards against explanations without the reasons for passing over servers, and against unbounded memory for
// finished requests.
func TestExplainReportsReasons(t *testing.T) {
	h := newHarness(t, Options{HistorySize: 2})
	h.addServer("s1", kindModel, testModel, 0)
	h.listServer("s2", kindModel, testModel)
	h.arrive("r", appeal)
	e, ok := h.s.Explain("r")
	require.True(t, ok)
	assert.Equal(t, "reserved", e.State)
	assert.Equal(t, []string{"s1"}, e.Reservations)
	assert.Equal(t, []PassedOver{{Server: "s1", Reason: PassedNoRoom}, {Server: "s2", Reason: PassedLinkDown}}, e.PassedOver)
	h.offer("s1", h.reserves("r")[0].id)
	h.complete("s1", h.lastDispatch("r", 1).id, 0)
	e, ok = h.s.Explain("r")
	require.True(t, ok, "finished requests are still known")
	require.Len(t, e.Attempts, 1)
	assert.Equal(t, "PROOF_COMPLETED", e.Attempts[0].Proof)
	for _, id := range []string{"x", "y"} {
		h.arrive(id, appeal)
		h.step(CallerLeft{Request: id})
	}
	_, ok = h.s.Explain("r")
	assert.False(t, ok, "only the last HistorySize requests are known")
	assert.Len(t, h.s.history.byID, 2)
}

// Guards against a status that leaves out attempts at an unreachable agent.
func TestStatus(t *testing.T) {
	h, d := newTwoServerHarness(t, summary)
	h.linkDown(d.server)
	st := h.s.Status()
	assert.Equal(t, 1, st.Dispatched)
	assert.Equal(t, 1, st.AwaitingProof)
	assert.Len(t, st.Servers, 2)
}
