package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
)

// maxCatchUp bounds the delay of steps that is made up for. Making up for short delays keeps
// late timers on a busy machine from slowing the engine down; the bound keeps a long pause from
// causing a burst of steps.
const maxCatchUp = 50 * time.Millisecond

// batch is the model engine: the queue, the streams in the batch, and the ended streams that
// are still held.
type batch struct {
	options  Options
	faults   *faultSet
	counters *counters
	// closing ends the loop; stop cancels it and loops waits for the loop's goroutine.
	closing context.Context
	stop    context.CancelFunc
	loops   sync.WaitGroup

	mu      sync.Mutex
	looping bool
	waiting []*stream
	active  []*stream
	streams map[engine.AttemptID]*stream
	// suspended holds the suspended streams by handle; handles counts the handles given out.
	suspended map[string]*stream
	handles   uint64
	// ended holds the streams that are not running, the earliest ended first.
	ended       []*stream
	kvReserved  int
	cache       *prefixCache
	events      cacheLog
	loadHistory loadHistory
	orders      orderState
	// promptTokens and tokens are totals for the load report.
	promptTokens uint64
	tokens       uint64
}

func newBatch(options Options, faults *faultSet, counters *counters) *batch {
	b := &batch{
		options:   options,
		faults:    faults,
		counters:  counters,
		streams:   make(map[engine.AttemptID]*stream),
		suspended: make(map[string]*stream),
		cache:     newPrefixCache(options.CacheBlocks),
		orders:    newOrderState(options),
	}
	b.closing, b.stop = context.WithCancel(context.Background())
	b.events = cacheLog{
		lag:  options.CacheLag,
		drop: b.dropEvent,
	}
	b.loadHistory = loadHistory{lag: options.LoadLag}
	b.recordLoad()
	return b
}

func (b *batch) dropEvent(seq uint64) bool {
	gap := max(b.options.CacheGap, b.faults.get().DropCacheEvents)
	return gap > 0 && b.faults.random("cache_event", seq) < gap
}

// enqueue appends a stream to the queue. b.mu must be held.
func (b *batch) enqueue(s *stream) {
	s.state = engine.StreamQueued
	b.streams[s.id] = s
	b.waiting = append(b.waiting, s)
	b.recordLoad()
	b.wake()
}

// wake starts the loop unless it is running. b.mu must be held.
func (b *batch) wake() {
	if b.looping || b.closing.Err() != nil {
		return
	}
	b.looping = true
	b.loops.Go(b.loop)
}

// loop computes steps and returns when there is no more work.
func (b *batch) loop() {
	next := time.Now()
	for {
		step, busy := b.plan()
		if !busy {
			return
		}
		next = nextStep(next, step)
		if pause(b.closing, time.Until(next)) != nil || b.faults.waitWhileFrozen(b.closing) != nil {
			return
		}
		b.apply()
	}
}

// close stops the loop permanently and waits for it to return.
func (b *batch) close() {
	b.mu.Lock()
	b.stop()
	b.mu.Unlock()
	b.loops.Wait()
}

func nextStep(previous time.Time, step time.Duration) time.Time {
	if earliest := time.Now().Add(-maxCatchUp); previous.Before(earliest) {
		previous = earliest
	}
	return previous.Add(step)
}

// plan admits streams and returns the duration of the next step. busy is false if there is no
// work.
func (b *batch) plan() (step time.Duration, busy bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admit()
	if len(b.active) == 0 {
		b.looping = false
		return 0, false
	}
	prompt := b.planPrefill()
	decoding := b.planDecode()
	return b.faults.scaled(b.options.stepTime(prompt, decoding)), true
}

// stepTime returns the duration of a step with the given numbers of prompt tokens and decoding
// streams.
func (o Options) stepTime(prompt, decoding int) time.Duration {
	step := time.Duration(float64(prompt) / o.PrefillRate * float64(time.Second))
	if decoding > 0 {
		step += o.DecodePace + time.Duration(decoding-1)*o.DecodeSlope
	}
	return step
}

// admit moves streams from the queue to the batch in order of arrival, until the first of the
// queue does not fit.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.active) < b.options.Slots {
		s := b.waiting[0]
		needed := s.tokensNeeded() - s.reserved
		if b.kvReserved+needed > b.options.KVTokens {
			return
		}
		b.waiting = b.waiting[1:]
		b.kvReserved += needed
		s.reserved += needed
		b.active = append(b.active, s)
		b.beginPrefill(s)
	}
}

// beginPrefill skips the cached part of a prompt, but always leaves its last token to be
// computed.
func (b *batch) beginPrefill(s *stream) {
	if s.promptRemaining == 0 {
		s.state = engine.StreamDecode
		return
	}
	s.state = engine.StreamPrefill
	if s.restored {
		return
	}
	s.cached = min(b.cache.match(s.spec.Blocks)*b.options.BlockTokens, s.spec.PromptTokens-1)
	s.promptRemaining -= s.cached
	b.counters.add(func(stats *Stats) { stats.CachedPromptTokens += uint64(s.cached) })
}

func (b *batch) planPrefill() int {
	budget := b.options.PrefillChunk
	total := 0
	for _, s := range b.active {
		s.planned = min(s.promptRemaining, budget)
		s.computed += s.planned
		budget -= s.planned
		total += s.planned
	}
	b.promptTokens += uint64(total)
	b.counters.add(func(stats *Stats) { stats.PrefillTokens += uint64(total) })
	return total
}

func (b *batch) planDecode() int {
	count := 0
	for _, s := range b.active {
		s.decoding = s.state == engine.StreamDecode
		if s.decoding {
			count++
		}
	}
	return count
}

// apply records the results of a step. Streams that ended during the step are no longer in the
// batch.
func (b *batch) apply() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range slices.Clone(b.active) {
		b.applyTo(s)
	}
	b.recordLoad()
}

func (b *batch) applyTo(s *stream) {
	s.promptRemaining -= s.planned
	if s.planned > 0 && s.promptRemaining == 0 {
		s.state = engine.StreamDecode
		b.storePrompt(s)
		s.decoding = true
	}
	s.planned = 0
	if !s.decoding {
		return
	}
	if s.produced < s.spec.Total {
		s.produced++
		b.tokens++
		b.counters.add(func(stats *Stats) { stats.Tokens++ })
	}
	if s.produced >= s.spec.Total {
		b.counters.add(func(stats *Stats) { stats.Finished++ })
		b.retire(s, engine.StreamFinished)
	}
	s.notify()
}

func (b *batch) storePrompt(s *stream) {
	stored, evicted := b.cache.store(s.spec.Blocks)
	if len(evicted) > 0 {
		b.events.add(engine.CacheEvicted, "", evicted)
	}
	if len(stored) > 0 {
		b.events.add(engine.CacheStored, s.id, s.spec.Blocks)
	}
}

// retire removes a stream from the queue and the batch and retains it as ended.
func (b *batch) retire(s *stream, state engine.StreamState) {
	if i := slices.Index(b.active, s); i >= 0 {
		b.active = slices.Delete(b.active, i, i+1)
	}
	if i := slices.Index(b.waiting, s); i >= 0 {
		b.waiting = slices.Delete(b.waiting, i, i+1)
	}
	b.kvReserved -= s.reserved
	s.reserved = 0
	if s.state.Running() {
		b.options.Ledger.end(s.id)
	}
	s.state = state
	b.retain(s)
}

// retain holds an ended stream for up to HoldTime, and at most MaxHeld of them. Expired streams
// are removed when another stream ends.
func (b *batch) retain(s *stream) {
	now := time.Now()
	s.endedAt = now
	b.ended = append(b.ended, s)
	for len(b.ended) > 0 {
		oldest := b.ended[0]
		if len(b.ended) <= b.options.MaxHeld && now.Sub(oldest.endedAt) < b.options.HoldTime {
			return
		}
		b.ended = b.ended[1:]
		if b.streams[oldest.id] == oldest && !oldest.state.Running() {
			delete(b.streams, oldest.id)
		}
	}
}

func (b *batch) recordLoad() {
	b.loadHistory.record(engine.Load{
		Slots:         b.options.Slots,
		Running:       len(b.active),
		Queued:        len(b.waiting),
		KVTokens:      b.kvReserved,
		KVCapacity:    b.options.KVTokens,
		CacheBlocks:   b.cache.len(),
		CacheCapacity: b.options.CacheBlocks,
		BlockTokens:   b.options.BlockTokens,
		PromptTokens:  b.promptTokens,
		Tokens:        b.tokens,
		Models:        b.orders.models,
		Loading:       b.orders.loading,
		Role:          b.orders.role,
	})
}
