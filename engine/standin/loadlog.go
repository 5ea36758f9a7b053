package standin

import (
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
)

// loadSamplesPerLag bounds how finely the past load is kept.
const loadSamplesPerLag = 32

// loadLog keeps the load of the recent past, since reports are late.
type loadLog struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load engine.Load
}

// note keeps a load that holds from now on.
func (l *loadLog) note(load engine.Load) {
	now := time.Now()
	l.forget(now)
	if last := len(l.samples) - 1; last >= 0 && now.Sub(l.samples[last].at) < l.lag/loadSamplesPerLag {
		l.samples[last].load = load
		return
	}
	l.samples = append(l.samples, loadSample{
		at:   now,
		load: load,
	})
}

// forget drops what no report can need any more.
func (l *loadLog) forget(now time.Time) {
	horizon := now.Add(-l.lag)
	old := 0
	for old+1 < len(l.samples) && !l.samples[old+1].at.After(horizon) {
		old++
	}
	l.samples = append(l.samples[:0], l.samples[old:]...)
}

// report gives the load of one lag ago.
func (l *loadLog) report() engine.Load {
	l.forget(time.Now())
	load := l.samples[0].load
	load.AgeMs = l.lag.Milliseconds()
	return load
}
