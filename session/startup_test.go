package session

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against a start that takes a second longer than needed after all processes failed. A process that polls during the
// election gets no confirmation, and must not wait a whole poll interval for its next poll.
func TestUnconfirmedProcessPollsAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(t, 3, roleEntry, func(c *fakeControl) { c.confirmed = false })
		time.Sleep(500 * time.Millisecond)
		for _, c := range f.controls {
			c.update(func(c *fakeControl) { c.confirmed = true })
		}
		began := time.Now()
		f.awaitReady()
		require.Less(t, time.Since(began), DefaultPollInterval/2)
	})
}

// Guards against an entry that admits a whole cap a second time during a partition. A control instance that is cut off
// together with the entry receives the usage of no other entry, so its cap states must not count without a quorum.
func TestUnconfirmedAnswersDoNotUpdateCaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(t, 1, roleEntry)
		var capsCalls atomic.Int32
		f.session.cfg.Incarnation = f.session.listedIncarnation()
		f.session.cfg.OnCaps = func([]*wire.CapState) { capsCalls.Add(1) }
		var confirmedAt atomic.Int64
		f.session.cfg.OnConfirmed = func(at time.Duration) { confirmedAt.Store(int64(at)) }
		f.awaitReady()
		answer := func(confirmed bool) {
			id := f.session.ids.Add(1)
			p := f.session.knownPeers()[0]
			p.mu.Lock()
			p.pendingPolls[id] = pollTime{time.Now(), time.Duration(id)}
			p.mu.Unlock()
			require.NoError(t, p.handleFresh(&wire.Fresh{
				Sequence: id, Confirmed: confirmed, Caps: []*wire.CapState{{Organisation: "org"}},
			}))
		}
		capsCalls.Store(0)
		confirmedAt.Store(0)
		answer(false)
		require.Zero(t, capsCalls.Load())
		require.Zero(t, confirmedAt.Load(), "an unconfirmed answer must not renew a lease")
		answer(true)
		require.EqualValues(t, 1, capsCalls.Load())
		require.EqualValues(t, f.session.ids.Load(), confirmedAt.Load(), "a lease must count from when its poll was sent")
	})
}

// Guards against entries that run an attempt again while an engine still works on the first. A restarted agent needs its
// session to learn which server is beside it; it must not register the new incarnation before the engine is proved free.
func TestRegistrationWaitsForRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		released := make(chan struct{})
		f := newFakeCluster(t, 1, roleEntry)
		agent := New(Config{
			Instance: "held", Role: wire.Role_ROLE_AGENT, Incarnation: 9, Controls: []string{f.controls[0].host + ":7000"},
			Network: f.network.Host("10.0.1.2"), RegisterAfter: released,
		})
		done := make(chan error, 1)
		go func() { done <- agent.Run(t.Context()) }()
		isAgent := func(cmd *wire.Command) bool { return cmd.GetRegisterAgent() != nil }
		time.Sleep(10 * time.Second)
		require.Zero(t, f.controls[0].countProposals(isAgent))
		require.NotNil(t, agent.Ready())
		close(released)
		f.eventually("registered", func() bool { return f.controls[0].countProposals(isAgent) == 1 && agent.Ready() == nil })
	})
}
