// Package memory is an in-memory network for tests. It works in testing/synctest bubbles, and its connections can be
// cut silently, refused and delayed between any two hosts.
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

// firstPort is where the ports of listeners that ask for port 0 begin.
const firstPort = 40000

// Network joins hosts, which are named by IP number.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	nextPort  int
	cuts      map[route]bool
	delays    map[route]time.Duration
	refusing  map[string]bool
	pipes     map[*pipe]bool // all open ones
}

// route is one direction between two hosts.
type route struct{ from, to string }

// New returns a network without faults.
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

// Host returns the network as the host at ip sees it.
func (n *Network) Host(ip string) network.Network {
	return host{network: n, ip: ip}
}

// Cut stops all bytes between two hosts in both directions. Nobody gets an error: bytes wait as they do for TCP's
// retransmission, dialling times out, and Heal lets all go on.
func (n *Network) Cut(a, b string) {
	n.change(func() {
		n.cuts[route{a, b}] = true
		n.cuts[route{b, a}] = true
	})
}

// CutOneWay is Cut for the bytes that one host sends to another.
func (n *Network) CutOneWay(from, to string) {
	n.change(func() { n.cuts[route{from, to}] = true })
}

// Heal takes back the cuts and delays between two hosts.
func (n *Network) Heal(a, b string) {
	n.change(func() {
		for _, r := range []route{{a, b}, {b, a}} {
			delete(n.cuts, r)
			delete(n.delays, r)
		}
	})
}

// Delay lets bytes that are written from now on arrive later by d. Bytes keep their order.
func (n *Network) Delay(from, to string, d time.Duration) {
	n.change(func() { n.delays[route{from, to}] = d })
}

// Refuse makes dials to a host fail at once while on is set, as if its process were dead. Open connections stay.
func (n *Network) Refuse(ip string, on bool) {
	n.change(func() { n.refusing[ip] = on })
}

// Reset closes all connections from and to a host, as the end of its process does.
func (n *Network) Reset(ip string) {
	n.change(func() {
		for p := range n.pipes {
			if p.route.from == ip || p.route.to == ip {
				p.closed = true
			}
		}
	})
}

// change changes the network under its lock and wakes all that wait.
func (n *Network) change(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
	for p := range n.pipes {
		p.wake.Broadcast()
	}
}

type host struct {
	network *Network
	ip      string
}

// Listen implements network.Network. The host of address has to be this one, or empty.
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
	if h.network.isCut(h.ip, ip) {
		<-ctx.Done()
		return nil, errors.Wrapf(ctx.Err(), "memory: dial %s", address)
	}
	l := h.network.find(ip, address)
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

func (n *Network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[route{a, b}] || n.cuts[route{b, a}]
}

func (n *Network) find(ip, address string) *listener {
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

// addr is the "IP:port" of an end.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }
