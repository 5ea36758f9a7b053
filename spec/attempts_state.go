package spec

// Bounds of the model of attempts. Arrays have these lengths; what may happen within them is in AttemptBounds.
const (
	entryCount       = 2
	agentCount       = 2
	incarnationCount = 2
	callCount        = 2
	// ownerCount counts the incarnations of all entries.
	ownerCount = entryCount * incarnationCount
	// epochAttempts is the number of attempts in one epoch. Attempt numbers are 1 and 2 in the first epoch, 3 and 4
	// in the second: what the code has as epoch<<16 | number.
	epochAttempts = 2
	// numberCount is the number of attempt numbers.
	numberCount = 2 * epochAttempts
	// bothAgents is the set of all agents.
	bothAgents = 1<<agentCount - 1
	noAgent    = agentCount
)

// outcome is what became of a call as its caller knows it.
type outcome uint8

const (
	callIdle outcome = iota
	callOpen
	callAnswered
	callNotRun  // ran: no
	callRan     // ran: yes, without a whole answer
	callUnknown // ran: unknown
	callLost    // the entry died or the caller gave up
)

var outcomeNames = [...]string{"idle", "open", "answered", "not_run", "ran", "unknown", "lost"}

// ran is what is proved about the attempts of a request.
type ran uint8

const (
	ranNo ran = iota
	ranUnknown
	ranYes
)

// worse joins what is proved of two attempts, as package sched does.
func worse(a, b ran) ran {
	return max(a, b)
}

// recordState is the state of an operation record.
type recordState uint8

const (
	recordNone recordState = iota
	recordOpen
	recordDone
	recordUnknown
)

// proof is what an Over message says.
type proof uint8

const (
	proofNever proof = iota
	proofOver        // over, may have begun: what the code sends as PROOF_CANCELLED, see GuardBeganIsProved
	proofCancelled
	proofFailed
	proofCompleted
	proofCount
)

// phase is how far an entry is with the operation.
type phase uint8

const (
	phaseIdle      phase = iota
	phaseBeginning       // the begin of the record is proposed
	phaseLive            // the scheduler has the request
	phaseEnded           // the request has ended; the record isn't released or completed yet, as far as known
)

// controlState is the replicated state. That it is one copy that loses nothing is what the model of the log shows.
type controlState struct {
	record    recordState
	owner     uint8 // of the record
	epoch     uint8
	earlier   uint8             // servers that have to prove attempts of earlier epochs over
	begins    uint8             // owners whose begin was proposed
	completes uint8             // epochs whose completion was proposed
	listed    [entryCount]uint8 // registered incarnation, 0 for none
	ended     [entryCount]uint8 // highest ended incarnation
}

// entry is an entry instance.
type entry struct {
	up          bool
	incarnation uint8
	phase       phase
	state       requestState
	call        uint8 // number of the call that is served, 0 for none
	callerGone  bool
	epoch       uint8
	sent        uint8 // attempts of this epoch
	agent       uint8 // of the present attempt, noAgent for none
	number      uint8 // of the present attempt
	against     uint8 // incarnation of the agent that it was sent to
	frame       uint8 // number of the attempt whose frame is kept, 0 for none
	end         bool  // the present attempt's end was heard
	cancelled   bool  // the cancel of the present attempt was sent
	waiting     uint8 // servers whose proof of earlier attempts is missing
	ran         ran   // of the attempts that are proved over
	known       [agentCount]uint8
}

// agent is an agent with its engine.
type agent struct {
	up          bool
	incarnation uint8
	server      serverState
	current     uint8 // number of the attempt that isn't over, 0 for none
	owner       uint8 // of the current attempt
	state       attemptState
	open        bool  // the call to the engine hasn't returned
	over        uint8 // tombstone: highest number that is over
	ran         uint8 // highest number that ran
	last        uint8 // number of the attempt that ended last and whose proof is kept, 0 for none
	lastOwner   uint8
	lastProof   proof
	ended       [entryCount]uint8

	// The engine. Bits are attempt numbers.
	calls   uint8 // on their way to the engine
	running uint8
	stopped uint8 // suspended runs whose memory the engine keeps

	// Messages, which stay once they were sent: each may be delivered any number of times, late, or never.
	reserve  [ownerCount]uint8
	dispatch [ownerCount]uint8
	cancel   [ownerCount]uint8
	offer    [entryCount]uint8
	// By incarnation of the agent that sent them.
	frames [incarnationCount][entryCount]uint8
	overs  [incarnationCount][entryCount][proofCount]uint8
}

// attemptsState is a state of the model of attempts.
type attemptsState struct {
	control controlState
	entries [entryCount]entry
	agents  [agentCount]agent
	calls   [callCount]outcome

	// What is left of the bounds.
	entryCrashes, agentCrashes, wrongEnds, leaves, losses, runs, suspensions uint8

	// What the invariants look at.
	began   uint8 // epochs of the present record of which an engine began an attempt, bits
	starts  uint8 // how often an engine began the work, 2 for more
	saidNo  uint8 // highest epoch of the present record of which a caller heard ran: no
	ends    uint8 // numbers whose run was complete
	violate violation
}

// violation is an invariant that a transition broke.
type violation uint8

const (
	violateNone violation = iota
	violateOneEngine
	violateOnce
	violateNotRun
	violateRan
	violateWhole
	violateAfterAnswer
	violateDrained
)

// Invariants of the model of attempts.
const (
	OneEngine   Invariant = "at most one engine runs the request at a time"
	Once        Invariant = "work that may not be repeated runs at most once"
	NotRunTrue  Invariant = "who hears ran: no is told the truth for ever"
	RanTrue     Invariant = "who hears ran: yes is told the truth"
	WholeAnswer Invariant = "an answer is whole and of one complete run"
	AfterAnswer Invariant = "a resend after an answer runs nothing that may not be repeated"
	DrainedIdle Invariant = "a drained server has nothing in flight"
	CallEnds    Invariant = "every call can still end with an answer, a refusal, a failure or unknown"
)

var violations = map[violation]Invariant{
	violateOneEngine:   OneEngine,
	violateOnce:        Once,
	violateNotRun:      NotRunTrue,
	violateRan:         RanTrue,
	violateWhole:       WholeAnswer,
	violateAfterAnswer: AfterAnswer,
	violateDrained:     DrainedIdle,
}

func ownerOf(e int, incarnation uint8) uint8 {
	return uint8(e)*incarnationCount + incarnation - 1
}

func entryOf(owner uint8) int { return int(owner / incarnationCount) }

func incarnationOf(owner uint8) uint8 { return owner%incarnationCount + 1 }

func bit(number uint8) uint8 { return 1 << (number - 1) }

func epochOf(number uint8) uint8 { return (number-1)/epochAttempts + 1 }

// live tells whether the owner's process runs.
func (s *attemptsState) live(owner uint8) bool {
	e := &s.entries[entryOf(owner)]
	return e.up && e.incarnation == incarnationOf(owner)
}

// gone tells whether control has no registration of the owner, as state.isGone does.
func (s *attemptsState) gone(owner uint8) bool {
	return s.control.listed[entryOf(owner)] != incarnationOf(owner)
}

func (e *entry) owner(at int) uint8 { return ownerOf(at, e.incarnation) }

func (e *entry) hasAttempt() bool { return e.agent != noAgent }

// proved is what is proved of all attempts of the request.
func (e *entry) proved() ran {
	r := e.ran
	if e.waiting != 0 {
		r = worse(r, ranUnknown)
	}
	if !e.hasAttempt() {
		return r
	}
	if e.frame == e.number || e.end {
		return ranYes
	}
	return worse(r, ranUnknown)
}

// cleared tells whether the agent's engine is proved free of what ran before.
func (a *agent) cleared() bool {
	return a.server != serverAnnounced && a.server != serverLeaving
}
