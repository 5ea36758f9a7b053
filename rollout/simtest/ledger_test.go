package simtest

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of the rules, as in docs/uneven-load.md.
const (
	exposureShare     = 0.1
	exposureAllowance = 50
	rollback          = 5 * time.Second
	maxStretch        = 6 * time.Second
	manyBad           = 50
	stableFor         = 4 * time.Second
)

// ledger records exactly what the entries sent, and holds it against the rules.
type ledger struct {
	world     *world
	requests  map[string]bool // sent since the order
	sent      int             // requests, each counted once, from the order until its time limit
	exposed   int             // sends to the new version in that time
	bad       int             // bad answers before the verdict
	stableBad int             // since the group was last unstable
	// limit is the time after which the new version may get nothing, zero until the 50th bad answer.
	limit     time.Time
	limitFrom time.Time
	lateSends int
	lateBy    time.Duration
}

// dispatched records a request that an entry sends to a server.
func (l *ledger) dispatched(e *entry, request string, v *server) {
	w := l.world
	if w.orderedAt.IsZero() || w.since(w.orderedAt) > w.schedule.duration {
		return
	}
	if !l.requests[request] {
		l.requests[request] = true
		l.sent++
	}
	if v.version != newVersion {
		return
	}
	l.exposed++
	if l.limit.IsZero() || !w.now.After(l.limit) || w.verdict() == wire.RolloutState_ROLLOUT_STATE_COMPLETED {
		return // what a bad version gets after its completion is counted as a wrong verdict
	}
	if !e.connectedSince.IsZero() && w.since(e.connectedSince) >= stableFor {
		l.lateSends++
		l.lateBy = max(l.lateBy, w.since(l.limit))
	}
}

// badAnswer records a bad answer that an entry gets.
func (l *ledger) badAnswer() {
	w := l.world
	if !w.orderedAt.IsZero() && isInProgress(w.record()) {
		l.bad++
	}
	if w.group.isUnstable() {
		l.stableBad = 0
		return
	}
	l.stableBad++
	if l.stableBad == manyBad && l.limit.IsZero() {
		l.limitFrom, l.limit = w.now, w.now.Add(rollback)
	}
}

// groupUnstable extends the limit if an instance fails within it.
func (l *ledger) groupUnstable() {
	if l.world.now.Before(l.limit) {
		l.limit = l.limitFrom.Add(rollback + maxStretch)
	}
}

// isUnstable reports whether a member was down, restarted or cut off within the last 4 s.
func (g *group) isUnstable() bool {
	return !g.lastFault.IsZero() && g.world.since(g.lastFault) < stableFor
}

// overExposure returns by how many requests the new version got more than its bound.
func (l *ledger) overExposure() float64 {
	return float64(l.exposed) - exposureShare*float64(l.sent) - exposureAllowance
}
