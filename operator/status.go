package operator

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/pause"
)

// Status is what a control instance knows of the deployment.
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
	// WindowMS is how far back the counts of the classes reach, and EntriesHeard how many entries they cover: those
	// that this control instance has heard itself.
	WindowMS     int64         `json:"window_ms"`
	EntriesHeard int           `json:"entries_heard"`
	Classes      []ClassStatus `json:"classes"`
	Targets      []Target      `json:"targets"`
	// Poison are the requests under which backend servers crashed twice or more.
	Poison []Poison `json:"poison"`
	// Advice is what backend servers ask of their senders.
	Advice []Advice `json:"advice"`
}

// Advice is what a backend server names in its answers.
type Advice struct {
	Server      string  `json:"server"`
	RateLimited bool    `json:"rate_limited"`
	RatePerS    float64 `json:"rate_per_s"` // requests a second from all senders together
	Draining    bool    `json:"draining"`   // it leaves, and gets nothing new
}

// Poison is a request under which backend servers crashed. With three of them it is refused.
type Poison struct {
	Organisation string   `json:"organisation"`
	Fingerprint  string   `json:"fingerprint"` // as in the lines of its runs
	Standing     string   `json:"standing"`    // "watched" or "quarantined"
	Servers      []string `json:"servers"`     // that crashed
	LeftMS       int64    `json:"left_ms"`     // until it steps down
}

// ClassStatus is how a class stands against its targets, over the window.
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

// ClassTotal counts since the entries started.
type ClassTotal struct {
	Good uint64 `json:"good"`
	Late uint64 `json:"late"`
	Lost uint64 `json:"lost"`
}

// Target is a model or service, its backend servers and what waits for it.
type Target struct {
	Name               string         `json:"name"`
	Kind               string         `json:"kind"`
	ReadyServers       int            `json:"ready_servers"`
	ServersByCondition map[string]int `json:"servers_by_condition"`
	QueuedByTier       []uint32       `json:"queued_by_tier"` // tier 1 first
	OldestWaitMS       uint64         `json:"oldest_wait_ms"`
	ShortBecause       string         `json:"short_because"` // empty when it isn't short of room
}

// Replica is a member of the quorum.
type Replica struct {
	ID       string `json:"id"`
	Instance string `json:"instance"`
	Address  string `json:"address"`
	Voter    bool   `json:"voter"`
}

// Instance is a process and what it last said.
type Instance struct {
	Instance         string `json:"instance"`
	AvailabilityZone string `json:"availability_zone"`
	Registered       bool   `json:"registered"`
	Connected        bool   `json:"connected"`
	ConfigVersion    uint64 `json:"config_version"`
	SilentMS         int64  `json:"silent_ms"` // -1: never heard
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

// Server is a backend server as its agent committed it.
type Server struct {
	Server           string       `json:"server"`
	Kind             string       `json:"kind"`
	Address          string       `json:"address"`
	Models           []string     `json:"models"`
	Slots            uint32       `json:"slots"`
	Condition        string       `json:"condition"`
	Capabilities     Capabilities `json:"capabilities"`
	Agent            string       `json:"agent"`
	AvailabilityZone string       `json:"availability_zone"`
	Order            *Order       `json:"order,omitempty"`
}

// Capabilities are what a backend server said it can do.
type Capabilities struct {
	Fencing      string `json:"fencing"`
	KV           bool   `json:"kv"`
	Resume       bool   `json:"resume"`
	OnDisconnect string `json:"on_disconnect"`
}

// Order is an order under way at a backend server.
type Order struct {
	ID    uint64 `json:"id"`
	Kind  string `json:"order"`
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
}

// Status reads the status from the first control instance that answers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.Get(ctx, "/v1/status", &out)
	return out, err
}

// Servers reads the directory.
func (c *Client) Servers(ctx context.Context) (Servers, error) {
	var out Servers
	err := c.Get(ctx, "/v1/servers", &out)
	return out, err
}

// inForcePollInterval is the pause between two looks of WaitInForce.
const inForcePollInterval = 100 * time.Millisecond

// WaitInForce returns once every connected instance has applied the configuration version or a later one. An
// instance that isn't connected admits nothing before it has fetched the version in force.
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
