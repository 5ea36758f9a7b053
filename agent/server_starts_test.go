package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// announcementStartedAt returns an announcement of one start of the followed server. All starts have the same ID.
func announcementStartedAt(started uint64) *wire.Announcement {
	a := newAnnouncement("m1", "models", followedAddress)
	a.StartedUnixMs = started
	return a
}

// Non-repeatable work must not run twice after a crash of its server. A later start of the server under the same ID
// knows nothing of the attempt; only what is known of the start that the attempt was sent to proves its outcome.
func TestLaterStartProvesNothingAboutEarlierStart(t *testing.T) {
	withEnv(t, func(env *testEnv) {
		env.startFollowingAgent()
		env.control.setView(followView(2, announcementStartedAt(200)))
		env.waitUntil("the server is ready", func() bool { return len(env.control.registered()) == 1 })
		entry := env.startEntry(entryHost, "entry-1")
		entry.awaitRoom("m1@200")
		entry.cancelAt("m1@100", "r1", 1)
		time.Sleep(5 * time.Second)
		if over := entry.over("r1", 1); over != nil {
			require.Equal(t, wire.Proof_PROOF_UNPROVEN, over.GetProof())
		}
		entry.cancelAt("m1@200", "r2", 1)
		require.NotEqual(t, wire.Proof_PROOF_UNPROVEN, entry.awaitOver("r2", 1).GetProof(), "the server knows about its own attempts")
	})
}

// A later start of a server under the same ID must not inherit the state of the earlier one: its condition, pace,
// slots and leave. Otherwise a new process drains or gets work late.
func TestLaterStartHasFreshState(t *testing.T) {
	drainingAnnouncement := announcementStartedAt(100)
	drainingAnnouncement.Draining = true
	for name, before := range map[string][]*session.View{
		"crashed":                  {followView(2, announcementStartedAt(100))},
		"drained":                  {followView(2, announcementStartedAt(100)), followView(3, drainingAnnouncement)},
		"ended":                    {followView(2, announcementStartedAt(100)), followView(3)},
		"twice within a heartbeat": {followView(2, announcementStartedAt(100)), followView(3, announcementStartedAt(150))},
	} {
		t.Run(name, func(t *testing.T) {
			withEnv(t, func(env *testEnv) {
				env.startFollowingAgent()
				for _, view := range before {
					env.control.setView(view)
					time.Sleep(10 * time.Millisecond)
				}
				env.control.setView(followView(9, announcementStartedAt(200)))
				env.waitUntil("only the later start is ready", func() bool {
					ready := 0
					for _, record := range env.control.registered() {
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
