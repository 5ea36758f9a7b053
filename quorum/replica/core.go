package replica

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/go-faster/errors"
)

// maxDrain bounds how many queued items of one kind the core takes up before it
// looks at the others, so that none of them starves.
const maxDrain = 256

// core is the state of the core's goroutine.
type core struct {
	r *Replica
	// proposed requests wait for their entry to be applied, by index.
	proposed map[uint64]*request
	// reads wait for their confirmation, by ID; confirmed ones for the state
	// machine.
	reads     map[uint64]*request
	nextRead  uint64
	confirmed []*request
	transfers []*request

	// Jobs that wait for their duty. Each is bounded by what the Node lets run
	// at once: one batch, one apply, one snapshot for each peer.
	journalJobs  []journalJob
	applyJobs    []applyJob
	snapshotJobs []snapshotJob

	applied uint64
	// Entries and bytes applied since the newest snapshot.
	sinceEntries, sinceBytes int
	snapshotting             bool

	// changes to report.
	changes []quorum.StateChange

	outgoing map[quorum.ID]*outgoingSnapshot
	incoming *incomingSnapshot
}

func newCore(r *Replica) core {
	return core{
		r:        r,
		proposed: map[uint64]*request{},
		reads:    map[uint64]*request{},
		applied:  r.node.Status().Applied,
		outgoing: map[quorum.ID]*outgoingSnapshot{},
	}
}

// runCore is the core's duty.
func (r *Replica) runCore(ctx context.Context) error {
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	c := &r.core
	for {
		journal, journalJob := queueHead(r.toJournal, c.journalJobs)
		apply, applyJob := queueHead(r.toApply, c.applyJobs)
		snapshot, snapshotJob := queueHead(r.toSnapshot, c.snapshotJobs)
		var event func() error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case journal <- journalJob:
			c.journalJobs = c.journalJobs[1:]
			continue
		case apply <- applyJob:
			c.applyJobs = c.applyJobs[1:]
			continue
		case snapshot <- snapshotJob:
			c.snapshotJobs = c.snapshotJobs[1:]
			continue
		case <-ticker.C:
			event = c.tick
		case m := <-r.inbox:
			event = func() error { return drain(r.inbox, m, c.deliver) }
		case q := <-r.proposals:
			event = func() error { return drain(r.proposals, q, c.propose) }
		case q := <-r.reads:
			event = func() error { return drain(r.reads, q, c.read) }
		case q := <-r.commands:
			event = func() error { return c.command(q) }
		case d := <-r.fromJournal:
			event = func() error { return c.persisted(d) }
		case d := <-r.fromApply:
			event = func() error { return c.appliedDone(d) }
		case d := <-r.fromSnaps:
			event = func() error { return c.snapshotDone(d) }
		}
		if err := c.step(event); err != nil {
			return err
		}
		c.reportChanges()
	}
}

// queueHead returns a channel to send the first job to; nil, which a select
// never takes, where there is none.
func queueHead[J any](to chan J, jobs []J) (chan<- J, J) {
	if len(jobs) == 0 {
		var none J
		return nil, none
	}
	return to, jobs[0]
}

// drain handles first and what else is queued behind it, up to a bound. The
// Node then puts all of it into one batch.
func drain[T any](queue <-chan T, first T, handle func(T) error) error {
	if err := handle(first); err != nil {
		return err
	}
	for range maxDrain - 1 {
		select {
		case item := <-queue:
			if err := handle(item); err != nil {
				return err
			}
		default:
			return nil
		}
	}
	return nil
}

// step handles one event and then does what the Node wants done.
func (c *core) step(event func() error) error {
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	if err := event(); err != nil {
		return err
	}
	for {
		batch, ok := c.r.node.Ready()
		if !ok {
			return nil
		}
		c.handle(batch)
	}
}

func (c *core) handle(b quorum.Batch) {
	c.send(b.Early)
	if b.Change != nil {
		c.changed(*b.Change)
	}
	for _, s := range b.Reads {
		c.readDone(s)
	}
	if len(b.Committed) > 0 {
		c.r.counts.committed.Add(uint64(len(b.Committed)))
		c.applyJobs = append(c.applyJobs, applyJob{entries: b.Committed})
	}
	if b.MustPersist() {
		c.journalJobs = append(c.journalJobs, journalJob{batch: b})
		return
	}
	c.send(b.Messages)
	c.r.node.Advance(b)
}

func (c *core) tick() error {
	c.r.node.Tick()
	c.retrySnapshots()
	c.checkTransfers()
	return nil
}

func (c *core) deliver(m *quorumpb.Message) error {
	handled, m := c.snapshotMessage(m)
	if handled {
		return nil
	}
	err := c.r.node.Step(m)
	switch {
	case errors.Is(err, quorum.ErrMisaddressed):
		c.r.counts.messagesMisaddressed.Add(1)
	case errors.Is(err, quorum.ErrMalformed):
		c.r.counts.messagesMalformed.Add(1)
	default:
		return err
	}
	return nil
}

func (c *core) propose(q *request) error {
	if !q.take() {
		return nil
	}
	position, err := c.r.node.Propose(q.data)
	c.track(q, position, err)
	return nil
}

// track waits for the entry of q, or refuses q.
func (c *core) track(q *request, position quorum.Position, err error) {
	if err != nil {
		q.finish(Applied{}, c.r.counts.refuse(err))
		return
	}
	q.position = position
	c.proposed[position.Index] = q
}

func (c *core) command(q *request) error {
	if !q.take() {
		return nil
	}
	if q.change != nil {
		position, err := c.r.node.ProposeMembership(*q.change)
		c.track(q, position, err)
		return nil
	}
	if err := c.r.node.TransferLeader(q.target); err != nil {
		q.finish(Applied{}, c.r.counts.refuse(err))
		return nil
	}
	c.transfers = append(c.transfers, q)
	return nil
}

// checkTransfers refuses transfers that the Node has given up.
func (c *core) checkTransfers() {
	if len(c.transfers) == 0 || c.r.node.Status().Transferee != quorum.NoID {
		return
	}
	for _, q := range c.transfers {
		q.finish(Applied{}, c.r.counts.refuse(quorum.ErrTransferring))
	}
	c.transfers = nil
}

func (c *core) read(q *request) error {
	if !q.take() {
		return nil
	}
	c.nextRead++
	if err := c.r.node.ReadIndex(c.nextRead); err != nil {
		q.finish(Applied{}, c.r.counts.refuse(err))
		return nil
	}
	c.reads[c.nextRead] = q
	return nil
}

func (c *core) readDone(s quorum.ReadState) {
	q := c.reads[s.ID]
	delete(c.reads, s.ID)
	switch {
	case s.Lost:
		q.finish(Applied{}, ErrLeadershipLost)
	case s.Index <= c.applied:
		q.finish(Applied{Index: s.Index}, nil)
	default:
		q.index = s.Index
		c.confirmed = append(c.confirmed, q)
	}
}

// finishReads answers the confirmed reads that the state machine has reached.
func (c *core) finishReads() {
	waiting := c.confirmed[:0]
	for _, q := range c.confirmed {
		if q.index > c.applied {
			waiting = append(waiting, q)
			continue
		}
		q.finish(Applied{Index: q.index}, nil)
	}
	clear(c.confirmed[len(waiting):])
	c.confirmed = waiting
}

// changed takes up a change of role, term or leader.
func (c *core) changed(s quorum.StateChange) {
	c.r.counts.leaderChanges.Add(1)
	if s.Role != quorum.RoleLeader {
		c.loseLeadership()
	}
	c.changes = append(c.changes, s)
}

// reportChanges calls Config.OnChange, after the lock is free, so that it can
// ask for the Status.
func (c *core) reportChanges() {
	for _, s := range c.changes {
		if c.r.cfg.OnChange != nil {
			c.r.cfg.OnChange(s)
		}
	}
	c.changes = c.changes[:0]
}

// loseLeadership answers what this replica can no longer bring to an end. A
// proposal that is committed already is left to be applied; any other may be
// committed by the next leader or overwritten, and nobody here can know.
func (c *core) loseLeadership() {
	commit := c.r.node.Status().Commit
	for index, q := range c.proposed {
		if index > commit {
			c.loseProposal(q, ErrLeadershipLost)
		}
	}
	for _, q := range c.transfers {
		q.finish(Applied{}, nil)
	}
	c.transfers = nil
	clear(c.outgoing)
}

func (c *core) loseProposal(q *request, cause error) {
	delete(c.proposed, q.position.Index)
	q.finish(Applied{}, &UnknownOutcomeError{Cause: cause})
}

// loseAll answers everything at the end of the replica.
func (c *core) loseAll(cause error) {
	for _, q := range c.proposed {
		c.loseProposal(q, cause)
	}
	for id, q := range c.reads {
		delete(c.reads, id)
		q.finish(Applied{}, cause)
	}
	for _, q := range c.confirmed {
		q.finish(Applied{}, cause)
	}
	for _, q := range c.transfers {
		q.finish(Applied{}, cause)
	}
	c.confirmed, c.transfers = nil, nil
}

// send hands messages to the transport, one call for each receiver. The
// snapshots among them get their data first.
func (c *core) send(messages []*quorumpb.Message) {
	var order []quorum.ID
	byReceiver := map[quorum.ID][]*quorumpb.Message{}
	for _, m := range messages {
		to := quorum.ID(m.GetTo())
		if m.GetType() == quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT {
			c.startSnapshot(to, m)
			continue
		}
		if byReceiver[to] == nil {
			order = append(order, to)
		}
		byReceiver[to] = append(byReceiver[to], m)
	}
	if c.r.cfg.Transport == nil {
		return
	}
	for _, to := range order {
		c.r.cfg.Transport.Send(to, byReceiver[to])
	}
}
