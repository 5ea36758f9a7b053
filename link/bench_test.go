package link

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/wire"
)

// BenchmarkLink measures sending over TCP on loopback, from an entry to an agent.
func BenchmarkLink(b *testing.B) {
	b.Run("short", func(b *testing.B) { benchmarkLink(b, newCancel("r1")) })
	b.Run("dispatch 1 KiB", func(b *testing.B) { benchmarkLink(b, newDispatch("r1", 1<<10)) })
	b.Run("dispatch 64 KiB", func(b *testing.B) { benchmarkLink(b, newDispatch("r1", 64<<10)) })
}

func benchmarkLink(b *testing.B, message *wire.EntryMessage) {
	var received atomic.Int64
	up := make(chan struct{})
	arrived := make(chan struct{})
	server := &EntryServer{
		Hello: func() *wire.AgentHello { return &wire.AgentHello{Agent: "agent-1", Incarnation: agentIncarnation} },
		Up:    func(context.Context, *wire.EntryHello) {},
		Down:  func(EntryID, error) {},
		Receive: func(_ context.Context, _ EntryID, m *wire.EntryMessage) error {
			if m.GetHeartbeat() == nil && received.Add(1) == int64(b.N) {
				close(arrived)
			}
			return nil
		},
	}
	listener, err := network.TCP{}.Listen("127.0.0.1:0")
	require.NoError(b, err)
	dialer := &AgentDialer{
		Network: network.TCP{},
		Address: listener.Addr().String(),
		Hello:   func() *wire.EntryHello { return &wire.EntryHello{Entry: "entry-1"} },
		Up:      func(context.Context, *wire.AgentHello) { close(up) },
		Down:    func(*wire.AgentHello, error) {},
		Receive: func(context.Context, *wire.AgentHello, *wire.AgentMessage) error { return nil },
	}
	stopServer := runInBackground(func(ctx context.Context) { _ = Serve(ctx, listener, nil, server.Register) })
	stopDialer := runInBackground(func(ctx context.Context) { _ = dialer.Run(ctx) })
	defer stopServer()
	defer stopDialer()
	<-up

	l := dialer.current.Load()
	target := l.messages.ring
	if entryMessageStream(message) == bulkStream {
		target = l.bulk.ring
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		require.NoError(b, target.Push(context.Background(), message))
	}
	<-arrived
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "messages/s")
}
