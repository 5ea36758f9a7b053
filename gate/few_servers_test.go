package gate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// fewServersHarness returns a harness with one slot, which a run holds that ends in about a second, and a learned pace of
// 100 tokens a second.
func fewServersHarness(t *testing.T, first bool) *harness {
	t.Helper()
	b := newReadyHarnessWith(t, Config{NoPredecessor: true, FewServersFirst: first}, sampleRecord(1))
	b.trainPace(10*time.Millisecond, 400)
	b.start(entryA, id("running", 1), workOf(func(w *wire.Work) { w.OutputTokens = 100 }))
	b.actions = nil
	return b
}

// waitFor reserves for work of one class with a deadline, and an objective if it isn't 0.
func (b *harness) waitFor(request string, deadline, objective time.Duration, change func(*wire.Work)) {
	b.t.Helper()
	b.reserve(entryA, id(request, 1), workOf(func(w *wire.Work) {
		w.RemainingMs, w.ObjectiveMs = uint32(deadline.Milliseconds()), uint32(objective.Milliseconds())
		if change != nil {
			change(w)
		}
	}))
}

func few(w *wire.Work) { w.FewServers = true }

// nextOffer ends the run and returns the request that is offered its slot.
func (b *harness) nextOffer() []string {
	b.t.Helper()
	b.actions = nil
	b.finish(id("running", 1))
	return offeredIDs(b.actions)
}

// Guards against a request that only this server finishes in time and that waits behind those that others finish as well.
func TestOfferGoesFirstToWhatFewServersFinishInTime(t *testing.T) {
	for _, first := range []bool{false, true} {
		b := fewServersHarness(t, first)
		b.waitFor("any", 20*time.Second, 10*time.Second, nil)
		b.waitFor("few", 30*time.Second, 20*time.Second, few)
		want := "any.1"
		if first {
			want = "few.1"
		}
		require.Equal(t, []string{want}, b.nextOffer())
	}
}

// Guards against requests that become late because another goes first.
func TestNoneBecomesLateForWhatFewServersFinish(t *testing.T) {
	b := fewServersHarness(t, true)
	b.waitFor("any", 20*time.Second, 700*time.Millisecond, nil)
	b.waitFor("few", 30*time.Second, 20*time.Second, func(w *wire.Work) { w.FewServers, w.OutputTokens = true, 500 })
	require.Equal(t, []string{"any.1"}, b.nextOffer(), "a slot after this one is free only in about a second")
}

// Guards against attempts of other organisations and classes that become late because a long attempt takes the turn of a
// short head: they wait for the same slots.
func TestNoneOfAnotherQueueBecomesLateForWhatFewServersFinish(t *testing.T) {
	for name, change := range map[string]func(*wire.Work){
		"organisation": func(w *wire.Work) { w.Organisation = "another" },
		"class":        func(w *wire.Work) { w.Class = "another" },
	} {
		for tokens, want := range map[uint32]string{400: "head.1", 50: "few.1"} {
			t.Run(fmt.Sprint(name, "/", tokens), func(t *testing.T) {
				b := fewServersHarness(t, true)
				b.waitFor("head", 30*time.Second, 20*time.Second, func(w *wire.Work) { w.Precedence, w.OutputTokens = 2, 20 })
				b.waitFor("other", 30*time.Second, 1500*time.Millisecond, func(w *wire.Work) {
					w.Precedence, w.OutputTokens = 2, 20
					change(w)
				})
				b.waitFor("few", 40*time.Second, 30*time.Second, func(w *wire.Work) {
					w.Precedence, w.FewServers, w.OutputTokens = 2, true, tokens
				})
				require.Equal(t, []string{want}, b.nextOffer())
			})
		}
	}
}

// Guards against a head that a steady flow of attempts which few servers finish in time keeps waiting without bound.
func TestHeadIsPassedABoundedNumberOfTimes(t *testing.T) {
	b := fewServersHarness(t, true)
	b.waitFor("head", 60*time.Second, 50*time.Second, nil)
	b.waitFor("second", 61*time.Second, 50*time.Second, nil)
	var order []string
	running := "running"
	for i := range maxPasses + 3 {
		b.waitFor(fmt.Sprint("few-", i), 70*time.Second, 60*time.Second, few)
		b.actions = nil
		b.finish(id(running, 1))
		offers := offeredIDs(b.actions)
		require.Len(t, offers, 1)
		order = append(order, offers[0])
		running = strings.TrimSuffix(offers[0], ".1")
		b.dispatchOffered(entryA, id(running, 1), work())
	}
	require.Equal(t, []string{"head.1", "second.1"}, order[maxPasses:maxPasses+2], "the second was passed as often: %v", order)
	for i, request := range append(order[:maxPasses:maxPasses], order[maxPasses+2:]...) {
		require.Equal(t, fmt.Sprint("few-", i, ".1"), request)
	}
}

// Guards against a heap that is not visited in the order of its attempts.
func TestHeapOrderIsThatOfTheAttempts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	for n := range 40 {
		var h attemptHeap
		for i := range n {
			a := &attempt{sequence: uint64(i), deadline: time.Unix(random.Int64N(10), 0), work: &wire.Work{Overdue: random.IntN(4) == 0}}
			heap.Push(&h, a)
		}
		order := newHeapOrder(h)
		visited := 0
		for last, a := order.pop(), order.pop(); last != nil; last, a = a, order.pop() {
			visited++
			require.True(t, a == nil || earlier(last, a))
		}
		require.Equal(t, n, visited)
	}
}

// Guards against an order of organisations, classes or overdue requests that the preference changes.
func TestFewServersKeepsTheOrderOfOthers(t *testing.T) {
	for name, change := range map[string]func(*wire.Work){
		"organisation": func(w *wire.Work) { w.Organisation = "another" },
		"class":        func(w *wire.Work) { w.Class, w.Precedence = "lower", 3 },
		"overdue":      func(w *wire.Work) { w.Overdue = true },
		"tier":         func(w *wire.Work) { w.Tier = 3 },
	} {
		t.Run(name, func(t *testing.T) {
			b := fewServersHarness(t, true)
			b.waitFor("any", 20*time.Second, 10*time.Second, func(w *wire.Work) { w.Precedence = 2 })
			b.waitFor("few", 30*time.Second, 20*time.Second, func(w *wire.Work) {
				w.Precedence, w.FewServers = 2, true
				change(w)
			})
			require.Equal(t, []string{"any.1"}, b.nextOffer())
		})
	}
}

// Guards against a request that can't end in time any more and still goes before others.
func TestFewServersDoesNotPreferWhatIsLate(t *testing.T) {
	b := fewServersHarness(t, true)
	b.waitFor("any", 5*time.Second, 4*time.Second, nil)
	b.waitFor("few", 6*time.Second, 4*time.Second, func(w *wire.Work) { w.FewServers, w.OutputTokens = true, 1000 })
	require.Equal(t, []string{"any.1"}, b.nextOffer())
}

// Guards against a pace of a server that has become slow and is reported only after more than a second.
func TestASlowServerIsReportedWithinASecond(t *testing.T) {
	b := newReadyHarness(t)
	b.trainPace(10*time.Millisecond, 400)
	b.start(entryA, id("r", 1), workOf(func(w *wire.Work) { w.OutputTokens = 1000 }))
	b.streamTokens(id("r", 1), 20*time.Millisecond, 10)
	require.InEpsilon(t, 50, b.gate.currentRoom().GetDecodeTokensPerS(), 0.3)
	b.actions = nil
	b.streamTokens(id("r", 1), 100*time.Millisecond, 10)
	var last *wire.Room
	for _, m := range actionsOf[Broadcast](b.actions) {
		last = m.Message.GetRoom()
	}
	require.NotNil(t, last)
	require.InEpsilon(t, 10, last.GetDecodeTokensPerS(), 0.3)
}
