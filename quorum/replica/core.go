package replica

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/go-faster/errors"
)

// maxItemsPerEvent bounds how many queued items of one kind the core takes up before it
// looks at the others, so that none of them starves.
const maxItemsPerEvent = 256

// eventLoop is the state of the eventLoop's goroutine.
type eventLoop struct {
	r *Replica
	// pendingProposals requests wait for their entry to be applied, by index.
	pendingProposals map[uint64]*request
	// pendingReads wait for their confirmation, by ID; confirmed ones for the state
	// machine.
	pendingReads     map[uint64]*request
	lastReadID       uint64
	confirmedReads   []*request
	pendingTransfers []*request

	// Jobs that wait for their duty. Each is bounded by what the Node lets run
	// at once: one batch, one apply, one snapshot for each peer.
	journalJobs  []journalJob
	applyJobs    []applyJob
	snapshotJobs []snapshotJob

	appliedIndex uint64
	// Entries and bytes applied since the newest snapshot.
	entriesSinceSnapshot, bytesSinceSnapshot int
	snapshotInProgress                       bool

	// unreportedChanges to report.
	unreportedChanges []quorum.StateChange

	outgoingSnapshots map[quorum.ID]*outgoingSnapshot
	incoming          *incomingSnapshot
}

func newEventLoop(r *Replica) eventLoop {
	return eventLoop{
		r:                 r,
		pendingProposals:  map[uint64]*request{},
		pendingReads:      map[uint64]*request{},
		appliedIndex:      r.node.Status().Applied,
		outgoingSnapshots: map[quorum.ID]*outgoingSnapshot{},
	}
}

// runEventLoop is the core's duty.
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
		case m := <-r.inbox:
			event = func() error { return handleQueued(r.inbox, m, l.handleMessage) }
		case q := <-r.proposals:
			event = func() error { return handleQueued(r.proposals, q, l.handleProposal) }
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

// queueHead returns a channel to send the first job to; nil, which a select
// never takes, where there is none.
func queueHead[J any](to chan J, jobs []J) (chan<- J, J) {
	if len(jobs) == 0 {
		var none J
		return nil, none
	}
	return to, jobs[0]
}

// handleQueued handles first and what else is queued behind it, up to a bound. The
// Node then puts all of it into one batch.
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

// step handles one event and then does what the Node wants done.
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

func (l *eventLoop) handleTick() error {
	l.r.node.Tick()
	l.resendOverdueChunks()
	l.refuseAbandonedTransfers()
	return nil
}

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

func (l *eventLoop) handleProposal(q *request) error {
	if !q.claim() {
		return nil
	}
	position, err := l.r.node.Propose(q.data)
	l.trackProposal(q, position, err)
	return nil
}

// trackProposal waits for the entry of q, or refuses q.
func (l *eventLoop) trackProposal(q *request, position quorum.Position, err error) {
	if err != nil {
		q.finish(Applied{}, l.r.counters.countRefusal(err))
		return
	}
	q.position = position
	l.pendingProposals[position.Index] = q
}

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

// refuseAbandonedTransfers refuses transfers that the Node has given up.
func (l *eventLoop) refuseAbandonedTransfers() {
	if len(l.pendingTransfers) == 0 || l.r.node.Status().Transferee != quorum.NoID {
		return
	}
	for _, q := range l.pendingTransfers {
		q.finish(Applied{}, l.r.counters.countRefusal(quorum.ErrTransferring))
	}
	l.pendingTransfers = nil
}

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

// finishAppliedReads answers the confirmed reads that the state machine has reached.
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

// handleStateChange takes up a change of role, term or leader.
func (l *eventLoop) handleStateChange(s quorum.StateChange) {
	l.r.counters.leaderChanges.Add(1)
	if s.Role != quorum.RoleLeader {
		l.handleLeadershipLoss()
	}
	l.unreportedChanges = append(l.unreportedChanges, s)
}

// reportChanges calls Config.OnChange, after the lock is free, so that it can
// ask for the Status.
func (l *eventLoop) reportChanges() {
	for _, s := range l.unreportedChanges {
		if l.r.cfg.OnChange != nil {
			l.r.cfg.OnChange(s)
		}
	}
	l.unreportedChanges = l.unreportedChanges[:0]
}

// handleLeadershipLoss answers what this replica can no longer bring to an end. A
// proposal that is committed already is left to be applied; any other may be
// committed by the next leader or overwritten, and nobody here can know.
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

func (l *eventLoop) failProposal(q *request, cause error) {
	delete(l.pendingProposals, q.position.Index)
	q.finish(Applied{}, &UnknownOutcomeError{Cause: cause})
}

// failAllRequests answers everything at the end of the replica.
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

// send hands messages to the transport, one call for each receiver. The
// snapshots among them get their data first.
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
