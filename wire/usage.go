package wire

import "time"

// LeftInWindow is how much of what was used in a window, as told some time ago, is still in it, if that much of it was to
// leave in the first second and the rest leaves evenly after that.
//
// Were all of it to leave evenly from the start, use that has risen a moment ago would count less with each moment though
// none of it has left: an organisation that asks for several times its cap went 2% beyond the tolerated overrun so.
func LeftInWindow(used, leaving float64, age, window time.Duration) float64 {
	leaving = min(leaving, used)
	first := min(age, time.Second)
	gone := leaving * first.Seconds()
	if rest := window - time.Second; rest > 0 {
		gone += (used - leaving) * min(max(age-time.Second, 0).Seconds()/rest.Seconds(), 1)
	}
	return max(used-gone, 0)
}
