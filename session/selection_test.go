package session

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// instances are so many control instances that have said hello.
func instances(size int) []candidate {
	all := make([]candidate, size)
	for i := range all {
		all[i] = candidate{address: fmt.Sprint("10.0.0.", i), name: fmt.Sprint("control-", i)}
	}
	return all
}

func count(chosen []bool) int {
	n := 0
	for _, one := range chosen {
		if one {
			n++
		}
	}
	return n
}

func TestFewInstancesAreAllLinked(t *testing.T) {
	require.Equal(t, linkAllUpTo, count(chooseLinks("me", "control-1", true, instances(linkAllUpTo))))
}

// Symptom: control and all processes spend their time on polls, and each change of the directory goes out 4,275 times. Sequence:
// 285 processes and 15 control instances. Cause: a link from each process to each instance.
func TestLinksToManyInstancesAreBoundedAndSpread(t *testing.T) {
	const processes, size = 285, 15
	links := make([]int, size)
	for i := range processes {
		chosen := chooseLinks(fmt.Sprint("process-", i), "control-3", true, instances(size))
		require.True(t, chosen[3], "the leader")
		require.Equal(t, 1+linksBeside, count(chosen))
		for j, one := range chosen {
			if one {
				links[j]++
			}
		}
	}
	mean := processes * linksBeside / (size - 1)
	for j, n := range links {
		if j != 3 {
			require.Greater(t, n, mean/2)
			require.Less(t, n, 2*mean)
		}
	}
}

func TestWithoutAConfirmationAllAreLinked(t *testing.T) {
	require.Equal(t, 15, count(chooseLinks("me", "control-3", false, instances(15))))
}

func TestALeaderWhoseAddressIsNotKnownIsLookedFor(t *testing.T) {
	all := instances(15)
	for i := 3; i < 15; i++ {
		all[i].name = ""
	}
	require.GreaterOrEqual(t, count(chooseLinks("me", "control-12", true, all)), 12)
}

func TestFailingInstancesArePassedOver(t *testing.T) {
	all := instances(15)
	before := chooseLinks("me", "control-3", true, all)
	for i, chosen := range before {
		all[i].failing = chosen && i != 3
	}
	after := chooseLinks("me", "control-3", true, all)
	require.Equal(t, 1+linksBeside, count(after))
	for i, chosen := range after {
		require.False(t, chosen && all[i].failing)
	}
}

// Symptom: a process hears of no change any more. Sequence: the few control instances that it has links to are cut off, or one
// that leads is replaced by another. Cause: no look beyond the few.
func TestLinksFollowTheLeaderAndACut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 9
		lead := func(f *fakes, name string) {
			for _, c := range f.controls {
				c.set(func(c *fakeControl) { c.leader = name })
			}
		}
		f := newFakes(t, size, asEntry, func(c *fakeControl) { c.leader = "control-1" })
		up := func() (names []string) {
			for _, p := range f.session.all() {
				if p.isUp() {
					names = append(names, p.name())
				}
			}
			return names
		}
		f.ready()
		f.eventually("few links", func() bool { return len(up()) == 1+linksBeside })
		require.Contains(t, up(), "control-1")
		lead(f, "control-8")
		f.eventually("a link to the new leader", func() bool {
			names := up()
			return len(names) == 1+linksBeside && containsAll(names, "control-8")
		})
		linked := up()
		for _, c := range f.controls {
			if containsAll(linked, c.name) {
				f.net.Cut(clientHost, c.host)
			}
		}
		lead(f, "")
		time.Sleep(5 * DefaultPollInterval)
		require.NoError(t, f.session.CutOff(), "the others confirm")
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
