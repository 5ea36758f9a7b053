package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/wire"
)

// cutNetwork ends the connections that it dials in the ordinary way once a number of bytes has gone over them together, in one
// direction. Later connections end at once.
type cutNetwork struct {
	network.Network
	reads bool // bytes to the dialer are counted, otherwise those from it

	mu   sync.Mutex
	left int
	sum  int
}

// Dial implements network.Network.
func (n *cutNetwork) Dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.Network.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &cutConn{Conn: conn, network: n}, nil
}

// take returns how many of the given bytes still go through.
func (n *cutNetwork) take(bytes int) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	bytes = min(bytes, n.left)
	n.left -= bytes
	n.sum += bytes
	return bytes
}

type cutConn struct {
	net.Conn
	network *cutNetwork
}

// Read implements net.Conn.
func (c *cutConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.network.reads || err != nil {
		return n, err
	}
	if passed := c.network.take(n); passed < n {
		_ = c.Conn.Close()
		return passed, io.EOF
	}
	return n, nil
}

// Write implements net.Conn.
func (c *cutConn) Write(b []byte) (int, error) {
	if c.network.reads {
		return c.Conn.Write(b)
	}
	passed := c.network.take(len(b))
	n, err := c.Conn.Write(b[:passed])
	if err == nil && passed < len(b) {
		_ = c.Conn.Close()
		err = net.ErrClosed
	}
	return n, err
}

// runCutLink opens a link that ends after the given number of bytes in one direction, sends messages both ways, and returns it with
// the number of bytes that went through.
func runCutLink(t *testing.T, reads bool, left int, secure bool, toAgent []*wire.EntryMessage, toEntry []*wire.AgentMessage) (*testLink, int) {
	t.Helper()
	r := unstartedLink()
	cut := &cutNetwork{Network: r.dialer.Network, reads: reads, left: left}
	r.dialer.Network = cut
	if secure {
		certificate, pool := newCertificate(t)
		r.dialer.TLS = &tls.Config{RootCAs: pool, Certificates: []tls.Certificate{certificate}, CurvePreferences: []tls.CurveID{tls.X25519}}
		r.tls = &tls.Config{Certificates: []tls.Certificate{certificate}, ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool}
	}
	r.start(t)
	synctest.Wait()
	for _, m := range toAgent {
		_ = r.dialer.Send(agentIncarnation, proto.CloneOf(m)) // false if the link has ended
	}
	for _, m := range toEntry {
		_ = r.server.Send(EntryID{Name: "entry-1", Incarnation: 1}, proto.CloneOf(m))
	}
	time.Sleep(10 * time.Millisecond)
	synctest.Wait()
	return r, cut.sum
}

// Guards against a message that arrives in part, changed or out of order because a connection of its link ended inside it, at each
// byte: a dispatch without all of its body, an end of an attempt before its last events.
func TestLinkCutAtAnyByteDeliversWholeMessagesOnly(t *testing.T) {
	toAgent := []*wire.EntryMessage{newDispatch("r1", 30), newDispatch("r2", MaxShortMessage+1), newCancel("r3")}
	toEntry := []*wire.AgentMessage{newFrame("r1", 0, 20), newFrame("r1", 1, 40), newOver("r1")}
	for _, reads := range []bool{true, false} {
		for _, secure := range []bool{false, true} {
			t.Run(fmt.Sprintf("to the entry=%t, TLS=%t", reads, secure), func(t *testing.T) {
				const unlimited = 1 << 30
				var all, cuts, whole int
				synctest.Test(t, func(t *testing.T) {
					var r *testLink
					r, all = runCutLink(t, reads, unlimited, secure, toAgent, toEntry)
					require.Len(t, r.toAgent, len(toAgent))
					require.Len(t, r.toEntry, len(toEntry))
				})
				step := 1
				if secure {
					step = 29 // each link takes handshakes
				} else if all > 2000 {
					step = 7 // of a long body
				}
				for left := 0; left < all; left += step {
					synctest.Test(t, func(t *testing.T) {
						r, _ := runCutLink(t, reads, left, secure, toAgent, toEntry)
						r.mu.Lock()
						defer r.mu.Unlock()
						requireAmongSent(t, toAgent, r.toAgent, left)
						require.LessOrEqual(t, len(r.toEntry), len(toEntry))
						for i, m := range r.toEntry {
							require.True(t, proto.Equal(toEntry[i], m), "cut after %d bytes: message %d: %v", left, i, m)
						}
						whole += len(r.toAgent) + len(r.toEntry)
					})
					cuts++
				}
				t.Logf("%d cuts of %d bytes, %d whole messages", cuts, all, whole)
			})
		}
	}
}

// requireAmongSent requires that each message received is one of those sent, whole, and comes once; short ones overtake long ones.
func requireAmongSent(t *testing.T, sent, got []*wire.EntryMessage, left int) {
	t.Helper()
	seen := make(map[int]bool)
	for _, m := range got {
		found := false
		for i := range sent {
			if !seen[i] && proto.Equal(sent[i], m) {
				seen[i], found = true, true
				break
			}
		}
		require.True(t, found, "cut after %d bytes: a message that wasn't sent: %v", left, m)
	}
}
