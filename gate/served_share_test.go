package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func TestReservationsServedElsewhereDontCountAsBacklog(t *testing.T) {
	// Guards against requests refused for their deadline while servers have time left: each request waits at
	// several gates, so the sum of all that wait at one gate is too long by the number of reservations of each
	// request.
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	b.trainPace(20*time.Millisecond, 100)
	b.start(entryA, id("runs", 1), workOf(func(w *wire.Work) { w.OutputTokens = 1 }))
	for i := range 20 {
		b.reserve(entryA, id(fmt.Sprint("waits-", i), 1), work())
	}
	whole := b.gate.backlog()
	for i := range 200 {
		b.reserve(entryA, id(fmt.Sprint("elsewhere-", i), 1), work())
		m := &wire.Withdraw{Attempt: id(fmt.Sprint("elsewhere-", i), 1), Server: sampleServer}
		b.receive(entryA, &wire.EntryMessage{Kind: &wire.EntryMessage_Withdraw{Withdraw: m}})
	}
	require.Positive(t, whole)
	require.Less(t, b.gate.backlog(), whole/4)
	soon := workOf(func(w *wire.Work) { w.RemainingMs = uint32((whole / 2).Milliseconds()) })
	require.Empty(t, oversTo(b.reserve(entryB, id("soon", 1), soon), entryB))
}
