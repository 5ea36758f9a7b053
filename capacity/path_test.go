package capacity

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/entry"
	"github.com/carawaypitch/carawaypitch/network"
)

// answerTokens is the length of a streamed answer.
const answerTokens = 64

// pathServers is how many backend servers the entry of a path has.
const pathServers = 4

// BenchmarkEntryRequests measures what an entry spends on a service call.
func BenchmarkEntryRequests(b *testing.B) {
	benchmarkEntry(b, "request", Order{}, []float64{50, 100, 200, 400}, 1)
}

// BenchmarkEntryTokens measures what an entry spends on a streamed token, with the share of its request.
func BenchmarkEntryTokens(b *testing.B) {
	benchmarkEntry(b, "token", Order{Tokens: answerTokens}, []float64{5, 10, 20, 40}, answerTokens)
}

// BenchmarkEntryKeyed measures what an entry spends on a service call with an Idempotency-Key.
func BenchmarkEntryKeyed(b *testing.B) {
	benchmarkEntry(b, "request", Order{Keyed: true}, []float64{25, 50, 100, 200}, 1)
}

func benchmarkEntry(b *testing.B, size string, load Order, rates []float64, perRequest float64) {
	b.Helper()
	for b.Loop() {
		t := newTable(b, size)
		rig, done := newRig(b)
		controls := farControls(t, rig)
		_, err := rig.Far.Do(Order{Do: doServers, Count: pathServers, Controls: controls, Tokens: load.Tokens})
		t.must(err)
		e, err := entry.New(entrySettings(controls), entry.Options{Network: rig.Net, Log: silent(), Seed: 1})
		t.must(err)
		rig.Run(e.Run)
		load.Addresses = []string{"http://" + e.CallersAddr()}
		measureLoad(t, rig, load, rates, perRequest)
		done()
		t.report()
	}
}

// BenchmarkAgentRequests measures what an agent spends on a service call.
func BenchmarkAgentRequests(b *testing.B) {
	benchmarkAgent(b, "request", Order{}, []float64{50, 100, 200, 400}, 1)
}

// BenchmarkAgentTokens measures what an agent spends on a streamed token, with the share of its request.
func BenchmarkAgentTokens(b *testing.B) {
	benchmarkAgent(b, "token", Order{Tokens: answerTokens}, []float64{5, 10, 20, 40}, answerTokens)
}

func benchmarkAgent(b *testing.B, size string, load Order, rates []float64, perRequest float64) {
	b.Helper()
	for b.Loop() {
		t := newTable(b, size)
		rig, done := newRig(b)
		controls := farControls(t, rig)
		a := runAgent(t, rig, controls)
		_, err := rig.Far.Do(Order{Do: doEngine, Addresses: []string{"http://" + a.HTTPAddr()}, Tokens: load.Tokens})
		t.must(err)
		reply, err := rig.Far.Do(Order{Do: doEntry, Controls: controls})
		t.must(err)
		load.Addresses = reply.Addresses
		measureLoad(t, rig, load, rates, perRequest)
		done()
		t.report()
	}
}

// measureLoad puts the load on at several rates and notes the cost of all units a second: each request has perRequest
// of them. A load of which some calls failed isn't a measurement.
func measureLoad(t *table, rig *Rig, load Order, rates []float64, perRequest float64) {
	t.b.Helper()
	awaitReady(t.b, load.Addresses[0])
	time.Sleep(settle)
	for n, each := range rates {
		load.Do, load.First, load.Rate, load.Seconds = doLoad, n, each, window.Seconds()
		start := time.Now()
		rate, err := rig.Over(func() error {
			reply, err := rig.Far.Do(load)
			if err == nil {
				require.Zero(t.b, reply.Failed, "calls failed")
			}
			return err
		})
		t.must(err)
		units := each * window.Seconds() * perRequest / time.Since(start).Seconds()
		t.addRate(units, "", rate)
	}
}

// awaitReady waits until an entry may receive calls.
func awaitReady(b *testing.B, url string) {
	b.Helper()
	client := &http.Client{Transport: network.SingleSend{Transport: new(http.Transport)}}
	defer client.CloseIdleConnections()
	require.Eventually(b, func() bool {
		response, err := client.Get(url + "/readyz")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, waitBound, 20*time.Millisecond)
}
