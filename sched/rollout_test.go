package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

const testRolloutID = 100

// addVersion lists and links a server of the sample model with a version and much room.
func (h *harness) addVersion(server, version string, free uint32) {
	h.t.Helper()
	h.records = append(h.records, &wire.AgentRecord{Agent: agentOf(server), Incarnation: 1, Servers: []*wire.ServerRecord{{
		Server: server, Kind: kindModel, Address: "addr-" + server, Models: []string{testModel}, Version: version,
		Condition: wire.ServerCondition_SERVER_CONDITION_READY,
	}}})
	h.step(Directory{Agents: h.records})
	h.linkUp(server, 1)
	h.reportRoom(server, kindModel, testModel, free)
}

func (h *harness) rollout(state wire.RolloutState) {
	h.t.Helper()
	h.step(ControlContact{ConfirmedAt: h.now})
	h.step(Rollouts{Rollouts: []*wire.Rollout{{Pool: testModel, To: newVersion, Id: testRolloutID, State: state}}})
}

// newRolloutHarness returns a harness with servers of both versions and an order for the new one.
func newRolloutHarness(t *testing.T, options Options, old, fresh int, free uint32) *harness {
	t.Helper()
	h := newHarness(t, options)
	h.rollout(wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS)
	for i := range old {
		h.addVersion(fmt.Sprintf("old%02d", i), oldVersion, free)
	}
	for i := range fresh {
		h.addVersion(fmt.Sprintf("new%02d", i), newVersion, free)
	}
	return h
}

// served sends a request and ends its attempt after a time that depends on the server. It returns the server's name.
func (h *harness) served(id string, class *wire.Class, took func(server string) time.Duration, end wire.Proof) string {
	h.t.Helper()
	h.arriveOnce(id, class)
	d := h.lastDispatch(id, 1)
	h.end(d, took(d.server), end)
	return d.server
}

// arriveOnce submits a request that is not retried.
func (h *harness) arriveOnce(id string, class *wire.Class) {
	h.t.Helper()
	r := h.request(id, class)
	r.MaxAttempts = 1
	h.step(Arrive{Request: r})
}

// end ends an attempt after the given time and frees its slot.
func (h *harness) end(d sentMessage, took time.Duration, end wire.Proof) {
	h.t.Helper()
	h.receive(d.server, started(d))
	h.now = h.now.Add(took)
	h.step(ControlContact{ConfirmedAt: h.now})
	o := &wire.Over{Attempt: d.id, Proof: end}
	if end == wire.Proof_PROOF_COMPLETED {
		o.Answer = answerEndOf(0)
	}
	h.over(d.server, o)
	v := h.s.servers[d.server]
	h.reportRoom(d.server, kindModel, testModel, v.room.GetFree())
}

// evenly returns the same time for all servers.
func evenly() func(string) time.Duration {
	return func(string) time.Duration { return 10 * time.Millisecond }
}

func isNewServer(server string) bool { return server[:3] == "new" }

// Guards against a version that gets its requests spread over all of its servers: each would be nearly idle, and a version
// that is bad under load only would look good. Entries must also choose the same servers.
func TestExposureGoesToFewServers(t *testing.T) {
	var chosen [][]string
	for seed := range uint64(3) {
		h := newRolloutHarness(t, Options{Seed: seed + 1, Entry: fmt.Sprint("e", seed), ExposureShare: 0.2}, 25, 25, 4)
		used := map[string]int{}
		for i := range 800 {
			if server := h.served(fmt.Sprint("r", i), summary, evenly(), wire.Proof_PROOF_COMPLETED); isNewServer(server) {
				used[server]++
			}
		}
		require.Len(t, used, 1, "requests one after the other go to the server that ends first")
		names := h.s.Rollouts()[0].Servers
		require.Len(t, names, 3, "a tenth of 25, rounded up")
		chosen = append(chosen, names)
		require.InDelta(t, 80, h.s.Rollouts()[0].Exposed, 1)
	}
	require.Equal(t, chosen[0], chosen[1])
	require.Equal(t, chosen[0], chosen[2])
	require.Equal(t, chosen[0], RankExposed(testRolloutID, serverNamesOf("new", 25))[:3], "the entry links to the same ones")
}

func serverNamesOf(prefix string, n int) []string {
	var names []string
	for i := range n {
		names = append(names, fmt.Sprintf("%s%02d", prefix, i))
	}
	return names
}

// Guards against a version that is tried with the first tier, or with the most frequent class, alone: one that is bad on
// another route would be completed.
func TestEachClassGetsItsPartOfTheExposure(t *testing.T) {
	h := newRolloutHarness(t, Options{}, 4, 4, 4)
	random := rand.New(rand.NewPCG(5, 5))
	sent, exposed := map[string]int{}, map[string]int{}
	for i := range 4000 {
		class := urgentModel
		switch n := random.IntN(100); {
		case n < 5:
			class = appeal
		case n < 30:
			class = summary
		}
		server := h.served(fmt.Sprint("r", i), class, evenly(), wire.Proof_PROOF_COMPLETED)
		sent[class.GetName()]++
		if isNewServer(server) {
			exposed[class.GetName()]++
		}
	}
	for name, n := range sent {
		require.InDelta(t, float64(n)/20, exposed[name], 2, name)
	}
}

// Guards against a new version that gets nothing under load, when all requests wait for offers of gates, or gets more than its
// share then.
func TestExposureUnderLoad(t *testing.T) {
	h := newRolloutHarness(t, Options{ExposureShare: 0.4}, 4, 4, 0)
	exposed, sent := map[string]int{}, 0
	classes := []*wire.Class{urgentModel, summary, appeal}
	for i := range 3000 {
		class := classes[i%len(classes)]
		h.arrive(fmt.Sprint("r", i), class)
		// Each gate offers a slot to the reservation that came first of those that still wait.
		offered := h.offerNext(i)
		if offered == "" {
			continue
		}
		d := h.lastDispatch(offered, 1)
		sent++
		if isNewServer(d.server) {
			exposed[h.s.requests[offered].Class.GetName()]++
		}
		h.receive(d.server, started(d))
		h.now = h.now.Add(5 * time.Millisecond)
		h.step(ControlContact{ConfirmedAt: h.now})
		h.over(d.server, &wire.Over{Attempt: d.id, Proof: wire.Proof_PROOF_COMPLETED, Answer: answerEndOf(0)})
	}
	total := 0
	for _, n := range exposed {
		total += n
	}
	require.LessOrEqual(t, 5*total, sent, "a fifth")
	require.Greater(t, 7*total, sent, "the new version gets most of its share")
	for _, class := range classes {
		require.Positive(t, exposed[class.GetName()], class.GetName())
	}
}

// offerNext lets the gates offer in turn, beginning with a given one, until a request is sent. It returns its name, or "" if
// none was sent.
func (h *harness) offerNext(first int) string {
	h.t.Helper()
	servers := sortedByName(h.s.servers)
	for i := range servers {
		v := servers[(i+first)%len(servers)]
		for _, r := range sortedRequests(v.reservedBy) {
			before := len(h.dispatches(r.ID))
			h.offer(v.name, r.nextAttemptID())
			if len(h.dispatches(r.ID)) > before {
				h.sent = h.sent[len(h.sent)-1:] // keeps the search for dispatches short
				return r.ID
			}
			break
		}
	}
	return ""
}

// Guards against work that reaches a bad version after its verdict: what waits there is withdrawn at once, and an offer that
// crosses the withdrawal is declined.
func TestReversalWithdrawsReservations(t *testing.T) {
	h := newRolloutHarness(t, Options{ExposureShare: 1}, 2, 1, 0)
	h.arrive("a", summary)
	for range 3 {
		h.offer("old00", h.reserves("a")[0].id)
		break
	}
	h.end(h.lastDispatch("a", 1), time.Millisecond, wire.Proof_PROOF_COMPLETED)
	h.arrive("b", summary)
	waits := slices.ContainsFunc(h.reserves("b"), func(m sentMessage) bool { return m.server == "new00" })
	require.True(t, waits, "the second of two requests waits at the new version as well")

	h.rollout(wire.RolloutState_ROLLOUT_STATE_REVERTED)
	require.Contains(t, serversOf(h.withdraws("b")), "new00")
	h.offer("new00", h.reserves("b")[0].id)
	require.Equal(t, []string{"new00"}, serversOf(h.declines("b")))
	require.Empty(t, h.dispatches("b"))
	h.offer("old01", h.reserves("b")[0].id)
	require.Equal(t, "old01", h.lastDispatch("b", 1).server)
}

func serversOf(messages []sentMessage) []string {
	var names []string
	for _, m := range messages {
		names = append(names, m.server)
	}
	return names
}

// Guards against an offer that is taken although the part of the new version has been used up since the reservation, and
// against a gate that waits for an answer to it.
func TestOfferOverTheShareIsDeclined(t *testing.T) {
	h := newRolloutHarness(t, Options{ExposureShare: 1}, 2, 1, 0)
	h.arrive("a", summary)
	h.offer("old00", h.reserves("a")[0].id)
	h.arrive("b", summary)
	require.Contains(t, serversOf(h.reserves("b")), "new00")
	h.reportRoom("new00", kindModel, testModel, 1) // takes the next request without an offer
	dispatched := "b"
	require.Equal(t, "new00", h.lastDispatch(dispatched, 1).server)
	h.arrive("c", summary)
	require.NotContains(t, serversOf(h.reserves("c")), "new00", "not due")
	h.s.requests["c"].reservations = append(h.s.requests["c"].reservations, reservation{server: h.s.servers["new00"]})
	h.s.servers["new00"].reservedBy[h.s.requests["c"]] = struct{}{}
	h.offer("new00", h.s.requests["c"].nextAttemptID())
	require.Equal(t, []string{"new00"}, serversOf(h.declines("c")))
	require.Empty(t, h.dispatches("c"))
}

// Guards against requests that are run at old servers after completion, by retries or resumed streams: those servers stop
// without draining.
func TestCompletionUsesTheNewVersionOnly(t *testing.T) {
	h := newRolloutHarness(t, Options{}, 2, 2, 4)
	h.arrive("r", summary)
	first := h.lastDispatch("r", 1)
	require.False(t, isNewServer(first.server))
	h.rollout(wire.RolloutState_ROLLOUT_STATE_COMPLETED)
	h.prove(first.server, first.id, wire.Proof_PROOF_FAILED)
	require.True(t, isNewServer(h.lastDispatch("r", 2).server), "the retry")
	for i := range 20 {
		require.True(t, isNewServer(h.served(fmt.Sprint("n", i), summary, evenly(), wire.Proof_PROOF_COMPLETED)))
	}
}

// Guards against work that a gate holds when the verdict comes and starts at a bad version afterwards. What has started goes on,
// and what may not be repeated is left alone, since a Cancel could leave its outcome unknown.
func TestReversalRecallsWhatWaitsAtGates(t *testing.T) {
	h := newRolloutHarness(t, Options{ExposureShare: 1}, 1, 1, 8)
	sent := map[string]sentMessage{}
	for _, id := range []string{"waits", "runs", "order"} {
		class := summary
		if id == "order" {
			class = order
		}
		h.arrive("old before "+id, class)
		h.arrive(id, class)
		sent[id] = h.lastDispatch(id, 1)
		require.Equal(t, "new00", sent[id].server, id)
	}
	h.receive("new00", started(sent["runs"]))
	h.rollout(wire.RolloutState_ROLLOUT_STATE_REVERTED)
	require.Equal(t, []string{"new00"}, serversOf(h.cancels("waits")))
	require.Empty(t, h.cancels("runs"))
	require.Empty(t, h.cancels("order"))
	h.prove("new00", sent["waits"].id, wire.Proof_PROOF_NEVER_STARTED)
	require.Equal(t, "old00", h.lastDispatch("waits", 2).server)
}

// Guards against a request that fails at a bad version twice: a retry goes to an old server.
func TestFailedExposureIsRetriedAtAnOldServer(t *testing.T) {
	h := newRolloutHarness(t, Options{ExposureShare: 1}, 1, 3, 4)
	require.Equal(t, "old00", h.served("a", summary, evenly(), wire.Proof_PROOF_COMPLETED))
	h.arrive("b", summary)
	first := h.lastDispatch("b", 1)
	require.True(t, isNewServer(first.server))
	for i := range 10 { // more than enough to make the retry due again
		h.served(fmt.Sprint("x", i), appeal, evenly(), wire.Proof_PROOF_COMPLETED)
	}
	h.prove(first.server, first.id, wire.Proof_PROOF_FAILED)
	require.Equal(t, "old00", h.lastDispatch("b", 2).server)
}

// Guards against a server of a third version, such as one that starts late with an older build, that is taken for the new one
// or left idle: it counts as old.
func TestThirdVersionCountsAsOld(t *testing.T) {
	h := newRolloutHarness(t, Options{}, 1, 1, 4)
	h.addVersion("third", otherVersion, 4)
	h.reportRoom("old00", kindModel, testModel, 0)
	used := map[string]int{}
	for i := range 200 {
		used[h.served(fmt.Sprint("r", i), summary, evenly(), wire.Proof_PROOF_COMPLETED)]++
	}
	require.Positive(t, used["third"])
	require.Equal(t, 10, used["new00"])
	h.rollout(wire.RolloutState_ROLLOUT_STATE_COMPLETED)
	require.Equal(t, "new00", h.served("last", summary, evenly(), wire.Proof_PROOF_COMPLETED))
}

// Guards against an entry that uses a new version without knowing whether it was reverted: it stops in time without contact
// with control, and goes on with it.
func TestLostContactPausesTheExposure(t *testing.T) {
	h := newRolloutHarness(t, Options{ExposureShare: 1}, 1, 1, 4)
	arriveTwice := func(round string) []string {
		var servers []string
		for _, n := range []string{"a", "b"} {
			h.arrive(round+n, summary)
			d := h.lastDispatch(round+n, 1)
			servers = append(servers, d.server)
			h.complete(d.server, d.id, 0)
			h.reportRoom(d.server, kindModel, testModel, 4)
		}
		return servers
	}
	require.Contains(t, arriveTwice("1"), "new00")
	h.now = h.now.Add(DefaultControlSilence)
	require.Contains(t, arriveTwice("2"), "new00")
	h.now = h.now.Add(time.Millisecond)
	require.NotContains(t, arriveTwice("3"), "new00")
	require.False(t, h.s.Rollouts()[0].Open)
	h.step(ControlContact{ConfirmedAt: h.now})
	require.Contains(t, arriveTwice("4"), "new00")
	h.step(ControlContact{})
	require.NotContains(t, arriveTwice("5"), "new00", "the entry says that contact is lost")
}

// Guards against versions that change anything without a roll-out: the same seed and events must give the same actions with
// versions as without, also in a pool beside one with a roll-out.
func TestVersionsDecideNothingWithoutRollout(t *testing.T) {
	for seed := range uint64(40) {
		totals := [3]rolloutTotals{}
		var logs [3][]string
		for i, prepare := range []func(w *rolloutWorld){
			func(w *rolloutWorld) {
				for _, v := range w.servers {
					v.Version = ""
				}
			},
			func(*rolloutWorld) {},
			func(w *rolloutWorld) {
				for _, e := range w.entries {
					e.step(Rollouts{Rollouts: []*wire.Rollout{{
						Pool: "other", To: newVersion, Id: 1, State: wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS,
					}}})
				}
			},
		} {
			w := newRolloutWorld(seed, &totals[i])
			for n := range 3 {
				w.addServer(fmt.Sprint("new", n), newVersion)
			}
			prepare(w)
			w.record = func(a Action) {
				if _, isStep := a.(RolloutChanged); !isStep {
					logs[i] = append(logs[i], fmt.Sprintf("%T %v", a, a))
				}
			}
			for range rolloutSteps {
				w.step()
			}
		}
		require.NotEmpty(t, logs[0])
		for i, log := range logs[1:] {
			require.Len(t, log, len(logs[0]), "seed %d", seed)
			for n := range log {
				require.Equal(t, logs[0][n], log[n], "seed %d, variant %d", seed, i+1)
			}
		}
	}
}
