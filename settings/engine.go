package settings

import (
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/result"
)

// Engine holds the settings of a simulated backend server for tests and experiments. Omitted keys take the default
// values of the simulator for its kind.
type Engine struct {
	// Role is "engine".
	Role Role `json:"role" settings:"required"`
	// Server is the name of the backend server.
	Server string `json:"server" settings:"required,name"`
	// Kind is KindModel or KindService.
	Kind string `json:"kind" settings:"required"`
	// Listen is the address, IP:port, that agents connect to. Port 0 selects any free port.
	Listen string `json:"listen" settings:"required,listen"`
	// Agent is the HTTP address, IP:port, of the agent that the server announces itself to.
	Agent string `json:"agent" settings:"required,dial"`
	// Models holds the names of the models that are loaded at start or, for a service, the name of the service.
	Models []string `json:"models" settings:"required"`
	// Slots is the maximum number of concurrent streams in the batch or, for a service, of concurrent calls.
	// Default 16.
	Slots int `json:"slots"`
	// PrefillTokensPerS is the prefill rate of prompts, in tokens per second. Default 8000.
	PrefillTokensPerS int `json:"prefill_tokens_per_s"`
	// DecodePace is the time between two tokens of a stream that is alone in the batch. Default 15ms.
	DecodePace time.Duration `json:"decode_pace"`
	// DecodeSlope is the increase of the time between tokens for each further stream in the batch. Default 1ms.
	DecodeSlope time.Duration `json:"decode_slope"`
	// CacheBlocks is the capacity of the prefix cache, in blocks of 16 tokens. Default 4096.
	CacheBlocks int `json:"cache_blocks"`
	// ServiceTime is the duration of a service call. Default 5ms.
	ServiceTime time.Duration `json:"service_time"`
	// LoadLag and CacheLag are the delays of load reports and of cache events. Default 1s.
	LoadLag  time.Duration `json:"load_lag"`
	CacheLag time.Duration `json:"cache_lag"`
	// CacheGap is the fraction of cache events that are lost, 0 to 1.
	CacheGap float64 `json:"cache_gap"`
	// Version is the software version that the server announces and names in its streams, empty for none.
	Version string `json:"version"`
	// IgnoresFence makes the server execute commands with an outdated fencing token.
	IgnoresFence bool `json:"ignores_fence"`
	// LoseAnswer is the fraction of calls whose response is lost after the call has run, 0 to 1.
	LoseAnswer float64 `json:"lose_answer"`
	// Seed seeds the random faults, lost events and jitter.
	Seed int `json:"seed"`
	// Log configures logging.
	Log Log `json:"log"`
}

func (*Engine) expectedRole() Role { return RoleEngine }

// DefaultEngine returns the default values, which apply to keys that a file omits.
func DefaultEngine() Engine {
	const defaultReportLag = time.Second
	return Engine{
		Role:              RoleEngine,
		Slots:             16,
		PrefillTokensPerS: 8000,
		DecodePace:        15 * time.Millisecond,
		DecodeSlope:       time.Millisecond,
		CacheBlocks:       4096,
		ServiceTime:       5 * time.Millisecond,
		LoadLag:           defaultReportLag,
		CacheLag:          defaultReportLag,
		Log:               Log{Level: log.InfoLevel},
	}
}

func (e *Engine) setDefaults() { *e = DefaultEngine() }

func (e *Engine) derive() {}

func (e *Engine) validate(c *checker) {
	if e.Kind != KindModel && e.Kind != KindService && e.Kind != "" {
		c.report(result.SettingsOutOfRange, "kind", "want %q or %q, got %q", KindModel, KindService, e.Kind)
	}
	for i, model := range e.Models {
		c.checkFormat(fmt.Sprintf("models[%d]", i), model, tagName)
	}
	checkPositive(c, "slots", e.Slots)
	checkPositive(c, "prefill_tokens_per_s", e.PrefillTokensPerS)
	checkPositive(c, "decode_pace", e.DecodePace)
	checkPositive(c, "cache_blocks", e.CacheBlocks)
	c.checkFraction("cache_gap", e.CacheGap)
	c.checkFraction("lose_answer", e.LoseAnswer)
}
