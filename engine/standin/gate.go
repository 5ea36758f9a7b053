package standin

import (
	"net"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/network"
)

// gateListener is a listener that can be closed for a while, so that new
// connections are refused by the system itself: a connection that is accepted
// and closed looks different to a caller.
type gateListener struct {
	network network.Network

	mu      sync.Mutex
	current net.Listener
	address string
	until   time.Time
	closed  chan struct{}
	once    sync.Once
}

func newGateListener(network network.Network, address string) (*gateListener, error) {
	current, err := network.Listen(address)
	if err != nil {
		return nil, err
	}
	return &gateListener{
		network: network,
		current: current,
		address: current.Addr().String(),
		closed:  make(chan struct{}),
	}, nil
}

// refuse closes the gate for a while from now on.
func (g *gateListener) refuse(duration time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.until = time.Now().Add(duration)
	_ = g.current.Close()
}

// Accept implements net.Listener.
func (g *gateListener) Accept() (net.Conn, error) {
	for {
		current, err := g.open()
		if err != nil {
			return nil, err
		}
		conn, err := current.Accept()
		if err == nil {
			return conn, nil
		}
		if !g.refusing() {
			return nil, err
		}
	}
}

func (g *gateListener) refusing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.until.IsZero()
}

// open gives the listener, and listens anew once the gate may open again.
func (g *gateListener) open() (net.Listener, error) {
	for {
		g.mu.Lock()
		until, current := g.until, g.current
		if until.IsZero() {
			g.mu.Unlock()
			return current, nil
		}
		if !time.Now().Before(until) {
			defer g.mu.Unlock()
			return g.reopen()
		}
		g.mu.Unlock()
		select {
		case <-time.After(time.Until(until)):
		case <-g.closed:
			return nil, net.ErrClosed
		}
	}
}

func (g *gateListener) reopen() (net.Listener, error) {
	current, err := g.network.Listen(g.address)
	if err != nil {
		return nil, err
	}
	g.current = current
	g.until = time.Time{}
	return current, nil
}

// Close implements net.Listener.
func (g *gateListener) Close() error {
	g.once.Do(func() { close(g.closed) })
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current.Close()
}

// Addr implements net.Listener.
func (g *gateListener) Addr() net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current.Addr()
}
