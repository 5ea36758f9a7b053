package fair_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/carawaypitch/carawaypitch/fair"
)

// serve starts n items for whichever of the waiting organisations has the lowest tag, and returns their tokens.
func serve(c *fair.Clock, costs map[string]int64, names []string, n int) map[string]int64 {
	served := map[string]int64{}
	for range n {
		best := names[0]
		for _, name := range names[1:] {
			if c.Tag(name) < c.Tag(best) {
				best = name
			}
		}
		c.Start(best, costs[best])
		served[best] += costs[best]
	}
	return served
}

func TestBackloggedOrganisationsGetEqualTokens(t *testing.T) {
	// Symptom: a partner with long prompts gets several times the tokens of the others.
	// Sequence: all are backlogged; items of one cost a hundred times those of another.
	// Cause: turns counted by item and not by token.
	c := fair.New()
	costs := map[string]int64{"a": 10, "b": 100, "c": 1000}
	names := []string{"a", "b", "c"}
	for _, name := range names {
		c.Enter(name)
	}
	served := serve(c, costs, names, 11100)
	for _, name := range names {
		assert.InDelta(t, 1e5, served[name], 1000, name)
	}
}

func TestIdleOrganisationGetsNoCredit(t *testing.T) {
	// Symptom: a partner that was silent all night holds the whole pool in the morning.
	// Sequence: a is served alone; b enters.
	// Cause: b's tag was left at the time of its last item.
	c := fair.New()
	c.Enter("a")
	costs := map[string]int64{"a": 10, "b": 10}
	serve(c, costs, []string{"a"}, 1000)
	c.Enter("b")
	served := serve(c, costs, []string{"a", "b"}, 100)
	assert.InDelta(t, served["a"], served["b"], 20)
}

func TestWaitingOrganisationKeepsWhatItWasDenied(t *testing.T) {
	// Symptom: a partner whose work was passed over for other reasons never gets it made good.
	// Sequence: a waits while b is started out of turn; then both may be started.
	// Cause: a's tag was raised to the virtual time although it was waiting.
	c := fair.New()
	c.Enter("a")
	c.Enter("b")
	for range 10 {
		c.Start("b", 10)
	}
	served := serve(c, map[string]int64{"a": 10, "b": 10}, []string{"a", "b"}, 10)
	assert.Equal(t, int64(100), served["a"])
}

func TestTrueUpChargesWhatWasServed(t *testing.T) {
	// Symptom: a partner whose answers run long gets more than its share.
	// Sequence: both are charged 10 for each item; a's items turn out to cost 40.
	// Cause: the charge was left at the estimate.
	c := fair.New()
	c.Enter("a")
	c.Enter("b")
	actual := map[string]int64{"a": 40, "b": 10}
	total := map[string]int64{}
	for range 1000 {
		name := "a"
		if c.Tag("b") < c.Tag("a") {
			name = "b"
		}
		c.Start(name, 10)
		c.Reconcile(name, 10, actual[name])
		total[name] += actual[name]
	}
	assert.InDelta(t, total["a"], total["b"], 80)
}

func TestRefundDoesNotBecomeCredit(t *testing.T) {
	// Symptom: a partner that sends and cancels work overtakes the others afterwards.
	// Sequence: a is started and refunded ten times while b is served; a goes idle and comes back.
	// Cause: a refund taken as a tag below the virtual time.
	c := fair.New()
	for range 10 {
		c.Start("a", 100)
		c.Reconcile("a", 100, 0)
	}
	c.Start("b", 500)
	c.Start("b", 500)
	c.Enter("a")
	assert.Equal(t, c.VirtualTime(), c.Tag("a"))
}

func TestForgottenOrganisationStandsAsNew(t *testing.T) {
	// Symptom: memory grows with every organisation ever seen, or a busy one loses its tag.
	// Sequence: many organisations come and go; one is ahead of its share.
	// Cause: nothing is pruned, or pruning takes those with a tag that still counts.
	c := fair.New()
	c.Start("busy", 1_000_000)
	for i := range 10_000 {
		name := fmt.Sprintf("o%d", i)
		c.Enter(name)
		c.Leave(name)
	}
	assert.Equal(t, int64(1_000_000), c.Tag("busy"))
	assert.Equal(t, c.VirtualTime(), c.Tag("o1"))
	assert.LessOrEqual(t, c.Len(), 1000)
}
