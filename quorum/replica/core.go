package replica

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/go-faster/errors"
)

// maxItemsPerEvent is the maximum number of queued items of one kind that the
// event loop handles before it checks the other queues, so that a busy queue
// cannot starve the others.
const maxItemsPerEvent = 256

// eventLoop is the state of the event loop. Only its goroutine uses it.
type eventLoop struct {
	r *Replica
	// pendingProposals are the proposals whose entry is in the log but not yet
	// applied, by index.
	pendingProposals map[uint64]*request
	// pendingReads are the reads that wait for the confirmation of a quorum, by
	// ID. confirmedReads wait for the state machine to reach their index.
	pendingReads     map[uint64]*request
	lastReadID       uint64
	confirmedReads   []*request
	pendingTransfers []*request

	// Jobs that wait for the goroutine that executes them. The Node bounds
	// their number: it allows one batch, one apply and one snapshot for each
	// peer at a time.
	journalJobs  []journalJob
	applyJobs    []applyJob
	snapshotJobs []snapshotJob

	appliedIndex uint64
	// Number and size in bytes of the entries applied since the last snapshot.
	entriesSinceSnapshot, bytesSinceSnapshot int
	snapshotInProgress                       bool

	// unreportedChanges are the changes that Config.OnChange has not received
	// yet.
	unreportedChanges []quorum.StateChange

	outgoingSnapshots map[quorum.ID]*outgoingSnapshot
	incoming          *incomingSnapshot
}

// newEventLoop returns the event loop of a replica whose Node is set.
func newEventLoop(r *Replica) eventLoop {
	return eventLoop{
		r:                 r,
		pendingProposals:  map[uint64]*request{},
		pendingReads:      map[uint64]*request{},
		appliedIndex:      r.node.Status().Applied,
		outgoingSnapshots: map[quorum.ID]*outgoingSnapshot{},
	}
}

// runEventLoop runs the event loop until ctx ends or an event fails.
func (r *Replica) runEventLoop(ctx context.Context) error {
	ticker := time.NewTicker(r.cfg.TickInterval)
	defer ticker.Stop()
	l := &r.loop
	for {
		journal, journalJob := queueHead(r.toJournal, l.journalJobs)
		apply, applyJob := queueHead(r.toApply, l.applyJobs)
		snapshot, snapshotJob := queueHead(r.toSnapshot, l.snapshotJobs)
		var event func() error
		select {
		case <-ctx.Done():
			return ctx.Err()
		case journal <- journalJob:
			l.journalJobs = l.journalJobs[1:]
			continue
		case apply <- applyJob:
			l.applyJobs = l.applyJobs[1:]
			continue
		case snapshot <- snapshotJob:
			l.snapshotJobs = l.snapshotJobs[1:]
			continue
		case <-ticker.C:
			event = l.handleTick
		case m := <-r.messages:
			event = func() error { return handleQueued(r.messages, m, l.handleMessage) }
		case q := <-r.proposals:
			event = func() error { return handleQueued(r.proposals, q, l.handleProposals) }
		case q := <-r.reads:
			event = func() error { return handleQueued(r.reads, q, l.handleRead) }
		case q := <-r.commands:
			event = func() error { return l.handleCommand(q) }
		case d := <-r.fromJournal:
			event = func() error { return l.handlePersisted(d) }
		case d := <-r.fromApply:
			event = func() error { return l.handleApplied(d) }
		case d := <-r.fromSnapshot:
			event = func() error { return l.handleSnapshotDone(d) }
		}
		if err := l.step(event); err != nil {
			return err
		}
		l.reportChanges()
	}
}

// queueHead returns the channel and the first job to send to it. Without a job
// the channel is nil, so that a select never chooses it.
func queueHead[J any](to chan J, jobs []J) (chan<- J, J) {
	if len(jobs) == 0 {
		var none J
		return nil, none
	}
	return to, jobs[0]
}

// handleQueued handles first and the items queued behind it, at most
// maxItemsPerEvent in total. The Node then combines their effects into one
// batch.
func handleQueued[T any](queue <-chan T, first T, handle func(T) error) error {
	if err := handle(first); err != nil {
		return err
	}
	for range maxItemsPerEvent - 1 {
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

// step handles one event and then all batches that the Node has ready.
func (l *eventLoop) step(event func() error) error {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	if err := event(); err != nil {
		return err
	}
	for {
		batch, ok := l.r.node.Ready()
		if !ok {
			return nil
		}
		l.handleBatch(batch)
	}
}

// handleBatch sends the messages of a batch, reports its results and queues its
// entries for the journal and the state machine. The messages that depend on
// the entries being durable are sent after the journal has written them.
func (l *eventLoop) handleBatch(b quorum.Batch) {
	l.send(b.Early)
	if b.Change != nil {
		l.handleStateChange(*b.Change)
	}
	for _, s := range b.Reads {
		l.handleReadState(s)
	}
	if len(b.Committed) > 0 {
		l.r.counters.committed.Add(uint64(len(b.Committed)))
		l.applyJobs = append(l.applyJobs, applyJob{entries: b.Committed})
	}
	if b.MustPersist() {
		l.journalJobs = append(l.journalJobs, journalJob{batch: b})
		return
	}
	l.send(b.Messages)
	l.r.node.Advance(b)
}

// handleTick advances the Node by one tick, resends overdue snapshot chunks and
// refuses abandoned transfers.
func (l *eventLoop) handleTick() error {
	l.r.node.Tick()
	l.resendOverdueChunks()
	l.refuseAbandonedTransfers()
	return nil
}

// handleMessage handles a received message. Misaddressed and malformed messages
// are counted and dropped; any other error is returned.
func (l *eventLoop) handleMessage(m *quorumpb.Message) error {
	handled, m := l.handleSnapshotMessage(m)
	if handled {
		return nil
	}
	err := l.r.node.Step(m)
	switch {
	case errors.Is(err, quorum.ErrMisaddressed):
		l.r.counters.messagesMisaddressed.Add(1)
	case errors.Is(err, quorum.ErrMalformed):
		l.r.counters.messagesMalformed.Add(1)
	default:
		return err
	}
	return nil
}

// handleProposals proposes the data of requests that were submitted together,
// except those that their callers have canceled.
func (l *eventLoop) handleProposals(requests []*request) error {
	for _, q := range requests {
		if q.claim() {
			position, err := l.r.node.Propose(q.data)
			l.trackProposal(q, position, err)
		}
	}
	return nil
}

// trackProposal registers q until its entry at position is applied. If err is
// not nil, it refuses q with it.
func (l *eventLoop) trackProposal(q *request, position quorum.Position, err error) {
	if err != nil {
		q.finish(Applied{}, l.r.counters.countRefusal(err))
		return
	}
	q.position = position
	l.pendingProposals[position.Index] = q
}

// handleCommand starts a membership change or a leadership transfer, unless the
// caller has canceled it.
func (l *eventLoop) handleCommand(q *request) error {
	if !q.claim() {
		return nil
	}
	if q.change != nil {
		position, err := l.r.node.ProposeMembership(*q.change)
		l.trackProposal(q, position, err)
		return nil
	}
	if err := l.r.node.TransferLeader(q.target); err != nil {
		q.finish(Applied{}, l.r.counters.countRefusal(err))
		return nil
	}
	l.pendingTransfers = append(l.pendingTransfers, q)
	return nil
}

// refuseAbandonedTransfers refuses the pending transfers once the Node has
// aborted the transfer.
func (l *eventLoop) refuseAbandonedTransfers() {
	if len(l.pendingTransfers) == 0 || l.r.node.Status().Transferee != quorum.NoID {
		return
	}
	for _, q := range l.pendingTransfers {
		q.finish(Applied{}, l.r.counters.countRefusal(quorum.ErrTransferring))
	}
	l.pendingTransfers = nil
}

// handleRead asks the Node for a read index, unless the caller has canceled the
// read.
func (l *eventLoop) handleRead(q *request) error {
	if !q.claim() {
		return nil
	}
	l.lastReadID++
	if err := l.r.node.ReadIndex(l.lastReadID); err != nil {
		q.finish(Applied{}, l.r.counters.countRefusal(err))
		return nil
	}
	l.pendingReads[l.lastReadID] = q
	return nil
}

// handleReadState finishes a read that the Node has confirmed, or has dropped
// after the loss of leadership. A confirmed read whose index is not yet applied
// waits in confirmedReads.
func (l *eventLoop) handleReadState(s quorum.ReadState) {
	q := l.pendingReads[s.ID]
	delete(l.pendingReads, s.ID)
	switch {
	case s.Lost:
		q.finish(Applied{}, ErrLeadershipLost)
	case s.Index <= l.appliedIndex:
		q.finish(Applied{Index: s.Index}, nil)
	default:
		q.index = s.Index
		l.confirmedReads = append(l.confirmedReads, q)
	}
}

// finishAppliedReads finishes the confirmed reads whose index is applied.
func (l *eventLoop) finishAppliedReads() {
	waiting := l.confirmedReads[:0]
	for _, q := range l.confirmedReads {
		if q.index > l.appliedIndex {
			waiting = append(waiting, q)
			continue
		}
		q.finish(Applied{Index: q.index}, nil)
	}
	clear(l.confirmedReads[len(waiting):])
	l.confirmedReads = waiting
}

// handleStateChange handles a change of role, term or leader.
func (l *eventLoop) handleStateChange(s quorum.StateChange) {
	l.r.counters.leaderChanges.Add(1)
	if s.Role != quorum.RoleLeader {
		l.handleLeadershipLoss()
	}
	l.unreportedChanges = append(l.unreportedChanges, s)
}

// reportChanges calls Config.OnChange for each unreported change. It must be
// called without r.mu, because OnChange may call Status.
func (l *eventLoop) reportChanges() {
	for _, s := range l.unreportedChanges {
		if l.r.cfg.OnChange != nil {
			l.r.cfg.OnChange(s)
		}
	}
	l.unreportedChanges = l.unreportedChanges[:0]
}

// handleLeadershipLoss finishes the requests that depend on leadership. A
// committed proposal remains pending until it is applied. Any other proposal may
// be committed by the next leader or overwritten, so its outcome is unknown.
// Transfers have succeeded, and outgoing snapshots are abandoned.
func (l *eventLoop) handleLeadershipLoss() {
	commit := l.r.node.Status().Commit
	for index, q := range l.pendingProposals {
		if index > commit {
			l.failProposal(q, ErrLeadershipLost)
		}
	}
	for _, q := range l.pendingTransfers {
		q.finish(Applied{}, nil)
	}
	l.pendingTransfers = nil
	clear(l.outgoingSnapshots)
}

// failProposal finishes q with an UnknownOutcomeError.
func (l *eventLoop) failProposal(q *request, cause error) {
	delete(l.pendingProposals, q.position.Index)
	q.finish(Applied{}, &UnknownOutcomeError{Cause: cause})
}

// failAllRequests finishes all requests that the event loop holds with cause,
// and proposals with an UnknownOutcomeError, when the replica stops.
func (l *eventLoop) failAllRequests(cause error) {
	for _, q := range l.pendingProposals {
		l.failProposal(q, cause)
	}
	for id, q := range l.pendingReads {
		delete(l.pendingReads, id)
		q.finish(Applied{}, cause)
	}
	for _, q := range l.confirmedReads {
		q.finish(Applied{}, cause)
	}
	for _, q := range l.pendingTransfers {
		q.finish(Applied{}, cause)
	}
	l.confirmedReads, l.pendingTransfers = nil, nil
}

// send passes messages to the transport, in one call for each receiver. For a
// snapshot message it first starts reading the snapshot's data.
func (l *eventLoop) send(messages []*quorumpb.Message) {
	var order []quorum.ID
	byReceiver := map[quorum.ID][]*quorumpb.Message{}
	for _, m := range messages {
		to := quorum.ID(m.GetTo())
		if m.GetType() == quorumpb.MessageType_MESSAGE_TYPE_SNAPSHOT {
			l.startSending(to, m)
			continue
		}
		if byReceiver[to] == nil {
			order = append(order, to)
		}
		byReceiver[to] = append(byReceiver[to], m)
	}
	if l.r.cfg.Transport == nil {
		return
	}
	for _, to := range order {
		l.r.cfg.Transport.Send(to, byReceiver[to])
	}
}
