package state

import "github.com/carawaypitch/carawaypitch/wire"

// endedSet remembers the last incarnation of removed agents and entries, oldest removal first.
//
// A registration that a process sent before it died may be committed after its successor was removed. Without the
// memory the dead incarnation would be in the directory again.
type endedSet struct {
	last  map[endedKey]uint64
	order []endedKey
}

type endedKey struct {
	role     wire.Role
	instance string
}

func newEndedSet() endedSet {
	return endedSet{last: make(map[endedKey]uint64)}
}

// add notes the end of an incarnation, and forgets the oldest beyond the limit.
func (e *endedSet) add(role wire.Role, instance string, incarnation uint64, limit int) {
	key := endedKey{role, instance}
	e.remove(key)
	e.last[key] = incarnation
	e.order = append(e.order, key)
	for len(e.order) > limit {
		delete(e.last, e.order[0])
		e.order = e.order[1:]
	}
}

func (e *endedSet) remove(key endedKey) {
	if _, ok := e.last[key]; !ok {
		return
	}
	delete(e.last, key)
	for i, k := range e.order {
		if k == key {
			e.order = append(e.order[:i], e.order[i+1:]...)
			return
		}
	}
}

// newest returns the last ended incarnation of an instance, 0 if none is known.
func (e *endedSet) newest(role wire.Role, instance string) uint64 {
	return e.last[endedKey{role, instance}]
}
