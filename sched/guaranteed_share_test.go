package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// shareLoad serves reviews and chats at a number of slots per period of 100 ms.
type shareLoad struct {
	h      *harness
	slots  int
	period int
	served map[string]int
}

func newShareLoad(t *testing.T, slots int) *shareLoad {
	h := newHarness(t, Options{Forecast: true, RetryAdvice: true, LongTermShare: true})
	h.addServer("s1", kindModel, testModel, 0)
	return &shareLoad{h: h, slots: slots}
}

// run submits the given number of reviews and chats per period and returns how many of each were sent.
func (l *shareLoad) run(periods, reviews, chats int) map[string]int {
	l.served = map[string]int{}
	for range periods {
		l.period++
		l.arrive(review, reviews)
		l.arrive(chat, chats)
		l.h.reportRoom("s1", kindModel, testModel, uint32(l.slots))
		l.completeNew()
		l.h.reportRoom("s1", kindModel, testModel, 0)
		l.h.advance(100 * time.Millisecond)
	}
	return l.served
}

func (l *shareLoad) arrive(class *wire.Class, n int) {
	for i := range n {
		l.h.arriveWithObjective(fmt.Sprintf("%s-%d-%d", class.GetName(), l.period, i), class, 300*time.Millisecond)
	}
}

// completeNew completes the attempts that were sent since the last call.
func (l *shareLoad) completeNew() {
	sent := l.h.sent
	l.h.sent = nil
	for _, m := range sent {
		d := m.Message.GetDispatch()
		if d == nil {
			continue
		}
		class := d.GetWork().GetClass()
		l.served[class]++
		l.h.frame("s1", d.GetAttempt(), 0, "x")
		l.h.complete("s1", d.GetAttempt(), 0, "x")
	}
}

// Guards against a burst of a few seconds in which the last class takes slots while the first class waits: it was served in
// full before and can wait. It must be served again as soon as the burst is over.
func TestLastClassWaitsDuringABurst(t *testing.T) {
	l := newShareLoad(t, 4)
	l.run(50, 1, 2) // until the rates are known
	before := l.run(600, 1, 2)
	require.Equal(t, 1200, before["chat"])
	burst := l.run(40, 8, 2)
	require.Equal(t, 4*40, burst["review"]+burst["chat"])
	require.LessOrEqual(t, burst["chat"], 4, "chats that waited as the burst began")
	after := l.run(20, 1, 2)
	require.GreaterOrEqual(t, after["chat"], 38)
}

// Guards against a class without service while an overload lasts, and against one that makes up for a wait by taking all
// slots. Over a minute it must be served a third as often as all requests, also if it was served in full before.
func TestLastClassGetsGuaranteedShareOverAMinute(t *testing.T) {
	const (
		slots   = 4
		reviews = 6
		chats   = 2
	)
	l := newShareLoad(t, slots)
	l.run(600, 2, 2)
	total, most := 0, 0
	for range 12 {
		served := l.run(50, reviews, chats)["chat"]
		total += served
		most = max(most, served)
	}
	requestsServed := float64(slots) / (reviews + chats)
	chatsServed := float64(total) / (600 * chats)
	t.Logf("chats served %.3f, all requests %.3f, most chats in 5 s %d", chatsServed, requestsServed, most)
	require.GreaterOrEqual(t, chatsServed/requestsServed, 0.32)
	require.Less(t, most, 50*slots/5, "chats took more than a fifth of the slots for 5 s")
}
