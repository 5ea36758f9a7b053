package audit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/retry"
	"github.com/carawaypitch/carawaypitch/retry/audit"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	limits = retry.Limits{Ratio: 0.2, Window: 10 * time.Second, Allowance: 2}
)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// Guards against an audit that passes too many repeats: it must find the one window that holds them, wherever it begins, and
// count the requests of none but the three windows of the rule.
func TestWorstWindow(t *testing.T) {
	var r audit.Record
	_, found := r.Worst(limits)
	require.False(t, found)
	for i := range 10 {
		r.Sent(at(float64(i)))
		r.Arrived(at(float64(i)), "first")
	}
	require.Equal(t, 9, r.Repeats(), "all but the first of one request")
	worst, found := r.Worst(limits)
	require.True(t, found)
	require.Equal(t, audit.Window{From: at(1), Requests: 9, Repeats: 9, Excess: 9 - 0.2*9 - 2}, worst)

	var late audit.Record
	for range 10 {
		late.Sent(at(0))
	}
	for i := range 4 {
		late.Repeated(at(14.5 - float64(i)/10))
	}
	worst, _ = late.Worst(limits)
	require.Equal(t, audit.Window{From: at(14.2), Requests: 0, Repeats: 4, Excess: 2}, worst, "the requests are too old")
}

// Guards against an audit that calls a refused repeat bearable although some window that holds it is full.
func TestBears(t *testing.T) {
	var r audit.Record
	require.True(t, r.Bears(limits, at(0)))
	r.Repeated(at(0))
	require.True(t, r.Bears(limits, at(9.9)))
	r.Repeated(at(5))
	require.False(t, r.Bears(limits, at(9.9)))
	require.True(t, r.Bears(limits, at(10.1)), "the first has left")
	require.Equal(t, 2, r.Repeats())
}
