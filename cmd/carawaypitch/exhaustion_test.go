//go:build exhaustion

package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/experiment/crowd"
	"github.com/carawaypitch/carawaypitch/settings"
)

// The machine and the crowd, those of the tests of the same name in package platform.
const (
	exhaustionMemoryMB = 134
	exhaustionBody     = 4 << 20
	crowdConnections   = 160
	crowdTime          = 4 * time.Second
)

var exhaustionShapes = []string{
	"a byte short", "whole", "chunks of 256 KiB, stopping short", "chunks of 64 KiB, over the limit", "chunks of one byte",
	"heads stopping short", "head without an end", "pipelined, answers unread", "no request",
}

// Guards against an entry that runs out of memory or hangs because of what clients send to the product's own interface, with and
// without TLS.
func TestExhaustionOfOwnInterface(t *testing.T) {
	// The shares of the memory are those that docs/OPERATORS.md advises.
	t.Setenv("GOMEMLIMIT", fmt.Sprintf("%dMiB", exhaustionMemoryMB*6/10))
	c := startCluster(t)
	certificate := newAuthority(t)
	issued := certificate.issue(certificate)
	request := crowd.Request{Line: "POST /v1/services/registry/check", Header: func(id string) string {
		return "Host: a.example\r\nAuthorization: Bearer " + c.callerKey + "\r\nCarawaypitch-Class: gate-check\r\nX-Crowd: " + id + "\r\n"
	}}
	members := crowd.Shapes(request, exhaustionBody)
	for _, scheme := range []string{"http", "https"} {
		for _, name := range exhaustionShapes {
			t.Run(scheme+"/"+name, func(t *testing.T) {
				c.change = func(s any) {
					if entry, ok := s.(*settings.Entry); ok {
						entry.Inbound.Bytes = exhaustionMemoryMB * 45 / 100 * settings.MiB
						if scheme == "https" {
							entry.CallerTLS = settings.CallerTLS{Certificate: issued.Certificate, Key: issued.Key}
						}
					}
				}
				checkOwnInterface(t, c, scheme, members[name])
			})
		}
	}
}

// abruptConn is a connection with TLS that closes without a word to its peer, also beside a write that waits.
type abruptConn struct {
	*tls.Conn
	raw net.Conn
}

// Close implements net.Conn.
func (c abruptConn) Close() error { return c.raw.Close() }

// checkOwnInterface plays a crowd at a new entry and checks its process.
func checkOwnInterface(t *testing.T, c *cluster, scheme string, member crowd.Member) {
	n := len(c.entries)
	c.addEntry(n)
	entry := c.entries[n]
	entry.start()
	defer entry.kill()
	address := strings.TrimPrefix(c.entryURLs[n], "http://")
	config := &tls.Config{InsecureSkipVerify: true} //nolint:gosec // the certificate isn't what is tested
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: config}}
	isServed := func() bool {
		call, err := http.NewRequest(http.MethodPost, scheme+"://"+address+"/v1/services/registry/check", strings.NewReader(`{"pass": "ZG-1"}`))
		require.NoError(t, err)
		call.Header.Set("Authorization", "Bearer "+c.callerKey)
		call.Header.Set("Carawaypitch-Class", "gate-check")
		response, err := client.Do(call)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}
	c.eventually(isServed, "the entry serves an ordinary request")
	dial := crowd.Dial(address)
	if scheme == "https" {
		plain := dial
		dial = func(ctx context.Context) (net.Conn, error) {
			conn, err := plain(ctx)
			if err != nil {
				return nil, err
			}
			secure := tls.Client(conn, config)
			if err := secure.HandshakeContext(ctx); err != nil {
				_ = conn.Close()
				return nil, err
			}
			return abruptConn{secure, conn}, nil
		}
	}
	process := &crowd.Process{PID: entry.cmd.Process.Pid, Address: address}
	watched, stopWatching := context.WithCancel(t.Context())
	var watching sync.WaitGroup
	watching.Go(func() { process.Watch(watched) })
	ctx, stop := context.WithTimeout(t.Context(), crowdTime)
	defer stop()
	crowd.Run(ctx, dial, crowdConnections, member)
	c.eventually(isServed, "the entry serves an ordinary request afterwards")
	stopWatching()
	watching.Wait()
	_, alive := crowd.ResidentMemory(process.PID)
	t.Logf("peak memory %d MB, of it unread %d MB at most, %d descriptors at most", process.Memory.Load()>>20, process.Unread.Load()>>20, process.Descriptors.Load())
	require.True(t, alive, "the process has ended")
	require.LessOrEqual(t, process.Memory.Load(), int64(exhaustionMemoryMB)<<20, "memory of the process, with unread bytes")
}
