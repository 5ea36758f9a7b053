package sched

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

func (h *harness) arriveAs(id, organisation string, class *wire.Class, prompt uint32) {
	h.t.Helper()
	r := h.request(id, class)
	r.Organisation, r.PromptTokens = organisation, prompt
	h.step(Arrive{Request: r})
}

// running returns the requests that have an attempt, in order of arrival.
func (h *harness) running() []*request {
	set := map[*request]struct{}{}
	for _, r := range h.s.requests {
		if r.attempt != nil {
			set[r] = struct{}{}
		}
	}
	return sortedRequests(set)
}

// completeRunning completes the only running attempt, with the estimated prompt tokens, frees its slot and returns
// its request.
func (h *harness) completeRunning() *request {
	h.t.Helper()
	all := h.running()
	require.Len(h.t, all, 1)
	r := all[0]
	end := answerEndOf(0)
	end.PromptTokens, end.OutputTokens = r.PromptTokens, 0
	v := r.attempt.server
	h.over(v.name, &wire.Over{Attempt: r.attempt.id, Proof: wire.Proof_PROOF_COMPLETED, Answer: end})
	h.reportRoom(v.name, v.room.GetAddressKind(), v.room.GetTargets()[0], 1)
	return r
}

// Guards against the organisation with the longest or the most requests getting most of the pool. Three
// organisations are backlogged in one class; one sends ten times longer prompts, one ten times more requests.
// Service must be shared by token, not by request or arrival.
func TestBackloggedOrganisationsGetEqualShares(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 1)
	prompts := map[string]uint32{"short": 100, "many": 100, "long": 1000}
	for i := range 2000 {
		h.arriveAs(fmt.Sprintf("many-%d", i), "many", appeal, prompts["many"])
		if i%10 == 0 {
			h.arriveAs(fmt.Sprintf("long-%d", i), "long", appeal, prompts["long"])
			for j := range 3 {
				h.arriveAs(fmt.Sprintf("short-%d-%d", i, j), "short", appeal, prompts["short"])
			}
		}
	}
	tokens := map[string]int{}
	for range 900 {
		r := h.completeRunning()
		tokens[r.Organisation] += int(r.PromptTokens)
	}
	for name := range prompts {
		assert.InDelta(t, tokens["many"], tokens[name], 2500, name)
	}
}

// Guards against a class missing its targets while another of its tier has slack: two classes of one tier are
// queued, and one has lost many requests lately. It must go first, whatever the order of arrival and deadline.
func TestOrderIsByTierThenTargetViolation(t *testing.T) {
	violated := &wire.Class{Name: "hurt", Tier: 2, DeadlineMs: 10_000, LateMax: 0.05, LostMax: 0.05, Repeatable: true, Kind: kindModel}
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 0)
	h.arrive("low", appeal)
	h.arrive("calm", summary)
	h.arrive("hurt", violated)
	h.arrive("first", urgentModel)
	for range 10 {
		h.s.classFor(violated).window.add(h.now, false, true)
	}
	h.advance(usedShareInterval)
	h.reportRoom("s1", kindModel, testModel, 1)
	for _, want := range []string{"first", "hurt", "calm", "low"} {
		assert.Equal(t, want, h.completeRunning().ID)
	}
}

// busyRoom returns a Room report of a server without room on which the tier runs.
func busyRoom(server string, tier uint32) *wire.AgentMessage {
	room := readyRoom(server, kindModel, testModel, 0)
	room.LowestRunningTier, room.Running, room.BacklogMs = tier, 8, 60_000
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}}
}

// Guards against refusing tier 1 while a lower tier is served: the queue is full of tier 1, and the rows say what
// is known about the servers. A report that is old, missing, or shows lower tiers must prevent the refusal.
func TestTierOneIsNotRefusedWhileLowerTiersMayBeServed(t *testing.T) {
	rows := []struct {
		name    string
		do      func(h *harness)
		refused bool
	}{
		{"fresh: only tier 1 everywhere", func(h *harness) { h.receive("s1", busyRoom("s1", 1)); h.receive("s2", busyRoom("s2", 1)) }, true},
		{"lower tier runs at one", func(h *harness) { h.receive("s1", busyRoom("s1", 1)); h.receive("s2", busyRoom("s2", 3)) }, false},
		{"lower tier waits at one", func(h *harness) {
			h.receive("s1", busyRoom("s1", 1))
			room := busyRoom("s2", 1)
			room.GetRoom().LowestWaitingTier = 2
			h.receive("s2", room)
		}, false},
		{"one report is old", func(h *harness) {
			h.receive("s1", busyRoom("s1", 1))
			h.advance(DefaultMaxRoomAge + MinTickInterval)
			h.receive("s2", busyRoom("s2", 1))
		}, false},
		{"one server is silent", func(h *harness) { h.receive("s1", busyRoom("s1", 1)); h.linkDown("s2") }, false},
		{"lower tier queued here", func(h *harness) {
			h.receive("s1", busyRoom("s1", 1))
			h.receive("s2", busyRoom("s2", 1))
			h.arrive("low", appeal)
		}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, Options{MaxQueued: 3})
			h.addServer("s1", kindModel, testModel, 0)
			h.addServer("s2", kindModel, testModel, 0)
			row.do(h)
			for i := range 3 {
				h.arrive(fmt.Sprint(i), urgentModel)
			}
			_, shed := h.failures["low"]
			delete(h.failures, "low")
			h.arrive("last", urgentModel)
			assert.Equal(t, row.refused, len(h.failures) > 0 && !shed)
			for id, err := range h.failures {
				if id != "low" {
					assert.Equal(t, result.QueueFull, err.Code)
					assert.Equal(t, result.RanNo, err.Ran)
					assert.Positive(t, err.RetryAfter)
				}
			}
		})
	}
}

// Guards against shedding a higher tier while a lower one is queued: the queue is full and more requests of each
// tier arrive. Neither the newest request nor the one with the full pool must be shed, but the last of the lowest
// tier.
func TestShedFromTheLowestTierUp(t *testing.T) {
	h := newHarness(t, Options{MaxQueued: 4})
	h.addServer("s1", kindModel, testModel, 0)
	h.receive("s1", busyRoom("s1", 3))
	h.arrive("low1", appeal)
	h.arrive("low2", appeal)
	h.arrive("mid1", summary)
	h.arrive("mid2", summary)
	h.arrive("top1", urgentModel)
	require.Contains(t, h.failures, "low2", "the last in order")
	assert.Equal(t, result.ShedForHigherTier, h.failures["low2"].Code)
	assert.Positive(t, h.failures["low2"].RetryAfter)
	h.arrive("low3", appeal)
	assert.Contains(t, h.failures, "low3")
	h.arrive("top2", urgentModel)
	assert.Contains(t, h.failures, "low1")
	h.arrive("top3", urgentModel)
	assert.Contains(t, h.failures, "mid2")
	h.arrive("top4", urgentModel)
	assert.Contains(t, h.failures, "mid1")
	h.arrive("top5", urgentModel)
	assert.Len(t, h.failures, 5, "tier 1 isn't shed without current reports")
	assert.Equal(t, []int{5, 0, 0}, h.s.Status().Queued)
}

// Guards against prompts computed for answers that come too late: a request arrives that can't finish in time even
// at an idle server. It must be refused on arrival, unless its class tolerates lateness or is of tier 1.
func TestEarlyRefusal(t *testing.T) {
	rows := []struct {
		name    string
		class   *wire.Class
		refused bool
	}{
		{"lower tier", summary, true},
		{"rather late than lost", appeal, false},
		{"tier 1", urgentModel, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			h := newHarness(t, Options{})
			h.addServer("s1", kindModel, testModel, 4)
			room := readyRoom("s1", kindModel, testModel, 4)
			room.LowestRunningTier = 3
			h.receive("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
			for range minSamples {
				h.s.classFor(row.class).outputTokens.add(50)
			}
			h.arriveAs("r", "org", row.class, 60_000)
			assert.Equal(t, row.refused, len(h.dispatches("r")) == 0)
			if row.refused {
				require.Contains(t, h.failures, "r")
				assert.Equal(t, result.CannotFinishInTime, h.failures["r"].Code)
				assert.Equal(t, result.RanNo, h.failures["r"].Ran)
				assert.Positive(t, h.failures["r"].RetryAfter)
			}
		})
	}
}

// Guards against queueing requests past their deadline, unless their class may be late: one request fails at its
// deadline, one is answered late, and one is given up at lateFactor times its allowed time.
func TestDeadlineInQueue(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 0)
	h.arrive("on time", summary)
	h.arrive("may be late", appeal)
	h.advance(20*time.Second + MinTickInterval)
	require.Contains(t, h.failures, "on time")
	assert.Equal(t, result.DeadlinePassedInQueue, h.failures["on time"].Code)
	assert.Equal(t, result.RanNo, h.failures["on time"].Ran)
	assert.NotContains(t, h.failures, "may be late")
	h.reportRoom("s1", kindModel, testModel, 1)
	d := h.lastDispatch("may be late", 1)
	h.complete(d.server, d.id, 0)
	assert.Contains(t, h.answers, "may be late")
	assert.Equal(t, uint64(1), h.countedForClass(Late, "appeal"))
	assert.Equal(t, uint64(1), h.countedForClass(Lost, "summary"))

	h.arrive("too late", appeal)
	h.reportRoom("s1", kindModel, testModel, 0)
	h.linkDown("s1")
	h.advance(lateFactor*20*time.Second + MinTickInterval)
	assert.Contains(t, h.failures, "too late")
}

func (h *harness) countedForClass(c Counter, class string) uint64 {
	n := uint64(0)
	for _, count := range h.counts {
		if count.Counter == c && count.Class == class {
			n += count.Add
		}
	}
	return n
}

// Guards against refusing a tier 1 request as too late while a lower tier in the same queue is served next: all
// servers report only tier 1, a lower tier is queued here, and a slot is offered to a tier 1 request that can't
// finish in time. The entry's own queue must be considered.
func TestTierOneIsNotRefusedAtOfferWhileLowerTierIsQueued(t *testing.T) {
	for _, lower := range []bool{true, false} {
		h := newHarness(t, Options{})
		h.addServer("s1", kindModel, testModel, 0)
		if lower {
			h.arrive("low", appeal)
		}
		for range minSamples {
			h.s.classFor(urgentModel).outputTokens.add(50)
		}
		h.arriveAs("top", "org", urgentModel, 60_000)
		h.offer("s1", h.reserves("top")[0].id)
		assert.Equal(t, lower, len(h.dispatches("top")) == 1)
		assert.Equal(t, !lower, h.failures["top"] != nil)
	}
}

// Guards against losing requests that may be late but never lost: one is preempted by tier 1 again and again.
// Preemptions must not count as failures.
func TestPreemptedWorkIsNotLost(t *testing.T) {
	h, _ := newTwoServerHarness(t, appeal)
	for range 3 * maxBegunAttempts {
		all := h.dispatches("r")
		d := all[len(all)-1]
		h.receive(d.server, started(d))
		h.over(d.server, &wire.Over{Attempt: d.id, Proof: wire.Proof_PROOF_CANCELLED, PreemptedByTier: 1})
		h.reportRoom(d.server, kindModel, testModel, 4)
	}
	assert.Empty(t, h.failures)
	assert.Len(t, h.dispatches("r"), 3*maxBegunAttempts+1)
}

// Guards against endless retries of a request that fails at every server: it must fail after maxBegunAttempts.
func TestFailingRequestIsNotRetriedForever(t *testing.T) {
	h, _ := newTwoServerHarness(t, appeal)
	for i := range maxBegunAttempts {
		d := h.lastDispatch("r", i+1)
		h.prove(d.server, d.id, wire.Proof_PROOF_FAILED)
		h.reportRoom(d.server, kindModel, testModel, 4)
	}
	require.Contains(t, h.failures, "r")
	assert.Equal(t, result.EngineFailed, h.failures["r"].Code)
	assert.Equal(t, result.RanYes, h.failures["r"].Ran)
}

// Guards against queueing a request for which no server exists, except in tier 1, and against memory that grows
// with target names that callers invent.
func TestRequestWithoutServerFailsAtOnce(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, "other", 1)
	h.arrive("r", summary)
	require.Contains(t, h.failures, "r")
	assert.Equal(t, result.NoServer, h.failures["r"].Code)
	assert.Positive(t, h.failures["r"].RetryAfter)
	h.arrive("top", urgentModel)
	assert.NotContains(t, h.failures, "top")
	for i := range 1000 {
		r := h.request(fmt.Sprint(i), summary)
		r.Target = fmt.Sprint("made-up-", i)
		h.step(Arrive{Request: r})
	}
	assert.LessOrEqual(t, len(h.s.pools), 3, "pools of unknown targets aren't kept")
}

// Guards against results that depend on map order: the same seed and events must give the same messages.
func TestSameEventsGiveTheSameActions(t *testing.T) {
	run := func() []string {
		h := newHarness(t, Options{Seed: 7})
		for i := range 20 {
			h.addServer(fmt.Sprintf("s%02d", i), kindModel, testModel, uint32(i%3))
		}
		for i := range 200 {
			h.arriveAs(fmt.Sprint(i), fmt.Sprint("org", i%5), []*wire.Class{appeal, summary, urgentModel}[i%3], uint32(i*10))
			if i%20 == 0 {
				h.linkDown(fmt.Sprintf("s%02d", i/20))
			}
		}
		h.advance(3 * time.Second)
		var log []string
		for _, s := range h.sent {
			log = append(log, s.Agent+" "+s.Message.String())
		}
		return log
	}
	first := run()
	for range 3 {
		again := run()
		require.Len(t, again, len(first))
		for i := range first {
			require.Equal(t, collapseSpaces(first[i]), collapseSpaces(again[i]))
		}
	}
}

// collapseSpaces normalises the blanks that protobuf's text format inserts at random.
func collapseSpaces(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
