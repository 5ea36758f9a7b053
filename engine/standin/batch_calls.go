package standin

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
)

// Refusals of the model engine.
var (
	errDuplicate     = errors.New("an attempt of this identity runs already")
	errUnknownStream = errors.New("no such stream")
	errNotReady      = errors.New("model is not loaded")
	errTooLong       = errors.New("prompt and output exceed the KV memory")
	errInvalid       = errors.New("invalid request")
	errSuspending    = errors.New("the stream can't be suspended now")
	errNoRoom        = errors.New("no target has room for a copy")
)

// errConnectionLost ends a reader that was replaced or whose connection was lost; the stream
// may continue.
var errConnectionLost = errors.New("connection lost")

// parse returns the stream that a completion body requests.
func (b *batch) parse(body []byte) (streamSpec, error) {
	prompt, err := engine.ParsePrompt(body)
	if err != nil {
		return streamSpec{}, errors.Wrap(errInvalid, err.Error())
	}
	if prompt.Model == "" && len(b.options.Models) > 0 {
		prompt.Model = b.options.Models[0]
	}
	hash := promptHash(prompt)
	total, finish := b.options.outputLength(prompt, hash)
	return streamSpec{
		Model:        prompt.Model,
		Chat:         prompt.Chat,
		IncludeUsage: wantsUsage(body),
		Hash:         hash,
		Blocks:       engine.PrefixBlockHashes(prompt.Model, prompt.Text, b.options.BlockTokens),
		PromptTokens: engine.EstimateTokens(len(prompt.Text)),
		Total:        total,
		Finish:       finish,
	}, nil
}

// submit starts an attempt. If it fails with errDuplicate, errNotReady or errTooLong, nothing
// was started.
func (b *batch) submit(id engine.AttemptID, spec streamSpec) (*stream, error) {
	s := newStream(id, spec)
	s.promptRemaining = spec.PromptTokens
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.begin(s); err != nil {
		return nil, err
	}
	return s, nil
}

// begin checks a new stream, counts its start and queues it. b.mu must be held.
func (b *batch) begin(s *stream) error {
	if held := b.streams[s.id]; held != nil && held.state.Running() {
		b.counters.add(func(stats *Stats) { stats.Duplicates++ })
		return errDuplicate
	}
	if !b.orders.ready(s.spec.Model) {
		return errNotReady
	}
	if !s.fits(b.options.KVTokens) {
		return errTooLong
	}
	b.options.Ledger.begin(s.id)
	b.enqueue(s)
	return nil
}

// resume continues a held or imported stream, or recomputes one from a body.
func (b *batch) resume(id engine.AttemptID, from int, body []byte) (*stream, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counters.add(func(stats *Stats) { stats.Resumes++ })
	held := b.streams[id]
	switch {
	case held != nil && held.listed():
		return b.resumeHeld(held, from)
	case len(body) > 0:
		return b.resumeFromBody(id, from, body)
	default:
		return nil, errUnknownStream
	}
}

func (b *batch) resumeHeld(s *stream, from int) (*stream, error) {
	if from > s.spec.Total {
		return nil, errors.Wrap(errInvalid, "from is after the end")
	}
	if s.state != engine.StreamImported {
		return s, nil
	}
	// What follows the imported tokens needs no prefill.
	if err := b.begin(s); err != nil {
		return nil, err
	}
	return s, nil
}

func (b *batch) resumeFromBody(id engine.AttemptID, from int, body []byte) (*stream, error) {
	spec, err := b.parse(body)
	if err != nil {
		return nil, err
	}
	if from > spec.Total {
		return nil, errors.Wrap(errInvalid, "from is after the end")
	}
	s := newStream(id, spec)
	s.produced = from
	s.promptRemaining = spec.PromptTokens + from
	return s, b.begin(s)
}

// attach registers a new reader as the active reader of a stream and returns its number.
func (b *batch) attach(s *stream) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.lastReader++
	s.activeReader = s.lastReader
	s.notify()
	return s.activeReader
}

// detach handles the loss of a reader's connection.
func (b *batch) detach(s *stream, reader uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.activeReader != reader {
		return
	}
	s.activeReader = 0
	if !s.state.Running() || b.options.Capabilities.OnDisconnect != engine.DisconnectCancels {
		return
	}
	b.counters.add(func(stats *Stats) { stats.Disconnect++ })
	b.terminate(s, streamCancelled, WasteDisconnect)
}

// terminate ends a running stream before it is finished.
func (b *batch) terminate(s *stream, state engine.StreamState, cause string) {
	b.counters.waste(cause, s.computed)
	b.retire(s, state)
	s.notify()
	b.recordLoad()
}

// wait waits until a stream has more than count tokens or is not running, and returns its
// tokens and state. It fails with errConnectionLost if the reader is not the active one, the
// stream is lost, or ctx ends.
func (b *batch) wait(ctx context.Context, s *stream, reader uint64, count int) (int, engine.StreamState, error) {
	for {
		b.mu.Lock()
		produced, state, changed := s.produced, s.state, s.changed
		current := s.activeReader == reader
		b.mu.Unlock()
		if !current || state == streamLost {
			return 0, state, errConnectionLost
		}
		if produced > count || !state.Running() {
			return produced, state, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, state, errConnectionLost
		}
	}
}

// cancel ends a stream and returns the state for the response.
func (b *batch) cancel(id engine.AttemptID) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.streams[id]
	if s == nil {
		return "", errUnknownStream
	}
	switch {
	case s.state == engine.StreamFinished:
		return engine.CancelStateFinished, nil
	case s.state == streamCancelled:
		return engine.CancelStateCancelled, nil
	case s.state == streamSuspended:
		b.dropSuspended(s, streamCancelled)
		return engine.CancelStateCancelled, nil
	case b.faults.get().IgnoreCancel:
		return engine.CancelStateRunning, nil
	}
	b.counters.add(func(stats *Stats) { stats.Cancels++ })
	b.terminate(s, streamCancelled, WasteCancel)
	return engine.CancelStateCancelled, nil
}

// list returns the held streams sorted by ID.
func (b *batch) list() []engine.StreamInfo {
	b.mu.Lock()
	defer b.mu.Unlock()
	infos := []engine.StreamInfo{}
	for _, s := range b.streams {
		if s.listed() {
			infos = append(infos, s.info())
		}
	}
	slices.SortFunc(infos, func(x, y engine.StreamInfo) int {
		return strings.Compare(string(x.ID), string(y.ID))
	})
	return infos
}

// exportKV returns a stream's KV cache. It fails with errUnknownStream until the prompt is
// computed.
func (b *batch) exportKV(id engine.AttemptID) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.streams[id]
	if s == nil || !s.listed() || s.promptRemaining > 0 {
		return nil, errUnknownStream
	}
	spec := s.spec
	spec.Produced = s.produced
	return json.Marshal(spec)
}

// importKV stores a KV cache for a resume. It rejects inconsistent token counts, which would
// corrupt the batch's own totals.
func (b *batch) importKV(id engine.AttemptID, kv []byte) error {
	var spec streamSpec
	if err := json.Unmarshal(kv, &spec); err != nil {
		return errors.Wrap(errInvalid, err.Error())
	}
	consistent := spec.PromptTokens > 0 && spec.Total > 0 && spec.Produced >= 0 && spec.Produced <= spec.Total
	if !consistent {
		return errors.Wrap(errInvalid, "impossible KV cache")
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if held := b.streams[id]; held != nil && held.state.Running() {
		return errDuplicate
	}
	s := newStream(id, spec)
	s.produced = spec.Produced
	s.state = engine.StreamImported
	b.streams[id] = s
	b.retain(s)
	return nil
}

// crash discards all streams and the prefix cache, and restarts the numbering of cache events.
func (b *batch) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.streams {
		if s.state.Running() {
			b.terminate(s, streamLost, WasteCrash)
		}
	}
	for _, s := range b.suspended {
		b.dropSuspended(s, streamLost)
	}
	clear(b.streams)
	b.ended = nil
	b.cache = newPrefixCache(b.options.CacheBlocks)
	b.events.restart()
	b.recordLoad()
}
