package gate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func workOfOrganisation(name string) *wire.Work {
	return workOf(func(w *wire.Work) { w.Organisation = name })
}

// offerOrderAfterAbsence serves one organisation three times while the only reservation of the other one is withdrawn,
// waits for the given time, and returns the order in which both are served then.
func offerOrderAfterAbsence(t *testing.T, absent time.Duration) []string {
	b := newReadyHarnessWith(t, Config{NoPredecessor: true}, sampleRecord(1))
	b.start(entryA, id("steady-0", 1), workOfOrganisation("steady"))
	b.reserve(entryB, id("elsewhere", 1), workOfOrganisation("torn"))
	m := &wire.Withdraw{Attempt: id("elsewhere", 1), Server: sampleServer}
	b.receive(entryB, &wire.EntryMessage{Kind: &wire.EntryMessage_Withdraw{Withdraw: m}})
	for i := 1; i <= 3; i++ {
		b.reserve(entryA, id(fmt.Sprint("steady-", i), 1), workOfOrganisation("steady"))
		b.progress(id(fmt.Sprint("steady-", i-1), 1), "x")
		b.finish(id(fmt.Sprint("steady-", i-1), 1))
		b.dispatchOffered(entryA, id(fmt.Sprint("steady-", i), 1), workOfOrganisation("steady"))
	}
	b.advance(absent)
	for i := range 3 {
		b.reserve(entryA, id(fmt.Sprint("s", i), 1), workOfOrganisation("steady"))
		b.reserve(entryB, id(fmt.Sprint("t", i), 1), workOfOrganisation("torn"))
	}
	b.progress(id("steady-3", 1), "x")
	b.actions = nil
	b.finish(id("steady-3", 1))
	return b.offerOrder(3)
}

func TestOrganisationServedElsewhereKeepsItsShare(t *testing.T) {
	// Guards against unequal shares of two organisations with the same demand: a reservation that is withdrawn
	// because another gate serves it leaves nothing waiting for a moment, which must not count as idleness.
	require.Equal(t, []string{"t0", "t1", "t2"}, offerOrderAfterAbsence(t, time.Second))
}

func TestIdleOrganisationEarnsNoCredit(t *testing.T) {
	require.Contains(t, offerOrderAfterAbsence(t, 2*organisationHold), "s0")
}
