package quorum_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

// A group of any size elects a leader and applies all proposals on every
// replica.
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

// A leader that is partitioned from both followers must step down and fail its
// reads. Without a quorum check, its callers would wait indefinitely or read
// stale state.
func TestPartitionedLeaderStepsDown(t *testing.T) {
	c := newCluster(t, 3, 2)
	l := c.elect()
	c.propose(l, 1)
	c.isolate(l.id)
	_, err := l.node.Propose([]byte("lost"))
	require.NoError(t, err)
	require.NoError(t, l.node.ReadIndex(7))
	for range quorum.DefaultElectionTicks {
		require.Empty(t, l.reads, "read confirmed without a quorum")
		c.tick()
	}
	require.NotEqual(t, quorum.RoleLeader, l.node.Status().Role)
	require.Equal(t, []quorum.ReadState{{ID: 7, Lost: true}}, l.reads)
	_, err = l.node.Propose([]byte("more"))
	require.ErrorIs(t, err, quorum.ErrNotLeader)
	require.ErrorIs(t, l.node.ReadIndex(8), quorum.ErrNotLeader)

	newLeader := c.elect()
	require.NotEqual(t, l.id, newLeader.id)
	c.heal()
	c.propose(newLeader, 1)
	for range quorum.DefaultElectionTicks {
		c.tick()
	}
	require.Equal(t, newLeader.state, l.state)
	require.NotContains(t, l.state, "lost")
}

// A follower that reconnects after a partition of many election timeouts must
// not depose an active leader. Without pre-votes, its term would grow with
// every failed election.
func TestReconnectedReplicaDoesNotDeposeLeader(t *testing.T) {
	c := newCluster(t, 3, 3)
	l := c.elect()
	term := l.node.Status().Term
	isolated := c.replicas[(slices.Index(c.replicas, l)+1)%3]
	c.isolate(isolated.id)
	for range 20 * quorum.DefaultElectionTicks {
		c.tick()
	}
	c.heal()
	for range 5 * quorum.DefaultElectionTicks {
		c.tick()
	}
	require.Equal(t, l, c.leader())
	require.Equal(t, term, l.node.Status().Term)
	require.Equal(t, term, isolated.node.Status().Term)
}

// A replica that grants a vote, crashes before the vote is durable and is asked
// by another candidate must not vote twice in the term. A reply sent before the
// vote is durable would allow two leaders in one term.
func TestVoteReplySentAfterVotePersisted(t *testing.T) {
	c := newCluster(t, 3, 4)
	voter := c.replicas[2]
	voter.slowDisk = true
	requestVote := func(from quorum.ID) {
		require.NoError(t, voter.node.Step(&quorumpb.Message{
			Type: quorumpb.MessageType_MESSAGE_TYPE_VOTE, From: string(from), To: string(voter.id),
			Term: 5, Index: 1, IndexTerm: 1,
		}))
		c.processReady(voter)
	}
	requestVote(replicaID(0))
	require.Empty(t, c.network, "vote reply sent before the vote was durable")
	c.restart(voter)
	requestVote(replicaID(1))
	c.finishWrite(voter, *voter.pendingWrite)
	c.processReady(voter)
	require.Len(t, c.network, 1)
	require.False(t, c.network[0].GetReject())
	c.network = nil
	c.restart(voter)
	requestVote(replicaID(0))
	require.Len(t, c.network, 1)
	require.True(t, c.network[0].GetReject(), "second vote granted in one term")
}

// A leader must not commit an entry of an earlier term because a majority holds
// it (thesis, figure 3.7). A candidate with a later last term could be elected
// and replace the entry, and an acknowledged proposal would be lost.
func TestCommitByCountingOnlyInCurrentTerm(t *testing.T) {
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
	// The leader's first entry of its term reaches no replica: the network
	// delivers only the messages that replicate the old entry.
	for range 3 * quorum.DefaultElectionTicks {
		l.node.Tick()
		c.processReady(l)
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
	c.processReady(l)
	require.Less(t, l.node.Status().Commit, uint64(2), "entry of an earlier term committed by counting replicas")
}

// A read from a new leader must reflect every acknowledged write. The previous
// leader's commit index reached no follower, so the new leader does not know it
// until it has committed an entry of its own term.
func TestReadWaitsForCommitInCurrentTerm(t *testing.T) {
	c := newCluster(t, 3, 6)
	l := c.elect()
	// Both followers have the entry on disk, but the commit index does not
	// reach them.
	_, err := l.node.Propose([]byte("acknowledged"))
	require.NoError(t, err)
	c.processReady(l)
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
		c.processReady(next)
		for len(c.network) > 0 && next.node.Status().Role != quorum.RoleLeader {
			c.deliver(0)
		}
	}
	require.NoError(t, next.node.ReadIndex(1))
	c.deliverAll()
	require.Len(t, next.reads, 1)
	require.GreaterOrEqual(t, next.reads[0].Index, uint64(len(c.committed)-1))
	require.Contains(t, next.state, "acknowledged")
}

// A candidate must not request votes, or count its vote for itself, before that
// vote is durable. Otherwise it could be elected, lose the vote in a crash and
// vote for another candidate in the same term.
func TestVoteRequestSentAfterOwnVotePersisted(t *testing.T) {
	c := newCluster(t, 3, 16)
	a := c.replicas[0]
	a.slowDisk = true
	for range 2 * quorum.DefaultElectionTicks {
		if a.pendingWrite == nil {
			a.node.Tick()
		}
		c.deliverAll()
	}
	require.NotNil(t, a.pendingWrite)
	require.Equal(t, quorum.RoleCandidate, a.node.Status().Role)
	require.Equal(t, uint64(1), c.replicas[1].node.Status().Term, "vote request sent before the vote was durable")
	single := newCluster(t, 1, 16)
	s := single.replicas[0]
	s.slowDisk = true
	for range 3 * quorum.DefaultElectionTicks {
		s.node.Tick()
		single.deliverAll()
	}
	require.Equal(t, quorum.RoleCandidate, s.node.Status().Role, "elected by a vote that is not durable")
	single.finishWrite(s, *s.pendingWrite)
	single.deliverAll()
	require.Equal(t, quorum.RoleLeader, s.node.Status().Role)
}

// A follower must not take the end of an old write for that of a new entry. A
// new leader overwrites an entry while its slow write is in progress, and the
// acknowledgement would cover an entry that is not durable.
func TestEntryOverwrittenDuringWrite(t *testing.T) {
	c := newCluster(t, 3, 13)
	f := c.replicas[2]
	f.slowDisk = true
	send := func(from quorum.ID, term uint64, data string) {
		require.NoError(t, f.node.Step(&quorumpb.Message{
			Type: quorumpb.MessageType_MESSAGE_TYPE_APPEND, From: string(from), To: string(f.id),
			Term: term, Index: 1, IndexTerm: 1,
			Entries: []*quorumpb.Entry{{Index: 2, Term: term, Data: []byte(data)}},
		}))
		c.processReady(f)
	}
	send(replicaID(0), 2, "old")
	old := *f.pendingWrite
	send(replicaID(1), 3, "new")
	c.finishWrite(f, old)
	c.processReady(f)
	// The old entry is durable, and only its leader receives an
	// acknowledgement.
	require.Len(t, c.network, 1)
	require.Equal(t, uint64(2), c.network[0].GetTerm())
	require.Equal(t, "new", string(f.pendingWrite.Entries[0].GetData()))
	c.finishWrite(f, *f.pendingWrite)
	c.processReady(f)
	require.Len(t, c.network, 2)
	require.Equal(t, uint64(3), c.network[1].GetTerm())
	require.Equal(t, "new", string(f.disk.entries[1].GetData()))
}

// An append whose entries are written in several batches must be acknowledged
// only after the last write. The reply names the last entry, which would be
// lost in a crash after the first write.
func TestAppendAcknowledgedAfterLastWrite(t *testing.T) {
	c := newCluster(t, 3, 17)
	c.cfg.MaxBatchBytes = 1
	f := c.replicas[2]
	c.restart(f)
	f.slowDisk = true
	require.NoError(t, f.node.Step(newMessage(appendEntries, 2, &quorumpb.Message{
		To: string(f.id), Index: 1, IndexTerm: 1, Entries: newEntries(2, 2, 2, 2),
	})))
	c.processReady(f)
	for part := range 3 {
		require.Empty(t, c.network, "acknowledged after %d of 3 writes", part)
		c.finishWrite(f, *f.pendingWrite)
		c.processReady(f)
	}
	require.Len(t, c.network, 1)
	require.Equal(t, uint64(4), c.network[0].GetIndex())
}

// Two replicas whose election timeouts expire at the same tick must elect a
// leader without another timeout. If each granted the other's pre-vote, both
// would start the term and split the votes.
func TestEqualElectionTimeouts(t *testing.T) {
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
	c.deliverAll()
	require.NotNil(t, c.leader())
}

// A leadership transfer completes without an election timeout, and proposals
// are refused while it is in progress.
func TestTransferLeader(t *testing.T) {
	c := newCluster(t, 3, 14)
	l := c.elect()
	c.propose(l, 3)
	require.NoError(t, l.node.TransferLeader(quorum.NoID))
	_, err := l.node.Propose([]byte("x"))
	require.ErrorIs(t, err, quorum.ErrTransferring)
	c.deliverAll()
	next := c.leader()
	require.NotNil(t, next, "no leader after the transfer")
	require.NotEqual(t, l.id, next.id)
	c.propose(next, 1)
	require.ErrorIs(t, newCluster(t, 1, 1).elect().node.TransferLeader(quorum.NoID), quorum.ErrInvalidChange)
}

// Requests beyond a configured limit, or sent to a follower, are refused with
// the matching reason, and are accepted again after a commit.
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
	require.NoError(t, propose(data), "proposal refused after the pending entries were committed")
	follower := c.replicas[(slices.Index(c.replicas, l)+1)%3]
	_, err := follower.node.Propose(data)
	refused, ok := quorum.Refused(err)
	require.True(t, ok)
	require.Equal(t, l.id, refused.Leader)
}
