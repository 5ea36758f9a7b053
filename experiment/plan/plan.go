// Package plan reads and checks experiment files: the deployment, the mix of requests, the scenarios with their load
// and faults, and the policies to compare.
package plan

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/settings"
)

// Plan is a checked experiment file.
type Plan struct {
	// Name of the experiment.
	Name string `json:"name"`
	// Seed decides arrivals, bodies, faults and gaps.
	Seed uint64 `json:"seed"`
	// WarmUp is the time at the start of each run that is left out of the report.
	WarmUp Duration `json:"warm_up"`
	// Measured is the time after it; requests that arrive in it are reported.
	Measured Duration `json:"measured"`
	// CoolDown is how long arrivals go on after it, so that its last requests meet the same load.
	CoolDown Duration `json:"cool_down"`
	// Drain bounds the wait for answers after the last arrival.
	Drain Duration `json:"drain"`
	// MaxLateness is the 99th percentile of the generator's own lateness above which a run is invalid.
	MaxLateness Duration `json:"max_lateness"`
	// ShareWindow is the length of the windows over which organisations are compared.
	ShareWindow Duration `json:"share_window"`
	// MaxRequests bounds the requests of one run.
	MaxRequests int `json:"max_requests"`

	Zones         []string         `json:"zones"`
	Delays        Delays           `json:"delays"`
	Controls      int              `json:"controls"` // control instances, one for each zone in turn
	Entries       []Entry          `json:"entries"`
	Servers       []Servers        `json:"servers"`
	Classes       []settings.Class `json:"classes"`
	Organisations []Organisation   `json:"organisations"`
	Retries       Retries          `json:"retries"`
	Mix           []Work           `json:"mix"`
	Scenarios     []Scenario       `json:"scenarios"`
	Policies      []Policy         `json:"policies"`
	// TuneScenario is the scenario under which the policies' values in Tried are compared.
	TuneScenario string `json:"tune_scenario"`
	// Goals are what scenarios with goals are judged by.
	Goals Goals `json:"goals"`
}

// Goals are the figures that ours is to reach. Zero values take the defaults.
type Goals struct {
	// FirstTierGood is the least share of first-tier requests answered in time.
	FirstTierGood float64 `json:"first_tier_good"`
	// OfBound is the least total goodput as a part of the full-knowledge bound.
	OfBound float64 `json:"of_bound"`
	// Wasted is the largest share of computed prompt tokens that is wasted, WastedOfBest the largest part of the best
	// baseline's share.
	Wasted       float64 `json:"wasted"`
	WastedOfBest float64 `json:"wasted_of_best"`
	// Spread is the largest difference of organisations with the same demand.
	Spread float64 `json:"spread"`
}

// GoalKind says which goals a scenario is judged by.
type GoalKind string

// The kinds.
const (
	GoalsOverload  GoalKind = "overload"
	GoalsUnderload GoalKind = "underload"
)

// Delays are one-way network delays.
type Delays struct {
	WithinZone   Duration `json:"within_zone"`
	BetweenZones Duration `json:"between_zones"`
	Clients      Duration `json:"clients"` // between callers and entries
}

// Entry is an entry instance.
type Entry struct {
	Zone string `json:"zone"`
}

// Retries bounds the attempts at a model or service beyond the first of each request, in any window. No ratio means no bound.
type Retries struct {
	Ratio     float64  `json:"ratio"`
	Allowance int      `json:"allowance"`
	Window    Duration `json:"window"` // 0 means the entries' default
}

// Servers are backend servers of one kind and speed, spread over the zones in turn.
type Servers struct {
	// Name is the prefix of their names, a number follows.
	Name  string `json:"name"`
	Count int    `json:"count"`
	// Kind is "model" or "service"; Serves is the model or service.
	Kind   string `json:"kind"`
	Serves string `json:"serves"`
	Slots  int    `json:"slots"`

	PrefillTokensPerS float64  `json:"prefill_tokens_per_s"`
	DecodePace        Duration `json:"decode_pace"`
	DecodeSlope       Duration `json:"decode_slope"`
	KVTokens          int      `json:"kv_tokens"`
	CacheBlocks       int      `json:"cache_blocks"`

	ServiceTime   Duration `json:"service_time"`
	ServiceJitter float64  `json:"service_jitter"`

	// LoadLag and CacheLag are the ages of load reports and cache events, CacheGap the share of events that is lost.
	LoadLag  Duration `json:"load_lag"`
	CacheLag Duration `json:"cache_lag"`
	CacheGap float64  `json:"cache_gap"`
	// Version is the version that they announce; empty announces none.
	Version string `json:"version"`
	// IgnoresFence makes them obey orders that carry an old fence number.
	IgnoresFence bool `json:"ignores_fence"`
}

// Organisation is a member of the consortium.
type Organisation struct {
	Name string `json:"name"`
	// Demand is its part of all requests, relative to the others. Organisations with the same demand ask for exactly the
	// same lengths and classes, at times of their own.
	Demand float64 `json:"demand"`
	// Entries are the numbers, from 1, of the entries that its callers use in turn.
	Entries []int `json:"entries"`
}

// Work is one kind of request.
type Work struct {
	Class string `json:"class"`
	// Path is what is called: "/v1/chat/completions", "/v1/completions" or "/v1/services/{service}/{path}".
	Path string `json:"path"`
	// Share is its part of the requests of its pool, relative to the others.
	Share float64 `json:"share"`
	// PromptTokens and OutputTokens are the lengths; of a service call PromptTokens is the length of its body.
	PromptTokens Range `json:"prompt_tokens"`
	OutputTokens Range `json:"output_tokens"`
	// Prefixes is the number of different prompt beginnings, PrefixTokens their length; 0 for none.
	Prefixes     int `json:"prefixes"`
	PrefixTokens int `json:"prefix_tokens"`
	// Streaming and Keyed are the shares of requests that stream and that carry an Idempotency-Key.
	Streaming float64 `json:"streaming"`
	Keyed     float64 `json:"keyed"`
}

// Range is a log-uniform distribution of whole numbers, so that lengths a hundredfold apart are equally likely per
// doubling.
type Range struct {
	Min int `json:"min"`
	Max int `json:"max"`
}

// Scenario is one load with its faults.
type Scenario struct {
	Name string `json:"name"`
	// Load is the arrival rate as a multiple of each pool's capacity.
	Load float64 `json:"load"`
	// Burst multiplies the load for a while.
	Burst *Burst `json:"burst"`
	// Faults come at times after the end of the warm-up.
	Faults []Fault `json:"faults"`
	// Rollout moves a service to another version; nil for none.
	Rollout *Rollout `json:"rollout"`
	// Goals is "overload", "underload" or empty.
	Goals GoalKind `json:"goals"`
}

// Rollout starts as many servers of a new version as a service has, beside them, and orders that the service be moved to them.
// When it is completed the old servers stop at once; when it is reverted the new ones leave.
type Rollout struct {
	// Service is the model or service, To the new version.
	Service string `json:"service"`
	To      string `json:"to"`
	// At is the time of the order after the end of the warm-up, For the time within which the roll-out has to end.
	At  Duration `json:"at"`
	For Duration `json:"for"`
	// Bad says how the version is bad; nil for a good one.
	Bad *BadVersion `json:"bad"`
	// CostAgainst names a scenario with the same load and faults and without a roll-out, by which the cost to the callers is
	// measured. Under a burst the servers of the new version are capacity that the other scenario lacks.
	CostAgainst string `json:"cost_against"`
}

// BadVersion is a version that fails or is slow, always or under the conditions of the other fields.
type BadVersion struct {
	// Failures is the share of requests that fail, Slow how many times as long a request takes; 0 for no effect.
	Failures float64 `json:"failures"`
	Slow     float64 `json:"slow"`
	// After is the time from the order at which it begins.
	After Duration `json:"after"`
	// MinRunning limits it to times at which a server runs at least as many requests, Path to paths that begin with it, as the
	// servers see them.
	MinRunning int    `json:"min_running"`
	Path       string `json:"path"`
}

// Burst multiplies the load between At and At+For after the end of the warm-up.
type Burst struct {
	At    Duration `json:"at"`
	For   Duration `json:"for"`
	Times float64  `json:"times"`
}

// FaultKind names a fault.
type FaultKind string

// The faults.
const (
	// Straggler makes backend server Target slower by Factor.
	Straggler FaultKind = "straggler"
	// EngineCrash kills backend server Target, which comes back after For.
	EngineCrash FaultKind = "engine_crash"
	// AgentDeath kills the agent of backend server Target; another is started after For.
	AgentDeath FaultKind = "agent_death"
	// EntryDeath kills entry number Entry; another is started after For.
	EntryDeath FaultKind = "entry_death"
	// ServerLeave lets backend server Target leave gracefully and stay away.
	ServerLeave FaultKind = "server_leave"
	// CacheEvents loses the share Factor of all cache events.
	CacheEvents FaultKind = "cache_events"
	// ControlCut cuts the control leader off from all others, silently.
	ControlCut FaultKind = "control_cut"
	// ControlDeath kills the control leader; it starts again with its disk after For.
	ControlDeath FaultKind = "control_death"
	// EntryCut cuts entry number Entry off from the control instances, silently. Its links to agents and callers stay.
	EntryCut FaultKind = "entry_cut"
	// ZoneLoss kills every process in availability zone Target, as the loss of a rack does; they start again after For, control
	// instances with their disks.
	ZoneLoss FaultKind = "zone_loss"
	// PoisonRequest has the first organisation repeat, Factor times a second, a request for what backend server Target has that
	// crashes each server that begins to run it.
	PoisonRequest FaultKind = "poison_request"
	// PoisonPart is PoisonRequest with requests of which no two are alike, and that share a part of their prompts which crashes
	// the server once it has begun to answer.
	PoisonPart FaultKind = "poison_part"
	// SkewedCallers has the share Factor of all calls reach entry number Entry.
	SkewedCallers FaultKind = "skewed_callers"
	// RateLimit has backend server Target name Factor requests a second in its answers.
	RateLimit FaultKind = "rate_limit"
	// Backoff has backend server Target turn everything away and ask to keep away for Factor seconds.
	Backoff FaultKind = "backoff"
	// Draining has backend server Target say in its answers that it leaves.
	Draining FaultKind = "draining"
	// BrokenAnswers makes backend server Target break off the share Factor of its answers anywhere, without a length and
	// chunks, so that a broken answer ends like a whole one.
	BrokenAnswers FaultKind = "broken_answers"
)

// Fault is something that fails at a time.
type Fault struct {
	Kind FaultKind `json:"kind"`
	At   Duration  `json:"at"`
	// For is how long it lasts; zero until the end of the run.
	For    Duration `json:"for"`
	Target string   `json:"target"`
	Entry  int      `json:"entry"`
	Factor float64  `json:"factor"`
}

// DisturbsControl tells whether a fault of the scenario kills or cuts off a control instance.
func (s *Scenario) DisturbsControl() bool {
	return slices.ContainsFunc(s.Faults, func(f Fault) bool {
		return f.Kind == ControlCut || f.Kind == ControlDeath || f.Kind == ZoneLoss
	})
}

// Policy is one policy to run.
type Policy struct {
	// Policy is "targets", "round_robin", "least_load" or "random_fifo".
	Policy string `json:"policy"`
	// MaxOutstanding is a baseline's one knob: the attempts of one entry at one server; 0 for the default.
	MaxOutstanding int `json:"max_outstanding"`
	// Tried are the values that -tune compares.
	Tried []int `json:"tried"`
}

// Length is how long a run takes requests.
func (p *Plan) Length() time.Duration {
	return p.WarmUp.Std() + p.Measured.Std() + p.CoolDown.Std()
}

// Class returns the class of that name, nil for none.
func (p *Plan) Class(name string) *settings.Class {
	for i := range p.Classes {
		if p.Classes[i].Name == name {
			return &p.Classes[i]
		}
	}
	return nil
}

// Scenario returns the scenario of that name, nil for none.
func (p *Plan) Scenario(name string) *Scenario {
	for i := range p.Scenarios {
		if p.Scenarios[i].Name == name {
			return &p.Scenarios[i]
		}
	}
	return nil
}
