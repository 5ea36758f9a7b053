// Package fabric is the machine's own TCP with what an experiment needs besides: one-way delays between availability
// zones, hosts that die and hosts that are cut off.
//
// Each instance is a host with a network.Network of its own. A dialled connection between hosts goes through a pair of
// pumps that hold each piece of data back for the delay; between hosts of the same IP number it is plain TCP. Everything happens on the
// dialling side, since both directions pass there.
//
// Hosts have IP numbers that mean something within the fabric only; behind each address is a listener on loopback. So
// an instance that is started again listens where its predecessor did, and two experiments don't meet.
package fabric

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/carawaypitch/carawaypitch/network"
)

// Fabric joins hosts.
type Fabric struct {
	delay func(from, to string) time.Duration

	mu       sync.Mutex
	places   map[string]place // by address within the fabric
	assigned int              // IP numbers given out
	parted   map[[2]string]chan struct{}
}

// place is where a listener is.
type place struct {
	host *Host
	real string
}

// New returns a fabric whose one-way delay between two zones is given by delay.
func New(delay func(from, to string) time.Duration) *Fabric {
	return &Fabric{delay: delay, places: make(map[string]place), parted: make(map[[2]string]chan struct{})}
}

// NewIP returns an IP number that no host has.
func (f *Fabric) NewIP() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.assigned++
	const perNet = 250
	return fmt.Sprintf("10.0.%d.%d", f.assigned/perNet, f.assigned%perNet+1)
}

// Host returns a new host at an IP number in a zone. It takes the place of an earlier one at that IP number as soon as
// it listens.
func (f *Fabric) Host(ip, zone string) *Host {
	return &Host{
		fabric:    f,
		ip:        ip,
		zone:      zone,
		nextPort:  firstPort,
		listeners: make(map[net.Listener]struct{}),
		pipes:     make(map[*pipe]struct{}),
		healed:    closed(),
	}
}

// Part stops all bytes between two IP numbers, in both directions, without an error to anybody. Join lets them go on.
func (f *Fabric) Part(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if pair := pairOf(a, b); f.parted[pair] == nil {
		f.parted[pair] = make(chan struct{})
	}
}

// Join ends Part.
func (f *Fabric) Join(a, b string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	pair := pairOf(a, b)
	if joined := f.parted[pair]; joined != nil {
		close(joined)
		delete(f.parted, pair)
	}
}

func pairOf(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

// whenJoined returns a channel that is closed once the two IP numbers are not parted.
func (f *Fabric) whenJoined(a, b string) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if joined := f.parted[pairOf(a, b)]; joined != nil {
		return joined
	}
	return joinedAlready
}

var joinedAlready = closed()

func closed() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

func (f *Fabric) at(address string) (place, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p, ok := f.places[address]
	return p, ok
}

func (f *Fabric) register(address string, p place) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.places[address] = p
}

// firstPort is where the ports of listeners that ask for port 0 begin.
const firstPort = 40_000

// Host is one instance's network.
type Host struct {
	fabric *Fabric
	ip     string
	zone   string

	mu        sync.Mutex
	dead      bool
	nextPort  int
	listeners map[net.Listener]struct{}
	pipes     map[*pipe]struct{} // dialled by or to this host
	healed    chan struct{}      // closed unless the host is cut off
}

var _ network.Network = (*Host)(nil)

// Listen implements network.Network. Of the address only the port counts.
func (h *Host) Listen(address string) (net.Listener, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return nil, syscall.ENETDOWN
	}
	if port == "0" {
		h.nextPort++
		port = strconv.Itoa(h.nextPort)
	}
	real, err := network.TCP{}.Listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h.listeners[real] = struct{}{}
	l := &listener{Listener: real, address: text(net.JoinHostPort(h.ip, port))}
	h.fabric.register(l.address.String(), place{host: h, real: real.Addr().String()})
	return l, nil
}

// listener tells its address within the fabric.
type listener struct {
	net.Listener
	address text
}

// Addr returns the address within the fabric.
func (l *listener) Addr() net.Addr { return l.address }

// Dial implements network.Network.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	target, ok := h.fabric.at(address)
	if !ok || h.isDead() || target.host.isDead() {
		return nil, refused(address)
	}
	delay := time.Duration(0)
	if target.host.ip != h.ip {
		delay = h.fabric.delay(h.zone, target.host.zone)
		if err := h.handshake(ctx, target.host, delay); err != nil {
			return nil, err
		}
	}
	conn, err := network.TCP{}.Dial(ctx, target.real)
	if err != nil {
		return nil, err
	}
	return h.join(target.host, conn, delay)
}

func refused(address string) error {
	cause := syscall.ECONNREFUSED
	return &net.OpError{Op: "dial", Net: "tcp", Addr: text(address), Err: cause}
}

// text is a net.Addr of a text.
type text string

func (t text) Network() string { return "tcp" }
func (t text) String() string  { return string(t) }

// handshake takes the round trip of a connection's opening. Between hosts that are cut off it takes until the heal.
func (h *Host) handshake(ctx context.Context, to *Host, delay time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, network.DialTimeout)
	defer cancel()
	for _, open := range []<-chan struct{}{h.whenHealed(), to.whenHealed(), h.fabric.whenJoined(h.ip, to.ip)} {
		select {
		case <-open:
		case <-ctx.Done():
			return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
		}
	}
	timer := time.NewTimer(2 * delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

// join notes a connection at both hosts.
func (h *Host) join(to *Host, conn net.Conn, delay time.Duration) (net.Conn, error) {
	p := newPipe(conn, delay, h, to)
	if !h.add(p) || !to.add(p) {
		p.close()
		return nil, refused(conn.RemoteAddr().String())
	}
	if to.ip == h.ip {
		return &plain{Conn: conn, pipe: p}, nil
	}
	return p.start(), nil
}

func (h *Host) add(p *pipe) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		return false
	}
	h.pipes[p] = struct{}{}
	return true
}

func (h *Host) remove(p *pipe) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pipes, p)
}

func (h *Host) isDead() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.dead
}

func (h *Host) whenHealed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.healed
}

// Kill ends the host as the death of its process does: its listeners and connections close at once, and nothing that
// still runs in its name reaches anybody. Another host can then listen at its addresses.
func (h *Host) Kill() {
	h.mu.Lock()
	h.dead = true
	listeners, pipes := h.listeners, h.pipes
	h.listeners, h.pipes = nil, make(map[*pipe]struct{})
	h.mu.Unlock()
	for l := range listeners {
		_ = l.Close()
	}
	for p := range pipes {
		p.close()
	}
}

// Cut stops all bytes between this host and others, in both directions, without an error to anybody. Heal lets them go
// on.
func (h *Host) Cut() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.healed = make(chan struct{})
}

// Heal ends Cut.
func (h *Host) Heal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.healed:
	default:
		close(h.healed)
	}
}
