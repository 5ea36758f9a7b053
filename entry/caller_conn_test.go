package entry

import (
	"net"
	"os"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/network"
)

// The deadline of a write to a caller bounds the time without progress. Counted for the whole write, it would cut off a
// caller on a slow line in the middle of a long part.
func TestWriteGoesOnWhileTheCallerReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		conn := &callerConn{Conn: near}
		received := make(chan int, 1)
		go func() {
			total, piece := 0, make([]byte, 1000)
			for total < 20_000 {
				n, err := far.Read(piece)
				if err != nil {
					break
				}
				total += n
				time.Sleep(time.Second)
			}
			received <- total
		}()
		require.NoError(t, conn.SetWriteDeadline(time.Now().Add(2*time.Second)))
		n, err := conn.Write(make([]byte, 20_000))
		require.NoError(t, err)
		require.Equal(t, 20_000, n)
		require.Equal(t, 20_000, <-received)
		_, err = conn.Write(make([]byte, 100))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded, "nobody reads any more")
	})
}

// A call that was ended must not wait for a caller that reads nothing, also if its handler sets another deadline, and the
// next request on the connection must not inherit the limit.
func TestEndedWritesFailUntilTheNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		conn := &callerConn{Conn: near}
		done := make(chan error, 1)
		go func() {
			_, err := conn.Write(make([]byte, 100))
			done <- err
		}()
		synctest.Wait()
		conn.endWrites(time.Hour, func() bool { return false })
		require.ErrorIs(t, <-done, os.ErrDeadlineExceeded)
		require.NoError(t, conn.SetWriteDeadline(time.Now().Add(time.Hour)))
		_, err := conn.Write(make([]byte, 100))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		conn.resumeWrites()
		go func() {
			_, err := conn.Write(make([]byte, 100))
			done <- err
		}()
		_, err = far.Read(make([]byte, 100))
		require.NoError(t, err)
		require.NoError(t, <-done)
	})
}

// The network accepts bytes in large steps, so a caller that reads steadily would seem to read nothing if what its side has
// acknowledged were not counted.
func TestUnacknowledgedBytesAreKnown(t *testing.T) {
	listener, err := network.TCP{}.Listen("127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	limited := callerListener{Listener: listener, bufferBytes: 64 << 10}
	far, err := network.TCP{}.Dial(t.Context(), listener.Addr().String())
	require.NoError(t, err)
	defer far.Close()
	near, err := limited.Accept()
	require.NoError(t, err)
	defer near.Close()
	data := make([]byte, 64<<20)
	total, n := 0, 1
	for n > 0 {
		require.NoError(t, near.SetWriteDeadline(time.Now().Add(200*time.Millisecond)))
		n, err = near.Write(data)
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		total += n
	}
	full := near.(*callerConn).progress()
	require.EqualValues(t, total, full.accepted)
	if runtime.GOOS != "linux" {
		return
	}
	require.Positive(t, full.unsent)
	piece := make([]byte, 4<<10)
	for near.(*callerConn).progress() == full {
		_, err := far.Read(piece)
		require.NoError(t, err)
	}
}
