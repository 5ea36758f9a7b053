package spec

// Bounds of the model of the log. What may happen within them is in LogBounds.
const (
	// memberCount counts the replicas: three, and the one that replaces the last of them.
	memberCount = 4
	// firstMembers is the set of the group's first voters.
	firstMembers = 0b0111
	// replaced is the replica whose disk is wiped or that is to be removed; replacement takes its place.
	replaced    = 2
	replacement = 3
	// termCount is one more than the highest term.
	termCount = 5
	// logLength is the longest log.
	logLength = 5
	nobody    = memberCount
)

// logEntry is an entry of the log: its term in the lower half, its kind in the upper. Zero is none.
type logEntry uint8

// Kinds of entries.
const (
	kindData uint8 = iota
	kindAddLearner
	kindRemove
	kindPromote
	kindCount
)

func makeEntry(term, kind uint8) logEntry { return logEntry(term | kind<<4) }

func (l logEntry) term() uint8 { return uint8(l) & 0xf }

func (l logEntry) kind() uint8 { return uint8(l) >> 4 }

// entryList is a log: no entry follows a zero one.
type entryList [logLength]logEntry

func (l *entryList) length() uint8 {
	for i, e := range l {
		if e == 0 {
			return uint8(i)
		}
	}
	return logLength
}

func (l *entryList) lastTerm() uint8 {
	if n := l.length(); n > 0 {
		return l[n-1].term()
	}
	return 0
}

// shared is the length of the part that both logs have.
func (l *entryList) shared(other *entryList) uint8 {
	n := uint8(0)
	for n < logLength && l[n] != 0 && l[n] == other[n] {
		n++
	}
	return n
}

// cut returns the first n entries.
func (l *entryList) cut(n uint8) entryList {
	var out entryList
	copy(out[:n], l[:n])
	return out
}

// voters is the set of voters by the first n entries, the newest change in force whether it is committed or not.
func (l *entryList) voters(n uint8) uint8 {
	set := uint8(firstMembers)
	for _, e := range l[:n] {
		switch e.kind() {
		case kindRemove:
			set &^= 1 << replaced
		case kindPromote:
			set |= 1 << replacement
		}
	}
	return set
}

// has tells whether the first n entries hold one of the kind.
func (l *entryList) has(kind, n uint8) bool {
	for _, e := range l[:n] {
		if e != 0 && e.kind() == kind {
			return true
		}
	}
	return false
}

// role is what a replica does.
type role uint8

const (
	roleFollower role = iota
	roleCandidate
	roleLeader
	roleGone // its disk is lost, or it has not come yet
)

// member is a replica. What is on disk has its own copy.
type member struct {
	role       role
	term, vote uint8
	log        entryList
	commit     uint8
	// disk is what a crash leaves.
	diskTerm, diskVote uint8
	disk               entryList
	// ackTerm and ackIndex are the acknowledgement that waits for the disk, 0 for none.
	ackTerm, ackIndex uint8
}

// request is a candidate's request for votes, as its log was then. It may arrive at any time.
type request struct {
	sent     bool
	index    uint8
	lastTerm uint8
}

// logState is a state of the model of the log. Messages need no set of their own: a leader's log only grows within
// its term, so that every append message of a term is a part of what the leader of that term had at last.
type logState struct {
	members  [memberCount]member
	requests [termCount][memberCount]request
	votes    [termCount][memberCount]uint8 // who granted, by term and candidate
	leaders  [termCount]uint8              // who leads a term, nobody if no one
	logs     [termCount]entryList          // of the leaders
	commits  [termCount]uint8              // highest committed index that the leader of a term knew
	acks     [termCount][memberCount]uint8 // highest index that a replica acknowledged in a term

	crashes uint8 // what is left of the bound
	wiped   bool
	lost    bool
	seen    uint8 // configuration version that a client holds

	// What the invariants look at: every entry that was ever committed, and the term of the leader that did.
	committed     entryList
	committedTerm [logLength]uint8
	violate       logViolation
}

// logViolation is an invariant that a transition broke.
type logViolation uint8

const (
	logSound logViolation = iota
	twoLeaders
	leaderLacks
	commitDiffers
	versionFell
)

// Invariants of the model of the log.
const (
	ElectionSafety     Invariant = "at most one leader in a term"
	LeaderCompleteness Invariant = "a leader holds every entry committed before, none is lost"
	StateMachineSafety Invariant = "no two replicas commit different entries at an index"
	NoRevert           Invariant = "nobody goes back to an older version of the configuration"
	GroupRecovers      Invariant = "a leader with a quorum can be elected, also after a second loss right after the repair"
)

var logViolations = map[logViolation]Invariant{
	twoLeaders:    ElectionSafety,
	leaderLacks:   LeaderCompleteness,
	commitDiffers: StateMachineSafety,
	versionFell:   NoRevert,
}
