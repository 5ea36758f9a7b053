package capacity

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/carawaypitch/carawaypitch/network"
)

// Network is the machine's own TCP with a count of the bytes that pass.
type Network struct {
	tcp     network.TCP
	in, out atomic.Uint64
}

var _ network.Network = (*Network)(nil)

// Listen implements network.Network.
func (n *Network) Listen(address string) (net.Listener, error) {
	listener, err := n.tcp.Listen(address)
	if err != nil {
		return nil, err
	}
	return countedListener{listener, n}, nil
}

// Dial implements network.Network.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.tcp.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return countedConn{conn, n}, nil
}

// Usage returns what the process has used so far, with the bytes of this network.
func (n *Network) Usage() (Usage, error) {
	cpu, err := CPUTime()
	return Usage{At: time.Now(), CPU: cpu, In: n.in.Load(), Out: n.out.Load()}, err
}

type countedListener struct {
	net.Listener
	network *Network
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{conn, l.network}, nil
}

type countedConn struct {
	net.Conn
	network *Network
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.network.in.Add(uint64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.network.out.Add(uint64(n))
	return n, err
}
