package entry

import (
	"bytes"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// A baseline would be measured with the wrong parameter if the scheduler used its default instead of the value in
// Options.
func TestOptionsReachTheScheduler(t *testing.T) {
	e := new(Entry)
	options := e.schedulerOptions(Options{Policy: sched.PolicyLeastLoad, MaxOutstanding: 4, Seed: 7})
	require.Equal(t, sched.PolicyLeastLoad, options.Policy)
	require.Equal(t, 4, options.MaxOutstanding)
	require.Equal(t, uint64(7), options.Seed)
}

// Guards against a placement setting that has no effect.
func TestPlacementReachesTheScheduler(t *testing.T) {
	e := new(Entry)
	require.False(t, e.schedulerOptions(Options{}).ByLength)
	e.settings.Placement.ByLength = true
	require.True(t, e.schedulerOptions(Options{}).ByLength)
}

// Guards against placement fields in the log lines of an entry that doesn't place by length, and against missing ones with it.
func TestPlacementIsLogged(t *testing.T) {
	var fields log.Fields
	logger := &log.Logger{Level: log.InfoLevel, Handler: log.HandlerFunc(func(e *log.Entry) error {
		fields = e.Fields
		return nil
	})}
	withTrace(logger.WithField("request", "r"), sched.Trace{}, false).Info("request_answered")
	require.NotContains(t, fields, "placement")
	require.NotContains(t, fields, "run_slack_ms")
	withTrace(logger.WithField("request", "r"), sched.Trace{
		Placement: "fits", ExpectedTokens: 100, UpperTokens: 200, ExpectedRunTime: time.Second, DeadlineSlack: -time.Millisecond,
	}, false).Info("request_answered")
	require.Subset(t, fields, log.Fields{
		"placement": "fits", "expected": uint32(100), "upper": uint32(200), "run_ms": int64(1000), "run_slack_ms": int64(-1),
	})
}

// Guards against counters of placements that appear only with their first event, or without the setting.
func TestPlacementCounters(t *testing.T) {
	m := newMeter()
	classes := map[string]*wire.Class{"summary": {Name: "summary", Tier: 2}}
	m.declareClasses(classes)
	var text bytes.Buffer
	m.set.WritePrometheus(&text)
	require.NotContains(t, text.String(), metricPlacements)
	m.declarePlacements(classes)
	m.count(sched.Count{Counter: sched.CutAtDeadline, Tier: 2, Class: "summary", Label: "slow", Add: 1})
	m.set.WritePrometheus(&text)
	require.Contains(t, text.String(), `carawaypitch_placements_total{reason="fits",tier="2",class="summary"} 0`)
	require.Contains(t, text.String(), `carawaypitch_placements_total{reason="only_fast_servers",tier="2",class="summary"} 0`)
	require.Contains(t, text.String(), `carawaypitch_cut_at_deadline_total{speed="slow",tier="2",class="summary"} 1`)
}
