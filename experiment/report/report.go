// Package report turns the outcomes of runs into figures: goodput, late and lost requests against their targets, wasted
// prefill, shares by organisation and latencies, for each policy beside the bound, as JSON and as a page with plots.
package report

import (
	"time"

	"github.com/carawaypitch/carawaypitch/experiment/deploy"
)

// Report is the result of an experiment.
type Report struct {
	Experiment string    `json:"experiment"`
	Seed       uint64    `json:"seed"`
	Started    time.Time `json:"started"`
	Capacity   []Pool    `json:"capacity"`
	Scenarios  []Group   `json:"scenarios"`
	Notes      []string  `json:"notes"`
}

// Pool is the capacity of the servers that can do the same work.
type Pool struct {
	Name     string  `json:"name"`
	Servers  int     `json:"servers"`
	Requests float64 `json:"requests_per_s"` // of the mix
	Work     float64 `json:"work_per_s"`     // in seconds of the first server
}

// Group is the runs of one scenario.
type Group struct {
	Scenario string  `json:"scenario"`
	Load     float64 `json:"load"`
	Bound    Bound   `json:"bound"`
	Runs     []Run   `json:"runs"`
	Goals    []Goal  `json:"goals,omitempty"`
}

// Bound is what no scheduler can beat, in measured requests.
type Bound struct {
	// Total is the most requests in time. Of ByTier, entry n is the most of tier n+1 once the tiers before it have theirs.
	Total  float64    `json:"total"`
	ByTier [3]float64 `json:"by_tier"`
	// Requests is how many there are.
	Requests int `json:"requests"`
}

// Run is one scenario under one policy.
type Run struct {
	Policy string `json:"policy"`
	// Knob is a baseline's max_outstanding, 0 for its default.
	Knob int `json:"max_outstanding"`
	// Invalid says why the figures don't count; empty if they do.
	Invalid  string   `json:"invalid,omitempty"`
	Lateness Latency  `json:"generator_lateness"`
	Requests int      `json:"requests"`
	Good     int      `json:"good"`
	GoodRate float64  `json:"good_share"`
	Tiers    []Tier   `json:"tiers"`
	Classes  []Class  `json:"classes"`
	Shares   Shares   `json:"shares"`
	Refusals []Code   `json:"refusals"`
	Prefill  Prefill  `json:"prefill"`
	Pools    []Used   `json:"pools"`
	Timeline Timeline `json:"timeline"`
	Metrics  []Metric `json:"metrics"`
	// Asked is what backend servers asked of their senders, and what they got.
	Asked []Asked `json:"asked"`
	// Rollout is the roll-out of the scenario, nil for none.
	Rollout *Rollout `json:"rollout,omitempty"`
	// Order counts the streams whose events weren't those of one run in order.
	Order Order `json:"order"`
	// Violations are promises that were broken.
	Violations []string `json:"violations"`
	// Faults are those that were let happen, and their errors.
	Faults []string `json:"faults"`
}

// Order counts streams, also those outside the measured time, and the ways in which their events were out of order.
type Order struct {
	Streams   int `json:"streams"`
	Missing   int `json:"missing"`
	Twice     int `json:"twice"`
	Joined    int `json:"joined"`
	FalseEnds int `json:"false_ends"`
}

// Asked is what a backend server asked of its senders during a fault, and what it got.
type Asked struct {
	Server string `json:"server"`
	Fault  string `json:"fault"`
	// Sent is how many requests reached the server, and Allowed how many its word allowed, below 0 where it names no number. Used is
	// the part of Allowed that was sent.
	Sent    int     `json:"sent"`
	Allowed float64 `json:"allowed"`
	Used    float64 `json:"used"`
	// Most is the largest number of requests in any four seconds.
	Most int `json:"most_in_window"`
}

// Tier is the measured requests of a tier.
type Tier struct {
	Tier     int     `json:"tier"`
	Requests int     `json:"requests"`
	Good     int     `json:"good"`
	GoodRate float64 `json:"good_share"`
	Late     int     `json:"late"`
	Refused  int     `json:"refused"`
}

// Class is the measured requests of a class.
type Class struct {
	Class    string `json:"class"`
	Tier     int    `json:"tier"`
	Requests int    `json:"requests"`
	Good     int    `json:"good"`
	// Late is whole answers after the deadline; LateShare is their part of all whole answers.
	Late      int     `json:"late"`
	LateShare float64 `json:"late_share"`
	LateMax   float64 `json:"late_max"`
	// Lost is everything without a whole answer; LostShare is its part of all requests.
	Lost      int            `json:"lost"`
	LostShare float64        `json:"lost_share"`
	LostMax   float64        `json:"lost_max"`
	Fates     map[string]int `json:"fates"`
	// Latency and FirstByte are of whole answers.
	Latency   Latency `json:"latency"`
	FirstByte Latency `json:"first_byte"`
}

// Latency holds percentiles, in milliseconds.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p99_9_ms"`
	Max   float64 `json:"max_ms"`
}

// Shares is what the organisations got.
type Shares struct {
	Organisations []Organisation `json:"organisations"`
	// Spread is, over all windows and all pairs of organisations with the same demand, the largest difference of served
	// tokens as a part of the larger; WindowS is the windows' length in seconds. Pair names the two.
	Spread  float64 `json:"spread"`
	Pair    string  `json:"pair"`
	WindowS float64 `json:"window_s"`
	// Asked is the same for the tokens that they asked for: what the load itself differs by.
	Asked float64 `json:"asked_spread"`
}

// Organisation is the measured tokens of one.
type Organisation struct {
	Name    string  `json:"name"`
	Demand  float64 `json:"demand"`
	Asked   int     `json:"asked_tokens"`
	Served  int     `json:"served_tokens"` // in whole answers
	InTime  int     `json:"in_time_tokens"`
	Equal   float64 `json:"equal_share_tokens"` // equal shares of all served, none above what it asked for
	OfEqual float64 `json:"of_equal_share"`
}

// Code is the number of refusals and failures of a code.
type Code struct {
	Code  int    `json:"code"`
	Name  string `json:"name"`
	Tier  int    `json:"tier"`
	Ran   string `json:"ran"`
	Count int    `json:"count"`
}

// Prefill is the prompt work.
type Prefill struct {
	deploy.Prefill
	WastedShare float64 `json:"wasted_share"` // of computed tokens
}

// Used is what a pool did.
type Used struct {
	Name string `json:"name"`
	// Work is the least work of the whole answers that ended in the measured time, as a part of the pool's capacity.
	Work float64 `json:"of_capacity"`
}

// Timeline is counts for each second from the end of the warm-up, by tier.
type Timeline struct {
	Arrived [3][]int `json:"arrived"`
	Good    [3][]int `json:"good"` // by time of arrival
}

// Metric is a counter of the entries' and agents' /metrics, summed over them.
type Metric struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Goal is a goal and whether it was met.
type Goal struct {
	Goal   string `json:"goal"`
	Met    bool   `json:"met"`
	Figure string `json:"figure"`
}
