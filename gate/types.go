// Package gate controls what an agent admits to its backend server: the admission order over all entries, attempts
// and their leases, preemption, tombstones, and proofs of how attempts ended. It has no side effects and no clock:
// Step takes an event and the time, and returns actions.
//
// The agent must guarantee:
//
//   - Exactly one EngineEnded follows each StartEngine, one EngineCancelled with the same Try follows each
//     CancelEngine, and one EngineListed follows each ListEngine. Errors are passed on unchanged, since the proofs
//     are derived from them.
//   - The first ListEngine is issued at the first Announced. Nothing is admitted, broadcast or passed to control before
//     the engine is cleared; the first ServerChanged reports that it is.
//   - The gate sends Room, also in answer to a heartbeat. The agent sends AgentHello and AgentHeartbeat.
//
// An entry may rely on the following:
//
//   - Every PROOF_NEVER_STARTED leaves a tombstone: the request needs a higher attempt number to be accepted here again.
//   - Over for a Cancel covers all attempts up to the number that it names. CANCELLED means that they are over and
//     states nothing about what they did; it is also the answer for an unknown attempt that an earlier incarnation of
//     the agent may have run.
//   - PROOF_UNPROVEN is not final: the gate keeps asking the engine and sends the proof once it has one.
package gate

import (
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/wire"
)

// EntryID identifies one incarnation of an entry process. A restarted entry has a new incarnation.
type EntryID struct {
	Name        string
	Incarnation uint64
}

// Event is an input of the gate: something that happened outside it.
type Event interface{ gateEvent() }

type (
	// Tick advances time: leases, probes and estimates are updated. The agent sends one when NextTick says so.
	Tick struct{}

	// EntryConnected reports that the link pair to an entry is open.
	EntryConnected struct{ Entry EntryID }

	// EntryDisconnected reports that an entry's link was lost. The entry's leases stay valid until they expire.
	EntryDisconnected struct{ Entry EntryID }

	// EntryEnded reports that control committed the end of an entry incarnation.
	EntryEnded struct{ Entry EntryID }

	// MessageReceived carries a message of an entry. A Dispatch is passed on only once its body is complete and its
	// digest matches.
	MessageReceived struct {
		Entry   EntryID
		Message *wire.EntryMessage
	}

	// Announced carries the latest announcement of the backend server.
	Announced struct{ Server *wire.ServerRecord }

	// Leaving reports that the backend server or an operator asked for a graceful leave.
	Leaving struct{}

	// Probed carries the result of the agent's own health probe of the backend server.
	Probed struct {
		OK      bool
		Latency time.Duration
	}

	// EngineListed carries the streams that the engine ran when this agent incarnation started. Nothing is admitted
	// before all of them are over. Exactly one follows each ListEngine. If Err is set, the list is unknown;
	// engine.ErrUnsupported means that this backend server keeps no list.
	EngineListed struct {
		Streams []engine.StreamInfo
		Err     error
	}

	// EngineProgress reports that tokens, or parts of a service's answer, arrived for an attempt. Events are
	// forwarded to the entry. The gate keeps the slices, so the agent must not modify them afterwards. The body of
	// a model engine's answer with a status other than 200 is not part of an answer and must not be passed here.
	EngineProgress struct {
		Attempt *wire.AttemptID
		Events  [][]byte
		Tokens  []uint32 // tokens in each event; empty for a service, or if the engine doesn't report them
	}

	// ReaderWaits reports that a run had to wait for its caller to read. Its times say nothing about the server from now
	// on: events that were held back arrive in bursts.
	ReaderWaits struct{ Attempt *wire.AttemptID }

	// EngineEnded reports how a run ended. Err is nil only with a complete outcome. Exactly one follows each
	// StartEngine, and only after the connection of the run is closed.
	EngineEnded struct {
		Attempt     *wire.AttemptID
		Outcome     engine.Outcome
		Err         error
		ContentType string // media type of the answer
	}

	// EngineCancelled carries the engine's answer to a cancel. Exactly one follows each CancelEngine and repeats
	// its Try: an unknown id proves an end only if the cancel was sent after the run's end, which the gate
	// determines from the Try.
	EngineCancelled struct {
		Attempt *wire.AttemptID
		Try     uint32
		Result  engine.CancelResult
		Err     error
	}

	// EngineSuspended carries the engine's answer to a SuspendEngine. Exactly one follows each SuspendEngine and
	// repeats its Try. After a confirmed suspension, EngineEnded with engine.EndSuspended follows as well.
	EngineSuspended struct {
		Attempt    *wire.AttemptID
		Try        uint32
		Suspension engine.Suspension
		Err        error
	}

	// ServerVerified answers a VerifyServer. Ended is true if nothing listens at the server's address any more.
	ServerVerified struct{ Ended bool }

	// ServerObserved carries what a response of the server said about the load that it accepts.
	ServerObserved struct{ Observation backpressure.Observation }

	// SendersChanged reports how many agents send to the server, including this one; they share its rate limit.
	SendersChanged struct{ Count int }

	// EngineLoad carries a load report of the given age.
	EngineLoad struct {
		Load engine.Load
		Age  time.Duration
	}
)

func (Tick) gateEvent()              {}
func (EntryConnected) gateEvent()    {}
func (EntryDisconnected) gateEvent() {}
func (EntryEnded) gateEvent()        {}
func (MessageReceived) gateEvent()   {}
func (Announced) gateEvent()         {}
func (Leaving) gateEvent()           {}
func (Probed) gateEvent()            {}
func (EngineListed) gateEvent()      {}
func (EngineProgress) gateEvent()    {}
func (ReaderWaits) gateEvent()       {}
func (EngineEnded) gateEvent()       {}
func (EngineCancelled) gateEvent()   {}
func (EngineLoad) gateEvent()        {}
func (EngineSuspended) gateEvent()   {}
func (ServerObserved) gateEvent()    {}
func (SendersChanged) gateEvent()    {}
func (ServerVerified) gateEvent()    {}

// Action is something that the agent has to do. Actions are carried out in the order given.
type Action interface{ gateAction() }

type (
	// Send passes a message to an entry's link. The agent drops it if the link is down: every message is either
	// repeated after EntryConnected or covered by a lease.
	Send struct {
		Entry   EntryID
		Message *wire.AgentMessage
	}

	// Broadcast passes a message to all connected entries.
	Broadcast struct{ Message *wire.AgentMessage }

	// StartEngine runs an attempt at the backend server; EngineProgress and EngineEnded follow. Resume is set for a
	// run that the server has suspended; the run continues after the last event that the agent received of it.
	StartEngine struct {
		Dispatch *wire.Dispatch
		Resume   *engine.Suspension
		// Reason states why a suspended run resumes, one of the Resume constants, and Suspended for how long it was
		// stopped. Both are for logs and metrics.
		Reason    string
		Suspended time.Duration
	}

	// SuspendEngine suspends the run of an attempt; EngineSuspended with the same Try follows. Targets are addresses
	// of other servers, as IP:port, that may take a copy of its memory.
	SuspendEngine struct {
		Attempt *wire.AttemptID
		Stream  engine.AttemptID
		Targets []string
		Try     uint32
		// For is the attempt that the slot is for, and Remaining the expected remaining time of the run. Both are for
		// logs.
		For       *wire.AttemptID
		Remaining time.Duration
	}

	// DiscardSuspended frees the memory of a suspended run. No event follows.
	DiscardSuspended struct {
		Attempt    *wire.AttemptID
		Suspension engine.Suspension
	}

	// CancelEngine cancels an attempt at the backend server; EngineCancelled with the same Try follows. The gate
	// repeats it as needed. Stream is the engine's identifier of the stream to cancel.
	CancelEngine struct {
		Attempt *wire.AttemptID
		Stream  engine.AttemptID
		Try     uint32
	}

	// ListEngine asks the engine for its streams; EngineListed follows.
	ListEngine struct{}

	// VerifyServer asks for an immediate check whether the server's process is still there; exactly one
	// ServerVerified follows.
	VerifyServer struct{}

	// Crashed reports that the server's process ended while it ran these attempts, without having announced that it
	// leaves.
	Crashed struct {
		Crash *wire.Crash
		Runs  []Run
		// Repeated means that the same crash was reported before, with other attempts.
		Repeated bool
	}

	// ReportOutcome proposes the outcome of a keyed attempt to control because the entry that owned it is gone.
	ReportOutcome struct{ Complete *wire.CompleteOperation }

	// ServerChanged carries a server record for control's directory (condition, models, slots).
	ServerChanged struct{ Server *wire.ServerRecord }

	// ThrottleChanged reports that a response changed the known limits of the server: Rate is the new rate limit,
	// Until the end of the requested backoff, and Expects whether responses that carry no advice are significant.
	ThrottleChanged struct {
		Rate        backpressure.Rate
		Until       time.Time
		Expects     bool
		Observation backpressure.Observation
	}

	// Throttled reports that an attempt was refused, or sent to another server, because of the server's rate limit
	// or backoff. Wait is the time until the server accepts such a request.
	Throttled struct {
		Attempt *wire.AttemptID
		Class   string
		Reason  backpressure.Reason
		Wait    time.Duration
	}

	// Count adds to a counter.
	Count struct {
		Counter Counter
		Code    uint16 // result code, 0 for none
		Tier    uint32
		Add     uint64
		Label   string // organisation, reason or cause, depending on the counter
	}
)

func (Send) gateAction()             {}
func (Broadcast) gateAction()        {}
func (StartEngine) gateAction()      {}
func (CancelEngine) gateAction()     {}
func (SuspendEngine) gateAction()    {}
func (DiscardSuspended) gateAction() {}
func (ListEngine) gateAction()       {}
func (VerifyServer) gateAction()     {}
func (Crashed) gateAction()          {}
func (ReportOutcome) gateAction()    {}
func (ServerChanged) gateAction()    {}
func (ThrottleChanged) gateAction()  {}
func (Throttled) gateAction()        {}
func (Count) gateAction()            {}

// Run identifies a request that a server ran when it crashed.
type Run struct {
	Request      string
	Organisation string
	Fingerprint  poison.Fingerprint
	Target       string   // model or service
	Parts        []uint64 // IDs of the prompt's parts that other requests may share
}

// Counter identifies a counter of the gate.
type Counter uint8

// Counters of the gate, with the fields of Count that qualify them.
const (
	Refusals      Counter = iota // by Code and Tier
	Preemptions                  // by Tier of the preempted attempt
	WastedPrefill                // in tokens, by Label (cause)
	ServedTokens                 // by Label (organisation) and Tier
	LeasesExpired
	ChartErrors
	Suspensions // by Label (outcome) and Tier of the run
	Resumes     // by Label (reason, or why it failed) and Tier of the run
)
