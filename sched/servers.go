package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// agent is an agent that is or was linked, or is in the directory.
type agent struct {
	name        string
	incarnation uint64 // highest seen on a link
	zone        string
	up          bool
	downSince   time.Time
	servers     map[string]*server
	attempts    map[*request]struct{}
}

// server is a backend server.
type server struct {
	name           string
	agent          *agent
	kind           string
	address        string
	listed         bool // in the directory, and not leaving
	record         *wire.ServerRecord
	room           *wire.Room // last report on the current link; nil before the first
	roomAt         time.Time
	ready          bool // may have new work, see isReady
	hasRoom        bool
	pools          []*pool
	reservedBy     map[*request]struct{} // requests with a reservation here
	inflight       int                   // attempts of this entry
	unacked        int                   // dispatched and not acknowledged by the agent
	ackedSinceRoom int                   // acknowledged since the last Room, which may not count them
	correction     runCorrection
	loadedDecode   float64 // decode rate under load, by the gate's reports, see noteDecodeRate
	loadedAt       time.Time
}

// agentNamed returns the agent, creating it if it is unknown.
func (s *Scheduler) agentNamed(name string) *agent {
	a := s.agents[name]
	if a == nil {
		a = &agent{name: name, servers: map[string]*server{}, attempts: map[*request]struct{}{}}
		s.agents[name] = a
	}
	return a
}

// setDirectory applies the committed directory. A server that is no longer in it gets no new work, whatever its
// agent reports.
func (s *Scheduler) setDirectory(records []*wire.AgentRecord) {
	isFirst := !s.directoryReceived
	s.directoryReceived = true
	listed := map[string]bool{}
	for _, record := range records {
		a := s.agentNamed(record.GetAgent())
		a.zone = record.GetAvailabilityZone()
		for _, server := range record.GetServers() {
			listed[server.GetServer()] = true
			s.listServer(a, server)
		}
	}
	for _, v := range s.sortedServers() {
		if !listed[v.name] {
			s.unlistServer(v)
		}
	}
	s.removeUnusedAgents()
	s.noteVersions(isFirst)
	s.endVersionsGone()
}

func (s *Scheduler) listServer(a *agent, record *wire.ServerRecord) {
	v := s.serverNamed(a, record.GetServer())
	if v.agent != a {
		s.moveServer(v, a)
	}
	v.record = record
	v.kind = record.GetKind()
	v.address = record.GetAddress()
	v.listed = inService(record.GetCondition())
	s.updatePools(v)
	s.updateReadiness(v)
}

// inService reports whether the directory's condition allows new work. An unspecified condition does.
func inService(c wire.ServerCondition) bool {
	return c == wire.ServerCondition_SERVER_CONDITION_READY || c == wire.ServerCondition_SERVER_CONDITION_UNSPECIFIED
}

func (s *Scheduler) unlistServer(v *server) {
	v.listed = false
	v.record = nil
	s.updateReadiness(v)
	s.updatePools(v)
	if v.inflight == 0 && v.room == nil {
		delete(v.agent.servers, v.name)
		delete(s.servers, v.name)
	}
}

// moveServer assigns a server to another agent, as when an instance was replaced. Its attempts stay with the old
// one.
func (s *Scheduler) moveServer(v *server, a *agent) {
	v.room = nil
	s.updateReadiness(v)
	delete(v.agent.servers, v.name)
	v.agent = a
	a.servers[v.name] = v
	v.unacked, v.ackedSinceRoom = 0, 0
}

func (s *Scheduler) serverNamed(a *agent, name string) *server {
	v := s.servers[name]
	if v == nil {
		v = &server{name: name, agent: a, reservedBy: map[*request]struct{}{}}
		s.servers[name] = v
		a.servers[name] = v
	}
	return v
}

// HasAttempts reports whether the agent has attempts of this entry.
func (s *Scheduler) HasAttempts(agent string) bool {
	a := s.agents[agent]
	return a != nil && len(a.attempts) > 0
}

// removeUnusedAgents removes agents that nothing refers to and whose link is down.
func (s *Scheduler) removeUnusedAgents() {
	for name, a := range s.agents {
		if !a.up && len(a.servers) == 0 && len(a.attempts) == 0 {
			delete(s.agents, name)
		}
	}
}

// roomReceived handles a gate's report of its room.
func (s *Scheduler) roomReceived(a *agent, m *wire.Room) {
	v := s.serverNamed(a, m.GetServer())
	if v.agent != a || !a.up {
		s.countDropped(droppedIncarnation)
		return
	}
	old := v.room
	v.room = m
	v.roomAt = s.now
	v.noteDecodeRate(s.now)
	v.ackedSinceRoom = 0
	if old == nil || !slices.Equal(old.GetTargets(), m.GetTargets()) || old.GetAddressKind() != m.GetAddressKind() {
		s.updatePools(v)
	}
	s.updateReadiness(v)
	s.serverCleared(v)
}

// updatePools moves the server to the pools of the targets that it has ready.
func (s *Scheduler) updatePools(v *server) {
	for _, p := range v.pools {
		p.removeServer(v)
	}
	old := v.pools
	v.pools = nil
	kind, targets := v.advertised()
	for _, target := range targets {
		if !s.isMember(target, v) {
			continue
		}
		p := s.pool(poolKey{kind: kind, target: target})
		p.addServer(v)
		v.pools = append(v.pools, p)
	}
	for _, p := range old {
		s.markDirty(p)
		s.removeIfUnused(p)
	}
	for _, p := range v.pools {
		s.markDirty(p)
	}
	s.rolloutsStale = s.rolloutsStale || len(s.rollouts) > 0
	s.dropReservations(v, func(r *request) bool { return !s.isInUse(r.pool, v) })
}

// advertised returns the targets that a listed server has: by its last Room, or by the directory without one.
func (v *server) advertised() (kind string, targets []string) {
	if v.record == nil {
		return "", nil
	}
	if v.room == nil {
		return v.kind, v.record.GetModels()
	}
	if v.room.GetAddressKind() == "" {
		return v.kind, v.room.GetTargets()
	}
	return v.room.GetAddressKind(), v.room.GetTargets()
}

func (p *pool) addServer(v *server) {
	at, ok := p.search(v.name)
	if ok {
		return
	}
	p.servers = slices.Insert(p.servers, at, v)
	p.forgetPaces()
	p.adjustCounts(v, 1)
}

func (p *pool) removeServer(v *server) {
	at, ok := p.search(v.name)
	if !ok {
		return
	}
	p.servers = slices.Delete(p.servers, at, at+1)
	p.forgetPaces()
	p.adjustCounts(v, -1)
}

func (p *pool) adjustCounts(v *server, n int) {
	if v.ready {
		p.ready += n
	}
	if v.hasRoom {
		p.withRoom += n
	}
}

func (p *pool) search(name string) (int, bool) {
	return slices.BinarySearchFunc(p.servers, name, func(v *server, name string) int {
		return cmp.Compare(v.name, name)
	})
}

// updateReadiness recomputes whether the server may have new work and has room. It is called after every change
// that may affect this.
func (s *Scheduler) updateReadiness(v *server) {
	ready, hasRoom := v.isReady(), s.usableRoom(v) > 0
	if ready == v.ready && hasRoom == v.hasRoom {
		return
	}
	unready, changed := v.ready && !ready, ready != v.ready
	s.noteReadiness(v, changed)
	for _, p := range v.pools {
		p.adjustCounts(v, -1)
	}
	v.ready, v.hasRoom = ready, hasRoom
	for _, p := range v.pools {
		p.adjustCounts(v, 1)
		if changed {
			p.forgetPaces()
		}
		s.markDirty(p)
	}
	if unready {
		s.dropReservations(v, func(*request) bool { return true })
	}
}

// isReady reports whether the server may have new work. Any of three independent signals stops new work at once:
// the directory, the link, and the gate's own report. If one of them fails to show that a server leaves, another
// does.
func (v *server) isReady() bool { return v.isHealthy() && !v.inBackoff() }

// isHealthy reports whether the server may have new work, apart from a back-off that it requested.
func (v *server) isHealthy() bool {
	return v.listed && v.agent.up && v.room != nil && v.room.GetCondition() == wire.ServerCondition_SERVER_CONDITION_READY
}

// inBackoff reports whether the server has requested back-off. Its reservations move to other servers meanwhile.
func (v *server) inBackoff() bool { return v.room.GetThrottle() == wire.Throttle_THROTTLE_BACKOFF }

// usableRoom returns how many attempts may be dispatched to the server without an Offer. It may be negative.
func (s *Scheduler) usableRoom(v *server) int {
	if !v.isReady() {
		return 0
	}
	if s.options.Policy != PolicyTargets {
		return s.options.MaxOutstanding - v.inflight
	}
	return int(v.room.GetFree()) - v.unacked - v.ackedSinceRoom
}

// attemptSent counts a dispatch against the room advertised before it.
func (v *server) attemptSent(*attempt) {
	v.inflight++
	v.unacked++
}

// attemptAcknowledged records that the agent knows the attempt. The last Room may predate it.
func (v *server) attemptAcknowledged(*attempt) {
	v.unacked = max(v.unacked-1, 0)
	v.ackedSinceRoom++
}

func (v *server) attemptOver(a *attempt) {
	v.inflight--
	if !a.acked {
		v.unacked = max(v.unacked-1, 0)
	}
}

// attemptRefused records that the gate had no room after all: its room counts as used up until its next report.
func (v *server) attemptRefused() {
	if v.room != nil {
		v.ackedSinceRoom = max(v.ackedSinceRoom, int(v.room.GetFree()))
	}
}

func (s *Scheduler) sortedServers() []*server {
	return sortedByName(s.servers)
}

func sortedByName(servers map[string]*server) []*server {
	return slices.SortedFunc(maps.Values(servers), func(a, b *server) int { return cmp.Compare(a.name, b.name) })
}

// sortedRequests returns the requests in order of arrival.
func sortedRequests(set map[*request]struct{}) []*request {
	return slices.SortedFunc(maps.Keys(set), func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
}
