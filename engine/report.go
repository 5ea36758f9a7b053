package engine

// StreamState is the state of a stream in its engine.
type StreamState string

// The states of a stream.
const (
	// StreamQueued means admitted by the engine but not yet in its batch.
	StreamQueued StreamState = "queued"
	// StreamPrefill means the prompt is being computed.
	StreamPrefill StreamState = "prefill"
	// StreamDecode means the stream produces tokens.
	StreamDecode StreamState = "decode"
	// StreamFinished means all tokens are produced. The stream is held for a limited time so
	// that a resume can fetch what was not delivered over a lost connection.
	StreamFinished StreamState = "finished"
	// StreamImported means a KV cache was imported and nothing is running.
	StreamImported StreamState = "imported"
)

// Running reports whether the engine is working on the stream or will do so.
func (s StreamState) Running() bool {
	return s == StreamQueued || s == StreamPrefill || s == StreamDecode
}

// StreamInfo describes one stream that an engine holds.
type StreamInfo struct {
	ID    AttemptID   `json:"id"`
	Model string      `json:"model"`
	State StreamState `json:"state"`
	// PromptTokens and CachedPromptTokens are set once the stream is in the batch; Tokens is
	// the number of tokens produced.
	PromptTokens       int `json:"prompt_tokens"`
	CachedPromptTokens int `json:"cached_prompt_tokens"`
	Tokens             int `json:"tokens"`
	// Connected reports whether a client is reading the stream.
	Connected bool `json:"connected"`
}

// Load is an engine's report of its own load. It describes a past state.
type Load struct {
	// AgeMs is the age of the report in milliseconds, as far as the engine knows it.
	AgeMs   int64 `json:"age_ms"`
	Slots   int   `json:"slots"`
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	// KVTokens is the reserved part of the KV memory of KVCapacity tokens.
	KVTokens   int `json:"kv_tokens"`
	KVCapacity int `json:"kv_capacity"`
	// CacheBlocks is the used part of the prefix cache of CacheCapacity blocks. A block is
	// BlockTokens tokens.
	CacheBlocks   int `json:"cache_blocks"`
	CacheCapacity int `json:"cache_capacity"`
	BlockTokens   int `json:"block_tokens"`
	// PromptTokens and Tokens are the prompt tokens computed and the output tokens produced
	// since the engine started.
	PromptTokens uint64 `json:"prompt_tokens"`
	Tokens       uint64 `json:"tokens"`
	// Models are loaded and ready; Loading is the model being fetched, empty if none.
	Models  []string `json:"models"`
	Loading string   `json:"loading,omitempty"`
	Role    string   `json:"role,omitempty"`
}

// CacheEventKind is the kind of a change of the prefix cache.
type CacheEventKind string

// The kinds of cache event.
const (
	// CacheStored means the blocks were added.
	CacheStored CacheEventKind = "stored"
	// CacheEvicted means the blocks were removed.
	CacheEvicted CacheEventKind = "evicted"
	// CacheCleared means all blocks were removed.
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one published change of a prefix cache.
type CacheEvent struct {
	// Seq increases by one with each event; a gap means lost events. A restarted engine starts
	// again at 1 with CacheCleared.
	Seq  uint64         `json:"seq"`
	Kind CacheEventKind `json:"kind"`
	// ID is the attempt whose prompt was stored; otherwise empty.
	ID AttemptID `json:"id,omitempty"`
	// Blocks are hashes as returned by [PrefixBlockHashes], in prompt order.
	Blocks []uint64 `json:"blocks,omitempty"`
}

// OrderKind is an action that the control leader orders an engine to take.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad fetches Model from the weight store.
	OrderLoad OrderKind = "load"
	// OrderUnload frees Model after the streams that use it have finished.
	OrderUnload OrderKind = "unload"
	// OrderRole changes the role to Role.
	OrderRole OrderKind = "role"
)

// Order is an order to an engine.
type Order struct {
	// Fence is the leader's fence number. An engine that checks it refuses numbers below the
	// highest it has accepted.
	Fence uint64    `json:"fence"`
	Kind  OrderKind `json:"order"`
	Model string    `json:"model,omitempty"`
	Role  string    `json:"role,omitempty"`
}

// OrderState is the state of an order.
type OrderState string

// The states of an order.
const (
	// OrderDone means the engine is in the ordered state.
	OrderDone OrderState = "done"
	// OrderRunning means accepted and in progress. Sending the same order again returns its
	// progress; the load report shows it with a delay.
	OrderRunning OrderState = "running"
	// OrderStale means refused because of a stale fence number.
	OrderStale OrderState = "stale"
	// OrderBusy means refused because another order is in progress.
	OrderBusy OrderState = "busy"
	// OrderRefused means refused for another reason, such as an unknown role.
	OrderRefused OrderState = "refused"
)

// OrderResult is an engine's response to an order.
type OrderResult struct {
	State OrderState `json:"state"`
	// Fence is the highest fence number that the engine has accepted, 0 for an engine that
	// ignores fence numbers.
	Fence uint64 `json:"fence"`
	// RemainingMs is the estimated time until OrderDone, in milliseconds.
	RemainingMs int64  `json:"remaining_ms,omitempty"`
	Message     string `json:"message,omitempty"`
}
