package spec

// suspend: the agent asks the engine to stop the run and to keep its memory.
func (t *turn) suspend(at int) bool {
	t.s.suspensions--
	return t.fireAttempt(at, attemptSuspend, occasion{})
}

// stopRun: the engine is asked to stop the current run. If its answer is lost, the agent hears only that the call ended,
// and asks again. An engine that neither runs the attempt nor holds its memory says so.
func (t *turn) stopRun(at int, answered bool) bool {
	a := &t.s.agents[at]
	number := bit(a.current)
	if a.running&number != 0 {
		a.running &^= number
		a.stopped |= number
	}
	wasOpen := a.open
	a.open = false
	switch {
	case !answered:
		return wasOpen && t.fireAttempt(at, attemptEngineGone, occasion{})
	case a.stopped&number != 0:
		return t.fireAttempt(at, attemptSuspensionConfirmed, occasion{knows: true})
	default:
		return t.fireAttempt(at, attemptSuspensionLost, occasion{knows: true})
	}
}

// resume: the suspended run goes on, or the engine says that it doesn't hold it any more.
func (t *turn) resume(at int) bool {
	a := &t.s.agents[at]
	if a.stopped&bit(a.current) == 0 {
		return t.fireAttempt(at, attemptSuspensionLost, occasion{knows: true})
	}
	return t.fireAttempt(at, attemptResume, occasion{})
}
