package simtest

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Environment variables: the number of schedules, and the seed of the first. CARAWAYPITCH_ROLLOUT_SCHEDULES=5000 plays the
// whole number.
const (
	schedulesVariable = "CARAWAYPITCH_ROLLOUT_SCHEDULES"
	seedVariable      = "CARAWAYPITCH_ROLLOUT_SEED"
)

const (
	ciSchedules       = 90
	ciUnlikeSchedules = 30
	workers           = 3
)

// outcome is what a schedule gave.
type outcome struct {
	schedule *schedule
	verdict  wire.RolloutState
	reason   string
	took     time.Duration
	inTime   bool
	ledger   *ledger
	problems []string
}

func playOne(seed uint64, unlike bool) outcome {
	w := play(draw(seed, unlike))
	o := outcome{schedule: w.schedule, verdict: w.verdict(), reason: w.record().GetReason(), ledger: w.ledger, problems: w.problems}
	if !w.verdictAt.IsZero() {
		o.took = w.verdictAt.Sub(w.orderedAt)
		limit := w.schedule.duration
		if w.endedUnstable {
			limit += maxStretch
		}
		o.inTime = o.took <= limit
	}
	w.ledger.world = nil // frees the schedulers
	return o
}

func number(t *testing.T, variable string, otherwise uint64) uint64 {
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	n, err := strconv.ParseUint(text, 10, 64)
	require.NoError(t, err, variable)
	return n
}

// Guards against roll-outs that break the rules of docs/uneven-load.md, Part 4a: a bad version with more than its share of the
// requests, or with any after it was found bad; wrong verdicts in either direction; verdicts that change; and repeated orders
// that start a roll-out again. Entries, control instances and links between them fail meanwhile.
func TestRolloutsOverSchedules(t *testing.T) {
	playAll(t, false, number(t, schedulesVariable, ciSchedules))
}

// As TestRolloutsOverSchedules, on servers of 0.6 and 1.7 times the usual speed.
func TestRolloutsOnUnlikeServers(t *testing.T) {
	playAll(t, true, number(t, schedulesVariable, ciUnlikeSchedules))
}

func playAll(t *testing.T, unlike bool, count uint64) {
	first := number(t, seedVariable, 0)
	outcomes := make([]outcome, count)
	var group sync.WaitGroup
	limit := make(chan struct{}, workers)
	for i := range outcomes {
		limit <- struct{}{}
		group.Go(func() {
			defer func() { <-limit }()
			outcomes[i] = playOne(first+uint64(i), unlike)
		})
	}
	group.Wait()
	byWay := map[way]*totals{}
	for _, o := range outcomes {
		if byWay[o.schedule.way] == nil {
			byWay[o.schedule.way] = &totals{}
		}
		byWay[o.schedule.way].add(t, o)
	}
	t.Logf("\n%s", table(byWay))
	bad := totals{}
	for _, way := range ways {
		if way != good && byWay[way] != nil {
			bad.schedules += byWay[way].schedules
			bad.wrong += byWay[way].wrong
		}
	}
	// Of few schedules one may be wrong.
	assert.LessOrEqual(t, bad.wrong, max(bad.schedules/1000, 1), "bad versions that were not reverted")
	if g := byWay[good]; g != nil {
		assert.LessOrEqual(t, g.wrong, max(g.schedules/100, 1), "good versions that were not completed in time")
	}
}

// totals are sums over the schedules of one way.
type totals struct {
	schedules, wrong, uninformed, late, over int
	sent, exposed, bad                       int
}

// add checks the rules that hold in each schedule, and sums the others.
func (s *totals) add(t *testing.T, o outcome) {
	s.schedules++
	s.sent += o.ledger.sent
	s.exposed += o.ledger.exposed
	s.bad += o.ledger.bad
	seed := fmt.Sprintf("seed %d, %s: %s after %s of %s, %s", o.schedule.seed, o.schedule.way, o.verdict, o.took, o.schedule.duration, o.reason)
	assert.Empty(t, o.problems, seed)
	want := wire.RolloutState_ROLLOUT_STATE_REVERTED
	if o.schedule.way == good {
		want = wire.RolloutState_ROLLOUT_STATE_COMPLETED
	}
	if o.verdict != want || o.schedule.way == good && !o.inTime {
		s.wrong++
		if o.ledger.bad < manyBad {
			s.uninformed++
		}
		t.Logf("wrong: %s; %d bad answers, faults %v", seed, o.ledger.bad, o.schedule.faults)
	}
	if o.schedule.way == good {
		return
	}
	// A bad version that was completed gets everything until its time limit; that counts as a wrong verdict.
	if o.verdict == want && !assert.LessOrEqual(t, o.ledger.overExposure(), 0.0, "%s: over the exposure bound", seed) {
		s.over++
	}
	if !assert.Zero(t, o.ledger.lateSends, "%s: sends after the rollback bound, latest by %s, faults %v", seed, o.ledger.lateBy, o.schedule.faults) {
		s.late++
	}
}

func table(byWay map[way]*totals) string {
	var text strings.Builder
	w := tabwriter.NewWriter(&text, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "version\tschedules\twrong\twith under 50 bad answers\tover the exposure\tlate sends\trequests\tto the new version\tbad answers")
	for _, way := range ways {
		if s := byWay[way]; s != nil {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", way, s.schedules, s.wrong, s.uninformed, s.over, s.late, s.sent, s.exposed, s.bad)
		}
	}
	_ = w.Flush()
	return text.String()
}
