package control

import (
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// updateCache builds each update at most once in a round, since most sessions are at the same version.
type updateCache struct {
	machine     *stateMachine
	configs     map[uint64]*wire.ConfigUpdate
	directories map[uint64]*wire.DirectoryUpdate
}

func newUpdateCache(m *stateMachine) *updateCache {
	return &updateCache{
		machine:     m,
		configs:     make(map[uint64]*wire.ConfigUpdate),
		directories: make(map[uint64]*wire.DirectoryUpdate),
	}
}

// config returns the update from a version, or nil if nothing has changed. If only the fence number has risen, the
// update contains no classes.
func (c *updateCache) config(version, fence uint64) *wire.ConfigUpdate {
	u, ok := c.configs[version]
	if !ok {
		c.machine.read(func(s *state.State) {
			u = s.ConfigSince(version)
			if u == nil && s.ConfigVersion() == version {
				u = &wire.ConfigUpdate{Version: version, Base: version, Fence: s.Fence()}
			}
		})
		c.configs[version] = u
	}
	if u != nil && u.GetVersion() == version && u.GetFence() <= fence {
		return nil
	}
	return u
}

// directory returns the update from a version, or nil if nothing has changed.
func (c *updateCache) directory(version uint64) *wire.DirectoryUpdate {
	u, ok := c.directories[version]
	if !ok {
		c.machine.read(func(s *state.State) { u = s.DirectorySince(version) })
		c.directories[version] = u
	}
	return u
}

// agentConfig returns the part of an update that agents use: of a desired state the pools, without routes and
// organisations, and no roll-outs. These are nearly all of it, and each change of it goes to each agent over each of its
// links.
func agentConfig(u *wire.ConfigUpdate) *wire.ConfigUpdate {
	if u.GetDesired() == nil && u.GetRollouts() == nil {
		return u
	}
	out := &wire.ConfigUpdate{
		Version: u.GetVersion(),
		Full:    u.GetFull(),
		Base:    u.GetBase(),
		Classes: u.GetClasses(),
		Removed: u.GetRemoved(),
		Fence:   u.GetFence(),
	}
	if u.GetDesired() != nil {
		out.Desired = &wire.DesiredState{Version: u.GetDesired().GetVersion(), Pools: u.GetDesired().GetPools()}
	}
	return out
}
