package deploy

import (
	"maps"

	"github.com/carawaypitch/carawaypitch/settings"
)

// Prefill is the prompt work of the stand-ins, in tokens.
type Prefill struct {
	// Computed prompt tokens, and those that a prefix cache saved.
	Computed uint64 `json:"computed"`
	Cached   uint64 `json:"cached"`
	// Wasted tokens were computed for streams that ended unfinished, by cause.
	Wasted map[string]uint64 `json:"wasted"`
}

// Prefill returns the sums over all model engines.
func (d *Deployment) Prefill() Prefill {
	sum := Prefill{Wasted: map[string]uint64{}}
	for _, s := range d.serverList() {
		if s.Kind != settings.KindModel {
			continue
		}
		stats := s.server.Stats()
		sum.Computed += stats.PrefillTokens
		sum.Cached += stats.CachedPromptTokens
		for cause, tokens := range stats.WastedByCause {
			sum.Wasted[cause] += tokens
		}
	}
	return sum
}

// Minus returns what came since earlier.
func (p Prefill) Minus(earlier Prefill) Prefill {
	since := Prefill{Computed: p.Computed - earlier.Computed, Cached: p.Cached - earlier.Cached, Wasted: maps.Clone(p.Wasted)}
	for cause, tokens := range earlier.Wasted {
		since.Wasted[cause] -= tokens
	}
	return since
}

// TotalWasted is the sum over all causes.
func (p Prefill) TotalWasted() uint64 {
	total := uint64(0)
	for _, tokens := range p.Wasted {
		total += tokens
	}
	return total
}

// Runs returns how often each Idempotency-Key ran, over all services.
func (d *Deployment) Runs() map[string]int {
	runs := map[string]int{}
	for _, s := range d.serverList() {
		for key, count := range s.server.Runs() {
			runs[key] += count
		}
	}
	return runs
}
