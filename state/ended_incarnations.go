package state

import "github.com/carawaypitch/carawaypitch/wire"

// endedIncarnations holds the last incarnation of removed agents and entries, oldest removal first.
//
// A registration that a process sent before it died may be committed after its successor was removed. Without these
// records the dead incarnation would return to the directory.
type endedIncarnations struct {
	last  map[instanceKey]uint64
	order []instanceKey
}

// instanceKey identifies an instance.
type instanceKey struct {
	role     wire.Role
	instance string
}

func newEndedIncarnations() endedIncarnations {
	return endedIncarnations{last: make(map[instanceKey]uint64)}
}

// add records the end of an incarnation and evicts the oldest records beyond the limit.
func (e *endedIncarnations) add(role wire.Role, instance string, incarnation uint64, limit int) {
	key := instanceKey{role, instance}
	e.remove(key)
	e.last[key] = incarnation
	e.order = append(e.order, key)
	for len(e.order) > limit {
		delete(e.last, e.order[0])
		e.order = e.order[1:]
	}
}

func (e *endedIncarnations) remove(key instanceKey) {
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

// hasAny reports whether an instance of a role is known to have ended.
func (e *endedIncarnations) hasAny(role wire.Role) bool {
	for key := range e.last {
		if key.role == role {
			return true
		}
	}
	return false
}

// latest returns the last ended incarnation of an instance, 0 if none is known.
func (e *endedIncarnations) latest(role wire.Role, instance string) uint64 {
	return e.last[instanceKey{role, instance}]
}
