package memory

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipeCapacity is the number of bytes that one direction of a connection buffers before Write blocks.
const pipeCapacity = 256 << 10

// pipe is one direction of a connection. Its fields are guarded by the network's lock.
type pipe struct {
	network       *Network
	route         route
	changed       *sync.Cond
	segments      []segment
	bytes         int
	closed        bool // by at least one end
	closedEnds    int  // number of ends that closed it
	readDeadline  deadline
	writeDeadline deadline
}

// segment is the data of one Write and the time at which it arrives.
type segment struct {
	data []byte
	due  time.Time
}

// connect returns the two ends of a new connection, that of the host near first.
func (n *Network) connect(nearAddr, farAddr addr, near, far string) (net.Conn, net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.newPipe(route{near, far})
	back := n.newPipe(route{far, near})
	return &conn{in: back, out: out, local: nearAddr, remote: farAddr},
		&conn{in: out, out: back, local: farAddr, remote: nearAddr}
}

func (n *Network) newPipe(r route) *pipe {
	p := &pipe{network: n, route: r, changed: sync.NewCond(&n.mu)}
	n.pipes[p] = true
	return p
}

// receive blocks until bytes have arrived and copies them. The end of the stream is held back by a cut, as bytes are.
func (p *pipe) receive(b []byte) (int, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	for {
		cut := p.network.cuts[p.route]
		switch {
		case p.readDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case !cut && len(p.segments) > 0 && !p.segments[0].due.After(time.Now()):
			return p.dequeue(b), nil
		case !cut && len(p.segments) == 0 && p.closed:
			return 0, io.EOF
		}
		p.changed.Wait()
	}
}

// dequeue copies bytes of the first segment, and wakes writers. The network's lock is held.
func (p *pipe) dequeue(b []byte) int {
	n := copy(b, p.segments[0].data)
	p.segments[0].data = p.segments[0].data[n:]
	if len(p.segments[0].data) == 0 {
		p.segments = p.segments[1:]
	}
	p.bytes -= n
	p.changed.Broadcast()
	return n
}

// send buffers b, blocking while the pipe is at its capacity.
func (p *pipe) send(b []byte) (int, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	for {
		switch {
		case p.writeDeadline.passed():
			return 0, os.ErrDeadlineExceeded
		case p.closed && !p.network.cuts[p.route]:
			return 0, syscall.EPIPE
		case p.bytes < pipeCapacity:
			p.enqueue(b)
			return len(b), nil
		}
		p.changed.Wait()
	}
}

// enqueue adds a segment. Its arrival is not before that of the previous segment, so that a delay that is removed doesn't
// reorder bytes. The network's lock is held.
func (p *pipe) enqueue(b []byte) {
	delay := p.network.delays[p.route]
	due := time.Now().Add(delay)
	if last := len(p.segments) - 1; last >= 0 && p.segments[last].due.After(due) {
		due = p.segments[last].due
	}
	p.segments = append(p.segments, segment{data: append([]byte(nil), b...), due: due})
	p.bytes += len(b)
	if delay > 0 {
		time.AfterFunc(time.Until(due), p.broadcast)
	}
	p.changed.Broadcast()
}

func (p *pipe) broadcast() {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.changed.Broadcast()
}

// conn is one end of a connection.
type conn struct {
	in, out       *pipe
	local, remote addr
	mu            sync.Mutex
	closed        bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.in.receive(b)
	if err != nil && c.isClosed() {
		err = net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.isClosed() {
		return 0, net.ErrClosed
	}
	return c.out.send(b)
}

func (c *conn) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// Close implements net.Conn. The peer can read what was written before, unless the route to it is cut.
func (c *conn) Close() error {
	c.mu.Lock()
	alreadyClosed := c.closed
	c.closed = true
	c.mu.Unlock()
	if alreadyClosed {
		return nil
	}
	n := c.in.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []*pipe{c.in, c.out} {
		p.closed = true
		p.closedEnds++
		if p.closedEnds == 2 {
			delete(n.pipes, p)
		}
		p.changed.Broadcast()
	}
	// Blocked reads and writes of this end have to return even while the route is cut.
	c.in.readDeadline.expire()
	c.out.writeDeadline.expire()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.readDeadline, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.writeDeadline, t)
	return nil
}

// deadline is the time from which calls fail; zero means no deadline. If expired is set, calls fail at any time.
type deadline struct {
	at      time.Time
	expired bool
}

func (d *deadline) expire()      { d.expired = true }
func (d *deadline) passed() bool { return d.expired || !d.at.IsZero() && !d.at.After(time.Now()) }

func (p *pipe) setDeadline(d *deadline, at time.Time) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	d.at = at
	p.changed.Broadcast()
	if wait := time.Until(at); !at.IsZero() && wait > 0 {
		time.AfterFunc(wait, p.broadcast)
	}
}
