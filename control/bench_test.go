package control_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/control"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// startOnLoopback starts control instances over TCP with their logs on disk, and returns their link addresses.
func startOnLoopback(b *testing.B, size int) []string {
	addresses := freeAddresses(b, size)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, size)
	for i := range size {
		s := settings.DefaultControl()
		s.Instance, s.AvailabilityZone = "control-"+strconv.Itoa(i), "zone-1"
		s.Listen = settings.ControlListen{Operators: "127.0.0.1:0", Links: addresses[i]}
		s.Advertise, s.Bootstrap, s.DataDir = addresses[i], true, b.TempDir()
		s.Operators = []settings.OperatorAccount{{
			Name:       "olga",
			KeyDigests: []string{settings.NewDigest(operatorKey, bytes.Repeat([]byte{1}, settings.SaltBytes))},
		}}
		for j, address := range addresses {
			s.Replicas = append(s.Replicas, settings.Replica{Instance: "control-" + strconv.Itoa(j), Address: address})
		}
		c, err := control.New(s, control.Options{})
		require.NoError(b, err)
		go func() { done <- c.Run(ctx) }()
	}
	b.Cleanup(func() {
		cancel()
		for range size {
			require.NoError(b, <-done)
		}
	})
	return addresses
}

func freeAddresses(b *testing.B, n int) []string {
	var out []string
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		defer listener.Close()
		out = append(out, listener.Addr().String())
	}
	return out
}

// BenchmarkBegin measures how long it takes to record a keyed request, from an entry's proposal to the answer, by the
// number of concurrent requests. All replicas sync to the same disk here.
func BenchmarkBegin(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("replicas=%d/callers=%d", size, callers), func(b *testing.B) {
				s := session.New(session.Config{
					Instance: "entry-1", Role: wire.Role_ROLE_ENTRY, Incarnation: 1,
					Controls: startOnLoopback(b, size), Network: network.TCP{},
				})
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				go func() { _ = s.Run(ctx) }()
				require.Eventually(b, func() bool { return s.Ready() == nil }, time.Minute, 10*time.Millisecond)
				beginOperation(b, s, 0)
				var next atomic.Int64
				b.ResetTimer()
				if callers == 1 {
					for i := range b.N {
						beginOperation(b, s, int64(i)+1)
					}
					return
				}
				b.SetParallelism(max(1, callers/runtime.GOMAXPROCS(0)))
				b.RunParallel(func(pb *testing.PB) {
					for pb.Next() {
						beginOperation(b, s, next.Add(1))
					}
				})
			})
		}
	}
}

func beginOperation(b *testing.B, s *session.Session, i int64) {
	res, err := s.Propose(context.Background(), &wire.Command{Kind: &wire.Command_BeginOperation{BeginOperation: &wire.BeginOperation{
		Organisation: "union", Key: fmt.Sprint("key-", i), Digest: make([]byte, 32), Entry: "entry-1", EntryIncarnation: 1,
		Request: fmt.Sprint("request-", i), Candidates: []string{"server-1"}, Class: "pass-issue",
	}}})
	if err != nil || res.GetCode() != 0 {
		b.Error(err, res.GetMessage())
	}
}
