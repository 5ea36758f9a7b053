package replica

import (
	"context"
	"slices"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"google.golang.org/protobuf/proto"
)

// snapshotJob asks the snapshots' duty to save a snapshot, or to read the
// newest one for a follower.
type snapshotJob struct {
	save    *quorumpb.Snapshot
	message *quorumpb.Message
}

type snapshotDone struct {
	job  snapshotJob
	read *quorumpb.Snapshot
}

// outgoingSnapshot is a snapshot on its way to a follower, one part at a time:
// the next leaves when the one before is acknowledged, so that a snapshot
// cannot fill the transport's queues.
type outgoingSnapshot struct {
	message  *quorumpb.Message
	snapshot *quorumpb.Snapshot
	offset   uint64
	// idleTicks since the last part was sent.
	idleTicks int
}

// incomingSnapshot is a snapshot that arrives from a leader.
type incomingSnapshot struct {
	from string
	term uint64
	meta *quorumpb.SnapshotMeta
	size uint64
	data []byte
}

// runSnapshots is the snapshots' duty.
func (r *Replica) runSnapshots(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case job := <-r.toSnapshot:
			done := snapshotDone{job: job}
			var err error
			if job.save != nil {
				err = r.journal.SaveSnapshot(job.save)
			} else {
				done.read, err = r.journal.ReadSnapshot()
			}
			if err != nil {
				return err
			}
			select {
			case r.fromSnapshot <- done:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// handleSnapshotDone takes up a snapshot that was saved or read.
func (l *eventLoop) handleSnapshotDone(d snapshotDone) error {
	if s := d.job.save; s != nil {
		l.snapshotInProgress = false
		l.r.counters.snapshotsTaken.Add(1)
		l.r.node.Compact(s.GetMeta(), l.r.cfg.KeepEntries)
		l.journalJobs = append(l.journalJobs, journalJob{releaseIndex: s.GetMeta().GetIndex()})
		return nil
	}
	to := quorum.ID(d.job.message.GetTo())
	if s := l.r.node.Status(); s.Role != quorum.RoleLeader || s.Term != d.job.message.GetTerm() {
		// Leadership ended while the snapshot was read.
		return nil
	}
	if d.read == nil {
		l.r.node.SnapshotFailed(to)
		return nil
	}
	out := &outgoingSnapshot{message: d.job.message, snapshot: d.read}
	l.outgoingSnapshots[to] = out
	l.sendChunk(out)
	return nil
}

// startSending answers the Node's wish to send a snapshot.
func (l *eventLoop) startSending(to quorum.ID, m *quorumpb.Message) {
	delete(l.outgoingSnapshots, to)
	l.snapshotJobs = append(l.snapshotJobs, snapshotJob{message: m})
}

func (l *eventLoop) sendChunk(out *outgoingSnapshot) {
	out.idleTicks = 0
	data := out.snapshot.GetData()
	end := min(out.offset+uint64(l.r.cfg.MaxBatchBytes), uint64(len(data)))
	l.sendMessage(&quorumpb.Message{
		Type:     quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT,
		From:     out.message.GetFrom(),
		To:       out.message.GetTo(),
		Group:    out.message.GetGroup(),
		Term:     out.message.GetTerm(),
		Snapshot: &quorumpb.Snapshot{Meta: out.snapshot.GetMeta(), Data: data[out.offset:end]},
		Chunk:    &quorumpb.SnapshotChunk{Offset: out.offset, Size: uint64(len(data))},
	})
}

// sendMessage hands over a message that belongs to the driver alone.
func (l *eventLoop) sendMessage(m *quorumpb.Message) {
	if l.r.cfg.Transport != nil {
		l.r.cfg.Transport.Send(quorum.ID(m.GetTo()), []*quorumpb.Message{m})
	}
}

// resendOverdueChunks repeats a part that got no answer: it or its answer was lost.
func (l *eventLoop) resendOverdueChunks() {
	var overdue []*outgoingSnapshot
	for _, out := range l.outgoingSnapshots {
		out.idleTicks++
		if out.idleTicks >= l.r.cfg.ElectionTicks/2 {
			overdue = append(overdue, out)
		}
	}
	for _, out := range overdue {
		l.sendChunk(out)
	}
}

// handleSnapshotMessage handles the parts of snapshots and their answers. What is
// left for the Node, a whole snapshot among it, is returned.
func (l *eventLoop) handleSnapshotMessage(m *quorumpb.Message) (handled bool, remaining *quorumpb.Message) {
	if quorum.ID(m.GetTo()) != l.r.id {
		return false, m
	}
	switch m.GetType() {
	case quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		return l.receiveChunk(m)
	case quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT_REPLY:
		l.handleChunkAck(m)
		return true, nil
	default:
		return false, m
	}
}

func (l *eventLoop) handleChunkAck(m *quorumpb.Message) {
	from := quorum.ID(m.GetFrom())
	out := l.outgoingSnapshots[from]
	if out == nil || out.message.GetTerm() != m.GetTerm() ||
		out.snapshot.GetMeta().GetIndex() != m.GetSnapshot().GetMeta().GetIndex() {
		return
	}
	nextOffset := m.GetChunk().GetOffset()
	if nextOffset > uint64(len(out.snapshot.GetData())) || nextOffset < out.offset {
		// An old answer.
		return
	}
	l.r.node.SnapshotProgress(from)
	if nextOffset == uint64(len(out.snapshot.GetData())) {
		delete(l.outgoingSnapshots, from)
		return
	}
	if nextOffset > out.offset {
		out.offset = nextOffset
		l.sendChunk(out)
	}
}

// receiveChunk collects a part. Parts are taken in order only; the answer says
// which is wanted next.
func (l *eventLoop) receiveChunk(m *quorumpb.Message) (handled bool, complete *quorumpb.Message) {
	chunk := m.GetChunk()
	data := m.GetSnapshot().GetData()
	if chunk.GetSize() > uint64(l.r.cfg.MaxSnapshotBytes) || m.GetSnapshot().GetMeta() == nil {
		l.r.counters.messagesMalformed.Add(1)
		return true, nil
	}
	in := l.incoming
	if in == nil || in.from != m.GetFrom() || in.term != m.GetTerm() || !proto.Equal(in.meta, m.GetSnapshot().GetMeta()) {
		if chunk.GetOffset() != 0 {
			// The start was sent to an earlier run of this replica.
			return true, nil
		}
		in = &incomingSnapshot{
			from: m.GetFrom(),
			term: m.GetTerm(),
			meta: m.GetSnapshot().GetMeta(),
			size: chunk.GetSize(),
		}
		l.incoming = in
	}
	received := uint64(len(in.data))
	if chunk.GetOffset() == received && received+uint64(len(data)) <= in.size {
		in.data = append(in.data, data...)
	}
	l.acknowledgeChunk(m, uint64(len(in.data)))
	if uint64(len(in.data)) < in.size {
		return true, nil
	}
	l.incoming = nil
	complete = proto.CloneOf(m)
	complete.Snapshot = &quorumpb.Snapshot{Meta: in.meta, Data: slices.Clip(in.data)}
	complete.Chunk = nil
	return false, complete
}

func (l *eventLoop) acknowledgeChunk(m *quorumpb.Message, nextOffset uint64) {
	l.sendMessage(&quorumpb.Message{
		Type:     quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT_REPLY,
		From:     m.GetTo(),
		To:       m.GetFrom(),
		Group:    m.GetGroup(),
		Term:     m.GetTerm(),
		Snapshot: &quorumpb.Snapshot{Meta: m.GetSnapshot().GetMeta()},
		Chunk:    &quorumpb.SnapshotChunk{Offset: nextOffset, Size: m.GetChunk().GetSize()},
	})
}
