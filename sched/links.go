package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// agentUp handles the opening of the pair of links to an agent.
func (s *Scheduler) agentUp(hello *wire.AgentHello) {
	a := s.agentNamed(hello.GetAgent())
	if hello.GetIncarnation() < a.incarnation {
		s.countDropped(droppedIncarnation)
		return
	}
	if a.up {
		s.linkLost(a)
	}
	if hello.GetIncarnation() > a.incarnation {
		for _, v := range a.servers {
			v.forgetDecodeRate() // the agent may have been restarted with another engine
		}
	}
	a.incarnation = hello.GetIncarnation()
	a.zone = hello.GetAvailabilityZone()
	a.up = true
	a.downSince = time.Time{}
	s.incarnationEnded(a)
	s.linkRestored(a)
	s.orphans.agentUp(s, a)
	s.cancelEarlierAtAgent(a)
}

// agentDown handles the loss of a link. The agent's attempts stay unproved: they may still be running.
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
	for _, v := range sortedByName(a.servers) {
		v.room = nil
		v.unacked, v.ackedSinceRoom = 0, 0
		s.updateReadiness(v)
		s.updatePools(v)
	}
	for _, r := range sortedRequests(a.attempts) {
		r.attempt.acked, r.attempt.linkLost = false, true
		r.attempt.downSince = s.now
		_ = s.fire(r, evAgentLost)
		s.setTimer(r)
	}
}

// incarnationEnded fails attempts that ran at plain services under an older incarnation of the agent. A plain
// service can neither list nor cancel its calls, so nothing more can be learnt about such an attempt.
//
// Otherwise, if an agent crashes during a call and restarts, the call would be sent to another service while the
// first one still runs it.
func (s *Scheduler) incarnationEnded(a *agent) {
	for _, r := range sortedRequests(a.attempts) {
		if r.attempt.incarnation < a.incarnation && r.pool.key.kind == kindService {
			s.outcomeLost(r)
		}
	}
}

// serverCleared takes a report of a newer incarnation of an agent on a model server as proof that all attempts
// there under older incarnations are over: an agent reports on a server only after cancelling all that its engine
// ran.
//
// The hello of the incarnation alone is no proof. An agent of several servers waits only for those that announce
// themselves in time: a late one may still run attempts of the previous incarnation while the request runs
// elsewhere.
func (s *Scheduler) serverCleared(v *server) {
	for _, r := range sortedRequests(v.agent.attempts) {
		if r.attempt.server.name == v.name && r.attempt.incarnation < v.agent.incarnation {
			s.provedOver(r, retryAgentRestarted)
		}
	}
}

// linkRestored resumes tracking of the attempts of the current incarnation. A Cancel requested while the link was
// down is sent now; the other attempts get silenceTimeout to be reported. This incarnation has none of the attempts
// of older ones; until it reports on their server, they are treated like attempts of an unreachable agent, and the
// engine is asked.
func (s *Scheduler) linkRestored(a *agent) {
	for _, r := range sortedRequests(a.attempts) {
		if r.attempt.incarnation < a.incarnation {
			continue
		}
		r.attempt.downSince = time.Time{}
		r.attempt.silentSince = s.now
		r.attempt.server.unacked++
		if r.attempt.cancelAsked {
			s.sendCancel(r)
		}
		s.setTimer(r)
	}
}
