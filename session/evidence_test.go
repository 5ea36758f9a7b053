package session

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func rolloutUpdate(version uint64, rollouts ...*wire.Rollout) *wire.ConfigUpdate {
	return &wire.ConfigUpdate{Version: version, Base: version - 1, Rollouts: &wire.Rollouts{Rollouts: rollouts}}
}

// Guards against an entry that goes by an old verdict or forgets one: roll-outs are replaced whole by an update that has
// them, kept by one that has none, and an update of an older version changes nothing.
func TestRolloutsOfTheView(t *testing.T) {
	first := &wire.Rollout{Pool: "chat", To: "v2", Id: 11, State: wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS}
	v, err := newView().withConfig(&wire.ConfigUpdate{Version: 10, Full: true, Rollouts: &wire.Rollouts{Rollouts: []*wire.Rollout{first}}})
	require.NoError(t, err)
	require.Equal(t, []*wire.Rollout{first}, v.Rollouts)

	v, err = v.withConfig(configUpdate(11, 10, false, "a"))
	require.NoError(t, err)
	require.Equal(t, []*wire.Rollout{first}, v.Rollouts)

	ended := &wire.Rollout{Pool: "chat", To: "v2", Id: 11, State: wire.RolloutState_ROLLOUT_STATE_REVERTED}
	v, err = v.withConfig(rolloutUpdate(12, ended))
	require.NoError(t, err)
	older, err := v.withConfig(rolloutUpdate(11, first))
	require.NoError(t, err)
	require.Equal(t, []*wire.Rollout{ended}, older.Rollouts)

	full, err := v.withConfig(&wire.ConfigUpdate{Version: 13, Full: true, Rollouts: &wire.Rollouts{}})
	require.NoError(t, err)
	require.Empty(t, full.Rollouts)
}

// Guards against a leader that decides without the evidence of some entries: it must arrive whole and within a bounded time at
// every instance, so that the next leader has it too, and a poll without a roll-out must not carry any.
func TestEvidenceReachesEachInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var evidence atomic.Pointer[[]*wire.RolloutEvidence]
		evidence.Store(new([]*wire.RolloutEvidence))
		f := newFakeClusterWith(t, 3, func(c *Config) {
			c.Evidence = func() []*wire.RolloutEvidence { return *evidence.Load() }
		}, func(c *fakeControl) { c.leader = "control-2" })
		f.awaitReady()
		time.Sleep(10 * time.Second)
		for _, c := range f.controls {
			c.update(func(c *fakeControl) { require.Empty(t, c.evidence, "no roll-out is in progress") })
		}

		evidence.Store(&[]*wire.RolloutEvidence{{Pool: "chat", Id: 11, Counts: []*wire.RolloutCount{{Version: "v2", Answers: 3}}}})
		time.Sleep(10 * time.Second)
		for i, c := range f.controls {
			c.update(func(c *fakeControl) {
				last := c.evidence[len(c.evidence)-1].GetEvidence()
				require.Equal(t, uint64(3), last[0].GetCounts()[0].GetAnswers())
				if i == 1 {
					require.InDelta(t, 25, len(c.evidence), 6, "the leader gets it with the regular polls and in between")
				} else {
					require.InDelta(t, 10, len(c.evidence), 2, "the others with the regular polls")
				}
			})
		}

		evidence.Store(new([]*wire.RolloutEvidence))
		time.Sleep(time.Second)
		before := make([]int, len(f.controls))
		for i, c := range f.controls {
			c.update(func(c *fakeControl) { before[i] = len(c.evidence) })
		}
		time.Sleep(10 * time.Second)
		for i, c := range f.controls {
			c.update(func(c *fakeControl) { require.Len(t, c.evidence, before[i], "the roll-out is over") })
		}
	})
}
