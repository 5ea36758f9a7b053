package deploy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/experiment/plan"
)

// askedOf makes what a server of some fault got, by the seconds of its requests.
func askedOf(kind plan.FaultKind, factor float64, seconds ...float64) *asking {
	began := time.Unix(1000, 0)
	a := &asking{fault: plan.Fault{Kind: kind, Factor: factor}, server: new(serverInstance), began: began}
	for _, at := range seconds {
		a.times = append(a.times, began.Add(time.Duration(at*float64(time.Second))))
	}
	return a
}

func TestAskedMeasuresAgainstTheServersWord(t *testing.T) {
	var burst []float64
	for i := range 12 {
		burst = append(burst, 5+float64(i)/10)
	}
	require.NotEmpty(t, askedOf(plan.RateLimit, 1, append([]float64{0}, burst...)...).violation())
	require.Empty(t, askedOf(plan.RateLimit, 1, append([]float64{0}, burst[:11]...)...).violation())
	require.Empty(t, askedOf(plan.RateLimit, 1, 0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1, 1.1, 1.2).violation(), "before it is held to it")
	require.NotEmpty(t, askedOf(plan.Backoff, 3, 0, 1, 2, 2.5).violation())
	require.Empty(t, askedOf(plan.Backoff, 3, 0, 0.1, 0.2, 0.3, 0.4, 3.1, 3.2).violation())
	require.NotEmpty(t, askedOf(plan.Draining, 0, 0, 1, 2.1).violation())
	require.Empty(t, askedOf(plan.Draining, 0, 0, 1, 1.9).violation())

	report := askedOf(plan.RateLimit, 2, 0, 1, 2, 3, 4).report(time.Unix(1005, 0))
	require.Equal(t, 5, report.Sent)
	require.Equal(t, 10.0, report.Allowed)
	require.Equal(t, 0.5, report.Used)
	require.Equal(t, 4, report.Most)
}
