package spec

// forgetMessages drops what can have no effect any more, so that states which differ in nothing else count once. It is
// left out where a missing guard gives an old message an effect.
func (t *turn) forgetMessages() {
	for e := range t.s.entries {
		t.forgetEntry(e)
	}
	for a := range t.s.agents {
		for e := range t.s.entries {
			t.forgetAnswers(a, e)
		}
		if t.guards.has(GuardTombstone) && t.guards.has(GuardSameIncarnation) {
			t.forgetOrders(a)
		}
	}
	t.forgetCommands()
	t.forgetEnds()
}

// forgetEnds keeps only what an answer that may still be given is judged by.
func (t *turn) forgetEnds() {
	wanted := uint8(0)
	for e := range t.s.entries {
		if t.s.entries[e].phase == phaseLive && t.s.entries[e].hasAttempt() {
			wanted |= bit(t.s.entries[e].number)
		}
	}
	t.s.ends &= wanted
}

// forgetEntry clears the fields that have no meaning in the entry's phase.
func (t *turn) forgetEntry(at int) {
	e := &t.s.entries[at]
	switch e.phase {
	case phaseIdle, phaseBeginning:
		*e = entry{
			up: e.up, incarnation: e.incarnation, phase: e.phase, call: e.call, callerGone: e.callerGone,
			agent: noAgent, known: e.known,
		}
	case phaseEnded:
		e.sent, e.number, e.against, e.frame, e.end, e.cancelled = 0, 0, 0, 0, false, false
		e.agent = max(e.agent, 1) // only whether there is one counts
	}
	if e.phase == phaseEnded && !t.callsLeft(&t.s) && !(t.holds(at) && t.mayRelease(e)) {
		t.forget(at)
	}
	if e.phase != phaseIdle {
		return
	}
	e.call = 0
	e.callerGone = false
	if !t.callsLeft(&t.s) {
		e.known = [agentCount]uint8{}
	}
}

// interest is the set of numbers of which the entry wants to hear from the agent.
func (t *turn) interest(a, at int) uint8 {
	e := &t.s.entries[at]
	if e.phase != phaseLive {
		return 0
	}
	wanted := uint8(0)
	if e.hasAttempt() && int(e.agent) == a {
		wanted |= bit(e.number)
	}
	if number := e.earlierNumber(); e.state == requestAwaitingEarlier && e.waiting&(1<<a) != 0 && number != 0 {
		wanted |= bit(number)
	}
	if t.bounds.Reservations && e.sent < epochAttempts {
		// An answer to a reservation counts for the dispatch of that number, too.
		wanted |= bit(e.nextNumber())
	}
	return wanted
}

func (t *turn) forgetAnswers(a, at int) {
	from := &t.s.agents[a]
	e := &t.s.entries[at]
	if e.phase != phaseLive {
		from.offer[at] = 0
	}
	wanted := t.interest(a, at)
	for i := range incarnationCount {
		numbers := wanted
		if int(e.known[a]) > i+1 {
			numbers = 0
		}
		for p := range proofCount {
			from.overs[i][at][p] &= numbers
		}
		if t.guards.has(GuardPresentFrames) {
			from.frames[i][at] &= numbers
		}
	}
}

// forgetOrders drops dispatches and cancels that meet the tombstone and whose answer nobody wants.
func (t *turn) forgetOrders(a int) {
	to := &t.s.agents[a]
	for owner := range uint8(ownerCount) {
		wanted := uint8(0)
		if t.s.live(owner) {
			wanted = t.interest(a, entryOf(owner))
		}
		over := uint8(1)<<to.over - 1
		to.dispatch[owner] &^= over &^ wanted
		to.cancel[owner] &^= over &^ wanted
		if to.refuses(owner) {
			to.cancel[owner] = 0
		}
	}
}

// forgetCommands drops proposals that change nothing any more.
func (t *turn) forgetCommands() {
	c := &t.s.control
	for owner := range uint8(ownerCount) {
		if t.s.live(owner) {
			if t.s.entries[entryOf(owner)].phase != phaseBeginning {
				c.begins &^= 1 << owner
			}
		} else if t.s.gone(owner) {
			c.begins &^= 1 << owner
		}
	}
	if c.record != recordOpen && c.record != recordUnknown {
		c.completes = 0
		c.owner, c.epoch, c.earlier = 0, 0, 0
	}
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// Encode appends all fields.
func (m *attempts) Encode(s *attemptsState, b []byte) []byte {
	c := &s.control
	b = append(b, byte(c.record), c.owner, c.epoch, c.earlier, c.begins, c.completes)
	b = append(b, c.listed[:]...)
	b = append(b, c.ended[:]...)
	for i := range s.entries {
		b = s.entries[i].encode(b)
	}
	for i := range s.agents {
		b = s.agents[i].encode(b)
	}
	for _, call := range s.calls {
		b = append(b, byte(call))
	}
	b = append(b, s.entryCrashes, s.agentCrashes, s.wrongEnds, s.leaves, s.losses, s.runs, s.suspensions)
	return append(b, s.began, s.starts, s.saidNo, s.ends, byte(s.violate))
}

func (e *entry) encode(b []byte) []byte {
	b = append(b, flag(e.up), e.incarnation, byte(e.phase), byte(e.state), e.call, flag(e.callerGone), e.epoch, e.sent)
	b = append(b, e.agent, e.number, e.against, e.frame, flag(e.end), flag(e.cancelled), e.waiting, byte(e.ran))
	return append(b, e.known[:]...)
}

func (a *agent) encode(b []byte) []byte {
	b = append(b, flag(a.up), a.incarnation, byte(a.server), a.current, a.owner, byte(a.state), flag(a.open), a.over)
	b = append(b, a.ran, a.last, a.lastOwner, byte(a.lastProof), a.calls, a.running, a.stopped)
	b = append(b, a.ended[:]...)
	b = append(b, a.reserve[:]...)
	b = append(b, a.dispatch[:]...)
	b = append(b, a.cancel[:]...)
	b = append(b, a.offer[:]...)
	for i := range incarnationCount {
		b = append(b, a.frames[i][:]...)
		for e := range entryCount {
			b = append(b, a.overs[i][e][:]...)
		}
	}
	return b
}
