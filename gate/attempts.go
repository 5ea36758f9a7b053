package gate

import (
	"strconv"
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Causes of cancelled work, the labels of WastedPrefill.
const (
	CauseCallerLeft   = "caller_left"
	CauseDeadline     = "deadline"
	CauseRetry        = "retry"
	CauseTakeover     = "takeover"
	CauseCancelled    = "cancelled"
	CauseLeaseExpired = "lease_expired"
	CausePreempted    = "preempted"
	CauseEngineLost   = "engine_lost"
	CauseEngineFailed = "engine_failed"
)

var cancelCauses = map[wire.CancelCause]string{
	wire.CancelCause_CANCEL_CAUSE_UNSPECIFIED: CauseCancelled,
	wire.CancelCause_CANCEL_CAUSE_CALLER_LEFT: CauseCallerLeft,
	wire.CancelCause_CANCEL_CAUSE_DEADLINE:    CauseDeadline,
	wire.CancelCause_CANCEL_CAUSE_RETRY:       CauseRetry,
	wire.CancelCause_CANCEL_CAUSE_TAKEOVER:    CauseTakeover,
}

// attempt is one attempt of a request at this server.
type attempt struct {
	record   *record
	owner    *entryState
	number   uint64
	server   string // server name that the entry used
	work     *wire.Work
	dispatch *wire.Dispatch // nil for a reservation

	fingerprint poison.Fingerprint // of the request, set at the dispatch
	parts       []uint64           // shared parts of its prompt, set at the dispatch
	crash       *wire.Crash        // crash of the server while the attempt ran, nil for none
	brokenOff   framing.Cause      // why its answer isn't whole, if the server broke it off
	body        framing.End        // how the answer's body ended, set when the call has returned

	state      attemptState
	cancelOnly bool   // known only from a Cancel
	sequence   uint64 // order of arrival
	arrived    time.Time
	deadline   time.Time // zero for none
	objective  time.Time // when the first event is due, zero for none

	wait       waitState
	run        runState
	frames     frameState
	cancel     cancelState
	suspension suspensionState
}

// waitState is the position of an attempt in the waiting list.
type waitState struct {
	queue      *queue
	heap       *attemptHeap
	index      int
	passes     int  // times that one behind it in its queue went first, see preferFewServers
	late       bool // can't meet its deadline, or let an offer lapse
	lapses     int
	offerUntil time.Time
	offeredAt  time.Time // when the offer was last sent
}

// runState holds the resources that an attempt uses at the server, and the progress of its run.
type runState struct {
	holdsRoom      bool // counts against the server's slots
	holdsPermit    bool // counts against the server's rate and is not sent yet
	permit         backpressure.Permit
	callOpen       bool // StartEngine was issued and EngineEnded hasn't arrived
	started        time.Time
	firstToken     time.Time
	lastToken      time.Time
	readerWaited   bool   // the run had to wait for its caller at least once
	tokens         uint32 // produced by this attempt
	pendingPrefill int64  // its uncached prompt tokens in flight that are not computed yet
	prefillAtStart int64  // uncached prompt tokens in flight when it started, its own included
	cacheTokens    int64  // tokens of cache memory
	cacheVariance  int64  // square of the uncertainty of cacheTokens
	chargedCost    int64  // cost charged at the start
	concurrency    int    // runs at its start, its own included
	wastedPrefill  uint32 // prompt tokens computed without use
}

// cancelState tracks the cancellation of an attempt.
type cancelState struct {
	cause            string
	preemptorTier    uint32 // tier that preempted the attempt, 0 for none
	inquirers        []inquirer
	try              uint32    // Try of the last CancelEngine
	firstTryAfterRun uint32    // first try issued after the run's end, 0 for none
	unanswered       int       // number of CancelEngines without an answer
	pending          bool      // the last CancelEngine has no answer
	requestedAt      time.Time // when the cancellation was first requested
	issuedAt         time.Time
	nextTryAt        time.Time // when the next try is due
	backoff          time.Duration
	unprovenSent     bool
	unprovenSince    time.Time // when the run returned without a proof
	unsupported      bool      // the server has no cancel call
	unprovableSent   bool      // the owner was told that no proof will come
}

// inquirer is an entry that waits for the proof that all attempts up to a number are over.
type inquirer struct {
	entry  EntryID
	number uint64
	server string
	cause  wire.CancelCause
}

func (a *attempt) tier() uint32 { return a.work.GetTier() }

func (a *attempt) id() *wire.AttemptID {
	return &wire.AttemptID{Request: a.record.request, Number: a.number}
}

// engineID returns the engine's identifier of the attempt.
func (a *attempt) engineID() engine.AttemptID { return engineAttemptID(a.record.request, a.number) }

func engineAttemptID(request string, number uint64) engine.AttemptID {
	return engine.AttemptID(request + "." + strconv.FormatUint(number, 10))
}

// hasStarted reports whether StartEngine was issued.
func (a *attempt) hasStarted() bool { return !a.run.started.IsZero() }

// awaitsEvents reports whether an EngineEnded, EngineCancelled or EngineSuspended of the attempt is outstanding.
func (a *attempt) awaitsEvents() bool {
	return a.run.callOpen || a.cancel.unanswered > 0 || a.suspension.unanswered > 0
}

// uncachedTokens returns the number of prompt tokens that the engine is expected to compute.
func (a *attempt) uncachedTokens() int64 {
	return max(int64(a.work.GetPromptTokens())-int64(a.work.GetCachedTokens()), 0)
}

func (g *Gate) newAttempt(r *record, owner *entryState, id *wire.AttemptID, server string, work *wire.Work) *attempt {
	g.sequence++
	a := &attempt{
		record:   r,
		owner:    owner,
		number:   id.GetNumber(),
		server:   server,
		work:     work,
		sequence: g.sequence,
		arrived:  g.now,
	}
	if remaining := work.GetRemainingMs(); remaining > 0 {
		a.deadline = g.now.Add(time.Duration(remaining) * time.Millisecond)
	}
	if objective := work.GetObjectiveMs(); objective > 0 {
		a.objective = g.now.Add(time.Duration(objective) * time.Millisecond)
	}
	return a
}
