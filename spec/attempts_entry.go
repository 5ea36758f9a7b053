package spec

// entrySteps are what an entry does by itself and with what it hears.
func (m *attempts) entrySteps(s *attemptsState, at int, try attempt) {
	e := &s.entries[at]
	if !e.up {
		if e.incarnation < incarnationCount {
			try(Step{Kind: stepEntryStart, A: uint8(at)}, func(t *turn) bool { return t.startEntry(at) })
		}
		return
	}
	if s.entryCrashes > 0 && !m.idle(s, at) && e.incarnation < incarnationCount {
		try(Step{Kind: stepEntryCrash, A: uint8(at)}, func(t *turn) bool { return t.crashEntry(at) })
	}
	for a := range s.agents {
		if known := s.agents[a].incarnation; e.phase == phaseLive && s.agents[a].up && s.agents[a].cleared() && e.known[a] < known {
			try(Step{Kind: stepAgentSeen, A: uint8(at), B: uint8(a)}, func(t *turn) bool { return t.seeAgent(at, a) })
		}
	}
	switch e.phase {
	case phaseBeginning:
		m.beginningSteps(at, try)
	case phaseLive:
		m.liveSteps(s, at, try)
	case phaseEnded:
		if m.mayRelease(e) {
			try(Step{Kind: stepRelease, A: uint8(at)}, func(t *turn) bool { return t.release(at) })
		}
	}
}

// idle tells whether the entry has nothing of the operation, and never will again: its crash would change nothing.
func (m *attempts) idle(s *attemptsState, at int) bool {
	e := &s.entries[at]
	owns := s.control.record == recordOpen && s.control.owner == e.owner(at)
	return e.phase == phaseIdle && !owns && !m.callsLeft(s)
}

// beginningSteps: control's answer stays away until the deadline. A missing guard lets the entry go on without it.
func (m *attempts) beginningSteps(at int, try attempt) {
	try(Step{Kind: stepDeadline, A: uint8(at)}, func(t *turn) bool {
		t.tell(at, callUnknown)
		t.s.entries[at].phase = phaseIdle
		return true
	})
	if !m.guards.has(GuardCommitBeforeDispatch) {
		try(Step{Kind: stepBeginLost, A: uint8(at)}, func(t *turn) bool {
			t.arrive(at, 1, 0)
			return true
		})
	}
}

func (m *attempts) liveSteps(s *attemptsState, at int, try attempt) {
	e := &s.entries[at]
	id := uint8(at)
	m.waitingSteps(s, at, try)
	m.messageSteps(s, at, try)
	try(Step{Kind: stepDeadline, A: id}, func(t *turn) bool { return t.fire(at, requestDeadline) })
	if e.call == 0 || s.calls[e.call-1] != callOpen && !e.callerGone {
		try(Step{Kind: stepCallerLeft, A: id}, func(t *turn) bool {
			t.s.entries[at].callerGone = true
			return !e.callerGone && t.fire(at, requestCallerLeft)
		})
	}
	if !e.hasAttempt() {
		return
	}
	if !e.cancelled {
		try(Step{Kind: stepAskCancel, A: id}, func(t *turn) bool { return t.fire(at, requestCancelAsked) })
	}
	if m.bounds.Whole {
		m.proveSteps(s, at, try)
		return
	}
	try(Step{Kind: stepAgentLost, A: id}, func(t *turn) bool { return t.loseAgent(at) })
	if e.state == requestAwaitingProof && !e.cancelled {
		try(Step{Kind: stepAgentResumed, A: id}, func(t *turn) bool { return t.fire(at, requestAgentResumed) })
	}
	if e.end {
		try(Step{Kind: stepFramesLost, A: id}, func(t *turn) bool { return t.closed(at, requestAttemptFailed, ranYes) })
	}
	m.proveSteps(s, at, try)
}

func (m *attempts) proveSteps(s *attemptsState, at int, try attempt) {
	e := &s.entries[at]
	a := int(e.agent)
	if m.bounds.Repeatable && !s.agents[a].up && s.agents[a].incarnation == e.against {
		try(Step{Kind: stepProveAtEngine, A: uint8(at), B: e.agent}, func(t *turn) bool { return t.proveAtEngine(at) })
	}
}

// waitingSteps: a request that has no attempt is dispatched, reserved, or refused.
func (m *attempts) waitingSteps(s *attemptsState, at int, try attempt) {
	e := &s.entries[at]
	for a := range s.agents {
		step := Step{A: uint8(at), B: uint8(a)}
		if a > 0 && s.alike(a-1, a) {
			continue
		}
		if e.state == requestQueued && !m.bounds.Reservations && e.sent < m.bounds.Attempts && e.known[a] != 0 {
			step.Kind = stepDispatch
			try(step, func(t *turn) bool { return t.dispatch(at, a, requestDispatch) })
		}
		if s.agents[a].offer[at] != 0 {
			m.offerSteps(s, at, a, try)
		}
	}
	if e.state == requestQueued && m.bounds.Reservations && e.sent < m.bounds.Attempts {
		try(Step{Kind: stepReserve, A: uint8(at)}, func(t *turn) bool { return t.reserve(at) })
	}
	if e.state == requestQueued || e.state == requestReserved {
		try(Step{Kind: stepRefuse, A: uint8(at)}, func(t *turn) bool { return t.fire(at, requestRefuse) })
	}
}

// alike tells whether two agents differ in nothing, for no entry. Then what is done with one of them is enough.
func (s *attemptsState) alike(a, b int) bool {
	if s.agents[a] != s.agents[b] {
		return false
	}
	for i := range s.entries {
		e := &s.entries[i]
		waits := e.waiting>>a&1 != e.waiting>>b&1
		if waits || e.known[a] != e.known[b] || int(e.agent) == a || int(e.agent) == b {
			return false
		}
	}
	return true
}

func (m *attempts) offerSteps(s *attemptsState, at, a int, try attempt) {
	e := &s.entries[at]
	number := e.nextNumber()
	wanted := e.state == requestReserved && s.agents[a].offer[at]&bit(number) != 0
	if !m.guards.has(GuardFirstTaker) {
		wanted = wanted || s.agents[a].offer[at]&bit(e.number) != 0 && e.hasAttempt()
	}
	step := Step{Kind: stepTake, A: uint8(at), B: uint8(a)}
	if wanted {
		try(step, func(t *turn) bool { return t.dispatch(at, a, requestTake) })
		return
	}
	step.Kind = stepDecline
	try(step, func(t *turn) bool {
		t.s.agents[a].offer[at] = 0
		return t.fire(at, requestTake)
	})
}

// arrive hands the request to the scheduler, as sched.arrive does.
func (t *turn) arrive(at int, epoch, earlier uint8) {
	e := &t.s.entries[at]
	e.phase = phaseLive
	e.state = t.charts.request.Initial()
	e.epoch = epoch
	e.sent = 0
	e.frame = 0
	e.end = false
	e.cancelled = false
	e.ran = ranNo
	e.agent = noAgent
	e.number = 0
	if earlier == 0 {
		return
	}
	e.waiting = earlier
	if !t.guards.has(GuardEarlierProofs) {
		e.waiting = 0
		return
	}
	t.fire(at, requestTakeOver)
}

func (e *entry) nextNumber() uint8 {
	return (e.epoch-1)*epochAttempts + e.sent + 1
}

// earlierNumber is the highest attempt number that earlier owners can have used, 0 if the epoch wasn't raised.
func (e *entry) earlierNumber() uint8 { return (e.epoch - 1) * epochAttempts }

// reserve asks both agents for a place.
func (t *turn) reserve(at int) bool {
	if !t.fire(at, requestReserve) {
		return false
	}
	e := &t.s.entries[at]
	for a := range t.s.agents {
		t.s.agents[a].reserve[e.owner(at)] |= bit(e.nextNumber())
	}
	return true
}

// dispatch sends the body. It goes to the incarnation of the agent that the entry has a link with.
func (t *turn) dispatch(at, a int, event requestEvent) bool {
	e := &t.s.entries[at]
	if e.hasAttempt() {
		if t.guards.has(GuardFirstTaker) {
			return false
		}
		t.send(at, a, e.number)
		return true
	}
	if !t.fire(at, event) {
		return false
	}
	number := e.nextNumber()
	e.sent++
	e.agent = uint8(a)
	e.number = number
	e.against = e.known[a]
	t.send(at, a, number)
	return true
}

func (t *turn) send(at, a int, number uint8) {
	e := &t.s.entries[at]
	to := &t.s.agents[a]
	if t.guards.has(GuardSameIncarnation) && (!to.up || to.incarnation != e.known[a]) {
		return
	}
	to.dispatch[e.owner(at)] |= bit(number)
}

// loseAgent: the link broke. It proves nothing.
func (t *turn) loseAgent(at int) bool {
	if !t.guards.has(GuardProofBeforeRetry) {
		return t.closed(at, requestNeverStarted, ranNo)
	}
	before := t.s.entries[at].state
	return t.fire(at, requestAgentLost) && t.s.entries[at].state != before
}

// seeAgent: a newer incarnation of an agent answers. All that was sent to the older ones is over.
func (t *turn) seeAgent(at, a int) bool {
	e := &t.s.entries[at]
	e.known[a] = t.s.agents[a].incarnation
	if e.phase == phaseLive && e.hasAttempt() && int(e.agent) == a && e.against < e.known[a] {
		t.closed(at, requestProvedOver, ranUnknown)
	}
	return true
}

// proveAtEngine asks the engine itself to end the attempt of a dead agent.
func (t *turn) proveAtEngine(at int) bool {
	e := &t.s.entries[at]
	a := &t.s.agents[e.agent]
	if a.calls&bit(e.number) != 0 && t.guards.has(GuardSettledCalls) {
		return false
	}
	had := ranUnknown
	if a.running&bit(e.number) != 0 {
		a.running &^= bit(e.number)
		had = ranYes
	}
	return t.closed(at, requestProvedOver, had)
}

func (t *turn) crashEntry(at int) bool {
	t.s.entryCrashes--
	e := &t.s.entries[at]
	if c := e.call; c != 0 && t.s.calls[c-1] == callOpen {
		t.s.calls[c-1] = callLost
	}
	*e = entry{incarnation: e.incarnation, agent: noAgent}
	for a := range t.s.agents {
		t.s.agents[a].offer[at] = 0
		for i := range incarnationCount {
			t.s.agents[a].frames[i][at] = 0
			t.s.agents[a].overs[i][at] = [proofCount]uint8{}
		}
	}
	return true
}

// startEntry: the next incarnation registers, which ends the one before.
func (t *turn) startEntry(at int) bool {
	e := &t.s.entries[at]
	e.up = true
	e.incarnation++
	t.s.control.ended[at] = e.incarnation - 1
	t.s.control.listed[at] = e.incarnation
	return true
}
