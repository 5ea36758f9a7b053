package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/session"
)

// Symptom: two engines run one request. Sequence: control ends an entry that is cut off from it but not from the agents;
// its request is taken over; an agent restarts; the ended entry links to it and dispatches. Cause: an agent that starts
// knows of no ended entries and took any for a living one. Found by the specification (docs/SPEC.md, ended_at_restart).
func TestRestartedAgentRefusesEndedEntry(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		w.startEngine(slowModel())
		w.waitReady()
		ended := w.startEntry("10.0.1.9", "ended")
		w.waitUntil("the entry is linked", func() bool { n, _ := ended.links(); return n == 1 })
		w.control.setView(&session.View{ConfigVersion: 2, Fence: 5})
		w.killAgent()
		w.startAgent()
		w.waitReady()
		time.Sleep(10 * time.Second)
		n, _ := ended.links()
		require.Equal(t, 1, n, "the restarted agent let the ended entry in")
		w.control.addEntry("ended", 1)
		w.waitUntil("a listed entry is linked", func() bool { n, _ := ended.links(); return n == 2 })
	})
}
