// Package sched decides for one entry which request goes to which backend server and when, which requests are
// refused and which are retried. It does no I/O and reads no clock: events and the current time are its input,
// actions its output.
package sched

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/retry"
	"github.com/carawaypitch/carawaypitch/wire"
)

// EpochShift is the number of low bits of an attempt number that count attempts within an owner's epoch. An epoch
// is an index of control's log; the 48 bits above suffice for 89 years at 100,000 commands per second.
const EpochShift = 16

// Request is a caller's request after its key, class and body were checked.
type Request struct {
	ID           string
	Organisation string
	Class        *wire.Class
	Target       string // model or service
	Method       string
	Path         string
	ContentType  string
	Body         []byte
	BodyDigest   uint64   // xxhash64
	PromptTokens uint32   // estimated tokens of the prompt
	MaxTokens    uint32   // bound set by the caller, 0 for none
	OutputTokens uint32   // expected by the caller, 0 if not given
	Prefix       []uint64 // digests of the prompt's leading blocks, shortest prefix first
	Parts        []Part   // of the prompt, in order; the last one belongs to this request alone; nil if not known
	Stream       bool     // events are delivered as they arrive
	Arrived      time.Time
	Read         time.Time // when its body had been read, zero if unknown
	Deadline     time.Time

	// Objective is when the answer, or the first event of a stream, is due; zero for a request whose whole answer
	// is due at its deadline. A request is queued no longer than until its objective: after that it would be late
	// anyway, and take the slot of a request that can still be in time.
	Objective time.Time

	// Overdue reports whether the objective had already passed when the request arrived: its caller was refused
	// before and has retried. It is ordered after the requests of its class that may still be in time.
	Overdue bool

	// Pause is the longest pause between two events of a stream that is on time; 0 for an answer that is no stream.
	Pause time.Duration

	// Abandon is the silence after which the caller leaves a stream, also before its first event; 0 if it isn't known.
	Abandon time.Duration

	// EntryStopsBy is the latest time at which the entry process exits, zero while it isn't stopping. A request
	// that would probably run longer is refused on arrival.
	EntryStopsBy time.Time

	// Verbatim is set for a request that is passed to its backend server byte for byte. MaxAttempts then bounds the
	// attempts that may have begun; 0 means the scheduler's default.
	Verbatim    *Verbatim
	MaxAttempts int

	// StreamKey identifies the stream that the request begins or resumes, for agents, see package origin. It is 0 if the caller may
	// not resume it, or if the version that began it isn't certain.
	StreamKey origin.Key
	// Origin is set for a request that resumes a stream which an earlier request of the caller began.
	Origin *StreamOrigin

	// Key and the fields below are set for a keyed request, whose operation record is committed before Arrive.
	Key            string
	Epoch          uint64
	Candidates     []string // servers that the record allows; empty allows any
	EarlierServers []string // servers whose proofs are needed first, after a takeover
}

// Part is a part of a prompt, such as a document or an earlier message of a conversation.
type Part struct {
	ID     uint64 // the same in all requests that share the part
	Tokens uint32
}

// sharedParts returns the IDs of the parts that other requests may share, each once and in order.
func (r *Request) sharedParts() []uint64 {
	if len(r.Parts) < 2 {
		return nil
	}
	ids := make([]uint64, 0, len(r.Parts)-1)
	for _, part := range r.Parts[:len(r.Parts)-1] {
		if part.ID != 0 && !slices.Contains(ids, part.ID) {
			ids = append(ids, part.ID)
		}
	}
	return ids
}

// IsResumable reports whether the answer is a stream that may be resumed at another server, or by another request.
func (r *Request) IsResumable() bool { return r.Stream && r.Class.GetRepeatable() }

// fingerprint identifies repeats of the request by the same caller.
func (r *Request) fingerprint() poison.Fingerprint {
	content := poison.Content{
		Method: r.Method, Host: r.Target, Target: r.Path, BodyDigest: r.BodyDigest, BodySize: len(r.Body),
	}
	if r.Verbatim != nil {
		content.Host = r.Verbatim.Host
	}
	return content.Fingerprint()
}

// Verbatim holds what is additionally needed to pass a request on unchanged. Path is then the whole request target.
type Verbatim struct {
	Host    string
	Headers []*wire.Header
	// LastEvent is the ID of the last event that the caller has of a stream that it resumes, empty for a new stream.
	LastEvent string
}

// Event is an input to the scheduler.
type Event interface{ schedEvent() }

type (
	// Tick reports that time has passed. The entry sends one after the delay that NextTick returns.
	Tick struct{}

	// Arrive submits a request. Exactly one Answer or Fail follows for it.
	Arrive struct{ Request *Request }

	// CallerLeft reports that the caller no longer waits for the answer.
	CallerLeft struct{ Request string }

	// AgentUp reports that the pair of links to an agent is open.
	AgentUp struct{ Hello *wire.AgentHello }

	// AgentDown reports that the link to an agent was lost or its heartbeat is overdue. This doesn't prove its
	// attempts over.
	AgentDown struct {
		Agent       string
		Incarnation uint64
	}

	// MessageReceived carries a message of an agent.
	MessageReceived struct {
		Agent       string
		Incarnation uint64
		Message     *wire.AgentMessage
	}

	// Directory carries the complete committed directory.
	Directory struct {
		Agents []*wire.AgentRecord
		// Entries is the number of entries in the deployment. The retry allowance is divided among them.
		Entries int
		// First reports that the directory lists this process, and that no earlier one of this entry is known, which might have
		// used the entry's part.
		First bool
	}

	// Config carries all committed classes.
	Config struct {
		Version uint64
		Classes []*wire.Class
	}

	// CandidatesWidened is the reply to WidenCandidates: the record now allows the candidates, or Code says why
	// not.
	CandidatesWidened struct {
		Request    string
		Candidates []string
		Code       result.Code
	}

	// EngineProved carries the backend server's own reply about an attempt whose agent is unreachable.
	EngineProved struct {
		Attempt *wire.AttemptID
		Server  string
		Proof   wire.Proof
	}

	// PoisonRecords carries all committed records of requests that are watched or quarantined.
	PoisonRecords struct{ Records []*wire.PoisonRecord }

	// Rollouts carries all committed roll-outs. OldServers is the number of servers of other versions than the new one, by
	// pool, in the whole deployment, which may be more than Directory lists.
	Rollouts struct {
		Rollouts   []*wire.Rollout
		OldServers map[string]int
	}

	// ControlContact reports when the last poll was sent that control has confirmed. A zero time means that contact is lost.
	ControlContact struct{ ConfirmedAt time.Time }

	// FleetDemand carries the demand that the other entries have reported. At is when the poll was sent that it answers.
	FleetDemand struct {
		Summary *wire.DemandSummary
		At      time.Time
	}

	// CacheHint carries a prefix cache event of a server. Such events arrive late, and some are missing.
	CacheHint struct {
		Server  string
		Digest  uint64
		Evicted bool
	}
)

func (Tick) schedEvent()              {}
func (Arrive) schedEvent()            {}
func (CallerLeft) schedEvent()        {}
func (AgentUp) schedEvent()           {}
func (AgentDown) schedEvent()         {}
func (MessageReceived) schedEvent()   {}
func (Directory) schedEvent()         {}
func (Config) schedEvent()            {}
func (CandidatesWidened) schedEvent() {}
func (EngineProved) schedEvent()      {}
func (PoisonRecords) schedEvent()     {}
func (Rollouts) schedEvent()          {}
func (ControlContact) schedEvent()    {}
func (FleetDemand) schedEvent()       {}
func (CacheHint) schedEvent()         {}

// Action is something that the entry has to do. Actions are carried out in the order given.
type Action interface{ schedAction() }

type (
	// Send sends a message on an agent's link. A message that can't be sent is treated as lost. It must not be sent
	// on a link to another incarnation of the agent: a newer incarnation is taken as proof that earlier dispatches
	// are over, so a dispatch that reached it would run concurrently with the next attempt.
	Send struct {
		Agent       string
		Incarnation uint64
		Message     *wire.EntryMessage
	}

	// Deliver delivers events of the answer to the caller, in order and each once.
	Deliver struct {
		Request string
		Events  [][]byte
	}

	// Answer completes a request with a whole answer, all of whose events were delivered.
	Answer struct {
		Request string
		End     *wire.AnswerEnd
		Trace   Trace
	}

	// Fail ends a request with a refusal or failure.
	Fail struct {
		Request string
		Err     *result.Error
		Trace   Trace
	}

	// StreamBegan reports the first event of a stream that its caller may resume in another request, and the software
	// version of the server that sent it.
	StreamBegan struct{ Request, Pool, Version string }

	// WidenCandidates asks control to allow more servers for a keyed request; CandidatesWidened follows.
	WidenCandidates struct {
		Request    string
		Candidates []string
	}

	// ProveAtEngine asks the backend server itself to end an attempt whose agent is unreachable; EngineProved
	// follows.
	ProveAtEngine struct {
		Attempt *wire.AttemptID
		Server  string
		Address string
	}

	// ReportCrash reports to control that a server crashed while it ran a request.
	ReportCrash struct{ Note *wire.NoteCrash }

	// ClearPoison asks control to delete records of requests that were answered since.
	ClearPoison struct{ Records []*wire.PoisonRecord }

	// RolloutChanged reports a step of a roll-out at this entry, for the log. Sent, Exposed and Bad are as in RolloutStatus.
	RolloutChanged struct {
		Step               RolloutStep
		Pool, To           string
		ID                 uint64
		State              wire.RolloutState
		Reason             string
		Sent, Exposed, Bad uint64
	}

	// RetryDecided reports whether a request may be tried again within the retry budget, and the counts that decided, for the
	// log. It isn't emitted without a bound of retries.
	RetryDecided struct {
		Request    string
		Pool       string
		Reason     string // why the last attempt ended
		Decision   retry.Decision
		Entries    int           // among which the allowance is divided
		InContact  bool          // control has confirmed an answer
		ContactAge time.Duration // of the last such answer
	}

	// ShareChanged reports that an organisation exceeds its share of a pool over all entries, or no longer does, for the log.
	ShareChanged struct {
		Pool         string
		Tier         uint32
		Organisation string
		Over         bool
	}

	// Count adds to a counter.
	Count struct {
		Counter Counter
		Code    result.Code
		Tier    uint32
		Class   string
		Pool    string
		Label   string // reason, cause, organisation or role, by counter
		Add     uint64
	}
)

func (Send) schedAction()            {}
func (Deliver) schedAction()         {}
func (Answer) schedAction()          {}
func (Fail) schedAction()            {}
func (StreamBegan) schedAction()     {}
func (WidenCandidates) schedAction() {}
func (ProveAtEngine) schedAction()   {}
func (ReportCrash) schedAction()     {}
func (ClearPoison) schedAction()     {}
func (RolloutChanged) schedAction()  {}
func (RetryDecided) schedAction()    {}
func (ShareChanged) schedAction()    {}
func (Count) schedAction()           {}

// Counter identifies a counter of the scheduler.
type Counter uint8

// The counters of the scheduler.
const (
	Refusals       Counter = iota // by Code and Tier
	Retries                       // by Label (reason)
	RetriesRefused                // for lack of retry budget, by Label (reason)
	Goodput                       // by Tier and Class
	Late                          // by Tier and Class
	Lost                          // by Tier and Class
	WastedPrefill                 // tokens, by Label (cause)
	ServedTokens                  // by Label (organisation) and Tier
	ChartErrors
	RolloutSends    // requests sent to a pool with a roll-out in progress, by Pool and Label (role)
	RolloutAnswers  // answers and failures of these, by Pool and Label (role)
	RolloutBad      // those that speak against the version, by Pool and Label (role)
	RolloutWithheld // offers of servers of a new version that were declined, by Pool and Label (role)
	Forecasts       // requests forecast to be late, by Label (outcome), Tier and Class
	ForecastViews   // forecasts on arrival, by Label (view), with FleetDemand
	OverShare       // times that an organisation exceeded its share of a pool, by Label (organisation) and Tier
	Placements      // dispatches by length, by Label (reason), Tier and Class
	CutAtDeadline   // answers cut at their deadline, by Label (speed of the server), Tier and Class
)
