package standin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
)

// maxCatchUp bounds how far steps may run late and be caught up with, so that
// a busy machine doesn't slow the engine down by each late timer, and a long
// pause isn't followed by a burst.
const maxCatchUp = 50 * time.Millisecond

// batch is the model engine: a queue, the streams in the batch, and what
// remains of ended ones.
type batch struct {
	options  Options
	faults   *faultSet
	counters *counters
	// closing ends the loop, by close; loops waits for it.
	closing context.Context
	stop    context.CancelFunc
	loops   sync.WaitGroup

	mu      sync.Mutex
	looping bool
	waiting []*stream
	active  []*stream
	streams map[engine.AttemptID]*stream
	// ended holds the streams that don't run, the longest ended first.
	ended  []*stream
	kv     int
	cache  *prefixCache
	events cacheLog
	loads  loadLog
	orders orderBook
	// promptTokens and tokens are totals for the load report.
	promptTokens uint64
	tokens       uint64
}

func newBatch(options Options, faults *faultSet, counters *counters) *batch {
	b := &batch{
		options:  options,
		faults:   faults,
		counters: counters,
		streams:  make(map[engine.AttemptID]*stream),
		cache:    newPrefixCache(options.CacheBlocks),
		orders:   newOrderBook(options),
	}
	b.closing, b.stop = context.WithCancel(context.Background())
	b.events = cacheLog{
		lag:  options.CacheLag,
		lost: b.eventLost,
	}
	b.loads = loadLog{lag: options.LoadLag}
	b.noteLoad()
	return b
}

func (b *batch) eventLost(seq uint64) bool {
	gap := max(b.options.CacheGap, b.faults.get().DropCacheEvents)
	return gap > 0 && b.faults.roll("cache_event", seq) < gap
}

// enqueue puts a stream at the end of the queue. b.mu is held.
func (b *batch) enqueue(s *stream) {
	s.state = engine.StreamQueued
	b.streams[s.id] = s
	b.waiting = append(b.waiting, s)
	b.noteLoad()
	if !b.looping {
		b.looping = true
		b.loops.Go(b.loop)
	}
}

// loop computes steps while there is work, and ends with it.
func (b *batch) loop() {
	next := time.Now()
	for {
		step, busy := b.plan()
		if !busy {
			return
		}
		next = nextStep(next, step)
		if pause(b.closing, time.Until(next)) != nil || b.faults.waitFrozen(b.closing) != nil {
			return
		}
		b.apply()
	}
}

// close ends the loop for good and waits for it.
func (b *batch) close() {
	b.stop()
	b.loops.Wait()
}

func nextStep(previous time.Time, step time.Duration) time.Time {
	if earliest := time.Now().Add(-maxCatchUp); previous.Before(earliest) {
		previous = earliest
	}
	return previous.Add(step)
}

// plan admits streams and gives the duration of the next step.
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
	return b.faults.slowed(b.options.stepTime(prompt, decoding)), true
}

// stepTime is the duration of a step of so many prompt tokens and decoding
// streams.
func (o Options) stepTime(prompt, decoding int) time.Duration {
	step := time.Duration(float64(prompt) / o.PrefillRate * float64(time.Second))
	if decoding > 0 {
		step += o.DecodePace + time.Duration(decoding-1)*o.DecodeSlope
	}
	return step
}

// admit takes streams from the queue in order of arrival, while the first fits.
func (b *batch) admit() {
	for len(b.waiting) > 0 && len(b.active) < b.options.Slots {
		s := b.waiting[0]
		if b.kv+s.tokensNeeded() > b.options.KVTokens {
			return
		}
		b.waiting = b.waiting[1:]
		b.kv += s.tokensNeeded()
		b.active = append(b.active, s)
		b.beginPrefill(s)
	}
}

// beginPrefill skips the cached part of a prompt, but for its last token.
func (b *batch) beginPrefill(s *stream) {
	if s.toCompute == 0 {
		s.state = engine.StreamDecode
		return
	}
	s.state = engine.StreamPrefill
	s.cached = min(b.cache.match(s.spec.Blocks)*b.options.BlockTokens, s.spec.PromptTokens-1)
	s.toCompute -= s.cached
	b.counters.add(func(stats *Stats) { stats.CachedPromptTokens += uint64(s.cached) })
}

func (b *batch) planPrefill() int {
	room := b.options.PrefillChunk
	total := 0
	for _, s := range b.active {
		s.planned = min(s.toCompute, room)
		s.computed += s.planned
		room -= s.planned
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

// apply takes the results of a step. Streams that ended meanwhile have left the
// batch.
func (b *batch) apply() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range slices.Clone(b.active) {
		b.applyTo(s)
	}
	b.noteLoad()
}

func (b *batch) applyTo(s *stream) {
	s.toCompute -= s.planned
	if s.planned > 0 && s.toCompute == 0 {
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
		b.leave(s, engine.StreamFinished)
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

// leave takes a stream out of queue and batch and keeps what is left of it.
func (b *batch) leave(s *stream, state engine.StreamState) {
	if at := slices.Index(b.active, s); at >= 0 {
		b.active = slices.Delete(b.active, at, at+1)
		b.kv -= s.tokensNeeded()
	}
	if at := slices.Index(b.waiting, s); at >= 0 {
		b.waiting = slices.Delete(b.waiting, at, at+1)
	}
	if s.state.Running() {
		b.options.Ledger.end(s.id)
	}
	s.state = state
	b.keep(s)
}

// keep remembers an ended stream for a while.
func (b *batch) keep(s *stream) {
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

func (b *batch) noteLoad() {
	b.loads.note(engine.Load{
		Slots:         b.options.Slots,
		Running:       len(b.active),
		Queued:        len(b.waiting),
		KVTokens:      b.kv,
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
