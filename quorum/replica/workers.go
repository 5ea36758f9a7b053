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
	batch        quorum.Batch
	releaseIndex uint64
}

type journalDone struct {
	job journalJob
}

// applyJob asks the state machine's duty to apply entries, to restore a
// snapshot, or to take one.
type applyJob struct {
	entries      []*quorumpb.Entry
	restore      *quorumpb.Snapshot
	snapshotMeta *quorumpb.SnapshotMeta
}

type applyDone struct {
	job      applyJob
	results  [][]byte
	snapshot *quorumpb.Snapshot
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
	if job.releaseIndex > 0 {
		return r.journal.Release(job.releaseIndex)
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

// handlePersisted goes on with a batch that is durable.
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
		r.counters.snapshotsRestored.Add(1)
	case job.snapshotMeta != nil:
		data, err := r.cfg.StateMachine.Snapshot()
		if err != nil {
			return done, errors.Wrapf(err, "replica: snapshot at %d", job.snapshotMeta.GetIndex())
		}
		done.snapshot = &quorumpb.Snapshot{Meta: job.snapshotMeta, Data: data}
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
	r.counters.applied.Add(uint64(len(entries)))
	return results
}

// handleApplied takes up what the state machine has done.
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
			// Another leader's entry took the place.
			l.failProposal(q, ErrLeadershipLost)
			continue
		}
		delete(l.pendingProposals, e.GetIndex())
		q.finish(Applied{Index: e.GetIndex(), Result: d.results[i]}, nil)
	}
}

// failProposalsInSnapshot answers proposals that a snapshot covers: whether they are in
// it cannot be told.
func (l *eventLoop) failProposalsInSnapshot() {
	for index, q := range l.pendingProposals {
		if index <= l.appliedIndex {
			l.failProposal(q, ErrLeadershipLost)
		}
	}
}

// startSnapshotIfDue asks for a snapshot when enough was applied since the last one.
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
