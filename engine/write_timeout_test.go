package engine_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/network"
)

// deafNetwork connects to a server that never answers, and takes over a number of bytes only.
type deafNetwork struct{ takes int }

func (deafNetwork) Listen(string) (net.Listener, error) { return nil, errors.New("not used") }

func (n deafNetwork) Dial(context.Context, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() { _, _ = io.CopyN(io.Discard, far, int64(n.takes)) }()
	return near, nil
}

// A server that reads nothing of a request must not hold it until the deadline. The request may run elsewhere only if no
// byte of it was sent: a server may begin to work on the first part of a body.
func TestStalledRequestWasNeverSentOnlyIfNoByteWas(t *testing.T) {
	for name, c := range map[string]struct {
		takes int
		class error
	}{
		"no byte":          {0, engine.ErrNeverSent},
		"a byte":           {1, engine.ErrOutcomeUnknown},
		"most of the body": {200_000, engine.ErrOutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client, err := engine.NewHTTP("http://10.0.1.1:9000", engine.HTTPOptions{
					Network: deafNetwork{c.takes}, WriteTimeout: 2 * time.Second,
				})
				require.NoError(t, err)
				defer client.Close()
				request := chatRequest("r.1")
				request.Body = []byte(strings.Replace(chatBody, "May", strings.Repeat("May ", 100_000), 1))
				began := time.Now()
				_, err = client.Run(t.Context(), request, &recorder{})
				require.ErrorIs(t, err, c.class)
				require.ErrorIs(t, err, network.ErrWriteStalled)
				require.LessOrEqual(t, time.Since(began), 4*time.Second, "once more after the last progress")
				for _, other := range []error{engine.ErrNeverSent, engine.ErrOutcomeUnknown} {
					require.Equal(t, other == c.class, errors.Is(err, other))
				}
			})
		})
	}
}

// A server that reads a body slowly but steadily gets all of it, in several times the timeout.
func TestSlowServerReadsItsBodyToTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		conn := network.BoundWrites(near, 2*time.Second)
		read := make(chan int, 1)
		go func() {
			total, piece := 0, make([]byte, 1000)
			for {
				n, err := far.Read(piece)
				total += n
				if err != nil {
					break
				}
				time.Sleep(time.Second)
			}
			read <- total
		}()
		n, err := conn.Write(make([]byte, 20_000))
		require.NoError(t, err)
		require.Equal(t, 20_000, n)
		require.EqualValues(t, 20_000, conn.Accepted())
		require.NoError(t, conn.Close())
		require.Equal(t, 20_000, <-read)
	})
}
