package state

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// announcementPrefix marks announcements in the directory history.
const announcementPrefix = "s/"

// contenderConfirmations is the number of consecutive announcements, with none from the current run in between, after
// which another run of the same server replaces the current one although its start time is earlier or it had been
// replaced. Delayed announcements arrive singly or in a short series, while a running server sends one with each
// heartbeat. Until it is confirmed, for a few heartbeats, the run gets no new work.
const contenderConfirmations = 3

// announcements holds what backend servers announce to control, by run: a run is one start of a server, see
// [wire.Run]. For each server ID at most one run is current.
type announcements struct {
	byRun      map[string]*wire.Announcement
	ended      nameSet                    // runs that have ended permanently
	replaced   nameSet                    // runs that another run of the same server has replaced
	contenders map[string]*wire.Contender // by server ID; runs that are not yet confirmed
}

// nameSet is a bounded set of names in insertion order.
type nameSet struct {
	has   map[string]bool
	order []string
}

func newNameSet() nameSet { return nameSet{has: make(map[string]bool)} }

// add adds a name and evicts the oldest ones beyond the limit.
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

// remove removes a name if it is in the set.
func (n *nameSet) remove(name string) {
	if n.has[name] {
		delete(n.has, name)
		n.order = slices.DeleteFunc(n.order, func(existing string) bool { return existing == name })
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

// currentRun returns the announcement of the current run of a server, nil if there is none.
func (a *announcements) currentRun(id string) *wire.Announcement {
	for _, announcement := range a.byRun {
		if announcement.GetServer() == id {
			return announcement
		}
	}
	return nil
}

// announceServers applies a batch of announcements. The result holds one result for each of them, in order.
func (s *State) announceServers(cmd *wire.AnnounceServers) *wire.CommandResult {
	out := accepted()
	for _, announcement := range cmd.GetAnnouncements() {
		out.Each = append(out.Each, s.announceServer(announcement))
	}
	return out
}

// announceServer applies one announcement. An announcement with an older sequence number changes nothing, and neither
// does one of a run that has ended: it may have been delayed while the server's successor took over the address.
//
// The directory version changes only if clients have to learn something; a repeated announcement does not change it.
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
			s.storeAnnouncement(in)
		}
		return accepted()
	}
	current := a.currentRun(in.GetServer())
	isNewer := !a.replaced.has[name] && (current == nil || in.GetStartedUnixMs() > current.GetStartedUnixMs())
	if !isNewer && !a.confirmContender(in) {
		return accepted()
	}
	if current == nil && len(a.byRun) >= s.limits.Announcements {
		return refuse(result.QueueFull, "there are %d announced servers already", len(a.byRun))
	}
	if current != nil {
		s.replaceRun(current)
	}
	s.storeAnnouncement(in)
	return accepted()
}

// checkAnnouncement returns what is wrong with an announcement, or "". An announcement that introduces a run must
// name a service of the current desired state. A run that is already current may still announce that it is draining
// after an operator has removed its service.
//
// Announcements may come from other writers. One that names an unknown service would take over the address of a
// working server.
func (s *State) checkAnnouncement(in *wire.Announcement) string {
	if name := in.GetServer(); name == "" || len(name) > maxName || in.GetAddress() == "" {
		return "an announcement without a name or an address"
	}
	current := s.announcements.currentRun(in.GetServer())
	if in.GetStartedUnixMs() == 0 && current.GetStartedUnixMs() != 0 {
		return "an announcement without a time of start, of a server that tells it"
	}
	isKnown := current.GetPool() == in.GetPool()
	if s.desired != nil && !isKnown && !hasPool(s.desired, in.GetPool()) {
		return "an announcement of a service that the desired state doesn't have"
	}
	return ""
}

func hasPool(desired *wire.DesiredState, name string) bool {
	return slices.ContainsFunc(desired.GetPools(), func(pool *wire.Pool) bool { return pool.GetName() == name })
}

// confirmContender records an announcement of a run that is not the newest known one, and reports whether the run is
// confirmed as running.
//
// The start time alone cannot decide: if a machine's clock is set back, a new run appears older than the previous one
// and would never be accepted. The latest announcement alone cannot decide either, since it may have been delayed for
// seconds.
func (a *announcements) confirmContender(in *wire.Announcement) bool {
	if in.GetDraining() {
		return false
	}
	previous := a.contenders[in.GetServer()]
	confirmations := uint32(1)
	if previous != nil && previous.Run() == in.Run() {
		if in.GetSequence() <= previous.GetSequence() {
			return false
		}
		confirmations = previous.GetTimes() + 1
	}
	if confirmations >= contenderConfirmations {
		delete(a.contenders, in.GetServer())
		return true
	}
	a.contenders[in.GetServer()] = &wire.Contender{
		Server: in.GetServer(), StartedUnixMs: in.GetStartedUnixMs(), Sequence: in.GetSequence(), Times: confirmations,
	}
	return false
}

// storeAnnouncement makes an announcement the current one of its server.
func (s *State) storeAnnouncement(in *wire.Announcement) {
	a := &s.announcements
	name := in.Run().String()
	s.removeOthersAtAddress(in)
	if !equalExceptSequence(a.byRun[name], in) {
		s.advanceDirectoryVersion(announcementPrefix + name)
	}
	a.byRun[name] = proto.CloneOf(in)
	a.replaced.remove(name)
	delete(a.contenders, in.GetServer())
}

// replaceRun removes a run from the directory because another run of the same server replaces it.
func (s *State) replaceRun(current *wire.Announcement) {
	name := current.Run().String()
	s.removeRun(name)
	s.announcements.replaced.add(name, s.limits.EndedServers)
}

// removeRun removes a run and its advice from the directory.
func (s *State) removeRun(name string) {
	delete(s.announcements.byRun, name)
	s.advanceDirectoryVersion(announcementPrefix + name)
	s.removeAdvice(name)
}

// removeOthersAtAddress removes other servers that are announced at the address of an announcement. A server that
// crashed and restarted may have a new ID, and its predecessor cannot deregister itself. If the old announcement
// stayed, requests for the old ID would reach the new server, which refuses them.
//
// The predecessor is not ended permanently: if this announcement was itself delayed and is the older one, the server
// that is running there regains the address with its next announcement.
func (s *State) removeOthersAtAddress(in *wire.Announcement) {
	a := &s.announcements
	for _, name := range slices.Sorted(maps.Keys(a.byRun)) {
		if name != in.Run().String() && a.byRun[name].GetAddress() == in.GetAddress() {
			s.removeRun(name)
		}
	}
}

// equalExceptSequence reports whether two announcements of a run differ at most in their sequence numbers.
func equalExceptSequence(a, b *wire.Announcement) bool {
	if a == nil {
		return false
	}
	a, b = proto.CloneOf(a), proto.CloneOf(b)
	a.Sequence, b.Sequence = 0, 0
	return proto.Equal(a, b)
}

// endServer ends a run permanently. A command without a start time applies to the current run of the server. If that
// run has a start time, the command may be a delayed one for the previous run; the current run is then removed only
// until it is confirmed by further announcements.
func (s *State) endServer(cmd *wire.EndServer) *wire.CommandResult {
	a := &s.announcements
	name := cmd.Run().String()
	if cmd.GetServer() == "" || len(cmd.GetServer()) > maxName || a.ended.has[name] {
		return accepted()
	}
	delete(a.contenders, cmd.GetServer())
	if current := a.currentRun(cmd.GetServer()); cmd.GetStartedUnixMs() == 0 && current.GetStartedUnixMs() != 0 {
		s.replaceRun(current)
		return accepted()
	}
	if a.byRun[name] != nil {
		s.removeRun(name)
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

// Announcements returns the announcements of all current runs, sorted by run.
func (s *State) Announcements() []*wire.Announcement { return sortedValues(s.announcements.byRun) }

// Announcement returns the announcement of a run, nil if the run is unknown or not current.
func (s *State) Announcement(run string) *wire.Announcement { return s.announcements.byRun[run] }

// HasRunEnded reports whether a run is known to have ended permanently.
func (s *State) HasRunEnded(run string) bool { return s.announcements.ended.has[run] }

// IsContested reports whether another run than the current one is announcing itself under the server ID. While it is,
// repeated announcements of both runs must be committed, since they decide which run is current.
func (s *State) IsContested(server string) bool { return s.announcements.contenders[server] != nil }
