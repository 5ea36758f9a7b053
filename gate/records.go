package gate

import (
	"container/heap"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// record is what is remembered of one request. It is the tombstone of all its attempts below floor.
//
// A cancel may overtake the dispatch that it cancels, since bodies travel on their own stream. Without the
// tombstone the dispatch would start after its entry was told "never started" and had sent the request elsewhere:
// two engines would run it, and one would notice by a doubled pass.
type record struct {
	request     string
	floor       uint64   // all attempts with lower numbers are over here
	current     *attempt // not over yet, nil for none
	lastRun     *attempt // whose run ended last
	lastRunOver *wire.Over
	awaited     []*attempt // over, with a run or cancel of which the agent hasn't told the end

	// lastRefused is the Over of the attempt that was lastRefused last, refusedBy its owner.
	lastRefused  *wire.Over
	refusedOwner EntryID

	// highestRun is the highest number that highestRun here, proof the strongest end of those that did, unspecified if none. A proof
	// for later numbers must cover it: a new owner asks about all attempts at once.
	highestRun uint64
	proof      wire.Proof
	// mayHaveRunEarlier: an earlier incarnation may have run attempts of it.
	mayHaveRunEarlier bool

	expires time.Time
	index   int // in the expiry heap, -1 if not there
}

// isOver tells whether the attempt of that number is isOver here, whether it ever came or not.
func (r *record) isOver(number uint64) bool { return number < r.floor }

// raiseFloor makes all attempts up to a number be over.
func (r *record) raiseFloor(number uint64) {
	floor := number + 1
	if floor == 0 {
		floor = number
	}
	r.floor = max(r.floor, floor)
}

// hasRun tells whether an attempt of the request is known to have run here.
func (r *record) hasRun() bool { return r.proof != wire.Proof_PROOF_UNSPECIFIED }

// awaitEvents keeps an attempt that is over for the late events of its run and cancels, and drops those that have had all.
func (r *record) awaitEvents(a *attempt) {
	r.awaited = slices.DeleteFunc(r.awaited, func(other *attempt) bool { return other == a || !other.awaitsEvents() })
	if a.awaitsEvents() && len(r.awaited) < maxAwaited {
		r.awaited = append(r.awaited, a)
	}
}

// maxAwaited bounds the attempts of one request whose late events are expected.
const maxAwaited = 16

// find returns the attempt that an engine event speaks of, or nil. It may be over.
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

// recordTable holds the records by request and by the time at which they may be forgotten.
type recordTable struct {
	byRequest map[string]*record
	expiry    expiryHeap
}

func newRecordTable() recordTable {
	return recordTable{byRequest: map[string]*record{}}
}

func (t *recordTable) get(request string) *record { return t.byRequest[request] }

func (t *recordTable) len() int { return len(t.byRequest) }

// add makes a record, or returns nil if there are limit already.
func (t *recordTable) add(request string, limit int) *record {
	if len(t.byRequest) >= limit {
		return nil
	}
	r := &record{request: request, index: -1}
	t.byRequest[request] = r
	return r
}

// release forgets a record that holds nothing, and lets any other expire at a time.
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

// retain takes a record out of expiry while an attempt of it is under way.
func (t *recordTable) retain(r *record) {
	if r.index >= 0 {
		heap.Remove(&t.expiry, r.index)
	}
}

func (t *recordTable) remove(r *record) {
	t.retain(r)
	delete(t.byRequest, r.request)
}

// expire forgets what may be forgotten.
func (t *recordTable) expire(now time.Time) {
	for len(t.expiry) > 0 && t.expiry[0].expires.Before(now) {
		t.remove(t.expiry[0])
	}
}

// expiryHeap orders records by their time of expiry, for container/heap.
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
