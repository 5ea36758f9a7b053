package entry

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against an entry that reads requests which it can't serve in time, and against one that turns callers away because
// of a burst or a moment in which its process stood still.
func TestCongestionIsAStandingQueue(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	var c congestion
	inputs := func(n int, every, waited time.Duration) {
		for range n {
			now = now.Add(every)
			c.observe(now, waited)
		}
	}
	inputs(100, 10*time.Millisecond, time.Millisecond)
	require.False(t, c.isCongested(now))
	now = now.Add(3 * time.Second)
	inputs(20, time.Microsecond, 3*time.Second)
	require.False(t, c.isCongested(now), "it stood still")
	inputs(30, 10*time.Millisecond, time.Millisecond)
	require.False(t, c.isCongested(now))
	inputs(70, 10*time.Millisecond, 2*congestionLag)
	require.True(t, c.isCongested(now))
	inputs(100, 10*time.Millisecond, 0)
	require.False(t, c.isCongested(now))
	inputs(3, 250*time.Millisecond, 2*congestionLag)
	require.False(t, c.isCongested(now), "few inputs say nothing")
}

// Guards against connections that a congested entry accepts, and against ones that it turns away when it isn't.
func TestCongestedEntryTurnsConnectionsAway(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	turned, asked := 0, 0
	turning := turningListener{
		Listener: listener,
		turnsAway: func() turnAwayReason {
			if asked++; asked <= 2 {
				return turnAwayProcessor
			}
			return ""
		},
		turnedAway: func(turnAwayReason) { turned++ },
	}
	var conns []net.Conn
	for range 3 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)
		defer conn.Close()
		conns = append(conns, conn)
	}
	accepted, err := turning.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	require.Equal(t, 2, turned)
	require.Equal(t, conns[2].LocalAddr().String(), accepted.RemoteAddr().String())
	_, err = conns[0].Read(make([]byte, 1))
	require.Error(t, err, "the caller learns at once")
}

// Guards against an entry that limits new connections long after its scheduler was congested: those that were turned away for that
// are never read, and must not count as waiting for the processor.
func TestConnectionsTurnedAwayByTheSchedulerDontWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.control.mu.Lock()
		h.control.view.Entries["entry-2"], h.control.view.Entries["entry-3"] = &wire.EntryRecord{}, &wire.EntryRecord{}
		h.control.mu.Unlock()
		e := h.entries[0]
		e.congestion.until.Store(time.Now().Add(time.Minute).UnixNano())
		for range 2 * intakeSamples {
			require.Equal(t, turnAwayScheduler, e.turnsAway())
		}
		require.Zero(t, e.intake.unread)
	})
}
