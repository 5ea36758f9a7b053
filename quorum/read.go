package quorum

// ReadState is the outcome of a ReadIndex.
type ReadState struct {
	// ID given to ReadIndex.
	ID uint64
	// Index that the state machine must have applied before it is read.
	Index uint64
	// Lost is true where leadership ended before the read was confirmed; Index
	// is then 0.
	Lost bool
}

// readQueue holds reads that wait for a quorum's confirmation.
type readQueue struct {
	// waiting have no round yet, running belong to round.
	waiting, running []uint64
	// round is the number of the newest round, index the commit index at its
	// start.
	round, index uint64
}

// ReadIndex asks for an index such that a state machine that has applied it
// reflects every write completed before the call (thesis 6.4). The answer
// comes as a ReadState of a later Batch. It returns a *RefusedError with the
// reasons ReasonNotLeader or ReasonTooManyReads.
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

// startReadRound puts the waiting reads into a round of heartbeats. One round
// runs at a time, so that many reads share its messages.
func (n *Node) startReadRound() {
	q := &n.reads
	if len(q.waiting) == 0 || len(q.running) > 0 || !n.committedInTerm() {
		// Before an entry of the own term is committed the commit index may
		// lag behind what an earlier leader acknowledged.
		return
	}
	q.running, q.waiting = q.waiting, nil
	q.round++
	q.index = n.log.commit
	n.sendHeartbeats()
	n.confirmReads()
}

// confirmReads answers the running round once a quorum has answered its
// heartbeats, which proves that no later leader had been elected when the
// round began.
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

func (n *Node) failReads() {
	for _, id := range n.reads.running {
		n.readStates = append(n.readStates, ReadState{ID: id, Lost: true})
	}
	for _, id := range n.reads.waiting {
		n.readStates = append(n.readStates, ReadState{ID: id, Lost: true})
	}
}
