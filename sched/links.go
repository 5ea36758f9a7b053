package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// agentUp notes that the link pair to an agent is open. A newer incarnation proves that every attempt sent to an
// older one is over: before it answers anybody, an agent cancels all that its engine runs.
func (s *Scheduler) agentUp(hello *wire.AgentHello) {
	a := s.agentNamed(hello.GetAgent())
	if hello.GetIncarnation() < a.incarnation {
		s.countStray(strayIncarnation)
		return
	}
	if a.up {
		s.linkLost(a)
	}
	a.incarnation = hello.GetIncarnation()
	a.zone = hello.GetAvailabilityZone()
	a.up = true
	a.downSince = time.Time{}
	s.incarnationEnded(a)
	s.linkBack(a)
	s.lingers.up(s, a)
	s.askEarlier(a)
}

// agentDown notes that the link is lost. The agent's attempts are not over: nobody knows.
func (s *Scheduler) agentDown(name string, incarnation uint64) {
	a := s.agents[name]
	if a == nil || !a.up || a.incarnation != incarnation {
		return
	}
	s.linkLost(a)
}

func (s *Scheduler) linkLost(a *agent) {
	a.up = false
	a.downSince = s.now
	for _, v := range sortedOf(a.servers) {
		v.room = nil
		v.unacked, v.sinceRoom = 0, 0
		s.refresh(v)
		s.place(v)
	}
	for _, r := range sortedRequests(a.attempts) {
		r.attempt.acked = false
		r.attempt.downSince = s.now
		_ = s.fire(r, evAgentLost)
		s.setWake(r)
	}
}

// incarnationEnded takes the newer incarnation as proof for all attempts of the older ones at model engines, since it
// has cancelled all that its engine ran. A plain service can neither list nor cancel what it runs, so of an attempt
// there nothing more can be learnt.
//
// Otherwise: an agent dies while its service is at a call; its successor comes up; the call is sent to another service
// while the first is still at it.
func (s *Scheduler) incarnationEnded(a *agent) {
	for _, r := range sortedRequests(a.attempts) {
		switch {
		case r.attempt.incarnation >= a.incarnation:
		case r.pool.key.kind == kindService:
			s.outcomeLost(r)
		default:
			s.provedOver(r, retryLost)
		}
	}
}

// linkBack asks after the attempts that are left, all of the same incarnation. A Cancel that was asked while the link
// was down goes out now; the others get quietBound to show a sign of life.
func (s *Scheduler) linkBack(a *agent) {
	for _, r := range sortedRequests(a.attempts) {
		r.attempt.downSince = time.Time{}
		r.attempt.quietSince = s.now
		r.attempt.server.unacked++
		if r.attempt.cancelAsked {
			s.sendCancel(r)
		}
		s.setWake(r)
	}
}
