package standin

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"

	"github.com/go-faster/errors"
)

// DialFunc makes a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Network is a network in memory, for tests under testing/synctest, where
// sockets can't be used. Dialling an address at which nobody listens is refused.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*memoryListener
	nextPort  int
}

// NewNetwork makes an empty network.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*memoryListener),
		nextPort:  firstMemoryPort,
	}
}

// firstMemoryPort is the first port for a listener that names none.
const firstMemoryPort = 20000

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

type memoryListener struct {
	network *Network
	address memoryAddr
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Listen listens at an address "HOST:PORT"; port 0 takes a free one. It has the
// form of net.Listen.
func (n *Network) Listen(_, address string) (net.Listener, error) {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == "0" {
		port = strconv.Itoa(n.nextPort)
		n.nextPort++
	}
	address = net.JoinHostPort(host, port)
	if n.listeners[address] != nil {
		return nil, errors.Wrap(syscall.EADDRINUSE, address)
	}
	listener := &memoryListener{
		network: n,
		address: memoryAddr(address),
		conns:   make(chan net.Conn),
		closed:  make(chan struct{}),
	}
	n.listeners[address] = listener
	return listener, nil
}

// DialContext has the form of net.Dialer.DialContext.
func (n *Network) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	listener := n.listeners[address]
	n.mu.Unlock()
	refused := &net.OpError{
		Op:   "dial",
		Net:  "memory",
		Addr: memoryAddr(address),
		Err:  syscall.ECONNREFUSED,
	}
	if listener == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case listener.conns <- far:
		return near, nil
	case <-listener.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		delete(l.network.listeners, string(l.address))
		l.network.mu.Unlock()
		close(l.closed)
	})
	return nil
}

func (l *memoryListener) Addr() net.Addr { return l.address }
