package control_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// The simulated deployment has 300 machines in three zones, with 3,000 backend servers, of which one in twenty has an
// agent.
const (
	fanoutZones   = 3
	fanoutEntries = 150
	fanoutAgents  = 150
	fanoutServers = 3000
	// maxBytesPerProcess bounds the control traffic of a process, in bytes a second. The users require it of each
	// daemon.
	maxBytesPerProcess = 3 * 1024
)

func fanoutZone(i int) string { return fmt.Sprint("zone-", i%fanoutZones) }

// meteredNetwork counts the bytes, in both directions, of connections from one process to control instances in other
// zones.
type meteredNetwork struct {
	network.Network
	zone   string
	zoneOf map[string]string // by link address
	bytes  *atomic.Int64
}

func (n meteredNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	if err != nil || n.zoneOf[address] == n.zone {
		return conn, err
	}
	return meteredConn{conn, n.bytes}, nil
}

type meteredConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// zonedFleet is a fleet that counts the bytes that its processes exchange with other zones.
type zonedFleet struct {
	*fleet
	bytes atomic.Int64
}

func newZonedFleet(t *testing.T) *zonedFleet {
	f := &zonedFleet{fleet: newFleetInZones(t, fanoutZones)}
	zoneOf := make(map[string]string)
	for _, n := range f.instances {
		zoneOf[n.settings.Listen.Links] = n.settings.AvailabilityZone
	}
	f.configure = func(c *session.Config) {
		c.Zone = fanoutZone(len(f.sessions))
		c.Network = meteredNetwork{c.Network, c.Zone, zoneOf, &f.bytes}
		if c.Role == wire.Role_ROLE_AGENT {
			c.ServerAddress = serverAddress(len(f.sessions) - fanoutEntries)
		}
	}
	return f
}

func serverAddress(server int) string {
	return fmt.Sprintf("10.3.%d.%d:8000", server/200, server%200+1)
}

// announceAll announces all servers within a second, each to an instance in its own zone.
func (f *zonedFleet) announceAll(ctx context.Context) {
	var wg sync.WaitGroup
	for i := range fanoutServers {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * time.Second / fanoutServers)
			err := f.instances[i%len(f.instances)].control.Announce(ctx, &wire.Announcement{
				Server: fmt.Sprint("server-", i), Pool: "m", Address: serverAddress(i), AvailabilityZone: fanoutZone(i), Slots: 5, Sequence: 1,
			})
			require.NoError(f.t, err)
		})
	}
	wg.Wait()
}

// knowsServers reports whether each entry knows all servers, and each agent the one at its address.
func (f *zonedFleet) knowsServers() bool {
	for name, s := range f.sessions {
		announcements := s.View().Announcements
		var number int
		if _, err := fmt.Sscanf(name, "agent-%d", &number); err != nil {
			if len(announcements) != fanoutServers {
				return false
			}
			continue
		}
		if announcements[fmt.Sprint("server-", number)].GetAddress() != serverAddress(number) {
			return false
		}
	}
	return true
}

// Guards against sending each announcement to every process over every link, although an agent needs only its own
// server's. When 3,000 servers announce themselves within a second to 300 machines, the busiest control instance then
// sends 3 MB a second, mostly into other zones, and requests are refused while processes handle the updates.
func TestAnnouncementsCrossZonesOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newZonedFleet(t)
		defer f.stopAll()
		f.leader()
		for i := range fanoutEntries {
			f.join(wire.Role_ROLE_ENTRY, i)
		}
		for i := range fanoutAgents {
			f.join(wire.Role_ROLE_AGENT, i)
		}
		f.eventually("all processes are ready", f.allReady)
		began, before := time.Now(), f.bytes.Load()
		f.announceAll(t.Context())
		f.eventually("all processes know the servers", f.knowsServers)
		require.Less(t, time.Since(began), 3*time.Second, "simulated time until all processes know the new servers")
		time.Sleep(10*time.Second - time.Since(began))
		perProcess := float64(f.bytes.Load()-before) / time.Since(began).Seconds() / float64(len(f.sessions))
		require.Less(t, perProcess, float64(maxBytesPerProcess), "bytes a second between zones, per process")
	})
}
