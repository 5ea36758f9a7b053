package standin

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
)

func startBenchmark(b *testing.B, options Options) *engine.HTTP {
	server := New(options)
	ctx, stop := context.WithCancel(b.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	<-server.Ready()
	client, err := engine.NewHTTP(server.URL(), engine.HTTPOptions{})
	require.NoError(b, err)
	b.Cleanup(func() {
		client.Close()
		stop()
		<-done
	})
	return client
}

// BenchmarkServiceCall measures calls without service time over loopback.
func BenchmarkServiceCall(b *testing.B) {
	options := ServiceDefaults()
	options.ServiceTime = 0
	client := startBenchmark(b, options)
	var number atomic.Uint64
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := engine.AttemptID(fmt.Sprintf("r%d.1", number.Add(1)))
			if _, err := client.Run(b.Context(), serviceRequest(id, string(id)), tokenSink{}); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}

// BenchmarkTokens measures streams of 256 tokens, from an engine whose steps take no time, over
// loopback.
func BenchmarkTokens(b *testing.B) {
	const output = 256
	options := ModelDefaults()
	options.PrefillRate = 1e12
	options.DecodePace = MinDecodePace
	options.DecodeSlope = 0
	client := startBenchmark(b, options)
	var number atomic.Uint64
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			id := engine.AttemptID(fmt.Sprintf("r%d.1", number.Add(1)))
			if _, err := client.Run(b.Context(), completionRequest(id, 64, output), tokenSink{}); err != nil {
				b.Error(err)
				return
			}
		}
	})
	b.ReportMetric(float64(b.N)*output/b.Elapsed().Seconds(), "tokens/s")
}
