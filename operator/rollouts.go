package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/go-faster/errors"
)

// States of a roll-out.
const (
	RolloutInProgress = "in_progress"
	RolloutCompleted  = "completed"
	RolloutReverted   = "reverted"
)

// Rollout is the last roll-out of a service.
type Rollout struct {
	Service       string           `json:"service"`
	To            string           `json:"to"` // version
	State         string           `json:"state"`
	Reason        string           `json:"reason"` // of the verdict, empty while in progress
	ID            uint64           `json:"id"`
	DurationMS    uint64           `json:"duration_ms"`
	OrderedUnixMS uint64           `json:"ordered_unix_ms"`
	EndedUnixMS   uint64           `json:"ended_unix_ms"` // 0 while in progress
	Versions      []VersionAnswers `json:"versions"`
}

// VersionAnswers counts the answers of one version since the order.
type VersionAnswers struct {
	Version  string `json:"version"`
	Answers  uint64 `json:"answers"`
	Failures uint64 `json:"failures"`
	Slow     uint64 `json:"slow"`
}

// Rollouts lists the last roll-out of each service that had one.
type Rollouts struct {
	Rollouts []Rollout `json:"rollouts"`
}

// StartRollout orders that a service be moved to servers of a version within a time. An order that is sent again is the
// same order; its reply is the roll-out as it is then. If the order is refused, the error is a *result.Error.
func (c *Client) StartRollout(ctx context.Context, service, version string, duration time.Duration) (Rollout, error) {
	var out Rollout
	body, err := json.Marshal(map[string]any{"service": service, "to": version, "duration_ms": duration.Milliseconds()})
	if err != nil {
		return out, errors.Wrap(err, "encode order")
	}
	err = c.call(ctx, apiCall{method: http.MethodPost, path: "/v1/rollouts", body: body}, &out)
	return out, err
}

// Rollout returns the last roll-out of a service. If there was none, the error is a *result.Error.
func (c *Client) Rollout(ctx context.Context, service string) (Rollout, error) {
	var out Rollout
	err := c.Get(ctx, "/v1/rollouts/"+url.PathEscape(service), &out)
	return out, err
}

// Rollouts returns the last roll-out of each service.
func (c *Client) Rollouts(ctx context.Context) (Rollouts, error) {
	var out Rollouts
	err := c.Get(ctx, "/v1/rollouts", &out)
	return out, err
}
