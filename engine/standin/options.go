package standin

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/network"
)

// Options are the settings of a stand-in. [New] replaces zero values by those of
// [ModelDefaults] or [ServiceDefaults], except for DecodeSlope, the lags, the shares and
// ServiceTime, where zero means zero.
type Options struct {
	// Server is the backend server's name.
	Server string
	// Kind is model or service.
	Kind engine.Kind
	// Listen is the address on which Run listens; port 0 selects a free port.
	Listen string
	// Network makes the listener and the connections to the agent; nil means network.TCP.
	Network network.Network
	// Agent is the base URL of the agent to announce to; empty for none.
	Agent string
	// Models are loaded and ready from the start; for a service, its name.
	Models []string
	// Version is announced as the version of the software; empty announces none. VersionFault
	// makes it a bad one.
	Version      string
	VersionFault VersionFault
	// Slots limits the number of streams in the batch, or of concurrent service calls.
	Slots int

	// PrefillRate is the prefill speed, in tokens per second.
	PrefillRate float64
	// PrefillChunk limits the prompt tokens of one step.
	PrefillChunk int
	// DecodePace is the time per token of a stream that is alone in the batch; DecodeSlope is
	// added for each further decoding stream.
	DecodePace  time.Duration
	DecodeSlope time.Duration
	// KVTokens limits the total prompt and output tokens of the batch.
	KVTokens int
	// CacheBlocks limits the size of the prefix cache; a block is BlockTokens tokens.
	CacheBlocks int
	BlockTokens int
	// MinOutput and MaxOutput bound the output, in tokens, of a request without max_tokens.
	MinOutput int
	MaxOutput int
	// HoldTime and MaxHeld limit how long, and how many, ended streams are held for resume and
	// cancel calls.
	HoldTime time.Duration
	MaxHeld  int

	// HandleTTL is how long a suspended run can be resumed.
	HandleTTL time.Duration

	// LoadLag and CacheLag are the delays of load reports and cache events.
	LoadLag  time.Duration
	CacheLag time.Duration
	// CacheGap is the share of cache events that are lost, 0 to 1.
	CacheGap float64

	// Capabilities are announced and determine the behaviour.
	Capabilities engine.Capabilities
	// Roles are the roles that an order may set.
	Roles []string
	// WeightBytes is the size of a model in the weight store.
	WeightBytes int64
	// Weights is the weight store; nil means a store of its own with WeightRate bytes per
	// second.
	Weights    *WeightStore
	WeightRate float64

	// ServiceTime is the duration of a service call. It varies uniformly by the share
	// ServiceJitter, 0 to 1, in both directions.
	ServiceTime   time.Duration
	ServiceJitter float64

	// OnArrival is called for each run whose request was read. Nil means not.
	OnArrival func(engine.AttemptID)
	// RunLog records when runs arrive and which of them VersionFault spoils. Nil records nothing.
	RunLog *RunLog
	// Ledger counts starts and overlaps. Stand-ins that share one detect a request that runs on
	// two of them at the same time. Nil means a ledger of its own.
	Ledger *Ledger
	// MaxTracked limits the number of attempts and idempotency keys that are counted.
	MaxTracked int
	// MaxBodyBytes limits a request body.
	MaxBodyBytes int64
	// Seed determines the faults, gaps and jitter and nothing else.
	Seed uint64
	// Faults are active from the start.
	Faults Faults
	// LeaveTimeout limits, in a graceful stop, the wait for the agent and then the wait for
	// running calls.
	LeaveTimeout time.Duration
}

// ModelDefaults returns the settings of a model engine of medium speed.
func ModelDefaults() Options {
	return Options{
		Server:       "engine",
		Kind:         engine.KindModel,
		Listen:       "127.0.0.1:0",
		Models:       []string{"sample"},
		Slots:        16,
		PrefillRate:  8000,
		PrefillChunk: 512,
		DecodePace:   15 * time.Millisecond,
		DecodeSlope:  time.Millisecond,
		KVTokens:     1 << 17,
		CacheBlocks:  4096,
		BlockTokens:  16,
		MinOutput:    16,
		MaxOutput:    256,
		HoldTime:     30 * time.Second,
		MaxHeld:      4096,
		HandleTTL:    5 * time.Second,
		LoadLag:      time.Second,
		CacheLag:     time.Second,
		Capabilities: engine.Capabilities{
			Fencing:      engine.FencingRefuses,
			KV:           true,
			Resume:       true,
			OnDisconnect: engine.DisconnectContinues,
		},
		Roles:        []string{"mixed", "prefill", "decode"},
		WeightBytes:  1 << 30,
		WeightRate:   1 << 30,
		MaxTracked:   1 << 20,
		MaxBodyBytes: 16 << 20,
		LeaveTimeout: 5 * time.Minute,
	}
}

// ServiceDefaults returns the settings of a plain service.
func ServiceDefaults() Options {
	options := ModelDefaults()
	options.Server = "registry"
	options.Kind = engine.KindService
	options.Models = []string{"registry"}
	options.ServiceTime = 5 * time.Millisecond
	options.Capabilities = engine.Capabilities{
		Fencing:      engine.FencingIgnores,
		OnDisconnect: engine.DisconnectContinues,
	}
	return options
}

// MinDecodePace is the shortest DecodePace, because zero means the default.
const MinDecodePace = time.Nanosecond

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func (o Options) withDefaults() Options {
	d := ModelDefaults()
	if o.Kind == engine.KindService {
		d = ServiceDefaults()
	}
	o.Kind = orDefault(o.Kind, d.Kind)
	o.Server = orDefault(o.Server, d.Server)
	o.Listen = orDefault(o.Listen, d.Listen)
	o.Slots = orDefault(o.Slots, d.Slots)
	o.PrefillRate = orDefault(o.PrefillRate, d.PrefillRate)
	o.PrefillChunk = orDefault(o.PrefillChunk, d.PrefillChunk)
	o.DecodePace = orDefault(o.DecodePace, d.DecodePace)
	o.KVTokens = orDefault(o.KVTokens, d.KVTokens)
	o.CacheBlocks = orDefault(o.CacheBlocks, d.CacheBlocks)
	o.BlockTokens = orDefault(o.BlockTokens, d.BlockTokens)
	o.MaxOutput = orDefault(o.MaxOutput, max(d.MaxOutput, o.MinOutput))
	o.MinOutput = orDefault(o.MinOutput, min(d.MinOutput, o.MaxOutput))
	o.HoldTime = orDefault(o.HoldTime, d.HoldTime)
	o.MaxHeld = orDefault(o.MaxHeld, d.MaxHeld)
	o.HandleTTL = orDefault(o.HandleTTL, d.HandleTTL)
	o.WeightBytes = orDefault(o.WeightBytes, d.WeightBytes)
	o.WeightRate = orDefault(o.WeightRate, d.WeightRate)
	o.MaxTracked = orDefault(o.MaxTracked, d.MaxTracked)
	o.MaxBodyBytes = orDefault(o.MaxBodyBytes, d.MaxBodyBytes)
	o.LeaveTimeout = orDefault(o.LeaveTimeout, d.LeaveTimeout)
	o.Capabilities = orDefault(o.Capabilities, d.Capabilities)
	if o.Models == nil {
		o.Models = d.Models
	}
	if o.Roles == nil {
		o.Roles = d.Roles
	}
	if o.Network == nil {
		o.Network = network.TCP{}
	}
	if o.Weights == nil {
		o.Weights = NewWeightStore(o.WeightRate)
	}
	if o.Ledger == nil {
		o.Ledger = NewLedger(o.MaxTracked)
	}
	return o
}

// Validate returns all problems of the settings, joined, or nil. Zero values are valid.
func (o Options) Validate() error {
	var problems []error
	check := func(ok bool, text string) {
		if !ok {
			problems = append(problems, errors.New(text))
		}
	}
	check(o.Kind == "" || o.Kind == engine.KindModel || o.Kind == engine.KindService, "kind: must be model or service")
	check(o.Slots >= 0, "slots: must not be negative")
	check(o.PrefillRate >= 0, "prefill rate: must not be negative")
	check(o.PrefillChunk >= 0, "prefill chunk: must not be negative")
	check(o.DecodePace >= 0 && o.DecodeSlope >= 0, "decode pace and slope: must not be negative")
	check(o.KVTokens >= 0, "KV tokens: must not be negative")
	check(o.CacheBlocks >= 0 && o.BlockTokens >= 0, "cache blocks and block tokens: must not be negative")
	check(o.MinOutput >= 0 && (o.MaxOutput == 0 || o.MaxOutput >= o.MinOutput), "output: must be 0 <= min <= max")
	check(o.HoldTime >= 0 && o.MaxHeld >= 0, "hold time and held streams: must not be negative")
	check(o.HandleTTL >= 0, "handle TTL: must not be negative")
	check(o.LoadLag >= 0 && o.CacheLag >= 0, "lags: must not be negative")
	check(isShare(o.CacheGap), "cache gap: must be from 0 to 1")
	check(o.ServiceTime >= 0, "service time: must not be negative")
	check(isShare(o.ServiceJitter), "service jitter: must be from 0 to 1")
	check(o.WeightBytes >= 0 && o.WeightRate >= 0, "weight size and rate: must not be negative")
	check(o.MaxTracked >= 0 && o.MaxBodyBytes >= 0, "bounds: must not be negative")
	check(o.LeaveTimeout >= 0, "leave timeout: must not be negative")
	check(validCapabilities(o.Capabilities), "capabilities: fencing is refuses or ignores, on_disconnect cancels or continues")
	problems = append(problems, o.Faults.Validate(), o.VersionFault.Validate())
	return errors.Join(problems...)
}

func validCapabilities(c engine.Capabilities) bool {
	if c == (engine.Capabilities{}) {
		return true
	}
	fencing := c.Fencing == engine.FencingRefuses || c.Fencing == engine.FencingIgnores
	disconnect := c.OnDisconnect == engine.DisconnectCancels || c.OnDisconnect == engine.DisconnectContinues
	return fencing && disconnect
}

func isShare(value float64) bool { return value >= 0 && value <= 1 }
