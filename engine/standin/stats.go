package standin

import (
	"maps"
	"sync"

	"github.com/carawaypitch/carawaypitch/engine"
)

// Causes of wasted prefill.
const (
	WasteCancel     = "cancel"
	WasteDisconnect = "disconnect"
	WasteCrash      = "crash"
	// WasteSuspended is the prefill of suspended runs that were not resumed.
	WasteSuspended = "suspended"
)

// Stats are the counters of a stand-in, served at GET /v1/stats. Starts, Overlaps, Overlapped
// and Untracked are those of its [Ledger].
type Stats struct {
	Requests   uint64 `json:"requests"`
	Duplicates uint64 `json:"duplicates"`
	Refused    uint64 `json:"refused"`
	Resumes    uint64 `json:"resumes"`
	Finished   uint64 `json:"finished"`
	Cancels    uint64 `json:"cancels"`
	// Suspensions counts stopped streams, and Resumptions those of them that continued.
	Suspensions uint64 `json:"suspensions"`
	Resumptions uint64 `json:"resumptions"`
	Disconnect  uint64 `json:"disconnects"`
	Crashes     uint64 `json:"crashes"`
	// PrefillTokens are computed prompt tokens; WastedPrefillTokens is the part that belongs to
	// streams that ended unfinished.
	PrefillTokens       uint64            `json:"prefill_tokens"`
	CachedPromptTokens  uint64            `json:"cached_prompt_tokens"`
	WastedPrefillTokens uint64            `json:"wasted_prefill_tokens"`
	WastedByCause       map[string]uint64 `json:"wasted_by_cause"`
	// Tokens is the number of output tokens produced.
	Tokens uint64 `json:"tokens"`
	// StaleOrders is the number of orders with a fence number below the highest seen. An engine
	// that checks fence numbers refuses them; one that ignores fence numbers executes them.
	StaleOrders uint64 `json:"stale_orders"`

	Starts     map[engine.AttemptID]int `json:"starts"`
	Overlaps   uint64                   `json:"overlaps"`
	Overlapped []string                 `json:"overlapped"`
	Untracked  uint64                   `json:"untracked"`
}

// counters holds Stats that are updated concurrently.
type counters struct {
	mu    sync.Mutex
	stats Stats
}

func (c *counters) add(change func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.stats)
}

func (c *counters) waste(cause string, tokens int) {
	if tokens == 0 {
		return
	}
	c.add(func(stats *Stats) {
		if stats.WastedByCause == nil {
			stats.WastedByCause = make(map[string]uint64)
		}
		stats.WastedByCause[cause] += uint64(tokens)
		stats.WastedPrefillTokens += uint64(tokens)
	})
}

func (c *counters) snapshot(ledger *Ledger) Stats {
	c.mu.Lock()
	stats := c.stats
	stats.WastedByCause = maps.Clone(stats.WastedByCause)
	c.mu.Unlock()
	stats.Starts = ledger.Starts()
	stats.Overlaps, stats.Overlapped = ledger.Overlaps()
	stats.Untracked = ledger.Untracked()
	return stats
}
