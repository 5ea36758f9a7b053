package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// slowEntryLoad is a load of one gate by two entries: entryA answers offers at once, entryB after a time.
type slowEntryLoad struct {
	*harness
	run     time.Duration
	slowBy  time.Duration
	patient time.Duration // how long a request waits for its start
	pending []pendingStep
}

type pendingStep struct {
	at time.Time
	do func()
}

func (l *slowEntryLoad) after(d time.Duration, do func()) {
	l.pending = append(l.pending, pendingStep{l.now.Add(d), do})
}

// play lets both entries reserve at their rates per second, and returns how many of entryA's requests arrived and started in time.
func (l *slowEntryLoad) play(d time.Duration, fast, slow float64) (arrived, started int) {
	const step = 5 * time.Millisecond
	due := map[EntryID]float64{}
	owners := map[string]EntryID{}
	arrivals := map[string]time.Time{}
	n, seen := 0, 0
	for at := time.Duration(0); at < d; at += step {
		l.now = l.now.Add(step)
		rest := l.pending
		l.pending = nil
		for _, p := range rest {
			if p.at.After(l.now) {
				l.pending = append(l.pending, p)
				continue
			}
			p.do()
		}
		if at%TickInterval == 0 {
			l.step(Tick{})
		}
		if at%(500*time.Millisecond) == 0 {
			l.receive(entryA, heartbeat())
			l.receive(entryB, heartbeat())
			l.step(Announced{Server: l.gate.server.record})
		}
		for entry, rate := range map[EntryID]float64{entryA: fast, entryB: slow} {
			for due[entry] += rate * step.Seconds(); due[entry] >= 1; due[entry]-- {
				n++
				request := id(fmt.Sprint("r", n), 1)
				owners[request.Request], arrivals[request.Request] = entry, l.now
				if entry == entryA {
					arrived++
				}
				l.reserve(entry, request, l.work())
				l.after(l.patient, func() { l.withdraw(entry, request) })
			}
		}
		// What the gate sends and starts in this step, also in answer to a step of this loop.
		for ; seen < len(l.actions); seen++ {
			switch a := l.actions[seen].(type) {
			case Send:
				offer := a.Message.GetOffer()
				if offer == nil {
					continue
				}
				entry, request := owners[offer.Attempt.Request], offer.Attempt
				answer := func() { l.dispatchOffered(entry, request, l.work()) }
				if entry == entryB {
					l.after(l.slowBy, answer)
				} else {
					answer()
				}
			case StartEngine:
				request := a.Dispatch.Attempt
				if owners[request.Request] == entryA && l.now.Sub(arrivals[request.Request]) <= l.patient {
					started++
				}
				l.after(l.run, func() { l.finish(request) })
			}
		}
	}
	return arrived, started
}

func (l *slowEntryLoad) work() *wire.Work {
	return workOf(func(w *wire.Work) { w.RemainingMs, w.Preemptible = 5000, false })
}

func (l *slowEntryLoad) withdraw(from EntryID, attempt *wire.AttemptID) {
	l.receive(from, &wire.EntryMessage{Kind: &wire.EntryMessage_Withdraw{Withdraw: &wire.Withdraw{Attempt: attempt, Server: sampleServer}}})
}

// Guards against an entry short of its processor or link that holds the room of servers by offers which it answers late, so
// that requests of all other entries aren't served either. It has nine of ten requests, and these alone would use less
// than the server's room.
func TestEntryThatAnswersOffersLateLeavesRoomToOthers(t *testing.T) {
	for _, slowBy := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, time.Second} {
		t.Run(fmt.Sprint("answers after ", slowBy), func(t *testing.T) {
			const slots = 8
			l := &slowEntryLoad{run: 100 * time.Millisecond, slowBy: slowBy, patient: 500 * time.Millisecond}
			l.harness = newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(slots))
			perSecond := 0.8 * slots / l.run.Seconds()
			arrived, started := l.play(20*time.Second, 0.1*perSecond, 0.9*perSecond)
			t.Logf("%d of %d started", started, arrived)
			require.GreaterOrEqual(t, 4*started, 3*arrived, "%d of %d started", started, arrived)
		})
	}
}
