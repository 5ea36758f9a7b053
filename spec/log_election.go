package spec

// electionSteps are candidacies, votes and won elections.
func (m *logModel) electionSteps(s *logState, at int, try logAttempt) {
	r := &s.members[at]
	if at > 0 && *s == m.Initial() {
		return // replicas are alike: the first one may as well begin
	}
	if r.role != roleLeader && r.term < m.bounds.Terms && m.mayCampaign(r, at) {
		try(Step{Kind: stepCampaign, A: uint8(at)}, func(t *logTurn) bool { return t.campaign(at) })
	}
	for term := r.term; term <= m.bounds.Terms; term++ {
		for candidate := range s.members {
			if s.requests[term][candidate].sent && candidate != at && s.votes[term][candidate]&(1<<at) == 0 {
				step := Step{Kind: stepVote, A: uint8(at), B: uint8(candidate), C: term}
				try(step, func(t *logTurn) bool { return t.vote(at, candidate, term) })
			}
		}
	}
	if r.role == roleCandidate && quorum(r.voters(), s.votes[r.term][at]) {
		try(Step{Kind: stepLead, A: uint8(at)}, func(t *logTurn) bool { return t.lead(at) })
	}
}

// mayCampaign tells whether the replica is a voter of the newest membership, or of the last one that it knows to be
// committed.
func (m *logModel) mayCampaign(r *member, at int) bool {
	return (r.voters()|r.log.voters(r.commit))&(1<<at) != 0
}

// mayVote tells whether the replica's log names it. The first voters' logs all begin with the group's first entry,
// which isn't modelled.
func (m *logModel) mayVote(r *member, at int) bool {
	return at != replacement || r.log.has(kindAddLearner, r.log.length())
}

// campaign begins a new term with the own vote on disk.
func (t *logTurn) campaign(at int) bool {
	r := &t.s.members[at]
	if t.bounds.PreVote && !t.wouldWin(at) {
		return t.learnTerm(r)
	}
	t.enter(r, r.term+1)
	r.role = roleCandidate
	t.grant(at, at)
	t.s.requests[r.term][at] = request{sent: true, index: r.log.length(), lastTerm: r.log.lastTerm()}
	return true
}

// wouldWin asks for pre-votes, which here takes no time.
func (t *logTurn) wouldWin(at int) bool {
	r := &t.s.members[at]
	for i := range t.s.members {
		if o := &t.s.members[i]; i != at && o.role == roleLeader && o.term >= r.term && quorum(o.voters(), t.s.alive()) {
			return false // the others hear a leader
		}
	}
	granted := uint8(1) << at
	for i := range t.s.members {
		o := &t.s.members[i]
		if o.role != roleGone && o.term <= r.term && t.mayVote(o, i) && upToDate(r.log.lastTerm(), r.log.length(), &o.log) {
			granted |= 1 << i
		}
	}
	return quorum(r.voters(), granted)
}

// learnTerm: a rejected pre-vote names the higher term of who rejected it.
func (t *logTurn) learnTerm(r *member) bool {
	before := r.term
	for i := range t.s.members {
		if o := &t.s.members[i]; o.role != roleGone {
			t.enter(r, o.term)
		}
	}
	return r.term > before
}

// upToDate tells whether a log with that end holds all that the other one does.
func upToDate(lastTerm, index uint8, other *entryList) bool {
	own := other.lastTerm()
	return lastTerm > own || lastTerm == own && index >= other.length()
}

// enter takes a higher term over, without a vote in it.
func (t *logTurn) enter(r *member, term uint8) {
	if term <= r.term {
		return
	}
	r.term = term
	r.vote = nobody
	r.role = roleFollower
	if t.guards.has(GuardPersistVote) {
		r.diskTerm, r.diskVote = term, nobody
	}
}

// grant notes a vote, on disk before anybody hears of it.
func (t *logTurn) grant(at, candidate int) {
	r := &t.s.members[at]
	r.vote = uint8(candidate)
	if t.guards.has(GuardPersistVote) {
		r.diskTerm, r.diskVote = r.term, r.vote
	}
	t.s.votes[r.term][candidate] |= 1 << at
}

// vote answers a candidate's request. Who refuses takes the higher term over all the same.
func (t *logTurn) vote(at, candidate int, term uint8) bool {
	r := &t.s.members[at]
	q := &t.s.requests[term][candidate]
	entered := term > r.term
	t.enter(r, term)
	free := r.vote == nobody || r.vote == uint8(candidate)
	allowed := free || !t.guards.has(GuardOneVote)
	if !allowed || r.role == roleLeader || !t.mayVote(r, at) {
		return entered
	}
	if t.guards.has(GuardUpToDateVote) && !upToDate(q.lastTerm, q.index, &r.log) {
		return entered
	}
	r.role = roleFollower
	t.grant(at, candidate)
	return true
}

// lead begins a leadership with an entry of the new term.
func (t *logTurn) lead(at int) bool {
	r := &t.s.members[at]
	if t.s.leaders[r.term] != nobody {
		t.violated(twoLeaders)
	}
	for i, e := range t.s.committed {
		if e != 0 && t.s.committedTerm[i] < r.term && r.log[i] != e {
			t.violated(leaderLacks)
		}
	}
	r.role = roleLeader
	r.ackTerm, r.ackIndex = 0, 0
	t.s.leaders[r.term] = uint8(at)
	t.s.logs[r.term] = r.log
	if r.log.length() < t.bounds.Entries {
		t.appendOwn(at, kindData)
	}
	return true
}
