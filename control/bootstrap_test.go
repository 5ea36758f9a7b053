package control_test

import (
	"testing"
	"testing/synctest"
)

// Guards against a new group of three that never elects a leader. One instance saw that the others' disks were empty
// and started the group. The others then learn that it has a group before they have heard from each other, and must not
// wait to be added to it, since no leader can be elected without them.
func TestFirstVotersJoinGroupStartedByPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		first, second, third := c.instances[0], c.instances[1], c.instances[2]
		c.net.Cut(first.host, second.host)
		c.startAll()
		c.eventually("the third instance knows three replicas", func() bool { return c.status(third).Replicas != nil && len(c.status(third).Replicas) == 3 })
		c.stopAll()
		c.net.Heal(first.host, second.host)
		c.startAll()
		c.leader()
		c.stopAll()
	})
}
