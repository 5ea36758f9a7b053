package entry

import (
	"maps"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/agent"
	"github.com/carawaypitch/carawaypitch/rendezvous"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// takersPerServer is how many entries take a model server that has no agent, besides those that have it in their own choice: all of its
// places are reached while two of them are away.
const takersPerServer = 3

// unattended chooses which of the model servers without an agent this entry's own agent takes: those that fall to the entry among
// all entries of the server's availability zone, so that no server is left out, and some of its own choice as with agents,
// so that no entry is without.
//
// A server that is taken costs a gate with its duty, probes and memory. Were all of them taken by each entry, these would grow with the
// product of servers and entries, for servers that an entry hardly ever uses.
type unattended struct {
	entry, zone string
	all         func(*session.View) []*wire.Announcement

	// Who takes a server changes with the entries alone.
	entries map[string]string   // zones by name, as of falls
	byZone  map[string][]string // their names
	falls   map[string]bool     // whether a run falls to this entry
}

func newUnattended(entry, zone string, wait time.Duration) *unattended {
	return &unattended{entry: entry, zone: zone, all: agent.WithoutAgent(wait)}
}

// choose returns the servers that this entry takes. Only one goroutine may call it.
func (u *unattended) choose(view *session.View) []*wire.Announcement {
	found := u.all(view)
	if len(found) <= linkedPerTarget {
		return found
	}
	u.refresh(view)
	chosen := u.own(found)
	falls := make(map[string]bool, len(found))
	for _, announcement := range found {
		run := announcement.Run().String()
		fell, known := u.falls[run]
		if !known {
			fell = u.fallsHere(run, announcement.GetAvailabilityZone())
		}
		falls[run] = fell
		chosen[run] = chosen[run] || fell
	}
	u.falls = falls
	return slices.DeleteFunc(found, func(a *wire.Announcement) bool { return !chosen[a.Run().String()] })
}

// refresh forgets who takes what when the entries have changed.
func (u *unattended) refresh(view *session.View) {
	same := len(view.Entries) == len(u.entries)
	for name, entry := range view.Entries {
		zone, known := u.entries[name]
		same = same && known && zone == entry.GetAvailabilityZone()
	}
	if same {
		return
	}
	u.entries = make(map[string]string, len(view.Entries))
	u.byZone = make(map[string][]string)
	for name, entry := range view.Entries {
		zone := entry.GetAvailabilityZone()
		u.entries[name] = zone
		u.byZone[zone] = append(u.byZone[zone], name)
	}
	u.falls = nil
}

// own is this entry's own choice, by run.
func (u *unattended) own(found []*wire.Announcement) map[string]bool {
	byPool := make(map[string][]candidate)
	for _, announcement := range found {
		run := announcement.Run().String()
		pool := announcement.GetPool()
		byPool[pool] = append(byPool[pool], candidate{
			name:   run,
			isNear: announcement.GetAvailabilityZone() == u.zone,
			rank:   rendezvous.Rank(u.entry, run),
		})
	}
	chosen := make(map[string]bool)
	for _, ranked := range byPool {
		for _, one := range chooseCandidates(ranked) {
			chosen[one.name] = true
		}
	}
	return chosen
}

// fallsHere tells whether this entry is among the takers of a server: the first of its zone in the server's own order, of all zones
// where its own has no entry.
func (u *unattended) fallsHere(run, zone string) bool {
	candidates := u.byZone[zone]
	if len(candidates) == 0 {
		candidates = slices.Collect(maps.Keys(u.entries))
	} else if zone != u.zone {
		return false
	}
	own, before := rendezvous.Rank(run, u.entry), 0
	for _, name := range candidates {
		if rendezvous.Rank(run, name) < own {
			before++
		}
		if before == takersPerServer {
			return false
		}
	}
	return true
}
