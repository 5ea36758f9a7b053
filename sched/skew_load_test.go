package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// skewedLoad is a load of 60% of the slots. During its burst it is a tenth higher, and the first entry gets nine of ten callers.
func skewedLoad(seed uint64, entries int, skew float64, forecast bool) load {
	const slots, occupancy = 5, 0.36
	gates := 2 * entries
	l := load{
		seed: seed, classes: columnK(0), entries: entries, gates: gates, slots: slots, organisations: 8,
		warm: 8 * time.Second, burst: 6 * time.Second, factor: 1.1, forecast: forecast, skew: skew, links: 24,
	}
	for i, part := range []float64{0.44, 0.3, 0.26} {
		l.classes[i].perSecond = 0.6 * part * float64(gates*slots) / occupancy
	}
	return l
}

// Guards against an entry that most new connections reach and that refuses or delays requests by its equal share of the
// fleet, while servers have room that other entries don't use.
func TestEntryThatMostConnectionsReachServesThem(t *testing.T) {
	for _, entries := range []int{4, 24, 100} {
		for _, forecast := range []bool{false, true} {
			if entries == 100 && forecast {
				continue // the forecast of one entry doesn't depend on how many others there are
			}
			t.Run(fmt.Sprint(entries, " entries, forecast ", forecast), func(t *testing.T) {
				even := runLoad(t, skewedLoad(1, entries, 0, forecast))
				skewed := runLoad(t, skewedLoad(1, entries, 0.9, forecast))
				t.Log("even:", even.String())
				t.Log("skewed:", skewed.String())
				require.GreaterOrEqual(t, skewed.servedAtFirstTry(), 0.9*even.servedAtFirstTry(), "even %.3f", even.servedAtFirstTry())
			})
		}
	}
}
