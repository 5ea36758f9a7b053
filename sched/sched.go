package sched

import (
	"math/rand/v2"
	"time"

	"github.com/carawaypitch/carawaypitch/chart"
	"github.com/carawaypitch/carawaypitch/fair"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Scheduler holds everything that one entry knows of its requests. It isn't safe for concurrent use: one goroutine
// calls all methods.
type Scheduler struct {
	options Options
	random  *rand.Rand
	table   *chart.Table[state, event]
	now     time.Time
	actions []Action

	sequence uint64 // of arrivals
	requests map[string]*request
	wakes    wakeHeap
	lingers  *lingerTable
	history  *history

	pools   map[poolKey]*pool
	dirty   []*pool
	pumping []*pool
	mark    uint64 // of the present walk over a queue
	queued  [tierCount]int
	clocks  [tierCount]*fair.Clock
	classes map[string]*class

	agents    map[string]*agent
	servers   map[string]*server
	directory bool // a directory was received
	entries   int  // of the deployment
	turn      int  // of PolicyRoundRobin
	prefixes  *prefixTable
	poison    *poisonTable
}

// New returns a scheduler that knows no server and no class yet. The error, with code result.ChartInvalid, means that
// the embedded chart doesn't fit this code.
func New(options Options) (*Scheduler, error) {
	table, err := openChart()
	if err != nil {
		return nil, err
	}
	options = options.withDefaults()
	s := &Scheduler{
		options:  options,
		random:   options.random(),
		table:    table,
		requests: map[string]*request{},
		lingers:  newLingerTable(),
		history:  newHistory(options.HistorySize),
		pools:    map[poolKey]*pool{},
		classes:  map[string]*class{},
		agents:   map[string]*agent{},
		servers:  map[string]*server{},
		prefixes: newPrefixTable(options.PrefixEntries),
		poison:   newPoisonTable(),
		entries:  1,
	}
	s.classes[baselineClass] = &class{name: baselineClass, outputs: newQuantiles(), service: newQuantiles()}
	for tier := range s.clocks {
		s.clocks[tier] = fair.New()
	}
	return s, nil
}

// Step takes one event in and returns what to do now. The slice is valid until the next Step. Time never runs
// backwards: an earlier now counts as the latest seen.
func (s *Scheduler) Step(now time.Time, e Event) []Action {
	clear(s.actions)
	s.actions = s.actions[:0]
	if now.After(s.now) {
		s.now = now
	}
	s.handle(e)
	s.wakeDue()
	s.pump()
	return s.actions
}

func (s *Scheduler) handle(e Event) {
	switch e := e.(type) {
	case Tick:
	case Arrive:
		s.arrive(e.Request)
	case CallerLeft:
		s.callerLeft(e.Request)
	case AgentUp:
		s.agentUp(e.Hello)
	case AgentDown:
		s.agentDown(e.Agent, e.Incarnation)
	case MessageReceived:
		s.received(e)
	case Directory:
		s.setDirectory(e.Agents)
		s.entries = max(e.Entries, 1)
	case Config:
		s.setClasses(e.Classes)
	case CandidatesWidened:
		s.widened(e)
	case EngineProved:
		s.engineProved(e)
	case PoisonRecords:
		s.setPoison(e.Records)
	case CacheHint:
		s.prefixes.hint(e.Server, e.Digest, e.Evicted)
	}
}

// received passes an agent's message on. A message of an incarnation that isn't the present one is dropped: what an
// older one says was overtaken by the proof that a newer one is.
func (s *Scheduler) received(e MessageReceived) {
	a := s.agents[e.Agent]
	if a == nil || a.incarnation != e.Incarnation {
		s.countStray(strayIncarnation)
		return
	}
	switch m := e.Message.GetKind().(type) {
	case *wire.AgentMessage_Room:
		s.room(a, m.Room)
	case *wire.AgentMessage_Offer:
		s.offer(a, m.Offer)
	case *wire.AgentMessage_Started:
		s.started(a, m.Started)
	case *wire.AgentMessage_Frame:
		s.frame(a, m.Frame)
	case *wire.AgentMessage_Over:
		s.over(a, m.Over)
	}
}

func (s *Scheduler) act(a Action) {
	s.actions = append(s.actions, a)
}

// send passes a message to the agent if its link is up, and tells whether it is.
func (s *Scheduler) send(a *agent, m *wire.EntryMessage) bool {
	if a == nil || !a.up {
		return false
	}
	s.act(Send{Agent: a.name, Incarnation: a.incarnation, Message: m})
	return true
}

// Labels of Count with ChartErrors and no chart: messages that fit nothing.
const (
	strayIncarnation = "other_incarnation"
	strayAttempt     = "other_attempt"
	strayRequest     = "other_request"
	strayFrame       = "duplicate_frame"
	strayProof       = "contradicting_proof"
	strayArrive      = "request_id_in_use"
)

// countStray counts a message or event that fits nothing that is known. It is dropped.
func (s *Scheduler) countStray(label string) {
	s.act(Count{Counter: ChartErrors, Code: result.BadMessage, Label: label, Add: 1})
}

// Labels of Count with Retries.
const (
	retryNeverStarted = "never_started"
	retryReservation  = "reservation_refused"
	retryFailed       = "engine_failed"
	retryCancelled    = "cancelled"
	retryPreempted    = "preempted"
	retryLost         = "agent_restarted"
	retryProved       = "engine_proved"
	retryIncomplete   = "answer_incomplete"
	retryDigest       = "answer_digest_mismatch"
)

// RetryReasons returns the labels of the counter Retries.
func RetryReasons() []string {
	return []string{
		retryNeverStarted, retryReservation, retryFailed, retryCancelled, retryPreempted, retryLost, retryProved,
		retryIncomplete, retryDigest,
	}
}

func (s *Scheduler) countRetry(r *request, reason string) {
	s.act(Count{Counter: Retries, Tier: r.Class.GetTier(), Class: r.Class.GetName(), Label: reason, Add: 1})
}
