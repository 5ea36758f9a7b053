package quorum

// ReadState is the result of a ReadIndex.
type ReadState struct {
	// ID is the ID that was passed to ReadIndex.
	ID uint64
	// Index is the index that the state machine must have applied before the
	// read.
	Index uint64
	// Lost is true if leadership ended before the read was confirmed; Index is
	// then 0.
	Lost bool
}

// readQueue holds the reads that are not confirmed by a quorum yet.
type readQueue struct {
	// waiting holds the IDs of reads that no round includes yet, running those
	// of the current round.
	waiting, running []uint64
	// round is the number of the newest round, index is the commit index when
	// it started.
	round, index uint64
}

// ReadIndex requests an index for a linearizable read: a state machine that has
// applied it reflects every write completed before the call (thesis 6.4). The
// result is returned as a ReadState with the given id in a later Batch. It
// returns a *RefusedError with ReasonNotLeader or ReasonTooManyReads.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != RoleLeader {
		return &RefusedError{Reason: ReasonNotLeader, Leader: n.leader}
	}
	if len(n.reads.waiting)+len(n.reads.running) >= n.cfg.MaxReads {
		return ErrTooManyReads
	}
	n.reads.waiting = append(n.reads.waiting, id)
	return nil
}

// startReadRound assigns the waiting reads to a round of heartbeats. One round
// runs at a time, so that many reads share its messages.
func (n *Node) startReadRound() {
	q := &n.reads
	if len(q.waiting) == 0 || len(q.running) > 0 || !n.committedInTerm() {
		// Until an entry of the current term is committed, the commit index may
		// be lower than what an earlier leader acknowledged.
		return
	}
	q.running, q.waiting = q.waiting, nil
	q.round++
	q.index = n.log.commit
	n.sendHeartbeats()
	n.confirmReads()
}

// confirmReads completes the reads of the current round once a quorum has
// replied to its heartbeats. The replies prove that no later leader had been
// elected when the round started.
func (n *Node) confirmReads() {
	q := &n.reads
	if len(q.running) == 0 {
		return
	}
	confirmed := hasQuorum(n.membership(), func(id ID) bool {
		return id == n.cfg.ID || n.peer(id).readRound >= q.round
	})
	if !confirmed {
		return
	}
	for _, id := range q.running {
		n.readStates = append(n.readStates, ReadState{ID: id, Index: q.index})
	}
	q.running = nil
}

// failReads returns all unconfirmed reads as lost.
func (n *Node) failReads() {
	for _, id := range n.reads.running {
		n.readStates = append(n.readStates, ReadState{ID: id, Lost: true})
	}
	for _, id := range n.reads.waiting {
		n.readStates = append(n.readStates, ReadState{ID: id, Lost: true})
	}
}
