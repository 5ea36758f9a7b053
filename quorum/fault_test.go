package quorum_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

func TestElectAndReplicate(t *testing.T) {
	for _, size := range []int{1, 2, 3, 5} {
		c := newCluster(t, size, 1)
		l := c.elect()
		c.propose(l, 10)
		c.tick()
		c.tick()
		for _, r := range c.replicas {
			require.Equal(t, l.state, r.state)
			require.Len(t, r.state, 10)
		}
	}
}

// Symptom: callers of a cut-off leader wait for ever, or read old state.
// Sequence: a leader is cut off from both followers; the clock goes on.
// Cause: without a check of the quorum it never learns that it lost.
func TestCutOffLeaderStepsDown(t *testing.T) {
	c := newCluster(t, 3, 2)
	l := c.elect()
	c.propose(l, 1)
	c.isolate(l.id)
	_, err := l.node.Propose([]byte("lost"))
	require.NoError(t, err)
	require.NoError(t, l.node.ReadIndex(7))
	for range quorum.DefaultElectionTicks {
		require.Empty(t, l.reads, "a read was answered without a quorum")
		c.tick()
	}
	require.NotEqual(t, quorum.RoleLeader, l.node.Status().Role)
	require.Equal(t, []quorum.ReadState{{ID: 7, Lost: true}}, l.reads)
	_, err = l.node.Propose([]byte("more"))
	require.ErrorIs(t, err, quorum.ErrNotLeader)
	require.ErrorIs(t, l.node.ReadIndex(8), quorum.ErrNotLeader)

	fresh := c.elect()
	require.NotEqual(t, l.id, fresh.id)
	c.heal()
	c.propose(fresh, 1)
	for range quorum.DefaultElectionTicks {
		c.tick()
	}
	require.Equal(t, fresh.state, l.state)
	require.NotContains(t, l.state, "lost")
}

// Symptom: a replica that returns after a long cut deposes a working leader.
// Sequence: a follower is cut off for many election timeouts, then heals.
// Cause: without a pre-vote its term grows with every futile election.
func TestReturningReplicaDoesNotDepose(t *testing.T) {
	c := newCluster(t, 3, 3)
	l := c.elect()
	term := l.node.Status().Term
	away := c.replicas[(slices.Index(c.replicas, l)+1)%3]
	c.isolate(away.id)
	for range 20 * quorum.DefaultElectionTicks {
		c.tick()
	}
	c.heal()
	for range 5 * quorum.DefaultElectionTicks {
		c.tick()
	}
	require.Equal(t, l, c.leader())
	require.Equal(t, term, l.node.Status().Term)
	require.Equal(t, term, away.node.Status().Term)
}

// Symptom: two leaders in one term.
// Sequence: a replica grants its vote, loses power before the vote is on disk,
// and is asked by another candidate of the same term.
// Cause: the reply left before the vote was durable.
func TestVoteLeavesAfterItIsOnDisk(t *testing.T) {
	c := newCluster(t, 3, 4)
	voter := c.replicas[2]
	voter.slow = true
	ask := func(from quorum.ID) {
		require.NoError(t, voter.node.Step(&quorumpb.Message{
			Type: quorumpb.MessageType_MESSAGE_TYPE_VOTE, From: string(from), To: string(voter.id),
			Term: 5, Index: 1, IndexTerm: 1,
		}))
		c.process(voter)
	}
	ask(name(0))
	require.Empty(t, c.network, "a vote left before it was on disk")
	c.restart(voter)
	ask(name(1))
	c.finish(voter, *voter.writing)
	c.process(voter)
	require.Len(t, c.network, 1)
	require.False(t, c.network[0].GetReject())
	c.network = nil
	c.restart(voter)
	ask(name(0))
	require.Len(t, c.network, 1)
	require.True(t, c.network[0].GetReject(), "a second vote in one term")
}

// Symptom: an acknowledged proposal is gone after a leader's change (figure
// 3.7 of the thesis).
// Sequence: an entry of an old term reaches a majority; its leader counts it
// as committed; a candidate with a newer last entry replaces it.
// Cause: an entry is committed by counting only in the leader's own term.
func TestCommitOnlyInOwnTerm(t *testing.T) {
	entry := func(term, index uint64, data string) *quorumpb.Entry {
		return &quorumpb.Entry{Term: term, Index: index, Data: []byte(data)}
	}
	c := newCluster(t, 5, 5)
	first := c.replicas[0].disk.entries[0]
	logs := [][]*quorumpb.Entry{
		{first, entry(2, 2, "old")},
		{first, entry(2, 2, "old")},
		{first},
		{first},
		{first, entry(3, 2, "new")},
	}
	for i, r := range c.replicas {
		r.disk.entries = logs[i]
		r.disk.hard = &quorumpb.HardState{Term: 3}
		c.restart(r)
	}
	l, other := c.replicas[0], c.replicas[4]
	c.isolate(other.id)
	// The leader's own first entry reaches nobody: the network delivers only
	// what replicates the old entry.
	for range 3 * quorum.DefaultElectionTicks {
		l.node.Tick()
		c.process(l)
		for len(c.network) > 0 && l.node.Status().Role != quorum.RoleLeader {
			c.deliver(0)
		}
		if l.node.Status().Role == quorum.RoleLeader {
			break
		}
	}
	require.Equal(t, quorum.RoleLeader, l.node.Status().Role)
	term := l.node.Status().Term
	for _, r := range c.replicas[1:3] {
		require.NoError(t, l.node.Step(&quorumpb.Message{
			Type: quorumpb.MessageType_MESSAGE_TYPE_APPEND_REPLY, From: string(r.id), To: string(l.id), Term: term, Index: 2,
		}))
	}
	c.process(l)
	require.Less(t, l.node.Status().Commit, uint64(2), "an old term's entry was committed by counting")
}

// Symptom: a read misses a write that was acknowledged before it.
// Sequence: a leader commits, its commit index reaches nobody, another replica
// is elected and asked at once.
// Cause: a new leader does not know the commit index before an entry of its
// own term is committed.
func TestReadWaitsForOwnTerm(t *testing.T) {
	c := newCluster(t, 3, 6)
	l := c.elect()
	// Both followers have the entry on disk; the news of its commit is lost.
	_, err := l.node.Propose([]byte("acknowledged"))
	require.NoError(t, err)
	c.process(l)
	for range len(c.network) {
		c.deliver(0)
	}
	for range len(c.network) {
		c.deliver(0)
	}
	require.Contains(t, l.state, "acknowledged")
	c.network = nil
	c.crash(l)
	next := c.replicas[(slices.Index(c.replicas, l)+1)%3]
	require.NotContains(t, next.state, "acknowledged")
	for next.node.Status().Role != quorum.RoleLeader {
		for _, r := range c.replicas {
			r.node.Tick()
		}
		c.process(next)
		for len(c.network) > 0 && next.node.Status().Role != quorum.RoleLeader {
			c.deliver(0)
		}
	}
	require.NoError(t, next.node.ReadIndex(1))
	c.settle()
	require.Len(t, next.reads, 1)
	require.GreaterOrEqual(t, next.reads[0].Index, uint64(len(c.committed)-1))
	require.Contains(t, next.state, "acknowledged")
}

// Symptom: a committed entry is gone after a repair and one more failure.
// Sequence: an entry is on a and c only; c's disk is replaced and c comes back
// empty; then a is lost, and b stands for election.
// Cause: c votes for b although c no longer holds what it acknowledged.
func TestWipedDiskDoesNotVote(t *testing.T) {
	c := newCluster(t, 3, 7)
	a, b, old := c.replicas[0], c.replicas[1], c.replicas[2]
	c.lead(a)
	c.isolate(b.id)
	c.propose(a, 3)
	c.heal()
	c.crash(old)
	wiped := c.add(quorum.MakeID("c", "disk2"), disk{})
	c.crash(a)
	for range 10 * quorum.DefaultElectionTicks {
		c.tick()
	}
	require.Nil(t, c.leader(), "%s leads with the vote of an empty disk", b.id)
	require.Zero(t, wiped.node.Status().Last)
	c.restart(a)
	l := c.elect()
	require.Len(t, l.state, 3)
	c.repair(l, old, wiped)
	require.Equal(t, l.state, wiped.state)
}

// Symptom, sequence and cause as above, but the identity file came back from a
// backup without the log, so c answers to its old name.
func TestEmptyLogDoesNotVote(t *testing.T) {
	c := newCluster(t, 3, 7)
	a, b, old := c.replicas[0], c.replicas[1], c.replicas[2]
	c.lead(a)
	c.isolate(b.id)
	c.propose(a, 3)
	c.heal()
	old.disk = disk{}
	c.restart(old)
	c.crash(a)
	for range 10 * quorum.DefaultElectionTicks {
		c.tick()
	}
	require.Nil(t, c.leader(), "%s leads with the vote of an empty disk", b.id)
}

// Symptom: two leaders in one term.
// Sequence: a candidate's vote for itself is not on disk yet when a majority
// has elected it; it loses power, forgets the term and votes for another.
// Cause: the request for votes left, or the own vote counted, too early.
func TestCandidateAsksAfterItsVoteIsOnDisk(t *testing.T) {
	c := newCluster(t, 3, 16)
	a := c.replicas[0]
	a.slow = true
	for range 2 * quorum.DefaultElectionTicks {
		if a.writing == nil {
			a.node.Tick()
		}
		c.settle()
	}
	require.NotNil(t, a.writing)
	require.Equal(t, quorum.RoleCandidate, a.node.Status().Role)
	require.Equal(t, uint64(1), c.replicas[1].node.Status().Term, "a request left before the vote was on disk")
	single := newCluster(t, 1, 16)
	s := single.replicas[0]
	s.slow = true
	for range 3 * quorum.DefaultElectionTicks {
		s.node.Tick()
		single.settle()
	}
	require.Equal(t, quorum.RoleCandidate, s.node.Status().Role, "elected by a vote that is not on disk")
	single.finish(s, *s.writing)
	single.settle()
	require.Equal(t, quorum.RoleLeader, s.node.Status().Role)
}

// repair replaces a lost replica by a new one on the same instance.
func (c *cluster) repair(l, old, fresh *replica) {
	c.change(l, quorum.Change{Kind: quorum.AddLearner, ID: fresh.id})
	_, err := l.node.ProposeMembership(quorum.Change{Kind: quorum.Promote, ID: fresh.id})
	require.Error(c.t, err, "two voters on one instance")
	c.change(l, quorum.Change{Kind: quorum.Remove, ID: old.id})
	c.tick()
	c.tick()
	c.change(l, quorum.Change{Kind: quorum.Promote, ID: fresh.id})
	c.tick()
	c.tick()
}

// Symptom: committed state is gone when a second instance is lost right after
// the repair of the first.
// Sequence: c's disk is lost; c returns as a new replica and is repaired from
// a snapshot; at once the leader's disk is lost as well.
// Cause: the new replica was made a voter before it held the log.
func TestSecondLossRightAfterRepair(t *testing.T) {
	for _, lost := range []int{0, 1} {
		c := newCluster(t, 3, 8)
		a, old := c.replicas[0], c.replicas[2]
		c.lead(a)
		c.propose(a, 300)
		c.compact(a, 5)
		c.crash(old)
		fresh := c.add(quorum.MakeID("c", "disk2"), disk{})
		c.repair(a, old, fresh)
		state := slices.Clone(a.state)
		c.crash(c.replicas[lost])
		l := c.elect()
		require.Equal(t, state, l.state)
		c.propose(l, 1)
	}
}

// Symptom: a promotion takes away the quorum, or lets entries be committed by
// a voter that lacks the earlier ones.
// Sequence: a learner that was cut off is promoted.
// Cause: the leader did not ask how far the learner is.
func TestPromotionNeedsTheLog(t *testing.T) {
	c := newCluster(t, 3, 9)
	l := c.elect()
	fresh := c.add(quorum.MakeID("d", "disk1"), disk{})
	c.change(l, quorum.Change{Kind: quorum.AddLearner, ID: fresh.id})
	c.isolate(fresh.id)
	c.propose(l, 5)
	_, err := l.node.ProposeMembership(quorum.Change{Kind: quorum.Promote, ID: fresh.id})
	require.ErrorIs(t, err, quorum.ErrNotCaughtUp)
	c.heal()
	for range quorum.DefaultElectionTicks {
		c.tick()
	}
	c.change(l, quorum.Change{Kind: quorum.Promote, ID: fresh.id})
	require.Equal(t, l.state, fresh.state)
}

// Symptom: two leaders commit in disjoint majorities.
// Sequence: a leader removes one replica, is cut off before that is committed,
// and the others remove another one.
// Cause: two uncommitted changes at once, or a change by a leader that has not
// committed in its term.
func TestMembershipChangeUnderPartition(t *testing.T) {
	c := newCluster(t, 4, 10)
	a := c.replicas[0]
	c.lead(a)
	c.isolate(a.id)
	_, err := a.node.ProposeMembership(quorum.Change{Kind: quorum.Remove, ID: name(3)})
	require.NoError(t, err)
	c.settle()
	_, err = a.node.ProposeMembership(quorum.Change{Kind: quorum.Remove, ID: name(2)})
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
	require.Len(t, a.node.Status().Membership.GetMembers(), 4, "the overwritten change is still in force")
	c.isolate(a.id)
	c.change(l, quorum.Change{Kind: quorum.Remove, ID: a.id})
	c.propose(l, 3)
	c.heal()
	for range 5 * quorum.DefaultElectionTicks {
		c.tick()
	}
	require.NotContains(t, l.state, "minority")
	require.Len(t, l.node.Status().Membership.GetMembers(), 3)
	// The removed replica goes on asking for votes; nobody listens.
	require.Equal(t, l, c.leader())
}

// Symptom: a change of membership is proposed by a leader that does not know of
// its predecessor's change; their majorities need not meet.
// Sequence: a new leader, whose first entry is not committed, is asked for a
// change.
// Cause: the rule of Ongaro's correction of 2015 is missing.
func TestNoChangeBeforeOwnTermCommit(t *testing.T) {
	c := newCluster(t, 4, 11)
	a := c.replicas[0]
	a.slow = true
	for a.node.Status().Role != quorum.RoleLeader {
		a.node.Tick()
		c.process(a)
		if a.writing != nil {
			c.finish(a, *a.writing)
			c.process(a)
		}
		for len(c.network) > 0 && a.node.Status().Role != quorum.RoleLeader {
			c.deliver(0)
		}
	}
	_, err := a.node.ProposeMembership(quorum.Change{Kind: quorum.Remove, ID: name(3)})
	require.ErrorIs(t, err, quorum.ErrMembershipPending)
}

// Symptom: a replica that restarts after hundreds of changes never catches up,
// or with wrong state.
// Sequence: a follower is down while the leader commits and compacts its log;
// the follower restarts, and again while the snapshot arrives.
// Cause: the entries it needs are gone from the leader's log.
func TestCatchUpBySnapshot(t *testing.T) {
	c := newCluster(t, 3, 12)
	l := c.elect()
	away := c.replicas[(slices.Index(c.replicas, l)+1)%3]
	c.propose(l, 5)
	c.crash(away)
	c.propose(l, 400)
	c.compact(l, 10)
	c.start(away)
	away.slow = true
	for away.writing == nil || away.writing.Snapshot == nil {
		c.tick()
		if away.writing != nil && away.writing.Snapshot == nil {
			c.finish(away, *away.writing)
		}
	}
	// Power is lost before the snapshot is on disk.
	away.slow = false
	c.restart(away)
	for range 5 * quorum.DefaultElectionTicks {
		c.tick()
	}
	require.Equal(t, l.state, away.state)
	require.NotZero(t, l.node.Status().Counters.SnapshotsSent)
	c.propose(l, 3)
	require.Equal(t, l.state, away.state)
}

// Symptom: an acknowledgement outlives the entry it speaks for.
// Sequence: a follower's write is slow; meanwhile a new leader overwrites the
// entry; the old write ends.
// Cause: the end of the old write is taken for that of the new entry.
func TestOverwrittenDuringWrite(t *testing.T) {
	c := newCluster(t, 3, 13)
	f := c.replicas[2]
	f.slow = true
	send := func(from quorum.ID, term uint64, data string) {
		require.NoError(t, f.node.Step(&quorumpb.Message{
			Type: quorumpb.MessageType_MESSAGE_TYPE_APPEND, From: string(from), To: string(f.id),
			Term: term, Index: 1, IndexTerm: 1,
			Entries: []*quorumpb.Entry{{Index: 2, Term: term, Data: []byte(data)}},
		}))
		c.process(f)
	}
	send(name(0), 2, "old")
	old := *f.writing
	send(name(1), 3, "new")
	c.finish(f, old)
	c.process(f)
	// The old entry is on disk, and only its leader hears so.
	require.Len(t, c.network, 1)
	require.Equal(t, uint64(2), c.network[0].GetTerm())
	require.Equal(t, "new", string(f.writing.Entries[0].GetData()))
	c.finish(f, *f.writing)
	c.process(f)
	require.Len(t, c.network, 2)
	require.Equal(t, uint64(3), c.network[1].GetTerm())
	require.Equal(t, "new", string(f.disk.entries[1].GetData()))
}

// Symptom: an entry counts as replicated that a power cut takes away.
// Sequence: a message's entries are written in several parts; power is lost
// after the first.
// Cause: the acknowledgement, which names the last entry, left too early.
func TestAcknowledgedAfterLastPart(t *testing.T) {
	c := newCluster(t, 3, 17)
	c.cfg.MaxBatchBytes = 1
	f := c.replicas[2]
	c.restart(f)
	f.slow = true
	require.NoError(t, f.node.Step(message(appendEntries, 2, &quorumpb.Message{
		To: string(f.id), Index: 1, IndexTerm: 1, Entries: entries(2, 2, 2, 2),
	})))
	c.process(f)
	for part := range 3 {
		require.Empty(t, c.network, "acknowledged after %d of 3 parts", part)
		c.finish(f, *f.writing)
		c.process(f)
	}
	require.Len(t, c.network, 1)
	require.Equal(t, uint64(4), c.network[0].GetIndex())
}

// Symptom: a group stands still after an operator removed the wrong replica.
// Sequence: one of three is down; another one is removed.
// Cause: the two that are left need each other, and one of them is down.
func TestRemovalKeepsAQuorum(t *testing.T) {
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
	c.change(l, quorum.Change{Kind: quorum.Remove, ID: down.id})
	c.propose(l, 1)
}

// Symptom: a replica that was removed goes on leading.
// Sequence: the leader is removed from the group.
// Cause: it does not step down once its removal is committed.
func TestRemovedLeaderStepsDown(t *testing.T) {
	c := newCluster(t, 3, 19)
	l := c.elect()
	c.change(l, quorum.Change{Kind: quorum.Remove, ID: l.id})
	require.Equal(t, quorum.RoleFollower, l.node.Status().Role)
	next := c.elect()
	require.NotEqual(t, l.id, next.id)
	c.propose(next, 1)
	require.Len(t, next.node.Status().Membership.GetMembers(), 2)
}

// Symptom: an election takes several timeouts.
// Sequence: the timeouts of two replicas end at the same tick.
// Cause: each grants the other's pre-vote, both begin the term and split the
// votes.
func TestEqualTimeouts(t *testing.T) {
	c := newCluster(t, 3, 20)
	c.crash(c.replicas[2])
	for _, r := range c.replicas[:2] {
		for range 2 * quorum.DefaultElectionTicks {
			if r.node.Status().Role == quorum.RoleFollower {
				r.node.Tick()
			}
		}
		require.Equal(t, quorum.RolePreCandidate, r.node.Status().Role)
	}
	c.settle()
	require.NotNil(t, c.leader())
}

func TestTransferLeader(t *testing.T) {
	c := newCluster(t, 3, 14)
	l := c.elect()
	c.propose(l, 3)
	require.NoError(t, l.node.TransferLeader(quorum.NoID))
	_, err := l.node.Propose([]byte("x"))
	require.ErrorIs(t, err, quorum.ErrTransferring)
	c.settle()
	next := c.leader()
	require.NotNil(t, next, "a transfer needs no election timeout")
	require.NotEqual(t, l.id, next.id)
	c.propose(next, 1)
	require.ErrorIs(t, newCluster(t, 1, 1).elect().node.TransferLeader(quorum.NoID), quorum.ErrInvalidChange)
}

func TestRefusals(t *testing.T) {
	c := newCluster(t, 3, 15)
	c.cfg = quorum.Config{MaxEntryBytes: 100, MaxUncommittedBytes: 250, MaxReads: 2}
	for _, r := range c.replicas {
		c.restart(r)
	}
	l := c.elect()
	c.isolate(l.id)
	data := make([]byte, 100)
	propose := func(data []byte) error {
		_, err := l.node.Propose(data)
		return err
	}
	require.NoError(t, propose(data))
	require.NoError(t, propose(data))
	require.ErrorIs(t, propose(data), quorum.ErrUncommittedFull)
	require.ErrorIs(t, propose(make([]byte, 101)), quorum.ErrTooLarge)
	require.ErrorIs(t, propose(nil), quorum.ErrEmpty)
	require.NoError(t, l.node.ReadIndex(1))
	require.NoError(t, l.node.ReadIndex(2))
	require.ErrorIs(t, l.node.ReadIndex(3), quorum.ErrTooManyReads)
	c.heal()
	for range quorum.DefaultElectionTicks {
		c.tick()
	}
	require.NoError(t, propose(data), "room returns with the commit")
	follower := c.replicas[(slices.Index(c.replicas, l)+1)%3]
	_, err := follower.node.Propose(data)
	refused, ok := quorum.Refused(err)
	require.True(t, ok)
	require.Equal(t, l.id, refused.Leader)
}
