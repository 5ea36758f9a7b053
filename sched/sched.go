package sched

import (
	"math/rand/v2"
	"time"

	"github.com/carawaypitch/carawaypitch/chart"
	"github.com/carawaypitch/carawaypitch/fair"
	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Scheduler holds the state of all requests of one entry. It is not safe for concurrent use: one goroutine calls
// all methods.
type Scheduler struct {
	options Options
	random  *rand.Rand
	table   *chart.Table[state, event]
	now     time.Time
	actions []Action

	lastSequence uint64 // of the request that arrived last
	requests     map[string]*request
	timers       timerHeap
	orphans      *orphanTable
	history      *history

	pools      map[poolKey]*pool
	dirty      []*pool
	scheduling []*pool
	scan       uint64 // number of the current scan over a queue
	queued     [tierCount]int
	clocks     [tierCount]*fair.Clock
	classes    map[string]*class

	agents            map[string]*agent
	servers           map[string]*server
	directoryReceived bool // a directory was received
	entryCount        int  // in the deployment
	retries           retryBudgets
	roundRobin        int // server index for PolicyRoundRobin
	choice            placementChoice
	prefixes          *prefixTable
	poison            *poisonTable
	inFlight          int                     // attempts that were sent and aren't over
	trials            map[poison.Key]*request // request that was chosen last to be tried, by suspect
	reconsiderAt      time.Time               // when requests that wait because of crashes are due, zero for none
	fleet             fleetView
	sharesAt          time.Time // when the shares of organisations were determined last; zero if none are in force
	holdRefused       bool      // for load tests: what the fleet-wide view would refuse is held instead

	versionWaitEnd     time.Time                // when the last new version may have streams, zero if there is none
	versionsSince      map[versionKey]time.Time // when each version was first in the directory
	rollouts           map[string]*rollout      // last roll-out of each pool, by target
	rolloutOrder       []*rollout               // the same, sorted by pool
	rolloutsStale      bool                     // refreshRollouts is due
	controlConfirmedAt time.Time                // when the last poll that control confirmed was sent; zero if contact is lost
}

// New returns a scheduler without servers and classes. The error, with code result.ChartInvalid, means that the
// embedded state chart doesn't match this code.
func New(options Options) (*Scheduler, error) {
	table, err := openChart()
	if err != nil {
		return nil, err
	}
	options = options.withDefaults()
	s := &Scheduler{
		options:    options,
		random:     options.random(),
		table:      table,
		requests:   map[string]*request{},
		orphans:    newOrphanTable(),
		history:    newHistory(options.HistorySize),
		pools:      map[poolKey]*pool{},
		classes:    map[string]*class{},
		agents:     map[string]*agent{},
		servers:    map[string]*server{},
		prefixes:   newPrefixTable(options.PrefixEntries),
		poison:     newPoisonTable(),
		trials:     map[poison.Key]*request{},
		entryCount: 1,
	}
	s.classes[baselineClass] = &class{
		name: baselineClass, outputTokens: newRunningMedian(), serviceTimes: newRecentMedian(), firstEventTimes: newRecentMedian(),
	}
	for tier := range s.clocks {
		s.clocks[tier] = fair.New()
	}
	return s, nil
}

// Step processes one event and returns the actions to carry out. The slice is valid until the next Step. Time never
// goes backwards: a now earlier than the latest seen counts as the latest seen.
func (s *Scheduler) Step(now time.Time, e Event) []Action {
	clear(s.actions)
	s.actions = s.actions[:0]
	if now.After(s.now) {
		s.now = now
	}
	if s.retries.members == nil {
		s.retries.begin(s.now, s.options.RetryWindow)
	}
	s.retries.step(s.now)
	s.refreshRollouts()
	s.handle(e)
	s.runTimers()
	s.refreshRollouts()
	s.schedulePools()
	return s.actions
}

func (s *Scheduler) handle(e Event) {
	switch e := e.(type) {
	case Tick:
		s.expireShares()
	case Arrive:
		s.arrive(e.Request)
	case CallerLeft:
		s.callerLeft(e.Request)
	case AgentUp:
		s.agentUp(e.Hello)
	case AgentDown:
		s.agentDown(e.Agent, e.Incarnation)
	case MessageReceived:
		s.handleMessage(e)
	case Directory:
		s.setDirectory(e.Agents)
		s.entryCount = max(e.Entries, 1)
		s.retries.listed(s.now, e)
	case Config:
		s.setClasses(e.Classes)
	case CandidatesWidened:
		s.widened(e)
	case EngineProved:
		s.engineProved(e)
	case PoisonRecords:
		s.setPoison(e.Records)
	case Rollouts:
		s.setRollouts(e)
	case ControlContact:
		s.setControlContact(e.ConfirmedAt)
	case FleetDemand:
		s.setFleetDemand(e)
	case CacheHint:
		s.prefixes.applyHint(e.Server, e.Digest, e.Evicted)
	}
}

// handleMessage processes a message of an agent. A message of an incarnation other than the current one is dropped:
// reports of an older incarnation are superseded by the proof that a newer one exists.
func (s *Scheduler) handleMessage(e MessageReceived) {
	a := s.agents[e.Agent]
	if a == nil || a.incarnation != e.Incarnation {
		s.countDropped(droppedIncarnation)
		return
	}
	switch m := e.Message.GetKind().(type) {
	case *wire.AgentMessage_Room:
		s.roomReceived(a, m.Room)
	case *wire.AgentMessage_Offer:
		s.offerReceived(a, m.Offer)
	case *wire.AgentMessage_Started:
		s.attemptStarted(a, m.Started)
	case *wire.AgentMessage_Frame:
		s.frameReceived(a, m.Frame)
	case *wire.AgentMessage_Over:
		s.attemptOver(a, m.Over)
	}
}

// InFlight returns the number of attempts that were sent and aren't known to be over.
func (s *Scheduler) InFlight() int { return s.inFlight }

func (s *Scheduler) emit(a Action) {
	s.actions = append(s.actions, a)
}

// send emits a message to the agent if its link is up, and reports whether it is. A nil agent has no link.
func (s *Scheduler) send(a *agent, m *wire.EntryMessage) bool {
	if a == nil || !a.up {
		return false
	}
	s.emit(Send{Agent: a.name, Incarnation: a.incarnation, Message: m})
	return true
}

// Labels of Count with ChartErrors that name no chart event: messages that match no known state.
const (
	droppedIncarnation = "other_incarnation"
	droppedAttempt     = "other_attempt"
	droppedRequest     = "other_request"
	droppedFrame       = "duplicate_frame"
	droppedProof       = "contradicting_proof"
	droppedArrival     = "request_id_in_use"
)

// countDropped counts a message or event that is dropped because it matches no known state.
func (s *Scheduler) countDropped(label string) {
	s.emit(Count{Counter: ChartErrors, Code: result.BadMessage, Label: label, Add: 1})
}

// Labels of Count with Retries.
const (
	retryNeverStarted       = "never_started"
	retryReservationRefused = "reservation_refused"
	retryEngineFailed       = "engine_failed"
	retryCancelled          = "cancelled"
	retryPreempted          = "preempted"
	retryAgentRestarted     = "agent_restarted"
	retryEngineProved       = "engine_proved"
	retryBrokenOff          = "answer_broken_off"
	retryIncomplete         = "answer_incomplete"
	retryDigestMismatch     = "answer_digest_mismatch"
)

// RetryReasons returns all labels of the counter Retries.
func RetryReasons() []string {
	return []string{
		retryNeverStarted, retryReservationRefused, retryEngineFailed, retryCancelled, retryPreempted, retryAgentRestarted, retryEngineProved,
		retryBrokenOff, retryIncomplete, retryDigestMismatch,
	}
}

func (s *Scheduler) countRetry(r *request, reason string) {
	s.emit(Count{Counter: Retries, Tier: r.Class.GetTier(), Class: r.Class.GetName(), Label: reason, Add: 1})
}
