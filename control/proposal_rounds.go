package control

import (
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/quorum/replica"
	"github.com/carawaypitch/carawaypitch/wire"
)

// proposalRoundInterval is the least time between two rounds of proposals. It is of the order of one commit over
// several availability zones.
const proposalRoundInterval = 10 * time.Millisecond

// proposalRounds delays proposals so that those of many processes are submitted together. The replica then appends and
// sends them together: one message to each member and one disk sync for each round, however many processes propose.
// The first proposal after an idle interval is not delayed.
//
// Each request may need a larger share of a usage cap, and each entry proposes its own. Proposed one by one, a thousand
// requests a second cost a leader with nine followers some 20,000 messages a second.
type proposalRounds struct {
	submit func(...*replica.Proposal)

	mu      sync.Mutex
	next    time.Time // earliest time of the next round
	waiting []*replica.Proposal
}

// add submits a proposal with the next round, which may be now. It reports whether the proposal is delayed.
func (r *proposalRounds) add(p *replica.Proposal) (delayed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if len(r.waiting) == 0 && !now.Before(r.next) {
		r.next = now.Add(proposalRoundInterval)
		r.submit(p)
		return false
	}
	r.waiting = append(r.waiting, p)
	if len(r.waiting) == 1 {
		time.AfterFunc(r.next.Sub(now), r.submitWaiting)
	}
	return true
}

// submitWaiting submits all proposals that wait. They are submitted by one call, since calls of their own would reach
// the replica in as many groups as the scheduler of goroutines makes of them, each with a disk sync.
func (r *proposalRounds) submitWaiting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.submit(r.waiting...)
	r.waiting = nil
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
