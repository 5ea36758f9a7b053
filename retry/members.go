package retry

import (
	"slices"
	"time"
)

// contactShare is the share of a window for which an entry keeps its part of the allowance without a confirmed answer of
// control. Elections are shorter.
const contactShare = 0.5

// Members divides the allowance by the number of entries.
//
// Entries learn of each other from the directory, some later than others. So that the parts never add up to more than the
// allowance, the highest number of the last window and a half counts, an entry without contact loses its part, and
// one that starts gets it only after those that have not heard of it have lost theirs, and what they used has left
// the window. Until then an entry has at most startPart. In windows that began before it, a process with a predecessor
// has none.
type Members struct {
	window    time.Duration
	started   time.Time
	first     bool          // the process has no predecessor
	counts    []memberCount // in the order of time, falling
	firstSeen time.Time     // first confirmed contact, zero before
	lastSeen  time.Time     // last confirmed contact, zero without one
}

type memberCount struct {
	entries int
	until   time.Time // when a lower number was first known, zero for the present number
}

// Part is an entry's part of the allowance: the repeats that it may send in each window that begins after a time.
type Part struct {
	Units float64
	After time.Time
}

// startPart bounds the part of an entry that has not had its full part yet, or has lost it. With no part at all, repeats of an
// entry with few requests would wait until several of these had arrived within one slot.
const startPart = 1.0

// NewMembers returns the members of a deployment, as far as a process that started at the given time knows: itself.
func NewMembers(window time.Duration, started time.Time) *Members {
	return &Members{window: window, started: started, counts: []memberCount{{entries: 1}}}
}

// First records that the process has no predecessor that may have used its part, by a directory that lists it. The only entry
// of a deployment then has the whole allowance at once.
func (m *Members) First() {
	m.first = true
	if m.lastSeen.IsZero() {
		m.Confirmed(m.started) // the directory is newer than the process
	}
}

// Listed records the number of entries in the directory.
func (m *Members) Listed(now time.Time, entries int) {
	entries = max(entries, 1)
	last := &m.counts[len(m.counts)-1]
	if entries < last.entries {
		last.until = now
	}
	for len(m.counts) > 0 && m.counts[len(m.counts)-1].entries <= entries {
		m.counts = m.counts[:len(m.counts)-1]
	}
	m.counts = append(m.counts, memberCount{entries: entries})
	m.expire(now)
}

// Confirmed records when the last poll was sent that control has confirmed. A zero time means that contact is lost.
func (m *Members) Confirmed(at time.Time) {
	m.lastSeen = at
	if m.firstSeen.IsZero() {
		m.firstSeen = at
	}
}

// Entries returns the number of entries by which the allowance is divided.
func (m *Members) Entries(now time.Time) int {
	m.expire(now)
	return m.counts[0].entries
}

// Part returns this entry's part of the allowance.
func (m *Members) Part(now time.Time, allowance float64) Part {
	part := Part{Units: allowance / float64(m.Entries(now))}
	if !m.hasPart(now) {
		part.Units = min(part.Units, startPart)
	}
	if !m.first {
		part.After = m.started
	}
	return part
}

// ContactAge returns the age of the last confirmed contact. known is false without one.
func (m *Members) ContactAge(now time.Time) (age time.Duration, known bool) {
	if m.lastSeen.IsZero() {
		return 0, false
	}
	return now.Sub(m.lastSeen), true
}

func (m *Members) hasPart(now time.Time) bool {
	if m.lastSeen.IsZero() || now.Sub(m.lastSeen) > m.contactTimeout() {
		return false
	}
	isOnly := m.first && m.Entries(now) == 1
	return isOnly || now.Sub(m.firstSeen) >= m.settleTime()
}

func (m *Members) contactTimeout() time.Duration {
	return time.Duration(contactShare * float64(m.window))
}

// settleTime is after which time every entry has either heard of a change or lost its part, and what it used before has left
// the window.
func (m *Members) settleTime() time.Duration { return m.window + m.contactTimeout() }

// expire removes numbers that were replaced by lower ones longer ago than settleTime.
func (m *Members) expire(now time.Time) {
	m.counts = slices.DeleteFunc(m.counts, func(c memberCount) bool {
		return !c.until.IsZero() && now.Sub(c.until) >= m.settleTime()
	})
}
