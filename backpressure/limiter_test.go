package backpressure

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests; -rapid.seed selects another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// withRate returns a response that names a rate.
func withRate(receivedAt time.Time, perSecond float64) Observation {
	return Observation{
		Advice: Advice{Rate: Rate{Limited: true, PerSecond: perSecond}},
		Route:  RouteRun, SentAt: receivedAt.Add(-time.Millisecond), ReceivedAt: receivedAt,
	}
}

// withoutRate returns a response without a rate.
func withoutRate(sentAt, receivedAt time.Time) Observation {
	return Observation{Route: RouteRun, SentAt: sentAt, ReceivedAt: receivedAt}
}

// sendAll sends as much as is allowed at every step, and returns the times of the sends.
func sendAll(l *Limiter, from time.Time, during, step time.Duration) []time.Time {
	var sent []time.Time
	for now := from; now.Before(from.Add(during)); now = now.Add(step) {
		for range min(l.Available(now), 1000) {
			l.Take(now)
			l.RecordSend(now)
			sent = append(sent, now)
		}
	}
	return sent
}

// A sender must not exceed the rate in any window, nor leave more than a tenth of it unused.
func TestRateIsKeptInEveryWindowAndUsed(t *testing.T) {
	for _, perSecond := range []float64{0.2, 0.5, 1, 1.2, 2.8, 10, 50, 400} {
		var l Limiter
		l.Observe(withRate(start, perSecond))
		sent := sendAll(&l, start, time.Minute, 20*time.Millisecond)
		for _, window := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second} {
			allowed := perSecond*(window+maxCatchUp).Seconds() + 1
			require.LessOrEqual(t, float64(MaxInWindow(sent, window)), allowed, "%g per second, in %s", perSecond, window)
		}
		require.GreaterOrEqual(t, float64(len(sent)), 0.9*perSecond*60, "%g per second", perSecond)
	}
}

// A sender that was idle must not send a burst of all the sends that it could have made meanwhile.
func TestIdleSenderDoesNotBurst(t *testing.T) {
	var l Limiter
	l.Observe(withRate(start, 10))
	require.Equal(t, 1+int(maxCatchUp/l.interval()), l.Available(at(60)))
}

// A server that named a rate of zero must not be lost for good: only responses can announce a higher rate, so it is
// probed occasionally.
func TestServerWithRateZeroIsProbed(t *testing.T) {
	var l Limiter
	l.Observe(withRate(start, 0))
	sent := sendAll(&l, start, 2*time.Minute, 20*time.Millisecond)
	require.LessOrEqual(t, MaxInWindow(sent, 4*time.Second), 1)
	require.GreaterOrEqual(t, len(sent), 10)
	require.LessOrEqual(t, len(sent), 12)
}

// A rate whose interval is too short for a clock must not limit anything.
func TestHugeRateIsNoLimit(t *testing.T) {
	var l Limiter
	l.Observe(withRate(start, 1e300))
	require.Equal(t, unlimited, l.Available(start))
	require.Zero(t, l.Wait(start, 1000))
}

// A limit must end only with a response that proves it: one to a later call that the server ran and whose headers could
// be parsed.
func TestLimitEndsWithResponseWithoutRate(t *testing.T) {
	cleared := withoutRate(at(1), at(2))
	for name, c := range map[string]struct {
		change func(*Observation)
		ends   bool
	}{
		"response to a later call":         {func(*Observation) {}, true},
		"response to an earlier call":      {func(o *Observation) { o.SentAt = at(-1) }, false},
		"refusal":                          {func(o *Observation) { o.Refused = true }, false},
		"response to another call":         {func(o *Observation) { o.Mismatched = true }, false},
		"malformed header":                 {func(o *Observation) { o.Malformed = []MalformedHeader{{}} }, false},
		"report, no report named a rate":   {func(o *Observation) { o.Route = RouteReport }, false},
		"response to another kind of call": {func(o *Observation) { o.Route = RouteCall }, false},
		"sent when the rate was named":     {func(o *Observation) { o.SentAt = start }, true},
	} {
		var l Limiter
		l.Observe(withRate(start, 1))
		o := cleared
		c.change(&o)
		require.Equal(t, c.ends, l.Observe(o), name)
		require.Equal(t, !c.ends, l.Rate().Limited, name)
	}
}

// If responses to load reports name the rate, one without a rate ends the limit.
func TestReportWithoutRateEndsLimitOfReports(t *testing.T) {
	var l Limiter
	inReport := withRate(start, 1)
	inReport.Route = RouteReport
	l.Observe(inReport)
	o := withoutRate(at(1), at(1))
	o.Route = RouteReport
	require.True(t, l.Observe(o))
}

// Responses may be processed out of order. A rate from an older response must not replace one from a newer response.
func TestNewestRateWins(t *testing.T) {
	var l Limiter
	l.Observe(withRate(at(2), 5))
	require.False(t, l.Observe(withRate(at(1), 1)))
	require.Equal(t, 5.0, l.Rate().PerSecond)
}

// Refunding a send that was counted under an earlier rate must not credit the present one.
func TestPermitOfEarlierRateIsNotRefunded(t *testing.T) {
	var l Limiter
	permit := l.Take(start)
	l.Observe(withRate(start, 1))
	next := l.nextSend
	l.Refund(permit)
	require.Equal(t, next, l.nextSend)

	l.Take(at(2))
	permit = l.Take(at(4))
	before := l.nextSend
	l.Refund(permit)
	require.Equal(t, before.Add(-l.interval()), l.nextSend)
}

// Senders that share a rate must not exceed it together, nor leave much of it unused because of the split.
func TestRateIsSharedBySenders(t *testing.T) {
	for _, senders := range []int{2, 7, 105} {
		var all []time.Time
		for i := range senders {
			var l Limiter
			l.SetSenders(start, senders)
			receivedAt := start.Add(time.Duration(i) * 10 * time.Millisecond)
			l.Observe(withRate(receivedAt, 20))
			all = append(all, sendAll(&l, receivedAt, time.Minute, 20*time.Millisecond)...)
		}
		require.GreaterOrEqual(t, float64(len(all)), 0.85*20*60, "%d senders", senders)
		require.LessOrEqual(t, float64(len(all)), 20.0*60+float64(senders), "%d senders", senders)
	}
}

// For any sequence of rates, refunds and delayed sends, no window of 4 s contains more sends than the highest rate
// allows, plus the sends that were counted before the window.
func TestNoWindowExceedsHighestRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limiter
		highest := rapid.Float64Range(0.2, 40).Draw(t, "highest")
		now := start
		l.Observe(withRate(now, highest))
		var sent []time.Time
		var pending []Permit
		maxPending := 0
		for range 400 {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "pass")))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				l.Observe(withRate(now, rapid.Float64Range(0, highest).Draw(t, "rate")))
			case 1:
				if len(pending) > 0 {
					l.Refund(pending[0])
					pending = pending[1:]
				}
			case 2, 3, 4, 5:
				if l.Available(now) > 0 {
					pending = append(pending, l.Take(now))
				}
			default:
				if len(pending) > 0 {
					pending = pending[1:]
					l.RecordSend(now)
					sent = append(sent, now)
				}
			}
			maxPending = max(maxPending, len(pending))
		}
		window := 4 * time.Second
		allowed := highest*(window+maxCatchUp).Seconds() + 1 + float64(maxPending)
		if got := MaxInWindow(sent, window); float64(got) > allowed {
			t.Fatalf("%d sends in %s at %g per second, at most %d permits held", got, window, highest, maxPending)
		}
	})
}

// withBackoff returns a refusal that requests a backoff.
func withBackoff(receivedAt time.Time, backoff time.Duration) Observation {
	return Observation{
		Advice: Advice{Backoff: backoff}, Route: RouteRun, Refused: true,
		SentAt: receivedAt.Add(-time.Millisecond), ReceivedAt: receivedAt,
	}
}

// No send is allowed before the requested backoff is over.
func TestNothingIsSentDuringBackoff(t *testing.T) {
	var l Limiter
	require.True(t, l.Observe(withBackoff(start, 3*time.Second)))
	require.Equal(t, ReasonBackoff, l.Blocked(at(2.9)))
	require.Zero(t, l.Available(at(2.9)))
	require.InDelta(t, 100*time.Millisecond, l.Wait(at(2.9), 1), float64(time.Millisecond))
	require.Equal(t, 1, l.Available(at(3)))
}

// Calls in flight are answered after the first refusal. A shorter backoff in one of those responses must not end the
// longer one.
func TestShorterBackoffDoesNotEndLongerOne(t *testing.T) {
	var l Limiter
	l.Observe(withBackoff(start, 3*time.Second))
	require.False(t, l.Observe(withBackoff(at(0.1), time.Second)))
	require.Zero(t, l.Available(at(2)))
	require.False(t, l.Observe(withoutRate(at(-1), at(0.2))), "a response to a call sent before the backoff ended doesn't end the trial phase")
	require.Zero(t, l.Available(at(2)))
}

// Queued requests must not all be sent when the backoff ends, since most of them would be refused again.
func TestOneTrialFollowsBackoff(t *testing.T) {
	var l Limiter
	l.Observe(withBackoff(start, time.Second))
	l.Take(at(1))
	require.Equal(t, ReasonTrial, l.Blocked(at(1)))
	require.Equal(t, 1, l.Available(at(2)), "another trial follows one that is never answered")
	l.Take(at(2))
	require.Zero(t, l.Available(at(2.5)))
	l.Observe(withoutRate(at(2), at(2.6)))
	require.Equal(t, unlimited, l.Available(at(2.6)))
}

// A refused trial must start a new backoff, followed by a single trial again.
func TestRefusedTrialStartsNewBackoff(t *testing.T) {
	var l Limiter
	l.Observe(withBackoff(start, time.Second))
	l.Take(at(1))
	l.Observe(withBackoff(at(1.1), 2*time.Second))
	require.Zero(t, l.Available(at(3)))
	require.Equal(t, 1, l.Available(at(3.1)))
}

// A trial that was counted but not sent must not block the next trial.
func TestUnsentTrialIsRefunded(t *testing.T) {
	var l Limiter
	l.Observe(withBackoff(start, time.Second))
	permit := l.Take(at(1))
	require.Zero(t, l.Available(at(1)))
	l.Refund(permit)
	require.Equal(t, 1, l.Available(at(1)))
}

// A process that starts doesn't know whether its predecessor was asked to back off. It must send only a few trials
// until the first response.
func TestNewSenderStartsWithTrials(t *testing.T) {
	l := NewLimiter()
	for range initialTrials {
		l.Take(start)
	}
	require.Zero(t, l.Available(at(0.5)))
	l.Observe(withBackoff(at(0.5), 2*time.Second))
	require.Zero(t, l.Available(at(2.4)))

	l = NewLimiter()
	l.Take(start)
	l.Observe(withoutRate(start, at(0.1)))
	require.Equal(t, unlimited, l.Available(at(0.1)))
}

// For any sequence of responses, sends and backoffs, no send is allowed during a requested backoff.
func TestNothingIsSentDuringAnyBackoff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimiter()
		now := start
		var until time.Time
		var open []time.Time // send times of the calls in flight
		for range 300 {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "pass")))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				if l.Available(now) > 0 {
					if now.Before(until) {
						t.Fatalf("send %s before the end of the backoff", until.Sub(now))
					}
					l.Take(now)
					l.RecordSend(now)
					open = append(open, now)
				}
			case 3:
				if len(open) > 0 {
					l.Observe(withoutRate(open[0], now))
					open = open[1:]
				}
			case 4:
				if len(open) > 0 {
					backoff := time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
					o := withBackoff(now, backoff)
					o.SentAt = open[0]
					l.Observe(o)
					open = open[1:]
					if end := now.Add(backoff); end.After(until) {
						until = end
					}
				}
			default:
				l.Observe(withRate(now, rapid.Float64Range(1, 20).Draw(t, "rate")))
			}
		}
	})
}

// A window may begin at any of the times, and its end is exclusive.
func TestMaxInWindow(t *testing.T) {
	times := []time.Time{at(0), at(1), at(3.9), at(4), at(4.5)}
	require.Equal(t, 4, MaxInWindow(times, 4*time.Second))
	require.Equal(t, 0, MaxInWindow(nil, time.Second))
}
