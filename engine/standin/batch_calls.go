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
	errDuplicate = errors.New("an attempt of this identity runs already")
	errUnknown   = errors.New("no such stream")
	errNotReady  = errors.New("model is not loaded")
	errTooLong   = errors.New("prompt and output exceed the KV memory")
	errInvalid   = errors.New("invalid request")
)

// errConnection ends a reader whose stream goes on, or was lost, without it.
var errConnection = errors.New("connection lost")

// parse gives what a completion body asks for.
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

// submit begins an attempt. It fails with errDuplicate, errNotReady or
// errTooLong, and then nothing was begun.
func (b *batch) submit(id engine.AttemptID, spec streamSpec) (*stream, error) {
	s := newStream(id, spec)
	s.toCompute = spec.PromptTokens
	b.mu.Lock()
	defer b.mu.Unlock()
	if err := b.begin(s); err != nil {
		return nil, err
	}
	return s, nil
}

// begin checks a new stream, counts its start and queues it. b.mu is held.
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

// resume goes on with a held stream, an imported one, or anew from a body.
func (b *batch) resume(id engine.AttemptID, from int, body []byte) (*stream, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.counters.add(func(stats *Stats) { stats.Resumes++ })
	held := b.streams[id]
	switch {
	case held != nil && held.listed():
		return b.resumeHeld(held, from)
	case len(body) > 0:
		return b.resumeAnew(id, from, body)
	default:
		return nil, errUnknown
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

func (b *batch) resumeAnew(id engine.AttemptID, from int, body []byte) (*stream, error) {
	spec, err := b.parse(body)
	if err != nil {
		return nil, err
	}
	if from > spec.Total {
		return nil, errors.Wrap(errInvalid, "from is after the end")
	}
	s := newStream(id, spec)
	s.produced = from
	s.toCompute = spec.PromptTokens + from
	return s, b.begin(s)
}

// attach makes a new reader the one in charge of a stream.
func (b *batch) attach(s *stream) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	s.readers++
	s.reader = s.readers
	s.notify()
	return s.reader
}

// detach tells that a reader's connection is lost.
func (b *batch) detach(s *stream, reader uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.reader != reader {
		return
	}
	s.reader = 0
	if !s.state.Running() || b.options.Capabilities.OnDisconnect != engine.DisconnectCancels {
		return
	}
	b.counters.add(func(stats *Stats) { stats.Disconnect++ })
	b.drop(s, streamCancelled, WasteDisconnect)
}

// drop ends a running stream unfinished.
func (b *batch) drop(s *stream, state engine.StreamState, cause string) {
	b.counters.waste(cause, s.computed)
	b.leave(s, state)
	s.notify()
	b.noteLoad()
}

// wait waits until a stream has more than count tokens or doesn't run, and
// gives its tokens and state. It fails if the reader isn't in charge any more.
func (b *batch) wait(ctx context.Context, s *stream, reader uint64, count int) (int, engine.StreamState, error) {
	for {
		b.mu.Lock()
		produced, state, changed := s.produced, s.state, s.changed
		inCharge := s.reader == reader
		b.mu.Unlock()
		if !inCharge || state == streamLost {
			return 0, state, errConnection
		}
		if produced > count || !state.Running() {
			return produced, state, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, state, errConnection
		}
	}
}

// cancel ends a stream and gives the state for the answer.
func (b *batch) cancel(id engine.AttemptID) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.streams[id]
	if s == nil {
		return "", errUnknown
	}
	switch {
	case s.state == engine.StreamFinished:
		return engine.CancelStateFinished, nil
	case s.state == streamCancelled:
		return engine.CancelStateCancelled, nil
	case b.faults.get().IgnoreCancel:
		return engine.CancelStateRunning, nil
	}
	b.counters.add(func(stats *Stats) { stats.Cancels++ })
	b.drop(s, streamCancelled, WasteCancel)
	return engine.CancelStateCancelled, nil
}

// list gives the held streams by identity.
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

// exportKV gives a stream's KV cache, once its prompt is computed.
func (b *batch) exportKV(id engine.AttemptID) ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.streams[id]
	if s == nil || !s.listed() || s.toCompute > 0 {
		return nil, errUnknown
	}
	spec := s.spec
	spec.Produced = s.produced
	return json.Marshal(spec)
}

// importKV keeps a KV cache for a resume. A cache whose numbers can't be would
// break the batch's own sums.
func (b *batch) importKV(id engine.AttemptID, kv []byte) error {
	var spec streamSpec
	if err := json.Unmarshal(kv, &spec); err != nil {
		return errors.Wrap(errInvalid, err.Error())
	}
	possible := spec.PromptTokens > 0 && spec.Total > 0 && spec.Produced >= 0 && spec.Produced <= spec.Total
	if !possible {
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
	b.keep(s)
	return nil
}

// crash loses all that the engine holds.
func (b *batch) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.streams {
		if s.state.Running() {
			b.drop(s, streamLost, WasteCrash)
		}
	}
	clear(b.streams)
	b.ended = nil
	b.cache = newPrefixCache(b.options.CacheBlocks)
	b.events.restart()
	b.noteLoad()
}
