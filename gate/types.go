// Package gate decides what an agent lets into its backend server: admission order over all entries, attempts and
// their leases, preemption, tombstones and proofs. It is pure: events and the time go in, actions come out.
//
// What the agent has to keep to:
//
//   - Exactly one EngineEnded follows each StartEngine, one EngineCancelled with the same Try each CancelEngine, and one
//     EngineListed each ListEngine. Errors are passed on as they are: a proof is made of them.
//   - The first ListEngine comes with the first Announced. Nothing is admitted, broadcast or passed to control before
//     the engine is cleared; the first Changed says that it is.
//   - Room is sent by the gate, also in answer to a heartbeat; AgentHello and AgentHeartbeat are the agent's.
//
// What an entry may rely on:
//
//   - Every PROOF_NEVER_STARTED leaves a tombstone: the request needs a higher attempt number to come back here.
//   - Over for a Cancel speaks of all attempts up to the number that it names. CANCELLED says that they are over and
//     claims nothing about what they did; it is also the answer for an attempt that is not known and that an earlier
//     incarnation of the agent may have run.
//   - PROOF_UNPROVEN is no answer: the gate goes on asking the engine and sends the proof once it has one.
package gate

import (
	"time"

	"github.com/carawaypitch/carawaypitch/backpressure"
	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/wire"
)

// EntryID names one run of an entry process. A restarted entry is another one.
type EntryID struct {
	Name        string
	Incarnation uint64
}

// Event is something that happened outside the gate.
type Event interface{ gateEvent() }

type (
	// Tick lets time pass: leases, probes and estimates are looked at. The agent sends one when NextTick says so.
	Tick struct{}

	// EntryConnected says that an entry's link pair is open.
	EntryConnected struct{ Entry EntryID }

	// EntryDisconnected says that an entry's link was lost. Its leases run on until they expire.
	EntryDisconnected struct{ Entry EntryID }

	// EntryEnded says that control committed the end of an entry incarnation.
	EntryEnded struct{ Entry EntryID }

	// MessageReceived carries a message of an entry. A Dispatch is passed on only once its body is whole and its digest holds.
	MessageReceived struct {
		Entry   EntryID
		Message *wire.EntryMessage
	}

	// Announced carries the latest announcement of the backend server.
	Announced struct{ Server *wire.ServerRecord }

	// Leaving says that the backend server or an operator asked for a graceful leave.
	Leaving struct{}

	// Probed carries the verdict of the agent's own probe of the backend server.
	Probed struct {
		OK      bool
		Latency time.Duration
	}

	// EngineListed carries the streams that the engine ran when this agent incarnation started. Nothing is admitted
	// before all of them are over. Exactly one follows each ListEngine; with Err the list is not known.
	// engine.ErrUnsupported says that this backend server keeps no list.
	EngineListed struct {
		Streams []engine.StreamInfo
		Err     error
	}

	// EngineProgress says that tokens (or a service's answer) arrived for an attempt. Events go on to the entry. The
	// gate keeps the slices, so the agent must not write to them again. What a model engine answers with a status
	// other than 200 is no part of an answer and must not come this way.
	EngineProgress struct {
		Attempt *wire.AttemptID
		Events  [][]byte
		Tokens  []uint32 // in each event; empty: the engine doesn't say, or a service's answer
	}

	// EngineEnded says how a run ended. Err is nil only with a complete outcome. Exactly one follows each StartEngine,
	// and only once the connection of the run is closed.
	EngineEnded struct {
		Attempt     *wire.AttemptID
		Outcome     engine.Outcome
		Err         error
		ContentType string // of the answer
	}

	// EngineCancelled carries the engine's answer to a cancel. Exactly one follows each CancelEngine, with its Try:
	// an unknown id proves an end only if the cancel was sent after the run's end, and the gate tells by the Try.
	EngineCancelled struct {
		Attempt *wire.AttemptID
		Try     uint32
		Result  engine.CancelResult
		Err     error
	}

	// ServerVerified answers a VerifyServer: Ended says that nothing listens at the server's address any more.
	ServerVerified struct{ Ended bool }

	// ServerObserved carries what an answer of the server said of the work that it takes.
	ServerObserved struct{ Observation backpressure.Observation }

	// SendersChanged says how many agents send to the server, this one included; they share its rate limit.
	SendersChanged struct{ Count int }

	// EngineLoad carries a load report, as old as Age.
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
func (EngineEnded) gateEvent()       {}
func (EngineCancelled) gateEvent()   {}
func (EngineLoad) gateEvent()        {}
func (ServerObserved) gateEvent()    {}
func (SendersChanged) gateEvent()    {}
func (ServerVerified) gateEvent()    {}

// Action is something the agent has to do, in the order given.
type Action interface{ gateAction() }

type (
	// Send passes a message to an entry's link. If the link is down the agent drops it: every message is either
	// repeated after EntryUp or covered by a lease.
	Send struct {
		Entry   EntryID
		Message *wire.AgentMessage
	}

	// Broadcast passes a message to all linked entries.
	Broadcast struct{ Message *wire.AgentMessage }

	// StartEngine runs an attempt at the backend server; EngineProgress and EngineEnded follow.
	StartEngine struct{ Dispatch *wire.Dispatch }

	// CancelEngine cancels an attempt at the backend server; EngineCancelled with the same Try follows. The gate repeats
	// it as needed. Stream is the engine's name of what is to be cancelled.
	CancelEngine struct {
		Attempt *wire.AttemptID
		Stream  engine.AttemptID
		Try     uint32
	}

	// ListEngine asks the engine for its streams; EngineListed follows.
	ListEngine struct{}

	// VerifyServer asks at once whether the server's process is still there; exactly one Verified follows.
	VerifyServer struct{}

	// Crashed says that the server's process ended, without having said that it leaves, while it ran these attempts.
	Crashed struct {
		Crash *wire.Crash
		Runs  []Run
		// Repeated: the same end was told before, with other attempts.
		Repeated bool
	}

	// ReportOutcome proposes the outcome of a keyed attempt to control because its entry is gone.
	ReportOutcome struct{ Complete *wire.CompleteOperation }

	// ServerChanged says that the server's record must go to control's directory (condition, models, slots).
	ServerChanged struct{ Server *wire.ServerRecord }

	// ThrottleChanged says that an answer changed what the gate believes of the server: Rate is the limit from now on, Until the end of the
	// time to keep away, and Expects whether answers that say nothing matter.
	ThrottleChanged struct {
		Rate        backpressure.Rate
		Until       time.Time
		Expects     bool
		Observation backpressure.Observation
	}

	// Throttled says that an attempt was refused, or sent elsewhere, for what the server asked of its senders. Wait is the time
	// until the server may get it.
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
		Label   string // organisation, reason or cause, by counter
	}
)

func (Send) gateAction()            {}
func (Broadcast) gateAction()       {}
func (StartEngine) gateAction()     {}
func (CancelEngine) gateAction()    {}
func (ListEngine) gateAction()      {}
func (VerifyServer) gateAction()    {}
func (Crashed) gateAction()         {}
func (ReportOutcome) gateAction()   {}
func (ServerChanged) gateAction()   {}
func (ThrottleChanged) gateAction() {}
func (Throttled) gateAction()       {}
func (Count) gateAction()           {}

// Run is a request that a server ran when it crashed.
type Run struct {
	Request      string
	Organisation string
	Fingerprint  poison.Fingerprint
}

// Counter names a counter of the gate.
type Counter uint8

// The counters of the gate.
const (
	Refusals      Counter = iota // by Code and Tier
	Preemptions                  // by Tier of the preempted attempt
	WastedPrefill                // tokens, by Label (cause)
	ServedTokens                 // by Label (organisation) and Tier
	LeasesExpired
	ChartErrors
)
