package entry

import (
	"sync/atomic"
	"time"
)

// startPhase is a step of the way from the start of an entry to its first answer.
type startPhase uint8

const (
	phaseConfirmed  startPhase = iota // a quorum of control has confirmed the configuration
	phaseShare                        // control has decided on shares of usage caps
	phaseDispatched                   // the first request was sent to a backend server
	phaseAnswered                     // the first answer is whole
	startPhases
)

var startPhaseNames = [startPhases]string{"confirmed", "share_decided", "dispatched", "answered"}

// phasesReached holds which phases this incarnation has reached.
type phasesReached [startPhases]atomic.Bool

// reached logs a phase when it is reached for the first time. After a loss of all processes the last line of each entry
// shows what it waits for.
func (e *Entry) reached(phase startPhase) {
	if e.phases[phase].Load() || e.phases[phase].Swap(true) {
		return
	}
	e.log.WithField("phase", startPhaseNames[phase]).
		WithField("ms", time.Since(e.started).Milliseconds()).
		WithField("entries", len(e.control.View().Entries)).
		Info("start_phase")
}
