package gate

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// requestHistory stores digests of the keyed requests that ran here and whose records have expired.
//
// Another entry may take over a keyed operation hours later and ask this agent for its outcome. Without the history
// the gate would answer that the attempt never started, since it has no record any more, and the work would run a
// second time.
type requestHistory struct {
	capacity        int
	lifetime        time.Duration
	recent          map[uint64]struct{}
	previous        map[uint64]struct{}
	rotatedAt       time.Time // when the recent generation was started
	incompleteUntil time.Time // until then, requests that were dropped for want of capacity may be asked about
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

// mayContain reports whether the request may have run here: its digest is stored, or it could be one of those
// dropped early.
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

// rotateIfDue starts a new generation once the recent one is a whole lifetime old, so that each request is stored
// for at least one lifetime and at most two.
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
