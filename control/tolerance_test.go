package control_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/quorum/journal/journaltest"
	"github.com/carawaypitch/carawaypitch/wire"
)

// sixDisks is a cluster of six instances with a disk of which five are to vote. The first three begin the group.
func sixDisks(t *testing.T) *cluster {
	c := newCluster(t, 3)
	for _, n := range c.nodes {
		n.settings.Voters = 5
	}
	c.startAll()
	for i := 4; i <= 6; i++ {
		n := c.newcomer(i, 1, 2, 3)
		n.settings.Voters = 5
	}
	// The settings of an instance bind it when it leads, so each must have been started with them.
	for _, n := range c.nodes[3:] {
		c.stop(n)
		c.start(n)
	}
	c.eventually("five vote", func() bool { return voters(c, c.leader()) == 5 })
	return c
}

func voters(c *cluster, n *node) int {
	count := 0
	for _, r := range c.status(n).Replicas {
		if r.Voter {
			count++
		}
	}
	return count
}

// wipe has an instance come back with an empty disk.
func (c *cluster) wipe(n *node) {
	n.settings.Bootstrap = false
	n.fs = journaltest.New()
}

// Symptom: after the loss of two disks at once nothing is served any more, and what operators had been told is in force is
// gone. Sequence: a desired state is acknowledged; the leader and another voter lose their disks, while all instances lose
// their power. Cause: three voters, of which two are a majority: the one that was left could neither lead nor know what it
// had missed.
func TestTwoLostDisksOfFiveVoters(t *testing.T) {
	for name, all := range map[string]bool{"the others run on": false, "all others stop too": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := sixDisks(t)
				defer c.stopAll()
				leader := c.leader()
				require.NoError(t, leader.control.PutDesired(t.Context(), testDesired(7)))
				lost := []*node{leader}
				for _, n := range c.nodes {
					if n != leader && votes(c, n) > 0 && len(lost) < 2 {
						lost = append(lost, n)
					}
				}
				if all {
					c.stopAll()
				}
				for _, n := range lost {
					if n.control != nil {
						c.stop(n)
					}
					c.wipe(n)
				}
				for _, n := range c.nodes {
					if n.control == nil {
						c.start(n)
					}
				}
				for _, n := range c.nodes {
					c.eventually("the acknowledged state is read", func() bool {
						desired, err := n.control.Desired(t.Context())
						return err == nil && desired.GetVersion() == 7
					})
				}
				c.eventually("five vote again", func() bool { return voters(c, c.leader()) == 5 })
			})
		})
	}
}

// Symptom: an acknowledged change is lost with the restart of two processes. Sequence: the settings name an instance that
// has no disk of its own; it is restarted. Cause: its vote counted for what it could not keep.
func TestInstanceWithoutADiskNeverVotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		for _, n := range c.nodes {
			n.settings.Voters = 3
		}
		c.nodes[2].settings.Ephemeral = true
		c.startAll()
		defer c.stopAll()
		c.leader()
		c.newcomer(4, 3) // knows none but the one without a disk
		without := c.nodes[2]
		c.eventually("those with a disk vote", func() bool { return voters(c, c.leader()) == 3 })
		require.Zero(t, votes(c, without))
		require.NoError(t, without.control.PutDesired(t.Context(), testDesired(2)), "it takes operators' changes")
		time.Sleep(time.Minute)
		require.Zero(t, votes(c, without))
		c.stop(c.nodes[0])
		time.Sleep(time.Minute)
		require.Zero(t, votes(c, without), "not even in place of a silent voter")
	})
}

// Symptom: no replacement of a lost voter can join any more. Sequence: an instance without a disk is restarted often; each
// time it comes with another identity. Cause: the learners that it had been stayed in the group, up to its bound: their
// instance was heard, so none of them counted as silent.
func TestEarlierLearnersOfAnInstanceAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		without := c.newcomer(4, 1)
		c.stop(without)
		without.settings.Ephemeral = true
		for range 20 {
			without.fs = journaltest.New()
			c.start(without)
			c.eventually("it serves", func() bool { return without.control.Ready() == nil })
			c.stop(without)
		}
		c.start(without)
		c.eventually("it serves", func() bool { return without.control.Ready() == nil })
		c.eventually("the group is as large as the deployment", func() bool {
			return len(c.status(c.leader()).Replicas) == len(c.nodes)
		})
	})
}

// Symptom: a machine that replaces a lost voter never becomes one. Sequence: machines without a disk are added until the group is
// at its bound; then one with a disk comes. Cause: learners without a disk kept its place.
func TestInstanceWithADiskGetsThePlaceOfOneWithout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		for _, n := range c.nodes {
			n.settings.Voters = 5
		}
		c.startAll()
		defer c.stopAll()
		c.leader()
		const bound = 16
		for i := 4; i <= bound+2; i++ {
			n := c.addNode(i, 1, 2, 3)
			n.settings.Ephemeral = true
			c.start(n)
		}
		c.eventually("the group is full", func() bool { return len(c.status(c.leader()).Replicas) == bound })
		for i := bound + 3; i <= bound+4; i++ {
			c.newcomer(i, 1, 2, 3)
		}
		c.eventually("those with a disk vote", func() bool { return voters(c, c.leader()) == 5 })
		require.LessOrEqual(t, len(c.status(c.leader()).Replicas), bound)
	})
}

// Symptom: after the loss of two disks at once nothing is served any more, in a group of five voters that is to bear it. Sequence: a
// voter loses its disk and comes back, while machines without a disk are stopped and started in turn, each as another replica;
// some seconds later two other voters lose theirs while all processes stop. Cause: the voter that came back had no vote yet.
func TestVoterComesBackWhileInstancesWithoutADiskRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const catchUp = 6 * time.Second // the least that the platform allows a machine before others may be lost
		c := newCluster(t, 5)
		for i := 6; i <= 15; i++ {
			n := c.addNode(i, 1, 2, 3)
			n.settings.Ephemeral = true
		}
		for _, n := range c.nodes {
			n.settings.Voters = 5
		}
		c.startAll()
		defer c.stopAll()
		c.leader()
		c.eventually("all are members", func() bool { return len(c.status(c.leader()).Replicas) == 15 })
		defer c.commitSteadily()()
		back := c.nodes[4]
		c.stop(back)
		c.wipe(back)
		restart := func(from, rounds int) {
			for i := range rounds {
				n := c.nodes[5+(from+i)%10]
				c.stop(n)
				time.Sleep(200 * time.Millisecond)
				c.start(n)
				time.Sleep(200 * time.Millisecond)
			}
		}
		restart(0, 4)
		c.start(back)
		began := time.Now()
		for i := 4; time.Since(began) < catchUp; i++ {
			restart(i, 1)
		}
		require.NotZero(t, votes(c, back))
		require.Equal(t, 5, voters(c, c.leader()))
	})
}

// commitSteadily has instances 1.4 ms from each other, and commits some hundred commands a second until the result is called.
func (c *cluster) commitSteadily() (stop func()) {
	const (
		oneWay    = 1400 * time.Microsecond
		proposers = 8
		interval  = 20 * time.Millisecond
	)
	for _, a := range c.nodes {
		for _, b := range c.nodes {
			if a != b {
				c.net.Delay(a.host, b.host, oneWay)
			}
		}
	}
	ctx, cancel := context.WithCancel(c.ctx)
	var wg sync.WaitGroup
	for i := range proposers {
		s, end := c.client(fmt.Sprint("proposer-", i), fmt.Sprint("10.0.3.", i+1), wire.Role_ROLE_ENTRY, 1)
		wg.Go(func() {
			defer end()
			for sequence := uint64(1); ctx.Err() == nil; sequence++ {
				_, _ = s.Propose(ctx, &wire.Command{Kind: &wire.Command_MoveShares{MoveShares: &wire.MoveShares{
					Entry: fmt.Sprint("proposer-", i), Incarnation: 1, Sequence: sequence,
				}}})
				pause.For(ctx, interval+time.Duration(i)*time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		wg.Wait()
	}
}
