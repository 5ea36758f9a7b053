package operator

import (
	"context"
	"net/url"
	"time"
)

// Requests are the requests in progress at one entry.
type Requests struct {
	Entry    string    `json:"entry"`
	Requests []Request `json:"requests"`
	// Memory is what the entry holds for callers; nil if it is not counted, or if the key is not an operator's.
	Memory *Memory `json:"memory,omitempty"`
}

// Memory is what an entry holds for callers, in bytes.
type Memory struct {
	Held          int64            `json:"held_bytes"`
	Limit         int64            `json:"limit_bytes"`
	Kinds         map[string]int64 `json:"kinds"`
	Organisations map[string]int64 `json:"organisations"`
}

// Request describes one request: where it is queued, which servers were rejected for it and why, and its attempts with
// the evidence of their outcomes.
type Request struct {
	Request      string       `json:"request"`
	Organisation string       `json:"organisation"`
	Class        string       `json:"class"`
	Tier         uint32       `json:"tier"`
	Kind         string       `json:"kind"`
	Target       string       `json:"target"`
	State        string       `json:"state"`
	Arrived      time.Time    `json:"arrived"`
	Deadline     time.Time    `json:"deadline"`
	Urgency      uint32       `json:"urgency"` // 0 to 1000
	Queued       bool         `json:"queued"`
	Ahead        int          `json:"ahead"`
	Reservations []string     `json:"reservations"`
	PassedOver   []PassedOver `json:"passed_over"`
	Attempts     []Attempt    `json:"attempts"`
	Candidates   []string     `json:"candidates"`
	Delivered    uint64       `json:"delivered"` // number of events sent to the caller
	Code         uint16       `json:"code"`
	Reason       string       `json:"reason"` // explains Code
	Ran          string       `json:"ran"`
	Ended        time.Time    `json:"ended,omitzero"`
}

// PassedOver is a backend server that was not chosen for a request.
type PassedOver struct {
	Server string `json:"server"`
	Reason string `json:"reason"`
}

// Attempt is one attempt of a request with its outcome and the evidence of it.
type Attempt struct {
	Number  uint64    `json:"number"`
	Server  string    `json:"server"`
	Agent   string    `json:"agent"`
	Sent    time.Time `json:"sent"`
	Over    time.Time `json:"over,omitzero"`
	Proof   string    `json:"proof"`
	Proved  bool      `json:"proved"`
	Began   bool      `json:"began"`
	Frames  uint64    `json:"frames"`
	Outcome string    `json:"outcome"`
}

// Requests returns the requests in progress at an entry. The client must have been created with that entry's URL.
func (c *Client) Requests(ctx context.Context) (Requests, error) {
	var out Requests
	err := c.Get(ctx, "/v1/requests", &out)
	return out, err
}

// Request returns one request of an entry. Ended requests stay available for a limited time. The client must have been
// created with that entry's URL.
func (c *Client) Request(ctx context.Context, id string) (Request, error) {
	var out Request
	err := c.Get(ctx, "/v1/requests/"+url.PathEscape(id), &out)
	return out, err
}
