package spec

// Bounds of the model of roll-outs. What may happen within them is in RolloutBounds.
const (
	// rolloutReplicas counts the control instances.
	rolloutReplicas = 3
	// rolloutLog is the longest log.
	rolloutLog = 6
	// rolloutVersions counts the versions that may be ordered, from 1.
	rolloutVersions = 2
)

// rolloutCommand is an entry of control's log: its term in the upper two bits, then its kind, then a version or the index
// of the order that began a roll-out. Zero is none.
type rolloutCommand uint8

// Kinds of commands.
const (
	commandBegin uint8 = iota // the first entry of a new leader
	commandOrder
	commandRecord
	commandComplete
	commandRevert
)

func makeCommand(term, kind, arg uint8) rolloutCommand {
	return rolloutCommand(term<<6 | kind<<3 | arg)
}

func (c rolloutCommand) term() uint8 { return uint8(c) >> 6 }

func (c rolloutCommand) kind() uint8 { return uint8(c) >> 3 & 7 }

func (c rolloutCommand) arg() uint8 { return uint8(c) & 7 }

// commandList is a log: no command follows a zero one.
type commandList [rolloutLog]rolloutCommand

func (l *commandList) length() uint8 {
	for i, c := range l {
		if c == 0 {
			return uint8(i)
		}
	}
	return rolloutLog
}

// shared is the length of the part that both logs have.
func (l *commandList) shared(other *commandList) uint8 {
	n := uint8(0)
	for n < rolloutLog && l[n] != 0 && l[n] == other[n] {
		n++
	}
	return n
}

// has reports whether the first n commands hold one of the kind and argument, of a term from first to last.
func (l *commandList) has(n, kind, arg, first, last uint8) bool {
	for _, c := range l[:n] {
		if c != 0 && c.kind() == kind && c.arg() == arg && c.term() >= first && c.term() <= last {
			return true
		}
	}
	return false
}

// count returns how many commands are of the kind and argument.
func (l *commandList) count(kind, arg uint8) int {
	n := 0
	for _, c := range l {
		if c != 0 && c.kind() == kind && c.arg() == arg {
			n++
		}
	}
	return n
}

// rolloutStage is the state of a roll-out.
type rolloutStage uint8

const (
	rolloutNone rolloutStage = iota
	rolloutInProgress
	rolloutCompleted
	rolloutReverted
)

// rolloutRecord is the last roll-out of the pool. The id is the index of the order that began it.
type rolloutRecord struct {
	version, id uint8
	stage       rolloutStage
	bad         bool // evidence against the version is recorded
}

// rolloutReplica is a control instance. Its log and term are on its disk; a crash leaves these.
type rolloutReplica struct {
	term   uint8
	log    commandList
	commit uint8
	leads  bool
	gone   bool // its disk is lost
	heard  bool // an entry has reported bad answers of the first version
}

// rolloutEntry is an entry. A crash leaves nothing.
type rolloutEntry struct {
	known rolloutRecord
	bad   bool // it has had a bad answer of the first version
	// reverted is the set of versions whose reversal this incarnation has heard of.
	reverted uint8
}

// rolloutsState is a state of the model of roll-outs.
type rolloutsState struct {
	replicas [rolloutReplicas]rolloutReplica
	entry    rolloutEntry
	terms    uint8 // highest term so far
	ordered  uint8 // versions that the operator has ordered; a copy of each order may arrive at any time
	acked    uint8 // set of versions whose order was acknowledged
	// What is left of the bounds.
	crashes, losses, entryCrashes uint8

	// committed is what was ever committed.
	committed commandList
	violate   rolloutViolation
}

// rolloutViolation is an invariant that a transition broke.
type rolloutViolation uint8

const (
	rolloutSound rolloutViolation = iota
	verdictChanged
	verdictOfAnother
	orderForgotten
	startedAnew
	secondRollout
	evidenceForgotten
	sentAfterReversal
	toldUncommitted
)

// Invariants of the model of roll-outs.
const (
	VerdictFinal     Invariant = "a verdict never changes"
	OwnVerdict       Invariant = "a verdict ends only the roll-out that it was given for"
	OrderKept        Invariant = "an acknowledged order is never forgotten while a quorum's disks survive"
	RepeatStartsNone Invariant = "a repeated order starts nothing anew"
	OneRollout       Invariant = "no second roll-out of a pool begins while one is in progress"
	EvidenceKept     Invariant = "evidence committed by one leader is known to the next"
	NoneAfterRevert  Invariant = "an entry that knows of a reversal sends nothing to that version"
	ToldIsCommitted  Invariant = "an entry hears of no verdict that can still be replaced"
	RolloutEnds      Invariant = "every roll-out can still end"
)

var rolloutViolations = map[rolloutViolation]Invariant{
	verdictChanged:    VerdictFinal,
	verdictOfAnother:  OwnVerdict,
	orderForgotten:    OrderKept,
	startedAnew:       RepeatStartsNone,
	secondRollout:     OneRollout,
	evidenceForgotten: EvidenceKept,
	sentAfterReversal: NoneAfterRevert,
	toldUncommitted:   ToldIsCommitted,
}

// applied returns the roll-out that the first n commands give, and what they violate.
func (m *rolloutModel) applied(log *commandList, n uint8) (r rolloutRecord, violated rolloutViolation) {
	var started uint8
	for i, c := range log[:n] {
		switch c.kind() {
		case commandOrder:
			version := c.arg()
			switch {
			case r.version == version && (r.stage == rolloutInProgress || m.guards.has(GuardSameVersion)):
				continue
			case r.stage == rolloutInProgress && m.guards.has(GuardOneRollout):
				continue
			case r.stage == rolloutInProgress:
				violated = secondRollout
			case started&(1<<version) != 0:
				violated = startedAnew
			}
			started |= 1 << version
			r = rolloutRecord{version: version, id: uint8(i), stage: rolloutInProgress}
		case commandRecord:
			r.bad = r.bad || r.stage == rolloutInProgress && r.id == c.arg()
		case commandComplete, commandRevert:
			var v rolloutViolation
			if r, v = m.end(r, c); v != rolloutSound {
				violated = v
			}
		}
	}
	return r, violated
}

// end applies a verdict.
func (m *rolloutModel) end(r rolloutRecord, c rolloutCommand) (rolloutRecord, rolloutViolation) {
	stage := rolloutCompleted
	if c.kind() == commandRevert {
		stage = rolloutReverted
	}
	violated := rolloutSound
	switch {
	case r.id != c.arg() && (m.guards.has(GuardVerdictID) || r.stage != rolloutInProgress):
		return r, rolloutSound
	case r.id != c.arg():
		violated = verdictOfAnother
	case r.stage == rolloutInProgress:
	case m.guards.has(GuardFirstVerdict) || r.stage == stage:
		return r, rolloutSound
	default:
		violated = verdictChanged
	}
	r.stage = stage
	return r, violated
}

// Encode appends all fields.
func (m *rolloutModel) Encode(s *rolloutsState, b []byte) []byte {
	for i := range s.replicas {
		r := &s.replicas[i]
		b = append(b, r.term, r.commit, flag(r.leads), flag(r.gone), flag(r.heard))
		b = appendCommands(b, &r.log)
	}
	e := &s.entry
	b = append(b, e.known.version, e.known.id, byte(e.known.stage), flag(e.known.bad), flag(e.bad), e.reverted)
	b = append(b, s.terms, s.ordered, s.acked, s.crashes, s.losses, s.entryCrashes, byte(s.violate))
	return appendCommands(b, &s.committed)
}

func appendCommands(b []byte, l *commandList) []byte {
	for _, c := range l {
		b = append(b, byte(c))
	}
	return b
}
