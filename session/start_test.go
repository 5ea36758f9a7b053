package session

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Symptom: service is back a second later than it could be after all processes died. Sequence: a process starts during the
// election and polls; no instance can confirm; the next poll is due a second later. Cause: a process that serves nobody
// yet and polls as seldom as one that does.
func TestStartingProcessAsksAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes(t, 3, asEntry, func(c *fakeControl) { c.confirmed = false })
		time.Sleep(500 * time.Millisecond)
		for _, c := range f.controls {
			c.set(func(c *fakeControl) { c.confirmed = true })
		}
		began := time.Now()
		f.ready()
		require.Less(t, time.Since(began), DefaultPollInterval/2)
	})
}

// Symptom: an entry beside a control instance that is cut off with it admits a whole cap once more. Sequence: both are cut
// off; that instance, which hears of nobody else, says that nobody uses the cap. Cause: the word of an instance that no
// quorum confirms.
func TestOnlyConfirmedInstancesTellOfUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes(t, 1, asEntry)
		var heard atomic.Int32
		f.session.cfg.Incarnation = f.session.listed()
		f.session.cfg.OnCaps = func([]*wire.CapState) { heard.Add(1) }
		var asked atomic.Int64
		f.session.cfg.OnConfirmed = func(at time.Duration) { asked.Store(int64(at)) }
		f.ready()
		answer := func(confirmed bool) {
			id := f.session.ids.Add(1)
			p := f.session.all()[0]
			p.mu.Lock()
			p.sent[id] = pollTime{time.Now(), time.Duration(id)}
			p.mu.Unlock()
			require.NoError(t, p.fresh(&wire.Fresh{
				Sequence: id, Confirmed: confirmed, Caps: []*wire.CapState{{Organisation: "org"}},
			}))
		}
		heard.Store(0)
		asked.Store(0)
		answer(false)
		require.Zero(t, heard.Load())
		require.Zero(t, asked.Load(), "no lease is renewed by it")
		answer(true)
		require.EqualValues(t, 1, heard.Load())
		require.EqualValues(t, f.session.ids.Load(), asked.Load(), "a lease counts from when it was asked for")
	})
}

// Symptom: entries run an attempt a second time while an engine still works on the first. Sequence: an agent restarts and
// needs its session to learn which server is beside it; it registers with the first poll. Cause: a registration that
// shows the new incarnation before its engine was proved free.
func TestRegistrationWaitsForItsRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		released := make(chan struct{})
		f := newFakes(t, 1, asEntry)
		held := New(Config{
			Instance: "held", Role: wire.Role_ROLE_AGENT, Incarnation: 9, Controls: []string{f.controls[0].host + ":7000"},
			Network: f.net.Host("10.0.1.2"), RegisterAfter: released,
		})
		done := make(chan error, 1)
		go func() { done <- held.Run(t.Context()) }()
		isAgent := func(cmd *wire.Command) bool { return cmd.GetRegisterAgent() != nil }
		time.Sleep(10 * time.Second)
		require.Zero(t, f.controls[0].count(isAgent))
		require.NotNil(t, held.Ready())
		close(released)
		f.eventually("registered", func() bool { return f.controls[0].count(isAgent) == 1 && held.Ready() == nil })
	})
}
