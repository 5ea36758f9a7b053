package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// BenchmarkStep measures one complete request while 1,000 others wait: reservation, offer, dispatch, eight progress
// events and end.
func BenchmarkStep(b *testing.B) {
	const waiting, organisations, classes, steps = 1000, 8, 4, 11
	w := newReadyHarnessWith(b, Config{NoPredecessor: true, MaxRecords: 1 << 22}, sampleRecord(16))
	makeWork := func(i int) *wire.Work {
		return workOf(func(w *wire.Work) {
			w.Organisation = fmt.Sprint("org-", i%organisations)
			w.Class = fmt.Sprint("class-", i%classes)
			w.Tier = uint32(2 + i%2)
			w.MayBeLate = true
			w.RemainingMs = uint32(60_000 + i)
		})
	}
	for i := range 16 {
		w.start(entryA, id(fmt.Sprint("run-", i), 1), workOf(func(w *wire.Work) { w.Preemptible = false }))
		w.progress(id(fmt.Sprint("run-", i), 1), "x")
	}
	for i := range waiting {
		w.reserve(entryA, id(fmt.Sprint("wait-", i), 1), makeWork(i))
	}
	works := make([]*wire.Work, classes*organisations)
	for i := range works {
		works[i] = makeWork(i)
	}
	event := [][]byte{[]byte("token")}
	offer := id("run-0", 1)
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		w.actions = nil
		w.now = w.now.Add(time.Millisecond)
		next := id(fmt.Sprint("new-", i), 1)
		work := works[i%len(works)]
		w.gate.Step(w.now, MessageReceived{entryA, &wire.EntryMessage{Kind: &wire.EntryMessage_Reserve{
			Reserve: &wire.Reserve{Attempt: next, Server: sampleServer, Work: work},
		}}})
		for _, action := range w.finish(offer) {
			if s, ok := action.(Send); ok && s.Message.GetOffer() != nil {
				offer = s.Message.GetOffer().Attempt
			}
		}
		w.dispatchOffered(entryA, offer, work)
		for range steps - 3 {
			w.gate.Step(w.now, EngineProgress{Attempt: offer, Events: event})
		}
	}
	b.StopTimer()
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/steps, "ns/step")
}
