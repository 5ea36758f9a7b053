package gate

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// memory remembers, by digest, the keyed requests that ran here and whose records are forgotten.
//
// Another entry may take a keyed operation over hours later and ask this agent what became of it. Without the
// memory the gate would answer that the attempt never started, since it has no record any more; the work would run
// a second time.
type memory struct {
	capacity  int
	life      time.Duration
	young     map[uint64]struct{}
	old       map[uint64]struct{}
	turned    time.Time // when young was begun
	lossUntil time.Time // until then requests may be asked about that were dropped for want of capacity
}

func newMemory(capacity int, life time.Duration) memory {
	return memory{capacity: capacity, life: life, young: map[uint64]struct{}{}}
}

func (m *memory) begin(now time.Time) { m.turned = now }

func (m *memory) add(request string, now time.Time) {
	if len(m.young) >= m.capacity {
		if len(m.old) > 0 {
			m.lossUntil = now.Add(m.life)
		}
		m.turn(now)
	}
	m.young[xxhash.Sum64String(request)] = struct{}{}
}

// may tells whether the request may have run here: it is remembered, or has the digest of one that is, or could be
// one of those dropped early.
func (m *memory) may(request string, now time.Time) bool {
	if now.Before(m.lossUntil) {
		return true
	}
	digest := xxhash.Sum64String(request)
	if _, found := m.young[digest]; found {
		return true
	}
	_, found := m.old[digest]
	return found
}

// age begins a new generation once the young one is a whole life old, so that each request is remembered for one
// life at least and two at most.
func (m *memory) age(now time.Time) {
	if now.Sub(m.turned) >= m.life {
		m.turn(now)
	}
}

func (m *memory) turn(now time.Time) {
	m.old = m.young
	m.young = map[uint64]struct{}{}
	m.turned = now
}
