package quorum_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum"
)

// A replica with a wiped disk must not vote: it no longer holds the entries
// that it acknowledged. The entries are on a and c only; c's disk is replaced
// and a crashes, so that c's vote could elect b and lose them.
func TestReplicaWithWipedDiskDoesNotVote(t *testing.T) {
	c := newCluster(t, 3, 7)
	a, b, old := c.replicas[0], c.replicas[1], c.replicas[2]
	c.makeLeader(a)
	c.isolate(b.id)
	c.propose(a, 3)
	c.heal()
	c.crash(old)
	wiped := c.addReplica(quorum.MakeID("c", "disk2"), disk{})
	c.crash(a)
	for range 10 * quorum.DefaultElectionTicks {
		c.tick()
	}
	require.Nil(t, c.leader(), "%s was elected by the vote of a replica with an empty log", b.id)
	require.Zero(t, wiped.node.Status().Last)
	c.restart(a)
	l := c.elect()
	require.Len(t, l.state, 3)
	c.replaceReplica(l, old, wiped)
	require.Equal(t, l.state, wiped.state)
}

// A replica whose disk identity was restored from a backup without the log must
// not vote. It has its old ID, but not the entries that it acknowledged, and
// its vote could elect a candidate without them.
func TestReplicaWithEmptyLogDoesNotVote(t *testing.T) {
	c := newCluster(t, 3, 7)
	a, b, old := c.replicas[0], c.replicas[1], c.replicas[2]
	c.makeLeader(a)
	c.isolate(b.id)
	c.propose(a, 3)
	c.heal()
	old.disk = disk{}
	c.restart(old)
	c.crash(a)
	for range 10 * quorum.DefaultElectionTicks {
		c.tick()
	}
	require.Nil(t, c.leader(), "%s was elected by the vote of a replica with an empty log", b.id)
}

// replaceReplica replaces a lost replica by a new one on the same instance.
func (c *cluster) replaceReplica(l, old, replacement *replica) {
	c.changeMembership(l, quorum.Change{Kind: quorum.AddLearner, ID: replacement.id})
	_, err := l.node.ProposeMembership(quorum.Change{Kind: quorum.Promote, ID: replacement.id})
	require.Error(c.t, err, "two voters on one instance were accepted")
	c.changeMembership(l, quorum.Change{Kind: quorum.Remove, ID: old.id})
	c.tick()
	c.tick()
	c.changeMembership(l, quorum.Change{Kind: quorum.Promote, ID: replacement.id})
	c.tick()
	c.tick()
}

// Committed state must survive the loss of a second replica right after the
// first was replaced and repaired from a snapshot. It would be lost if the new
// replica became a voter before it holds the log.
func TestSecondReplicaLossAfterRepair(t *testing.T) {
	for _, lost := range []int{0, 1} {
		c := newCluster(t, 3, 8)
		a, old := c.replicas[0], c.replicas[2]
		c.makeLeader(a)
		c.propose(a, 300)
		c.compact(a, 5)
		c.crash(old)
		replacement := c.addReplica(quorum.MakeID("c", "disk2"), disk{})
		c.replaceReplica(a, old, replacement)
		state := slices.Clone(a.state)
		c.crash(c.replicas[lost])
		l := c.elect()
		require.Equal(t, state, l.state)
		c.propose(l, 1)
	}
}

// A learner that is partitioned and behind must not be promoted. As a voter it
// could cost the group its quorum, or count towards commits without holding the
// earlier entries.
func TestPromotionRequiresCaughtUpLearner(t *testing.T) {
	c := newCluster(t, 3, 9)
	l := c.elect()
	learner := c.addReplica(quorum.MakeID("d", "disk1"), disk{})
	c.changeMembership(l, quorum.Change{Kind: quorum.AddLearner, ID: learner.id})
	c.isolate(learner.id)
	c.propose(l, 5)
	_, err := l.node.ProposeMembership(quorum.Change{Kind: quorum.Promote, ID: learner.id})
	require.ErrorIs(t, err, quorum.ErrNotCaughtUp)
	c.heal()
	for range quorum.DefaultElectionTicks {
		c.tick()
	}
	c.changeMembership(l, quorum.Change{Kind: quorum.Promote, ID: learner.id})
	require.Equal(t, l.state, learner.state)
}

// Guards against a learner that is never promoted while entries are committed all the time, since at any moment it lacks the last
// few. It must have the membership in force, without which it wouldn't vote.
func TestPromotionWhileEntriesAreCommitted(t *testing.T) {
	c := newCluster(t, 4, 9)
	l := c.elect()
	learner := c.addReplica(quorum.MakeID("e", "disk1"), disk{})
	c.changeMembership(l, quorum.Change{Kind: quorum.AddLearner, ID: learner.id})
	for range 2 * quorum.DefaultElectionTicks {
		c.tick()
	}
	removed := replicaID(0)
	if l.id == removed {
		removed = replicaID(1)
	}
	c.isolate(learner.id)
	c.changeMembership(l, quorum.Change{Kind: quorum.Remove, ID: removed})
	_, err := l.node.ProposeMembership(quorum.Change{Kind: quorum.Promote, ID: learner.id})
	require.ErrorIs(t, err, quorum.ErrNotCaughtUp, "it doesn't know the members")
	c.heal()
	for range 2 * quorum.DefaultElectionTicks {
		c.tick()
	}
	c.isolate(learner.id)
	c.propose(l, 5)
	_, err = l.node.ProposeMembership(quorum.Change{Kind: quorum.Promote, ID: learner.id})
	require.NoError(t, err, "it lacks the last entries only")
	c.heal()
	for range quorum.DefaultElectionTicks {
		c.tick()
	}
	require.Equal(t, l.state, learner.state)
}

// Two leaders must not commit in disjoint majorities. A leader removes one
// replica and is partitioned before that is committed, while the others remove
// another one; two uncommitted changes, or a change before a commit in the
// leader's term, would allow it.
func TestMembershipChangeUnderPartition(t *testing.T) {
	c := newCluster(t, 4, 10)
	a := c.replicas[0]
	c.makeLeader(a)
	c.isolate(a.id)
	_, err := a.node.ProposeMembership(quorum.Change{Kind: quorum.Remove, ID: replicaID(3)})
	require.NoError(t, err)
	c.deliverAll()
	_, err = a.node.ProposeMembership(quorum.Change{Kind: quorum.Remove, ID: replicaID(2)})
	require.ErrorIs(t, err, quorum.ErrMembershipPending)
	_, err = a.node.Propose([]byte("minority"))
	require.NoError(t, err)
	for range 2 * quorum.DefaultElectionTicks {
		c.tick()
	}
	l := c.elect()
	require.NotEqual(t, a.id, l.id)
	require.Len(t, a.node.Status().Membership.GetMembers(), 3)
	c.heal()
	for range quorum.DefaultElectionTicks {
		c.tick()
	}
	require.Len(t, a.node.Status().Membership.GetMembers(), 4, "overwritten membership change still in force")
	c.isolate(a.id)
	c.changeMembership(l, quorum.Change{Kind: quorum.Remove, ID: a.id})
	c.propose(l, 3)
	c.heal()
	for range 5 * quorum.DefaultElectionTicks {
		c.tick()
	}
	require.NotContains(t, l.state, "minority")
	require.Len(t, l.node.Status().Membership.GetMembers(), 3)
	// The removed replica keeps requesting votes, and the others ignore it.
	require.Equal(t, l, c.leader())
}

// A new leader must refuse a membership change until its first entry is
// committed (Ongaro's correction of 2015). It may not know its predecessor's
// change, and the majorities of the two changes may be disjoint.
func TestNoMembershipChangeBeforeCommitInCurrentTerm(t *testing.T) {
	c := newCluster(t, 4, 11)
	a := c.replicas[0]
	a.slowDisk = true
	for a.node.Status().Role != quorum.RoleLeader {
		a.node.Tick()
		c.processReady(a)
		if a.pendingWrite != nil {
			c.finishWrite(a, *a.pendingWrite)
			c.processReady(a)
		}
		for len(c.network) > 0 && a.node.Status().Role != quorum.RoleLeader {
			c.deliver(0)
		}
	}
	_, err := a.node.ProposeMembership(quorum.Change{Kind: quorum.Remove, ID: replicaID(3)})
	require.ErrorIs(t, err, quorum.ErrMembershipPending)
}

// A restarted follower must catch up by snapshot if the leader's log is
// compacted beyond the entries it needs, even if it restarts again while it
// receives the snapshot.
func TestCatchUpBySnapshot(t *testing.T) {
	c := newCluster(t, 3, 12)
	l := c.elect()
	behind := c.replicas[(slices.Index(c.replicas, l)+1)%3]
	c.propose(l, 5)
	c.crash(behind)
	c.propose(l, 400)
	c.compact(l, 10)
	c.start(behind)
	behind.slowDisk = true
	for behind.pendingWrite == nil || behind.pendingWrite.Snapshot == nil {
		c.tick()
		if behind.pendingWrite != nil && behind.pendingWrite.Snapshot == nil {
			c.finishWrite(behind, *behind.pendingWrite)
		}
	}
	// The replica crashes before the snapshot is durable.
	behind.slowDisk = false
	c.restart(behind)
	for range 5 * quorum.DefaultElectionTicks {
		c.tick()
	}
	require.Equal(t, l.state, behind.state)
	require.NotZero(t, l.node.Status().Counters.SnapshotsSent)
	c.propose(l, 3)
	require.Equal(t, l.state, behind.state)
}

// Removing an active replica while another one is down must be refused: the
// remaining two would need each other for a quorum, and one of them is down.
// Removing the crashed replica is allowed.
func TestRemovalRequiresActiveQuorum(t *testing.T) {
	c := newCluster(t, 3, 18)
	l := c.elect()
	down := c.replicas[(slices.Index(c.replicas, l)+1)%3]
	alive := c.replicas[(slices.Index(c.replicas, l)+2)%3]
	c.crash(down)
	for range quorum.DefaultElectionTicks {
		c.tick()
	}
	_, err := l.node.ProposeMembership(quorum.Change{Kind: quorum.Remove, ID: alive.id})
	require.ErrorIs(t, err, quorum.ErrInvalidChange)
	c.changeMembership(l, quorum.Change{Kind: quorum.Remove, ID: down.id})
	c.propose(l, 1)
}

// A leader that is removed from the group must step down once its removal is
// committed, so that another replica can lead.
func TestRemovedLeaderStepsDown(t *testing.T) {
	c := newCluster(t, 3, 19)
	l := c.elect()
	c.changeMembership(l, quorum.Change{Kind: quorum.Remove, ID: l.id})
	require.Equal(t, quorum.RoleFollower, l.node.Status().Role)
	next := c.elect()
	require.NotEqual(t, l.id, next.id)
	c.propose(next, 1)
	require.Len(t, next.node.Status().Membership.GetMembers(), 2)
}
