package backpressure

import "time"

// MaxInWindow returns the largest number of times that fall into any window of the given length. The times must be in
// ascending order.
func MaxInWindow(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
