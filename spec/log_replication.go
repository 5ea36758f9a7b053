package spec

// leaderSteps are proposals and commits.
func (m *logModel) leaderSteps(s *logState, at int, try logAttempt) {
	r := &s.members[at]
	for kind := range kindCount {
		if r.log.length() < m.bounds.Entries && m.mayPropose(s, at, kind) {
			try(Step{Kind: stepPropose, A: uint8(at), B: kind}, func(t *logTurn) bool {
				t.appendOwn(at, kind)
				return true
			})
		}
	}
	if index := m.committable(s, at); index > r.commit {
		try(Step{Kind: stepCommit, A: uint8(at), B: index}, func(t *logTurn) bool {
			t.s.commits[r.term] = index
			t.commit(at, index)
			return true
		})
	}
}

// mayPropose tells whether the leader may append an entry of the kind. The steps of a replacement come in their order,
// each once.
func (m *logModel) mayPropose(s *logState, at int, kind uint8) bool {
	r := &s.members[at]
	n := r.log.length()
	if kind == kindData {
		return m.bounds.Data
	}
	if !m.bounds.Changes || r.log.has(kind, n) || m.bounds.Wipe && !s.wiped {
		return false
	}
	if m.guards.has(GuardOneChangeAtATime) && m.changePending(r) {
		return false
	}
	switch kind {
	case kindAddLearner:
		return s.members[replacement].role != roleGone
	case kindRemove:
		return r.log.has(kindAddLearner, n) && m.caughtUp(s, r)
	default:
		return r.log.has(kindRemove, n) && m.caughtUp(s, r)
	}
}

// changePending tells whether an earlier change, or the first entry of the leader's term, isn't committed yet.
func (m *logModel) changePending(r *member) bool {
	for i := r.commit; i < r.log.length(); i++ {
		if r.log[i].kind() != kindData {
			return true
		}
	}
	return r.commit == 0 || r.log[r.commit-1].term() != r.term
}

// caughtUp tells whether the learner has acknowledged the members in force, and all that was committed before them. The code asks
// for more, what was committed an election timeout ago; the model has no time.
func (m *logModel) caughtUp(s *logState, r *member) bool {
	return s.acks[r.term][replacement] >= r.log.lastChange() || !m.guards.has(GuardLearnerCaughtUp)
}

// lastChange is the index of the last change of members in the log, 0 if there is none.
func (l *entryList) lastChange() uint8 {
	for index := l.length(); index > 0; index-- {
		if l[index-1].kind() != kindData {
			return index
		}
	}
	return 0
}

func (t *logTurn) appendOwn(at int, kind uint8) {
	r := &t.s.members[at]
	r.log[r.log.length()] = makeEntry(r.term, kind)
	t.s.logs[r.term] = r.log
	t.syncAtOnce(r)
}

// committable is the highest index that a quorum holds on disk, if its entry is of the leader's own term.
func (m *logModel) committable(s *logState, at int) uint8 {
	r := &s.members[at]
	for index := r.log.length(); index > 0; index-- {
		if m.guards.has(GuardOwnTermCommit) && r.log[index-1].term() != r.term {
			return 0
		}
		holders := uint8(0)
		for i := range s.members {
			if i != at && s.acks[r.term][i] >= index {
				holders |= 1 << i
			}
		}
		if r.disk.shared(&r.log) >= index || !m.guards.has(GuardSyncBeforeAcknowledge) {
			holders |= 1 << at
		}
		if quorum(r.voters(), holders) {
			return index
		}
	}
	return 0
}

// commit raises a replica's commit index, and compares with all that was ever committed.
func (t *logTurn) commit(at int, index uint8) {
	r := &t.s.members[at]
	for i := r.commit; i < index; i++ {
		switch t.s.committed[i] {
		case 0:
			t.s.committed[i] = r.log[i]
			t.s.committedTerm[i] = r.term
		case r.log[i]:
		default:
			t.violated(commitDiffers)
		}
	}
	r.commit = max(r.commit, index)
}

// followerSteps: every part of a leader's log may arrive, in any order and more than once.
func (m *logModel) followerSteps(s *logState, at int, try logAttempt) {
	r := &s.members[at]
	for term := max(r.term, 1); term <= m.bounds.Terms; term++ {
		leader := s.leaders[term]
		if leader == nobody || int(leader) == at {
			continue
		}
		for upTo := uint8(1); upTo <= s.logs[term].length(); upTo++ {
			step := Step{Kind: stepAppend, A: uint8(at), B: term, C: upTo}
			try(step, func(t *logTurn) bool { return t.append(at, term, upTo) })
		}
	}
}

// append takes a leader's log up to an index. What matches already stays, with what follows it.
func (t *logTurn) append(at int, term, upTo uint8) bool {
	r := &t.s.members[at]
	before := *r
	acks := t.s.acks[term][at]
	t.enter(r, term)
	r.role = roleFollower
	log := &t.s.logs[term]
	if r.log.shared(log) < upTo {
		r.log = log.cut(upTo)
	}
	if commit := min(t.s.commits[term], upTo); commit > r.commit {
		t.commit(at, commit)
	}
	t.acknowledge(at, term, upTo)
	return *r != before || acks != t.s.acks[term][at]
}

// acknowledge answers at once what is on disk already, and the rest after the disk has it.
func (t *logTurn) acknowledge(at int, term, index uint8) {
	r := &t.s.members[at]
	t.syncAtOnce(r)
	if r.disk.shared(&r.log) >= index || !t.guards.has(GuardSyncBeforeAcknowledge) {
		t.s.acks[term][at] = max(t.s.acks[term][at], index)
		return
	}
	r.ackTerm, r.ackIndex = term, index
}

// diskSteps are syncs, crashes and lost disks.
func (m *logModel) diskSteps(s *logState, at int, try logAttempt) {
	r := &s.members[at]
	if r.disk != r.log {
		try(Step{Kind: stepSync, A: uint8(at)}, func(t *logTurn) bool { return t.sync(at) })
	}
	if s.crashes > 0 {
		try(Step{Kind: stepRestart, A: uint8(at)}, func(t *logTurn) bool { return t.restart(at) })
	}
	if at == replaced && m.bounds.Wipe && !s.wiped {
		try(Step{Kind: stepWipe, A: uint8(at)}, func(t *logTurn) bool { return t.wipe() })
	}
	if m.bounds.Loss && !s.lost && s.committed.has(kindPromote, logLength) {
		try(Step{Kind: stepLoss, A: uint8(at)}, func(t *logTurn) bool { return t.lose(at) })
	}
}

// syncAtOnce spares the step where no crash could tell the difference: a late sync then is only a late message.
func (t *logTurn) syncAtOnce(r *member) {
	if t.bounds.Crashes == 0 {
		r.disk = r.log
	}
}

// lose takes a replica away for good, with what it had sent: a message that still arrives would be one that arrived
// before the loss.
func (t *logTurn) lose(at int) bool {
	t.s.lost = true
	t.s.members[at] = member{role: roleGone, vote: nobody, diskVote: nobody}
	for term := range t.s.leaders {
		if int(t.s.leaders[term]) == at {
			t.s.logs[term] = entryList{}
		}
		t.s.requests[term][at] = request{}
	}
	return true
}

func (t *logTurn) sync(at int) bool {
	r := &t.s.members[at]
	r.disk = r.log
	if r.ackTerm != 0 {
		t.s.acks[r.ackTerm][at] = max(t.s.acks[r.ackTerm][at], r.ackIndex)
	}
	r.ackTerm, r.ackIndex = 0, 0
	return true
}

// restart is a crash and the start after it.
func (t *logTurn) restart(at int) bool {
	r := &t.s.members[at]
	before := *r
	*r = member{term: r.diskTerm, vote: r.diskVote, log: r.disk, diskTerm: r.diskTerm, diskVote: r.diskVote, disk: r.disk}
	t.s.crashes--
	return *r != before
}

// wipe loses a disk. With a guard missing, the instance comes back under its old identity.
func (t *logTurn) wipe() bool {
	t.s.wiped = true
	role := roleGone
	if !t.guards.has(GuardNewIdentityForWipedDisk) {
		role = roleFollower
	}
	t.s.members[replaced] = member{role: role, vote: nobody, diskVote: nobody}
	return true
}
