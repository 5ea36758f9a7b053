package gate

// Constants of the concurrency limit.
const (
	limitTolerance = 3.0 // the pace may be so many times the best one
	limitGrow      = 0.8 // share of the tolerance below which the limit grows
	limitShrink    = 0.9
	bestDrift      = 0.002 // how fast the best pace forgets, each window
	bestGain       = 0.3
)

// limiter learns how many attempts the server runs well at a time: more of them make each slower, and beyond some
// number all only wait for each other. It is bounded by the announced slots.
type limiter struct {
	floor     float64 // share of the announced slots that are always used
	announced int
	limit     float64
	best      float64 // seconds between tokens, or of a service call, at its best
}

// announce takes the announced slots. A limit that was not learnt yet follows them.
func (l *limiter) announce(slots int) {
	slots = max(slots, 1)
	if l.limit == 0 || l.limit >= float64(l.announced) {
		l.limit = float64(slots)
	}
	l.announced = slots
	l.limit = min(l.limit, float64(slots))
}

func (l *limiter) slots() int { return max(int(l.limit), 1) }

// observe takes the mean pace of a window, in seconds, at the mean number of runs.
func (l *limiter) observe(pace, batch float64) {
	if pace <= 0 || l.announced == 0 {
		return
	}
	l.learnBest(pace)
	floor := l.least()
	slow := pace / l.best
	switch {
	case slow > limitTolerance && batch > 1:
		l.limit = max(min(l.limit, batch+1)*limitShrink, floor)
	case slow < limitGrow*limitTolerance && batch >= l.limit-1:
		l.limit = min(l.limit+1, float64(l.announced))
	}
}

func (l *limiter) learnBest(pace float64) {
	switch {
	case l.best == 0:
		l.best = pace
	case pace < l.best:
		l.best += bestGain * (pace - l.best)
	default:
		l.best += bestDrift * (pace - l.best)
	}
}

// restart begins again with one attempt at a time, after the server was too slow.
func (l *limiter) restart() {
	l.limit = l.least()
}

// least is the limit at its lowest.
func (l *limiter) least() float64 { return max(float64(l.announced)*l.floor, 1) }
