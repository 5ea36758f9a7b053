package gate

import (
	"strconv"
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/engine"
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
	server   string // as the entry named it
	work     *wire.Work
	dispatch *wire.Dispatch // nil for a reservation

	fingerprint poison.Fingerprint // of the request, once dispatched
	crash       *wire.Crash        // the end of the server's process while it ran, nil for none

	state      attemptState
	cancelOnly bool   // known by its cancel only
	sequence   uint64 // of arrival
	arrived    time.Time
	deadline   time.Time // zero for none

	wait   waitState
	run    runState
	frames frameState
	cancel cancelState
}

// waitState is an attempt's place among the waiting ones.
type waitState struct {
	queue      *queue
	heap       *attemptHeap
	index      int
	late       bool // can't meet its deadline any more, or let an offer lapse
	lapses     int
	offerUntil time.Time
	offeredAt  time.Time // when the offer was last sent
}

// runState is what an attempt holds of the server, and how its run goes.
type runState struct {
	holdsRoom      bool // room
	holdsPermit    bool // counted against the server's rate, and not sent
	permit         backpressure.Permit
	callOpen       bool // StartEngine was issued and EngineEnded hasn't come
	started        time.Time
	firstToken     time.Time
	lastToken      time.Time
	tokens         uint32 // produced by this attempt
	pendingPrefill int64  // uncached prompt tokens not yet computed, of those in flight
	prefillAtStart int64  // uncached prompt tokens in flight when it started, its own included
	cacheTokens    int64  // tokens of cache memory
	chargedCost    int64  // cost charged
	concurrency    int    // runs at its start, its own included
	wastedPrefill  uint32 // prompt tokens computed for nothing
}

// cancelState is how the end of an attempt is asked for.
type cancelState struct {
	cause            string
	preemptorTier    uint32 // that took the slot, 0 for none
	inquirers        []inquirer
	try              uint32    // of the last CancelEngine
	firstTryAfterRun uint32    // first try that was issued after the run's end, 0 for none
	unanswered       int       // CancelEngines without an answer
	pending          bool      // the last of them has none
	requestedAt      time.Time // when the end was first asked for
	issuedAt         time.Time
	nextTryAt        time.Time
	backoff          time.Duration
	unprovenSent     bool
	unprovenSince    time.Time // when the run returned without a proof
	unsupported      bool      // the server has no cancel call
	unprovableSent   bool      // the owner was told that no proof will come
}

// inquirer is an entry that waits for the proof that attempts up to a number are over.
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

// engineID is the engine's name of the attempt.
func (a *attempt) engineID() engine.AttemptID { return engineAttemptID(a.record.request, a.number) }

func engineAttemptID(request string, number uint64) engine.AttemptID {
	return engine.AttemptID(request + "." + strconv.FormatUint(number, 10))
}

// hasStarted tells whether StartEngine was issued.
func (a *attempt) hasStarted() bool { return !a.run.started.IsZero() }

// awaitsEvents tells whether the agent still has something to tell about the attempt.
func (a *attempt) awaitsEvents() bool { return a.run.callOpen || a.cancel.unanswered > 0 }

// uncachedTokens is the number of prompt tokens that the engine is expected to compute.
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
	return a
}
