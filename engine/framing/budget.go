package framing

import (
	"net/http"
	"sync"

	"github.com/carawaypitch/carawaypitch/holding"
)

// smallAnswer is the size up to which an answer takes nothing of a Budget, so that ordinary answers are never among those that
// end for want of room.
const smallAnswer = 64 << 10

// Budget bounds the bytes that the answers being read by a process take together, until they or their events are whole and can
// be passed on. While there are too many, the answer that takes most ends with ErrTooLarge. A nil Budget bounds nothing. It is
// safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	ledger *holding.Ledger
	ends   map[*holding.Account]func()
}

// NewBudget returns a budget of the given number of bytes.
func NewBudget(bytes int64) *Budget {
	return &Budget{
		ledger: holding.New(holding.Limits{Bytes: bytes}),
		ends:   make(map[*holding.Account]func()),
	}
}

// reservation is what one answer takes of a budget. A nil reservation bounds nothing.
type reservation struct {
	budget  *Budget
	account *holding.Account
	taken   int64
}

// open begins to count an answer, whose body is closed if it ends for want of room.
func (b *Budget) open(response *http.Response) *reservation {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	account := b.ledger.Open("", "")
	b.ends[account] = func() { _ = response.Body.Close() }
	return &reservation{budget: b, account: account}
}

// resize sets the size of the memory that the answer takes, in bytes. It returns ErrTooLarge if the answer has to end.
func (r *reservation) resize(size int64) error {
	size = max(0, size-smallAnswer)
	if r == nil || size <= r.taken {
		return nil
	}
	b := r.budget
	b.mu.Lock()
	ended, ok := b.ledger.Hold(r.account, holding.Assembled, size-r.taken)
	var ends []func()
	for _, account := range ended {
		ends = append(ends, b.ends[account])
	}
	b.mu.Unlock()
	for _, end := range ends {
		end()
	}
	if !ok {
		return ErrTooLarge
	}
	r.taken = size
	return nil
}

// err returns ErrTooLarge if the answer ended for want of room.
func (r *reservation) err() error {
	if r == nil {
		return nil
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.account.Ended() {
		return ErrTooLarge
	}
	return nil
}

// close ends the counting.
func (r *reservation) close() {
	if r == nil {
		return
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.ledger.Close(r.account)
	delete(r.budget.ends, r.account)
}
