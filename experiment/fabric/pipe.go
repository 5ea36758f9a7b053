package fabric

import (
	"net"
	"sync"
	"time"
)

// Sizes of a pipe.
const (
	pieceBytes = 32 << 10
	// pieces bounds what is on its way in one direction; a sender waits beyond it, as with a full TCP window.
	pieces = 256
)

// pipe is a connection between two hosts.
type pipe struct {
	conn     net.Conn // the TCP connection, to the listening side
	far      net.Conn // what the dialler holds, if that is at another IP number
	near     net.Conn // the pumps' end of it
	delay    time.Duration
	from, to *Host
	done     chan struct{}
	once     sync.Once
}

func newPipe(conn net.Conn, delay time.Duration, from, to *Host) *pipe {
	p := &pipe{conn: conn, delay: delay, from: from, to: to, done: make(chan struct{})}
	if from.ip != to.ip {
		p.far, p.near = net.Pipe()
	}
	return p
}

// start starts the pumps and returns the dialler's end.
func (p *pipe) start() net.Conn {
	go p.pump(p.near, p.conn)
	go p.pump(p.conn, p.near)
	return &dialled{Conn: p.far, pipe: p}
}

// piece is data that is due at a time.
type piece struct {
	due  time.Time
	data []byte
}

// pump carries data from one end to the other, each piece after the delay.
func (p *pipe) pump(from, to net.Conn) {
	queue := make(chan piece, pieces)
	go p.deliver(queue, to)
	defer close(queue)
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			data := append([]byte(nil), buffer[:n]...)
			select {
			case queue <- piece{due: time.Now().Add(p.delay), data: data}:
			case <-p.done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// deliver writes what is due, and closes the connection once everything before its end is delivered.
func (p *pipe) deliver(queue <-chan piece, to net.Conn) {
	defer p.close()
	for next := range queue {
		if !p.wait(next.due) {
			return
		}
		if _, err := to.Write(next.data); err != nil {
			return
		}
	}
}

// wait returns true once a piece is due and the hosts are neither cut off nor parted, false if the connection ends first.
func (p *pipe) wait(due time.Time) bool {
	if early := time.Until(due); early > 0 {
		timer := time.NewTimer(early)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-p.done:
			return false
		}
	}
	for _, open := range []<-chan struct{}{p.from.whenHealed(), p.to.whenHealed(), p.from.fabric.whenJoined(p.from.ip, p.to.ip)} {
		select {
		case <-open:
		case <-p.done:
			return false
		}
	}
	return true
}

// close ends the connection at both sides at once.
func (p *pipe) close() {
	p.once.Do(func() {
		close(p.done)
		_ = p.conn.Close()
		if p.near != nil {
			_ = p.near.Close()
		}
		p.from.remove(p)
		p.to.remove(p)
	})
}

// dialled is the dialler's end of a connection between hosts.
type dialled struct {
	net.Conn
	pipe *pipe
}

// LocalAddr returns the address of the TCP connection.
func (d *dialled) LocalAddr() net.Addr { return d.pipe.conn.LocalAddr() }

// RemoteAddr returns the address of the TCP connection.
func (d *dialled) RemoteAddr() net.Addr { return d.pipe.conn.RemoteAddr() }

// plain is a connection within an IP number.
type plain struct {
	net.Conn
	pipe *pipe
}

// Close closes the connection.
func (c *plain) Close() error {
	c.pipe.close()
	return nil
}
