package agent

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/gate"
)

// leaving is the state of a graceful leave.
type leaving struct {
	requested        bool
	absent           bool // the only reason is that the directory didn't list the server
	reportedByServer bool // an answer of the server said that it is draining
	drained          bool
	drainedAt        time.Time
	wasSilent        bool      // the server stopped announcing itself for a while after the leave was requested
	drainedReadAt    time.Time // when the server first read that it is drained, zero before

	departed bool // drained, and silent for departureTimeout
}

// leave requests a graceful leave from the event loop. It fails only if ctx ends.
func (s *server) leave(ctx context.Context, reason string) error {
	return s.push(ctx, leaveRequested{reason: reason})
}

// leaveAbsent requests a leave from the event loop for a server that the directory doesn't list. It fails only if ctx ends.
func (s *server) leaveAbsent(ctx context.Context) error {
	return s.push(ctx, leaveRequested{reason: "absent", absent: true})
}

type leaveRequested struct {
	reason string
	absent bool
}

func (in leaveRequested) apply(s *server, now time.Time) {
	if !s.leaving.requested {
		s.leaving.requested, s.leaving.absent = true, in.absent
		s.log.WithField("reason", in.reason).Info("server_leaving")
	}
	s.leaving.absent = s.leaving.absent && in.absent
	s.step(now, gate.Leaving{})
	s.publish()
}

// drainedStateRead is the input after the server was told that it is drained.
type drainedStateRead struct{}

func (drainedStateRead) apply(s *server, now time.Time) {
	if s.leaving.drained && s.leaving.drainedReadAt.IsZero() {
		s.leaving.drainedReadAt = now
	}
}

// detectSilence records whether a leaving server was silent before the announcement that arrives at now.
func (s *server) detectSilence(now time.Time) {
	if s.leaving.requested && now.Sub(s.announcedAt) >= s.timing.Silent {
		s.leaving.wasSilent = true
	}
}

// isReturning reports whether an announcement of a leaving server means that it has returned.
//
// A server goes on announcing itself while it drains, and for a moment after. If that counted as a return, it would
// get new work and then stop while it runs. So a server returns only if it is drained, and either was told so at least
// returnDelay ago or was silent in between. A server that an operator drained never asks for its state and is never
// silent, so it stays drained. So does a server that said in an answer that it is draining, if its next start has
// another name.
//
// A server that left only because the directory didn't list it returns once it is listed again: its absence may have been due
// to a late announcement of its predecessor at its address, or to a desired state without its pool.
func (s *server) isReturning(now time.Time) bool {
	if !s.leaving.drained || s.leaving.reportedByServer && s.uniqueNamePerStart {
		return false
	}
	if s.leaving.absent {
		return now.Sub(s.leaving.drainedAt) >= returnDelay
	}
	wasInformed := !s.leaving.drainedReadAt.IsZero() && now.Sub(s.leaving.drainedReadAt) >= returnDelay
	return wasInformed || s.leaving.wasSilent
}

// resetAfterReturn gives a drained server a new gate, since drained is the final state of the old one.
//
// The new gate has none of the old one's tombstones. The messages that they guard against can't arrive any more:
// nothing is dispatched to a drained server, links keep the order of messages, and returnDelay or the silence has
// passed.
func (s *server) resetAfterReturn(now time.Time) {
	s.log.Info("server_back")
	s.leaving = leaving{}
	s.gateRecord = nil
	s.gate.ReleaseAnswers()
	s.gate = s.newGate()
	s.adviceState.observeEmpty.Store(true)
	for _, id := range s.linkedEntries() {
		s.step(now, gate.EntryConnected{Entry: id})
	}
	s.publish()
}

// updateDeparted takes a drained server out of the directory once it has stopped announcing itself. The gate doesn't
// report that, since drained is its final state.
func (s *server) updateDeparted(now time.Time) {
	departed := s.leaving.drained && now.Sub(s.announcedAt) >= departureTimeout
	if departed != s.leaving.departed {
		s.leaving.departed = departed
		s.log.WithField("departed", departed).Info("server_departed")
		s.publish()
	}
}
