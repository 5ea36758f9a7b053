package quota_test

import (
	"fmt"
	"math"
	"time"
)

// simOver is the window that went furthest beyond what is tolerated.
type simOver struct {
	from       time.Duration
	used, most float64
}

func (o simOver) String() string {
	return fmt.Sprintf("%.0f sent and run in the window from %s, at most %.0f allowed", o.used, o.from, o.most)
}

// worst looks at every window that begins with a request.
func (s *sim) worst() (worst simOver, over bool) {
	for _, first := range s.runs {
		used := 0.0
		for _, r := range s.runs {
			if r.sent >= first.sent && r.ran <= first.sent+simWindow {
				used += r.units
			}
		}
		most := s.allowed(first.sent)
		if used > most && (!over || used-most > worst.used-worst.most) {
			worst, over = simOver{first.sent, used, most}, true
		}
	}
	return worst, over
}

// lowerBinds is how long after a change a lower cap binds: a window, the time in which entries learn of it, and the longest cut.
const lowerBinds = simWindow + 9*time.Second

// allowed is what may be sent and run in the window from a time on, by the highest cap that may be in force in it.
func (s *sim) allowed(from time.Duration) float64 {
	most := 0.0
	for i, c := range s.caps {
		replaced := time.Duration(math.MaxInt64)
		if i+1 < len(s.caps) {
			replaced = s.caps[i+1].at + lowerBinds
		}
		if c.at <= from+simWindow && replaced > from {
			most = max(most, (c.rate*simWindow.Seconds()+c.burst)*(1+simOverrun))
		}
	}
	return most
}
