package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Two classes of one tier, ordered by precedence.
var (
	review = &wire.Class{Name: "review", Tier: 2, DeadlineMs: 6000, Kind: kindModel, Precedence: 1}
	chat   = &wire.Class{Name: "chat", Tier: 2, DeadlineMs: 6000, Kind: kindModel, Precedence: 3}
)

// Guards against long chats served under overload while reviews are refused, although operators give reviews
// precedence. All routes of an organisation are in one tier, and a chat that arrived first competes for the slot
// that becomes free; the precedence must decide.
func TestClassWithPrecedenceGoesFirst(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 0)
	h.arriveWithObjective("chat", chat, 300*time.Millisecond)
	h.arriveWithObjective("review", review, 800*time.Millisecond)
	h.reportRoom("s1", kindModel, testModel, 1)
	require.Len(t, h.dispatches("review"), 1)
	require.Empty(t, h.dispatches("chat"))
}

// Guards against a class that gets no answer while an overload lasts: reviews arrive faster than they can be
// served, and a strict order of classes would serve no chat.
func TestStarvedClassGetsGuaranteedShare(t *testing.T) {
	withAndWithoutForecast(t, starvedClassGetsGuaranteedShare)
}

func starvedClassGetsGuaranteedShare(t *testing.T, options Options) {
	h := newHarness(t, options)
	h.addServer("s1", kindModel, testModel, 0)
	served := map[string]int{}
	const rounds = 200
	for i := range rounds {
		for _, class := range []*wire.Class{review, chat} {
			h.arriveWithObjective(fmt.Sprintf("%s-%d", class.GetName(), i), class, 95*time.Millisecond)
		}
		h.reportRoom("s1", kindModel, testModel, 1)
		for _, class := range []*wire.Class{review, chat} {
			served[class.GetName()] += h.answerIfSent(fmt.Sprintf("%s-%d", class.GetName(), i))
		}
		h.advance(100 * time.Millisecond)
	}
	require.Greater(t, served["chat"], rounds/10)
	require.Greater(t, served["review"], 2*served["chat"])
}

// answerIfSent completes the request's attempt, if there is one, and returns how many it completed.
func (h *harness) answerIfSent(request string) int {
	h.t.Helper()
	if len(h.dispatches(request)) == 0 {
		return 0
	}
	sent := h.lastDispatch(request, 1)
	h.frame(sent.server, sent.id, 0, "x")
	h.complete(sent.server, sent.id, 0, "x")
	h.reportRoom("s1", kindModel, testModel, 0)
	return 1
}

// Guards against advised retry delays that are too short: the estimated wait must include the requests of classes
// that go first.
func TestRequestsAheadCountsHigherPrecedence(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 0)
	for i := range 5 {
		h.arriveWithObjective(fmt.Sprintf("review-%d", i), review, time.Second)
	}
	h.arriveWithObjective("chat", chat, time.Second)
	require.Equal(t, 5+1, h.s.requestsAhead(h.s.requests["chat"]))
	require.Less(t, h.s.requestsAhead(h.s.requests["review-0"]), 6)
}

// Guards against wrong times in the log line at the end of a request.
func TestTraceReportsWaitTimes(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 0)
	h.arriveWithObjective("a", review, time.Second)
	h.advance(100 * time.Millisecond)
	h.reportRoom("s1", kindModel, testModel, 1)
	sent := h.lastDispatch("a", 1)
	h.advance(50 * time.Millisecond)
	h.frame("s1", sent.id, 0, "x")
	got := h.s.trace(h.s.requests["a"])
	require.Equal(t, "s1", got.Server)
	require.EqualValues(t, 2, got.Tier)
	require.Equal(t, 100*time.Millisecond, got.SentAfter)
	require.Equal(t, 150*time.Millisecond, got.FirstEventAfter)
	require.Equal(t, time.Second, got.DueAfter)
	require.Equal(t, 50*time.Millisecond, got.RoomAge)
}

// Guards against a burst in which chats take half of the slots and reviews, which have precedence, are refused.
// Twice as many reviews as slots arrive, and as many chats, each refused at its objective and retried once. Chats
// must get their guaranteed share only, a third of their share of the requests, and retries must not count as
// further requests.
func TestBurstKeepsLastClassAtGuaranteedShare(t *testing.T) {
	withAndWithoutForecast(t, burstKeepsLastClassAtGuaranteedShare)
}

func burstKeepsLastClassAtGuaranteedShare(t *testing.T, options Options) {
	const (
		slotsPerPeriod = 8 // per 100 ms
		periods        = 100
	)
	h := newHarness(t, options)
	h.addServer("s1", kindModel, testModel, 0)
	served := map[string]int{}
	for period := range periods {
		for i := range 2 * slotsPerPeriod {
			h.arriveWithObjective(fmt.Sprintf("review-%d-%d", period, i), review, 300*time.Millisecond)
			h.arriveWithObjective(fmt.Sprintf("chat-%d-%d", period, i), chat, 300*time.Millisecond)
			retried := h.request(fmt.Sprintf("back-%d-%d", period, i), chat)
			retried.Objective, retried.Overdue = h.now.Add(300*time.Millisecond), true
			h.step(Arrive{Request: retried})
		}
		h.reportRoom("s1", kindModel, testModel, slotsPerPeriod)
		h.completeAll("s1")
		h.reportRoom("s1", kindModel, testModel, 0)
		h.advance(100 * time.Millisecond)
	}
	for id := range h.answers {
		served[id[:4]]++
	}
	all := served["revi"] + served["chat"] + served["back"]
	const share = 0.5 // of the requests of both classes
	require.InDelta(t, guaranteedShare*share, float64(served["chat"]+served["back"])/float64(all), 0.03)
}

// withAndWithoutForecast runs a test with the options that differ in the measure of the guaranteed share.
func withAndWithoutForecast(t *testing.T, test func(*testing.T, Options)) {
	t.Helper()
	for _, forecast := range []bool{false, true} {
		t.Run(fmt.Sprintf("forecast=%v", forecast), func(t *testing.T) {
			test(t, Options{Forecast: forecast, RetryAdvice: forecast, LongTermShare: forecast})
		})
	}
}
