package state

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// announcementPrefix marks announcements in the directory's history.
const announcementPrefix = "s/"

// announcements holds what backend servers say of themselves where they announce themselves to control.
type announcements struct {
	byServer map[string]*wire.Announcement
	ended    map[string]bool
	order    []string // of ended, oldest first
}

func newAnnouncements() announcements {
	return announcements{byServer: make(map[string]*wire.Announcement), ended: make(map[string]bool)}
}

// announceServer takes an announcement. One with an older sequence is late and changes nothing, and so does one of a
// server that has ended: it may have been held up on the way while its successor took the address.
//
// Only what others must know leads to a new version of the directory; a repeated announcement doesn't.
func (s *State) announceServer(in *wire.Announcement) *wire.CommandResult {
	if name := in.GetServer(); name == "" || len(name) > maxName || in.GetAddress() == "" {
		return refuse(result.BadMessage, "an announcement without a name or an address")
	}
	a := &s.announcements
	old := a.byServer[in.GetServer()]
	if a.ended[in.GetServer()] || old != nil && in.GetSequence() <= old.GetSequence() {
		return accepted()
	}
	if old == nil && len(a.byServer) >= s.limits.Announcements {
		return refuse(result.QueueFull, "there are %d announced servers already", len(a.byServer))
	}
	s.supersede(in)
	a.byServer[in.GetServer()] = proto.CloneOf(in)
	if !sameService(old, in) {
		s.raiseDirectory(announcementPrefix + in.GetServer())
	}
	return accepted()
}

// supersede takes other servers off the address at which one announces itself: a server that starts again has a new
// name, and its predecessor, which crashed, can't say that it is gone. Without this requests for the dead one go on to
// its successor, which refuses them by the name.
//
// The predecessor isn't ended for good: should this announcement itself have been held up on the way and be the older
// one, the server that is really there takes the address back with its next.
func (s *State) supersede(in *wire.Announcement) {
	a := &s.announcements
	for _, name := range slices.Sorted(maps.Keys(a.byServer)) {
		if name != in.GetServer() && a.byServer[name].GetAddress() == in.GetAddress() {
			delete(a.byServer, name)
			s.raiseDirectory(announcementPrefix + name)
		}
	}
}

// sameService tells whether two announcements of a server say the same but for their sequence.
func sameService(a, b *wire.Announcement) bool {
	if a == nil {
		return false
	}
	a, b = proto.CloneOf(a), proto.CloneOf(b)
	a.Sequence, b.Sequence = 0, 0
	return proto.Equal(a, b)
}

// endServer ends a server for good.
func (s *State) endServer(name string) *wire.CommandResult {
	a := &s.announcements
	if a.ended[name] || name == "" || len(name) > maxName {
		return accepted()
	}
	a.end(name, s.limits.EndedServers)
	if a.byServer[name] != nil {
		delete(a.byServer, name)
		s.raiseDirectory(announcementPrefix + name)
	}
	return accepted()
}

// end remembers that a server has ended, and forgets the oldest beyond the limit.
func (a *announcements) end(name string, limit int) {
	a.ended[name] = true
	a.order = append(a.order, name)
	for len(a.order) > limit {
		delete(a.ended, a.order[0])
		a.order = a.order[1:]
	}
}

func (a *announcements) restore(in *wire.Snapshot, limit int) {
	for _, announcement := range in.GetAnnouncements() {
		a.byServer[announcement.GetServer()] = announcement
	}
	for _, name := range in.GetEndedServers() {
		a.end(name, limit)
	}
}

// Announcements returns what announced servers say of themselves, sorted by server.
func (s *State) Announcements() []*wire.Announcement { return sorted(s.announcements.byServer) }

// Announcement returns what a server says of itself, nil if it isn't known or has ended.
func (s *State) Announcement(server string) *wire.Announcement {
	return s.announcements.byServer[server]
}

// HasEnded tells whether a server is known to have ended.
func (s *State) HasEnded(server string) bool { return s.announcements.ended[server] }

func (a *announcements) endedNames() []string { return slices.Clone(a.order) }
