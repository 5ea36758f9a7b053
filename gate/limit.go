package gate

// Constants of the concurrency limit.
const (
	paceTolerance  = 3.0 // highest acceptable ratio of the pace to the best one
	growThreshold  = 0.8 // share of the tolerance below which the limit grows
	shrinkFactor   = 0.9
	bestSlowerGain = 0.002 // weight of one window in the best pace while the pace is slower
	bestFasterGain = 0.3
)

// concurrencyLimiter learns how many attempts the server runs well at a time: each further one slows the others
// down, and beyond some number they only wait for each other. The limit is bounded by the announced slots.
type concurrencyLimiter struct {
	floor     float64 // share of the announced slots that is always used
	announced int
	limit     float64
	bestPace  float64 // best time between tokens, or of a service call, in seconds
}

// announce sets the announced slots. A limit that was not lowered yet follows them.
func (l *concurrencyLimiter) announce(slots int) {
	slots = max(slots, 1)
	if l.limit == 0 || l.limit >= float64(l.announced) {
		l.limit = float64(slots)
	}
	l.announced = slots
	l.limit = min(l.limit, float64(slots))
}

func (l *concurrencyLimiter) slots() int { return max(int(l.limit), 1) }

// observe takes the mean pace of a window, in seconds, at the mean number of runs.
func (l *concurrencyLimiter) observe(pace, batch float64) {
	if pace <= 0 || l.announced == 0 {
		return
	}
	l.updateBest(pace)
	floor := l.minimum()
	ratio := pace / l.bestPace
	switch {
	case ratio > paceTolerance && batch > 1:
		l.limit = max(min(l.limit, batch+1)*shrinkFactor, floor)
	case ratio < growThreshold*paceTolerance && batch >= l.limit-1:
		l.limit = min(l.limit+1, float64(l.announced))
	}
}

func (l *concurrencyLimiter) updateBest(pace float64) {
	switch {
	case l.bestPace == 0:
		l.bestPace = pace
	case pace < l.bestPace:
		l.bestPace += bestFasterGain * (pace - l.bestPace)
	default:
		l.bestPace += bestSlowerGain * (pace - l.bestPace)
	}
}

// restart resets the limit to its minimum after the server was too slow.
func (l *concurrencyLimiter) restart() {
	l.limit = l.minimum()
}

// minimum returns the lowest limit.
func (l *concurrencyLimiter) minimum() float64 { return max(float64(l.announced)*l.floor, 1) }
