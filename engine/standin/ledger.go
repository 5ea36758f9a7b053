package standin

import (
	"maps"
	"sync"

	"github.com/carawaypitch/carawaypitch/engine"
)

// Ledger counts what started and what overlapped, over all stand-ins that
// share it.
type Ledger struct {
	max       int
	mu        sync.Mutex
	starts    map[engine.AttemptID]int
	running   map[string]int
	overlaps  uint64
	overlap   []string
	untracked uint64
}

// maxOverlapNames bounds the overlapped requests that are named.
const maxOverlapNames = 16

// NewLedger makes a ledger of at most limit identities; more are counted as
// untracked.
func NewLedger(limit int) *Ledger {
	return &Ledger{
		max:     limit,
		starts:  make(map[engine.AttemptID]int),
		running: make(map[string]int),
	}
}

// begin notes that an attempt starts, and gives how often it has started.
func (l *Ledger) begin(id engine.AttemptID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if id == "" {
		return 0
	}
	request := id.Request()
	l.running[request]++
	if l.running[request] > 1 {
		l.overlaps++
		if len(l.overlap) < maxOverlapNames {
			l.overlap = append(l.overlap, request)
		}
	}
	if _, known := l.starts[id]; !known && len(l.starts) >= l.max {
		l.untracked++
		return 1
	}
	l.starts[id]++
	return l.starts[id]
}

// end notes that an attempt doesn't run any more.
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

// Starts gives how often each attempt has started.
func (l *Ledger) Starts() map[engine.AttemptID]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.starts)
}

// started gives how often an attempt has started.
func (l *Ledger) started(id engine.AttemptID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts[id]
}

// Overlaps counts the starts of a logical request, the identity up to its last
// dot, while it was running already; names holds the first of them.
func (l *Ledger) Overlaps() (count uint64, names []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.overlaps, append([]string(nil), l.overlap...)
}

// Running counts the logical requests that run now.
func (l *Ledger) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.running)
}

// Untracked counts the starts that found no room in the ledger.
func (l *Ledger) Untracked() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.untracked
}
