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
			case r.fromSnaps <- done:
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
}

// snapshotDone takes up a snapshot that was saved or read.
func (c *core) snapshotDone(d snapshotDone) error {
	if s := d.job.save; s != nil {
		c.snapshotting = false
		c.r.counts.snapshotsTaken.Add(1)
		c.r.node.Compact(s.GetMeta(), c.r.cfg.KeepEntries)
		c.journalJobs = append(c.journalJobs, journalJob{release: s.GetMeta().GetIndex()})
		return nil
	}
	to := quorum.ID(d.job.message.GetTo())
	if s := c.r.node.Status(); s.Role != quorum.RoleLeader || s.Term != d.job.message.GetTerm() {
		// Leadership ended while the snapshot was read.
		return nil
	}
	if d.read == nil {
		c.r.node.SnapshotFailed(to)
		return nil
	}
	out := &outgoingSnapshot{message: d.job.message, snapshot: d.read}
	c.outgoing[to] = out
	c.sendPart(out)
	return nil
}

// startSnapshot answers the Node's wish to send a snapshot.
func (c *core) startSnapshot(to quorum.ID, m *quorumpb.Message) {
	delete(c.outgoing, to)
	c.snapshotJobs = append(c.snapshotJobs, snapshotJob{message: m})
}

func (c *core) sendPart(out *outgoingSnapshot) {
	out.idleTicks = 0
	data := out.snapshot.GetData()
	end := min(out.offset+uint64(c.r.cfg.MaxBatchBytes), uint64(len(data)))
	c.sendOwn(&quorumpb.Message{
		Type:     quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT,
		From:     out.message.GetFrom(),
		To:       out.message.GetTo(),
		Group:    out.message.GetGroup(),
		Term:     out.message.GetTerm(),
		Snapshot: &quorumpb.Snapshot{Meta: out.snapshot.GetMeta(), Data: data[out.offset:end]},
		Chunk:    &quorumpb.SnapshotChunk{Offset: out.offset, Size: uint64(len(data))},
	})
}

// sendOwn hands over a message that belongs to the driver alone.
func (c *core) sendOwn(m *quorumpb.Message) {
	if c.r.cfg.Transport != nil {
		c.r.cfg.Transport.Send(quorum.ID(m.GetTo()), []*quorumpb.Message{m})
	}
}

// retrySnapshots repeats a part that got no answer: it or its answer was lost.
func (c *core) retrySnapshots() {
	var due []*outgoingSnapshot
	for _, out := range c.outgoing {
		out.idleTicks++
		if out.idleTicks >= c.r.cfg.ElectionTicks/2 {
			due = append(due, out)
		}
	}
	for _, out := range due {
		c.sendPart(out)
	}
}

// snapshotMessage handles the parts of snapshots and their answers. What is
// left for the Node, a whole snapshot among it, is returned.
func (c *core) snapshotMessage(m *quorumpb.Message) (handled bool, rest *quorumpb.Message) {
	if quorum.ID(m.GetTo()) != c.r.id {
		return false, m
	}
	switch m.GetType() {
	case quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT:
		return c.receivePart(m)
	case quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT_REPLY:
		c.partAcknowledged(m)
		return true, nil
	default:
		return false, m
	}
}

func (c *core) partAcknowledged(m *quorumpb.Message) {
	from := quorum.ID(m.GetFrom())
	out := c.outgoing[from]
	if out == nil || out.message.GetTerm() != m.GetTerm() ||
		out.snapshot.GetMeta().GetIndex() != m.GetSnapshot().GetMeta().GetIndex() {
		return
	}
	wanted := m.GetChunk().GetOffset()
	if wanted > uint64(len(out.snapshot.GetData())) || wanted < out.offset {
		// An old answer.
		return
	}
	c.r.node.SnapshotProgress(from)
	if wanted == uint64(len(out.snapshot.GetData())) {
		delete(c.outgoing, from)
		return
	}
	if wanted > out.offset {
		out.offset = wanted
		c.sendPart(out)
	}
}

// receivePart collects a part. Parts are taken in order only; the answer says
// which is wanted next.
func (c *core) receivePart(m *quorumpb.Message) (handled bool, whole *quorumpb.Message) {
	chunk := m.GetChunk()
	data := m.GetSnapshot().GetData()
	if chunk.GetSize() > uint64(c.r.cfg.MaxSnapshotBytes) || m.GetSnapshot().GetMeta() == nil {
		c.r.counts.messagesMalformed.Add(1)
		return true, nil
	}
	in := c.incoming
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
		c.incoming = in
	}
	have := uint64(len(in.data))
	if chunk.GetOffset() == have && have+uint64(len(data)) <= in.size {
		in.data = append(in.data, data...)
	}
	c.acknowledgePart(m, uint64(len(in.data)))
	if uint64(len(in.data)) < in.size {
		return true, nil
	}
	c.incoming = nil
	whole = proto.CloneOf(m)
	whole.Snapshot = &quorumpb.Snapshot{Meta: in.meta, Data: slices.Clip(in.data)}
	whole.Chunk = nil
	return false, whole
}

func (c *core) acknowledgePart(m *quorumpb.Message, wanted uint64) {
	c.sendOwn(&quorumpb.Message{
		Type:     quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT_REPLY,
		From:     m.GetTo(),
		To:       m.GetFrom(),
		Group:    m.GetGroup(),
		Term:     m.GetTerm(),
		Snapshot: &quorumpb.Snapshot{Meta: m.GetSnapshot().GetMeta()},
		Chunk:    &quorumpb.SnapshotChunk{Offset: wanted, Size: m.GetChunk().GetSize()},
	})
}
