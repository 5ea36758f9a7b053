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
	// promptRemaining is the number of prompt tokens left to compute; planned of them are in
	// the present step.
	promptRemaining int
	planned         int
	decoding        bool
	computed        int
	cached          int
	// produced is the position after the last token.
	produced int

	// reserved is the number of tokens that the stream holds in the KV memory.
	reserved int
	// restored is set for a stream that continues a suspended one. Its memory is reserved and its
	// prompt computed as far as it was.
	restored bool
	// suspension is set while the stream is suspended.
	suspension *suspension

	// changed is closed and replaced on each change.
	changed chan struct{}
	// activeReader is the number of the active reader, 0 for none; lastReader is the last
	// number assigned.
	activeReader uint64
	lastReader   uint64
	endedAt      time.Time
}

// States of an ended stream that is not listed.
const (
	streamCancelled engine.StreamState = "cancelled"
	streamLost      engine.StreamState = "lost"
	// streamSuspended is the state of a stream that was stopped and whose memory is kept.
	streamSuspended engine.StreamState = "suspended"
)

// streamSpec is the requested output of a stream. It is also the format of an exported KV
// cache.
type streamSpec struct {
	Model        string   `json:"model"`
	Chat         bool     `json:"chat"`
	IncludeUsage bool     `json:"include_usage"`
	Hash         uint64   `json:"hash"`
	Blocks       []uint64 `json:"blocks"`
	PromptTokens int      `json:"prompt_tokens"`
	// Total is the length of the complete output, in tokens.
	Total  int    `json:"total"`
	Finish string `json:"finish"`
	// Produced is the number of tokens that an exported stream had produced.
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

// tokensNeeded returns the KV memory that the complete stream needs, in tokens.
func (s *stream) tokensNeeded() int { return s.spec.PromptTokens + s.spec.Total }

// fits reports whether the stream fits in an empty KV memory. It avoids adding the two numbers,
// because both come from callers and their sum may overflow.
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
		Connected:          s.activeReader != 0,
	}
}

// listed reports whether the engine still holds the stream.
func (s *stream) listed() bool {
	return s.state != streamCancelled && s.state != streamLost && s.state != streamSuspended
}
