package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// announcementStartedAt is an announcement of one start of the followed server, which keeps its id.
func announcementStartedAt(started uint64) *wire.Announcement {
	a := newAnnouncement("m1", "models", followedAddress)
	a.StartedUnixMs = started
	return a
}

// Symptom: work that may run once runs twice. Sequence: an attempt was sent to a server, and its answer lost; the server crashes
// and starts again under its id; the agent restarts too, and asks the server, which knows nothing of the attempt. Cause: the
// later start's ignorance taken for a proof that the earlier one ran nothing. An attempt is at one start of a server, and only
// what is known of that one says what became of it.
func TestLaterStartProvesNothingAboutEarlierStart(t *testing.T) {
	withEnv(t, func(w *testEnv) {
		w.startFollowingAgent()
		w.control.setView(followView(2, announcementStartedAt(200)))
		w.waitUntil("ready", func() bool { return len(w.control.registered()) == 1 })
		entry := w.startEntry(entryHost, "entry-1")
		entry.awaitRoom("m1@200")
		entry.cancelAt("m1@100", "r1", 1)
		time.Sleep(5 * time.Second)
		if over := entry.over("r1", 1); over != nil {
			require.Equal(t, wire.Proof_PROOF_UNPROVEN, over.GetProof())
		}
		entry.cancelAt("m1@200", "r2", 1)
		require.NotEqual(t, wire.Proof_PROOF_UNPROVEN, entry.awaitOver("r2", 1).GetProof(), "of its own attempts it can tell")
	})
}

// Symptom: a server that has just started drains, or is slow to get work. Sequence: it starts again under its id, at once, after a
// drain, or twice within a heartbeat; what was known of the start before is taken for its own. Cause: what an agent keeps of a
// server kept by its id: its condition, its pace, its places and that it leaves.
func TestLaterStartHasFreshState(t *testing.T) {
	drains := announcementStartedAt(100)
	drains.Draining = true
	for name, before := range map[string][]*session.View{
		"crashed":                  {followView(2, announcementStartedAt(100))},
		"drained":                  {followView(2, announcementStartedAt(100)), followView(3, drains)},
		"ended":                    {followView(2, announcementStartedAt(100)), followView(3)},
		"twice within a heartbeat": {followView(2, announcementStartedAt(100)), followView(3, announcementStartedAt(150))},
	} {
		t.Run(name, func(t *testing.T) {
			withEnv(t, func(w *testEnv) {
				w.startFollowingAgent()
				for _, view := range before {
					w.control.setView(view)
					time.Sleep(10 * time.Millisecond)
				}
				w.control.setView(followView(9, announcementStartedAt(200)))
				w.waitUntil("the later start is ready, and nothing else", func() bool {
					ready := 0
					for _, record := range w.control.registered() {
						isReady := record.GetCondition() == wire.ServerCondition_SERVER_CONDITION_READY
						if isReady && record.GetServer() != "m1@200" {
							return false
						}
						if isReady {
							ready++
						}
					}
					return ready == 1
				})
			})
		})
	}
}
