package wire

import "time"

// Left is how much of what an entry told some time ago is still in the window. Where it told when the rest leaves, that
// counts; otherwise the rest leaves evenly.
//
// Even leaving is near enough for a word that is replaced each second. One that is the last of a process that died stands
// for a whole window: after a burst just before a loss of all processes a quarter too little counted, and use went 5% beyond
// the tolerated overrun.
func (u *Usage) Left(age, window time.Duration) float64 {
	if len(u.GetLeavingLater()) == 0 {
		return LeftInWindow(float64(u.GetUsed()), float64(u.GetLeaving()), age, window)
	}
	if age >= window {
		return 0
	}
	left := float64(u.GetUsed()) - float64(u.GetLeaving())*min(age, time.Second).Seconds()
	for i, units := range u.GetLeavingLater() {
		passed := age - time.Duration(i+1)*time.Second
		left -= float64(units) * min(max(passed, 0), time.Second).Seconds()
	}
	return max(left, 0)
}

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
