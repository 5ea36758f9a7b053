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

// runReturns is how many announcements in a row, with nothing from the run that is held between them, show that another run of the same
// server lives though it started earlier by its clock or had been replaced. Late ones come once or in a short
// series; a server that lives goes on each heartbeat. Meanwhile it gets no new work, for some heartbeats.
const runReturns = 3

// announcements holds what backend servers say of themselves where they announce themselves to control, by run: one start of
// a server, see [wire.Run]. Of one id at most one run is held.
type announcements struct {
	byRun      map[string]*wire.Announcement
	ended      nameSet                    // runs that have ended for good
	replaced   nameSet                    // runs that another took the place of
	contenders map[string]*wire.Contender // by id
}

// nameSet is a bounded set of names, oldest first.
type nameSet struct {
	has   map[string]bool
	order []string
}

func newNameSet() nameSet { return nameSet{has: make(map[string]bool)} }

// add adds a name, and forgets the oldest beyond the limit.
func (n *nameSet) add(name string, limit int) {
	if n.has[name] {
		return
	}
	n.has[name] = true
	n.order = append(n.order, name)
	for len(n.order) > limit {
		delete(n.has, n.order[0])
		n.order = n.order[1:]
	}
}

func (n *nameSet) remove(name string) {
	if n.has[name] {
		delete(n.has, name)
		n.order = slices.DeleteFunc(n.order, func(one string) bool { return one == name })
	}
}

func newAnnouncements() announcements {
	return announcements{
		byRun:      make(map[string]*wire.Announcement),
		ended:      newNameSet(),
		replaced:   newNameSet(),
		contenders: make(map[string]*wire.Contender),
	}
}

// held is the run of a server that is held, nil if there is none.
func (a *announcements) held(id string) *wire.Announcement {
	for _, held := range a.byRun {
		if held.GetServer() == id {
			return held
		}
	}
	return nil
}

// announceServers takes announcements, each of which has a result of its own.
func (s *State) announceServers(cmd *wire.AnnounceServers) *wire.CommandResult {
	out := accepted()
	for _, announcement := range cmd.GetAnnouncements() {
		out.Each = append(out.Each, s.announceServer(announcement))
	}
	return out
}

// announceServer takes an announcement. One with an older sequence is late and changes nothing, and so does one of a run that
// has ended: it may have been held up on the way while its successor took the address.
//
// Only what others must know leads to a new version of the directory; a repeated announcement doesn't.
func (s *State) announceServer(in *wire.Announcement) *wire.CommandResult {
	if problem := s.checkAnnouncement(in); problem != "" {
		return refuse(result.MalformedBody, "%s", problem)
	}
	a := &s.announcements
	name := in.Run().String()
	if a.ended.has[name] {
		return accepted()
	}
	if old := a.byRun[name]; old != nil {
		delete(a.contenders, in.GetServer())
		if in.GetSequence() > old.GetSequence() {
			s.hold(in)
		}
		return accepted()
	}
	held := a.held(in.GetServer())
	isNewer := !a.replaced.has[name] && (held == nil || in.GetStartedUnixMs() > held.GetStartedUnixMs())
	if !isNewer && !a.contend(in) {
		return accepted()
	}
	if held == nil && len(a.byRun) >= s.limits.Announcements {
		return refuse(result.QueueFull, "there are %d announced servers already", len(a.byRun))
	}
	if held != nil {
		s.replace(held)
	}
	s.hold(in)
	return accepted()
}

// checkAnnouncement returns what is wrong with an announcement, or "". One that introduces a run names a service of the
// desired state in force; one of a service that an operator has taken away still says that it leaves.
//
// Announcements may come from other writers. One with a service that nobody knows would take a sound server's address from it.
func (s *State) checkAnnouncement(in *wire.Announcement) string {
	if name := in.GetServer(); name == "" || len(name) > maxName || in.GetAddress() == "" {
		return "an announcement without a name or an address"
	}
	held := s.announcements.held(in.GetServer())
	if in.GetStartedUnixMs() == 0 && held.GetStartedUnixMs() != 0 {
		return "an announcement without a time of start, of a server that tells it"
	}
	isKnown := held.GetPool() == in.GetPool()
	if s.desired != nil && !isKnown && !hasPool(s.desired, in.GetPool()) {
		return "an announcement of a service that the desired state doesn't have"
	}
	return ""
}

func hasPool(desired *wire.DesiredState, name string) bool {
	return slices.ContainsFunc(desired.GetPools(), func(pool *wire.Pool) bool { return pool.GetName() == name })
}

// contend notes an announcement of a run that isn't the newest as far as known, and tells whether it has shown that it lives.
//
// The time of start can't decide alone: a clock that was set back makes a new run look older than the last, and such a server
// would be lost for good. Nor can the last announcement: it may have been delayed for seconds.
func (a *announcements) contend(in *wire.Announcement) bool {
	if in.GetDraining() {
		return false
	}
	known := a.contenders[in.GetServer()]
	times := uint32(1)
	if known != nil && known.Run() == in.Run() {
		if in.GetSequence() <= known.GetSequence() {
			return false
		}
		times = known.GetTimes() + 1
	}
	if times >= runReturns {
		delete(a.contenders, in.GetServer())
		return true
	}
	a.contenders[in.GetServer()] = &wire.Contender{
		Server: in.GetServer(), StartedUnixMs: in.GetStartedUnixMs(), Sequence: in.GetSequence(), Times: times,
	}
	return false
}

// hold puts an announcement in force.
func (s *State) hold(in *wire.Announcement) {
	a := &s.announcements
	name := in.Run().String()
	s.supersede(in)
	if !sameService(a.byRun[name], in) {
		s.raiseDirectory(announcementPrefix + name)
	}
	a.byRun[name] = proto.CloneOf(in)
	a.replaced.remove(name)
	delete(a.contenders, in.GetServer())
}

// replace takes a run out of the directory for another of the same server.
func (s *State) replace(held *wire.Announcement) {
	name := held.Run().String()
	s.drop(name)
	s.announcements.replaced.add(name, s.limits.EndedServers)
}

// drop takes a run out of the directory.
func (s *State) drop(name string) {
	delete(s.announcements.byRun, name)
	s.raiseDirectory(announcementPrefix + name)
	s.dropAdvice(name)
}

// supersede takes other servers off the address at which one announces itself: a server that starts again may have a new
// id, and its predecessor, which crashed, can't say that it is gone. Without this requests for the dead one go on to its
// successor, which refuses them by the id.
//
// The predecessor isn't ended for good: should this announcement itself have been held up on the way and be the older
// one, the server that is really there takes the address back with its next.
func (s *State) supersede(in *wire.Announcement) {
	a := &s.announcements
	for _, name := range slices.Sorted(maps.Keys(a.byRun)) {
		if name != in.Run().String() && a.byRun[name].GetAddress() == in.GetAddress() {
			s.drop(name)
		}
	}
}

// sameService tells whether two announcements of a run say the same but for their sequence.
func sameService(a, b *wire.Announcement) bool {
	if a == nil {
		return false
	}
	a, b = proto.CloneOf(a), proto.CloneOf(b)
	a.Sequence, b.Sequence = 0, 0
	return proto.Equal(a, b)
}

// endServer ends a run for good. An end that names no run is of the one that is held. If that tells when it started, the end
// may be a late one of the run before, so it holds until the run goes on to announce itself.
func (s *State) endServer(cmd *wire.EndServer) *wire.CommandResult {
	a := &s.announcements
	name := cmd.Run().String()
	if cmd.GetServer() == "" || len(cmd.GetServer()) > maxName || a.ended.has[name] {
		return accepted()
	}
	delete(a.contenders, cmd.GetServer())
	if held := a.held(cmd.GetServer()); cmd.GetStartedUnixMs() == 0 && held.GetStartedUnixMs() != 0 {
		s.replace(held)
		return accepted()
	}
	if a.byRun[name] != nil {
		s.drop(name)
	}
	a.ended.add(name, s.limits.EndedServers)
	return accepted()
}

func (a *announcements) restore(in *wire.Snapshot, limit int) {
	for _, announcement := range in.GetAnnouncements() {
		a.byRun[announcement.Run().String()] = announcement
	}
	for _, name := range in.GetEndedServers() {
		a.ended.add(name, limit)
	}
	for _, name := range in.GetReplacedServers() {
		a.replaced.add(name, limit)
	}
	for _, contender := range in.GetContenders() {
		a.contenders[contender.GetServer()] = contender
	}
}

// Announcements returns what announced servers say of themselves, sorted by run.
func (s *State) Announcements() []*wire.Announcement { return sorted(s.announcements.byRun) }

// Announcement returns what a run of a server says of itself, nil if it isn't known or has ended.
func (s *State) Announcement(run string) *wire.Announcement { return s.announcements.byRun[run] }

// HasRunEnded tells whether a run is known to have ended for good.
func (s *State) HasRunEnded(run string) bool { return s.announcements.ended.has[run] }

// IsContested tells whether another run than the one that is held announces itself under an id. Then announcements of both count.
func (s *State) IsContested(server string) bool { return s.announcements.contenders[server] != nil }
