package replica

import (
	"context"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/go-faster/errors"
)

// journalJob asks the journal's duty to make a batch durable, or to release
// the log up to an index.
type journalJob struct {
	batch   quorum.Batch
	release uint64
}

type journalDone struct {
	job journalJob
}

// applyJob asks the state machine's duty to apply entries, to restore a
// snapshot, or to take one.
type applyJob struct {
	entries []*quorumpb.Entry
	restore *quorumpb.Snapshot
	take    *quorumpb.SnapshotMeta
}

type applyDone struct {
	job     applyJob
	results [][]byte
	taken   *quorumpb.Snapshot
}

// runJournal is the journal's duty. Its errors end the replica: what is on
// disk is not known any more.
func (r *Replica) runJournal(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case job := <-r.toJournal:
			if err := r.persist(job); err != nil {
				return err
			}
			select {
			case r.fromJournal <- journalDone{job: job}:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

func (r *Replica) persist(job journalJob) error {
	if job.release > 0 {
		return r.journal.Release(job.release)
	}
	b := job.batch
	if b.Snapshot != nil {
		// The snapshot first: a Reset without it would leave neither the old
		// log nor the new state.
		if err := r.journal.SaveSnapshot(b.Snapshot); err != nil {
			return err
		}
		if err := r.journal.Reset(b.Snapshot.GetMeta()); err != nil {
			return err
		}
	}
	return r.journal.Save(b.HardState, b.Entries)
}

// persisted goes on with a batch that is durable.
func (c *core) persisted(d journalDone) error {
	if d.job.release > 0 {
		return nil
	}
	b := d.job.batch
	c.send(b.Messages)
	c.r.node.Advance(b)
	if b.Snapshot != nil {
		c.applyJobs = append(c.applyJobs, applyJob{restore: b.Snapshot})
	}
	return nil
}

// runApply is the state machine's duty.
func (r *Replica) runApply(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case job := <-r.toApply:
			done, err := r.apply(job)
			if err != nil {
				return err
			}
			select {
			case r.fromApply <- done:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

func (r *Replica) apply(job applyJob) (applyDone, error) {
	done := applyDone{job: job}
	switch {
	case job.restore != nil:
		meta := job.restore.GetMeta()
		if err := r.cfg.StateMachine.Restore(meta.GetIndex(), job.restore.GetData()); err != nil {
			return done, errors.Wrapf(err, "replica: restore at %d", meta.GetIndex())
		}
		r.counts.snapshotsRestored.Add(1)
	case job.take != nil:
		data, err := r.cfg.StateMachine.Snapshot()
		if err != nil {
			return done, errors.Wrapf(err, "replica: snapshot at %d", job.take.GetIndex())
		}
		done.taken = &quorumpb.Snapshot{Meta: job.take, Data: data}
	default:
		done.results = r.applyEntries(job.entries)
	}
	return done, nil
}

func (r *Replica) applyEntries(entries []*quorumpb.Entry) [][]byte {
	results := make([][]byte, len(entries))
	for i, e := range entries {
		// Memberships are the Node's; a leader's first entry has no payload.
		if e.GetType() == quorumpb.EntryType_ENTRY_TYPE_DATA && len(e.GetData()) > 0 {
			results[i] = r.cfg.StateMachine.Apply(e.GetIndex(), e.GetData())
		}
	}
	r.counts.applied.Add(uint64(len(entries)))
	return results
}

// appliedDone takes up what the state machine has done.
func (c *core) appliedDone(d applyDone) error {
	switch {
	case d.job.restore != nil:
		c.applied = d.job.restore.GetMeta().GetIndex()
		c.sinceEntries, c.sinceBytes = 0, 0
		c.dropOverwritten()
	case d.job.take != nil:
		c.snapshotJobs = append(c.snapshotJobs, snapshotJob{save: d.taken})
		return nil
	default:
		c.finishProposals(d)
	}
	c.r.node.AppliedTo(c.applied)
	c.finishReads()
	c.maybeSnapshot()
	return nil
}

func (c *core) finishProposals(d applyDone) {
	for i, e := range d.job.entries {
		c.applied = e.GetIndex()
		c.sinceEntries++
		c.sinceBytes += len(e.GetData())
		q := c.proposed[e.GetIndex()]
		if q == nil {
			continue
		}
		if q.position.Term != e.GetTerm() {
			// Another leader's entry took the place.
			c.loseProposal(q, ErrLeadershipLost)
			continue
		}
		delete(c.proposed, e.GetIndex())
		q.finish(Applied{Index: e.GetIndex(), Result: d.results[i]}, nil)
	}
}

// dropOverwritten answers proposals that a snapshot covers: whether they are in
// it cannot be told.
func (c *core) dropOverwritten() {
	for index, q := range c.proposed {
		if index <= c.applied {
			c.loseProposal(q, ErrLeadershipLost)
		}
	}
}

// maybeSnapshot asks for a snapshot when enough was applied since the last one.
func (c *core) maybeSnapshot() {
	due := c.sinceEntries >= c.r.cfg.SnapshotEntries || c.sinceBytes >= c.r.cfg.SnapshotBytes
	if !due || c.snapshotting {
		return
	}
	meta, ok := c.r.node.SnapshotMeta(c.applied)
	if !ok {
		return
	}
	c.snapshotting = true
	c.sinceEntries, c.sinceBytes = 0, 0
	c.applyJobs = append(c.applyJobs, applyJob{take: meta})
}
