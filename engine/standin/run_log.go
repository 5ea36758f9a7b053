package standin

import (
	"slices"
	"sync"
	"time"
)

// RunLog records when runs reach the stand-ins that share it, and when those end that a
// [VersionFault] spoiled. The methods of a nil RunLog record nothing.
type RunLog struct {
	mu    sync.Mutex
	runs  []time.Time
	bad   []time.Time
	limit int
}

// NewRunLog returns a log that records the first limit runs.
func NewRunLog(limit int) *RunLog { return &RunLog{limit: limit} }

// Runs returns the times at which runs arrived.
func (l *RunLog) Runs() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.runs)
}

// Bad returns the times at which spoiled runs ended: failures, and slow runs, whether answered in
// full or cut off.
func (l *RunLog) Bad() []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.bad)
}

func (l *RunLog) began() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) < l.limit {
		l.runs = append(l.runs, time.Now())
	}
}

func (l *RunLog) spoiled() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.bad) < l.limit {
		l.bad = append(l.bad, time.Now())
	}
}
