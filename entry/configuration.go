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

// classesOf are all classes of a view, those of the desired state's routes too.
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

// observe notes a configuration version that another process has shown. The session fetches it if it is news.
func (e *Entry) observe(version uint64) {
	e.control.ObserveVersion(version)
	for {
		old := e.wanted.Load()
		if version <= old || e.wanted.CompareAndSwap(old, version) {
			return
		}
	}
}

// waitForVersion returns once the newest configuration that any process has shown is in force here.
//
// A wait of 0 waits for none: an entry that is cut off from control goes on by what it has.
//
// Without the wait a request that comes just after a change would be judged by the class as it was, although this process
// could know better; one would notice it as a deadline or tier that goes back for a moment.
func (e *Entry) waitForVersion(ctx context.Context) *result.Error {
	wait := e.settings.Timing.VersionWait
	if wait <= 0 || e.view.Load().version >= e.wanted.Load() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for pause.For(ctx, drainPoll) {
		if e.view.Load().version >= e.wanted.Load() {
			return nil
		}
	}
	return result.New(result.ConfigurationOlder, "")
}

// notReady returns why no request may be admitted, nil if they may.
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
	if e.options.Callers != nil && e.view.Load().routing == nil {
		return result.New(result.Starting, "no desired state is in force yet")
	}
	if e.view.Load().version == 0 {
		return result.New(result.Starting, "no configuration is in force yet")
	}
	return nil
}
