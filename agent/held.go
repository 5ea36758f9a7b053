package agent

import (
	"sync"

	"github.com/carawaypitch/carawaypitch/holding"
)

// bodyShareDivisor and bodyShare bound the bodies to three quarters of what an agent may hold. A body is held until its
// run ends, and a run ends only if there is room for its answer.
const (
	bodyShareDivisor = 4
	bodyShare        = 3
)

// held counts the bytes that the agent holds for servers and entries. It is nil if memory.held_bytes is 0: then
// everything fits.
type held struct {
	limit int64

	mu      sync.Mutex
	ledger  *holding.Ledger
	waiting map[*engineRun]struct{} // runs that wait for room
}

func newHeld(limit int64) *held {
	if limit <= 0 {
		return nil
	}
	return &held{
		limit:   limit,
		ledger:  holding.New(holding.Limits{Bytes: limit, OrganisationShare: 1}),
		waiting: make(map[*engineRun]struct{}),
	}
}

// admitBody opens the account of a run with its body. It returns false if the body doesn't fit.
func (h *held) admitBody(r *engineRun) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	size := int64(len(r.dispatch.GetBody()))
	if h.ledger.OfKind(holding.Body)+size > h.limit*bodyShare/bodyShareDivisor {
		return false
	}
	a := h.ledger.Open(string(engineID(r.dispatch.GetAttempt())), r.dispatch.GetWork().GetOrganisation())
	if _, ok := h.ledger.Admit(a, holding.Body, size); !ok {
		h.ledger.Close(a)
		return false
	}
	r.account = a
	return true
}

// holdEvent counts an event of an answer. If there is no room it returns false, and the run is woken once there may be
// some. Without any event held there is always room for one, so that no answer waits for itself.
func (h *held) holdEvent(r *engineRun, size int) bool {
	if h == nil || r.account == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if _, ok := h.ledger.Admit(r.account, holding.Waiting, int64(size)); ok {
		return true
	}
	if h.ledger.OfKind(holding.Waiting) == 0 && r.bufferedBytes == 0 {
		return true // not counted: take releases no more than is counted
	}
	h.waiting[r] = struct{}{}
	return false
}

// releaseEvents subtracts events that were passed on. No lock of a run may be held.
func (h *held) releaseEvents(r *engineRun, size int) {
	if h == nil || r.account == nil || size == 0 {
		return
	}
	h.mu.Lock()
	h.ledger.Release(r.account, holding.Waiting, int64(size))
	h.wakeAll()
}

// closeRun frees all that a run holds. No lock of a run may be held.
func (h *held) closeRun(r *engineRun) {
	if h == nil || r.account == nil {
		return
	}
	h.mu.Lock()
	h.ledger.Close(r.account)
	h.wakeAll()
}

// wakeAll wakes the runs that wait for room. It unlocks the lock, which must be held.
func (h *held) wakeAll() {
	woken := h.waiting
	if len(woken) > 0 {
		h.waiting = make(map[*engineRun]struct{})
	}
	h.mu.Unlock()
	for r := range woken {
		r.mu.Lock()
		r.changed.Broadcast()
		r.mu.Unlock()
	}
}

// openUnsent opens the account of what a server buffers for entries whose rings are full.
func (h *held) openUnsent(server string) *holding.Account {
	if h == nil {
		return nil
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Open(server, "")
}

// addUnsent counts a message for an entry, also beyond the limit: it bounds its own size, and an event that was read must
// not be lost.
func (h *held) addUnsent(a *holding.Account, size int) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ledger.Add(a, holding.Pinned, int64(size))
}

// releaseUnsent subtracts a message that was sent or dropped.
func (h *held) releaseUnsent(a *holding.Account, size int) {
	if h == nil {
		return
	}
	h.mu.Lock()
	h.ledger.Release(a, holding.Pinned, int64(size))
	h.wakeAll()
}

// ofKind returns what is held of a kind.
func (h *held) ofKind(kind holding.Kind) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.OfKind(kind)
}
