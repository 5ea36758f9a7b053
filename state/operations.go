package state

import (
	"slices"

	"github.com/carawaypitch/carawaypitch/wire"
)

// operation is the record of a keyed request, in a form that takes less memory than wire.Operation. Its key fields,
// digest and repeatable never change.
type operation struct {
	prev, next *operation // by the time of begin

	key        operationKey
	digest     []byte
	class      string
	repeatable bool

	state      wire.OperationState
	entry      string
	inc        uint64 // of the entry
	request    string
	epoch      uint64   // see newEpoch
	candidates []string // sorted
	earlier    []string // sorted
	answer     *wire.Answer
	begunMS    uint64
	endedMS    uint64
}

type operationKey struct {
	organisation, key string
}

// operationSet holds the records, in order of their begin and by key.
type operationSet struct {
	byKey       map[operationKey]*operation
	first, last *operation
	answerBytes int // bodies of all kept answers

	expired       []uint64 // digests of expired keys, sorted
	expiredBefore uint64   // milliseconds; every record begun earlier may be gone
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

// record returns the record as it goes over the wire.
func (op *operation) record() *wire.Operation {
	r := new(wire.Operation)
	op.fill(r)
	return r
}

// fill sets the fields of an empty record.
func (op *operation) fill(r *wire.Operation) {
	r.Organisation = op.key.organisation
	r.Key = op.key.key
	r.Digest = op.digest
	r.Class = op.class
	r.Repeatable = op.repeatable
	r.State = op.state
	r.Owner = op.entry
	r.OwnerIncarnation = op.inc
	r.Request = op.request
	r.Epoch = op.epoch
	r.Candidates = op.candidates
	r.Earlier = op.earlier
	r.Answer = op.answer
	r.BegunUnixMs = op.begunMS
	r.EndedUnixMs = op.endedMS
}

func operationOf(r *wire.Operation) *operation {
	return &operation{
		key:        operationKey{r.GetOrganisation(), r.GetKey()},
		digest:     r.GetDigest(),
		class:      intern(r.GetClass()),
		repeatable: r.GetRepeatable(),
		state:      r.GetState(),
		entry:      intern(r.GetOwner()),
		inc:        r.GetOwnerIncarnation(),
		request:    r.GetRequest(),
		epoch:      r.GetEpoch(),
		candidates: internAll(r.GetCandidates()),
		earlier:    internAll(r.GetEarlier()),
		answer:     r.GetAnswer(),
		begunMS:    r.GetBegunUnixMs(),
		endedMS:    r.GetEndedUnixMs(),
	}
}

// union returns the sorted names of both lists, each once. It never changes its arguments, which records that were
// handed out may share.
func union(a, b []string) []string {
	all := slices.Concat(a, internAll(b))
	slices.Sort(all)
	return slices.Clip(slices.Compact(all))
}
