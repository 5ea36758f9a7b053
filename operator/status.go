package operator

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/pause"
)

// Status is the state of the deployment as seen by one control instance.
type Status struct {
	Instance         string     `json:"instance"`
	AvailabilityZone string     `json:"availability_zone"`
	Confirmed        bool       `json:"confirmed"` // by a quorum
	Role             string     `json:"role"`
	Leader           string     `json:"leader"`
	Term             uint64     `json:"term"`
	Index            uint64     `json:"index"`
	Fence            uint64     `json:"fence"`
	ConfigVersion    uint64     `json:"config_version"`
	DirectoryVersion uint64     `json:"directory_version"`
	Replicas         []Replica  `json:"replicas"`
	Controls         []Instance `json:"controls"`
	Entries          []Instance `json:"entries"`
	Agents           []Instance `json:"agents"`
	Operations       Operations `json:"operations"`
	Orders           int        `json:"orders"`
	// WindowMS is the length in milliseconds of the window that the counts of the classes cover. EntriesHeard is the
	// number of entries included in them: those that reported to this control instance.
	WindowMS     int64         `json:"window_ms"`
	EntriesHeard int           `json:"entries_heard"`
	Classes      []ClassStatus `json:"classes"`
	Targets      []Target      `json:"targets"`
	// Poison lists the requests during which backend servers crashed at least twice.
	Poison []Poison `json:"poison"`
	// Advice lists the rate limits and drain announcements of backend servers.
	Advice []Advice `json:"advice"`
	// Rollouts lists the last roll-out of each service that had one.
	Rollouts []Rollout `json:"rollouts"`
}

// Advice is the rate limit and the drain announcement that a backend server sends with its answers.
type Advice struct {
	Server      string  `json:"server"`
	RateLimited bool    `json:"rate_limited"`
	RatePerS    float64 `json:"rate_per_s"` // requests a second from all senders together, if RateLimited
	Draining    bool    `json:"draining"`   // gets no new requests
}

// Poison is a request, or a part of prompts, during which backend servers crashed. After crashes of three servers it is
// refused.
type Poison struct {
	Organisation string   `json:"organisation"` // of a part: the first that crashed a server with it
	Target       string   `json:"target"`       // of a part: the model or service; empty for a request
	Fingerprint  string   `json:"fingerprint"`  // as logged with its attempts; of a part, its ID
	Standing     string   `json:"standing"`     // "watched" or "quarantined"
	Servers      []string `json:"servers"`      // that crashed
	LeftMS       int64    `json:"left_ms"`      // until Standing is lowered by one level
}

// ClassStatus compares a class with its targets over the window of the Status.
type ClassStatus struct {
	Name      string  `json:"name"`
	Tier      uint32  `json:"tier"`
	Good      uint64  `json:"good"` // answered in full within the deadline
	Late      uint64  `json:"late"` // answered in full after it
	Lost      uint64  `json:"lost"` // not answered
	LateShare float64 `json:"late_share"`
	LateMax   float64 `json:"late_max"`
	LostShare float64 `json:"lost_share"`
	LostMax   float64 `json:"lost_max"`
	Meets     bool    `json:"meets"`
	// RefusedByGroup counts refusals by group of result codes, such as "12xx".
	RefusedByGroup map[string]uint64 `json:"refused_by_group"`
	Total          ClassTotal        `json:"total"`
}

// ClassTotal counts the requests of a class since the entries started.
type ClassTotal struct {
	Good uint64 `json:"good"`
	Late uint64 `json:"late"`
	Lost uint64 `json:"lost"`
}

// Target is a model or service with its backend servers and its queue.
type Target struct {
	Name               string         `json:"name"`
	Kind               string         `json:"kind"`
	ReadyServers       int            `json:"ready_servers"`
	ServersByCondition map[string]int `json:"servers_by_condition"`
	QueuedByTier       []uint32       `json:"queued_by_tier"` // tier 1 first
	OldestWaitMS       uint64         `json:"oldest_wait_ms"`
	ShortBecause       string         `json:"short_because"` // empty if it has enough capacity
}

// Replica is a replica of the control state; only voters count towards a quorum.
type Replica struct {
	ID       string `json:"id"`
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Voter    bool   `json:"voter"`
}

// Instance is a process and its last reported state.
type Instance struct {
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability_zone"`
	Registered       bool   `json:"registered"`
	Connected        bool   `json:"connected"`
	ConfigVersion    uint64 `json:"config_version"`
	SilentMS         int64  `json:"silent_ms"` // time since its last message; -1: none received
}

// Operations counts the operation records.
type Operations struct {
	Records     int `json:"records"`
	AnswerBytes int `json:"answer_bytes"`
	ExpiredKeys int `json:"expired_keys"`
}

// Servers is the directory of backend servers.
type Servers struct {
	Version uint64   `json:"version"`
	Servers []Server `json:"servers"`
}

// Server is a backend server as registered by its agent.
type Server struct {
	Server           string       `json:"server"`
	Kind             string       `json:"kind"`
	Address          string       `json:"address"`
	Models           []string     `json:"models"`
	Slots            uint32       `json:"slots"`
	Version          string       `json:"version,omitempty"` // of its software, empty if it announces none
	Condition        string       `json:"condition"`
	Capabilities     Capabilities `json:"capabilities"`
	Agent            string       `json:"agent"`
	AvailabilityZone string       `json:"availability_zone"`
	Order            *Order       `json:"order,omitempty"`
}

// Capabilities are the capabilities that a backend server announced.
type Capabilities struct {
	Fencing      string `json:"fencing"`
	KV           bool   `json:"kv"`
	Resume       bool   `json:"resume"`
	OnDisconnect string `json:"on_disconnect"`
}

// Order is a control order in progress at a backend server, such as loading a model.
type Order struct {
	ID    uint64 `json:"id"`
	Kind  string `json:"order"`
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
}

// Status returns the status from the first control instance that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.Get(ctx, "/v1/status", &out)
	return out, err
}

// Servers returns the directory of backend servers.
func (c *Client) Servers(ctx context.Context) (Servers, error) {
	var out Servers
	err := c.Get(ctx, "/v1/servers", &out)
	return out, err
}

// inForcePollInterval is the interval at which WaitInForce polls the status.
const inForcePollInterval = 100 * time.Millisecond

// WaitInForce polls until a quorum confirms the status and every connected instance has applied the configuration
// version or a later one. It ignores disconnected instances, since they admit nothing before they have fetched the
// version in force. It returns an error if a poll fails or ctx ends.
func (c *Client) WaitInForce(ctx context.Context, version uint64) error {
	for {
		status, err := c.Status(ctx)
		if err != nil {
			return err
		}
		if inForce(status, version) {
			return nil
		}
		if !pause.For(ctx, inForcePollInterval) {
			return ctx.Err()
		}
	}
}

// inForce reports whether the status is confirmed and no connected instance is below the version.
func inForce(status Status, version uint64) bool {
	if !status.Confirmed {
		return false
	}
	for _, group := range [][]Instance{status.Controls, status.Entries, status.Agents} {
		for _, instance := range group {
			if instance.Connected && instance.ConfigVersion < version {
				return false
			}
		}
	}
	return true
}
