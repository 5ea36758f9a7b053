package experiment

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/dev"
	"github.com/carawaypitch/carawaypitch/network"
)

// gateCheck is the body of the calls that measure the path.
var gateCheck = []byte(`{"pass":"ZG-1"}`)

// path is a deployment of one entry and one service, and a client to both.
type path struct {
	client          *http.Client
	entry, key, own string // URLs and the caller's key
}

// startPath starts everything over plain loopback TCP. The service's own time is made as short as it gets.
func startPath(b *testing.B) *path {
	b.Helper()
	d, err := dev.Start(context.Background(), dev.Options{
		Entry: "127.0.0.1:0", Control: "127.0.0.1:0", DataDir: b.TempDir(), Entries: 1, Services: 1,
	})
	require.NoError(b, err)
	b.Cleanup(func() { require.NoError(b, d.Stop()) })
	info := d.Info()
	p := &path{
		client: &http.Client{Transport: network.SingleSend{Transport: &http.Transport{MaxIdleConnsPerHost: 1000}}},
		entry:  info.Entries[0] + "/v1/services/" + dev.SampleService + "/check",
		own:    info.Engines[0] + "/check",
		key:    info.Organisations[0].Key,
	}
	b.Cleanup(p.client.CloseIdleConnections)
	require.NoError(b, p.post(info.Engines[0]+"/v1/faults", []byte(`{"slow": 0.0001}`)))
	return p
}

func (p *path) post(url string, body []byte) error {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+p.key)
	request.Header.Set("Carawaypitch-Class", "gate-check")
	reply, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	answer, err := io.ReadAll(reply.Body)
	if err == nil && reply.StatusCode != http.StatusOK {
		return errors.Errorf("status %d: %s", reply.StatusCode, answer)
	}
	return err
}

func (p *path) timed(b *testing.B, url string, into *hdrhistogram.Histogram) {
	begin := time.Now()
	if err := p.post(url, gateCheck); err != nil {
		b.Fatal(err)
	}
	_ = into.RecordValue(time.Since(begin).Nanoseconds())
}

// BenchmarkPathLatency compares a gate check through entry and agent with a direct call to the service, in turn.
func BenchmarkPathLatency(b *testing.B) {
	p := startPath(b)
	direct, through := hdrhistogram.New(1, int64(time.Minute), 3), hdrhistogram.New(1, int64(time.Minute), 3)
	for b.Loop() {
		p.timed(b, p.own, direct)
		p.timed(b, p.entry, through)
	}
	for name, percent := range map[string]float64{"p50": 50, "p99": 99} {
		own, whole := float64(direct.ValueAtQuantile(percent)), float64(through.ValueAtQuantile(percent))
		b.ReportMetric(own/1000, "direct-us-"+name)
		b.ReportMetric((whole-own)/1000, "added-us-"+name)
		b.ReportMetric(whole/own, "ratio-"+name)
	}
}

// BenchmarkPathThroughput reports requests a second of processor time, of everything in this process: caller, entry,
// agent and service; and the same without entry and agent. The difference is what the path costs.
func BenchmarkPathThroughput(b *testing.B) {
	p := startPath(b)
	for name, url := range map[string]string{"direct": p.own, "through": p.entry} {
		b.Run(name, func(b *testing.B) {
			const callersPerCore = 8
			b.SetParallelism(callersPerCore)
			before := processorTime(b)
			b.RunParallel(func(calls *testing.PB) {
				for calls.Next() {
					if err := p.post(url, gateCheck); err != nil {
						b.Error(err)
						return
					}
				}
			})
			used := processorTime(b) - before
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			b.ReportMetric(float64(b.N)/used.Seconds(), "requests/core-s")
			b.ReportMetric(float64(used.Microseconds())/float64(b.N), "core-us/request")
		})
	}
}

// processorTime is what the process has used.
func processorTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
