package inbound

import (
	"net"
	"time"

	"github.com/carawaypitch/carawaypitch/network"
)

const (
	// handshakeTimeout bounds the time from the acceptance of a link until its peer is identified.
	handshakeTimeout = 5 * time.Second
	// unacceptedBytes is the receive buffer of a connection that has not been accepted yet.
	unacceptedBytes = 16 << 10
	// bufferOverhead is by how much Linux makes a receive buffer larger than it is told, for its own use; small parts leave it to data.
	bufferOverhead = 2
	// unlimitedWindow is the receive window of a link whose peer is identified.
	unlimitedWindow = 1 << 30
)

// listener counts the connections of a listener.
type listener struct {
	net.Listener
	budget *Budget
	first  phase
	own    int64 // bytes of a connection itself
}

// Listen returns a listener for requests whose connections are counted. A connection that there is no room for is closed unread.
func (b *Budget) Listen(l net.Listener) net.Listener {
	network.SetReceiveBuffer(l, unacceptedBytes)
	return listener{Listener: l, budget: b, first: phaseIdle, own: connectionBytes}
}

// ListenForTLS is Listen for connections on which TLS is spoken.
func (b *Budget) ListenForTLS(l net.Listener) net.Listener {
	counted := b.Listen(l).(listener)
	counted.own += tlsBytes
	return counted
}

// ListenLinks returns a listener for links between processes. A connection is counted until its peer is identified, see Conn.Admit, and
// closed if that takes longer than handshakeTimeout. Its user calls Conn.Release at its end.
func (b *Budget) ListenLinks(l net.Listener) net.Listener {
	return listener{Listener: l, budget: b, first: phaseHandshake, own: connectionBytes}
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, budget: l.budget, own: l.own}
		c.enter(l.first)
		if !l.budget.add(c) {
			_ = conn.Close()
			continue
		}
		if l.first == phaseHandshake {
			// A fixed buffer would stay for the lifetime of the link, and limit it where the round trip is long.
			network.ClampReceiveWindow(conn, receiveBufferBytes)
			c.handshakeEnd = time.Now().Add(handshakeTimeout)
			_ = conn.SetReadDeadline(c.handshakeEnd)
		} else if buffered, ok := conn.(interface{ SetReadBuffer(bytes int) error }); ok {
			_ = buffered.SetReadBuffer(receiveBufferBytes / bufferOverhead)
		}
		return c, nil
	}
}
