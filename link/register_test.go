package link

import (
	"testing"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Symptom: the race detector reports the table of links, and an agent might read a torn one.
// Sequence: an agent's gate tells all entries of its room just when the agent begins to serve its links.
// Cause: Register made the table without the lock that readers hold. It shows under -race.
func TestBroadcastWhileRegistering(t *testing.T) {
	s := &EntryServer{}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 1000 {
			s.Broadcast(&wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: new(wire.Room)}})
		}
	}()
	require.NoError(t, s.Register(drpcmux.New()))
	<-done
	require.Empty(t, s.Entries())
}
