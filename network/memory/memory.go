// Package memory provides an in-memory network for tests. It works in testing/synctest bubbles, and can partition any
// two hosts silently, refuse connections to a host, and delay bytes between two hosts.
package memory

import (
	"context"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/network"
)

// firstPort is the first port given to listeners that ask for port 0.
const firstPort = 40000

// Network connects hosts, which are identified by IP address. Any number of goroutines may use it.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	nextPort  int
	cuts      map[route]bool
	delays    map[route]time.Duration
	refusing  map[string]bool
	pipes     map[*pipe]bool // directions of connections that are not closed at both ends
}

// route is one direction between two hosts.
type route struct{ from, to string }

// New returns a network without injected faults.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		nextPort:  firstPort,
		cuts:      make(map[route]bool),
		delays:    make(map[route]time.Duration),
		refusing:  make(map[string]bool),
		pipes:     make(map[*pipe]bool),
	}
}

// Host returns the network interface of the host at ip: it listens at ip and dials from ip.
func (n *Network) Host(ip string) network.Network {
	return host{network: n, ip: ip}
}

// Cut partitions two hosts in both directions. Open connections get no error: bytes are held back as TCP does while it
// retransmits, and dials time out. Heal delivers the bytes.
func (n *Network) Cut(a, b string) {
	n.update(func() {
		n.cuts[route{a, b}] = true
		n.cuts[route{b, a}] = true
	})
}

// CutOneWay is like Cut, but holds back only the bytes sent by from to to.
func (n *Network) CutOneWay(from, to string) {
	n.update(func() { n.cuts[route{from, to}] = true })
}

// Heal removes the partitions and delays between two hosts, in both directions.
func (n *Network) Heal(a, b string) {
	n.update(func() {
		for _, r := range []route{{a, b}, {b, a}} {
			delete(n.cuts, r)
			delete(n.delays, r)
		}
	})
}

// Delay makes bytes that from sends to to after the call arrive d later. The order of bytes is kept.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.update(func() { n.delays[route{from, to}] = d })
}

// Refuse sets whether dials to a host fail at once with ECONNREFUSED, as if no process ran there. Open connections are
// not affected.
func (n *Network) Refuse(ip string, on bool) {
	n.update(func() { n.refusing[ip] = on })
}

// Reset closes all connections from and to a host, as happens when its process ends.
func (n *Network) Reset(ip string) {
	n.update(func() {
		for p := range n.pipes {
			if p.route.from == ip || p.route.to == ip {
				p.closed = true
			}
		}
	})
}

// update calls do with the lock held, then wakes all blocked reads and writes.
func (n *Network) update(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
	for p := range n.pipes {
		p.changed.Broadcast()
	}
}

// host is the network as seen by the host at ip.
type host struct {
	network *Network
	ip      string
}

// Listen implements network.Network. The IP address in address must be that of the host, or empty.
func (h host) Listen(address string) (net.Listener, error) {
	ip, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "memory: listen")
	}
	if ip != "" && ip != h.ip {
		return nil, errors.Wrapf(syscall.EADDRNOTAVAIL, "memory: listen on %s at %s", address, h.ip)
	}
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if port == "0" {
		port = strconv.Itoa(n.nextPort)
		n.nextPort++
	}
	full := net.JoinHostPort(h.ip, port)
	if n.listeners[full] != nil {
		return nil, errors.Wrapf(syscall.EADDRINUSE, "memory: listen on %s", full)
	}
	l := &listener{network: n, address: addr(full), accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[full] = l
	return l, nil
}

// Dial implements network.Network.
func (h host) Dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, network.DialTimeout)
	defer cancel()
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "memory: dial")
	}
	if h.network.cutEitherWay(h.ip, ip) {
		<-ctx.Done()
		return nil, errors.Wrapf(ctx.Err(), "memory: dial %s", address)
	}
	l := h.network.listenerAt(ip, address)
	if l == nil {
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "memory: dial %s", address)
	}
	near, far := h.network.connect(addr(h.ip+":0"), l.address, h.ip, ip)
	select {
	case l.accept <- far:
		return near, nil
	case <-l.done:
		return nil, errors.Wrapf(syscall.ECONNREFUSED, "memory: dial %s", address)
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "memory: dial %s", address)
	}
}

// cutEitherWay reports whether at least one direction between two hosts is cut; a dial needs both.
func (n *Network) cutEitherWay(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[route{a, b}] || n.cuts[route{b, a}]
}

// listenerAt returns the listener at address, or nil if there is none or the host at ip refuses connections.
func (n *Network) listenerAt(ip, address string) *listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refusing[ip] {
		return nil
	}
	return n.listeners[address]
}

type listener struct {
	network *Network
	address addr
	accept  chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, string(l.address))
		close(l.done)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.address }

// addr is the "IP:port" of one end of a connection.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
