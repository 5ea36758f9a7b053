package control

import (
	"slices"

	"github.com/carawaypitch/carawaypitch/wire"
)

// scope is the part of the directory that concerns one client.
//
// All of it concerns an entry. An agent needs the entries that it may admit, its own record, and the announcements of the server beside
// it. The directory grows with the fleet, and so does the number of those it goes to: were all of it sent to each agent, the bytes that
// control sends would grow with the square of the fleet. One would notice by control instances that send megabytes a second
// while servers start, and by agents that are late for their own work.
type scope struct {
	agent   string          // name of the agent; empty for an entry
	address string          // of the server beside the agent; empty if all announcements concern it
	servers map[string]bool // runs at the address that the agent was told of
}

func newScope(hello *wire.ClientHello) *scope {
	s := &scope{address: hello.GetServerAddress(), servers: make(map[string]bool)}
	if hello.GetRole() == wire.Role_ROLE_AGENT {
		s.agent = hello.GetInstance()
	}
	return s
}

// isWhole tells whether the whole directory concerns the client.
func (s *scope) isWhole() bool { return s.agent == "" }

// of returns the part of an update that concerns the client, as a new one.
func (s *scope) of(u *wire.DirectoryUpdate) *wire.DirectoryUpdate {
	out := &wire.DirectoryUpdate{
		Version: u.GetVersion(), Full: u.GetFull(),
		Entries: u.GetEntries(), RemovedEntries: u.GetRemovedEntries(),
		Poison: u.GetPoison(), RemovedPoison: u.GetRemovedPoison(),
	}
	if s.isWhole() {
		out.Agents, out.Removed = u.GetAgents(), u.GetRemoved()
	} else {
		s.addAgent(out, u)
	}
	if s.address == "" {
		out.Announcements, out.RemovedAnnouncements = u.GetAnnouncements(), u.GetRemovedAnnouncements()
	} else {
		s.addServers(out, u)
	}
	s.addAdvice(out, u)
	return out
}

func (s *scope) addAgent(out, u *wire.DirectoryUpdate) {
	for _, agent := range u.GetAgents() {
		if agent.GetAgent() == s.agent {
			out.Agents = append(out.Agents, agent)
		}
	}
	if slices.Contains(u.GetRemoved(), s.agent) {
		out.Removed = []string{s.agent}
	}
}

func (s *scope) addServers(out, u *wire.DirectoryUpdate) {
	if u.GetFull() {
		clear(s.servers)
	}
	for _, announcement := range u.GetAnnouncements() {
		if announcement.GetAddress() == s.address {
			s.servers[announcement.Run().String()] = true
			out.Announcements = append(out.Announcements, announcement)
		}
	}
	for _, run := range u.GetRemovedAnnouncements() {
		if s.servers[run] {
			delete(s.servers, run)
			out.RemovedAnnouncements = append(out.RemovedAnnouncements, run)
		}
	}
}

// addAdvice adds what the servers ask that the client was told of. The servers of an update come before.
func (s *scope) addAdvice(out, u *wire.DirectoryUpdate) {
	if s.address == "" {
		out.Advice, out.RemovedAdvice = u.GetAdvice(), u.GetRemovedAdvice()
		return
	}
	for _, advice := range u.GetAdvice() {
		if s.servers[advice.GetServer()] {
			out.Advice = append(out.Advice, advice)
		}
	}
	for _, server := range u.GetRemovedAdvice() {
		if s.servers[server] {
			out.RemovedAdvice = append(out.RemovedAdvice, server)
		}
	}
}

// isNews tells whether an update changes anything but the version.
func isNews(u *wire.DirectoryUpdate) bool {
	changes := len(u.GetAgents()) + len(u.GetRemoved()) + len(u.GetEntries()) + len(u.GetRemovedEntries()) +
		len(u.GetAnnouncements()) + len(u.GetRemovedAnnouncements()) + len(u.GetPoison()) + len(u.GetRemovedPoison()) +
		len(u.GetAdvice()) + len(u.GetRemovedAdvice())
	return u.GetFull() || changes > 0
}

// following is how far a client that follows the directory over a session has come.
type following struct {
	scope   *scope
	on      bool
	poll    uint64 // the newest poll that said so
	version uint64 // up to which its part was looked at
	told    uint64 // that the client was told
	whole   bool   // the next update replaces all that the client has
}

// set begins or ends it, as a poll says. Polls may be answered in another order than they were sent in; an earlier one changes nothing
// any more. Otherwise a client that has just begun to follow would hear nothing until its next poll.
//
// A part of the directory begins as a whole: what the client has of servers that have left meanwhile isn't known here.
func (f *following) set(poll *wire.Poll) {
	if poll.GetSequence() < f.poll {
		return
	}
	f.poll = poll.GetSequence()
	if poll.GetFollow() && !f.on {
		f.version, f.told = poll.GetDirectoryVersion(), poll.GetDirectoryVersion()
		f.whole = !f.scope.isWhole()
	}
	f.on = poll.GetFollow()
}

// next returns what the client is to be told now, nil for nothing. A version without news for the client is told with the answer to
// its next poll.
func (f *following) next(cache *updateCache, isPoll bool) *wire.DirectoryUpdate {
	if !f.on {
		return nil
	}
	if u := cache.directory(f.version); u != nil {
		if f.whole {
			u = cache.directory(0)
		}
		part := f.scope.of(u)
		f.version, f.whole = u.GetVersion(), false
		if isNews(part) {
			return f.tell(part)
		}
	}
	if isPoll && f.told < f.version {
		return f.tell(&wire.DirectoryUpdate{Version: f.version})
	}
	return nil
}

// tell has an update begin where the last one that the client was told ended.
func (f *following) tell(u *wire.DirectoryUpdate) *wire.DirectoryUpdate {
	u.Base = f.told
	f.told = u.GetVersion()
	return u
}
