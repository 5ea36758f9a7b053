package gate

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// requestHistory remembers, by digest, the keyed requests that ran here and whose records are forgotten.
//
// Another entry may take a keyed operation over hours later and ask this agent what became of it. Without the
// requestHistory the gate would answer that the attempt never started, since it has no record any more; the work would run
// a second time.
type requestHistory struct {
	capacity        int
	lifetime        time.Duration
	recent          map[uint64]struct{}
	previous        map[uint64]struct{}
	rotatedAt       time.Time // when young was begun
	incompleteUntil time.Time // until then requests may be asked about that were dropped for want of capacity
}

func newRequestHistory(capacity int, life time.Duration) requestHistory {
	return requestHistory{capacity: capacity, lifetime: life, recent: map[uint64]struct{}{}}
}

func (m *requestHistory) start(now time.Time) { m.rotatedAt = now }

func (m *requestHistory) add(request string, now time.Time) {
	if len(m.recent) >= m.capacity {
		if len(m.previous) > 0 {
			m.incompleteUntil = now.Add(m.lifetime)
		}
		m.rotate(now)
	}
	m.recent[xxhash.Sum64String(request)] = struct{}{}
}

// mayContain tells whether the request mayContain have run here: it is remembered, or has the digest of one that is, or could be
// one of those dropped early.
func (m *requestHistory) mayContain(request string, now time.Time) bool {
	if now.Before(m.incompleteUntil) {
		return true
	}
	digest := xxhash.Sum64String(request)
	if _, found := m.recent[digest]; found {
		return true
	}
	_, found := m.previous[digest]
	return found
}

// rotateIfDue begins a new generation once the young one is a whole life old, so that each request is remembered for one
// life at least and two at most.
func (m *requestHistory) rotateIfDue(now time.Time) {
	if now.Sub(m.rotatedAt) >= m.lifetime {
		m.rotate(now)
	}
}

func (m *requestHistory) rotate(now time.Time) {
	m.previous = m.recent
	m.recent = map[uint64]struct{}{}
	m.rotatedAt = now
}
