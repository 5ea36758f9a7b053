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

// serveThenAbsent serves one organisation three times while the other one's only reservation is withdrawn for a while,
// and returns the order in which both are served then.
func serveThenAbsent(t *testing.T, absent time.Duration) []string {
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
	// Symptom: of two organisations with the same demand the one that uses more entries gets more.
	// Sequence: the only reservation of one is taken elsewhere; the other is served here; both reserve again.
	// Cause: nothing waiting for a moment counted as idleness, which earns no credit.
	require.Equal(t, []string{"t0", "t1", "t2"}, serveThenAbsent(t, time.Second))
}

func TestIdleOrganisationEarnsNoCredit(t *testing.T) {
	require.Contains(t, serveThenAbsent(t, 2*organisationHold), "s0")
}
