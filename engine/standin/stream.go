package standin

import (
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
)

// stream is one attempt in the model engine. The batch's mutex guards it.
type stream struct {
	id   engine.AttemptID
	spec streamSpec

	state engine.StreamState
	// toCompute prompt tokens are left, planned of them in this step.
	toCompute int
	planned   int
	decoding  bool
	computed  int
	cached    int
	// produced is the position after the last token.
	produced int

	// changed is closed and replaced at each change.
	changed chan struct{}
	// reader is the number of the reader in charge, 0 for none; readers is
	// the last number given out.
	reader  uint64
	readers uint64
	endedAt time.Time
}

// States of a stream that is no more: it is not listed.
const (
	streamCancelled engine.StreamState = "cancelled"
	streamLost      engine.StreamState = "lost"
)

// streamSpec is what a stream is to produce. It is also an exported KV cache.
type streamSpec struct {
	Model        string   `json:"model"`
	Chat         bool     `json:"chat"`
	IncludeUsage bool     `json:"include_usage"`
	Hash         uint64   `json:"hash"`
	Blocks       []uint64 `json:"blocks"`
	PromptTokens int      `json:"prompt_tokens"`
	// Total is the length of the whole output, in tokens.
	Total  int    `json:"total"`
	Finish string `json:"finish"`
	// Produced is how far an exported stream had come.
	Produced int `json:"produced"`
}

func newStream(id engine.AttemptID, spec streamSpec) *stream {
	return &stream{
		id:      id,
		spec:    spec,
		state:   engine.StreamQueued,
		changed: make(chan struct{}),
	}
}

// tokensNeeded is the KV memory of the whole stream.
func (s *stream) tokensNeeded() int { return s.spec.PromptTokens + s.spec.Total }

// fits says whether the stream fits in an empty KV memory. Both numbers come
// from outside, so their sum may overflow.
func (s *stream) fits(capacity int) bool {
	return s.spec.PromptTokens <= capacity && s.spec.Total <= capacity-s.spec.PromptTokens
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stream) info() engine.StreamInfo {
	return engine.StreamInfo{
		ID:                 s.id,
		Model:              s.spec.Model,
		State:              s.state,
		PromptTokens:       s.spec.PromptTokens,
		CachedPromptTokens: s.cached,
		Tokens:             s.produced,
		Connected:          s.reader != 0,
	}
}

// listed says whether the engine still holds the stream.
func (s *stream) listed() bool { return s.state != streamCancelled && s.state != streamLost }
