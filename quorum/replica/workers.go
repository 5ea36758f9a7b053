package replica

import (
	"context"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/go-faster/errors"
)

// journalJob is a job for runJournal: to make a batch durable or, if
// releaseIndex is not zero, to release the log up to that index.
type journalJob struct {
	batch        quorum.Batch
	releaseIndex uint64
}

// journalDone reports a finished journalJob.
type journalDone struct {
	job journalJob
}

// applyJob is a job for runApply: to restore a snapshot if restore is set, to
// take one if snapshotMeta is set, and otherwise to apply entries.
type applyJob struct {
	entries      []*quorumpb.Entry
	restore      *quorumpb.Snapshot
	snapshotMeta *quorumpb.SnapshotMeta
}

// applyDone reports a finished applyJob: the results of the entries, or the
// snapshot that was taken.
type applyDone struct {
	job      applyJob
	results  [][]byte
	snapshot *quorumpb.Snapshot
}

// runJournal executes journal jobs until ctx ends. An error stops the replica,
// because the state on disk is then unknown.
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

// persist executes a journalJob.
func (r *Replica) persist(job journalJob) error {
	if job.releaseIndex > 0 {
		return r.journal.Release(job.releaseIndex)
	}
	b := job.batch
	if b.Snapshot != nil {
		// Save the snapshot first: after a Reset without it the disk would hold
		// neither the old log nor the new state.
		if err := r.journal.SaveSnapshot(b.Snapshot); err != nil {
			return err
		}
		if err := r.journal.Reset(b.Snapshot.GetMeta()); err != nil {
			return err
		}
	}
	return r.journal.Save(b.HardState, b.Entries)
}

// handlePersisted sends the messages of a batch that is durable and restores
// the snapshot in it.
func (l *eventLoop) handlePersisted(d journalDone) error {
	if d.job.releaseIndex > 0 {
		return nil
	}
	b := d.job.batch
	l.send(b.Messages)
	l.r.node.Advance(b)
	if b.Snapshot != nil {
		l.applyJobs = append(l.applyJobs, applyJob{restore: b.Snapshot})
	}
	return nil
}

// runApply executes the jobs of the state machine until ctx ends. An error stops
// the replica.
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

// apply executes an applyJob.
func (r *Replica) apply(job applyJob) (applyDone, error) {
	done := applyDone{job: job}
	switch {
	case job.restore != nil:
		meta := job.restore.GetMeta()
		if err := r.cfg.StateMachine.Restore(meta.GetIndex(), job.restore.GetData()); err != nil {
			return done, errors.Wrapf(err, "replica: restore snapshot at index %d", meta.GetIndex())
		}
		r.counters.snapshotsRestored.Add(1)
	case job.snapshotMeta != nil:
		data, err := r.cfg.StateMachine.Snapshot()
		if err != nil {
			return done, errors.Wrapf(err, "replica: take snapshot at index %d", job.snapshotMeta.GetIndex())
		}
		done.snapshot = &quorumpb.Snapshot{Meta: job.snapshotMeta, Data: data}
	default:
		done.results = r.applyEntries(job.entries)
	}
	return done, nil
}

// applyEntries applies entries to the state machine and returns their results.
// The result of an entry without data for the state machine is nil.
func (r *Replica) applyEntries(entries []*quorumpb.Entry) [][]byte {
	results := make([][]byte, len(entries))
	for i, e := range entries {
		// The Node handles membership entries, and the first entry of a leader
		// has no payload.
		if e.GetType() == quorumpb.EntryType_ENTRY_TYPE_DATA && len(e.GetData()) > 0 {
			results[i] = r.cfg.StateMachine.Apply(e.GetIndex(), e.GetData())
		}
	}
	r.counters.applied.Add(uint64(len(entries)))
	return results
}

// handleApplied handles a finished job of the state machine.
func (l *eventLoop) handleApplied(d applyDone) error {
	switch {
	case d.job.restore != nil:
		l.appliedIndex = d.job.restore.GetMeta().GetIndex()
		l.entriesSinceSnapshot, l.bytesSinceSnapshot = 0, 0
		l.failProposalsInSnapshot()
	case d.job.snapshotMeta != nil:
		l.snapshotJobs = append(l.snapshotJobs, snapshotJob{save: d.snapshot})
		return nil
	default:
		l.finishProposals(d)
	}
	l.r.node.AppliedTo(l.appliedIndex)
	l.finishAppliedReads()
	l.startSnapshotIfDue()
	return nil
}

// finishProposals advances appliedIndex over the applied entries and finishes
// the proposals among them.
func (l *eventLoop) finishProposals(d applyDone) {
	for i, e := range d.job.entries {
		l.appliedIndex = e.GetIndex()
		l.entriesSinceSnapshot++
		l.bytesSinceSnapshot += len(e.GetData())
		q := l.pendingProposals[e.GetIndex()]
		if q == nil {
			continue
		}
		if q.position.Term != e.GetTerm() {
			// The entry of another leader replaced the proposal.
			l.failProposal(q, ErrLeadershipLost)
			continue
		}
		delete(l.pendingProposals, e.GetIndex())
		q.finish(Applied{Index: e.GetIndex(), Result: d.results[i]}, nil)
	}
}

// failProposalsInSnapshot fails the proposals up to the index of a restored
// snapshot: the snapshot does not show whether they were committed.
func (l *eventLoop) failProposalsInSnapshot() {
	for index, q := range l.pendingProposals {
		if index <= l.appliedIndex {
			l.failProposal(q, ErrLeadershipLost)
		}
	}
}

// startSnapshotIfDue queues the taking of a snapshot if SnapshotEntries or
// SnapshotBytes were applied since the last one and none is in progress.
func (l *eventLoop) startSnapshotIfDue() {
	due := l.entriesSinceSnapshot >= l.r.cfg.SnapshotEntries || l.bytesSinceSnapshot >= l.r.cfg.SnapshotBytes
	if !due || l.snapshotInProgress {
		return
	}
	meta, ok := l.r.node.SnapshotMeta(l.appliedIndex)
	if !ok {
		return
	}
	l.snapshotInProgress = true
	l.entriesSinceSnapshot, l.bytesSinceSnapshot = 0, 0
	l.applyJobs = append(l.applyJobs, applyJob{snapshotMeta: meta})
}
