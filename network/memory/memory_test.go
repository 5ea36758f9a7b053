package memory

import (
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	hostA = "10.0.0.1"
	hostB = "10.0.0.2"
)

// connectPair returns the two ends of a connection from hostA to hostB; near is that of hostA.
func connectPair(t *testing.T, n *Network) (near, far net.Conn) {
	t.Helper()
	l, err := n.Host(hostB).Listen(hostB + ":0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	accepted := make(chan net.Conn)
	go func() {
		conn, _ := l.Accept()
		accepted <- conn
	}()
	near, err = n.Host(hostA).Dial(context.Background(), l.Addr().String())
	require.NoError(t, err)
	far = <-accepted
	t.Cleanup(func() { near.Close(); far.Close() })
	return near, far
}

// Guards against a partition that shows as an error, or that loses bytes or the end of the stream: real TCP holds them
// back until the network recovers.
func TestCutHoldsBytesUntilHealed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		near, far := connectPair(t, n)
		n.Cut(hostA, hostB)
		_, err := near.Write([]byte("hello"))
		require.NoError(t, err, "a write to a cut route must not fail")
		near.Close()

		require.NoError(t, far.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err = far.Read(make([]byte, 8))
		var timeout net.Error
		require.ErrorAs(t, err, &timeout)
		require.True(t, timeout.Timeout())

		n.Heal(hostA, hostB)
		require.NoError(t, far.SetReadDeadline(time.Time{}))
		data, err := io.ReadAll(far)
		require.NoError(t, err)
		require.Equal(t, "hello", string(data))
	})
}

// Guards against dials that fail in another way than over TCP: refused without a listener, timed out when cut.
func TestDialFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		l, err := n.Host(hostB).Listen(hostB + ":0")
		require.NoError(t, err)
		n.Refuse(hostB, true)
		_, err = n.Host(hostA).Dial(context.Background(), l.Addr().String())
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
		n.Refuse(hostB, false)

		n.Cut(hostA, hostB)
		_, err = n.Host(hostA).Dial(context.Background(), l.Addr().String())
		require.ErrorIs(t, err, context.DeadlineExceeded)
		n.Heal(hostA, hostB)

		require.NoError(t, l.Close())
		_, err = n.Host(hostA).Dial(context.Background(), l.Addr().String())
		require.ErrorIs(t, err, syscall.ECONNREFUSED)
	})
}

// Guards against reordered bytes: a write without delay must not arrive before an earlier, delayed one.
func TestDelayKeepsOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		near, far := connectPair(t, n)
		n.Delay(hostA, hostB, time.Second)
		start := time.Now()
		_, err := near.Write([]byte("a"))
		require.NoError(t, err)
		n.Heal(hostA, hostB)
		_, err = near.Write([]byte("b"))
		require.NoError(t, err)

		buf := make([]byte, 2)
		_, err = io.ReadFull(far, buf)
		require.NoError(t, err)
		require.Equal(t, "ab", string(buf))
		require.Equal(t, time.Second, time.Since(start))
	})
}

// Guards against an end of a connection that doesn't notice that the process of its peer has ended.
func TestResetEndsBothEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New()
		near, far := connectPair(t, n)
		n.Reset(hostB)
		_, err := far.Read(make([]byte, 1))
		require.ErrorIs(t, err, io.EOF)
		_, err = near.Write([]byte("x"))
		require.ErrorIs(t, err, syscall.EPIPE)
	})
}
