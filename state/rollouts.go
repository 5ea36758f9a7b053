package state

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/rollout"
	"github.com/carawaypitch/carawaypitch/wire"
)

// rolloutsName represents the roll-outs in the configuration history. It is not a valid class name.
const rolloutsName = "/rollouts"

// Durations that a roll-out may have. A shorter one would be over before its answers could be compared.
const (
	MinRolloutDuration = time.Second
	MaxRolloutDuration = 7 * 24 * time.Hour
)

// reasonPoolRemoved is the reason of a roll-out whose pool was removed from the desired state.
const reasonPoolRemoved = "pool_removed"

// CheckRollout returns what is wrong with the form of an order, or "".
func CheckRollout(cmd *wire.StartRollout) string {
	duration := cmd.GetDurationMs()
	switch {
	case cmd.GetPool() == "" || len(cmd.GetPool()) > maxName:
		return "a service without a name, or with a long one"
	case cmd.GetTo() == "" || len(cmd.GetTo()) > maxName:
		return "a version without a name, or with a long one"
	case duration < uint64(MinRolloutDuration.Milliseconds()) || duration > uint64(MaxRolloutDuration.Milliseconds()):
		return "a duration that is not between one second and seven days"
	default:
		return ""
	}
}

// startRollout begins a roll-out. An order of the version that the pool's last roll-out is for changes nothing, whatever
// became of that: the order may be a copy that was delayed, and a version that was reverted must not come back by it.
func (s *State) startRollout(cmd *wire.StartRollout) *wire.CommandResult {
	if problem := CheckRollout(cmd); problem != "" {
		return refuse(result.InvalidRollout, "%s", problem)
	}
	last := s.rollouts[cmd.GetPool()]
	switch {
	case last != nil && last.GetTo() == cmd.GetTo():
		return &wire.CommandResult{Rollout: last}
	case !s.hasPool(cmd.GetPool()):
		return refuse(result.InvalidRollout, "no service %q", cmd.GetPool())
	case last.GetState() == wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS:
		res := refuse(result.RolloutInProgress, "service %q is being moved to version %q", last.GetPool(), last.GetTo())
		res.Rollout = last
		return res
	}
	started := &wire.Rollout{
		Pool:          cmd.GetPool(),
		To:            cmd.GetTo(),
		Id:            s.index,
		DurationMs:    cmd.GetDurationMs(),
		OrderedUnixMs: s.leaderUnixMS,
		State:         wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS,
	}
	if s.onlyVersion(cmd.GetPool(), cmd.GetTo()) {
		started.State = wire.RolloutState_ROLLOUT_STATE_COMPLETED
		started.EndedUnixMs = s.leaderUnixMS
		started.Reason = reasonInUse
	}
	s.setRollout(started)
	return &wire.CommandResult{Rollout: started}
}

// reasonInUse is the reason of a roll-out of the version that all servers of the pool run already.
const reasonInUse = "already_in_use"

// onlyVersion reports whether the pool has servers that take work, and all of them run the version. Entries would send such
// a pool only the share of a version on trial.
func (s *State) onlyVersion(pool, version string) bool {
	found, others := false, false
	s.eachServer(pool, func(v string) {
		found = found || v == version
		others = others || v != version
	})
	return found && !others
}

// recordRollout raises the evidence of a roll-out in progress. It does not advance the configuration version, since only
// control uses the evidence and each change of the configuration goes to all clients.
func (s *State) recordRollout(cmd *wire.RecordRollout) *wire.CommandResult {
	current := s.rolloutInProgress(cmd.GetPool(), cmd.GetId())
	if current == nil {
		return accepted()
	}
	if problem := s.checkCounts(cmd.GetCounts()); problem != "" {
		return refuse(result.BadMessage, "%s", problem)
	}
	recorded := proto.CloneOf(current)
	recorded.Counts = rollout.Merge(current.GetCounts(), cmd.GetCounts())
	s.rollouts[recorded.GetPool()] = recorded
	return accepted()
}

// endRollout ends a roll-out in progress. A roll-out that has ended stays as it is.
func (s *State) endRollout(cmd *wire.EndRollout) *wire.CommandResult {
	if cmd.GetState() != wire.RolloutState_ROLLOUT_STATE_COMPLETED && cmd.GetState() != wire.RolloutState_ROLLOUT_STATE_REVERTED {
		return refuse(result.BadMessage, "the end of a roll-out as %s", cmd.GetState())
	}
	if len(cmd.GetReason()) > maxMessage {
		return refuse(result.BadMessage, "a reason of %d bytes", len(cmd.GetReason()))
	}
	counts := cmd.GetCounts()
	if s.checkCounts(counts) != "" {
		counts = nil // A roll-out must end even if its evidence can't be kept.
	}
	if current := s.rolloutInProgress(cmd.GetPool(), cmd.GetId()); current != nil {
		s.end(current, cmd.GetState(), cmd.GetReason(), counts)
	}
	return &wire.CommandResult{Rollout: s.rollouts[cmd.GetPool()]}
}

func (s *State) end(current *wire.Rollout, state wire.RolloutState, reason string, counts []*wire.RolloutCount) {
	ended := proto.CloneOf(current)
	ended.State = state
	ended.Reason = reason
	ended.EndedUnixMs = s.leaderUnixMS
	ended.Counts = rollout.Merge(current.GetCounts(), counts)
	s.setRollout(ended)
}

// checkCounts returns what is wrong with the size of evidence, or "".
func (s *State) checkCounts(counts []*wire.RolloutCount) string {
	if len(counts) > s.limits.RolloutCounts {
		return "too many counts"
	}
	if slices.ContainsFunc(counts, func(c *wire.RolloutCount) bool {
		return len(c.GetVersion()) > rollout.MaxName || len(c.GetClass()) > rollout.MaxName
	}) {
		return "a count of a long version or class"
	}
	return ""
}

// setRollout stores a record whose state has changed, and sends the roll-outs to all clients.
func (s *State) setRollout(record *wire.Rollout) {
	record.Changed = s.index
	s.rollouts[record.GetPool()] = record
	s.advanceConfigVersion(rolloutsName)
}

// rolloutInProgress returns the roll-out of a pool if it has the id and is in progress, otherwise nil.
func (s *State) rolloutInProgress(pool string, id uint64) *wire.Rollout {
	current := s.rollouts[pool]
	if current.GetId() != id || current.GetState() != wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS {
		return nil
	}
	return current
}

// revertRemovedPools ends the roll-outs of pools that the desired state does not have, as reverted. It then drops the
// oldest records of such pools above the limit; the others stay, so that operators can still read how they ended.
func (s *State) revertRemovedPools() {
	var removed []*wire.Rollout
	for _, record := range s.Rollouts() {
		if s.hasPool(record.GetPool()) {
			continue
		}
		if record.GetState() == wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS {
			s.end(record, wire.RolloutState_ROLLOUT_STATE_REVERTED, reasonPoolRemoved, nil)
		}
		removed = append(removed, record)
	}
	slices.SortFunc(removed, func(a, b *wire.Rollout) int { return cmp.Compare(a.GetId(), b.GetId()) })
	for _, record := range removed[:max(len(removed)-s.limits.RemovedRollouts, 0)] {
		delete(s.rollouts, record.GetPool())
		s.advanceConfigVersion(rolloutsName)
	}
}

func (s *State) hasPool(name string) bool {
	if s.desired == nil {
		return s.isOffered(name)
	}
	return slices.ContainsFunc(s.desired.GetPools(), func(p *wire.Pool) bool { return p.GetName() == name })
}

// isOffered reports whether a server of a registered agent offers the model or service. Without a desired state these are
// the pools.
func (s *State) isOffered(name string) bool {
	for _, agent := range s.agents {
		offers := func(server *wire.ServerRecord) bool { return slices.Contains(server.GetModels(), name) }
		if slices.ContainsFunc(agent.GetServers(), offers) {
			return true
		}
	}
	return false
}

// Rollout returns the last roll-out of a pool, nil if there was none.
func (s *State) Rollout(pool string) *wire.Rollout { return s.rollouts[pool] }

// Rollouts returns the last roll-out of each pool, sorted by pool.
func (s *State) Rollouts() []*wire.Rollout { return sortedValues(s.rollouts) }

// rolloutsSince returns all roll-outs without their evidence if one of them changed after the given version, nil
// otherwise. Clients use only the states.
func (s *State) rolloutsSince(version uint64) *wire.Rollouts {
	records := s.Rollouts()
	if !slices.ContainsFunc(records, func(r *wire.Rollout) bool { return r.GetChanged() > version }) {
		return nil
	}
	out := &wire.Rollouts{}
	for _, record := range records {
		sent := proto.CloneOf(record)
		sent.Counts = nil
		out.Rollouts = append(out.Rollouts, sent)
	}
	return out
}

// ServersOfVersion returns the number of servers of a pool that run the version and take work.
func (s *State) ServersOfVersion(pool, version string) int {
	servers := 0
	s.eachServer(pool, func(v string) {
		if v == version {
			servers++
		}
	})
	return servers
}

// eachServer calls visit with the version of each server of a pool that takes work, in any order.
func (s *State) eachServer(pool string, visit func(version string)) {
	for _, a := range s.announcements.byRun {
		if a.GetPool() == pool && !a.GetDraining() {
			visit(a.GetVersion())
		}
	}
	for _, agent := range s.agents {
		for _, server := range agent.GetServers() {
			if hasReadyModel(server, pool) && s.announcements.byRun[server.GetServer()] == nil {
				visit(server.GetVersion())
			}
		}
	}
}
