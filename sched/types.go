// Package sched decides for one entry which request goes to which backend server and when, what is refused and what
// is tried again. It is pure: events and the time go in, actions come out.
package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// EpochShift is the number of low bits of an attempt number that count attempts within an owner's epoch. An epoch is
// an index of control's log: the 48 bits above them last for 89 years at 100,000 commands a second.
const EpochShift = 16

// Request is what a caller asked for, after its key, class and body were checked.
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
	PromptTokens uint32   // estimated
	MaxTokens    uint32   // asked for by the caller, 0 for none
	OutputTokens uint32   // expected by the caller, 0 if it doesn't say
	Prefix       []uint64 // digests of the prompt's leading blocks, shortest first
	Stream       bool     // events are delivered as they come
	Arrived      time.Time
	Deadline     time.Time

	// Objective is when the answer, or the first event of a stream, is due; zero for a request whose whole answer is due
	// at its deadline. A request is kept queued no longer than that: later it would be late anyway, and take the place of
	// one that can still be in time.
	Objective time.Time

	// Overdue says that the objective had passed when the request came: its caller was refused before and has come back. It goes after
	// those of its class that may still be in time.
	Overdue bool

	// EntryStopsBy is when the entry ends at the latest, zero while it isn't stopping. What would probably run longer is refused
	// on arrival.
	EntryStopsBy time.Time

	// Verbatim is set for a request that goes to its backend server byte for byte. MaxAttempts then bounds the attempts
	// that may have begun; 0 means the scheduler's own bound.
	Verbatim    *Verbatim
	MaxAttempts int

	// Key and what follows are set for a keyed request, whose operation record is committed before Arrive.
	Key            string
	Epoch          uint64
	Candidates     []string // servers that the record allows; empty: any
	EarlierServers []string // servers whose proofs are needed first, after a takeover
}

// fingerprint identifies the request over its repeats by the same caller.
func (r *Request) fingerprint() poison.Fingerprint {
	content := poison.Content{
		Method: r.Method, Host: r.Target, Target: r.Path, BodyDigest: r.BodyDigest, BodySize: len(r.Body),
	}
	if r.Verbatim != nil {
		content.Host = r.Verbatim.Host
	}
	return content.Fingerprint()
}

// Verbatim is what a request needs that is passed on as its caller wrote it. Path is then its whole target.
type Verbatim struct {
	Host    string
	Headers []*wire.Header
}

// Event is something that happened outside the scheduler.
type Event interface{ schedEvent() }

type (
	// Tick lets time pass. The entry sends one when NextTick says so.
	Tick struct{}

	// Arrive hands a request over. Exactly one Answer or Fail follows for it.
	Arrive struct{ Request *Request }

	// CallerLeft says that nobody waits for the answer any more.
	CallerLeft struct{ Request string }

	// AgentUp says that the link pair to an agent is open.
	AgentUp struct{ Hello *wire.AgentHello }

	// AgentDown says that the link to an agent was lost or its heartbeat is overdue. Its attempts are not over.
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

	// Directory carries the committed directory (whole).
	Directory struct {
		Agents []*wire.AgentRecord
		// Entries is how many entries there are. The allowance of retries is shared among them.
		Entries int
	}

	// Config carries the committed classes (whole).
	Config struct {
		Version uint64
		Classes []*wire.Class
	}

	// CandidatesWidened answers a Widen action: the record now allows the candidates, or code says why not.
	CandidatesWidened struct {
		Request    string
		Candidates []string
		Code       result.Code
	}

	// EngineProved carries what the backend server itself said of an attempt whose agent is gone.
	EngineProved struct {
		Attempt *wire.AttemptID
		Server  string
		Proof   wire.Proof
	}

	// PoisonRecords carries the requests that are watched or quarantined (whole).
	PoisonRecords struct{ Records []*wire.PoisonRecord }

	// CacheHint carries a prefix cache event of a server, late and with gaps.
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
func (CacheHint) schedEvent()         {}

// Action is something the entry has to do, in the order given.
type Action interface{ schedAction() }

type (
	// Send passes a message to an agent's link. A message that can't be sent is as good as lost. It must not be sent
	// on a link to another incarnation of the agent: a newer incarnation is taken as proof that what was dispatched
	// before is over, and a dispatch that reached it all the same would run beside the next attempt.
	Send struct {
		Agent       string
		Incarnation uint64
		Message     *wire.EntryMessage
	}

	// Deliver passes events of the answer on, in order and each once.
	Deliver struct {
		Request string
		Events  [][]byte
	}

	// Answer closes a request with a whole answer, whose events were all delivered.
	Answer struct {
		Request string
		End     *wire.AnswerEnd
		Trace   Trace
	}

	// Fail closes a request with a refusal or failure.
	Fail struct {
		Request string
		Err     *result.Error
		Trace   Trace
	}

	// WidenCandidates asks control to let a keyed request go to more servers; Widened follows.
	WidenCandidates struct {
		Request    string
		Candidates []string
	}

	// ProveAtEngine asks the backend server itself to end an attempt, because its agent is gone; EngineProved follows.
	ProveAtEngine struct {
		Attempt *wire.AttemptID
		Server  string
		Address string
	}

	// ReportCrash tells control that a server crashed while it ran a request.
	ReportCrash struct{ Note *wire.NoteCrash }

	// ClearPoison has control forget records of requests that were answered since.
	ClearPoison struct{ Records []*wire.PoisonRecord }

	// Count adds to a counter.
	Count struct {
		Counter Counter
		Code    result.Code
		Tier    uint32
		Class   string
		Label   string // reason, cause or organisation, by counter
		Add     uint64
	}
)

func (Send) schedAction()            {}
func (Deliver) schedAction()         {}
func (Answer) schedAction()          {}
func (Fail) schedAction()            {}
func (WidenCandidates) schedAction() {}
func (ProveAtEngine) schedAction()   {}
func (ReportCrash) schedAction()     {}
func (ClearPoison) schedAction()     {}
func (Count) schedAction()           {}

// Counter names a counter of the scheduler.
type Counter uint8

// The counters of the scheduler.
const (
	Refusals      Counter = iota // by Code and Tier
	Retries                      // by Label (reason)
	Goodput                      // by Tier and Class
	Late                         // by Tier and Class
	Lost                         // by Tier and Class
	WastedPrefill                // tokens, by Label (cause)
	ServedTokens                 // by Label (organisation) and Tier
	ChartErrors
)
