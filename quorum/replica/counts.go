package replica

import (
	"sync/atomic"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/journal"
)

// counts are the counters that the driver keeps itself.
type counts struct {
	leaderChanges, committed, applied     atomic.Uint64
	snapshotsTaken, snapshotsRestored     atomic.Uint64
	messagesDropped, messagesMisaddressed atomic.Uint64
	messagesMalformed                     atomic.Uint64
	unknownOutcomes                       atomic.Uint64
	refused                               [quorum.ReasonCount]atomic.Uint64
}

func (c *counts) read(n quorum.Counters, j journal.Stats) Counters {
	out := Counters{
		ElectionsStarted:     n.ElectionsStarted,
		Elected:              n.Elected,
		SteppedDown:          n.SteppedDown,
		SnapshotsSent:        n.SnapshotsSent,
		LeaderChanges:        c.leaderChanges.Load(),
		Committed:            c.committed.Load(),
		Applied:              c.applied.Load(),
		Syncs:                j.Syncs,
		SyncedBytes:          j.Bytes,
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

// refuse counts a refusal and passes it on.
func (c *counts) refuse(err error) error {
	if e, ok := quorum.Refused(err); ok {
		c.refused[e.Reason].Add(1)
	}
	return err
}
