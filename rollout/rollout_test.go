package rollout

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/wire"
)

func testCount(version string, answers, failures uint64) *wire.RolloutCount {
	return &wire.RolloutCount{Version: version, Class: "chat", Answers: answers, Failures: failures, Work: 10 * answers, TimeMs: 100 * answers}
}

func decideAt(ms uint64, servers int, counts ...*wire.RolloutCount) Verdict {
	r := &wire.Rollout{To: "v2", OrderedUnixMs: startMS, DurationMs: 100_000}
	return NewJudge(r).Decide(Observation{Counts: counts, UnixMS: startMS + ms, Servers: servers})
}

// Guards against a verdict that comes too early, too late or not at all, and against one that compares with no failures
// where the service itself has some.
func TestVerdictsByTime(t *testing.T) {
	cases := []struct {
		name     string
		ms       uint64
		servers  int
		counts   []*wire.RolloutCount
		decision Decision
		reason   Reason
	}{
		{"good, before four fifths", 79_999, 1, []*wire.RolloutCount{testCount("v1", 1000, 5), testCount("v2", 100, 0)}, Continue, ""},
		{"good, at four fifths", 80_000, 1, []*wire.RolloutCount{testCount("v1", 1000, 5), testCount("v2", 100, 0)}, Complete, ReasonNothingAgainst},
		{"too few answers at four fifths", 80_000, 1, []*wire.RolloutCount{testCount("v1", 1000, 5), testCount("v2", 59, 0)}, Continue, ""},
		{"too few answers before the end", 96_999, 1, []*wire.RolloutCount{testCount("v1", 1000, 5), testCount("v2", 59, 0)}, Continue, ""},
		{"too few answers at the end, none bad", 97_000, 1, []*wire.RolloutCount{testCount("v1", 1000, 5), testCount("v2", 20, 0)}, Complete, ReasonFewAnswers},
		{"few answers, one bad, the others have none", 97_000, 1, []*wire.RolloutCount{testCount("v1", 1000, 0), testCount("v2", 3, 1)}, Revert, ReasonSuspicion},
		{"few answers, as many bad as elsewhere", 97_000, 1, []*wire.RolloutCount{testCount("v1", 1000, 150), testCount("v2", 20, 3)}, Complete, ReasonFewAnswers},
		{"no answer at all", 97_000, 1, nil, Complete, ReasonFewAnswers},
		{"no server at the end", 97_000, 0, []*wire.RolloutCount{testCount("v1", 1000, 0)}, Revert, ReasonNoServers},
		{"no server at four fifths", 80_000, 0, []*wire.RolloutCount{testCount("v1", 1000, 0), testCount("v2", 100, 0)}, Continue, ""},
		{"after the end", 500_000, 1, []*wire.RolloutCount{testCount("v1", 1000, 0), testCount("v2", 100, 0)}, Complete, ReasonNothingAgainst},
		{"suspicious at four fifths", 80_000, 1, []*wire.RolloutCount{testCount("v1", 1000, 100), testCount("v2", 100, 26)}, Continue, ""},
		{"suspicious at the end", 97_000, 1, []*wire.RolloutCount{testCount("v1", 1000, 100), testCount("v2", 100, 26)}, Revert, ReasonSuspicion},
		{"ten failures of twelve", 1_000, 1, []*wire.RolloutCount{testCount("v1", 200, 0), testCount("v2", 12, 10)}, Revert, ReasonFailures},
		{"as bad as the others", 1_000, 1, []*wire.RolloutCount{testCount("v1", 200, 100), testCount("v2", 20, 11)}, Continue, ""},
		{"others have no answer", 1_000, 1, []*wire.RolloutCount{testCount("v2", 40, 5)}, Continue, ""},
		{"all fail, others have no answer", 1_000, 1, []*wire.RolloutCount{testCount("v2", 40, 40)}, Revert, ReasonFailures},
		{"several other versions", 1_000, 1, []*wire.RolloutCount{testCount("", 500, 0), testCount("v0", 500, 0), testCount("v2", 20, 10)}, Revert, ReasonFailures},
	}
	for _, c := range cases {
		v := decideAt(c.ms, c.servers, c.counts...)
		require.Equal(t, c.decision, v.Decision, "%s: %s", c.name, v)
		require.Equal(t, c.reason, v.Reason, c.name)
	}
}

// Guards against a short roll-out that ends before its time, or after it, because of margins meant for longer ones.
func TestShortestRollout(t *testing.T) {
	r := &wire.Rollout{To: "v2", OrderedUnixMs: startMS, DurationMs: 1_000}
	o := Observation{UnixMS: startMS + 899, Servers: 1}
	require.Equal(t, Continue, NewJudge(r).Decide(o).Decision)
	o.UnixMS++
	require.Equal(t, Complete, NewJudge(r).Decide(o).Decision)
	o.UnixMS = startMS - 5_000 // another machine's clock
	require.Equal(t, Continue, NewJudge(r).Decide(o).Decision)
}

// Guards against evidence that is lost or counted twice when reports come late, twice or out of order, when entries end
// and start again, and when the sums of the log are combined with those of an instance that has heard less.
func TestEvidenceIsNeitherLostNorCountedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		sources := []Source{{"e1", 1}, {"e1", 2}, {"e2", 1}}
		var reports []func(*Ledger)
		truth := make(cells)
		for _, from := range sources {
			own := make(cells)
			for range rapid.IntRange(1, 5).Draw(t, "reports") {
				own.add(cellsOf([]*wire.RolloutCount{
					testCount("v1", random.Uint64N(100), random.Uint64N(10)), testCount("v2", random.Uint64N(10), random.Uint64N(3)),
				}))
				report := &wire.RolloutEvidence{Id: 7, Counts: own.sorted()}
				reports = append(reports, func(l *Ledger) { l.Record(from, report) })
			}
			truth.add(own)
		}
		full, partial := NewLedger(), NewLedger()
		for range 2 {
			random.Shuffle(len(reports), func(i, j int) { reports[i], reports[j] = reports[j], reports[i] })
			for _, report := range reports {
				report(full)
			}
		}
		for _, report := range reports[:len(reports)/2] {
			report(partial)
		}
		requireCounts(t, truth.sorted(), full.Sum(7))
		require.False(t, Exceeds(partial.Sum(7), truth.sorted()))
		requireCounts(t, truth.sorted(), Merge(full.Sum(7), partial.Sum(7)))
		requireCounts(t, truth.sorted(), Merge(partial.Sum(7), full.Sum(7)))
		full.Keep(map[uint64]bool{8: true})
		require.Empty(t, full.Sum(7))
	})
}

func requireCounts(t require.TestingT, want, got []*wire.RolloutCount) {
	require.Len(t, got, len(want))
	for i := range want {
		require.True(t, proto.Equal(want[i], got[i]), "%v, want %v", got[i], want[i])
	}
}

// Guards against a ledger that an entry at fault fills without bound.
func TestLedgerIsBounded(t *testing.T) {
	l := NewLedger()
	var counts []*wire.RolloutCount
	for i := range 3 * MaxCounts {
		counts = append(counts, testCount(string(rune('a'+i)), 1, 0))
	}
	l.Record(Source{"e1", 1}, &wire.RolloutEvidence{Id: 1, Counts: counts})
	require.Len(t, l.Sum(1), MaxCounts)
	l.Record(Source{"e2", 1}, &wire.RolloutEvidence{Id: 2, Counts: []*wire.RolloutCount{
		testCount("v1", 3, 0), testCount(strings.Repeat("v", MaxName+1), 1, 0),
	}})
	require.Len(t, l.Sum(2), 1, "a long name is left out")
}
