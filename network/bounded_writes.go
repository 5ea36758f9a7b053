package network

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// ErrWriteStalled is the error of a write of which the peer read nothing for a time.
var ErrWriteStalled = errors.New("network: the peer reads nothing")

// maxWritePart bounds one write of a BoundedConn, so that the bytes accepted so far show progress.
const maxWritePart = 64 << 10

// BoundedConn is a connection whose writes fail with ErrWriteStalled if they make no progress for a time. A peer that reads
// slowly but steadily is waited for. Its user must not set write deadlines.
type BoundedConn struct {
	net.Conn

	timeout  time.Duration
	accepted atomic.Int64
}

// BoundWrites bounds the time that writes on a connection may make no progress.
func BoundWrites(conn net.Conn, timeout time.Duration) *BoundedConn {
	return &BoundedConn{Conn: conn, timeout: timeout}
}

// Accepted returns how many bytes the network has taken over since the connection was bounded.
func (c *BoundedConn) Accepted() int64 { return c.accepted.Load() }

// Write implements net.Conn.
func (c *BoundedConn) Write(b []byte) (int, error) {
	written := 0
	for written < len(b) {
		before := Unacknowledged(c.Conn)
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.timeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(b[written:min(len(b), written+maxWritePart)])
		written += n
		c.accepted.Add(int64(n))
		if err == nil || n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if Unacknowledged(c.Conn) == before {
			return written, errors.Wrap(ErrWriteStalled, "write")
		}
	}
	return written, c.Conn.SetWriteDeadline(time.Time{})
}
