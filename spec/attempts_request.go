package spec

// fire lets an event happen to an entry's request, by the chart, and reports whether the chart allows it.
func (t *turn) fire(at int, event requestEvent) bool {
	e := &t.s.entries[at]
	guard := func(name string) bool { return t.requestGuard(e, name) }
	next, ok := take(t.charts.request, e.state, event, guard)
	if !ok {
		return false
	}
	e.state = next.To
	t.requestsEntered[e.state]++
	for _, action := range next.Actions {
		t.requestAction(at, action)
	}
	if t.charts.request.Final(e.state) && e.phase == phaseLive {
		t.endRequest(at)
	}
	return true
}

func (t *turn) requestGuard(e *entry, name string) bool {
	switch name {
	case "began":
		return e.proved() != ranNo
	case "frames_seen":
		return e.frame != 0
	case "wanted":
		return t.wanted(e)
	case "keep_running":
		return !t.bounds.Repeatable && e.hasAttempt() && !e.cancelled
	case "may_retry":
		return t.mayRetry(e)
	default:
		return false
	}
}

// wanted is sched's: somebody waits, or the key's record keeps the answer.
func (t *turn) wanted(e *entry) bool {
	return !e.callerGone || !t.bounds.Repeatable
}

// mayRetry is sched's: work that may not be repeated has another attempt only if nothing can have begun.
func (t *turn) mayRetry(e *entry) bool {
	if !t.wanted(e) || e.sent >= t.bounds.Attempts {
		return false
	}
	return t.bounds.Repeatable || e.proved() == ranNo || !t.guards.has(GuardUnknownForever)
}

func (t *turn) requestAction(at int, action string) {
	e := &t.s.entries[at]
	switch action {
	case "answer":
		t.answer(at)
	case "refuse_caller", "fail_caller", "unknown_caller":
		// What is said of ran is what is proved, whatever the chart's state is called.
		t.tell(at, [...]outcome{ranNo: callNotRun, ranUnknown: callUnknown, ranYes: callRan}[e.proved()])
	case "send_cancel":
		e.cancelled = true
		if e.hasAttempt() {
			t.sendCancel(at, int(e.agent), e.number)
		}
	case "cancel_earlier":
		for a := range t.s.agents {
			if number := e.earlierNumber(); number > 0 && e.waiting&(1<<a) != 0 {
				t.sendCancel(at, a, number)
			}
		}
	case "withdraw_reservations":
		t.withdraw(at)
	}
}

func (t *turn) sendCancel(at, a int, number uint8) {
	e := &t.s.entries[at]
	t.s.agents[a].cancel[e.owner(at)] |= bit(number)
}

// withdraw takes back the reservations that no agent has read yet. Those that one has are declined when it offers.
func (t *turn) withdraw(at int) {
	e := &t.s.entries[at]
	for a := range t.s.agents {
		t.s.agents[a].reserve[e.owner(at)] = 0
	}
}

// answer gives the caller the answer, and proposes to keep it.
func (t *turn) answer(at int) {
	e := &t.s.entries[at]
	if e.frame != e.number || t.s.ends&bit(e.number) == 0 {
		t.violated(violateWhole)
	}
	t.tell(at, callAnswered)
	if t.holds(at) {
		t.s.control.completes |= 1 << e.epoch
	}
}

// holds tells whether the record is open and the entry's, in the epoch that it knows.
func (t *turn) holds(at int) bool {
	e, c := &t.s.entries[at], &t.s.control
	return c.record == recordOpen && c.owner == e.owner(at) && c.epoch == e.epoch
}

// endRequest ends what the scheduler had of the request. An attempt that isn't proved over goes on, for all it knows.
func (t *turn) endRequest(at int) {
	e := &t.s.entries[at]
	answered := e.state == requestAnswered
	if e.hasAttempt() && !answered {
		e.ran = e.proved()
	} else {
		e.agent = noAgent
	}
	e.phase = phaseEnded
	t.withdraw(at)
	if answered || t.holds(at) {
		return
	}
	// The record is another owner's by now: there is nothing to release.
	t.forget(at)
}

// forget lets an entry's next call for the key begin anew.
func (t *turn) forget(at int) {
	e := &t.s.entries[at]
	*e = entry{up: true, incarnation: e.incarnation, agent: noAgent, call: e.call, known: e.known}
}

// mayRelease tells whether the record may be removed: nothing ran, or what may be repeated is over. Either way nothing
// of it is under way any more.
func (m *attempts) mayRelease(e *entry) bool {
	if e.state == requestAnswered || e.hasAttempt() || e.waiting != 0 {
		return false
	}
	return e.ran == ranNo || m.bounds.Repeatable
}

// release is state.releaseOperation.
func (t *turn) release(at int) bool {
	if t.holds(at) {
		c := &t.s.control
		*c = controlState{begins: c.begins, listed: c.listed, ended: c.ended}
	}
	t.forget(at)
	return true
}

// closed ends the present attempt by a proof, as sched.ended does.
func (t *turn) closed(at int, event requestEvent, had ran) bool {
	e := &t.s.entries[at]
	before := *e
	e.ran = worse(e.ran, had)
	if e.frame == e.number {
		e.ran = ranYes
	}
	// What is proved now is no longer unknown: the guards look at the attempts that are over.
	frame := e.frame
	e.agent = noAgent
	if !t.fire(at, event) {
		*e = before
		return false
	}
	if e.phase == phaseLive {
		e.number = 0
		e.end = false
		e.cancelled = false
		e.frame = 0
		if !t.guards.has(GuardPresentFrames) {
			e.frame = frame
		}
	}
	return true
}

// messageSteps are what a live request hears.
func (m *attempts) messageSteps(s *attemptsState, at int, try attempt) {
	for a := range s.agents {
		for i := range incarnationCount {
			if s.entries[at].known[a] > uint8(i)+1 {
				continue // an older incarnation than the one known
			}
			m.overSteps(s, at, a, i, try)
			m.frameSteps(s, at, a, i, try)
		}
	}
}

func (m *attempts) overSteps(s *attemptsState, at, a, incarnation int, try attempt) {
	e := &s.entries[at]
	for p := range proofCount {
		numbers := s.agents[a].overs[incarnation][at][p]
		step := Step{Kind: stepHearOver, A: uint8(at), B: uint8(a), C: uint8(p)}
		if e.present(a, incarnation) && numbers&bit(e.number) != 0 {
			try(step, func(t *turn) bool { return t.hearOver(at, p) })
		}
		if e.state != requestAwaitingEarlier || e.waiting&(1<<a) == 0 {
			continue
		}
		if number := e.earlierNumber(); number == 0 || numbers&bit(number) != 0 {
			try(step, func(t *turn) bool { return t.hearEarlier(at, a, p) })
		}
	}
}

// present tells whether the entry's attempt is at this incarnation of the agent.
func (e *entry) present(a, incarnation int) bool {
	return int(e.agent) == a && int(e.against) == incarnation+1
}

// hearOver takes an agent's proof for the present attempt.
func (t *turn) hearOver(at int, p proof) bool {
	e := &t.s.entries[at]
	switch p {
	case proofNever:
		return e.frame != e.number && t.closed(at, requestNeverStarted, ranNo)
	case proofOver:
		had := ranUnknown
		if !t.guards.has(GuardBeganIsProved) {
			had = ranYes
		}
		return t.closed(at, requestCancelConfirmed, had)
	case proofCancelled:
		return t.closed(at, requestCancelConfirmed, ranYes)
	case proofFailed:
		return t.closed(at, requestAttemptFailed, ranYes)
	default:
		if e.end {
			return false
		}
		e.end = true
		t.checkEnd(at)
		return true
	}
}

// checkEnd answers once end and frame are there.
func (t *turn) checkEnd(at int) {
	e := &t.s.entries[at]
	hasFrame := e.frame == e.number || !t.guards.has(GuardPresentFrames) && e.frame != 0
	if e.end && (hasFrame || !t.guards.has(GuardWholeAnswer)) {
		e.ran = ranYes
		t.fire(at, requestAnswerComplete)
	}
}

// hearEarlier takes a server's proof for the attempts of earlier owners.
func (t *turn) hearEarlier(at, a int, p proof) bool {
	e := &t.s.entries[at]
	e.waiting &^= 1 << a
	switch {
	case p == proofOver && t.guards.has(GuardBeganIsProved):
		e.ran = worse(e.ran, ranUnknown)
	case p != proofNever:
		e.ran = ranYes
	}
	if e.waiting == 0 {
		t.fire(at, requestEarlierOver)
	}
	return true
}

func (m *attempts) frameSteps(s *attemptsState, at, a, incarnation int, try attempt) {
	e := &s.entries[at]
	for number := uint8(1); number <= numberCount; number++ {
		if s.agents[a].frames[incarnation][at]&bit(number) == 0 || !e.hasAttempt() || e.frame == number {
			continue
		}
		isPresent := e.present(a, incarnation) && e.number == number
		if !isPresent && (m.guards.has(GuardPresentFrames) || e.frame != 0) {
			continue
		}
		step := Step{Kind: stepHearFrame, A: uint8(at), B: uint8(a), C: number}
		try(step, func(t *turn) bool { return t.hearFrame(at, number) })
	}
}

func (t *turn) hearFrame(at int, number uint8) bool {
	if !t.fire(at, requestFirstFrame) {
		return false
	}
	t.s.entries[at].frame = number
	t.checkEnd(at)
	return true
}
