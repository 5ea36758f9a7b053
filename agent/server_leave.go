package agent

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/gate"
)

// leaving says where a graceful leave stands.
type leaving struct {
	requested        bool
	reportedByServer bool // the server itself said so in an answer
	drained          bool
	wasSilent        bool      // the server stopped announcing for a while since it was asked to leave
	drainedReadAt    time.Time // when the server was first told that it is drained, zero before

	departed bool // drained, and silent for departedAfter
}

// leave hands the wish to leave to the gate duty. It has an error only if ctx ends.
func (s *server) leave(ctx context.Context, reason string) error {
	return s.push(ctx, leaveRequested{reason: reason})
}

type leaveRequested struct{ reason string }

func (in leaveRequested) apply(s *server, now time.Time) {
	if !s.leaving.requested {
		s.leaving.requested = true
		s.log.WithField("reason", in.reason).Info("server_leaving")
	}
	s.step(now, gate.Leaving{})
	s.publish()
}

// drainedStateRead says that the server was told that it is drained.
type drainedStateRead struct{}

func (drainedStateRead) apply(s *server, now time.Time) {
	if s.leaving.drained && s.leaving.drainedReadAt.IsZero() {
		s.leaving.drainedReadAt = now
	}
}

// detectSilence looks at an announcement for a silence before it.
func (s *server) detectSilence(now time.Time) {
	if s.leaving.requested && now.Sub(s.announcedAt) >= s.timing.Silent {
		s.leaving.wasSilent = true
	}
}

// isReturning says whether an announcement of a leaving server means that it is back.
//
// A server goes on announcing while it drains, and for a moment after. Were that taken for a return, it would get new
// work and stop under it. So it is back only if it is drained and either was told so a while ago or was silent in
// between. A server that an operator drained asks nothing and is never silent, and stays drained. So does one that said in an answer
// that it leaves, where its next start has another name.
func (s *server) isReturning(now time.Time) bool {
	if !s.leaving.drained || s.leaving.reportedByServer && s.uniqueNamePerStart {
		return false
	}
	wasInformed := !s.leaving.drainedReadAt.IsZero() && now.Sub(s.leaving.drainedReadAt) >= returnDelay
	return wasInformed || s.leaving.wasSilent
}

// resetAfterReturn lets a drained server begin anew, with a new gate: for the old one, drained is the end.
//
// The new gate knows none of the old one's tombstones. What they refuse can't come any more: nothing is dispatched to
// a drained server, links keep their order, and comeBackAfter or the silence has passed.
func (s *server) resetAfterReturn(now time.Time) {
	s.log.Info("server_back")
	s.leaving = leaving{}
	s.gateRecord = nil
	s.gate = s.newGate()
	s.adviceState.observeEmpty.Store(true)
	for _, id := range s.linkedEntries() {
		s.step(now, gate.EntryConnected{Entry: id})
	}
	s.publish()
}

// updateDeparted takes a drained server out of the directory once it stopped announcing itself. For the gate drained is
// the end, so it says nothing any more.
func (s *server) updateDeparted(now time.Time) {
	departed := s.leaving.drained && now.Sub(s.announcedAt) >= departureTimeout
	if departed != s.leaving.departed {
		s.leaving.departed = departed
		s.log.WithField("departed", departed).Info("server_departed")
		s.publish()
	}
}
