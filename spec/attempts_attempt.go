package spec

// occasion is what is known about an event of an attempt, as in package gate.
type occasion struct {
	asked   bool // by a cancel
	asker   uint8
	number  uint8 // asked about
	unheard bool  // known by its cancel only
	proof   proof // of the run's own end
	knows   bool  // the engine knew the attempt
	runOver bool  // the engine was asked after the run's end
}

// fireAttempt lets an event happen to the agent's current attempt, by the chart.
func (t *turn) fireAttempt(at int, event attemptEvent, o occasion) bool {
	a := &t.s.agents[at]
	next, ok := take(t.charts.attempt, a.state, event, func(name string) bool { return t.attemptGuard(a, name, &o) })
	if !ok {
		return false
	}
	a.state = next.To
	t.attemptsEntered[a.state]++
	for _, action := range next.Actions {
		t.attemptAction(at, action, &o)
	}
	if a.state == attemptTombstoned || a.state == attemptAbsent {
		a.current, a.owner, a.state, a.open = 0, 0, attemptAbsent, false
	}
	return true
}

func (t *turn) attemptGuard(a *agent, name string, o *occasion) bool {
	switch name {
	case "engine_cleared":
		return a.cleared()
	case "lease_valid", "only_one":
		// A lease that runs out ends the attempt in the same step; there is one current attempt.
		return true
	case "run_over":
		return o.runOver
	case "repeatable":
		return t.bounds.Repeatable
	case "engine_knows":
		return o.knows
	case "call_open":
		return a.open
	case "call_over":
		return !a.open
	default:
		return false
	}
}

func (t *turn) attemptAction(at int, action string, o *occasion) {
	a := &t.s.agents[at]
	switch action {
	case "start_engine":
		a.calls |= bit(a.current)
		a.open = true
	case "send_offer":
		if t.s.live(a.owner) {
			a.offer[entryOf(a.owner)] |= bit(a.current)
		}
	case "resume_engine":
		a.stopped &^= bit(a.current)
		a.running |= bit(a.current)
		a.open = true
		if t.running() > 1 {
			t.violated(violateOneEngine)
		}
	case "discard_suspended":
		a.stopped &^= bit(a.current)
	case "keep_tombstone":
		if t.guards.has(GuardTombstone) {
			a.over = max(a.over, a.current, o.number)
			a.last, a.lastOwner, a.lastProof = 0, 0, proofNever
		}
	case "reply_never_started":
		t.conclude(at, proofNever, o)
	case "reply_cancelled":
		t.conclude(at, t.cancelProof(o), o)
	case "reply_outcome":
		t.conclude(at, o.proof, o)
		t.reportOutcome(a)
	}
}

// cancelProof says whether the engine knew the attempt that is over. One that doesn't may never have begun it, or may have
// started again since.
func (t *turn) cancelProof(o *occasion) proof {
	switch {
	case o.knows:
		return proofCancelled
	case !t.guards.has(GuardIgnoranceProvesNothing):
		return proofNever
	default:
		return proofOver
	}
}

// conclude notes the end of the current attempt and tells its owner and who asked.
func (t *turn) conclude(at int, p proof, o *occasion) {
	a := &t.s.agents[at]
	if p != proofNever {
		a.ran = max(a.ran, a.current)
	}
	if !o.unheard {
		a.last, a.lastOwner, a.lastProof = a.current, a.owner, p
		t.sendOver(at, a.owner, a.current, p)
	}
	if o.asked && (o.unheard || o.asker != a.owner || o.number != a.current) {
		t.answerCancel(at, o.asker, o.number)
	}
}

// reportOutcome proposes an outcome to control if the owner is gone.
func (t *turn) reportOutcome(a *agent) {
	if !t.bounds.Repeatable && (!t.s.live(a.owner) || a.refuses(a.owner)) {
		t.s.control.completes |= 1 << epochOf(a.current)
	}
}

// engineSteps are what the engine and the way to it do.
func (m *attempts) engineSteps(s *attemptsState, at int, try attempt) {
	a := &s.agents[at]
	id := uint8(at)
	for number := uint8(1); number <= numberCount; number++ {
		if a.calls&bit(number) != 0 {
			try(Step{Kind: stepCallArrives, A: id, C: number}, func(t *turn) bool { return t.callArrives(at, number) })
			try(Step{Kind: stepCallLost, A: id, C: number}, func(t *turn) bool { return t.callLost(at, number) })
		}
		if a.running&bit(number) != 0 {
			try(Step{Kind: stepFinish, A: id, C: number}, func(t *turn) bool { return t.endRun(at, number, proofCompleted) })
			if m.bounds.Whole {
				continue
			}
			try(Step{Kind: stepFail, A: id, C: number}, func(t *turn) bool { return t.endRun(at, number, proofFailed) })
		}
		if a.stopped&bit(number) != 0 {
			try(Step{Kind: stepMemoryExpired, A: id, C: number}, func(t *turn) bool {
				t.s.agents[at].stopped &^= bit(number)
				return true
			})
		}
	}
	if s.runs > 0 {
		try(Step{Kind: stepNewRun, A: id}, func(t *turn) bool { return t.startEngineAgain(at) })
	}
	if !a.up || !a.open {
		return
	}
	if a.running&bit(a.current) != 0 && !m.bounds.Whole {
		try(Step{Kind: stepProgress, A: id}, func(t *turn) bool { return t.progress(at) })
	}
	if s.losses == 0 {
		return
	}
	for _, goesOn := range []uint8{0, 1} {
		try(Step{Kind: stepConnectionLost, A: id, B: goesOn}, func(t *turn) bool { return t.loseConnection(at, goesOn == 1) })
	}
	if a.calls&bit(a.current) != 0 {
		try(Step{Kind: stepNeverSent, A: id}, func(t *turn) bool {
			t.s.losses--
			t.s.agents[at].calls &^= bit(a.current)
			return t.fireAttempt(at, attemptNeverSent, occasion{})
		})
	}
}

// callArrives: the engine begins. It admits what comes.
func (t *turn) callArrives(at int, number uint8) bool {
	a := &t.s.agents[at]
	a.calls &^= bit(number)
	a.running |= bit(number)
	t.s.began |= 1 << epochOf(number)
	t.s.starts = min(t.s.starts+1, 2)
	if t.bounds.Repeatable {
		t.s.starts = 1 // how often doesn't matter
	}
	if t.running() > 1 {
		t.violated(violateOneEngine)
	}
	if !t.bounds.Repeatable && t.wasAnswered() {
		t.violated(violateAfterAnswer)
	}
	if !t.bounds.Repeatable && t.s.starts > 1 {
		t.violated(violateOnce)
	}
	if epochOf(number) <= t.s.saidNo {
		t.violated(violateNotRun)
	}
	return true
}

// running counts the runs of the request on all engines.
func (t *turn) running() int {
	n := 0
	for a := range t.s.agents {
		for mask := t.s.agents[a].running; mask != 0; mask &= mask - 1 {
			n++
		}
	}
	return n
}

func (t *turn) wasAnswered() bool {
	for _, c := range t.s.calls {
		if c == callAnswered {
			return true
		}
	}
	return false
}

// callLost: a call whose connection is closed never reaches the engine.
func (t *turn) callLost(at int, number uint8) bool {
	a := &t.s.agents[at]
	if a.up && a.open && a.current == number {
		return false
	}
	a.calls &^= bit(number)
	return true
}

// endRun: the engine ends an attempt by itself. If nobody is connected any more, its outcome is lost.
func (t *turn) endRun(at int, number uint8, p proof) bool {
	a := &t.s.agents[at]
	a.running &^= bit(number)
	if p == proofCompleted {
		t.s.ends |= bit(number)
	}
	if !a.up || !a.open || a.current != number {
		return true
	}
	if p == proofFailed {
		return t.fireAttempt(at, attemptEngineFailed, occasion{proof: p})
	}
	t.sendFrame(a)
	return t.fireAttempt(at, attemptFinish, occasion{proof: p})
}

func (t *turn) progress(at int) bool {
	return t.sendFrame(&t.s.agents[at]) && t.fireAttempt(at, attemptProgress, occasion{})
}

// sendFrame reports whether the frame is a new one.
func (t *turn) sendFrame(a *agent) bool {
	if !t.s.live(a.owner) {
		return false
	}
	mask := &a.frames[a.incarnation-1][entryOf(a.owner)]
	before := *mask
	*mask |= bit(a.current)
	return *mask != before
}

// loseConnection: the connection of a run breaks. Some engines go on with it.
func (t *turn) loseConnection(at int, goesOn bool) bool {
	t.s.losses--
	a := &t.s.agents[at]
	a.open = false
	if !goesOn {
		if a.running&bit(a.current) == 0 {
			return false
		}
		a.running &^= bit(a.current)
	}
	return t.fireAttempt(at, attemptEngineGone, occasion{})
}

// startEngineAgain: the server crashes and starts again under its id. What it ran is gone, with its connections; calls that are
// on their way reach the new run, which can't tell them from others.
func (t *turn) startEngineAgain(at int) bool {
	t.s.runs--
	a := &t.s.agents[at]
	a.running, a.stopped = 0, 0
	if !a.up || !a.open {
		return true
	}
	a.open = false
	return t.fireAttempt(at, attemptEngineGone, occasion{})
}

// cancelAtEngine asks the engine to cancel the current attempt. Unanswered, the agent hears of its end only by the run
// itself, if that is still open.
func (t *turn) cancelAtEngine(at int, answered bool) bool {
	a := &t.s.agents[at]
	number := bit(a.current)
	knows := a.running&number != 0
	a.running &^= number
	switch {
	case answered:
		settled := a.calls&number == 0 || !t.guards.has(GuardSettledCalls)
		before := a.state
		done := t.fireAttempt(at, attemptConfirm, occasion{knows: knows, runOver: !a.open && settled})
		return done && a.state != before
	case !knows:
		return false
	case a.open:
		return t.fireAttempt(at, attemptEngineCancelled, occasion{knows: true})
	default:
		return t.fireAttempt(at, attemptNoAnswer, occasion{})
	}
}
