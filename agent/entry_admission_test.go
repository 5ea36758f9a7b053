package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/session"
)

// A restarted agent knows of no ended entries, so it must accept only those in the directory. An entry that was cut
// off from control, removed and replaced could otherwise dispatch a request that was taken over, and two engines would
// run it.
func TestRestartedAgentRefusesEndedEntry(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startAgent()
		env.startEngine(slowModel())
		env.waitReady()
		ended := env.startEntry("10.0.1.9", "ended")
		env.waitUntil("the entry is linked", func() bool { n, _ := ended.links(); return n == 1 })
		env.control.setView(&session.View{ConfigVersion: 2, Fence: 5})
		env.killAgent()
		env.startAgent()
		env.waitReady()
		time.Sleep(10 * time.Second)
		n, _ := ended.links()
		require.Equal(t, 1, n, "the restarted agent accepted the ended entry")
		env.control.addEntry("ended", 1)
		env.waitUntil("a listed entry is linked", func() bool { n, _ := ended.links(); return n == 2 })
	})
}
