package session

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/wire"
)

// evidenceInterval is how often the evidence of roll-outs is sent to the leader, which decides by it. It is half the interval
// of polls: the leader must withdraw a bad version within seconds, and the evidence of one second is as many bad answers.
// The other control instances receive it with the regular polls, so that each of them has it when it becomes the leader.
const evidenceInterval = 500 * time.Millisecond

// evidenceReporter decides which polls of one link carry the evidence of roll-outs. Polls that follow each other closely, as at
// the start of a process, carry it once per half interval at most.
type evidenceReporter struct {
	source func() []*wire.RolloutEvidence
	due    time.Time
}

// next returns the evidence to send with a poll at now, or nil for none. It is sent whole each time: a lost poll loses
// nothing, and an instance that has just become the leader needs all of it.
func (r *evidenceReporter) next(now time.Time) []*wire.RolloutEvidence {
	if r.source == nil || now.Before(r.due) {
		return nil
	}
	evidence := r.source()
	if len(evidence) > 0 {
		r.due = now.Add(evidenceInterval / 2)
	}
	return evidence
}

// runEvidence polls the leader at evidenceInterval while there is evidence, until ctx ends.
func (s *Session) runEvidence(ctx context.Context) {
	if s.cfg.Evidence == nil {
		return
	}
	pause.Every(ctx, evidenceInterval, func(time.Time) {
		if len(s.cfg.Evidence()) > 0 {
			s.pollLeader()
		}
	})
}

// pollLeader polls the leader, or all linked instances while the leader is unknown or has no link.
func (s *Session) pollLeader() {
	leader := s.Leader()
	for _, p := range s.knownPeers() {
		if leader != "" && p.name() == leader && p.isLinked() {
			p.poll()
			return
		}
	}
	s.Refresh()
}

// isLinked reports whether there is a link to the instance.
func (p *peer) isLinked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ring != nil
}
