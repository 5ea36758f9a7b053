package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against a flood of polls that keeps replicas from electing a leader for 15 s or more after a power loss.
// Hundreds of processes start before there is a leader. If an instance answered unconfirmed at once, each answer would
// trigger another poll beside the periodic ones, so the number of polls would grow every second.
func TestStartingProcessesDoNotFloodLeaderlessInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		defer c.stopAll()
		c.start(c.instances[0])
		s, stop := c.client("entry-1", "10.0.1.1", wire.Role_ROLE_ENTRY, 1)
		defer stop()
		time.Sleep(time.Second)
		before := s.RequestCount()
		const span = 10 * time.Second
		time.Sleep(span)
		// A poll is held for half a second, and one is sent every second.
		require.LessOrEqual(t, s.RequestCount()-before, uint64(3*span/time.Second))
		c.start(c.instances[1])
		c.start(c.instances[2])
		c.leader()
		c.eventually("the entry is ready", func() bool { return s.Ready() == nil })
	})
}
