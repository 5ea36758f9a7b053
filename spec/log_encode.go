package spec

// forget clears what can have no effect any more, so that states which differ in nothing else count once: votes and
// acknowledgements that nobody counts, and messages of terms that everybody has left.
func (t *logTurn) forget() {
	lowest := uint8(termCount)
	for i := range t.s.members {
		if r := &t.s.members[i]; r.role != roleGone {
			lowest = min(lowest, r.term, r.diskTerm)
		}
	}
	for term := uint8(1); term < termCount; term++ {
		if term < lowest {
			t.s.requests[term] = [memberCount]request{}
			t.s.votes[term] = [memberCount]uint8{}
			t.s.logs[term] = entryList{}
			t.s.commits[term] = 0
			t.s.leaders[term] = nobody
		}
		t.forgetCounts(term)
	}
}

func (t *logTurn) forgetCounts(term uint8) {
	for i := range t.s.members {
		if r := &t.s.members[i]; r.role != roleCandidate || r.term != term {
			t.s.votes[term][i] = 0
		}
	}
	leader := t.s.leaders[term]
	if leader == nobody || t.s.members[leader].role != roleLeader || t.s.members[leader].term != term {
		t.s.acks[term] = [memberCount]uint8{}
	}
}

func appendEntries(b []byte, l *entryList) []byte {
	for _, e := range l {
		b = append(b, byte(e))
	}
	return b
}

// Encode appends all fields.
func (m *logModel) Encode(s *logState, b []byte) []byte {
	for i := range s.members {
		r := &s.members[i]
		b = append(b, byte(r.role), r.term, r.vote, r.commit, r.diskTerm, r.diskVote, r.ackTerm, r.ackIndex)
		b = appendEntries(b, &r.log)
		b = appendEntries(b, &r.disk)
	}
	for term := range termCount {
		for i := range memberCount {
			q := &s.requests[term][i]
			b = append(b, flag(q.sent), q.index, q.lastTerm, s.votes[term][i], s.acks[term][i])
		}
		b = append(b, s.leaders[term], s.commits[term])
		b = appendEntries(b, &s.logs[term])
	}
	b = append(b, s.crashes, flag(s.wiped), flag(s.lost), s.seen)
	b = appendEntries(b, &s.committed)
	b = append(b, s.committedTerm[:]...)
	return append(b, byte(s.violate))
}
