package control_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/quorum/journal/journaltest"
	"github.com/carawaypitch/carawaypitch/wire"
)

// newClusterOfSixDisks returns a running cluster of six instances with a disk, of which five vote. The first three
// bootstrap the group.
func newClusterOfSixDisks(t *testing.T) *cluster {
	c := newCluster(t, 3)
	for _, n := range c.instances {
		n.settings.Voters = 5
	}
	c.startAll()
	for i := 4; i <= 6; i++ {
		n := c.addAndStart(i, 1, 2, 3)
		n.settings.Voters = 5
	}
	// The wanted number of voters is that in the leader's settings, so each instance must be restarted with it.
	for _, n := range c.instances[3:] {
		c.stop(n)
		c.start(n)
	}
	c.eventually("five replicas vote", func() bool { return countVoters(c, c.leader()) == 5 })
	return c
}

func countVoters(c *cluster, n *instance) int {
	count := 0
	for _, r := range c.status(n).Replicas {
		if r.Voter {
			count++
		}
	}
	return count
}

// wipe replaces the disk of an instance by an empty one.
func (c *cluster) wipe(n *instance) {
	n.settings.Bootstrap = false
	n.fs = journaltest.New()
}

// Guards against a group that is lost with two disks. The leader and another voter lose their disks, while the other
// instances run on or stop too. Of three voters the one that is left could neither be elected nor know which
// acknowledged changes it lacks.
func TestTwoLostDisksOfFiveVoters(t *testing.T) {
	for name, stopOthers := range map[string]bool{"the other instances keep running": false, "the other instances stop too": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newClusterOfSixDisks(t)
				defer c.stopAll()
				leader := c.leader()
				require.NoError(t, leader.control.PutDesired(t.Context(), testDesired(7)))
				lost := []*instance{leader}
				for _, n := range c.instances {
					if n != leader && votersSeenByVoter(c, n) > 0 && len(lost) < 2 {
						lost = append(lost, n)
					}
				}
				if stopOthers {
					c.stopAll()
				}
				for _, n := range lost {
					if n.control != nil {
						c.stop(n)
					}
					c.wipe(n)
				}
				for _, n := range c.instances {
					if n.control == nil {
						c.start(n)
					}
				}
				for _, n := range c.instances {
					c.eventually("the acknowledged state can be read", func() bool {
						desired, err := n.control.Desired(t.Context())
						return err == nil && desired.GetVersion() == 7
					})
				}
				c.eventually("five replicas vote again", func() bool { return countVoters(c, c.leader()) == 5 })
			})
		})
	}
}

// Guards against a group that is lost with two disks because it had four voters for a while: a silent voter was removed before its
// replacement had its vote, and the other instances stopped in between.
func TestTwoLostDisksAfterDrawnStops(t *testing.T) {
	const longestPause = 4 * time.Second // longer than the silence after which a voter is replaced
	seeds := uint64(60)
	if text := os.Getenv("CARAWAYPITCH_VOTER_STOPS"); text != "" {
		var err error
		seeds, err = strconv.ParseUint(text, 10, 64)
		require.NoError(t, err)
	}
	for seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				c := newClusterOfSixDisks(t)
				defer c.stopAll()
				leader := c.leader()
				require.NoError(t, leader.control.PutDesired(t.Context(), testDesired(7)))
				lost := []*instance{leader}
				for _, n := range c.instances {
					if n != leader && votersSeenByVoter(c, n) > 0 && len(lost) < 2 {
						lost = append(lost, n)
					}
				}
				for _, i := range random.Perm(len(c.instances)) {
					time.Sleep(time.Duration(random.Int64N(int64(longestPause))))
					c.stop(c.instances[i])
				}
				for _, n := range lost {
					c.wipe(n)
				}
				c.startAll()
				for _, n := range c.instances {
					c.eventually("the acknowledged state can be read", func() bool {
						desired, err := n.control.Desired(t.Context())
						return err == nil && desired.GetVersion() == 7
					})
				}
				c.eventually("five replicas vote again", func() bool { return countVoters(c, c.leader()) == 5 })
			})
		})
	}
}

// Guards against votes of instances without a disk, which cannot keep what they acknowledge: a change would be lost
// with the restart of two processes. The settings name such an instance as a replica.
func TestInstanceWithoutDiskNeverVotes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		for _, n := range c.instances {
			n.settings.Voters = 3
		}
		c.instances[2].settings.Ephemeral = true
		c.startAll()
		defer c.stopAll()
		c.leader()
		c.addAndStart(4, 3) // knows only the one without a disk
		ephemeral := c.instances[2]
		c.eventually("all instances with a disk vote", func() bool { return countVoters(c, c.leader()) == 3 })
		require.Zero(t, votersSeenByVoter(c, ephemeral))
		require.NoError(t, ephemeral.control.PutDesired(t.Context(), testDesired(2)), "the instance accepts operators' changes")
		time.Sleep(time.Minute)
		require.Zero(t, votersSeenByVoter(c, ephemeral))
		c.stop(c.instances[0])
		time.Sleep(time.Minute)
		require.Zero(t, votersSeenByVoter(c, ephemeral), "the instance does not replace a silent voter")
	})
}

// Guards against a group that fills up with learners of an instance without a disk, which gets a new identity at each
// restart. These learners do not count as silent, since their instance is in contact, and no replacement of a voter
// could join.
func TestEarlierLearnersOfAnInstanceAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		ephemeral := c.addAndStart(4, 1)
		c.stop(ephemeral)
		ephemeral.settings.Ephemeral = true
		for range 20 {
			ephemeral.fs = journaltest.New()
			c.start(ephemeral)
			c.eventually("the instance is ready", func() bool { return ephemeral.control.Ready() == nil })
			c.stop(ephemeral)
		}
		c.start(ephemeral)
		c.eventually("the instance is ready", func() bool { return ephemeral.control.Ready() == nil })
		c.eventually("the group has one member for each instance", func() bool {
			return len(c.status(c.leader()).Replicas) == len(c.instances)
		})
	})
}

// Guards against learners without a disk that fill the group and keep out a machine with a disk that replaces a lost
// voter.
func TestInstanceWithDiskReplacesLearnerWithoutDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		for _, n := range c.instances {
			n.settings.Voters = 5
		}
		c.startAll()
		defer c.stopAll()
		c.leader()
		const bound = 16
		for i := 4; i <= bound+2; i++ {
			n := c.addInstance(i, 1, 2, 3)
			n.settings.Ephemeral = true
			c.start(n)
		}
		c.eventually("the group is full", func() bool { return len(c.status(c.leader()).Replicas) == bound })
		for i := bound + 3; i <= bound+4; i++ {
			c.addAndStart(i, 1, 2, 3)
		}
		c.eventually("all instances with a disk vote", func() bool { return countVoters(c, c.leader()) == 5 })
		require.LessOrEqual(t, len(c.status(c.leader()).Replicas), bound)
	})
}

// Guards against a voter that returns with an empty disk and gets no vote for some seconds, while instances without a
// disk restart in turn, each as a new replica. If two more disks are lost then, a group of five cannot recover.
func TestWipedVoterRegainsVoteDuringRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const catchUp = 6 * time.Second // least time that the platform gives a machine before others may be lost
		c := newCluster(t, 5)
		for i := 6; i <= 15; i++ {
			n := c.addInstance(i, 1, 2, 3)
			n.settings.Ephemeral = true
		}
		for _, n := range c.instances {
			n.settings.Voters = 5
		}
		c.startAll()
		defer c.stopAll()
		c.leader()
		c.eventually("all instances are members", func() bool { return len(c.status(c.leader()).Replicas) == 15 })
		defer c.startCommitLoad()()
		returning := c.instances[4]
		c.stop(returning)
		c.wipe(returning)
		restart := func(from, rounds int) {
			for i := range rounds {
				n := c.instances[5+(from+i)%10]
				c.stop(n)
				time.Sleep(200 * time.Millisecond)
				c.start(n)
				time.Sleep(200 * time.Millisecond)
			}
		}
		restart(0, 4)
		c.start(returning)
		began := time.Now()
		for i := 4; time.Since(began) < catchUp; i++ {
			restart(i, 1)
		}
		require.NotZero(t, votersSeenByVoter(c, returning))
		require.Equal(t, 5, countVoters(c, c.leader()))
	})
}

// startCommitLoad delays messages between instances by 1.4 ms, and commits some hundred commands a second until stop is
// called.
func (c *cluster) startCommitLoad() (stop func()) {
	const (
		oneWay    = 1400 * time.Microsecond
		proposers = 8
		interval  = 20 * time.Millisecond
	)
	for _, a := range c.instances {
		for _, b := range c.instances {
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
