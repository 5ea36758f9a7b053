package state

import (
	"cmp"
	"maps"
	"slices"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Snapshot returns the whole state. Equal states give equal snapshots: all lists are sorted, or in the order in which
// commands were applied. The snapshot shares records with the state and must not be modified.
func (s *State) Snapshot() *wire.Snapshot {
	return &wire.Snapshot{
		Index:               s.index,
		ConfigVersion:       s.configVersion,
		DirectoryVersion:    s.directoryVersion,
		UnixMs:              s.leaderUnixMS,
		Fence:               s.fence,
		NextOrder:           s.nextOrder,
		Classes:             s.Classes(),
		Agents:              s.Agents(),
		Entries:             s.Entries(),
		Operations:          s.operations.records(),
		Orders:              s.Orders(),
		Changes:             slices.Clone(s.changes.order),
		ExpiredKeys:         slices.Clone(s.operations.expiredDigests),
		ExpiredBeforeUnixMs: s.operations.expiredBeforeUnixMS,
		Draining:            slices.Sorted(maps.Keys(s.draining)),
		Ended:               s.ended.records(),
		Desired:             s.desired,
		DesiredIndex:        s.desiredIndex,
		Announcements:       s.Announcements(),
		EndedServers:        slices.Clone(s.announcements.ended.order),
		ReplacedServers:     slices.Clone(s.announcements.replaced.order),
		Contenders:          sortedValues(s.announcements.contenders),
		Shares:              s.HeldShares(),
		Poison:              s.PoisonRecords(),
		Advice:              s.ServerAdvice(),
		Rollouts:            s.Rollouts(),
	}
}

// Restore returns the state of a snapshot, with DefaultLimits. The state shares records with the snapshot.
func Restore(in *wire.Snapshot) *State {
	return restore(in, DefaultLimits)
}

func restore(in *wire.Snapshot, limits Limits) *State {
	s := newState(limits)
	s.index = in.GetIndex()
	s.configVersion = in.GetConfigVersion()
	s.directoryVersion = in.GetDirectoryVersion()
	s.leaderUnixMS = in.GetUnixMs()
	s.fence = in.GetFence()
	s.nextOrder = max(in.GetNextOrder(), 1)
	for _, class := range in.GetClasses() {
		s.classes[class.GetName()] = class
	}
	for _, agent := range in.GetAgents() {
		s.agents[agent.GetAgent()] = agent
	}
	for _, entry := range in.GetEntries() {
		s.entries[entry.GetEntry()] = entry
	}
	for _, order := range in.GetOrders() {
		s.orders[order.GetServer()] = order
	}
	for _, change := range in.GetChanges() {
		s.changes.add(change)
	}
	for _, server := range in.GetDraining() {
		s.draining[server] = true
	}
	for _, e := range in.GetEnded() {
		s.ended.add(e.GetRole(), e.GetInstance(), e.GetIncarnation(), limits.EndedIncarnations)
	}
	s.operations.restore(in)
	s.desired = in.GetDesired()
	s.desiredIndex = in.GetDesiredIndex()
	s.announcements.restore(in, limits.EndedServers)
	s.shares.restore(in.GetShares())
	s.poisonRecords.restore(in.GetPoison())
	for _, record := range in.GetAdvice() {
		s.advice[record.GetServer()] = record
	}
	for _, rollout := range in.GetRollouts() {
		s.rollouts[rollout.GetPool()] = rollout
	}
	return s
}

func (o *operationSet) records() []*wire.Operation {
	slab := make([]wire.Operation, len(o.byKey)) // a single allocation, since there may be hundreds of thousands of records
	list := make([]*wire.Operation, 0, len(o.byKey))
	for op := o.first; op != nil; op = op.next {
		r := &slab[len(list)]
		op.fill(r)
		list = append(list, r)
	}
	return list
}

func (o *operationSet) restore(in *wire.Snapshot) {
	for _, r := range in.GetOperations() {
		o.add(operationFromRecord(r))
	}
	o.expiredDigests = slices.Clone(in.GetExpiredKeys())
	o.expiredBeforeUnixMS = in.GetExpiredBeforeUnixMs()
}

func (e *endedIncarnations) records() []*wire.EndedIncarnation {
	var list []*wire.EndedIncarnation
	for _, key := range e.order {
		list = append(list, &wire.EndedIncarnation{Role: key.role, Instance: key.instance, Incarnation: e.last[key]})
	}
	return list
}

// sortedValues returns the values of a map in the order of their keys.
func sortedValues[K cmp.Ordered, V any](m map[K]V) []V {
	list := make([]V, 0, len(m))
	for _, key := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[key])
	}
	return list
}
