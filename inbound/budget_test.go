package inbound

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// testBytes is a budget for ten connections, with a part for large bodies of testLarge.
const (
	testBytes = 10 * connectionBytes
	testLarge = testBytes * 3 / 10
)

// pipeListener accepts one connection in memory, and then fails.
type pipeListener struct {
	net.Listener
	next net.Conn
}

func (l *pipeListener) Accept() (net.Conn, error) {
	conn := l.next
	l.next = nil
	if conn == nil {
		return nil, net.ErrClosed
	}
	return conn, nil
}

// dialer returns a function that opens a connection of the budget, and returns both of its ends: nil if it was closed unread.
func dialer(b *Budget, links bool) func() (*Conn, net.Conn) {
	pipes := new(pipeListener)
	l := b.Listen(pipes)
	if links {
		l = b.ListenLinks(pipes)
	}
	return func() (*Conn, net.Conn) {
		near, far := net.Pipe()
		pipes.next = near
		conn, err := l.Accept()
		if err != nil {
			return nil, far
		}
		return conn.(*Conn), far
	}
}

func held(b *Budget) int64 {
	bytes, _ := b.Usage()
	return bytes
}

// contextOf returns the context of a request on a connection that is being handled.
func contextOf(c *Conn) context.Context {
	c.enter(phaseServing)
	return context.WithValue(context.Background(), connKey{}, c)
}

// Guards against bodies that are read wrongly or beyond their limit, whatever their length, and against buffers that are not counted.
func TestBodiesAreReadWholeAndCounted(t *testing.T) {
	for _, size := range []int{0, 1, 4095, 4096, 4097, smallBytes, smallBytes + 1, 200_000} {
		for _, announced := range []int64{-1, int64(size)} {
			for _, most := range []int64{0, int64(size), int64(size) + 1, 1 << 20} {
				synctest.Test(t, func(t *testing.T) {
					b := New(Limits{Bytes: 1 << 24, Connections: 4}, Options{})
					c, _ := dialer(b, false)()
					text := strings.Repeat("x", size)
					data, err := ReadBody(contextOf(c), iotest.HalfReader(strings.NewReader(text)), announced, most, time.Now())
					require.NoError(t, err)
					require.Equal(t, text, string(data))
					require.Equal(t, int64(connectionBytes+cap(data)), held(b))
					require.LessOrEqual(t, cap(data), max(2*size, firstBufferBytes))
					c.endRequest()
					require.Equal(t, int64(connectionBytes), held(b))
					require.NoError(t, c.Close())
					require.Zero(t, held(b))
				})
			}
		}
	}
}

// Guards against a body that is taken for whole although it stopped short, or is longer than it may be.
func TestBodiesThatAreNotWholeAreErrors(t *testing.T) {
	_, err := ReadBody(t.Context(), strings.NewReader("1234"), 5, 0, time.Now())
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	var tooLarge *http.MaxBytesError
	_, err = ReadBody(t.Context(), strings.NewReader("12345"), -1, 4, time.Now())
	require.ErrorAs(t, err, &tooLarge)
	_, err = ReadBody(t.Context(), iotest.ErrReader(errors.New("reset")), 5, 0, time.Now())
	require.ErrorContains(t, err, "reset")
}

// Guards against memory that follows from what a head announces instead of from what has arrived.
func TestAnnouncedBodyTakesNothingBeforeItArrives(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{Bytes: 1 << 30, Connections: 4}, Options{})
		c, _ := dialer(b, false)()
		reader, writer := io.Pipe()
		go func() { _, _ = ReadBody(contextOf(c), reader, 1<<26, 1<<26, time.Now().Add(time.Second)) }()
		synctest.Wait()
		require.Equal(t, int64(connectionBytes+smallBytes), held(b))
		_, err := writer.Write(make([]byte, smallBytes))
		require.NoError(t, err)
		synctest.Wait()
		require.Equal(t, int64(connectionBytes+1<<26), held(b))
		_ = writer.Close()
		synctest.Wait()
	})
}

// Guards against a body that stands still and keeps its room while another needs it, and against a stalled body that is chosen although
// it holds less.
func TestLargestStalledBodyMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{Bytes: testBytes, Connections: 10}, Options{})
		dial := dialer(b, false)
		large, _ := dial()
		contextOf(large)
		large.enter(phaseBody)
		require.NoError(t, b.reserve(large, testLarge/2+smallBytes, time.Now()))
		small, _ := dial()
		contextOf(small)
		small.enter(phaseBody)
		require.NoError(t, b.reserve(small, testLarge/4+smallBytes, time.Now()))

		next, _ := dial()
		contextOf(next)
		begun := time.Now()
		var group sync.WaitGroup
		group.Go(func() { assert.NoError(t, b.reserve(next, testLarge/2+smallBytes, begun.Add(10*time.Second))) })
		time.Sleep(stallTimeout + recheckInterval)
		synctest.Wait()
		require.True(t, large.WasEvicted())
		require.False(t, small.WasEvicted())
		_, err := large.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.NoError(t, large.Close())
		group.Wait()
		require.Equal(t, int64(2*connectionBytes+testLarge/4+testLarge/2+2*smallBytes), held(b))
	})
}

// Guards against small requests that are refused while large bodies fill their part, and against large ones that wait beyond their time.
func TestLargeBodiesLeaveRoomForSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{Bytes: testBytes, Connections: 10}, Options{})
		dial := dialer(b, false)
		large, _ := dial()
		contextOf(large) // has been read whole
		require.NoError(t, b.reserve(large, testLarge+smallBytes, time.Now()))
		small, _ := dial()
		contextOf(small)
		require.NoError(t, b.reserve(small, smallBytes, time.Now()))
		begun := time.Now()
		require.ErrorIs(t, b.reserve(small, 1, begun.Add(time.Second)), ErrNoRoom)
		require.Equal(t, time.Second, time.Since(begun))
		require.False(t, large.WasEvicted(), "it was read whole")
		require.ErrorIs(t, b.reserve(small, testLarge+1, begun.Add(time.Hour)), ErrNoRoom, "it never fits")
		require.Empty(t, b.waiters)
	})
}

// Guards against connections that hold all descriptors, and against a new one that takes the place of a request.
func TestIdleConnectionMakesPlaceForNewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{Bytes: 1 << 30, Connections: 2}, Options{})
		dial := dialer(b, false)
		first, _ := dial()
		time.Sleep(time.Millisecond)
		second, _ := dial()
		third, _ := dial()
		require.NotNil(t, third)
		require.True(t, first.WasEvicted())
		require.NoError(t, first.Close())
		contextOf(second)
		contextOf(third)
		fourth, _ := dial()
		require.Nil(t, fourth, "both others serve requests")
		_, connections := b.Usage()
		require.Equal(t, 2, connections)
	})
}

// Guards against connections with TLS that take more memory than is counted.
func TestConnectionsWithTLSAreCounted(t *testing.T) {
	b := New(Limits{Bytes: 3 * connectionBytes, Connections: 10}, Options{})
	pipes := new(pipeListener)
	l := b.ListenForTLS(pipes)
	pipes.next, _ = net.Pipe()
	conn, err := l.Accept()
	require.NoError(t, err)
	require.Equal(t, int64(connectionBytes+tlsBytes), held(b))
	contextOf(conn.(*Conn))
	pipes.next, _ = net.Pipe()
	_, err = l.Accept()
	require.Error(t, err, "there is no room for two")
	require.NoError(t, conn.Close())
	require.Zero(t, held(b))
}

// Guards against heads without an end, and against a head without room that an HTTP server answers by itself.
func TestHeadWithoutRoomEndsItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{Bytes: 2 * connectionBytes, Connections: 10}, Options{})
		c, far := dialer(b, false)()
		go func() { _, _ = far.Write(make([]byte, 1<<20)) }()
		var err error
		read := 0
		for n := 0; err == nil; read += n {
			n, err = c.Read(make([]byte, 4<<10))
		}
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Less(t, read, 2*connectionBytes)
		require.True(t, c.WasEvicted())
		c.ResumeReading(time.Now().Add(time.Second))
		rest, err := io.CopyN(io.Discard, c, 1<<19)
		require.NoError(t, err, "behind a refusal")
		require.Equal(t, int64(1<<19), rest)
		_ = far.Close()
	})
}

// Guards against links that hold memory without a peer that has identified itself, and against bounds on those that have.
func TestLinkIsCountedUntilItsPeerIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(Limits{Bytes: testBytes, Connections: 10}, Options{})
		dial := dialer(b, true)
		stranger, _ := dial()
		begun := time.Now()
		_, err := stranger.Read(make([]byte, 1))
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
		require.Equal(t, handshakeTimeout, time.Since(begun))
		require.NoError(t, stranger.Close())
		require.Equal(t, int64(connectionBytes), held(b), "its reader may still hold what it read")
		stranger.Release()
		require.Zero(t, held(b))

		known, far := dial()
		known.Admit()
		require.Zero(t, held(b))
		go func() { _, _ = far.Write(make([]byte, testBytes)) }()
		n, err := io.ReadFull(known, make([]byte, testBytes))
		require.NoError(t, err)
		require.Equal(t, testBytes, n)
		require.NoError(t, known.Close())
		require.Zero(t, held(b))
	})
}

// Guards against the room of a request that is given to others while its body is still needed, or never.
func TestKeptBodyIsHeldUntilNobodyNeedsIt(t *testing.T) {
	for _, handlerFirst := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			b := New(Limits{Bytes: 1 << 24, Connections: 10}, Options{})
			c, _ := dialer(b, false)()
			ctx := contextOf(c)
			require.NoError(t, b.reserve(c, 100_000, time.Now()))
			kept := Keep(ctx)
			if handlerFirst {
				c.endRequest()
				require.NoError(t, c.Close())
				require.Equal(t, int64(100_000), held(b))
				kept.Release()
			} else {
				kept.Release()
				require.Equal(t, int64(connectionBytes+100_000), held(b))
				c.endRequest()
				require.NoError(t, c.Close())
			}
			require.Zero(t, held(b))
			require.Zero(t, b.held.large)
		})
	}
	Keep(t.Context()).Release() // of a request that isn't counted
}

// Guards against room that is given out twice or lost, over random schedules of requests that are read, stand still, end and leave.
func TestRandomSchedulesKeepTheBounds(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		type plan struct {
			begins, pause, serves time.Duration
			size                  int
			announced, leaves     bool
		}
		var plans []plan
		for range rapid.IntRange(1, 30).Draw(r, "requests") {
			ms := func(label string, most int) time.Duration {
				return time.Duration(rapid.IntRange(0, most).Draw(r, label)) * time.Millisecond
			}
			plans = append(plans, plan{
				begins: ms("begins", 2000), pause: ms("pause", 900), serves: ms("serves", 300),
				size:      rapid.SampledFrom([]int{100, smallBytes, 2 * smallBytes, testLarge / 2, testLarge}).Draw(r, "size"),
				announced: rapid.Bool().Draw(r, "announced"), leaves: rapid.Bool().Draw(r, "leaves"),
			})
		}
		synctest.Test(t, func(t *testing.T) {
			b := New(Limits{Bytes: testBytes, Connections: 6}, Options{})
			within := func() {
				b.mu.Lock()
				defer b.mu.Unlock()
				assert.LessOrEqual(t, b.held.bytes, int64(testBytes+maxLeaving*connectionBytes))
				assert.LessOrEqual(t, b.held.large, b.largeLimit)
			}
			var group sync.WaitGroup
			for _, p := range plans {
				group.Go(func() {
					time.Sleep(p.begins)
					near, far := net.Pipe()
					defer func() { _ = far.Close() }()
					c := &Conn{Conn: near, budget: b, own: connectionBytes}
					c.enter(phaseIdle)
					if !b.add(c) {
						return
					}
					defer func() { _ = c.Close() }()
					within()
					ctx := contextOf(c)
					announced := int64(-1)
					if p.announced {
						announced = int64(p.size)
					}
					body := &pausingReader{left: p.size, pause: p.pause, conn: c}
					_, err := ReadBody(ctx, body, announced, testLarge, time.Now().Add(3*time.Second))
					within()
					if err == nil && p.leaves {
						kept := Keep(ctx)
						group.Go(func() {
							time.Sleep(p.serves)
							kept.Release()
						})
					} else if err == nil {
						time.Sleep(p.serves)
					}
					within()
					c.endRequest()
				})
			}
			group.Wait()
			assert.Equal(t, amount{}, b.held)
			assert.Equal(t, amount{}, b.leaving)
			assert.Zero(t, b.evicted)
			assert.Empty(t, b.conns)
			assert.Empty(t, b.waiters)
		})
	})
}

// pausingReader is a body that arrives in parts, with pauses between them, until its connection is closed to make room.
type pausingReader struct {
	left  int
	pause time.Duration
	conn  *Conn
}

func (r *pausingReader) Read(p []byte) (int, error) {
	time.Sleep(r.pause / 4)
	if r.conn.WasEvicted() {
		return 0, os.ErrDeadlineExceeded
	}
	n := min(len(p), r.left, 50_000)
	r.left -= n
	r.conn.noteRead(n)
	if r.left == 0 {
		return n, io.EOF
	}
	return n, nil
}

func BenchmarkReadBody(b *testing.B) {
	for name, size := range map[string]int{"1 KiB": 1 << 10, "4 MiB": 4 << 20} {
		for kind, announced := range map[string]int64{"length": int64(size), "chunks": -1} {
			b.Run(name+"/"+kind, func(b *testing.B) {
				budget := New(Limits{Bytes: 1 << 28, Connections: 4}, Options{})
				near, _ := net.Pipe()
				c := &Conn{Conn: near, budget: budget, own: connectionBytes}
				budget.add(c)
				ctx := contextOf(c)
				text := strings.Repeat("x", size)
				b.ReportAllocs()
				for b.Loop() {
					if _, err := ReadBody(ctx, strings.NewReader(text), announced, 8<<20, time.Now()); err != nil {
						b.Fatal(err)
					}
					c.endRequest()
				}
			})
		}
	}
}
