package entry

import (
	"context"
	"maps"
	"slices"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

func sortedClasses(view *session.View) []*wire.Class {
	classes := make([]*wire.Class, 0, len(view.Classes))
	for _, name := range slices.Sorted(maps.Keys(view.Classes)) {
		classes = append(classes, view.Classes[name])
	}
	return classes
}

// classesOf returns all classes of a view, including those of the desired state's routes.
func classesOf(view *session.View) []*wire.Class {
	classes := sortedClasses(view)
	for _, route := range view.Desired.GetRoutes() {
		classes = append(classes, route.GetClass())
	}
	return classes
}

func sortedAgents(view *session.View) []*wire.AgentRecord {
	agents := make([]*wire.AgentRecord, 0, len(view.Agents))
	for _, name := range slices.Sorted(maps.Keys(view.Agents)) {
		agents = append(agents, view.Agents[name])
	}
	return agents
}

// observeVersion records a configuration version reported by another process. If it is newer, the session fetches it.
func (e *Entry) observeVersion(version uint64) {
	e.control.ObserveVersion(version)
	for {
		old := e.highestVersion.Load()
		if version <= old || e.highestVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// waitForVersion returns once the newest configuration reported by any process is in force here.
//
// If the version wait in the settings is 0, it doesn't wait: an entry that is cut off from control continues with the
// configuration it has.
//
// Without the wait, a request that arrives just after a change would be handled by the previous version of its class
// although this process knows of a newer one, and its deadline or tier would briefly revert.
func (e *Entry) waitForVersion(ctx context.Context) *result.Error {
	wait := e.settings.Timing.VersionWait
	if wait <= 0 || e.catalogue.Load().version >= e.highestVersion.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for pause.For(ctx, drainPollInterval) {
		if e.catalogue.Load().version >= e.highestVersion.Load() {
			return nil
		}
	}
	return result.New(result.ConfigurationOlder, "")
}

// notReady returns the reason that requests may not be admitted, or nil if they may.
func (e *Entry) notReady() *result.Error {
	if e.stopping.Load() {
		return result.New(result.Stopping, "")
	}
	if err := e.control.Ready(); err != nil {
		return result.From(err)
	}
	if err := e.control.CutOff(); err != nil {
		return result.From(err)
	}
	if e.options.Callers != nil && e.catalogue.Load().routing == nil {
		return result.New(result.Starting, "no desired state is in force yet")
	}
	if e.catalogue.Load().version == 0 {
		return result.New(result.Starting, "no configuration is in force yet")
	}
	return nil
}
