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

func (w *world) arriveAs(id, organisation string, class *wire.Class, prompt uint32) {
	w.t.Helper()
	r := w.request(id, class)
	r.Organisation, r.PromptTokens = organisation, prompt
	w.step(Arrive{Request: r})
}

// running returns the requests that have an attempt.
func (w *world) running() []*request {
	set := map[*request]struct{}{}
	for _, r := range w.s.requests {
		if r.attempt != nil {
			set[r] = struct{}{}
		}
	}
	return sortedRequests(set)
}

// finishOne has the only running attempt completed, with the prompt it was estimated to have, and its slot freed.
func (w *world) finishOne() *request {
	w.t.Helper()
	all := w.running()
	require.Len(w.t, all, 1)
	r := all[0]
	end := endOf(0)
	end.PromptTokens, end.OutputTokens = r.PromptTokens, 0
	v := r.attempt.server
	w.over(v.name, &wire.Over{Attempt: r.attempt.id, Proof: wire.Proof_PROOF_COMPLETED, Answer: end})
	w.room(v.name, v.room.GetAddressKind(), v.room.GetTargets()[0], 1)
	return r
}

func TestBackloggedOrganisationsGetEqualShares(t *testing.T) {
	// Symptom: the partner with the longest or the most requests gets most of the pool.
	// Sequence: three organisations are backlogged in one class; one sends ten times longer prompts, one ten times more.
	// Cause: turns by request, or first come first served.
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 1)
	prompts := map[string]uint32{"short": 100, "many": 100, "long": 1000}
	for i := range 2000 {
		w.arriveAs(fmt.Sprintf("many-%d", i), "many", appeal, prompts["many"])
		if i%10 == 0 {
			w.arriveAs(fmt.Sprintf("long-%d", i), "long", appeal, prompts["long"])
			for j := range 3 {
				w.arriveAs(fmt.Sprintf("short-%d-%d", i, j), "short", appeal, prompts["short"])
			}
		}
	}
	tokens := map[string]int{}
	for range 900 {
		r := w.finishOne()
		tokens[r.Organisation] += int(r.PromptTokens)
	}
	for name := range prompts {
		assert.InDelta(t, tokens["many"], tokens[name], 2500, name)
	}
}

func TestTierFirstThenClassNearestItsTargets(t *testing.T) {
	// Symptom: a class breaks its targets while another of its tier has plenty of slack.
	// Sequence: two classes of one tier are queued; one has lost much of its work lately.
	// Cause: order by arrival or deadline only.
	hurt := &wire.Class{Name: "hurt", Tier: 2, DeadlineMs: 10_000, LateMax: 0.05, LostMax: 0.05, Repeatable: true, Kind: kindModel}
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 0)
	w.arrive("low", appeal)
	w.arrive("calm", summary)
	w.arrive("hurt", hurt)
	w.arrive("first", urgentModel)
	for range 10 {
		w.s.classFor(hurt).window.add(w.now, false, true)
	}
	w.pass(baseRefresh)
	w.room("s1", kindModel, testModel, 1)
	for _, want := range []string{"first", "hurt", "calm", "low"} {
		assert.Equal(t, want, w.finishOne().ID)
	}
}

// busyRoom is a report of a server without room where the tier given runs.
func busyRoom(server string, tier uint32) *wire.AgentMessage {
	room := readyRoom(server, kindModel, testModel, 0)
	room.LowestRunningTier, room.Running, room.BacklogMs = tier, 8, 60_000
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}}
}

func TestTierOneIsNotRefusedWhileLowerWorkMayBeServed(t *testing.T) {
	// Symptom: a gate check is refused while appeals are served.
	// Sequence: the queue is full of tier 1; the rows say what is known of the servers.
	// Cause: room judged by a report that is old, missing, or says that lower work runs.
	rows := []struct {
		name    string
		do      func(w *world)
		refused bool
	}{
		{"fresh: only tier 1 everywhere", func(w *world) { w.say("s1", busyRoom("s1", 1)); w.say("s2", busyRoom("s2", 1)) }, true},
		{"lower tier runs at one", func(w *world) { w.say("s1", busyRoom("s1", 1)); w.say("s2", busyRoom("s2", 3)) }, false},
		{"lower tier waits at one", func(w *world) {
			w.say("s1", busyRoom("s1", 1))
			room := busyRoom("s2", 1)
			room.GetRoom().LowestWaitingTier = 2
			w.say("s2", room)
		}, false},
		{"one report is old", func(w *world) {
			w.say("s1", busyRoom("s1", 1))
			w.pass(DefaultMaxRoomAge + MinTickInterval)
			w.say("s2", busyRoom("s2", 1))
		}, false},
		{"one server is silent", func(w *world) { w.say("s1", busyRoom("s1", 1)); w.down("s2") }, false},
		{"lower tier queued here", func(w *world) {
			w.say("s1", busyRoom("s1", 1))
			w.say("s2", busyRoom("s2", 1))
			w.arrive("low", appeal)
		}, false},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			w := newWorld(t, Options{MaxQueued: 3})
			w.serve("s1", kindModel, testModel, 0)
			w.serve("s2", kindModel, testModel, 0)
			row.do(w)
			for i := range 3 {
				w.arrive(fmt.Sprint(i), urgentModel)
			}
			_, shed := w.failures["low"]
			delete(w.failures, "low")
			w.arrive("last", urgentModel)
			assert.Equal(t, row.refused, len(w.failures) > 0 && !shed)
			for id, err := range w.failures {
				if id != "low" {
					assert.Equal(t, result.QueueFull, err.Code)
					assert.Equal(t, result.RanNo, err.Ran)
					assert.Positive(t, err.RetryAfter)
				}
			}
		})
	}
}

func TestShedFromTheLowestTierUp(t *testing.T) {
	// Symptom: a gate check or summary is shed while appeals are queued.
	// Sequence: the queue is full; more work of each tier arrives.
	// Cause: the newest shed, or the one whose pool is full.
	w := newWorld(t, Options{MaxQueued: 4})
	w.serve("s1", kindModel, testModel, 0)
	w.say("s1", busyRoom("s1", 3))
	w.arrive("low1", appeal)
	w.arrive("low2", appeal)
	w.arrive("mid1", summary)
	w.arrive("mid2", summary)
	w.arrive("top1", urgentModel)
	require.Contains(t, w.failures, "low2", "the one with the later place in the order")
	assert.Equal(t, result.ShedForHigherTier, w.failures["low2"].Code)
	assert.Positive(t, w.failures["low2"].RetryAfter)
	w.arrive("low3", appeal)
	assert.Contains(t, w.failures, "low3")
	w.arrive("top2", urgentModel)
	assert.Contains(t, w.failures, "low1")
	w.arrive("top3", urgentModel)
	assert.Contains(t, w.failures, "mid2")
	w.arrive("top4", urgentModel)
	assert.Contains(t, w.failures, "mid1")
	w.arrive("top5", urgentModel)
	assert.Len(t, w.failures, 5, "tier 1 stays without fresh evidence")
	assert.Equal(t, []int{5, 0, 0}, w.s.Status().Queued)
}

func TestEarlyRefusal(t *testing.T) {
	// Symptom: prompts are computed for answers that come too late.
	// Sequence: a request arrives that can't be done in time even at an idle server.
	// Cause: it is dispatched all the same, or one is refused that would rather be late or is of tier 1.
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
			w := newWorld(t, Options{})
			w.serve("s1", kindModel, testModel, 4)
			room := readyRoom("s1", kindModel, testModel, 4)
			room.LowestRunningTier = 3
			w.say("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}})
			for range learnSamples {
				w.s.classFor(row.class).outputs.add(50)
			}
			w.arriveAs("r", "org", row.class, 60_000)
			assert.Equal(t, row.refused, len(w.dispatches("r")) == 0)
			if row.refused {
				require.Contains(t, w.failures, "r")
				assert.Equal(t, result.CannotFinishInTime, w.failures["r"].Code)
				assert.Equal(t, result.RanNo, w.failures["r"].Ran)
				assert.Positive(t, w.failures["r"].RetryAfter)
			}
		})
	}
}

func TestDeadlineInQueue(t *testing.T) {
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, testModel, 0)
	w.arrive("on time", summary)
	w.arrive("may be late", appeal)
	w.pass(20*time.Second + MinTickInterval)
	require.Contains(t, w.failures, "on time")
	assert.Equal(t, result.DeadlinePassedInQueue, w.failures["on time"].Code)
	assert.Equal(t, result.RanNo, w.failures["on time"].Ran)
	assert.NotContains(t, w.failures, "may be late")
	w.room("s1", kindModel, testModel, 1)
	d := w.last("may be late", 1)
	w.complete(d.server, d.id, 0)
	assert.Contains(t, w.answers, "may be late")
	assert.Equal(t, uint64(1), w.countedClass(Late, "appeal"))
	assert.Equal(t, uint64(1), w.countedClass(Lost, "summary"))

	w.arrive("too late", appeal)
	w.room("s1", kindModel, testModel, 0)
	w.down("s1")
	w.pass(lateFactor*20*time.Second + MinTickInterval)
	assert.Contains(t, w.failures, "too late")
}

func (w *world) countedClass(c Counter, class string) uint64 {
	n := uint64(0)
	for _, count := range w.counts {
		if count.Counter == c && count.Class == class {
			n += count.Add
		}
	}
	return n
}

func TestTierOneIsNotGivenUpWhileLowerWorkIsQueued(t *testing.T) {
	// Symptom: a gate check is refused as hopeless while an appeal of the same queue is served next.
	// Sequence: all servers say that only tier 1 runs; an appeal is queued here; a slot is offered to a tier-1 request
	// that can't end in time.
	// Cause: the entry's own queue not looked at.
	for _, lower := range []bool{true, false} {
		w := newWorld(t, Options{})
		w.serve("s1", kindModel, testModel, 0)
		if lower {
			w.arrive("low", appeal)
		}
		for range learnSamples {
			w.s.classFor(urgentModel).outputs.add(50)
		}
		w.arriveAs("top", "org", urgentModel, 60_000)
		w.offer("s1", w.reserves("top")[0].id)
		assert.Equal(t, lower, len(w.dispatches("top")) == 1)
		assert.Equal(t, !lower, w.failures["top"] != nil)
	}
}

func TestPreemptedWorkIsNotLost(t *testing.T) {
	// Symptom: appeals, which may be late but never lost, are lost under load.
	// Sequence: one is preempted by gate checks again and again.
	// Cause: preemptions counted as if the work itself failed.
	w, _ := twoServers(t, appeal)
	for range 3 * maxStarts {
		all := w.dispatches("r")
		d := all[len(all)-1]
		w.say(d.server, started(d))
		w.over(d.server, &wire.Over{Attempt: d.id, Proof: wire.Proof_PROOF_CANCELLED, PreemptedByTier: 1})
		w.room(d.server, kindModel, testModel, 4)
	}
	assert.Empty(t, w.failures)
	assert.Len(t, w.dispatches("r"), 3*maxStarts+1)
}

func TestBrokenWorkIsNotTriedForEver(t *testing.T) {
	w, _ := twoServers(t, appeal)
	for i := range maxStarts {
		d := w.last("r", i+1)
		w.prove(d.server, d.id, wire.Proof_PROOF_FAILED)
		w.room(d.server, kindModel, testModel, 4)
	}
	require.Contains(t, w.failures, "r")
	assert.Equal(t, result.EngineFailed, w.failures["r"].Code)
	assert.Equal(t, result.RanYes, w.failures["r"].Ran)
}

func TestNoServerIsSaidAtOnce(t *testing.T) {
	w := newWorld(t, Options{})
	w.serve("s1", kindModel, "other", 1)
	w.arrive("r", summary)
	require.Contains(t, w.failures, "r")
	assert.Equal(t, result.NoServer, w.failures["r"].Code)
	assert.Positive(t, w.failures["r"].RetryAfter)
	w.arrive("top", urgentModel)
	assert.NotContains(t, w.failures, "top")
	for i := range 1000 {
		r := w.request(fmt.Sprint(i), summary)
		r.Target = fmt.Sprint("made-up-", i)
		w.step(Arrive{Request: r})
	}
	assert.LessOrEqual(t, len(w.s.pools), 3, "targets that callers make up aren't kept")
}

func TestSameEventsGiveTheSameActions(t *testing.T) {
	run := func() []string {
		w := newWorld(t, Options{Seed: 7})
		for i := range 20 {
			w.serve(fmt.Sprintf("s%02d", i), kindModel, testModel, uint32(i%3))
		}
		for i := range 200 {
			w.arriveAs(fmt.Sprint(i), fmt.Sprint("org", i%5), []*wire.Class{appeal, summary, urgentModel}[i%3], uint32(i*10))
			if i%20 == 0 {
				w.down(fmt.Sprintf("s%02d", i/20))
			}
		}
		w.pass(3 * time.Second)
		var log []string
		for _, s := range w.sent {
			log = append(log, s.Agent+" "+s.Message.String())
		}
		return log
	}
	first := run()
	for range 3 {
		again := run()
		require.Len(t, again, len(first))
		for i := range first {
			require.Equal(t, normal(first[i]), normal(again[i]))
		}
	}
}

// normal takes out the blanks that protobuf's text form puts in at random.
func normal(text string) string {
	return strings.Join(strings.Fields(text), " ")
}
