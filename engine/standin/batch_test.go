package standin

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
)

// slowOptions returns options with round numbers: 1 ms per prompt token, 10 ms per output
// token, and 2 ms more for each further stream.
func slowOptions() Options {
	options := ModelDefaults()
	options.PrefillRate = 1000
	options.PrefillChunk = 200
	options.DecodePace = 10 * time.Millisecond
	options.DecodeSlope = 2 * time.Millisecond
	return options
}

// submitTogether submits streams to a batch whose loop starts after all are queued.
func submitTogether(t *testing.T, b *batch, requests ...engine.Request) []*stream {
	b.looping = true
	streams := make([]*stream, 0, len(requests))
	for _, request := range requests {
		spec, err := b.parse(request.Body)
		require.NoError(t, err)
		s, err := b.submit(request.ID, spec)
		require.NoError(t, err)
		streams = append(streams, s)
	}
	b.loops.Go(b.loop)
	return streams
}

// Guards against step durations and an order of admission that do not follow from the options.
func TestSpeedModel(t *testing.T) {
	ms := time.Millisecond
	cases := map[string]struct {
		options func(*Options)
		// prompts and outputs hold one length in tokens for each stream.
		prompts, outputs []int
		first, last      []time.Duration
	}{
		"alone": {
			prompts: []int{100}, outputs: []int{5},
			first: []time.Duration{100 * ms}, last: []time.Duration{140 * ms},
		},
		"long prompt in chunks": {
			prompts: []int{450}, outputs: []int{1},
			first: []time.Duration{450 * ms}, last: []time.Duration{450 * ms},
		},
		"batch slows each stream and raises throughput": {
			prompts: []int{50, 50, 50}, outputs: []int{5, 5, 5},
			first: []time.Duration{150 * ms, 150 * ms, 150 * ms}, last: []time.Duration{206 * ms, 206 * ms, 206 * ms},
		},
		"a prompt delays decoding streams": {
			// Steps: 200 prompt tokens; 150 prompt tokens and the second token of the first
			// stream; then both decode.
			prompts: []int{100, 250}, outputs: []int{3, 2},
			first: []time.Duration{200 * ms, 360 * ms}, last: []time.Duration{372 * ms, 372 * ms},
		},
		"one slot at a time": {
			options: func(o *Options) { o.Slots = 1 },
			prompts: []int{100, 100}, outputs: []int{2, 2},
			first: []time.Duration{100 * ms, 210 * ms}, last: []time.Duration{110 * ms, 220 * ms},
		},
		"KV memory admits in order of arrival": {
			// The second stream does not fit beside the first. The third would fit but arrived
			// later.
			options: func(o *Options) { o.KVTokens = 200 },
			prompts: []int{100, 150, 10}, outputs: []int{2, 2, 2},
			first: []time.Duration{100 * ms, 270 * ms, 270 * ms}, last: []time.Duration{110 * ms, 282 * ms, 282 * ms},
		},
		"straggler": {
			options: func(o *Options) { o.Faults.Slow = 3 },
			prompts: []int{100}, outputs: []int{5},
			first: []time.Duration{300 * ms}, last: []time.Duration{420 * ms},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				options := slowOptions()
				if c.options != nil {
					c.options(&options)
				}
				b := New(options).model.batch
				var requests []engine.Request
				for i := range c.prompts {
					id := engine.AttemptID(fmt.Sprintf("r%d.1", i))
					requests = append(requests, completionRequest(id, c.prompts[i], c.outputs[i]))
				}
				started := time.Now()
				for i, s := range submitTogether(t, b, requests...) {
					reader := b.attach(s)
					go func() {
						_, _, err := b.wait(t.Context(), s, reader, 0)
						assert.NoError(t, err)
						assert.Equal(t, c.first[i], time.Since(started), "first token of %d", i)
						_, _, err = b.wait(t.Context(), s, reader, c.outputs[i])
						assert.NoError(t, err)
						assert.Equal(t, c.last[i], time.Since(started), "last token of %d", i)
					}()
				}
				time.Sleep(time.Minute)
				b.close() // the loop has returned, so its fields can be read without the lock
				assert.Zero(t, b.kvReserved)
				assert.Zero(t, b.options.Ledger.Running())
			})
		})
	}
}

// Guards against prompts that are recomputed although they are cached, and against events that
// do not match the cache. Prompts share a prefix, and the cache holds fewer blocks than they
// need.
func TestPrefixCache(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := slowOptions()
		options.CacheBlocks = 8
		options.CacheLag = time.Second
		server, client := startServer(t, options)
		run := func(id engine.AttemptID, request engine.Request) int {
			request.ID = id
			outcome, err := client.Run(t.Context(), request, tokenSink{})
			require.NoError(t, err)
			return outcome.CachedPromptTokens
		}
		first := completionRequest("a", 100, 1)
		assert.Zero(t, run("a.1", first))
		events, err := client.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		assert.Empty(t, events, "events are published with a delay")
		assert.Equal(t, 96, run("a.2", first))
		assert.Zero(t, run("b.1", completionRequest("b", 64, 1)))
		time.Sleep(time.Second)
		events, err = client.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		require.Len(t, events, 3)
		prompt, err := engine.ParsePrompt(first.Body)
		require.NoError(t, err)
		blocks := engine.PrefixBlockHashes("sample", prompt.Text, options.BlockTokens)
		assert.Equal(t, engine.CacheEvent{Seq: 1, Kind: engine.CacheStored, ID: "a.1", Blocks: blocks}, events[0])
		assert.Equal(t, engine.CacheEvicted, events[1].Kind)
		assert.Equal(t, blocks[:2], events[1].Blocks)
		assert.Equal(t, engine.AttemptID("b.1"), events[2].ID)
		later, err := client.CacheEvents(t.Context(), 2)
		require.NoError(t, err)
		assert.Equal(t, events[2:], later)
		assert.Equal(t, uint64(100+4+64), server.Stats().PrefillTokens)
	})
}

// Guards against lost cache events that differ between runs with the same seed.
func TestCacheEventGapsFollowSeed(t *testing.T) {
	seqs := func(seed uint64, faults Faults, gap float64) []uint64 {
		b := New(Options{Seed: seed, CacheGap: gap, Faults: faults}).model.batch
		for range 100 {
			b.events.add(engine.CacheStored, "", nil)
		}
		var seqs []uint64
		for _, event := range b.cacheEvents(0) {
			seqs = append(seqs, event.Seq)
		}
		return seqs
	}
	assert.Len(t, seqs(1, Faults{}, 0), 100)
	assert.Empty(t, seqs(1, Faults{DropCacheEvents: 1}, 0))
	some := seqs(1, Faults{}, 0.5)
	assert.InDelta(t, 50, len(some), 15)
	assert.Equal(t, some, seqs(1, Faults{}, 0.5))
	assert.NotEqual(t, some, seqs(2, Faults{}, 0.5))
}

// Guards against load reports that are not delayed by the configured lag. Delayed reports are
// what makes a scheduler that relies on them overload a full engine.
func TestLoadReportsLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := slowOptions()
		options.LoadLag = 700 * time.Millisecond
		_, client := startServer(t, options)
		running := func() int {
			load, err := client.Load(t.Context())
			require.NoError(t, err)
			assert.EqualValues(t, 700, load.AgeMs)
			return load.Running
		}
		time.Sleep(time.Second)
		go func() {
			_, err := client.Run(t.Context(), completionRequest("a.1", 100, 20), tokenSink{})
			assert.NoError(t, err)
		}()
		time.Sleep(690 * time.Millisecond)
		assert.Zero(t, running())
		time.Sleep(200 * time.Millisecond)
		assert.Equal(t, 1, running())
		time.Sleep(200 * time.Millisecond)
		assert.Zero(t, running())
	})
}

// Guards against streams, cached blocks or event numbers that survive a crash. The engine
// crashes during a stream and restarts.
func TestCrashDiscardsState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := slowOptions()
		options.CacheLag = 0
		server, client := startServer(t, options)
		sink := tokenSink{onToken: func(index int) error {
			if index == 3 {
				server.Crash(2 * time.Second)
			}
			return nil
		}}
		_, err := client.Run(t.Context(), completionRequest("a.1", 100, 20), sink)
		require.ErrorIs(t, err, engine.ErrOutcomeUnknown)
		synctest.Wait()
		_, err = client.Streams(t.Context())
		require.ErrorIs(t, err, engine.ErrNeverSent)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		streams, err := client.Streams(t.Context())
		require.NoError(t, err)
		assert.Empty(t, streams)
		events, err := client.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		assert.Equal(t, []engine.CacheEvent{{Seq: 1, Kind: engine.CacheCleared}}, events)
		assert.Equal(t, map[string]uint64{WasteCrash: 100}, server.Stats().WastedByCause)
		outcome, err := client.Run(t.Context(), completionRequest("a.2", 100, 20), tokenSink{})
		require.NoError(t, err)
		assert.Zero(t, outcome.CachedPromptTokens)
		assert.Zero(t, server.Stats().Overlaps)
	})
}

// Guards against ended streams that are held beyond MaxHeld or HoldTime.
func TestEndedStreamsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := slowOptions()
		options.MaxHeld = 2
		options.HoldTime = time.Minute
		_, client := startServer(t, options)
		held := func() int {
			streams, err := client.Streams(t.Context())
			require.NoError(t, err)
			return len(streams)
		}
		for number := range 4 {
			id := engine.AttemptID(fmt.Sprintf("r%d.1", number))
			_, err := client.Run(t.Context(), completionRequest(id, 10, 1), tokenSink{})
			require.NoError(t, err)
		}
		assert.Equal(t, 2, held())
		time.Sleep(time.Minute)
		_, err := client.Run(t.Context(), completionRequest("last.1", 10, 1), tokenSink{})
		require.NoError(t, err)
		assert.Equal(t, 1, held())
	})
}

// Guards against negative totals in the engine. A KV cache with inconsistent or overflowing
// token counts is imported from another engine.
func TestImportRefusesImpossibleKV(t *testing.T) {
	for _, kv := range []string{
		`{`, `{}`, `{"prompt_tokens":1,"total":0}`, `{"prompt_tokens":-5,"total":5}`, `{"prompt_tokens":1,"total":2,"produced":3}`,
	} {
		b := New(Options{}).model.batch
		assert.ErrorIs(t, b.importKV("r.1", []byte(kv)), errInvalid, kv)
	}
	b := New(Options{}).model.batch
	huge := `{"model":"sample","prompt_tokens":9000000000000000000,"total":9000000000000000000}`
	require.NoError(t, b.importKV("r.1", []byte(huge)))
	_, err := b.resume("r.1", 0, nil)
	assert.ErrorIs(t, err, errTooLong)
}
