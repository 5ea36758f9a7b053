package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// agentUp notes that the link pair to an agent is open.
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

// incarnationEnded answers what ran at plain services under an older incarnation of the agent. A plain service can
// neither list nor cancel what it runs, so of an attempt there nothing more can be learnt.
//
// Otherwise: an agent dies while its service is at a call; its successor comes up; the call is sent to another service
// while the first is still at it.
func (s *Scheduler) incarnationEnded(a *agent) {
	for _, r := range sortedRequests(a.attempts) {
		if r.attempt.incarnation < a.incarnation && r.pool.key.kind == kindService {
			s.outcomeLost(r)
		}
	}
}

// serverCleared takes the word of a newer incarnation of an agent on a model server as proof that all attempts there
// under older ones are over: before it says a word on a server, it has cancelled all that the server's engine ran.
//
// The incarnation's hello alone is no proof. An agent of several servers waits only for those that announce themselves
// in time: one that is late may still run what the last incarnation gave it, while the request runs elsewhere.
func (s *Scheduler) serverCleared(v *server) {
	for _, r := range sortedRequests(v.agent.attempts) {
		if r.attempt.server.name == v.name && r.attempt.incarnation < v.agent.incarnation {
			s.provedOver(r, retryLost)
		}
	}
}

// linkBack asks after the attempts of the present incarnation. A Cancel that was asked while the link was down goes out
// now; the others get quietBound to show a sign of life. Attempts of older incarnations are none of this one's; until
// it says a word on their server, they count as those of an agent that is away, and the engine is asked.
func (s *Scheduler) linkBack(a *agent) {
	for _, r := range sortedRequests(a.attempts) {
		if r.attempt.incarnation < a.incarnation {
			continue
		}
		r.attempt.downSince = time.Time{}
		r.attempt.quietSince = s.now
		r.attempt.server.unacked++
		if r.attempt.cancelAsked {
			s.sendCancel(r)
		}
		s.setWake(r)
	}
}
