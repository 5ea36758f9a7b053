package spec

import "fmt"

// RolloutBounds say how much may happen in the model of roll-outs.
type RolloutBounds struct {
	// Terms is how many leaders there are, one after the other, 3 at most. A replaced one goes on until it hears of the next.
	Terms uint8
	// Log bounds the length of a log.
	Log uint8
	// Copies bounds the copies of an order in one log.
	Copies int
	// Entry says that there is an entry.
	Entry bool
	// Versions is how many versions are ordered, the second only after the end of the first one's roll-out was committed.
	Versions uint8
	// Early lets the operator order the second version while the first one's roll-out is in progress.
	Early bool
	// Evidence says that verdicts follow the evidence of the entry. Otherwise a leader may give either verdict.
	Evidence bool
	// Crashes bounds restarts of control instances, Losses lost disks, EntryCrashes restarts of the entry.
	Crashes, Losses, EntryCrashes uint8
}

// rolloutModel is the model of roll-outs: three control instances with their logs, an entry, and an operator whose orders
// may be repeated and delayed. Elections and replication follow the rules that the model of the log checks.
type rolloutModel struct {
	bounds RolloutBounds
	guards Guards
	want   Invariant // the only invariant looked at, "" for all
}

// Kinds of steps of the model of roll-outs.
const (
	stepOrderVersion uint8 = iota
	stepReceiveOrder
	stepAcknowledgeOrder
	stepRecordEvidence
	stepCompleteRollout
	stepRevertRollout
	stepReplicateRollout
	stepCommitRollout
	stepLearnCommit
	stepElectControl
	stepControlCrash
	stepControlLost
	stepHearRollout
	stepHearLeader
	stepSendToNew
	stepReportEvidence
	stepRolloutEntryCrash
	rolloutStepCount
)

var rolloutSteps = [rolloutStepCount]string{
	"order_version", "receive_order", "acknowledge_order", "record_evidence", "complete", "revert", "replicate_rollout",
	"commit_rollout", "learn_commit", "elect_control", "control_crash", "control_lost", "hear_rollout", "hear_leader",
	"send_to_new", "report_evidence", "rollout_entry_crash",
}

// Initial has a first leader and empty logs.
func (m *rolloutModel) Initial() rolloutsState {
	s := rolloutsState{terms: 1, crashes: m.bounds.Crashes, losses: m.bounds.Losses, entryCrashes: m.bounds.EntryCrashes}
	for i := range s.replicas {
		s.replicas[i].term = 1
	}
	s.replicas[0].leads = true
	return s
}

// Broken returns the invariant that the way here broke.
func (m *rolloutModel) Broken(s *rolloutsState) Invariant { return rolloutViolations[s.violate] }

// Done tells whether the last roll-out has ended.
func (m *rolloutModel) Done(s *rolloutsState) bool {
	r, _ := m.applied(&s.committed, s.committed.length())
	return r.stage != rolloutInProgress
}

// Progress is that roll-outs end.
func (m *rolloutModel) Progress() Invariant { return RolloutEnds }

// Reached counts nothing besides steps.
func (m *rolloutModel) Reached() map[string]int { return nil }

// Kinds returns the names of the kinds of steps.
func (m *rolloutModel) Kinds() []string { return rolloutSteps[:] }

// Describe names what happens, with up to two instances or an instance and a version.
func (m *rolloutModel) Describe(s Step) string {
	return fmt.Sprintf("%s %d %d", rolloutSteps[s.Kind], s.A, s.B)
}

// rolloutTurn is one transition being made.
type rolloutTurn struct {
	*rolloutModel
	s rolloutsState
}

// rolloutAttempt makes a step if change reports that it is possible.
type rolloutAttempt func(step Step, change func(t *rolloutTurn) bool)

// Next yields every transition.
func (m *rolloutModel) Next(s *rolloutsState, yield func(Step, *rolloutsState)) {
	try := func(step Step, change func(t *rolloutTurn) bool) {
		t := rolloutTurn{rolloutModel: m, s: *s}
		if change(&t) {
			yield(step, &t.s)
		}
	}
	if s.ordered < m.bounds.Versions {
		try(Step{Kind: stepOrderVersion, A: s.ordered + 1}, func(t *rolloutTurn) bool { return t.order() })
	}
	for i := range uint8(rolloutReplicas) {
		if s.replicas[i].gone || s.hasTwin(i, i) {
			continue
		}
		if s.replicas[i].leads {
			m.leaderSteps(s, i, try)
		}
		m.replicaSteps(s, i, try)
	}
	if m.bounds.Entry {
		m.entrySteps(s, try)
	}
}

// hasTwin reports whether an instance before i is in the same state. Instances are alike, so a step of i leads to the same
// as one of its twin. The instance other, if it isn't i, takes part in the step and is no twin.
func (s *rolloutsState) hasTwin(i, other uint8) bool {
	for twin := range i {
		if twin != other && s.replicas[twin] == s.replicas[i] {
			return true
		}
	}
	return false
}

func (t *rolloutTurn) violated(v rolloutViolation) {
	if v != rolloutSound && t.s.violate == rolloutSound && (t.want == "" || t.want == rolloutViolations[v]) {
		t.s.violate = v
	}
}

// order: the operator orders the next version.
func (t *rolloutTurn) order() bool {
	if t.s.ordered > 0 && !t.bounds.Early {
		if r, _ := t.applied(&t.s.committed, t.s.committed.length()); r.stage <= rolloutInProgress {
			return false
		}
	}
	t.s.ordered++
	return true
}

// room reports whether the log has room for another command and, besides, for reserve others.
func (m *rolloutModel) room(r *rolloutReplica, reserve uint8) bool {
	return r.log.length()+reserve < m.bounds.Log
}

// verdictReserve is the room in a log that is left to the first commands of later leaders and to a verdict.
func (m *rolloutModel) verdictReserve() uint8 { return m.bounds.Terms }

// append adds a command of the replica's term.
func (r *rolloutReplica) append(kind, arg uint8) {
	r.log[r.log.length()] = makeCommand(r.term, kind, arg)
}

func (m *rolloutModel) leaderSteps(s *rolloutsState, i uint8, try rolloutAttempt) {
	for version := uint8(1); version <= s.ordered; version++ {
		try(Step{Kind: stepReceiveOrder, A: i, B: version}, func(t *rolloutTurn) bool { return t.receiveOrder(i, version) })
		if s.acked&(1<<version) == 0 {
			try(Step{Kind: stepAcknowledgeOrder, A: i, B: version}, func(t *rolloutTurn) bool { return t.acknowledge(i, version) })
		}
	}
	try(Step{Kind: stepRecordEvidence, A: i}, func(t *rolloutTurn) bool { return t.record(i) })
	try(Step{Kind: stepCompleteRollout, A: i}, func(t *rolloutTurn) bool { return t.decide(i, commandComplete) })
	try(Step{Kind: stepRevertRollout, A: i}, func(t *rolloutTurn) bool { return t.decide(i, commandRevert) })
	try(Step{Kind: stepCommitRollout, A: i}, func(t *rolloutTurn) bool { return t.commit(i) })
	for to := range uint8(rolloutReplicas) {
		if to != i && !s.hasTwin(to, i) && !s.replicas[to].gone && s.replicas[to].term <= s.replicas[i].term {
			try(Step{Kind: stepReplicateRollout, A: i, B: to}, func(t *rolloutTurn) bool { return t.replicate(i, to) })
			try(Step{Kind: stepLearnCommit, A: i, B: to}, func(t *rolloutTurn) bool { return t.learnCommit(i, to) })
		}
	}
}

// receiveOrder appends a copy of an order. A copy of the first version's order arrives before the second version's roll-out
// has ended: orders carry no number, so a later one can't be told from a new order of the first version.
func (t *rolloutTurn) receiveOrder(i, version uint8) bool {
	r := &t.s.replicas[i]
	if !t.room(r, t.verdictReserve()) || r.log.count(commandOrder, version) >= t.bounds.Copies {
		return false
	}
	if held, _ := t.applied(&r.log, r.log.length()); held.version > version && held.stage != rolloutInProgress {
		return false
	}
	r.append(commandOrder, version)
	return true
}

// acknowledge answers an order once a copy of it is committed, as far as the leader knows.
func (t *rolloutTurn) acknowledge(i, version uint8) bool {
	r := &t.s.replicas[i]
	n := r.commit
	if !t.guards.has(GuardCommitBeforeAcknowledge) {
		n = r.log.length()
	}
	if !r.log.has(n, commandOrder, version, 1, r.term) {
		return false
	}
	t.s.acked |= 1 << version
	return true
}

// record commits what the leader has heard.
func (t *rolloutTurn) record(i uint8) bool {
	r := &t.s.replicas[i]
	held, _ := t.applied(&r.log, r.commit)
	if !r.heard || held.stage != rolloutInProgress || held.bad || !t.room(r, t.verdictReserve()) ||
		r.log.has(r.log.length(), commandRecord, held.id, r.term, r.term) {
		return false
	}
	r.append(commandRecord, held.id)
	return true
}

// decide appends a verdict by what the leader has heard and applied. A leader decides once in its term.
func (t *rolloutTurn) decide(i, kind uint8) bool {
	r := &t.s.replicas[i]
	held, _ := t.applied(&r.log, r.commit)
	reserve := uint8(0)
	if newest, _ := t.applied(&r.log, r.log.length()); newest.id != held.id {
		reserve = 1 // for the verdict of the roll-out that the leader hasn't applied yet
	}
	if held.stage != rolloutInProgress || !t.room(r, reserve) || r.decided(held.id) || !t.mayDecide(r, kind) {
		return false
	}
	isBad := r.heard || held.bad && t.guards.has(GuardEvidenceFromLog)
	if t.bounds.Evidence && isBad != (kind == commandRevert) {
		return false
	}
	if kind == commandComplete && t.s.committed.has(t.s.committed.length(), commandRecord, held.id, 1, r.term-1) {
		t.violated(evidenceForgotten)
	}
	r.append(kind, held.id)
	return true
}

// decided reports whether the replica has given a verdict in its term.
func (r *rolloutReplica) decided(id uint8) bool {
	n := r.log.length()
	return r.log.has(n, commandComplete, id, r.term, r.term) || r.log.has(n, commandRevert, id, r.term, r.term)
}

// mayDecide: a leader completes nothing before it has applied all that was committed before its term. It may revert.
func (t *rolloutTurn) mayDecide(r *rolloutReplica, kind uint8) bool {
	return kind == commandRevert || r.term == 1 || !t.guards.has(GuardAppliedBeforeComplete) ||
		r.log.has(r.commit, commandBegin, 0, r.term, r.term)
}

// replicate brings a follower the next command that it lacks, and replaces what differs.
func (t *rolloutTurn) replicate(from, to uint8) bool {
	l, f := &t.s.replicas[from], &t.s.replicas[to]
	n := l.log.shared(&f.log)
	if n == l.log.length() && f.term == l.term {
		return false
	}
	if n < l.log.length() {
		clear(f.log[n:])
		f.log[n] = l.log[n]
	}
	f.term, f.leads = l.term, false
	return true
}

// commit: the leader counts the replicas that hold its log up to a command of its term.
func (t *rolloutTurn) commit(i uint8) bool {
	l := &t.s.replicas[i]
	for n := l.log.length(); n > l.commit && l.log[n-1].term() == l.term; n-- {
		holders := 0
		for j := range t.s.replicas {
			f := &t.s.replicas[j]
			if !f.gone && f.term == l.term && f.log.shared(&l.log) >= n {
				holders++
			}
		}
		if holders < rolloutReplicas/2+1 {
			continue
		}
		l.commit = n
		if n > t.s.committed.length() {
			copy(t.s.committed[:n], l.log[:n])
			_, violated := t.applied(&t.s.committed, n)
			t.violated(violated)
		}
		return true
	}
	return false
}

func (t *rolloutTurn) learnCommit(from, to uint8) bool {
	l, f := &t.s.replicas[from], &t.s.replicas[to]
	n := min(l.commit, l.log.shared(&f.log))
	if f.term != l.term || n <= f.commit {
		return false
	}
	f.commit = n
	return true
}

func (m *rolloutModel) replicaSteps(s *rolloutsState, i uint8, try rolloutAttempt) {
	if s.terms >= m.bounds.Terms {
		return
	}
	if s.crashes > 0 {
		try(Step{Kind: stepControlCrash, A: i}, func(t *rolloutTurn) bool {
			t.s.crashes--
			r := &t.s.replicas[i]
			r.leads, r.heard, r.commit = false, false, 0
			return true
		})
	}
	if s.losses > 0 {
		try(Step{Kind: stepControlLost, A: i}, func(t *rolloutTurn) bool {
			t.s.losses--
			t.s.replicas[i] = rolloutReplica{gone: true}
			return true
		})
	}
	for voter := range uint8(rolloutReplicas) {
		if voter != i && !s.hasTwin(voter, i) && !s.replicas[voter].gone && s.replicas[i].isUpToDate(&s.replicas[voter]) {
			try(Step{Kind: stepElectControl, A: i, B: voter}, func(t *rolloutTurn) bool { return t.elect(i, voter) })
		}
	}
}

// isUpToDate reports whether the log may lead one that the voter holds.
func (r *rolloutReplica) isUpToDate(voter *rolloutReplica) bool {
	lastTerm := func(l *commandList) uint8 {
		if n := l.length(); n > 0 {
			return l[n-1].term()
		}
		return 0
	}
	own, other := lastTerm(&r.log), lastTerm(&voter.log)
	return own > other || own == other && r.log.length() >= voter.log.length()
}

func (t *rolloutTurn) elect(i, voter uint8) bool {
	r := &t.s.replicas[i]
	if !t.room(r, 0) {
		return false
	}
	for version := uint8(1); version <= rolloutVersions; version++ {
		if t.s.acked&(1<<version) != 0 && !r.log.has(r.log.length(), commandOrder, version, 1, t.s.terms) {
			t.violated(orderForgotten)
		}
	}
	t.s.terms++
	r.term, r.leads = t.s.terms, true
	t.s.replicas[voter].term, t.s.replicas[voter].leads = t.s.terms, false
	r.append(commandBegin, 0)
	return true
}

// entrySteps: what was committed reaches the entry in any order, and again.
func (m *rolloutModel) entrySteps(s *rolloutsState, try rolloutAttempt) {
	for n := uint8(1); n <= s.committed.length(); n++ {
		try(Step{Kind: stepHearRollout, A: n}, func(t *rolloutTurn) bool { return t.hear(&t.s.committed, n) })
	}
	if !m.guards.has(GuardCommittedVerdict) {
		for i := range s.replicas {
			if l := &s.replicas[i]; l.leads {
				try(Step{Kind: stepHearLeader, A: uint8(i)}, func(t *rolloutTurn) bool { return t.hear(&l.log, l.log.length()) })
			}
		}
	}
	if s.entry.known.stage == rolloutInProgress {
		try(Step{Kind: stepSendToNew, A: s.entry.known.version}, func(t *rolloutTurn) bool { return t.send() })
	}
	if s.entry.bad {
		for i := range uint8(rolloutReplicas) {
			r := &s.replicas[i]
			if held, _ := m.applied(&r.log, r.commit); !s.hasTwin(i, i) && !r.gone && !r.heard && held.stage == rolloutInProgress {
				try(Step{Kind: stepReportEvidence, A: i}, func(t *rolloutTurn) bool {
					t.s.replicas[i].heard = true
					return true
				})
			}
		}
	}
	if s.entryCrashes > 0 {
		try(Step{Kind: stepRolloutEntryCrash}, func(t *rolloutTurn) bool {
			t.s.entryCrashes--
			t.s.entry = rolloutEntry{}
			return true
		})
	}
}

// hear takes what a log gives, unless the entry knows something newer.
func (t *rolloutTurn) hear(log *commandList, n uint8) bool {
	e := &t.s.entry
	heard, _ := t.applied(log, n)
	heard.bad = false // entries get no evidence
	isOlder := heard.id < e.known.id || heard.id == e.known.id && e.known.stage > rolloutInProgress
	if heard.stage == rolloutNone || heard == e.known || e.known.stage != rolloutNone && isOlder && t.guards.has(GuardKnownVerdict) {
		return false
	}
	committed, _ := t.applied(&t.s.committed, t.s.committed.length())
	if heard.stage > rolloutInProgress && committed.id == heard.id && committed.stage > rolloutInProgress && committed.stage != heard.stage {
		t.violated(toldUncommitted)
	}
	e.known = heard
	if heard.stage == rolloutReverted {
		e.reverted |= 1 << heard.version
	}
	return true
}

// send: a request to the new version, whose answer is bad.
func (t *rolloutTurn) send() bool {
	e := &t.s.entry
	if e.reverted&(1<<e.known.version) != 0 {
		t.violated(sentAfterReversal)
		return true
	}
	if e.bad || !t.bounds.Evidence {
		return false
	}
	e.bad = true
	return true
}
