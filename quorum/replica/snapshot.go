package replica

import (
	"context"
	"slices"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"google.golang.org/protobuf/proto"
)

// snapshotJob is a job for runSnapshots: to save a snapshot if save is set, and
// otherwise to read the newest one for the receiver of message.
type snapshotJob struct {
	save    *quorumpb.Snapshot
	message *quorumpb.Message
}

// snapshotDone reports a finished snapshotJob. read is the snapshot that was
// read, or nil if there is none.
type snapshotDone struct {
	job  snapshotJob
	read *quorumpb.Snapshot
}

// outgoingSnapshot is a snapshot that is being sent to a follower in chunks. A
// chunk is sent only after the one before was acknowledged, so that a snapshot
// cannot fill the transport's queues.
type outgoingSnapshot struct {
	message  *quorumpb.Message
	snapshot *quorumpb.Snapshot
	offset   uint64
	// idleTicks is the number of ticks since the last chunk was sent.
	idleTicks int
}

// incomingSnapshot is a snapshot that is being received from a leader.
type incomingSnapshot struct {
	from string
	term uint64
	meta *quorumpb.SnapshotMeta
	size uint64
	data []byte
}

// runSnapshots executes snapshot jobs until ctx ends. An error stops the
// replica.
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

// handleSnapshotDone compacts the log after a snapshot was saved, or starts to
// send a snapshot that was read.
func (l *eventLoop) handleSnapshotDone(d snapshotDone) error {
	if s := d.job.save; s != nil {
		l.snapshotInProgress = false
		l.r.counters.snapshotsTaken.Add(1)
		l.r.node.Compact(s.GetMeta(), l.r.cfg.KeepEntries, l.r.cfg.KeepBytes)
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

// startSending queues the reading of a snapshot that the Node wants to send with
// m. It replaces an earlier snapshot for the same follower.
func (l *eventLoop) startSending(to quorum.ID, m *quorumpb.Message) {
	delete(l.outgoingSnapshots, to)
	l.snapshotJobs = append(l.snapshotJobs, snapshotJob{message: m})
}

// sendChunk sends the chunk at the current offset, at most MaxBatchBytes long.
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

// sendMessage passes a message that does not come from the Node to the
// transport.
func (l *eventLoop) sendMessage(m *quorumpb.Message) {
	if l.r.cfg.Transport != nil {
		l.r.cfg.Transport.Send(quorum.ID(m.GetTo()), []*quorumpb.Message{m})
	}
}

// resendOverdueChunks sends a chunk again if it was not acknowledged within half
// an election timeout, because the chunk or its acknowledgement may be lost.
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

// handleSnapshotMessage handles snapshot chunks and their acknowledgements. If
// handled is false, the caller passes remaining to the Node: m itself, or a
// message with the complete snapshot.
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

// handleChunkAck sends the chunk that the follower asks for next, or ends the
// transfer if the follower has the complete snapshot.
func (l *eventLoop) handleChunkAck(m *quorumpb.Message) {
	from := quorum.ID(m.GetFrom())
	out := l.outgoingSnapshots[from]
	if out == nil || out.message.GetTerm() != m.GetTerm() ||
		out.snapshot.GetMeta().GetIndex() != m.GetSnapshot().GetMeta().GetIndex() {
		return
	}
	nextOffset := m.GetChunk().GetOffset()
	if nextOffset > uint64(len(out.snapshot.GetData())) || nextOffset < out.offset {
		// The acknowledgement is stale or not valid.
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

// receiveChunk appends a chunk to the incoming snapshot. It accepts chunks only
// in order and acknowledges each one with the offset expected next. Once the
// snapshot is complete, handled is false and complete holds it.
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
			// The first chunks were sent before this replica was restarted, or
			// belong to another snapshot.
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

// acknowledgeChunk answers the chunk m with the offset expected next.
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
