package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// agent is an agent that was linked, or is in the directory.
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
	name      string
	agent     *agent
	kind      string
	address   string
	listed    bool // in the directory, and not on its way out there
	record    *wire.ServerRecord
	room      *wire.Room // of the present link; nil until one came
	roomAt    time.Time
	ready     bool // may have new work, see isReady
	hasRoom   bool
	pools     []*pool
	waiting   map[*request]struct{} // requests with a reservation here
	inflight  int                   // attempts of this entry
	unacked   int                   // dispatched, and the agent hasn't answered
	sinceRoom int                   // acknowledged since the last Room, which may not count them
	pace      pace
}

// agentNamed returns the agent, which is made if it isn't known.
func (s *Scheduler) agentNamed(name string) *agent {
	a := s.agents[name]
	if a == nil {
		a = &agent{name: name, servers: map[string]*server{}, attempts: map[*request]struct{}{}}
		s.agents[name] = a
	}
	return a
}

// setDirectory takes the committed directory in. A server that isn't in it any more gets no new work from now on,
// whatever its agent says.
func (s *Scheduler) setDirectory(records []*wire.AgentRecord) {
	s.directory = true
	listed := map[string]bool{}
	for _, record := range records {
		a := s.agentNamed(record.GetAgent())
		a.zone = record.GetAvailabilityZone()
		for _, server := range record.GetServers() {
			listed[server.GetServer()] = true
			s.list(a, server)
		}
	}
	for _, v := range s.sortedServers() {
		if !listed[v.name] {
			s.unlist(v)
		}
	}
	s.forgetAgents()
}

func (s *Scheduler) list(a *agent, record *wire.ServerRecord) {
	v := s.serverNamed(a, record.GetServer())
	if v.agent != a {
		s.move(v, a)
	}
	v.record = record
	v.kind = record.GetKind()
	v.address = record.GetAddress()
	v.listed = inService(record.GetCondition())
	s.place(v)
	s.refresh(v)
}

// inService tells whether the directory's condition allows new work. A record that says nothing does.
func inService(c wire.ServerCondition) bool {
	return c == wire.ServerCondition_SERVER_CONDITION_READY || c == wire.ServerCondition_SERVER_CONDITION_UNSPECIFIED
}

func (s *Scheduler) unlist(v *server) {
	v.listed = false
	v.record = nil
	s.refresh(v)
	s.place(v)
	if v.inflight == 0 && v.room == nil {
		delete(v.agent.servers, v.name)
		delete(s.servers, v.name)
	}
}

// move gives a server to another agent, as when an instance was replaced. Its attempts stay with the old one.
func (s *Scheduler) move(v *server, a *agent) {
	v.room = nil
	s.refresh(v)
	delete(v.agent.servers, v.name)
	v.agent = a
	a.servers[v.name] = v
	v.unacked, v.sinceRoom = 0, 0
}

func (s *Scheduler) serverNamed(a *agent, name string) *server {
	v := s.servers[name]
	if v == nil {
		v = &server{name: name, agent: a, waiting: map[*request]struct{}{}}
		s.servers[name] = v
		a.servers[name] = v
	}
	return v
}

// HasAttempts tells whether attempts of this entry are at an agent.
func (s *Scheduler) HasAttempts(agent string) bool {
	a := s.agents[agent]
	return a != nil && len(a.attempts) > 0
}

// forgetAgents drops the agents that nothing refers to. One that was linked is kept while it is up.
func (s *Scheduler) forgetAgents() {
	for name, a := range s.agents {
		if !a.up && len(a.servers) == 0 && len(a.attempts) == 0 {
			delete(s.agents, name)
		}
	}
}

// room takes in what a gate can take now.
func (s *Scheduler) room(a *agent, m *wire.Room) {
	v := s.serverNamed(a, m.GetServer())
	if v.agent != a || !a.up {
		s.countStray(strayIncarnation)
		return
	}
	old := v.room
	v.room = m
	v.roomAt = s.now
	v.sinceRoom = 0
	if old == nil || !slices.Equal(old.GetTargets(), m.GetTargets()) || old.GetAddressKind() != m.GetAddressKind() {
		s.place(v)
	}
	s.refresh(v)
	s.serverCleared(v)
}

// place puts the server into the pools of what it has ready.
func (s *Scheduler) place(v *server) {
	for _, p := range v.pools {
		p.take(v)
	}
	old := v.pools
	v.pools = nil
	kind, targets := v.offers()
	for _, target := range targets {
		p := s.pool(poolKey{kind: kind, target: target})
		p.put(v)
		v.pools = append(v.pools, p)
	}
	for _, p := range old {
		s.touch(p)
		s.forget(p)
	}
	for _, p := range v.pools {
		s.touch(p)
	}
	s.dropReservations(v, func(r *request) bool { return !r.pool.has(v) })
}

// offers says what a listed server has: by its last Room, else by the directory.
func (v *server) offers() (kind string, targets []string) {
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

func (p *pool) put(v *server) {
	at, ok := p.search(v.name)
	if ok {
		return
	}
	p.servers = slices.Insert(p.servers, at, v)
	p.count(v, 1)
}

func (p *pool) take(v *server) {
	at, ok := p.search(v.name)
	if !ok {
		return
	}
	p.servers = slices.Delete(p.servers, at, at+1)
	p.count(v, -1)
}

func (p *pool) count(v *server, n int) {
	if v.ready {
		p.ready += n
	}
	if v.hasRoom {
		p.roomy += n
	}
}

func (p *pool) search(name string) (int, bool) {
	return slices.BinarySearchFunc(p.servers, name, func(v *server, name string) int {
		return cmp.Compare(v.name, name)
	})
}

// refresh looks again at whether the server may have new work and has room, after anything that bears on it changed.
func (s *Scheduler) refresh(v *server) {
	ready, hasRoom := v.isReady(), s.usable(v) > 0
	if ready == v.ready && hasRoom == v.hasRoom {
		return
	}
	gone := v.ready && !ready
	for _, p := range v.pools {
		p.count(v, -1)
	}
	v.ready, v.hasRoom = ready, hasRoom
	for _, p := range v.pools {
		p.count(v, 1)
		s.touch(p)
	}
	if gone {
		s.dropReservations(v, func(*request) bool { return true })
	}
}

// isReady tells whether the server may have new work. Three independent signs stop it, each at once: the directory,
// the link, and the gate's own word. A server that leaves while one of them fails to say so is stopped by another.
func (v *server) isReady() bool { return v.isSound() && !v.isAway() }

// isSound tells whether nothing but its own wish keeps new work from the server.
func (v *server) isSound() bool {
	return v.listed && v.agent.up && v.room != nil && v.room.GetCondition() == wire.ServerCondition_SERVER_CONDITION_READY
}

// isAway tells whether the server has asked to keep away for a while. Its reservations go to other servers meanwhile.
func (v *server) isAway() bool { return v.room.GetThrottle() == wire.Throttle_THROTTLE_BACKOFF }

// usable is how many attempts may be dispatched to the server without an Offer.
func (s *Scheduler) usable(v *server) int {
	if !v.isReady() {
		return 0
	}
	if s.options.Policy != PolicyTargets {
		return s.options.MaxOutstanding - v.inflight
	}
	return int(v.room.GetFree()) - v.unacked - v.sinceRoom
}

// sent counts a dispatch against the room that was advertised before it.
func (v *server) sent(*attempt) {
	v.inflight++
	v.unacked++
}

// acknowledged notes that the agent knows the attempt. The room held may be from before it.
func (v *server) acknowledged(*attempt) {
	v.unacked = max(v.unacked-1, 0)
	v.sinceRoom++
}

func (v *server) over(a *attempt) {
	v.inflight--
	if !a.acked {
		v.unacked = max(v.unacked-1, 0)
	}
}

// refused notes that the gate had no room after all: none is believed until it says so again.
func (v *server) refused() {
	if v.room != nil {
		v.sinceRoom = max(v.sinceRoom, int(v.room.GetFree()))
	}
}

func (s *Scheduler) sortedServers() []*server {
	return sortedOf(s.servers)
}

func sortedOf(servers map[string]*server) []*server {
	return slices.SortedFunc(maps.Values(servers), func(a, b *server) int { return cmp.Compare(a.name, b.name) })
}

// sortedRequests returns the requests in order of arrival.
func sortedRequests(set map[*request]struct{}) []*request {
	return slices.SortedFunc(maps.Keys(set), func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
}
