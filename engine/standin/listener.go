package standin

import (
	"net"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/network"
)

// refusingListener is a listener that can be closed for a limited time, so that the operating
// system refuses new connections. A caller can tell a refused connection from one that is
// accepted and then closed.
type refusingListener struct {
	network network.Network

	mu          sync.Mutex
	current     net.Listener
	address     string
	refuseUntil time.Time
	closed      chan struct{}
	once        sync.Once
}

func newRefusingListener(network network.Network, address string) (*refusingListener, error) {
	current, err := network.Listen(address)
	if err != nil {
		return nil, err
	}
	return &refusingListener{
		network: network,
		current: current,
		address: current.Addr().String(),
		closed:  make(chan struct{}),
	}, nil
}

// refuse closes the listener for the given duration.
func (l *refusingListener) refuse(duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuseUntil = time.Now().Add(duration)
	_ = l.current.Close()
}

// Accept implements net.Listener.
func (l *refusingListener) Accept() (net.Conn, error) {
	for {
		current, err := l.awaitOpen()
		if err != nil {
			return nil, err
		}
		conn, err := current.Accept()
		if err == nil {
			return conn, nil
		}
		if !l.refusing() {
			return nil, err
		}
	}
}

func (l *refusingListener) refusing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.refuseUntil.IsZero()
}

// awaitOpen returns the listener, and listens again once a refusal period has ended.
func (l *refusingListener) awaitOpen() (net.Listener, error) {
	for {
		l.mu.Lock()
		until, current := l.refuseUntil, l.current
		if until.IsZero() {
			l.mu.Unlock()
			return current, nil
		}
		if !time.Now().Before(until) {
			defer l.mu.Unlock()
			return l.reopen()
		}
		l.mu.Unlock()
		select {
		case <-time.After(time.Until(until)):
		case <-l.closed:
			return nil, net.ErrClosed
		}
	}
}

func (l *refusingListener) reopen() (net.Listener, error) {
	current, err := l.network.Listen(l.address)
	if err != nil {
		return nil, err
	}
	l.current = current
	l.refuseUntil = time.Time{}
	return current, nil
}

// Close implements net.Listener.
func (l *refusingListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Close()
}

// Addr implements net.Listener.
func (l *refusingListener) Addr() net.Addr {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current.Addr()
}
