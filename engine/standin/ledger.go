package standin

import (
	"maps"
	"sync"

	"github.com/carawaypitch/carawaypitch/engine"
)

// Ledger counts the starts of attempts and the overlapping runs of requests, over all stand-ins
// that share it.
type Ledger struct {
	max        int
	mu         sync.Mutex
	starts     map[engine.AttemptID]int
	running    map[string]int
	overlaps   uint64
	overlapped []string
	untracked  uint64
}

// maxOverlapNames limits the number of overlapping requests that are recorded by name.
const maxOverlapNames = 16

// NewLedger returns a ledger that tracks at most limit attempts; starts of further attempts are
// counted as untracked.
func NewLedger(limit int) *Ledger {
	return &Ledger{
		max:     limit,
		starts:  make(map[engine.AttemptID]int),
		running: make(map[string]int),
	}
}

// begin records the start of an attempt and returns how often it has started.
func (l *Ledger) begin(id engine.AttemptID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id == "" {
		return 0
	}
	l.addRunning(id.Request())
	if _, known := l.starts[id]; !known && len(l.starts) >= l.max {
		l.untracked++
		return 1
	}
	l.starts[id]++
	return l.starts[id]
}

// resume records that a suspended attempt runs again. It is the same run and not counted as a start.
func (l *Ledger) resume(id engine.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id != "" {
		l.addRunning(id.Request())
	}
}

// addRunning counts a running attempt of a request. l.mu must be held.
func (l *Ledger) addRunning(request string) {
	l.running[request]++
	if l.running[request] <= 1 {
		return
	}
	l.overlaps++
	if len(l.overlapped) < maxOverlapNames {
		l.overlapped = append(l.overlapped, request)
	}
}

// end records that an attempt is not running.
func (l *Ledger) end(id engine.AttemptID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id == "" {
		return
	}
	request := id.Request()
	l.running[request]--
	if l.running[request] <= 0 {
		delete(l.running, request)
	}
}

// Starts returns the number of starts of each attempt.
func (l *Ledger) Starts() map[engine.AttemptID]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.starts)
}

// started returns the number of starts of an attempt.
func (l *Ledger) started(id engine.AttemptID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[id]
}

// Overlaps returns the number of attempts that started while another attempt of the same
// logical request (the ID up to its last dot) was running, and the names of the first such
// requests.
func (l *Ledger) Overlaps() (count uint64, names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overlaps, append([]string(nil), l.overlapped...)
}

// Running returns the number of logical requests that are running.
func (l *Ledger) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running)
}

// Untracked returns the number of starts beyond the limit of the ledger.
func (l *Ledger) Untracked() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.untracked
}
