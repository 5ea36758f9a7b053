package session

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// namedCandidates returns size control instances whose names are known.
func namedCandidates(size int) []candidate {
	all := make([]candidate, size)
	for i := range all {
		all[i] = candidate{address: fmt.Sprint("10.0.0.", i), name: fmt.Sprint("control-", i)}
	}
	return all
}

func countTrue(chosen []bool) int {
	n := 0
	for _, one := range chosen {
		if one {
			n++
		}
	}
	return n
}

func TestLinksToAllOfFewInstances(t *testing.T) {
	require.Equal(t, linkAllMaxInstances, countTrue(chooseLinks("me", "control-1", true, namedCandidates(linkAllMaxInstances))))
}

// Guards against a link from each process to each instance: with 285 processes and 15 control instances, each change of the
// directory would be sent 4,275 times, and all processes would be busy with polls.
func TestLinksToManyInstancesAreBoundedAndSpread(t *testing.T) {
	const processes, size = 285, 15
	links := make([]int, size)
	for i := range processes {
		chosen := chooseLinks(fmt.Sprint("process-", i), "control-3", true, namedCandidates(size))
		require.True(t, chosen[3], "the leader")
		require.Equal(t, 1+additionalLinks, countTrue(chosen))
		for j, one := range chosen {
			if one {
				links[j]++
			}
		}
	}
	mean := processes * additionalLinks / (size - 1)
	for j, n := range links {
		if j != 3 {
			require.Greater(t, n, mean/2)
			require.Less(t, n, 2*mean)
		}
	}
}

func TestLinksToAllInstancesWhileUnconfirmed(t *testing.T) {
	require.Equal(t, 15, countTrue(chooseLinks("me", "control-3", false, namedCandidates(15))))
}

func TestUnknownLeaderAddressLinksToUnnamedInstances(t *testing.T) {
	all := namedCandidates(15)
	for i := 3; i < 15; i++ {
		all[i].name = ""
	}
	require.GreaterOrEqual(t, countTrue(chooseLinks("me", "control-12", true, all)), 12)
}

func TestRecentlyFailedInstancesAreSkipped(t *testing.T) {
	all := namedCandidates(15)
	before := chooseLinks("me", "control-3", true, all)
	for i, chosen := range before {
		all[i].failing = chosen && i != 3
	}
	after := chooseLinks("me", "control-3", true, all)
	require.Equal(t, 1+additionalLinks, countTrue(after))
	for i, chosen := range after {
		require.False(t, chosen && all[i].failing)
	}
}

// Guards against a process that receives no more changes after the few control instances it has links to are cut off, or
// after another instance becomes the leader. It must then link to other instances.
func TestLinksFollowLeaderChangeAndPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 9
		lead := func(f *fakeCluster, name string) {
			for _, c := range f.controls {
				c.update(func(c *fakeControl) { c.leader = name })
			}
		}
		f := newFakeCluster(t, size, roleEntry, func(c *fakeControl) { c.leader = "control-1" })
		up := func() (names []string) {
			for _, p := range f.session.knownPeers() {
				if p.isConnected() {
					names = append(names, p.name())
				}
			}
			return names
		}
		f.awaitReady()
		f.eventually("few links", func() bool { return len(up()) == 1+additionalLinks })
		require.Contains(t, up(), "control-1")
		lead(f, "control-8")
		f.eventually("a link to the new leader", func() bool {
			names := up()
			return len(names) == 1+additionalLinks && containsAll(names, "control-8")
		})
		linked := up()
		for _, c := range f.controls {
			if containsAll(linked, c.name) {
				f.network.Cut(clientHost, c.host)
			}
		}
		lead(f, "")
		time.Sleep(5 * DefaultPollInterval)
		require.NoError(t, f.session.CutOff(), "the other instances confirm")
		require.NotEmpty(t, up())
		require.False(t, containsAll(up(), linked...))
	})
}

func containsAll(names []string, wanted ...string) bool {
	held := make(map[string]bool)
	for _, name := range names {
		held[name] = true
	}
	for _, name := range wanted {
		if !held[name] {
			return false
		}
	}
	return true
}
