package gate

import (
	"container/heap"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// record is what the gate remembers of one request. It is the tombstone of all its attempts below floor.
//
// A cancel may overtake the dispatch that it cancels, since bodies travel on a separate stream. Without the
// tombstone the dispatch would start after its entry was told "never started" and had sent the request to another
// server. Two engines would then run the request, with its effects applied twice.
type record struct {
	request     string
	floor       uint64   // all attempts with lower numbers are over here
	current     *attempt // the attempt that is not over yet, nil for none
	lastRun     *attempt // the attempt whose run ended last
	lastRunOver *wire.Over
	awaited     []*attempt // ended attempts with an outstanding EngineEnded or EngineCancelled

	// lastRefused is the Over of the attempt that was refused last, refusedOwner the owner of that attempt.
	lastRefused  *wire.Over
	refusedOwner EntryID

	// highestRun is the highest number that ran here, and proof the strongest end of all that ran, unspecified if
	// none did. A proof for a later number must cover it, because a new owner asks about all attempts at once.
	highestRun uint64
	proof      wire.Proof
	// mayHaveRunEarlier means that an earlier incarnation may have run attempts of the request.
	mayHaveRunEarlier bool

	expires time.Time
	index   int // index in the expiry heap, -1 if it isn't there
}

// isOver reports whether the attempt of that number is over here, even if it never arrived.
func (r *record) isOver(number uint64) bool { return number < r.floor }

// raiseFloor marks all attempts up to a number as over.
func (r *record) raiseFloor(number uint64) {
	floor := number + 1
	if floor == 0 {
		floor = number
	}
	r.floor = max(r.floor, floor)
}

// hasRun reports whether an attempt of the request is known to have run here.
func (r *record) hasRun() bool { return r.proof != wire.Proof_PROOF_UNSPECIFIED }

// awaitEvents keeps an ended attempt for the late events of its run and cancels, and drops attempts that have
// received all of theirs.
func (r *record) awaitEvents(a *attempt) {
	r.awaited = slices.DeleteFunc(r.awaited, func(other *attempt) bool { return other == a || !other.awaitsEvents() })
	if a.awaitsEvents() && len(r.awaited) < maxAwaited {
		r.awaited = append(r.awaited, a)
	}
}

// maxAwaited bounds the ended attempts of one request that are kept for late events.
const maxAwaited = 16

// find returns the attempt that an engine event refers to, or nil. The attempt may be over.
func (r *record) find(number uint64) *attempt {
	if r.current != nil && r.current.number == number {
		return r.current
	}
	for _, a := range r.awaited {
		if a.number == number {
			return a
		}
	}
	if r.lastRun != nil && r.lastRun.number == number {
		return r.lastRun
	}
	return nil
}

// recordTable indexes the records by request and by expiry time.
type recordTable struct {
	byRequest map[string]*record
	expiry    expiryHeap
}

func newRecordTable() recordTable {
	return recordTable{byRequest: map[string]*record{}}
}

func (t *recordTable) get(request string) *record { return t.byRequest[request] }

func (t *recordTable) len() int { return len(t.byRequest) }

// add creates a record, or returns nil if the table already holds limit records.
func (t *recordTable) add(request string, limit int) *record {
	if len(t.byRequest) >= limit {
		return nil
	}
	r := &record{request: request, index: -1}
	t.byRequest[request] = r
	return r
}

// release removes a record that has no tombstone, and otherwise sets when the record expires. It has no effect
// while an attempt is current.
func (t *recordTable) release(r *record, at time.Time) {
	if r.current != nil {
		return
	}
	if r.floor == 0 {
		t.remove(r)
		return
	}
	if at.After(r.expires) {
		r.expires = at
	}
	if r.index >= 0 {
		heap.Fix(&t.expiry, r.index)
		return
	}
	heap.Push(&t.expiry, r)
}

// retain cancels the expiry of a record while one of its attempts is in progress.
func (t *recordTable) retain(r *record) {
	if r.index >= 0 {
		heap.Remove(&t.expiry, r.index)
	}
}

func (t *recordTable) remove(r *record) {
	t.retain(r)
	delete(t.byRequest, r.request)
}

// expire removes the records whose expiry time has passed.
func (t *recordTable) expire(now time.Time) {
	for len(t.expiry) > 0 && t.expiry[0].expires.Before(now) {
		t.remove(t.expiry[0])
	}
}

// expiryHeap orders records by expiry time, for container/heap.
type expiryHeap []*record

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) {
	r := x.(*record)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	r.index = -1
	return r
}
