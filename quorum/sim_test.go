package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/quorumpb"
)

// disk is what a crash leaves.
type disk struct {
	hard     *quorumpb.HardState
	snapshot *quorumpb.SnapshotMeta
	// state machine at the snapshot.
	state   []string
	entries []*quorumpb.Entry
	// lost is set for a disk that was replaced.
	lost bool
}

func (d *disk) write(b quorum.Batch, state []string) {
	if b.Snapshot != nil {
		d.snapshot, d.entries, d.state = b.Snapshot.GetMeta(), nil, state
	}
	if b.HardState != nil {
		d.hard = b.HardState
	}
	if len(b.Entries) == 0 {
		return
	}
	first := b.Entries[0].GetIndex()
	d.entries = slices.DeleteFunc(d.entries, func(e *quorumpb.Entry) bool { return e.GetIndex() >= first })
	d.entries = append(d.entries, b.Entries...)
}

// replica is a Node with its disk and its state machine, a list of payloads.
type replica struct {
	id      quorum.ID
	node    *quorum.Node
	disk    disk
	state   []string
	applied uint64
	// pendingWrite is the batch that the disk works on.
	pendingWrite *quorum.Batch
	// slowDisk disks finish a batch only when finish is called.
	slowDisk bool
	reads    []quorum.ReadState
	down     bool
}

// cluster runs replicas over a network of which the test decides everything.
type cluster struct {
	t        require.TestingT
	rng      *rand.Rand
	cfg      quorum.Config
	replicas []*replica
	network  []*quorumpb.Message
	// blocked tells whether messages between two replicas are lost.
	blocked func(from, to quorum.ID) bool
	// committed is what any state machine has applied, by index; it must
	// never change.
	committed map[uint64]*quorumpb.Entry
	// states of the state machine by index, for snapshots.
	states map[uint64][]string
	// leaders by term.
	leaders map[uint64]quorum.ID
}

func replicaID(i int) quorum.ID { return quorum.MakeID(string(rune('a'+i)), "disk1") }

// newCluster starts size voters.
func newCluster(t require.TestingT, size int, seed uint64) *cluster {
	c := &cluster{
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, 1)),
		blocked:   func(quorum.ID, quorum.ID) bool { return false },
		committed: map[uint64]*quorumpb.Entry{},
		states:    map[uint64][]string{},
		leaders:   map[uint64]quorum.ID{},
	}
	var members []*quorumpb.Member
	for i := range size {
		members = append(members, &quorumpb.Member{Id: string(replicaID(i)), Role: quorumpb.Role_ROLE_VOTER})
	}
	first, err := quorum.FirstEntry("group", members)
	require.NoError(t, err)
	for i := range size {
		c.addReplica(replicaID(i), disk{
			hard:    &quorumpb.HardState{Term: 1, Commit: 1},
			entries: []*quorumpb.Entry{first},
		})
	}
	return c
}

// addReplica starts a replica from what is on its disk.
func (c *cluster) addReplica(id quorum.ID, d disk) *replica {
	r := &replica{id: id, disk: d}
	c.replicas = append(c.replicas, r)
	c.start(r)
	return r
}

func (c *cluster) start(r *replica) {
	cfg := c.cfg
	cfg.ID = r.id
	cfg.Rand = rand.New(rand.NewPCG(c.rng.Uint64(), 2))
	node, err := quorum.New(cfg, r.disk.hard, r.disk.snapshot, r.disk.entries)
	require.NoError(c.t, err)
	r.node, r.down, r.pendingWrite, r.reads = node, false, nil, nil
	r.state = slices.Clone(r.disk.state)
	r.applied = r.disk.snapshot.GetIndex()
}

// crash loses what is not on the disk.
func (c *cluster) crash(r *replica) { r.down = true }

func (c *cluster) restart(r *replica) {
	c.crash(r)
	c.start(r)
}

// runningOn finds the present replica of an instance, as a transport does.
func (c *cluster) runningOn(instance string) *replica {
	for _, r := range c.replicas {
		if r.id.Instance() == instance && !r.down {
			return r
		}
	}
	return nil
}

// processReady does what the Node wants.
func (c *cluster) processReady(r *replica) {
	for !r.down {
		b, ok := r.node.Ready()
		if !ok {
			return
		}
		c.network = append(c.network, b.Early...)
		r.reads = append(r.reads, b.Reads...)
		c.applyCommitted(r, b.Committed)
		c.checkLeader(r)
		if b.MustPersist() && r.slowDisk {
			r.pendingWrite = &b
			continue
		}
		c.finishWrite(r, b)
	}
}

// finishWrite completes the write of a batch.
func (c *cluster) finishWrite(r *replica, b quorum.Batch) {
	if b.MustPersist() {
		r.pendingWrite = nil
	}
	r.disk.write(b, c.states[b.Snapshot.GetMeta().GetIndex()])
	c.network = append(c.network, b.Messages...)
	r.node.Advance(b)
	if b.Snapshot != nil {
		r.applied = b.Snapshot.GetMeta().GetIndex()
		r.state = slices.Clone(c.states[r.applied])
		r.node.AppliedTo(r.applied)
	}
}

// applyCommitted checks that state machines agree: a committed entry never changes.
func (c *cluster) applyCommitted(r *replica, entries []*quorumpb.Entry) {
	for _, e := range entries {
		require.Equal(c.t, r.applied+1, e.GetIndex(), "%s skips an entry", r.id)
		if known := c.committed[e.GetIndex()]; known != nil {
			require.True(c.t, proto.Equal(known, e), "%s applies %v where %v was committed", r.id, e, known)
		}
		c.committed[e.GetIndex()] = e
		r.applied = e.GetIndex()
		if e.GetType() == quorumpb.EntryType_ENTRY_TYPE_DATA && len(e.GetData()) > 0 {
			r.state = append(r.state, string(e.GetData()))
		}
		c.states[r.applied] = slices.Clone(r.state)
		r.node.AppliedTo(r.applied)
	}
}

// checkLeader checks election safety and, for a new leader, that it holds
// every committed entry.
func (c *cluster) checkLeader(r *replica) {
	s := r.node.Status()
	if s.Role != quorum.RoleLeader {
		return
	}
	if known, ok := c.leaders[s.Term]; ok {
		require.Equal(c.t, known, r.id, "two leaders in term %d", s.Term)
		return
	}
	c.leaders[s.Term] = r.id
	for index, e := range c.committed {
		require.LessOrEqual(c.t, index, s.Last, "%s leads without entry %d", r.id, index)
		if meta, ok := r.node.SnapshotMeta(index); ok {
			require.Equal(c.t, e.GetTerm(), meta.GetTerm(), "%s leads with another entry %d", r.id, index)
		}
	}
}

// deliver hands the i-th message over and removes it.
func (c *cluster) deliver(i int) {
	m := c.network[i]
	c.network = slices.Delete(c.network, i, i+1)
	to := c.runningOn(quorum.ID(m.GetTo()).Instance())
	if to == nil || c.blocked(quorum.ID(m.GetFrom()), to.id) {
		return
	}
	err := to.node.Step(m)
	if err != nil {
		require.ErrorIs(c.t, err, quorum.ErrMisaddressed)
	}
	c.processReady(to)
}

// deliverAll delivers messages until none is left.
func (c *cluster) deliverAll() {
	for _, r := range c.replicas {
		c.processReady(r)
	}
	for len(c.network) > 0 {
		c.deliver(0)
	}
}

// tick lets one tick pass everywhere and settles.
func (c *cluster) tick() {
	for _, r := range c.replicas {
		if !r.down {
			r.node.Tick()
		}
	}
	c.deliverAll()
}

// leader returns the replica that leads the newest term; nil if none.
func (c *cluster) leader() *replica {
	var best *replica
	for _, r := range c.replicas {
		if r.down || r.node.Status().Role != quorum.RoleLeader {
			continue
		}
		if best == nil || r.node.Status().Term > best.node.Status().Term {
			best = r
		}
	}
	return best
}

// elect ticks until there is a leader that has committed in its term.
func (c *cluster) elect() *replica {
	for range 20 * quorum.DefaultElectionTicks {
		if l := c.leader(); l != nil {
			s := l.node.Status()
			if meta, ok := l.node.SnapshotMeta(s.Applied); ok && meta.GetTerm() == s.Term && s.Applied == s.Last {
				return l
			}
		}
		c.tick()
	}
	for _, r := range c.replicas {
		s := r.node.Status()
		println(string(r.id), s.Applied, r.applied, r.pendingWrite != nil, r.slowDisk, r.down, r.disk.lost, s.Role.String(), s.Term, s.Last, s.Commit, s.Membership.String())
	}
	return nil
}

// makeLeader makes r the leader by cutting the clocks of the others.
func (c *cluster) makeLeader(r *replica) {
	for range 4 * quorum.DefaultElectionTicks {
		if r.node.Status().Role == quorum.RoleLeader {
			return
		}
		r.node.Tick()
		c.deliverAll()
	}
	require.Fail(c.t, "not elected", "%s", r.id)
}

// propose commits n payloads at the leader.
func (c *cluster) propose(r *replica, n int) {
	for i := range n {
		_, err := r.node.Propose(fmt.Appendf(nil, "%s-%d-%d", r.id, len(c.committed), i))
		require.NoError(c.t, err)
		c.deliverAll()
	}
}

func (c *cluster) changeMembership(r *replica, change quorum.Change) {
	_, err := r.node.ProposeMembership(change)
	require.NoError(c.t, err)
	c.deliverAll()
}

// isolate cuts the given replicas off from all others; they still reach each
// other.
func (c *cluster) isolate(ids ...quorum.ID) {
	c.blocked = func(from, to quorum.ID) bool { return slices.Contains(ids, from) != slices.Contains(ids, to) }
}

func (c *cluster) heal() { c.blocked = func(quorum.ID, quorum.ID) bool { return false } }

// compact takes a snapshot of r's state machine and keeps few entries.
func (c *cluster) compact(r *replica, keep int) {
	meta, ok := r.node.SnapshotMeta(r.applied)
	if !ok || meta.GetIndex() <= r.disk.snapshot.GetIndex() {
		return
	}
	r.disk.snapshot = meta
	r.disk.state = slices.Clone(r.state)
	r.disk.entries = slices.DeleteFunc(r.disk.entries, func(e *quorumpb.Entry) bool {
		return e.GetIndex() <= meta.GetIndex()
	})
	r.node.Compact(meta, keep)
}
