package replica

import (
	"sync/atomic"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/journal"
)

// counters holds the counters that neither the Node nor the journal keeps.
type counters struct {
	leaderChanges, committed, applied     atomic.Uint64
	snapshotsTaken, snapshotsRestored     atomic.Uint64
	messagesDropped, messagesMisaddressed atomic.Uint64
	messagesMalformed                     atomic.Uint64
	unknownOutcomes                       atomic.Uint64
	refused                               [quorum.ReasonCount]atomic.Uint64
}

// export combines the counters with those of the Node and of the journal.
func (c *counters) export(node quorum.Counters, stats journal.Stats) Counters {
	out := Counters{
		ElectionsStarted:     node.ElectionsStarted,
		Elected:              node.Elected,
		SteppedDown:          node.SteppedDown,
		SnapshotsSent:        node.SnapshotsSent,
		LeaderChanges:        c.leaderChanges.Load(),
		Committed:            c.committed.Load(),
		Applied:              c.applied.Load(),
		Syncs:                stats.Syncs,
		SyncedBytes:          stats.Bytes,
		SnapshotsTaken:       c.snapshotsTaken.Load(),
		SnapshotsRestored:    c.snapshotsRestored.Load(),
		MessagesDropped:      c.messagesDropped.Load(),
		MessagesMisaddressed: c.messagesMisaddressed.Load(),
		MessagesMalformed:    c.messagesMalformed.Load(),
		UnknownOutcomes:      c.unknownOutcomes.Load(),
	}
	for i := range c.refused {
		out.Refused[i] = c.refused[i].Load()
	}
	return out
}

// countRefusal counts err by its reason if it is a *quorum.RefusedError, and
// returns it.
func (c *counters) countRefusal(err error) error {
	if e, ok := quorum.Refused(err); ok {
		c.refused[e.Reason].Add(1)
	}
	return err
}
