package session

import (
	"maps"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/wire"
)

// View is a snapshot of the configuration and directory. A view and its records are never changed.
type View struct {
	// ConfigVersion and DirectoryVersion are log indexes; 0 before the first update.
	ConfigVersion, DirectoryVersion uint64
	// Fence is the highest committed fence number seen.
	Fence uint64
	// Classes, Agents and Entries are keyed by name.
	Classes map[string]*wire.Class
	Agents  map[string]*wire.AgentRecord
	Entries map[string]*wire.EntryRecord
	// Announcements are the announcements of backend servers to control, keyed by run.
	Announcements map[string]*wire.Announcement
	// Poison holds the watched and quarantined requests and parts, keyed by the text of their poison.Key.
	Poison map[string]*wire.PoisonRecord
	// Advice holds the rate limits and drain notices of backend servers, keyed by server.
	Advice map[string]*wire.ServerAdvice
	// Desired is the desired state in force, without its document; nil before the first.
	Desired *wire.DesiredState
	// Rollouts holds the last roll-out of each pool that ever had one.
	Rollouts []*wire.Rollout
}

// errGap means that the base of an update is newer than the known version.
var errGap = errors.New("session: base of the update is newer than the known version")

func newView() *View {
	return &View{
		Classes: make(map[string]*wire.Class),
		Agents:  make(map[string]*wire.AgentRecord),
		Entries: make(map[string]*wire.EntryRecord),

		Announcements: make(map[string]*wire.Announcement),
		Poison:        make(map[string]*wire.PoisonRecord),
		Advice:        make(map[string]*wire.ServerAdvice),
	}
}

// withConfig returns the view after an update, or v itself if the update has a lower version. Such an update is ignored: a
// control instance that was cut off may send a configuration that was in force an hour ago.
func (v *View) withConfig(u *wire.ConfigUpdate) (*View, error) {
	if u.GetVersion() < v.ConfigVersion {
		return v, nil
	}
	next := *v
	next.Fence = max(v.Fence, u.GetFence())
	if u.GetVersion() == v.ConfigVersion {
		return &next, nil
	}
	if !u.GetFull() && u.GetBase() > v.ConfigVersion {
		return v, errGap
	}
	next.ConfigVersion = u.GetVersion()
	next.Classes = baseMap(v.Classes, u.GetFull())
	for _, class := range u.GetClasses() {
		next.Classes[class.GetName()] = class
	}
	for _, name := range u.GetRemoved() {
		delete(next.Classes, name)
	}
	if u.GetDesired() != nil {
		next.Desired = u.GetDesired()
	}
	if u.GetRollouts() != nil {
		next.Rollouts = u.GetRollouts().GetRollouts()
	}
	return &next, nil
}

// withDirectory returns the view after a directory update, or v itself if the update is not newer.
func (v *View) withDirectory(u *wire.DirectoryUpdate) (*View, error) {
	if u.GetVersion() <= v.DirectoryVersion {
		return v, nil
	}
	if !u.GetFull() && u.GetBase() > v.DirectoryVersion {
		return v, errGap
	}
	next := *v
	next.DirectoryVersion = u.GetVersion()
	next.Agents = baseMap(v.Agents, u.GetFull())
	next.Entries = baseMap(v.Entries, u.GetFull())
	for _, agent := range u.GetAgents() {
		next.Agents[agent.GetAgent()] = agent
	}
	for _, name := range u.GetRemoved() {
		delete(next.Agents, name)
	}
	for _, entry := range u.GetEntries() {
		next.Entries[entry.GetEntry()] = entry
	}
	for _, name := range u.GetRemovedEntries() {
		delete(next.Entries, name)
	}
	next.Announcements = baseMap(v.Announcements, u.GetFull())
	for _, announcement := range u.GetAnnouncements() {
		next.Announcements[announcement.Run().String()] = announcement
	}
	for _, run := range u.GetRemovedAnnouncements() {
		delete(next.Announcements, run)
	}
	next.Poison = baseMap(v.Poison, u.GetFull())
	for _, record := range u.GetPoison() {
		next.Poison[poison.KeyOf(record).String()] = record
	}
	for _, key := range u.GetRemovedPoison() {
		delete(next.Poison, key)
	}
	next.Advice = baseMap(v.Advice, u.GetFull())
	for _, advice := range u.GetAdvice() {
		next.Advice[advice.GetServer()] = advice
	}
	for _, server := range u.GetRemovedAdvice() {
		delete(next.Advice, server)
	}
	return &next, nil
}

// baseMap returns the map that an update is applied to: an empty one for a full update, else a copy of old.
func baseMap[V any](old map[string]V, full bool) map[string]V {
	if full {
		return make(map[string]V)
	}
	return maps.Clone(old)
}
