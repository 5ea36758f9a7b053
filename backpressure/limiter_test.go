package backpressure

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests; -rapid.seed tries others.
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

// named is an answer that names a rate.
func named(heard time.Time, perSecond float64) Observation {
	return Observation{
		Advice: Advice{Rate: Rate{Limited: true, PerSecond: perSecond}},
		Route:  RouteRun, SentAt: heard.Add(-time.Millisecond), ReceivedAt: heard,
	}
}

// silent is an answer that names none.
func silent(asked, heard time.Time) Observation {
	return Observation{Route: RouteRun, SentAt: asked, ReceivedAt: heard}
}

// sendAll sends whatever is allowed, every step, and returns when.
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

func TestRateIsKeptInEveryWindowAndUsed(t *testing.T) {
	for _, perSecond := range []float64{0.2, 0.5, 1, 1.2, 2.8, 10, 50, 400} {
		var l Limiter
		l.Observe(named(start, perSecond))
		sent := sendAll(&l, start, time.Minute, 20*time.Millisecond)
		for _, window := range []time.Duration{time.Second, 4 * time.Second, 10 * time.Second} {
			allowed := perSecond*(window+catchUp).Seconds() + 1
			require.LessOrEqual(t, float64(MaxInWindow(sent, window)), allowed, "%g a second, in %s", perSecond, window)
		}
		require.GreaterOrEqual(t, float64(len(sent)), 0.9*perSecond*60, "%g a second", perSecond)
	}
}

func TestSendsNotMadeAreNotSavedUp(t *testing.T) {
	var l Limiter
	l.Observe(named(start, 10))
	require.Equal(t, 1+int(catchUp/l.interval()), l.Available(at(60)))
}

// Zero is a limit, and a server that named it must not be lost for good: only its answers can say that it takes more.
func TestServerWithRateZeroIsTriedNowAndThen(t *testing.T) {
	var l Limiter
	l.Observe(named(start, 0))
	sent := sendAll(&l, start, 2*time.Minute, 20*time.Millisecond)
	require.LessOrEqual(t, MaxInWindow(sent, 4*time.Second), 1)
	require.GreaterOrEqual(t, len(sent), 10)
	require.LessOrEqual(t, len(sent), 12)
}

func TestHugeRateIsNoLimit(t *testing.T) {
	var l Limiter
	l.Observe(named(start, 1e300))
	require.Equal(t, unlimited, l.Available(start))
	require.Zero(t, l.Wait(start, 1000))
}

func TestLimitEndsWithAnAnswerThatNamesNone(t *testing.T) {
	ended := silent(at(1), at(2))
	for name, c := range map[string]struct {
		change func(*Observation)
		ends   bool
	}{
		"an answer to a later call":     {func(*Observation) {}, true},
		"to an earlier call":            {func(o *Observation) { o.SentAt = at(-1) }, false},
		"of a refusal":                  {func(o *Observation) { o.Refused = true }, false},
		"to another call":               {func(o *Observation) { o.Mismatched = true }, false},
		"that can't be read":            {func(o *Observation) { o.Malformed = []MalformedHeader{{}} }, false},
		"a report, where none names":    {func(o *Observation) { o.Route = RouteReport }, false},
		"another kind of call's":        {func(o *Observation) { o.Route = RouteCall }, false},
		"asked when the word was heard": {func(o *Observation) { o.SentAt = start }, true},
	} {
		var l Limiter
		l.Observe(named(start, 1))
		o := ended
		c.change(&o)
		require.Equal(t, c.ends, l.Observe(o), name)
		require.Equal(t, !c.ends, l.Rate().Limited, name)
	}
}

func TestReportEndsALimitThatReportsName(t *testing.T) {
	var l Limiter
	byReport := named(start, 1)
	byReport.Route = RouteReport
	l.Observe(byReport)
	o := silent(at(1), at(1))
	o.Route = RouteReport
	require.True(t, l.Observe(o))
}

func TestLaterWordWins(t *testing.T) {
	var l Limiter
	l.Observe(named(at(2), 5))
	require.False(t, l.Observe(named(at(1), 1)))
	require.Equal(t, 5.0, l.Rate().PerSecond)
}

func TestPermitOfAnEarlierRateIsNotGivenBack(t *testing.T) {
	var l Limiter
	permit := l.Take(start)
	l.Observe(named(start, 1))
	next := l.next
	l.Refund(permit)
	require.Equal(t, next, l.next)

	l.Take(at(2))
	permit = l.Take(at(4))
	before := l.next
	l.Refund(permit)
	require.Equal(t, before.Add(-l.interval()), l.next)
}

func TestSharedRate(t *testing.T) {
	for _, senders := range []int{2, 7, 105} {
		var all []time.Time
		for i := range senders {
			var l Limiter
			l.SetSenders(start, senders)
			heard := start.Add(time.Duration(i) * 10 * time.Millisecond)
			l.Observe(named(heard, 20))
			all = append(all, sendAll(&l, heard, time.Minute, 20*time.Millisecond)...)
		}
		require.GreaterOrEqual(t, float64(len(all)), 0.85*20*60, "%d senders", senders)
		require.LessOrEqual(t, float64(len(all)), 20.0*60+float64(senders), "%d senders", senders)
	}
}

// Whatever a server names, and however offers and sends fall, no window of some seconds has more sends than the highest rate of
// the time allows.
func TestNoWindowExceedsWhatWasNamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l Limiter
		highest := rapid.Float64Range(0.2, 40).Draw(t, "highest")
		now := start
		l.Observe(named(now, highest))
		var sent []time.Time
		var pending []Permit
		most := 0
		for range 400 {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "pass")))
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0:
				l.Observe(named(now, rapid.Float64Range(0, highest).Draw(t, "rate")))
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
			most = max(most, len(pending))
		}
		window := 4 * time.Second
		allowed := highest*(window+catchUp).Seconds() + 1 + float64(most)
		if got := MaxInWindow(sent, window); float64(got) > allowed {
			t.Fatalf("%d sends in %s at %g a second, %d permits held at most", got, window, highest, most)
		}
	})
}

// refused is an answer that asks to keep away.
func refused(heard time.Time, backoff time.Duration) Observation {
	return Observation{
		Advice: Advice{Backoff: backoff}, Route: RouteRun, Refused: true,
		SentAt: heard.Add(-time.Millisecond), ReceivedAt: heard,
	}
}

func TestNothingIsSentUntilTheTimeIsOver(t *testing.T) {
	var l Limiter
	require.True(t, l.Observe(refused(start, 3*time.Second)))
	require.Equal(t, ReasonBackoff, l.Blocked(at(2.9)))
	require.Zero(t, l.Available(at(2.9)))
	require.InDelta(t, 100*time.Millisecond, l.Wait(at(2.9), 1), float64(time.Millisecond))
	require.Equal(t, 1, l.Available(at(3)))
}

// Calls that were under way are answered after the first refusal; a shorter time in one of them must not end the longer one.
func TestShorterTimeEndsNothing(t *testing.T) {
	var l Limiter
	l.Observe(refused(start, 3*time.Second))
	require.False(t, l.Observe(refused(at(0.1), time.Second)))
	require.Zero(t, l.Available(at(2)))
	require.False(t, l.Observe(silent(at(-1), at(0.2))), "an answer to a call from before shows nothing")
	require.Zero(t, l.Available(at(2)))
}

// All that waits must not come at once when the time is over, to be turned away once more.
func TestOneTrialFollowsATimeToKeepAway(t *testing.T) {
	var l Limiter
	l.Observe(refused(start, time.Second))
	l.Take(at(1))
	require.Equal(t, ReasonTrial, l.Blocked(at(1)))
	require.Equal(t, 1, l.Available(at(2)), "a trial that is never answered is followed by another")
	l.Take(at(2))
	require.Zero(t, l.Available(at(2.5)))
	l.Observe(silent(at(2), at(2.6)))
	require.Equal(t, unlimited, l.Available(at(2.6)))
}

func TestTrialThatIsTurnedAwayBeginsAnew(t *testing.T) {
	var l Limiter
	l.Observe(refused(start, time.Second))
	l.Take(at(1))
	l.Observe(refused(at(1.1), 2*time.Second))
	require.Zero(t, l.Available(at(3)))
	require.Equal(t, 1, l.Available(at(3.1)))
}

func TestTrialThatIsNotSentIsGivenBack(t *testing.T) {
	var l Limiter
	l.Observe(refused(start, time.Second))
	permit := l.Take(at(1))
	require.Zero(t, l.Available(at(1)))
	l.Refund(permit)
	require.Equal(t, 1, l.Available(at(1)))
}

// A process that starts doesn't know what its predecessor was asked, and sends no more than the rule allows until it does.
func TestNewSenderTriesTheServerFirst(t *testing.T) {
	l := NewLimiter()
	for range firstTrials {
		l.Take(start)
	}
	require.Zero(t, l.Available(at(0.5)))
	l.Observe(refused(at(0.5), 2*time.Second))
	require.Zero(t, l.Available(at(2.4)))

	l = NewLimiter()
	l.Take(start)
	l.Observe(silent(start, at(0.1)))
	require.Equal(t, unlimited, l.Available(at(0.1)))
}

// Whatever a server answers and however sends and answers fall, nothing leaves within a time that was asked for.
func TestNothingLeavesWithinATimeToKeepAway(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimiter()
		now := start
		var until time.Time
		var open []time.Time // calls that aren't answered, by when they were sent
		for range 300 {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "pass")))
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				if l.Available(now) > 0 {
					if now.Before(until) {
						t.Fatalf("a send %s before the end", until.Sub(now))
					}
					l.Take(now)
					l.RecordSend(now)
					open = append(open, now)
				}
			case 3:
				if len(open) > 0 {
					l.Observe(silent(open[0], now))
					open = open[1:]
				}
			case 4:
				if len(open) > 0 {
					backoff := time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond
					o := refused(now, backoff)
					o.SentAt = open[0]
					l.Observe(o)
					open = open[1:]
					if end := now.Add(backoff); end.After(until) {
						until = end
					}
				}
			default:
				l.Observe(named(now, rapid.Float64Range(1, 20).Draw(t, "rate")))
			}
		}
	})
}

func TestMostWithinCountsAnyWindow(t *testing.T) {
	times := []time.Time{at(0), at(1), at(3.9), at(4), at(4.5)}
	require.Equal(t, 4, MaxInWindow(times, 4*time.Second))
	require.Equal(t, 0, MaxInWindow(nil, time.Second))
}
