package engine

// StreamState is where a stream stands in its engine.
type StreamState string

// The states of a stream.
const (
	// StreamQueued: admitted by the engine, not yet in its batch.
	StreamQueued StreamState = "queued"
	// StreamPrefill: its prompt is being computed.
	StreamPrefill StreamState = "prefill"
	// StreamDecode: it produces tokens.
	StreamDecode StreamState = "decode"
	// StreamFinished: all tokens are produced; held for a while so that a
	// resume can fetch what a lost connection did not deliver.
	StreamFinished StreamState = "finished"
	// StreamImported: KV cache was imported; nothing runs.
	StreamImported StreamState = "imported"
)

// Running says whether the engine works, or will work, on the stream.
func (s StreamState) Running() bool {
	return s == StreamQueued || s == StreamPrefill || s == StreamDecode
}

// StreamInfo describes one stream that an engine holds.
type StreamInfo struct {
	ID    AttemptID   `json:"id"`
	Model string      `json:"model"`
	State StreamState `json:"state"`
	// PromptTokens and CachedPromptTokens are set once the stream is in
	// the batch; Tokens is how many are produced.
	PromptTokens       int `json:"prompt_tokens"`
	CachedPromptTokens int `json:"cached_prompt_tokens"`
	Tokens             int `json:"tokens"`
	// Connected says whether somebody reads the stream.
	Connected bool `json:"connected"`
}

// Load is an engine's report of itself. It describes the past.
type Load struct {
	// AgeMs is how old the report is, in milliseconds, as far as the engine
	// knows.
	AgeMs   int64 `json:"age_ms"`
	Slots   int   `json:"slots"`
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	// KVTokens of KVCapacity tokens of KV memory are reserved.
	KVTokens   int `json:"kv_tokens"`
	KVCapacity int `json:"kv_capacity"`
	// CacheBlocks of CacheCapacity blocks of the prefix cache are in use;
	// a block is BlockTokens tokens.
	CacheBlocks   int `json:"cache_blocks"`
	CacheCapacity int `json:"cache_capacity"`
	BlockTokens   int `json:"block_tokens"`
	// PromptTokens and Tokens are computed and produced since the start.
	PromptTokens uint64 `json:"prompt_tokens"`
	Tokens       uint64 `json:"tokens"`
	// Models are ready; Loading is being fetched, empty if none.
	Models  []string `json:"models"`
	Loading string   `json:"loading,omitempty"`
	Role    string   `json:"role,omitempty"`
}

// CacheEventKind is what happened to blocks of the prefix cache.
type CacheEventKind string

// The kinds of cache event.
const (
	// CacheStored: the blocks are in the cache.
	CacheStored CacheEventKind = "stored"
	// CacheEvicted: the blocks are gone.
	CacheEvicted CacheEventKind = "evicted"
	// CacheCleared: all blocks are gone.
	CacheCleared CacheEventKind = "cleared"
)

// CacheEvent is one published change of a prefix cache.
type CacheEvent struct {
	// Seq rises by one for each event; a missing number is a lost event. A
	// restarted engine begins at 1 again with CacheCleared.
	Seq  uint64         `json:"seq"`
	Kind CacheEventKind `json:"kind"`
	// ID is the attempt whose prompt was stored; empty else.
	ID AttemptID `json:"id,omitempty"`
	// Blocks are the hashes as [PrefixBlockHashes] gives them, in prompt order.
	Blocks []uint64 `json:"blocks,omitempty"`
}

// OrderKind is what the control leader orders an engine to do.
type OrderKind string

// The kinds of order.
const (
	// OrderLoad fetches Model from the weight store.
	OrderLoad OrderKind = "load"
	// OrderUnload frees Model; streams that use it finish first.
	OrderUnload OrderKind = "unload"
	// OrderRole changes the role to Role.
	OrderRole OrderKind = "role"
)

// Order is an order to an engine.
type Order struct {
	// Fence is the leader's fence number. An engine that checks it refuses
	// numbers below the highest it has seen.
	Fence uint64    `json:"fence"`
	Kind  OrderKind `json:"order"`
	Model string    `json:"model,omitempty"`
	Role  string    `json:"role,omitempty"`
}

// OrderState is where an order stands.
type OrderState string

// The states of an order.
const (
	// OrderDone: the engine is as ordered.
	OrderDone OrderState = "done"
	// OrderRunning: accepted and in progress. The same order again tells
	// how far it is, and Load tells it late.
	OrderRunning OrderState = "running"
	// OrderStale: refused for its old fence number.
	OrderStale OrderState = "stale"
	// OrderBusy: refused because another order is in progress.
	OrderBusy OrderState = "busy"
	// OrderRefused: refused for another reason, such as an unknown role.
	OrderRefused OrderState = "refused"
)

// OrderResult is an engine's answer to an order.
type OrderResult struct {
	State OrderState `json:"state"`
	// Fence is the highest fence number that the engine has accepted, 0 for
	// an engine that ignores them.
	Fence uint64 `json:"fence"`
	// RemainingMs estimates the time until OrderDone, in milliseconds.
	RemainingMs int64  `json:"remaining_ms,omitempty"`
	Message     string `json:"message,omitempty"`
}
