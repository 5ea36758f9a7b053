package settings

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/result"
)

// Engine is the settings of a stand-in for a backend server, for trials and experiments. Keys that are left out take
// the stand-in's own defaults for its kind.
type Engine struct {
	// Role is "engine".
	Role Role `json:"role" settings:"required"`
	// Server is the backend server's name.
	Server string `json:"server" settings:"required,name"`
	// Kind is "model" or "service".
	Kind string `json:"kind" settings:"required"`
	// Listen is where agents reach it, as IP:port; port 0 takes a free one.
	Listen string `json:"listen" settings:"required,listen"`
	// Agent is the HTTP address, IP:port, of the agent it announces itself to.
	Agent string `json:"agent" settings:"required,dial"`
	// Models are ready from the start; for a service, its name.
	Models []string `json:"models" settings:"required"`
	// Slots is how many streams are in the batch, or calls run, at a time. Default 16.
	Slots int `json:"slots"`
	// PrefillTokensPerS is the speed of prompt computing. Default 8000.
	PrefillTokensPerS int `json:"prefill_tokens_per_s"`
	// DecodePace is the time between two tokens of a stream alone in the batch. Default 15ms.
	DecodePace time.Duration `json:"decode_pace"`
	// DecodeSlope is added to the pace for each further stream. Default 1ms.
	DecodeSlope time.Duration `json:"decode_slope"`
	// CacheBlocks bounds the prefix cache, in blocks of 16 tokens. Default 4096.
	CacheBlocks int `json:"cache_blocks"`
	// ServiceTime is the duration of a service call. Default 5ms.
	ServiceTime time.Duration `json:"service_time"`
	// LoadLag and CacheLag are the ages of load reports and cache events. Default 1s.
	LoadLag  time.Duration `json:"load_lag"`
	CacheLag time.Duration `json:"cache_lag"`
	// CacheGap is the share of cache events that are lost, 0 to 1.
	CacheGap float64 `json:"cache_gap"`
	// IgnoresFence makes it carry out orders with an old fence number.
	IgnoresFence bool `json:"ignores_fence"`
	// LoseAnswer is the share of calls whose answer is lost after they ran, 0 to 1.
	LoseAnswer float64 `json:"lose_answer"`
	// Seed decides faults, gaps and jitter.
	Seed int `json:"seed"`
	// Log says what is logged.
	Log Log `json:"log"`
}

func (*Engine) expectedRole() Role { return RoleEngine }

// DefaultEngine returns the settings that hold for keys a file leaves out.
func DefaultEngine() Engine {
	const defaultLag = time.Second
	return Engine{
		Role:              RoleEngine,
		Slots:             16,
		PrefillTokensPerS: 8000,
		DecodePace:        15 * time.Millisecond,
		DecodeSlope:       time.Millisecond,
		CacheBlocks:       4096,
		ServiceTime:       5 * time.Millisecond,
		LoadLag:           defaultLag,
		CacheLag:          defaultLag,
		Log:               Log{Level: log.InfoLevel},
	}
}

func (e *Engine) setDefaults() { *e = DefaultEngine() }

func (e *Engine) derive() {}

func (e *Engine) validate(c *checker) {
	if e.Kind != KindModel && e.Kind != KindService && e.Kind != "" {
		c.add(result.SettingsOutOfRange, "kind", "want %q or %q, got %q", KindModel, KindService, e.Kind)
	}
	for i, model := range e.Models {
		c.form(fmt.Sprintf("models[%d]", i), model, tagName)
	}
	positive(c, "slots", e.Slots)
	positive(c, "prefill_tokens_per_s", e.PrefillTokensPerS)
	positive(c, "decode_pace", e.DecodePace)
	positive(c, "cache_blocks", e.CacheBlocks)
	c.shareRange("cache_gap", e.CacheGap)
	c.shareRange("lose_answer", e.LoseAnswer)
}
