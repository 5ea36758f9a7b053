package link

import (
	"testing"

	"github.com/stretchr/testify/require"
	"storj.io/drpc/drpcmux"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against a data race on the table of links, which the race detector reports: the gate of an agent broadcasts its
// room to all entries while Register creates the table, which must happen under the lock that readers hold.
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
