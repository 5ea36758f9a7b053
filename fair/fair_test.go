package fair_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/carawaypitch/carawaypitch/fair"
)

// serve starts n items, each of the organisation with the lowest tag, and returns the tokens served by
// organisation.
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

// Guards against sharing by item instead of by token: an organisation with long prompts would get several times the
// tokens of the others. All organisations are backlogged; their items differ a hundredfold in cost.
func TestBackloggedOrganisationsGetEqualTokens(t *testing.T) {
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

// Guards against credit for idle time: an organisation that was idle for long would monopolise the service when it
// returns. a is served alone, then b enters; it fails if b's tag stays at the time of its last item.
func TestIdleOrganisationGetsNoCredit(t *testing.T) {
	c := fair.New()
	c.Enter("a")
	costs := map[string]int64{"a": 10, "b": 10}
	serve(c, costs, []string{"a"}, 1000)
	c.Enter("b")
	served := serve(c, costs, []string{"a", "b"}, 100)
	assert.InDelta(t, served["a"], served["b"], 20)
}

// Guards against loss of entitlement while waiting: a waits while b is started out of order, then both compete. It
// fails if a's tag is raised to the virtual time although a has a waiting item.
func TestWaitingOrganisationKeepsItsTag(t *testing.T) {
	c := fair.New()
	c.Enter("a")
	c.Enter("b")
	for range 10 {
		c.Start("b", 10)
	}
	served := serve(c, map[string]int64{"a": 10, "b": 10}, []string{"a", "b"}, 10)
	assert.Equal(t, int64(100), served["a"])
}

// Guards against charges left at the estimate: an organisation whose answers are longer than estimated would get
// more than its share. Both are charged 10 for each item; a's items actually cost 40.
func TestReconcileChargesActualCost(t *testing.T) {
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

// Guards against refunds that turn into credit: an organisation that sends and cancels work would overtake the
// others afterwards. a is started and refunded ten times while b is served; a goes idle and returns.
func TestRefundDoesNotBecomeCredit(t *testing.T) {
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

// Guards against memory that grows with every organisation ever seen, and against pruning an organisation whose tag
// is still ahead of the virtual time. Many organisations come and go; one is ahead of its share.
func TestPrunedOrganisationStartsAtVirtualTime(t *testing.T) {
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
