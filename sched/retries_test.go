package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// failAll submits n requests and fails every attempt of them, like a service whose servers all fail. It returns the
// number of attempts beyond the first of each request.
func failAll(h *harness, prefix string, n int) int {
	retries := 0
	for i := range n {
		id := fmt.Sprint(prefix, i)
		h.arrive(id, gateCheck)
		for tried := 1; len(h.dispatches(id)) == tried; tried++ {
			d := h.lastDispatch(id, tried)
			h.receive(d.server, &wire.AgentMessage{Kind: &wire.AgentMessage_Started{
				Started: &wire.Started{Attempt: d.id, Server: d.server},
			}})
			h.prove(d.server, d.id, wire.Proof_PROOF_FAILED)
			h.advance(MinTickInterval)
			h.reportRoom(d.server, kindService, testService, 4)
		}
		retries += len(h.dispatches(id)) - 1
	}
	return retries
}

// Guards against retries that keep a failing service down: all its servers fail their requests, and every entry
// retries each request as often as allowed. A bound per request alone isn't enough; all retries must stay within
// the budget.
func TestRetriesStayWithinBudget(t *testing.T) {
	options := Options{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 40}
	h := newHarness(t, options)
	h.addServer("s1", kindService, testService, 4)
	h.settle(4)
	// 50 requests in one window: 0.2 of them and a fourth of the allowance.
	retries := failAll(h, "a", 50)
	require.LessOrEqual(t, retries, 20)
	require.GreaterOrEqual(t, retries, 15, "the part and half of what requests earn are usable at once")
	require.Len(t, h.failures, 50, "all others fail at once")
}

// settle lists the given number of entries, until this one has its full part of the retry allowance.
func (h *harness) settle(entries int) {
	h.t.Helper()
	h.step(Directory{Agents: h.records, Entries: entries})
	h.step(ControlContact{ConfirmedAt: h.now})
	h.advance(2 * h.s.options.RetryWindow)
	h.step(ControlContact{ConfirmedAt: h.now})
	for _, v := range h.s.sortedServers() {
		h.reportRoom(v.name, v.kind, testService, 4)
	}
}

// Guards against a retry budget that stays used up: after the window has passed, as many retries must be allowed as
// before.
func TestRetryBudgetRefillsWithTheWindow(t *testing.T) {
	h := newHarness(t, Options{RetryRatio: 0.01, RetryWindow: 10 * time.Second, RetryAllowance: 5})
	h.addServer("s1", kindService, testService, 4)
	h.settle(1)
	first := failAll(h, "a", 10)
	require.Equal(t, 5, first)
	h.advance(11 * time.Second)
	h.step(ControlContact{ConfirmedAt: h.now})
	h.reportRoom("s1", kindService, testService, 4)
	require.Equal(t, first, failAll(h, "b", 10))
}

// Guards against a retry budget without RetryRatio: each request must get maxBegunAttempts attempts.
func TestRetriesAreUnboundedByDefault(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindService, testService, 4)
	require.Equal(t, 10*(maxBegunAttempts-1), failAll(h, "a", 10))
}

// Guards against refusing requests that another server has room for: servers crash, and each call to one of them
// fails at once without a connection. The agent reports an attempt as started before it calls, so an unsent attempt
// must not use up the retry budget.
func TestUnsentAttemptUsesNoRetry(t *testing.T) {
	h := newHarness(t, Options{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 2})
	h.addServer("s1", kindModel, testModel, 40)
	h.addServer("s2", kindModel, testModel, 40)
	for i := range 20 {
		name := fmt.Sprint("r", i)
		h.arrive(name, summary)
		for n := 1; len(h.dispatches(name)) == n && h.lastDispatch(name, n).server == "s1"; n++ {
			d := h.lastDispatch(name, n)
			h.receive("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: d.id, Server: "s1"}}})
			h.over("s1", &wire.Over{Attempt: d.id, Proof: wire.Proof_PROOF_NEVER_STARTED, Unsent: true})
			h.reportRoom("s1", kindModel, testModel, 40)
		}
		require.Empty(t, h.failures)
	}
	require.NotEmpty(t, h.dispatches("r19"))
}

// Guards against retries beyond the budget when an entry is killed again and again within a window: each new process must not
// have the part of the allowance that its predecessors have used.
func TestKilledEntryStaysWithinRetryBudget(t *testing.T) {
	options := Options{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryAllowance: 40}
	const entries, lives, requests = 4, 4, 20
	retries := 0
	for life := range lives {
		h := newHarness(t, options)
		h.addServer("s1", kindService, testService, 4)
		h.step(Directory{Agents: h.records, Entries: entries, First: life == 0})
		h.step(ControlContact{ConfirmedAt: h.now})
		retries += failAll(h, fmt.Sprint("life", life, "-"), requests)
	}
	require.LessOrEqual(t, retries, int(options.RetryRatio*lives*requests)+options.RetryAllowance/entries)
}

// noRetries allows each request its first attempt only.
var noRetries = Options{RetryRatio: 1e-6, RetryWindow: 10 * time.Second}

// Guards against free repeats after the loss of a report: an agent called a server, its Started was lost with it, and the attempt
// is proved over by the agent's next incarnation.
func TestAttemptWithoutReportCountsAsArrived(t *testing.T) {
	h := newHarness(t, noRetries)
	h.addServer("s1", kindModel, testModel, 4)
	h.settle(1)
	h.reportRoom("s1", kindModel, testModel, 4)
	h.arrive("r", summary)
	h.lastDispatch("r", 1)
	h.linkDown("s1")
	h.restart("s1")
	h.reportRoom("s1", kindModel, testModel, 4)
	h.lastDispatch("r", 1)
	require.NotNil(t, h.failures["r"])
}

// Guards against free repeats if a report was dropped while the link stayed: the proof says that the attempt was cancelled, so the
// server may have had it.
func TestCancelledAttemptWithoutReportCountsAsArrived(t *testing.T) {
	h := newHarness(t, noRetries)
	h.addServer("s1", kindModel, testModel, 4)
	h.settle(1)
	h.reportRoom("s1", kindModel, testModel, 4)
	h.arrive("r", summary)
	h.prove("s1", h.lastDispatch("r", 1).id, wire.Proof_PROOF_CANCELLED)
	h.reportRoom("s1", kindModel, testModel, 4)
	h.lastDispatch("r", 1)
	require.NotNil(t, h.failures["r"])
}

// Guards against free repeats after a rejection: a server read the request and rejected it, and only the rejection came over
// the link, which was lost between.
func TestRejectedAttemptWithLostReportCountsAsArrived(t *testing.T) {
	for _, unsent := range []bool{false, true} {
		h := newHarness(t, noRetries)
		h.addServer("s1", kindModel, testModel, 4)
		h.settle(1)
		h.reportRoom("s1", kindModel, testModel, 4)
		h.arrive("r", summary)
		d := h.lastDispatch("r", 1)
		h.linkDown("s1")
		h.linkUp("s1", 1)
		h.over("s1", &wire.Over{Attempt: d.id, Proof: wire.Proof_PROOF_NEVER_STARTED, Unsent: unsent})
		h.advance(time.Second)
		h.reportRoom("s1", kindModel, testModel, 4)
		require.Equal(t, unsent, h.failures["r"] == nil, "unsent %v", unsent)
	}
}

// Guards against a budget that is forgotten while no server of the model or service is left.
func TestRetryBudgetOutlivesItsPool(t *testing.T) {
	h := newHarness(t, Options{RetryRatio: 0.01, RetryWindow: 10 * time.Second, RetryAllowance: 5})
	h.addServer("s1", kindService, testService, 4)
	h.settle(1)
	require.Equal(t, 5, failAll(h, "a", 10))
	h.linkDown("s1")
	h.records = nil
	h.step(Directory{Entries: 1})
	h.advance(time.Second)
	require.Empty(t, h.s.pools)
	h.addServer("s2", kindService, testService, 4)
	require.Zero(t, failAll(h, "b", 10))
}

// Guards against credit for requests that a process reads after it was frozen: they were sent in windows that are over.
func TestRequestsReadAfterAStallEarnNoRetries(t *testing.T) {
	for _, stalled := range []time.Duration{0, 3 * time.Second} {
		h := newHarness(t, Options{RetryRatio: 0.2, RetryWindow: 10 * time.Second})
		h.addServer("s1", kindService, testService, 4)
		h.settle(1)
		h.now = h.now.Add(stalled)
		for i := range 100 {
			h.arrive(fmt.Sprint("r", i), gateCheck)
		}
		require.Equal(t, stalled == 0, !h.s.retryBudget(testService).Idle(h.now), "stalled for %v", stalled)
	}
}

// Guards against retries that were decided in one window and are sent in another: while no server has room they wait, and
// arrive beside those that were decided meanwhile.
func TestRetryThatWaitedIsChargedAgain(t *testing.T) {
	options := Options{RetryRatio: 0.01, RetryWindow: 10 * time.Second, RetryAllowance: 1}
	h := newHarness(t, options)
	h.addServer("s1", kindModel, testModel, 1)
	h.settle(1)
	h.reportRoom("s1", kindModel, testModel, 1)
	h.arrive("r", summary)
	d := h.lastDispatch("r", 1)
	h.receive("s1", &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: d.id, Server: "s1"}}})
	h.prove("s1", d.id, wire.Proof_PROOF_FAILED)
	h.advance(4 * time.Second)
	h.lastDispatch("r", 1)
	h.step(Directory{Agents: h.records, Entries: 10}) // its part is a tenth by now
	h.reportRoom("s1", kindModel, testModel, 1)
	h.lastDispatch("r", 1)
	require.NotNil(t, h.failures["r"])
}

// Guards against a budget for each name of a model that a caller invents.
func TestUnknownTargetsHaveNoRetryBudget(t *testing.T) {
	h := newHarness(t, noRetries)
	for i := range 10 {
		r := h.request(fmt.Sprint("r", i), summary)
		r.Target = fmt.Sprint("invented-", i)
		h.step(Arrive{Request: r})
	}
	require.Empty(t, h.s.retries.byTarget)
}

// Guards against a retry that is given back though it was answered: its Started was lost with the link, and the whole answer is
// the first that is heard of it.
func TestAnsweredRetryWithLostReportCountsAsArrived(t *testing.T) {
	h := newHarness(t, Options{RetryRatio: 0.01, RetryWindow: 10 * time.Second, RetryAllowance: 1})
	h.addServer("s1", kindModel, testModel, 4)
	h.settle(1)
	h.reportRoom("s1", kindModel, testModel, 4)
	h.arrive("r", summary)
	h.prove("s1", h.lastDispatch("r", 1).id, wire.Proof_PROOF_CANCELLED)
	h.reportRoom("s1", kindModel, testModel, 4)
	d := h.lastDispatch("r", 2)
	h.linkDown("s1")
	h.linkUp("s1", 1)
	h.frame("s1", d.id, 0, "x")
	h.complete("s1", d.id, 0, "x")
	require.NotNil(t, h.answers["r"])
	h.reportRoom("s1", kindModel, testModel, 4)
	h.arrive("next", summary)
	h.prove("s1", h.lastDispatch("next", 1).id, wire.Proof_PROOF_CANCELLED)
	h.reportRoom("s1", kindModel, testModel, 4)
	h.lastDispatch("next", 1)
}
