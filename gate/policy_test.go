package gate

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// trainPace lets the gate learn the pace from one stream of the given number of tokens, and a prefill rate.
func (b *harness) trainPace(gap time.Duration, tokens int) {
	b.t.Helper()
	attempt := id(fmt.Sprint("teach-", b.now.UnixNano()), 1)
	b.start(entryA, attempt, workOf(func(w *wire.Work) { w.PromptTokens, w.OutputTokens = 4096, 100 }))
	b.advance(512 * time.Millisecond) // 8,000 tokens a second
	b.streamTokens(attempt, gap, tokens)
	b.finish(attempt)
}

// streamTokens lets a run produce tokens at a pace.
func (b *harness) streamTokens(attempt *wire.AttemptID, gap time.Duration, tokens int) {
	b.progress(attempt, "x")
	for range tokens {
		b.advance(gap)
		b.progress(attempt, "x")
	}
}

func TestOfferKeepsTheSlotUntilItsTimeout(t *testing.T) {
	// Guards against a slot that stays empty while requests wait, because an entry dies or is slow between its
	// reservation and the dispatch. The offer must not hold the slot for a whole lease.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	require.Equal(t, []string{"r1.1"}, offeredIDs(b.reserve(entryA, id("r1", 1), work())))
	require.Empty(t, offeredIDs(b.reserve(entryB, id("r2", 1), work())), "the slot is reserved for the offer")
	b.actions = nil
	b.advance(DefaultOfferTimeout + TickInterval)
	require.Equal(t, []string{"r2.1"}, offeredIDs(b.actions))
	refusedWith(t, b.dispatchOffered(entryA, id("r1", 1), work()), result.RefusedNeverStarted)
	require.Len(t, actionsOf[StartEngine](b.dispatchOffered(entryB, id("r2", 1), work())), 1)
	noChartErrors(t, b)
}

func TestLateDispatchStartsIfThereIsRoom(t *testing.T) {
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	b.reserve(entryA, id("r", 1), work())
	b.gate.now = b.gate.now.Add(DefaultOfferTimeout)
	b.gate.lapseOffers() // without the new offer that Step would make
	require.Equal(t, reserved, b.gate.records.get("r").current.state)
	require.Len(t, actionsOf[StartEngine](b.dispatchOffered(entryA, id("r", 1), work())), 1)
	require.Zero(t, b.gate.waiting.count)
}

func TestReservationIsRefusedAfterUnansweredOffers(t *testing.T) {
	b := newReadyHarness(t)
	b.reserve(entryA, id("r", 1), work())
	b.advance(maxLapses * (DefaultOfferTimeout + 2*TickInterval))
	require.Len(t, offeredIDs(b.actions), maxLapses)
	require.EqualValues(t, result.RefusedNeverStarted, onlyOver(t, b.actions, entryA, neverStartedProof).Code)
}

func TestDeclineAndWithdrawFreeTheSlot(t *testing.T) {
	for name, release := range map[string]func(*harness){
		"decline": func(b *harness) {
			m := &wire.Decline{Attempt: id("r1", 1), Server: sampleServer}
			b.receive(entryA, &wire.EntryMessage{Kind: &wire.EntryMessage_Decline{Decline: m}})
		},
		"withdraw": func(b *harness) {
			m := &wire.Withdraw{Attempt: id("r1", 1), Server: sampleServer}
			b.receive(entryA, &wire.EntryMessage{Kind: &wire.EntryMessage_Withdraw{Withdraw: m}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
			b.reserve(entryA, id("r1", 1), work())
			b.reserve(entryB, id("r2", 1), work())
			b.actions = nil
			release(b)
			release(b) // the second message has no effect
			require.Equal(t, []string{"r2.1"}, offeredIDs(b.actions))
			require.Empty(t, oversTo(b.actions, entryA))
			require.Len(t, b.gate.records.byRequest, 1, "no promise was made, so no tombstone is kept")
			noChartErrors(t, b)
		})
	}
}

func TestDirectDispatchOnlyWithinTheFreeRoom(t *testing.T) {
	b := newReadyHarness(t)
	b.fillSlots()
	refusedWith(t, b.dispatch(entryA, id("r", 1), work()), result.RefusedNeverStarted)
	b.finish(id("fill-0", 1))
	b.reserve(entryB, id("offered", 1), work())
	b.reserve(entryB, id("wait", 1), work())
	b.finish(id("fill-1", 1))
	require.Zero(t, b.gate.free())
	refusedWith(t, b.dispatch(entryA, id("r", 2), work()), result.RefusedNeverStarted)
}

// offerOrder repeatedly frees the only slot and returns the order in which waiting attempts are offered it.
func (b *harness) offerOrder(n int) []string {
	var order []string
	for range n {
		for _, o := range actionsOf[Send](b.actions) {
			offer := o.Message.GetOffer()
			if offer == nil {
				continue
			}
			order = append(order, offer.Attempt.Request)
			b.actions = nil
			b.dispatchOffered(o.Entry, offer.Attempt, work())
			b.now = b.now.Add(time.Second)
			b.actions = nil
			b.finish(offer.Attempt)
			break
		}
	}
	return order
}

func TestWaitingOrder(t *testing.T) {
	cases := map[string]struct {
		reserve []*wire.Work // r0, r1, ...
		want    []string
	}{
		"tier first": {
			[]*wire.Work{
				workOf(func(w *wire.Work) { w.Tier, w.Urgency = 3, 1000 }),
				work(),
				workOf(func(w *wire.Work) { w.Tier, w.RemainingMs = 1, 500_000 }),
			},
			[]string{"r2", "r1", "r0"},
		},
		"urgent class first": {
			[]*wire.Work{work(), workOf(func(w *wire.Work) { w.Class, w.Urgency, w.RemainingMs = "b", 900, 500_000 })},
			[]string{"r1", "r0"},
		},
		"precedence before urgency": {
			[]*wire.Work{
				workOf(func(w *wire.Work) { w.Class, w.Precedence, w.Urgency, w.RemainingMs = "chat", 4, 1000, 1000 }),
				workOf(func(w *wire.Work) { w.Class, w.Precedence, w.RemainingMs = "review", 2, 500_000 }),
			},
			[]string{"r1", "r0"},
		},
		"earlier deadline within an organisation": {
			[]*wire.Work{work(), workOf(func(w *wire.Work) { w.RemainingMs = 50_000 })},
			[]string{"r1", "r0"},
		},
		"late work after timely work": {
			[]*wire.Work{
				workOf(func(w *wire.Work) { w.Class, w.Urgency, w.RemainingMs, w.MayBeLate = "b", 900, 0, true }),
				workOf(func(w *wire.Work) { w.RemainingMs = 500_000 }),
			},
			[]string{"r1", "r0"},
		},
		"organisations in turn": {
			[]*wire.Work{
				work(), work(), work(),
				workOf(func(w *wire.Work) { w.Organisation, w.RemainingMs = "small", 500_000 }),
			},
			[]string{"r0", "r3", "r1", "r2"},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
			b.start(entryA, id("first", 1), workOf(func(w *wire.Work) { w.Tier = 9 }))
			for i, w := range c.reserve {
				from := []EntryID{entryA, entryB}[i%2]
				b.reserve(from, id(fmt.Sprint("r", i), 1), w)
			}
			b.actions = nil
			b.finish(id("first", 1))
			require.Equal(t, c.want, b.offerOrder(len(c.want)))
		})
	}
}

func TestChargesAreCorrectedAtTheEnd(t *testing.T) {
	// Guards against an organisation whose answers are longer than estimated and that permanently gets more than
	// its share, because the charged estimate was not corrected at the end of the run.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	b.start(entryA, id("long", 1), workOf(func(w *wire.Work) { w.Organisation = "long" }))
	b.reserve(entryA, id("long-next", 1), workOf(func(w *wire.Work) { w.Organisation, w.RemainingMs = "long", 1000 }))
	b.reserve(entryA, id("short-next", 1), workOf(func(w *wire.Work) { w.Organisation = "short" }))
	b.progress(id("long", 1), make([]string, 200)...)
	counts := actionsOf[Count](b.finish(id("long", 1)))
	require.Contains(t, counts, Count{Counter: ServedTokens, Tier: 2, Label: "long", Add: 300})
	clock := b.gate.waiting.tier(2).clock
	require.EqualValues(t, 300, clock.Tag("long"))
	require.Equal(t, []string{"short-next.1"}, offeredIDs(b.actions))
}

func TestWorkThatMissesItsDeadlineIsRefusedBeforePrefill(t *testing.T) {
	// Guards against prompts computed for answers that arrive after their deadline: a request whose predicted run
	// time exceeds its remaining time has to be refused at arrival.
	b := newReadyHarness(t)
	b.trainPace(20*time.Millisecond, 100)
	long := func(change func(*wire.Work)) *wire.Work {
		return workOf(func(w *wire.Work) {
			w.OutputTokens, w.RemainingMs = 200, 1000
			change(w)
		})
	}
	late := refusedWith(t, b.reserve(entryA, id("r", 1), long(func(*wire.Work) {})), result.CannotFinishInTime)
	require.Positive(t, late.RetryAfterMs)
	refusedWith(t, b.dispatch(entryA, id("r", 2), long(func(*wire.Work) {})), result.CannotFinishInTime)
	b.fillSlots()
	require.Empty(t, oversTo(b.reserve(entryA, id("appeal", 1), long(func(w *wire.Work) { w.MayBeLate = true })), entryA))
	require.Empty(t, oversTo(b.reserve(entryA, id("gate-check", 1), long(func(w *wire.Work) { w.Tier = 1 })), entryA))
	b.advance(1200 * time.Millisecond)
	require.Empty(t, b.gate.records.get("appeal").current.record.lastRefused, "a class that may be late waits")
	require.EqualValues(t, result.DeadlinePassedInQueue, b.gate.records.get("gate-check").lastRefused.Code)
	require.Equal(t, []string{"appeal.1"}, offeredIDs(b.finish(id("fill-0", 1))))
}

func TestFullWaitingListShedsTheLast(t *testing.T) {
	// Guards against shedding first-tier work while the waiting list is full of lower tiers: the attempt that is
	// last in order is shed, not the one that arrived last.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true, MaxWaiting: 2}, sampleRecord(1))
	b.fillSlots()
	third := func(w *wire.Work) { w.Tier = 3 }
	b.reserve(entryA, id("third-1", 1), workOf(third))
	b.reserve(entryA, id("third-2", 1), workOf(func(w *wire.Work) { w.Tier, w.RemainingMs = 3, 70_000 }))
	refusedWith(t, b.reserve(entryA, id("third-3", 1), workOf(func(w *wire.Work) { w.Tier, w.RemainingMs = 3, 80_000 })), result.QueueFull)
	shed := b.reserve(entryB, id("second", 1), work())
	require.Equal(t, "third-2", refusedWith(t, shed, result.ShedForHigherTier).Attempt.Request)
	shed = b.reserve(entryB, id("first", 1), firstTierWork())
	require.Equal(t, "third-1", refusedWith(t, shed, result.ShedForHigherTier).Attempt.Request)
	shed = b.reserve(entryB, id("first-2", 1), firstTierWork())
	require.Equal(t, "second", oversTo(shed, entryB)[0].Attempt.Request)
}

func TestFirstTierPreemptsTheRunThatWastesLeast(t *testing.T) {
	// Guards against a first-tier request that waits while all slots run lower tiers, and against preempting the
	// run with the longest prompt instead of the one that wastes the least prefill.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(4))
	b.start(entryA, id("long", 1), workOf(func(w *wire.Work) { w.PromptTokens = 900 }))
	b.start(entryA, id("cached", 1), workOf(func(w *wire.Work) { w.PromptTokens, w.CachedTokens, w.Tier = 900, 880, 3 }))
	b.start(entryA, id("never", 1), workOf(func(w *wire.Work) { w.PromptTokens, w.Preemptible = 1, false }))
	b.start(entryA, id("once", 1), workOf(func(w *wire.Work) { w.PromptTokens, w.Repeatable = 1, false }))
	for _, r := range []string{"long", "cached", "never", "once"} {
		b.progress(id(r, 1), "x")
	}
	asked := b.reserve(entryB, id("check", 1), firstTierWork())
	cancels := actionsOf[CancelEngine](asked)
	require.Len(t, cancels, 1)
	require.Equal(t, "cached", cancels[0].Attempt.Request)
	require.Contains(t, actionsOf[Count](asked), Count{Counter: Preemptions, Tier: 3, Add: 1})
	require.Empty(t, offeredIDs(asked), "the slot is free only once the end is proved")
	require.Len(t, framesOf(b.progress(id("cached", 1), "y"), "cached"), 1, "another server continues from this event")
	proved := b.answerCancel(id("cached", 1), engine.CancelConfirmed)
	over := onlyOver(t, proved, entryA, cancelledProof)
	require.EqualValues(t, 1, over.PreemptedByTier)
	require.EqualValues(t, 20, over.WastedPrefillTokens)
	require.True(t, over.Resumable)
	require.Equal(t, []string{"check.1"}, offeredIDs(proved))
	require.Contains(t, actionsOf[Count](proved), Count{Counter: WastedPrefill, Tier: 3, Label: CausePreempted, Add: 20})
	b.reserve(entryB, id("check-2", 1), firstTierWork())
	b.reserve(entryB, id("check-3", 1), firstTierWork())
	require.Len(t, b.gate.runs, 3)
	require.Equal(t, running, b.gate.records.get("never").current.state)
	require.Equal(t, running, b.gate.records.get("once").current.state)
	noChartErrors(t, b)
}

func TestFirstTierIsNeverRefusedForRoomWhileLowerTiersRun(t *testing.T) {
	b := newReadyHarness(t)
	for i := range sampleSlots {
		b.start(entryA, id(fmt.Sprint("never-", i), 1), workOf(func(w *wire.Work) { w.Preemptible = false }))
	}
	held := b.dispatch(entryB, id("direct", 1), firstTierWork())
	require.Empty(t, oversTo(held, entryB))
	require.Empty(t, actionsOf[StartEngine](held))
	require.Equal(t, []string{"direct.1"}, startedIDs(b.finish(id("never-0", 1))))
	b.finish(id("never-1", 1))
	b.start(entryB, id("second", 1), firstTierWork())
	over := onlyOver(t, b.dispatch(entryB, id("third", 1), firstTierWork()), entryB, neverStartedProof)
	require.EqualValues(t, result.RefusedNeverStarted, over.Code, "only work of its own tier runs")
}

func TestFirstTierTakesAnUnansweredOffer(t *testing.T) {
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	b.reserve(entryA, id("lower", 1), work())
	require.Equal(t, []string{"check.1"}, offeredIDs(b.reserve(entryB, id("check", 1), firstTierWork())))
	refusedWith(t, b.dispatchOffered(entryA, id("lower", 1), work()), result.RefusedNeverStarted)
}

func TestFirstTierWaitsForASlotThatIsSoonFree(t *testing.T) {
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	b.trainPace(20*time.Millisecond, 100)
	b.start(entryA, id("ending", 1), workOf(func(w *wire.Work) { w.OutputTokens = 32 }))
	b.streamTokens(id("ending", 1), 20*time.Millisecond, 29)
	require.Empty(t, actionsOf[CancelEngine](b.reserve(entryB, id("check", 1), firstTierWork())))
	urgent := workOf(func(w *wire.Work) { w.Tier, w.RemainingMs, w.OutputTokens = 1, 300, 1 })
	require.NotEmpty(t, actionsOf[CancelEngine](b.reserve(entryB, id("hurry", 1), urgent)))
}

func TestHeadroomIsLearntFromWaste(t *testing.T) {
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(8))
	b.gate.pace.gap = 0.02 // one slot generates 50 tokens a second
	for i := range 30 {
		b.gate.headroom.recordWaste(2000)
		b.reserve(entryA, id(fmt.Sprint("wait-", i), 1), work())
		b.advance(time.Second)
	}
	kept := b.gate.headroom.slots()
	require.Positive(t, kept)
	require.LessOrEqual(t, kept, 8/headroomDivisor)
	b.advance(3 * time.Minute)
	require.LessOrEqual(t, b.gate.headroom.slots(), kept)
}

func TestPromptTokensInFlightAreBounded(t *testing.T) {
	// Guards against a short first-tier request that waits for seconds although slots are free: several long
	// prompts handed to the engine at once are computed in order of arrival, so slots alone don't bound the wait.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(8))
	long := workOf(func(w *wire.Work) { w.PromptTokens = 20_000 })
	b.start(entryA, id("long-1", 1), long)
	require.Zero(t, b.gate.free())
	require.Empty(t, offeredIDs(b.reserve(entryA, id("long-2", 1), long)))
	require.Equal(t, string(blockedPrefill), b.gate.Status().Blocked)
	require.Equal(t, []string{"check.1"}, offeredIDs(b.reserve(entryB, id("check", 1), firstTierWork())))
	require.Equal(t, []string{"long-2.1"}, offeredIDs(b.progress(id("long-1", 1), "x")))
}

func TestCacheMemoryIsBounded(t *testing.T) {
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(8))
	b.step(EngineLoad{Load: engine.Load{KVCapacity: 1000}})
	big := workOf(func(w *wire.Work) { w.PromptTokens, w.OutputTokens = 100, 500 })
	b.start(entryA, id("r1", 1), big)
	require.Empty(t, offeredIDs(b.reserve(entryA, id("r2", 1), big)))
	require.Equal(t, string(blockedMemory), b.gate.Status().Blocked)
	refusedWith(t, b.dispatch(entryA, id("small", 1), work()), result.RefusedNeverStarted) // must not overtake the waiting attempt
	require.Equal(t, []string{"r2.1"}, offeredIDs(b.finish(id("r1", 1))))
}

func TestLimitFollowsThePace(t *testing.T) {
	l := concurrencyLimiter{floor: DefaultSlotsFloor}
	l.announce(16)
	require.Equal(t, 16, l.slots())
	for range 50 {
		l.observe(0.010, 1)
	}
	for range 50 {
		l.observe(0.020, 16)
	}
	require.Equal(t, 16, l.slots(), "twice the best pace is worth the larger batch")
	for range 50 {
		l.observe(0.060, float64(l.slots()))
	}
	require.Equal(t, 16/4, l.slots())
	for range 50 {
		l.observe(0.012, float64(l.slots()))
	}
	require.Equal(t, 16, l.slots())
	l.announce(4)
	require.Equal(t, 4, l.slots())
}

func TestStragglerIsSuspectUntilItRecovers(t *testing.T) {
	// Guards against requests that keep going to a server that has become five times slower. Load reports lag and
	// the server still announces itself, so the pace has to reveal it.
	b := newReadyHarness(t)
	b.start(entryA, id("r", 1), workOf(func(w *wire.Work) { w.OutputTokens = 10_000 }))
	b.streamTokens(id("r", 1), 20*time.Millisecond, 200)
	require.Equal(t, ready, b.gate.Status().Condition)
	b.streamTokens(id("r", 1), 100*time.Millisecond, 12)
	s := b.gate.Status()
	require.Equal(t, suspect, s.Condition)
	require.Equal(t, []string{"slower than its own past"}, s.SuspectReasons)
	require.Zero(t, s.Free)
	require.Empty(t, offeredIDs(b.reserve(entryA, id("wait", 1), work())))
	refusedWith(t, b.dispatch(entryA, id("direct", 1), work()), result.RefusedNeverStarted)
	require.Equal(t, []string{"wait.1"}, offeredIDs(b.finish(id("r", 1))), "offered as a probe")
	b.dispatchOffered(entryA, id("wait", 1), work())
	require.Empty(t, offeredIDs(b.reserve(entryA, id("wait-2", 1), work())), "one probe at a time")
	b.streamTokens(id("wait", 1), 20*time.Millisecond, 200)
	require.Equal(t, ready, b.gate.Status().Condition)
}

func TestStalledEngineIsSuspect(t *testing.T) {
	b := newReadyHarness(t)
	b.start(entryA, id("r", 1), work())
	b.streamTokens(id("r", 1), 20*time.Millisecond, 100)
	b.advance(4 * time.Second)
	require.Equal(t, suspect, b.gate.Status().Condition)
}

func TestIdleSlowServerIsProbedAgain(t *testing.T) {
	// Guards against a server that recovered and gets no work: entries avoid a suspect server, so no tokens show
	// its pace, and idle time has to clear the suspicion.
	b := newReadyHarness(t)
	b.gate.addSuspicion(suspectPace, onSlow)
	b.gate.pace.ratio = DefaultSlowRatio
	b.advance(probeIdleTime / 2)
	require.Equal(t, suspect, b.gate.Status().Condition)
	b.advance(probeIdleTime)
	require.Equal(t, ready, b.gate.Status().Condition)
}

func TestLongPromptIsNoProbe(t *testing.T) {
	b := newReadyHarness(t)
	b.gate.addSuspicion(suspectPace, onSlow)
	b.gate.pace.ratio = DefaultSlowRatio
	long := workOf(func(w *wire.Work) { w.PromptTokens = maxProbePrompt + 1 })
	refusedWith(t, b.dispatch(entryA, id("long-2", 1), long), result.RefusedNeverStarted)
	require.Empty(t, offeredIDs(b.reserve(entryA, id("long", 1), long)))
	require.Len(t, offeredIDs(b.reserve(entryA, id("short", 1), work())), 1)
}

// Guards against a server that counts as full at entries after short calls: they count each call against the last report, and were
// not told that the room is the same again.
func TestRoomIsBroadcastAfterCallsThatUsedIt(t *testing.T) {
	b := newReadyHarness(t)
	b.advance(2 * roomInterval)
	b.gate.room.lastSent, b.gate.room.sentAt = b.gate.currentRoom(), b.gate.now
	for n := range 2 {
		attempt := id(fmt.Sprint("short-", n), 1)
		b.start(entryA, attempt, work())
		b.finish(attempt)
	}
	b.actions = nil
	b.advance(2 * roomInterval)
	require.Len(t, rooms(b.actions), 1)
	require.EqualValues(t, 2, rooms(b.actions)[0].Free)
	b.advanceWith(2*time.Second, func() {})
	require.Len(t, rooms(b.actions), 1, "no broadcast without a change")
}

// Guards against a server that counts as full at an entry whose call was refused for lack of room, while the room at the next report
// is the same as before.
func TestRoomIsBroadcastAfterRefusal(t *testing.T) {
	b := newReadyHarness(t)
	b.advance(2 * roomInterval)
	b.gate.room.lastSent, b.gate.room.sentAt = b.gate.currentRoom(), b.gate.now
	filled := b.fillSlots()
	refusedWith(t, b.dispatch(entryA, id("refused", 1), work()), result.RefusedNeverStarted)
	for _, attempt := range filled {
		b.finish(attempt)
	}
	b.actions = nil
	b.advance(2 * roomInterval)
	require.Len(t, rooms(b.actions), 1)
	require.EqualValues(t, 2, rooms(b.actions)[0].Free)
}

func TestRoomIsBroadcastOnChangeAtABoundedRate(t *testing.T) {
	b := newReadyHarness(t)
	b.advance(roomInterval)
	b.actions = nil
	first := b.dispatch(entryA, id("r1", 1), work())
	require.Len(t, rooms(first), 1)
	require.EqualValues(t, 1, rooms(first)[0].Free)
	require.EqualValues(t, 2, rooms(first)[0].LowestRunningTier)
	require.Empty(t, rooms(b.finish(id("r1", 1))), "within roomInterval of the last broadcast")
	b.advance(roomInterval)
	broadcasts := rooms(b.actions)
	require.EqualValues(t, 2, broadcasts[len(broadcasts)-1].Free)
	b.actions = nil
	b.advanceWith(2*time.Second, func() {})
	require.Empty(t, rooms(b.actions), "no broadcast without a change")
	answer := actionsOf[Send](b.receive(entryA, heartbeat()))
	require.Len(t, answer, 1)
	require.NotNil(t, answer[0].Message.GetRoom())
}

func TestUrgencyAndLatenessSetTheBand(t *testing.T) {
	c := &classState{slack: ampleSlack}
	c.updateBand()
	assert.Zero(t, c.band)
	c.observe(&wire.Work{Urgency: 600})
	c.updateBand()
	assert.Equal(t, 2, c.band)
	for range 100 {
		c.recordLateness(true)
	}
	c.updateBand()
	assert.Equal(t, 3, c.band)
	c.slack = 0
	c.updateBand()
	assert.Equal(t, urgencyBands-1, c.band)
}

func TestFullWaitingListKeepsTheFirstTierWhileLowerTiersRun(t *testing.T) {
	// Guards against shedding first-tier work while a run of a lower tier that can't be preempted is in progress.
	// The waiting list is full of first-tier work when one more request with an earlier deadline arrives.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true, MaxWaiting: 1}, sampleRecord(1))
	b.start(entryA, id("never", 1), workOf(func(w *wire.Work) { w.Preemptible = false }))
	b.reserve(entryA, id("first", 1), firstTierWork())
	b.reserve(entryA, id("hurry", 1), workOf(func(w *wire.Work) { w.Tier, w.RemainingMs = 1, 1000 }))
	require.Empty(t, oversTo(b.actions, entryA))
	require.Equal(t, 2, b.gate.waiting.count)
	b.finish(id("never", 1))
	b.dispatchOffered(entryA, id("hurry", 1), firstTierWork())
	refusedWith(t, b.reserve(entryA, id("last", 1), firstTierWork()), result.QueueFull)
}

func TestServiceCallsTrainLimitAndPace(t *testing.T) {
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(8))
	call := workOf(func(w *wire.Work) { w.Service, w.PromptTokens, w.OutputTokens = true, 0, 0 })
	n := 0
	runConcurrently := func(parallel int, took time.Duration) {
		var all []*wire.AttemptID
		for range min(parallel, b.gate.free()) {
			n++
			all = append(all, id(fmt.Sprint("call-", n), 1))
			b.start(entryA, all[len(all)-1], call)
		}
		b.advance(took)
		for _, attempt := range all {
			b.finish(attempt)
		}
	}
	for range 200 {
		runConcurrently(1, 20*time.Millisecond)
	}
	require.Equal(t, 8, b.gate.Status().Slots)
	require.InDelta(t, 20, b.gate.predictRuntime(call).Milliseconds(), 2)
	require.EqualValues(t, 20, b.gate.estimateCost(call))
	for range 10 {
		runConcurrently(8, 80*time.Millisecond)
	}
	require.Less(t, b.gate.Status().Slots, 8, "eight concurrent calls take four times as long")
}

// Guards against unused capacity at a server that announces how many requests it runs at once. Events that wait
// behind a prompt arrive together, so their gaps suggest a pace that no engine reaches, and the true pace then
// looks three times slower; the floor of 1 must keep the limit at the announced slots.
func TestFloorOfOneUsesAllAnnouncedSlots(t *testing.T) {
	l := concurrencyLimiter{floor: 1}
	l.announce(8)
	l.observe(0.001, 8)
	for range 50 {
		l.observe(0.010, 8)
	}
	require.Equal(t, 8, l.slots())
}

// Guards against giving room to a caller that is already past its target while another one can still be in time.
// Ordered by deadline alone, a caller that came back would go first, since it has less time left.
func TestOverdueReservationGoesLastOfItsClass(t *testing.T) {
	overdue := func(w *wire.Work) { w.Overdue, w.Precedence = true, 2 }
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	b.start(entryA, id("running", 1), work())
	b.reserve(entryA, id("back", 1), workOf(func(w *wire.Work) { overdue(w); w.RemainingMs = 1000 }))
	b.reserve(entryB, id("fresh", 1), workOf(func(w *wire.Work) { w.Precedence, w.RemainingMs = 2, 4000 }))
	b.reserve(entryB, id("lower", 1), workOf(func(w *wire.Work) { w.Class, w.Precedence, w.RemainingMs = "lower", 3, 4000 }))
	b.actions = nil
	b.finish(id("running", 1))
	require.Equal(t, []string{"fresh.1"}, offeredIDs(b.actions))
	b.start(entryB, id("fresh", 1), workOf(func(w *wire.Work) { w.Precedence = 2 }))
	b.actions = nil
	b.finish(id("fresh", 1))
	require.Equal(t, []string{"back.1"}, offeredIDs(b.actions), "before the class with the lower precedence")
}

// Guards against giving room to a request that became late while it waited, before one of a lower class that can be in time:
// the entry reserves again with a higher precedence number, and among late requests overdue must count as well.
func TestReservationThatBecomesLateGoesLast(t *testing.T) {
	const late = 1 << 16
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	b.start(entryA, id("running", 1), work())
	b.reserve(entryA, id("held", 1), workOf(func(w *wire.Work) { w.Precedence, w.RemainingMs = 1, 4000 }))
	b.reserve(entryB, id("timely", 1), workOf(func(w *wire.Work) { w.Class, w.Precedence, w.RemainingMs = "lower", 3, 9000 }))
	b.reserve(entryA, id("held", 1), workOf(func(w *wire.Work) { w.Overdue, w.Precedence, w.RemainingMs = true, late+1, 3000 }))
	b.actions = nil
	b.finish(id("running", 1))
	require.Equal(t, []string{"timely.1"}, offeredIDs(b.actions))
	b.start(entryB, id("timely", 1), workOf(func(w *wire.Work) { w.Class, w.Precedence = "lower", 3 }))
	b.actions = nil
	b.finish(id("timely", 1))
	require.Equal(t, []string{"held.1"}, offeredIDs(b.actions))
}

// Guards against serving long answers of the last class before the first class at all gates. If the last class is
// starved at one entry, its raised precedence must not apply to the reservations of other entries.
func TestPrecedenceAppliesToTheReservationOnly(t *testing.T) {
	class := func(name string, precedence uint32) *wire.Work {
		return workOf(func(w *wire.Work) { w.Class, w.Precedence = name, precedence })
	}
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	owners := map[string]EntryID{"running": entryA, "chat-a": entryA, "review-a": entryA, "chat-b": entryB}
	b.start(entryA, id("running", 1), work())
	b.reserve(entryA, id("chat-a", 1), class("chat", 4))
	b.reserve(entryA, id("review-a", 1), class("review", 2))
	b.reserve(entryB, id("chat-b", 1), class("chat", 1))
	order := []string{}
	for _, next := range []string{"running", "chat-b", "review-a"} {
		b.actions = nil
		b.finish(id(next, 1))
		for _, offered := range offeredIDs(b.actions) {
			order = append(order, offered)
			name := strings.TrimSuffix(offered, ".1")
			b.start(owners[name], id(name, 1), work())
		}
	}
	require.Equal(t, []string{"chat-b.1", "review-a.1", "chat-a.1"}, order)

	b.actions = nil
	b.reserve(entryA, id("chat-c", 1), class("chat", 4))
	b.reserve(entryA, id("review-c", 1), class("review", 2))
	b.reserve(entryA, id("chat-c", 1), class("chat", 1)) // renewed with a higher precedence
	b.actions = nil
	b.finish(id("chat-a", 1))
	require.Equal(t, []string{"chat-c.1"}, offeredIDs(b.actions))
}
