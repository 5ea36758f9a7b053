package memory

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipeBytes is how much one direction holds before Write blocks.
const pipeBytes = 256 << 10

// pipe is one direction of a connection. The network's lock guards it.
type pipe struct {
	network *Network
	route   route
	wake    *sync.Cond
	parts   []part
	bytes   int
	closed  bool // by either end
	ended   int  // ends that closed it
	read    deadline
	write   deadline
}

// part is what one Write gave.
type part struct {
	data []byte
	due  time.Time
}

func (n *Network) connect(nearAddr, farAddr addr, near, far string) (net.Conn, net.Conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.newPipe(route{near, far})
	back := n.newPipe(route{far, near})
	return &conn{in: back, out: out, local: nearAddr, remote: farAddr},
		&conn{in: out, out: back, local: farAddr, remote: nearAddr}
}

func (n *Network) newPipe(r route) *pipe {
	p := &pipe{network: n, route: r, wake: sync.NewCond(&n.mu)}
	n.pipes[p] = true
	return p
}

// take copies what has arrived. The end of the stream travels like bytes: a cut hides it.
func (p *pipe) take(b []byte) (int, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	for {
		cut := p.network.cuts[p.route]
		switch {
		case p.read.passed():
			return 0, os.ErrDeadlineExceeded
		case !cut && len(p.parts) > 0 && !p.parts[0].due.After(time.Now()):
			return p.copyOut(b), nil
		case !cut && len(p.parts) == 0 && p.closed:
			return 0, io.EOF
		}
		p.wake.Wait()
	}
}

func (p *pipe) copyOut(b []byte) int {
	n := copy(b, p.parts[0].data)
	p.parts[0].data = p.parts[0].data[n:]
	if len(p.parts[0].data) == 0 {
		p.parts = p.parts[1:]
	}
	p.bytes -= n
	p.wake.Broadcast()
	return n
}

func (p *pipe) put(b []byte) (int, error) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	for {
		switch {
		case p.write.passed():
			return 0, os.ErrDeadlineExceeded
		case p.closed && !p.network.cuts[p.route]:
			return 0, syscall.EPIPE
		case p.bytes < pipeBytes:
			p.append(b)
			return len(b), nil
		}
		p.wake.Wait()
	}
}

func (p *pipe) append(b []byte) {
	delay := p.network.delays[p.route]
	due := time.Now().Add(delay)
	if last := len(p.parts) - 1; last >= 0 && p.parts[last].due.After(due) {
		due = p.parts[last].due
	}
	p.parts = append(p.parts, part{data: append([]byte(nil), b...), due: due})
	p.bytes += len(b)
	if delay > 0 {
		time.AfterFunc(time.Until(due), p.broadcast)
	}
	p.wake.Broadcast()
}

func (p *pipe) broadcast() {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.wake.Broadcast()
}

// conn is one end of a connection.
type conn struct {
	in, out       *pipe
	local, remote addr
	mu            sync.Mutex
	done          bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.in.take(b)
	if err != nil && c.isDone() {
		err = net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	if c.isDone() {
		return 0, net.ErrClosed
	}
	return c.out.put(b)
}

func (c *conn) isDone() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done
}

// Close implements net.Conn. The peer reads what was written before, unless the way to it is cut.
func (c *conn) Close() error {
	c.mu.Lock()
	again := c.done
	c.done = true
	c.mu.Unlock()
	if again {
		return nil
	}
	n := c.in.network
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range []*pipe{c.in, c.out} {
		p.closed = true
		p.ended++
		if p.ended == 2 {
			delete(n.pipes, p)
		}
		p.wake.Broadcast()
	}
	// This end's own calls have to return also while the route is cut.
	c.in.read.now()
	c.out.write.now()
	return nil
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.read, t)
	c.out.setDeadline(&c.out.write, t)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.in.setDeadline(&c.in.read, t)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.out.setDeadline(&c.out.write, t)
	return nil
}

// deadline is when calls fail; zero means never.
type deadline struct {
	at    time.Time
	final bool
}

func (d *deadline) now()         { d.final = true }
func (d *deadline) passed() bool { return d.final || !d.at.IsZero() && !d.at.After(time.Now()) }

func (p *pipe) setDeadline(d *deadline, at time.Time) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	d.at = at
	p.wake.Broadcast()
	if wait := time.Until(at); !at.IsZero() && wait > 0 {
		time.AfterFunc(wait, p.broadcast)
	}
}
