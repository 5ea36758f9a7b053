package process_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/agent"
	"github.com/carawaypitch/carawaypitch/control"
	"github.com/carawaypitch/carawaypitch/entry"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/network/memory"
	"github.com/carawaypitch/carawaypitch/process"
	"github.com/carawaypitch/carawaypitch/settings"
)

// daemon is what all daemons have in common.
type daemon interface{ Run(context.Context) error }

// daemons has the constructor of each daemon. It listens at free ports of the given host and reaches no control instance.
var daemons = map[string]func(t *testing.T, n network.Network, ip string) daemon{
	"control": func(t *testing.T, n network.Network, ip string) daemon {
		s, address := settings.DefaultControl(), net.JoinHostPort(ip, "0")
		s.Instance, s.AvailabilityZone, s.Bootstrap, s.DataDir = "control-1", "zone-1", true, t.TempDir()
		s.Listen = settings.ControlListen{Operators: address, Links: address}
		s.Replicas = []settings.Replica{{Instance: s.Instance, Address: address}}
		s.Timing.Drain = 100 * time.Millisecond
		c, err := control.New(s, control.Options{Network: n})
		require.NoError(t, err)
		return c
	},
	"agent": func(t *testing.T, n network.Network, ip string) daemon {
		s, address := settings.DefaultAgent(), net.JoinHostPort(ip, "0")
		s.Instance, s.AvailabilityZone, s.Advertise, s.Controls = "agent-1", "zone-1", address, []string{net.JoinHostPort(ip, "9")}
		s.Listen = settings.AgentListen{HTTP: address, Links: address}
		a, err := agent.New(s, agent.Options{Network: n})
		require.NoError(t, err)
		return a
	},
	"entry": func(t *testing.T, n network.Network, ip string) daemon {
		s := settings.DefaultEntry()
		s.Instance, s.AvailabilityZone, s.Controls = "entry-1", "zone-1", []string{net.JoinHostPort(ip, "9")}
		s.Listen.Callers = net.JoinHostPort(ip, "0")
		e, err := entry.New(s, entry.Options{Network: n})
		require.NoError(t, err)
		return e
	},
	"readiness and metrics": func(t *testing.T, n network.Network, ip string) daemon {
		s, err := process.NewServer(n, net.JoinHostPort(ip, "0"), process.NewBudget(settings.DefaultEntry().Inbound, nil, nil), http.NotFoundHandler(), time.Second)
		require.NoError(t, err)
		return s
	},
}

// yields is how often a lateListener lets other goroutines run before it closes.
const yields = 200_000

// lateListeners is a network whose listeners close late, and accept one more connection as they begin to close.
type lateListeners struct {
	network.Network

	mu           sync.Mutex
	made, closed int
}

type lateListener struct {
	net.Listener
	of       *lateListeners
	accepted bool
	closing  chan struct{}
	once     sync.Once
}

func (n *lateListeners) Listen(address string) (net.Listener, error) {
	inner, err := n.Network.Listen(address)
	if err != nil {
		return nil, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.made++
	return &lateListener{Listener: inner, of: n, closing: make(chan struct{})}, nil
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closing
	if l.accepted {
		return nil, net.ErrClosed
	}
	l.accepted = true
	conn, _ := net.Pipe()
	return conn, nil
}

func (l *lateListener) Close() error {
	err := net.ErrClosed
	l.once.Do(func() {
		close(l.closing)
		for range yields {
			runtime.Gosched()
		}
		err = l.Listener.Close()
		l.of.mu.Lock()
		defer l.of.mu.Unlock()
		l.of.closed++
	})
	return err
}

// Guards against a daemon that is started again at once and finds an address in use: Run returned before a listener was closed,
// although a connection came in at the moment of its end.
func TestRunReturnsAfterAllListenersAreClosed(t *testing.T) {
	networks := map[string]network.Network{"memory": memory.New().Host("10.0.0.1"), "sockets": network.TCP{}}
	hosts := map[string]string{"memory": "10.0.0.1", "sockets": "127.0.0.1"}
	for kind, inner := range networks {
		for name, start := range daemons {
			t.Run(kind+" "+name, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				n := &lateListeners{Network: inner}
				d := start(t, n, hosts[kind])
				done := make(chan error, 1)
				go func() { done <- d.Run(ctx) }()
				stop()
				require.NoError(t, <-done)
				n.mu.Lock()
				defer n.mu.Unlock()
				require.Positive(t, n.made)
				require.Equal(t, n.made, n.closed)
			})
		}
	}
}

// addresses is a network that remembers the addresses at which it listened.
type addresses struct {
	network.Network
	taken []string
}

func (n *addresses) Listen(address string) (net.Listener, error) {
	l, err := n.Network.Listen(address)
	if err == nil {
		n.taken = append(n.taken, l.Addr().String())
	}
	return l, err
}

// Guards against a daemon that has ended and still holds an address, over real sockets and with connections open.
func TestAddressesAreFreeOnceRunHasReturned(t *testing.T) {
	for name, start := range daemons {
		t.Run(name, func(t *testing.T) {
			for range 3 {
				n := &addresses{Network: network.TCP{}}
				d := start(t, n, "127.0.0.1")
				ctx, stop := context.WithCancel(t.Context())
				done := make(chan error, 1)
				go func() { done <- d.Run(ctx) }()
				for _, address := range n.taken {
					conn, err := net.Dial("tcp", address)
					require.NoError(t, err)
					defer conn.Close()
					_, err = io.WriteString(conn, http.MethodGet+" / HTTP/1.1\r\n")
					require.NoError(t, err)
				}
				stop()
				require.NoError(t, <-done)
				require.NotEmpty(t, n.taken)
				for _, address := range n.taken {
					l, err := net.Listen("tcp", address)
					require.NoError(t, err)
					require.NoError(t, l.Close())
				}
			}
		})
	}
}
