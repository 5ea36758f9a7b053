package spec

import (
	"fmt"
	"math/bits"
)

// LogBounds say how much may happen in the model of the log.
type LogBounds struct {
	// Terms and Entries bound terms and log lengths; 4 and 5 at most.
	Terms, Entries uint8
	// Crashes bounds restarts that lose what wasn't synced.
	Crashes uint8
	// Data lets a leader append entries besides the first of its term.
	Data bool
	// Changes lets the last replica be replaced: a learner is added, the old replica removed, the learner promoted.
	Changes bool
	// Wipe lets the replaced replica lose its disk. Only then its instance comes back, with an empty disk.
	Wipe bool
	// Loss lets one more instance be lost for good once the repair is committed.
	Loss bool
	// Reads lets a client read the configuration's version at any replica.
	Reads bool
	// PreVote makes candidates ask first whether an election could be won.
	PreVote bool
}

// logModel is the model of the replicated log.
type logModel struct {
	bounds LogBounds
	guards Guards
	want   Invariant // the only invariant looked at, "" for all
}

// Kinds of steps of the model of the log.
const (
	stepCampaign uint8 = iota
	stepVote
	stepLead
	stepPropose
	stepAppend
	stepSync
	stepCommit
	stepRestart
	stepWipe
	stepJoin
	stepLoss
	stepRead
	logStepCount
)

var logSteps = [logStepCount]string{
	"campaign", "vote", "lead", "propose", "append", "sync", "commit", "restart", "wipe", "join", "loss", "read",
}

var kindNames = [kindCount]string{"data", "add learner", "remove", "promote"}

// Initial has three replicas with empty logs that know the group's first voters.
func (m *logModel) Initial() logState {
	s := logState{crashes: m.bounds.Crashes}
	for i := range s.members {
		s.members[i] = member{vote: nobody, diskVote: nobody}
	}
	s.members[replacement].role = roleGone
	if m.bounds.Changes && !m.bounds.Wipe {
		s.members[replacement].role = roleFollower
	}
	for t := range s.leaders {
		s.leaders[t] = nobody
	}
	return s
}

// Broken returns the invariant that the way here broke.
func (m *logModel) Broken(s *logState) Invariant { return logViolations[s.violate] }

// Done tells whether somebody leads with a quorum that lives, or the bound of terms is reached.
func (m *logModel) Done(s *logState) bool {
	for i := range s.members {
		r := &s.members[i]
		if r.role == roleGone {
			continue
		}
		if r.term >= m.bounds.Terms || r.role == roleLeader && quorum(r.voters(), s.alive()) {
			return true
		}
	}
	return false
}

// Progress is that the group recovers.
func (m *logModel) Progress() Invariant { return GroupRecovers }

// Reached has nothing besides steps.
func (m *logModel) Reached() map[string]int { return nil }

// Kinds returns the names of the kinds of steps.
func (m *logModel) Kinds() []string { return logSteps[:] }

// Describe names who does what.
func (m *logModel) Describe(s Step) string {
	switch s.Kind {
	case stepVote:
		return fmt.Sprintf("replica %d: votes for %d in term %d", s.A, s.B, s.C)
	case stepPropose:
		return fmt.Sprintf("replica %d: proposes %s", s.A, kindNames[s.B])
	case stepAppend:
		return fmt.Sprintf("replica %d: takes the log of term %d up to %d", s.A, s.B, s.C)
	case stepCommit:
		return fmt.Sprintf("replica %d: commits up to %d", s.A, s.B)
	case stepRead:
		return fmt.Sprintf("client reads at replica %d", s.A)
	default:
		return fmt.Sprintf("replica %d: %s", s.A, logSteps[s.Kind])
	}
}

// quorum tells whether more than half of the voters are in the set.
func quorum(voters, set uint8) bool {
	return bits.OnesCount8(voters&set) > bits.OnesCount8(voters)/2
}

func (r *member) voters() uint8 { return r.log.voters(r.log.length()) }

func (s *logState) alive() uint8 {
	set := uint8(0)
	for i := range s.members {
		if s.members[i].role != roleGone {
			set |= 1 << i
		}
	}
	return set
}

// logTurn is one transition being made.
type logTurn struct {
	*logModel
	s logState
}

// logAttempt makes a step if change reports that it is possible.
type logAttempt func(step Step, change func(t *logTurn) bool)

// Next yields every transition.
func (m *logModel) Next(s *logState, yield func(Step, *logState)) {
	t := &logTurn{logModel: m}
	try := func(step Step, change func(t *logTurn) bool) {
		t.s = *s
		if change(t) {
			t.forget()
			yield(step, &t.s)
		}
	}
	for i := range s.members {
		if s.members[i].role == roleGone {
			continue
		}
		m.electionSteps(s, i, try)
		m.followerSteps(s, i, try)
		m.diskSteps(s, i, try)
		if s.members[i].role == roleLeader {
			m.leaderSteps(s, i, try)
		}
		if m.bounds.Reads && s.members[i].commit != s.seen {
			try(Step{Kind: stepRead, A: uint8(i)}, func(t *logTurn) bool { return t.read(i) })
		}
	}
	if s.wiped && s.members[replacement].role == roleGone && !s.lost && m.guards.has(GuardNewIdentityForWipedDisk) {
		try(Step{Kind: stepJoin, A: replacement}, func(t *logTurn) bool {
			t.s.members[replacement].role = roleFollower
			return true
		})
	}
}

func (t *logTurn) violated(v logViolation) {
	if t.s.violate == logSound && (t.want == "" || t.want == logViolations[v]) {
		t.s.violate = v
	}
}

// read: a client asks a replica for the configuration. The version is the index up to which the replica has applied.
func (t *logTurn) read(at int) bool {
	version := t.s.members[at].commit
	if version < t.s.seen {
		if t.guards.has(GuardHighestVersion) {
			return false
		}
		t.violated(versionFell)
	}
	t.s.seen = version
	return true
}
