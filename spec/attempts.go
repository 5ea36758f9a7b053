package spec

import "fmt"

// AttemptBounds say how much may happen in the model of attempts.
type AttemptBounds struct {
	// Repeatable is the class of the request.
	Repeatable bool
	// Calls is how often the caller may send the request with its key, 2 at most. Each call goes to either entry.
	Calls uint8
	// Attempts is how many attempts an entry may send in an epoch, 2 at most.
	Attempts uint8
	// Alternate sends the second call to the other entry only.
	Alternate bool
	// EntryCrashes and AgentCrashes bound the crashes of all entries and agents. One that crashed once may start again.
	EntryCrashes, AgentCrashes uint8
	// WrongEnds bounds how often control ends an entry that lives, as it does with one that is cut off from it.
	WrongEnds uint8
	// Leaves bounds graceful leaves of servers.
	Leaves uint8
	// Losses bounds connections to engines that are lost while the agent lives, and calls that never left it.
	Losses uint8
	// Runs bounds servers that start again under their id, knowing nothing of what they ran before.
	Runs uint8
	// Suspensions bounds how often runs are suspended.
	Suspensions uint8
	// Whole leaves out what makes answers other than whole, and broken links: engines don't fail, frames come with the
	// end of the run, entries lose no link, and leases end only with their entry. It makes room for more of the rest.
	Whole bool
	// Reservations lets requests wait at the agents, instead of being dispatched straight away.
	Reservations bool
}

// attempts is the model of a request's attempts.
type attempts struct {
	bounds AttemptBounds
	guards Guards
	charts *charts
	// want is the only invariant looked at, "" for all.
	want Invariant
	// told counts the outcomes that callers heard, on all ways; the others how often a state of a chart was entered.
	told            [callLost + 1]int
	requestsEntered [requestUnknown + 1]int
	attemptsEntered [attemptTombstoned + 1]int
	serversEntered  [serverGone + 1]int
}

// Kinds of steps of the model of attempts.
const (
	stepCall uint8 = iota
	stepGiveUp
	stepBegin
	stepBeginLost
	stepLateBegin
	stepReserve
	stepDispatch
	stepTake
	stepDecline
	stepRefuse
	stepDeadline
	stepAskCancel
	stepAgentLost
	stepAgentResumed
	stepCallerLeft
	stepAgentSeen
	stepProveAtEngine
	stepHearOver
	stepHearFrame
	stepFramesLost
	stepRelease
	stepComplete
	stepEntryCrash
	stepEntryStart
	stepEndEntry
	stepWrongEnd
	stepRegisterAgain
	stepLearnEnd
	stepTakeReserve
	stepOffer
	stepTakeDispatch
	stepStart
	stepRefuseAttempt
	stepTakeCancel
	stepLease
	stepPreempt
	stepSuspend
	stepStopRun
	stepStopLost
	stepStopRefused
	stepResume
	stepMemoryExpired
	stepCancelAtEngine
	stepCancelUnanswered
	stepConnectionLost
	stepNeverSent
	stepCallArrives
	stepCallLost
	stepProgress
	stepFinish
	stepFail
	stepNewRun
	stepAgentCrash
	stepAgentStart
	stepClear
	stepLeave
	stepDrained
	attemptStepCount
)

var attemptSteps = [attemptStepCount]string{
	"call", "give_up", "begin", "begin_lost", "late_begin", "reserve", "dispatch", "take", "decline", "refuse", "deadline",
	"ask_cancel", "agent_lost", "agent_resumed", "caller_left", "agent_seen", "prove_at_engine", "hear_over",
	"hear_frame", "frames_lost", "release", "complete", "entry_crash", "entry_start", "end_entry", "wrong_end",
	"register_again", "learn_end", "take_reserve", "offer", "take_dispatch", "start", "refuse_attempt", "take_cancel",
	"lease", "preempt", "suspend", "stop_run", "stop_lost", "stop_refused", "resume", "memory_expired", "cancel_at_engine", "cancel_unanswered", "connection_lost", "never_sent", "call_arrives",
	"call_lost", "progress", "finish", "fail", "new_run", "agent_crash", "agent_start", "clear", "leave", "drained",
}

// newAttempts returns the model within the bounds, with the guards given.
func newAttempts(c *charts, bounds AttemptBounds, guards Guards, want Invariant) *attempts {
	return &attempts{bounds: bounds, guards: guards, charts: c, want: want}
}

// Initial has both entries registered and both agents ready.
func (m *attempts) Initial() attemptsState {
	s := attemptsState{
		entryCrashes: m.bounds.EntryCrashes,
		agentCrashes: m.bounds.AgentCrashes,
		wrongEnds:    m.bounds.WrongEnds,
		leaves:       m.bounds.Leaves,
		losses:       m.bounds.Losses,
		runs:         m.bounds.Runs,
		suspensions:  m.bounds.Suspensions,
	}
	for i := range s.entries {
		s.entries[i] = entry{up: true, incarnation: 1, agent: noAgent, known: [agentCount]uint8{1, 1}}
		s.control.listed[i] = 1
	}
	for i := range s.agents {
		s.agents[i] = agent{up: true, incarnation: 1, server: serverReady}
	}
	return s
}

// Broken returns the invariant that the way here broke.
func (m *attempts) Broken(s *attemptsState) Invariant {
	return violations[s.violate]
}

// Done tells whether the last call has ended, or was lost with nobody to ask again.
func (m *attempts) Done(s *attemptsState) bool {
	for _, c := range s.calls[:m.bounds.Calls] {
		if c == callOpen {
			return false
		}
	}
	return true
}

// Progress is that every call can end.
func (m *attempts) Progress() Invariant { return CallEnds }

// Reached counts outcomes and states of charts.
func (m *attempts) Reached() map[string]int {
	names := map[string]int{}
	for o, n := range m.told {
		names["outcome "+outcomeNames[o]] = n
	}
	for s, n := range m.requestsEntered {
		names["request "+requestStates[s]] = n
	}
	for s, n := range m.attemptsEntered {
		names["attempt "+attemptStates[s]] = n
	}
	for s, n := range m.serversEntered {
		names["server "+serverStates[s]] = n
	}
	return names
}

// Kinds returns the names of the kinds of steps.
func (m *attempts) Kinds() []string { return attemptSteps[:] }

// Describe names who does what.
func (m *attempts) Describe(s Step) string {
	name := attemptSteps[s.Kind]
	switch s.Kind {
	case stepCall:
		return fmt.Sprintf("caller sends call %d to entry %d", s.B, s.A)
	case stepGiveUp:
		return fmt.Sprintf("caller gives up on call %d", s.A)
	case stepBegin, stepBeginLost, stepLateBegin, stepRefuse, stepDeadline, stepAskCancel, stepAgentLost,
		stepAgentResumed, stepCallerLeft, stepFramesLost, stepRelease, stepEntryCrash, stepEntryStart, stepEndEntry,
		stepWrongEnd, stepRegisterAgain:
		return fmt.Sprintf("entry %d: %s", s.A, name)
	case stepComplete:
		return fmt.Sprintf("control: complete epoch %d", s.A)
	case stepReserve, stepDispatch, stepTake, stepDecline, stepAgentSeen, stepProveAtEngine:
		return fmt.Sprintf("entry %d: %s at agent %d", s.A, name, s.B)
	case stepHearOver:
		return fmt.Sprintf("entry %d: hears over (%s) from agent %d", s.A, proofNames[s.C], s.B)
	case stepHearFrame:
		return fmt.Sprintf("entry %d: hears frame of attempt %d from agent %d", s.A, s.C, s.B)
	case stepTakeReserve, stepTakeDispatch, stepTakeCancel:
		return fmt.Sprintf("agent %d: %s of attempt %d from entry %d, incarnation %d",
			s.A, name, s.C, entryOf(s.B), incarnationOf(s.B))
	case stepCallArrives, stepCallLost, stepFinish, stepFail, stepMemoryExpired:
		return fmt.Sprintf("engine %d: %s of attempt %d", s.A, name, s.C)
	default:
		return fmt.Sprintf("agent %d: %s", s.A, name)
	}
}

var proofNames = [proofCount]string{"never started", "over, may have begun", "cancelled", "failed", "completed"}

// turn is one transition being made: a copy of the state that the step changes.
type turn struct {
	*attempts
	s attemptsState
}

// Next yields every transition.
func (m *attempts) Next(s *attemptsState, yield func(Step, *attemptsState)) {
	t := &turn{attempts: m}
	try := func(step Step, change func(t *turn) bool) {
		t.s = *s
		if change(t) {
			t.forgetMessages()
			yield(step, &t.s)
		}
	}
	m.callerSteps(s, try)
	m.controlSteps(s, try)
	for e := range s.entries {
		m.entrySteps(s, e, try)
	}
	for a := range s.agents {
		m.agentSteps(s, a, try)
		m.engineSteps(s, a, try)
	}
}

// violated notes the first violation.
func (t *turn) violated(v violation) {
	if t.s.violate == violateNone && (t.want == "" || t.want == violations[v]) {
		t.s.violate = v
	}
}

// attempt makes a step if change reports that it is possible.
type attempt func(step Step, change func(t *turn) bool)
