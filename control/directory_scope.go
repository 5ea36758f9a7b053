package control

import (
	"slices"

	"github.com/carawaypitch/carawaypitch/wire"
)

// directoryScope filters the directory for one client.
//
// An entry gets all of it. An agent gets the entries from which it may admit requests, its own record, and the
// announcements of the backend server beside it. The directory grows with the deployment, and so does the number of its
// recipients. If each agent got all of it, the bytes that control sends would grow with the square of the deployment's
// size. The symptoms are control instances that send megabytes a second while servers start, and agents that are slow
// at their own work.
type directoryScope struct {
	agent   string          // name of the agent; "" for an entry
	address string          // of the server beside the agent; "" if the client gets all announcements
	servers map[string]bool // runs at address that were sent to the client
}

func newDirectoryScope(hello *wire.ClientHello) *directoryScope {
	s := &directoryScope{address: hello.GetServerAddress(), servers: make(map[string]bool)}
	if hello.GetRole() == wire.Role_ROLE_AGENT {
		s.agent = hello.GetInstance()
	}
	return s
}

// coversAll reports whether the client gets the records of all agents, not only its own.
func (s *directoryScope) coversAll() bool { return s.agent == "" }

// filter returns a new update with the part of u that the client gets.
func (s *directoryScope) filter(u *wire.DirectoryUpdate) *wire.DirectoryUpdate {
	out := &wire.DirectoryUpdate{
		Version: u.GetVersion(), Full: u.GetFull(),
		Entries: u.GetEntries(), RemovedEntries: u.GetRemovedEntries(),
		Poison: u.GetPoison(), RemovedPoison: u.GetRemovedPoison(),
	}
	if s.coversAll() {
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

func (s *directoryScope) addAgent(out, u *wire.DirectoryUpdate) {
	for _, agent := range u.GetAgents() {
		if agent.GetAgent() == s.agent {
			out.Agents = append(out.Agents, agent)
		}
	}
	if slices.Contains(u.GetRemoved(), s.agent) {
		out.Removed = []string{s.agent}
	}
}

func (s *directoryScope) addServers(out, u *wire.DirectoryUpdate) {
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

// addAdvice adds the advice of servers that were sent to the client. It must run after addServers, which records the
// servers of this update.
func (s *directoryScope) addAdvice(out, u *wire.DirectoryUpdate) {
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

// hasChanges reports whether an update changes anything but the version.
func hasChanges(u *wire.DirectoryUpdate) bool {
	changes := len(u.GetAgents()) + len(u.GetRemoved()) + len(u.GetEntries()) + len(u.GetRemovedEntries()) +
		len(u.GetAnnouncements()) + len(u.GetRemovedAnnouncements()) + len(u.GetPoison()) + len(u.GetRemovedPoison()) +
		len(u.GetAdvice()) + len(u.GetRemovedAdvice())
	return u.GetFull() || changes > 0
}

// directorySubscription is the progress of a client that follows the directory over one session.
type directorySubscription struct {
	scope      *directoryScope
	active     bool
	newestPoll uint64 // sequence number of the newest poll applied
	examined   uint64 // directory version up to which updates were filtered for the client
	sent       uint64 // last version sent to the client
	needsFull  bool   // the next update must replace all that the client has
}

// applyPoll starts or ends the subscription as a poll says. Polls may be answered in a different order than they were
// sent, so a poll older than the newest one is ignored. Otherwise a client that has just started to follow would get no
// updates until its next poll.
//
// A filtered subscription starts with a full update, because it is not known here which ended servers the client still
// has.
func (f *directorySubscription) applyPoll(poll *wire.Poll) {
	if poll.GetSequence() < f.newestPoll {
		return
	}
	f.newestPoll = poll.GetSequence()
	if poll.GetFollow() && !f.active {
		f.examined, f.sent = poll.GetDirectoryVersion(), poll.GetDirectoryVersion()
		f.needsFull = !f.scope.coversAll()
	}
	f.active = poll.GetFollow()
}

// next returns the update to send now, or nil if there is none. A version without changes for the client is sent only
// with the answer to its next poll.
func (f *directorySubscription) next(cache *updateCache, isPoll bool) *wire.DirectoryUpdate {
	if !f.active {
		return nil
	}
	if u := cache.directory(f.examined); u != nil {
		if f.needsFull {
			u = cache.directory(0)
		}
		part := f.scope.filter(u)
		f.examined, f.needsFull = u.GetVersion(), false
		if hasChanges(part) {
			return f.rebase(part)
		}
	}
	if isPoll && f.sent < f.examined {
		return f.rebase(&wire.DirectoryUpdate{Version: f.examined})
	}
	return nil
}

// rebase makes an update continue from the last version sent to the client.
func (f *directorySubscription) rebase(u *wire.DirectoryUpdate) *wire.DirectoryUpdate {
	u.Base = f.sent
	f.sent = u.GetVersion()
	return u
}
