package state

import (
	"slices"

	"github.com/carawaypitch/carawaypitch/wire"
)

// operation is the record of a keyed request. It takes less memory than wire.Operation. Its key, digest, class and
// repeatable fields never change.
type operation struct {
	prev, next *operation // in the order in which they were begun

	key        operationKey
	digest     []byte
	class      string
	repeatable bool

	state            wire.OperationState
	entry            string
	entryIncarnation uint64 // of the entry
	request          string
	epoch            uint64   // see newEpoch
	candidateServers []string // sorted
	earlierServers   []string // sorted
	answer           *wire.Answer
	begunUnixMS      uint64
	endedUnixMS      uint64
}

type operationKey struct {
	organisation, key string
}

// operationSet holds the records by key and in the order in which they were begun.
type operationSet struct {
	byKey       map[operationKey]*operation
	first, last *operation
	answerBytes int // total size of all stored bodies

	expiredDigests      []uint64 // digests of expired keys, sorted
	expiredBeforeUnixMS uint64   // in milliseconds since 1970; any record begun earlier may have been removed
}

func newOperationSet() operationSet {
	return operationSet{byKey: make(map[operationKey]*operation)}
}

func (o *operationSet) add(op *operation) {
	o.byKey[op.key] = op
	o.answerBytes += len(op.answer.GetBody())
	op.prev = o.last
	if o.last == nil {
		o.first = op
	} else {
		o.last.next = op
	}
	o.last = op
}

func (o *operationSet) remove(op *operation) {
	delete(o.byKey, op.key)
	o.answerBytes -= len(op.answer.GetBody())
	if op.prev == nil {
		o.first = op.next
	} else {
		op.prev.next = op.next
	}
	if op.next == nil {
		o.last = op.prev
	} else {
		op.next.prev = op.prev
	}
}

// record returns the wire form of the record.
func (op *operation) record() *wire.Operation {
	r := new(wire.Operation)
	op.fill(r)
	return r
}

// fill sets the fields of an empty wire record.
func (op *operation) fill(r *wire.Operation) {
	r.Organisation = op.key.organisation
	r.Key = op.key.key
	r.Digest = op.digest
	r.Class = op.class
	r.Repeatable = op.repeatable
	r.State = op.state
	r.Owner = op.entry
	r.OwnerIncarnation = op.entryIncarnation
	r.Request = op.request
	r.Epoch = op.epoch
	r.Candidates = op.candidateServers
	r.Earlier = op.earlierServers
	r.Answer = op.answer
	r.BegunUnixMs = op.begunUnixMS
	r.EndedUnixMs = op.endedUnixMS
}

// operationFromRecord returns the record of a wire record, for example one of a snapshot.
func operationFromRecord(r *wire.Operation) *operation {
	return &operation{
		key:              operationKey{r.GetOrganisation(), r.GetKey()},
		digest:           r.GetDigest(),
		class:            intern(r.GetClass()),
		repeatable:       r.GetRepeatable(),
		state:            r.GetState(),
		entry:            intern(r.GetOwner()),
		entryIncarnation: r.GetOwnerIncarnation(),
		request:          r.GetRequest(),
		epoch:            r.GetEpoch(),
		candidateServers: internAll(r.GetCandidates()),
		earlierServers:   internAll(r.GetEarlier()),
		answer:           r.GetAnswer(),
		begunUnixMS:      r.GetBegunUnixMs(),
		endedUnixMS:      r.GetEndedUnixMs(),
	}
}

// union returns the sorted names of both lists without duplicates. It never modifies its arguments, which may be
// shared with records that accessors have returned.
func union(a, b []string) []string {
	all := slices.Concat(a, internAll(b))
	slices.Sort(all)
	return slices.Clip(slices.Compact(all))
}
