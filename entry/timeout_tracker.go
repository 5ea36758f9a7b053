package entry

import (
	"slices"
	"sync"
	"time"
)

const (
	// patienceTries is over how many of the last tries the usual time limits are learnt: those of a class, and those of a class and
	// organisation.
	patienceTries = 256
	// patienceCommon is how many of them must have nearly the same limit for it to be one that callers set out with. What is left to
	// callers who come back differs by the time they were away.
	patienceCommon = 8
	// patienceNear is how far two limits may be apart to count as the same, one in so many.
	patienceNear = 200
	// patienceKeys bounds the classes and organisations that are remembered.
	patienceKeys = 4096
)

// patience learns with how much time callers set out, and tells how much of it one had used up before it came here: a caller that was
// refused comes back with what is left. It goes by all callers of a class; those of an organisation that gives them less time than others
// do are known by their own.
//
// The objective of a request counts from its caller's first try. Served in the order of arrival here, those who come back, for whom it has
// passed, take the places of those who could still be served in time; these are refused after their objective and come back in
// turn. One would notice, under an overload, by answers that are in time by this entry's count and late by the callers', about
// as many as requests refused at their objective.
type patience struct {
	mu    sync.Mutex
	tries map[patienceKey]*limits
}

type patienceKey struct{ class, organisation string } // the organisation is empty for all of a class

// limits are the time limits of the last tries, the oldest overwritten first.
type limits struct {
	last []time.Duration
	next int
}

func newPatience() *patience { return &patience{tries: make(map[patienceKey]*limits)} }

// used notes a try with a time limit, and returns how much of its time its caller has probably used up before.
func (p *patience) used(class, organisation string, limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	all, own := p.note(patienceKey{class, ""}, limit), p.note(patienceKey{class, organisation}, limit)
	if own.common(limit) {
		return 0
	}
	return all.used(limit)
}

// note adds a try.
func (p *patience) note(key patienceKey, limit time.Duration) *limits {
	known := p.tries[key]
	if known == nil {
		if len(p.tries) >= patienceKeys {
			clear(p.tries)
		}
		known = new(limits)
		p.tries[key] = known
	}
	if len(known.last) < patienceTries {
		known.last = append(known.last, limit)
		return known
	}
	known.last[known.next] = limit
	known.next = (known.next + 1) % patienceTries
	return known
}

// used is the distance to the next longer limit that is common, 0 if the limit itself is.
func (l *limits) used(limit time.Duration) time.Duration {
	if l.common(limit) {
		return 0
	}
	sorted := slices.Clone(l.last)
	slices.Sort(sorted)
	for i, other := range sorted {
		most := i + patienceCommon - 1
		if other > limit && most < len(sorted) && sorted[most]-other <= other/patienceNear {
			return other - limit
		}
	}
	return 0
}

func (l *limits) common(limit time.Duration) bool {
	n := 0
	for _, other := range l.last {
		if (other - limit).Abs() <= limit/patienceNear {
			n++
		}
	}
	return n >= patienceCommon
}
