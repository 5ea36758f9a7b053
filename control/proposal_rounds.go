package control

import (
	"context"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// proposalRoundInterval is the least time between two rounds of proposals. It is of the order of one commit over
// several availability zones.
const proposalRoundInterval = 10 * time.Millisecond

// proposalRounds delays proposals so that those of many processes are proposed at the same time. The replica then
// appends and sends them together: one message to each member and one disk sync for each round, however many processes
// propose. The first proposal after an idle interval is not delayed.
//
// Each request may need a larger share of a usage cap, and each entry proposes its own. Proposed one by one, a thousand
// requests a second cost a leader with nine followers some 20,000 messages a second.
type proposalRounds struct {
	mu   sync.Mutex
	next time.Time     // earliest time of the next round
	open chan struct{} // closed at the next round; nil while nothing waits for it
}

// wait returns at the next round, or when ctx ends. It reports whether the proposal was delayed.
func (r *proposalRounds) wait(ctx context.Context) (delayed bool) {
	next := r.join(time.Now())
	if next == nil {
		return false
	}
	select {
	case <-next:
	case <-ctx.Done():
	}
	return true
}

// join returns a channel that is closed at the next round, or nil if the caller may propose now.
func (r *proposalRounds) join(now time.Time) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.open != nil {
		return r.open
	}
	if !now.Before(r.next) {
		r.next = now.Add(proposalRoundInterval)
		return nil
	}
	r.open = make(chan struct{})
	time.AfterFunc(r.next.Sub(now), r.start)
	return r.open
}

// start lets all waiting proposals go.
func (r *proposalRounds) start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.open)
	r.open = nil
	r.next = time.Now().Add(proposalRoundInterval)
}

// isRoutine reports whether a command is one that all processes of a deployment propose, some of them at the same time,
// and that no caller's answer waits for longer than a round.
func isRoutine(cmd *wire.Command) bool {
	switch cmd.GetKind().(type) {
	case *wire.Command_MoveShares, *wire.Command_RegisterEntry, *wire.Command_RegisterAgent:
		return true
	default:
		return false
	}
}
