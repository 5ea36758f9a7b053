package standin

import (
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
)

// loadSamplesPerLag bounds the resolution of the stored history.
const loadSamplesPerLag = 32

// loadHistory keeps the recent load, because reports are delayed by lag.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample
}

type loadSample struct {
	at   time.Time
	load engine.Load
}

// record stores the load as of the present time.
func (l *loadHistory) record(load engine.Load) {
	now := time.Now()
	l.prune(now)
	if last := len(l.samples) - 1; last >= 0 && now.Sub(l.samples[last].at) < l.lag/loadSamplesPerLag {
		l.samples[last].load = load
		return
	}
	l.samples = append(l.samples, loadSample{
		at:   now,
		load: load,
	})
}

// prune removes the samples that no later report can need.
func (l *loadHistory) prune(now time.Time) {
	horizon := now.Add(-l.lag)
	old := 0
	for old+1 < len(l.samples) && !l.samples[old+1].at.After(horizon) {
		old++
	}
	l.samples = append(l.samples[:0], l.samples[old:]...)
}

// report returns the load of one lag ago.
func (l *loadHistory) report() engine.Load {
	l.prune(time.Now())
	load := l.samples[0].load
	load.AgeMs = l.lag.Milliseconds()
	return load
}
