package quota_test

import (
	"fmt"
	"math"
	"time"
)

// simOverrunWindow is the window that exceeds the tolerated use by the largest amount.
type simOverrunWindow struct {
	from          time.Duration
	used, allowed float64
}

func (o simOverrunWindow) String() string {
	return fmt.Sprintf("%.0f units sent and run in the window from %s, at most %.0f allowed", o.used, o.from, o.allowed)
}

// worstOverrun checks every window that begins with a request.
func (s *sim) worstOverrun() (worst simOverrunWindow, over bool) {
	for _, first := range s.runs {
		used := 0.0
		for _, r := range s.runs {
			if r.sent >= first.sent && r.ran <= first.sent+simWindow {
				used += r.units
			}
		}
		allowed := s.allowed(first.sent)
		if used > allowed && (!over || used-allowed > worst.used-worst.allowed) {
			worst, over = simOverrunWindow{first.sent, used, allowed}, true
		}
	}
	return worst, over
}

// lowerCapDelay is the time after which a lowered cap applies in full: a window, the time until entries learn of it,
// and the longest partition.
const lowerCapDelay = simWindow + 9*time.Second

// allowed returns how much may be sent and run in the window from the given time, according to the highest cap that may
// be in force in it.
func (s *sim) allowed(from time.Duration) float64 {
	most := 0.0
	for i, c := range s.caps {
		replaced := time.Duration(math.MaxInt64)
		if i+1 < len(s.caps) {
			replaced = s.caps[i+1].at + lowerCapDelay
		}
		if c.at <= from+simWindow && replaced > from {
			most = max(most, (c.rate*simWindow.Seconds()+c.burst)*(1+simOverrun))
		}
	}
	return most
}
