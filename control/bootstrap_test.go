package control_test

import (
	"testing"
	"testing/synctest"
)

// Symptom: at the first start of three instances none ever leads; one is a candidate for good. Sequence: it heard that
// the disks of the others were empty and began the group; they hear that it has a group before they heard of each
// other, or are restarted in between. Cause: they took it for a group that they had to be added to, which takes a
// leader, whom nobody can elect without them.
func TestFirstVotersBeginTheGroupThatAPeerBegan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheck())
		first, second, third := c.nodes[0], c.nodes[1], c.nodes[2]
		c.net.Cut(first.host, second.host)
		c.startAll()
		c.eventually("the third begins the group", func() bool { return c.status(third).Replicas != nil && len(c.status(third).Replicas) == 3 })
		c.stopAll()
		c.net.Heal(first.host, second.host)
		c.startAll()
		c.leader()
		c.stopAll()
	})
}
