package entry

import (
	"slices"
	"sync"
	"time"
)

const (
	// timeoutWindowSize is the number of recent tries from which the usual timeouts are learned, for each class, and
	// for each class and organisation.
	timeoutWindowSize = 256
	// commonTimeoutCount is how many of them must have nearly the same timeout for it to count as an initial one. The
	// remaining times of callers that retry differ by how long they were away.
	commonTimeoutCount = 8
	// timeoutToleranceDivisor defines how far two timeouts may differ to count as equal: by 1/200 of their value.
	timeoutToleranceDivisor = 200
	// maxTimeoutKeys bounds the tracked combinations of class and organisation.
	maxTimeoutKeys = 4096
)

// timeoutTracker learns the initial timeouts of callers and estimates how much time a caller had used before this try:
// a caller that was refused retries with its remaining time. The estimate uses all callers of a class; organisations
// that set shorter timeouts than others are recognised by their own tries.
//
// The objective of a request counts from its caller's first try. If requests were served in order of arrival, retries
// whose objective has passed would take the slots of requests that could still be served in time; these would then be
// refused after their objective and retry in turn. Under overload, about as many answers as there are requests refused
// at their objective would count as in time at this entry but be late for their callers.
type timeoutTracker struct {
	mu      sync.Mutex
	windows map[timeoutKey]*timeoutWindow
}

type timeoutKey struct{ class, organisation string } // organisation is empty for all of a class

// timeoutWindow holds the timeouts of the most recent tries; the oldest is overwritten first.
type timeoutWindow struct {
	recent []time.Duration
	next   int
}

func newTimeoutTracker() *timeoutTracker {
	return &timeoutTracker{windows: make(map[timeoutKey]*timeoutWindow)}
}

// elapsedBefore records a try with a timeout, and returns an estimate of the time that the caller had used before it.
// It returns 0 if timeout is 0, which means unknown.
func (t *timeoutTracker) elapsedBefore(class, organisation string, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	all, own := t.record(timeoutKey{class, ""}, timeout), t.record(timeoutKey{class, organisation}, timeout)
	if own.isCommon(timeout) {
		return 0
	}
	return all.elapsedBefore(timeout)
}

// record adds a try and returns the window of the key.
func (t *timeoutTracker) record(key timeoutKey, timeout time.Duration) *timeoutWindow {
	window := t.windows[key]
	if window == nil {
		if len(t.windows) >= maxTimeoutKeys {
			clear(t.windows)
		}
		window = new(timeoutWindow)
		t.windows[key] = window
	}
	if len(window.recent) < timeoutWindowSize {
		window.recent = append(window.recent, timeout)
		return window
	}
	window.recent[window.next] = timeout
	window.next = (window.next + 1) % timeoutWindowSize
	return window
}

// elapsedBefore returns the difference to the next longer common timeout, or 0 if the timeout itself is common or there
// is none.
func (w *timeoutWindow) elapsedBefore(timeout time.Duration) time.Duration {
	if w.isCommon(timeout) {
		return 0
	}
	sorted := slices.Clone(w.recent)
	slices.Sort(sorted)
	for i, other := range sorted {
		lastNeeded := i + commonTimeoutCount - 1
		if other > timeout && lastNeeded < len(sorted) && sorted[lastNeeded]-other <= other/timeoutToleranceDivisor {
			return other - timeout
		}
	}
	return 0
}

func (w *timeoutWindow) isCommon(timeout time.Duration) bool {
	n := 0
	for _, other := range w.recent {
		if (other - timeout).Abs() <= timeout/timeoutToleranceDivisor {
			n++
		}
	}
	return n >= commonTimeoutCount
}
