package quorum_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
	"github.com/stretchr/testify/require"
)

// Size of the random test. One walk takes about 20 ms.
const (
	walks        = 60
	walkSteps    = 2000
	maxNetwork   = 60
	maxInstances = 5
)

// randomCluster runs a cluster under random events. The cluster checks election
// safety, that a leader has all committed entries, and that committed entries
// never change. checkLogMatching checks the log matching property.
type randomCluster struct {
	*cluster
	proposed   int
	disksAdded int
}

// pickReplica returns a random eligible replica, or nil if there is none.
func (m *randomCluster) pickReplica(eligible func(*replica) bool) *replica {
	var candidates []*replica
	for _, r := range m.replicas {
		if eligible(r) {
			candidates = append(candidates, r)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[m.rng.IntN(len(candidates))]
}

func anyReplica(*replica) bool  { return true }
func isUp(r *replica) bool      { return !r.down }
func isWriting(r *replica) bool { return !r.down && r.pendingWrite != nil }
func isLeader(r *replica) bool  { return !r.down && r.node.Status().Role == quorum.RoleLeader }

// action is an event that is applied to a random eligible replica, if there is
// one.
type action struct {
	weight   int
	eligible func(*replica) bool
	do       func(*replica)
}

// actions are weighted so that a walk repairs more faults than it causes;
// otherwise hardly any entry would be committed.
func (m *randomCluster) actions() []action {
	return []action{
		{30, isUp, func(*replica) { m.advance() }},
		{30, isLeader, m.proposeOne},
		{20, isUp, func(*replica) { m.deliverRandom() }},
		{10, isUp, func(*replica) { m.dropOrDuplicateMessage() }},
		{10, isUp, func(r *replica) { r.node.Tick(); m.processReady(r) }},
		{3, isUp, m.expireElectionTimeout},
		{5, isLeader, func(r *replica) { _ = r.node.ReadIndex(1); m.processReady(r) }},
		{2, isLeader, func(r *replica) { _ = r.node.TransferLeader(quorum.NoID); m.processReady(r) }},
		{4, isUp, func(r *replica) { r.slowDisk = !r.slowDisk }},
		{20, isWriting, func(r *replica) { m.finishWrite(r, *r.pendingWrite); m.processReady(r) }},
		{4, isUp, m.crash},
		{4, isWriting, m.crashAfterWrite},
		{6, anyReplica, func(*replica) { m.restoreReplicas() }},
		{3, isUp, func(*replica) { m.partition() }},
		{6, anyReplica, func(*replica) { m.heal() }},
		{5, isUp, func(r *replica) { m.compact(r, m.rng.IntN(5)) }},
		{2, anyReplica, func(*replica) { m.replaceDisk() }},
		{4, isLeader, m.proposeRandomChange},
		{10, isLeader, m.repairMembership},
	}
}

// runAction runs one action, chosen at random by weight.
func (m *randomCluster) runAction(actions []action) {
	total := 0
	for _, a := range actions {
		total += a.weight
	}
	draw := m.rng.IntN(total)
	for _, a := range actions {
		if draw -= a.weight; draw >= 0 {
			continue
		}
		if r := m.pickReplica(a.eligible); r != nil {
			a.do(r)
		}
		return
	}
}

func (m *randomCluster) deliverRandom() {
	if len(m.network) > 0 {
		m.deliver(m.rng.IntN(len(m.network)))
	}
}

// dropOrDuplicateMessage drops or duplicates a random message.
func (m *randomCluster) dropOrDuplicateMessage() {
	if len(m.network) == 0 {
		return
	}
	i := m.rng.IntN(len(m.network))
	if m.rng.IntN(2) == 0 {
		m.network = slices.Delete(m.network, i, i+1)
		return
	}
	m.network = append(m.network, m.network[i])
}

// advance runs a random number of ticks on all replicas and delivers most
// messages.
func (m *randomCluster) advance() {
	for range 1 + m.rng.IntN(quorum.DefaultElectionTicks) {
		for _, r := range m.replicas {
			if isUp(r) {
				r.node.Tick()
				m.processReady(r)
			}
		}
		m.deliverSome()
	}
}

// restoreReplicas restarts the crashed replicas and completes pending writes.
func (m *randomCluster) restoreReplicas() {
	for _, r := range m.replicas {
		if r.down && !r.disk.lost {
			m.start(r)
		}
		if isWriting(r) {
			m.finishWrite(r, *r.pendingWrite)
		}
		m.processReady(r)
	}
}

func (m *randomCluster) deliverSome() {
	for range min(len(m.network), 40) {
		m.deliver(0)
	}
}

func (m *randomCluster) expireElectionTimeout(r *replica) {
	for range 2 * quorum.DefaultElectionTicks {
		r.node.Tick()
	}
	m.processReady(r)
}

func (m *randomCluster) proposeOne(r *replica) {
	m.proposed++
	_, _ = r.node.Propose(fmt.Appendf(nil, "%d", m.proposed))
	m.processReady(r)
}

// crashAfterWrite crashes a replica after its write is durable but before the
// Node is told so.
func (m *randomCluster) crashAfterWrite(r *replica) {
	r.disk.write(*r.pendingWrite, m.states[r.pendingWrite.Snapshot.GetMeta().GetIndex()])
	m.crash(r)
}

// partition splits the replicas into two random groups.
func (m *randomCluster) partition() {
	side := map[quorum.ID]bool{}
	for _, r := range m.replicas {
		side[r.id] = m.rng.IntN(2) == 0
	}
	m.blocked = func(from, to quorum.ID) bool { return side[from] != side[to] }
}

// replaceDisk replaces the disk of a random instance, or adds an instance. At
// most one voter's disk may be lost at a time, and only in a group of three or
// more voters; otherwise committed entries may be lost.
func (m *randomCluster) replaceDisk() {
	m.disksAdded++
	instance := string(rune('a' + m.rng.IntN(maxInstances)))
	present := slices.IndexFunc(m.replicas, func(r *replica) bool {
		return r.id.Instance() == instance && !r.disk.lost
	})
	if present >= 0 {
		if m.anyVoterDiskLost() || m.anyGroupBelowThreeVoters() {
			return
		}
		m.replicas[present].disk = disk{lost: true}
		m.crash(m.replicas[present])
	}
	m.addReplica(quorum.MakeID(instance, fmt.Sprintf("disk%d", m.disksAdded+1)), disk{})
}

// anyVoterDiskLost reports whether a membership that may be in force has a
// voter whose disk is lost.
func (m *randomCluster) anyVoterDiskLost() bool {
	for _, lostReplica := range m.replicas {
		if !lostReplica.disk.lost {
			continue
		}
		for _, r := range m.replicas {
			if r.disk.lost {
				continue
			}
			for _, member := range r.node.Status().Membership.GetMembers() {
				if member.GetId() == string(lostReplica.id) && member.GetRole() == quorumpb.Role_ROLE_VOTER {
					return true
				}
			}
		}
	}
	return false
}

// anyGroupBelowThreeVoters reports whether a membership has too few voters to
// lose one.
func (m *randomCluster) anyGroupBelowThreeVoters() bool {
	for _, r := range m.replicas {
		voters := 0
		for _, member := range r.node.Status().Membership.GetMembers() {
			if member.GetRole() == quorumpb.Role_ROLE_VOTER {
				voters++
			}
		}
		if !r.disk.lost && voters > 0 && voters < 3 {
			return true
		}
	}
	return false
}

func (m *randomCluster) proposeRandomChange(l *replica) {
	target := m.replicas[m.rng.IntN(len(m.replicas))]
	kinds := []quorum.ChangeKind{quorum.AddLearner, quorum.Promote, quorum.Remove}
	_, _ = l.node.ProposeMembership(quorum.Change{Kind: kinds[m.rng.IntN(len(kinds))], ID: target.id})
	m.processReady(l)
}

// repairMembership proposes the next change that an operator would make: remove
// a replica with a lost disk, add a new replica, or promote a learner. Random
// changes alone seldom complete such a sequence.
func (m *randomCluster) repairMembership(l *replica) {
	m.advance()
	if change, ok := m.nextRepairChange(l); ok && isLeader(l) {
		_, _ = l.node.ProposeMembership(change)
		m.processReady(l)
		m.advance()
	}
}

// nextRepairChange returns the next change for repairMembership and reports
// whether one is needed.
func (m *randomCluster) nextRepairChange(l *replica) (quorum.Change, bool) {
	member := map[quorum.ID]quorumpb.Role{}
	for _, x := range l.node.Status().Membership.GetMembers() {
		member[quorum.ID(x.GetId())] = x.GetRole()
	}
	for _, r := range m.replicas {
		role, listed := member[r.id]
		switch {
		case r.disk.lost && listed:
			return quorum.Change{Kind: quorum.Remove, ID: r.id}, true
		case !r.disk.lost && !listed:
			return quorum.Change{Kind: quorum.AddLearner, ID: r.id}, true
		case listed && role == quorumpb.Role_ROLE_LEARNER:
			return quorum.Change{Kind: quorum.Promote, ID: r.id}, true
		}
	}
	return quorum.Change{}, false
}

// checkLogMatching checks the log matching property: disks that hold an entry
// with the same index and term hold the same data and the same preceding entry.
// It also drops the oldest messages beyond maxNetwork.
func (m *randomCluster) checkLogMatching() {
	if len(m.network) > maxNetwork {
		m.network = m.network[len(m.network)-maxNetwork:]
	}
	type position struct{ index, term uint64 }
	previous := map[position]position{}
	data := map[position]string{}
	for _, r := range m.replicas {
		before := position{r.disk.snapshot.GetIndex(), r.disk.snapshot.GetTerm()}
		for _, e := range r.disk.entries {
			at := position{e.GetIndex(), e.GetTerm()}
			if known, ok := previous[at]; ok {
				require.Equal(m.t, known, before, "%s: entries preceding %v differ", r.id, at)
				require.Equal(m.t, data[at], string(e.GetData()), "%s: data of entry %v differs", r.id, at)
			}
			previous[at], data[at] = before, string(e.GetData())
			before = at
		}
	}
}

// The safety properties of the log must hold under random faults: lost,
// duplicated and reordered messages, partitions, slow writes, crashes that lose
// unsynced data, and replaced disks. The subtest name is the seed that
// reproduces the walk.
func TestRandomWalk(t *testing.T) {
	for seed := range uint64(walks) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			m := &randomCluster{cluster: newCluster(t, 3+int(seed%3), seed)}
			actions := m.actions()
			for range walkSteps {
				m.runAction(actions)
				m.checkLogMatching()
			}
			m.checkRecovery()
		})
	}
}

// checkRecovery checks that the group commits a proposal once all faults end,
// unless a voter's disk is lost.
func (m *randomCluster) checkRecovery() {
	m.heal()
	for _, r := range m.replicas {
		r.slowDisk = false
	}
	m.restoreReplicas()
	if m.anyVoterDiskLost() {
		return
	}
	// Long enough for a leadership transfer to time out.
	for range 2 * quorum.DefaultElectionTicks {
		m.tick()
	}
	m.propose(m.elect(), 1)
}
