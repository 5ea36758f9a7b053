// Package operator is a client of the operators' HTTP interface, which every control instance serves. The command line
// is built on it.
//
// A change carries a change id, which makes it idempotent: a call whose reply was lost may be resent, also to another
// control instance, and returns the first reply without being executed again.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
)

// Bounds of one call.
const (
	// AttemptTimeout bounds one attempt at one control instance.
	AttemptTimeout = 5 * time.Second
	// MaxRounds is how many times all control instances are tried before a call fails.
	MaxRounds = 3
	// RoundDelay is the delay between two rounds.
	RoundDelay = 500 * time.Millisecond
	// maxReplyBytes bounds the size of a reply; the rest of a longer one is not read.
	maxReplyBytes = 64 << 20
)

// Client calls the control instances in turn until one gives a final reply.
type Client struct {
	controls []string
	key      string
	http     *http.Client
}

// New returns a client for the control instances at the given base URLs, with an operator key. If transport is nil, the
// client uses a transport of its own that ignores proxy settings in the environment.
func New(controls []string, key string, transport http.RoundTripper) *Client {
	if transport == nil {
		transport = framing.NewTransport(new(http.Transport))
	}
	return &Client{
		controls: controls,
		key:      key,
		http:     &http.Client{Transport: transport, Timeout: AttemptTimeout},
	}
}

// Class is a class of work with its target.
type Class struct {
	Name       string  `json:"name"`
	Tier       uint32  `json:"tier"`        // 1 is the highest
	DeadlineMS uint32  `json:"deadline_ms"` // milliseconds from arrival
	LateMax    float64 `json:"late_max"`    // share of answers that may be late
	LostMax    float64 `json:"lost_max"`    // share of requests that may be lost
	Repeatable bool    `json:"repeatable"`
	Kind       string  `json:"kind"`              // "model" or "service"
	Preempt    string  `json:"preempt,omitempty"` // "allowed" or "never"
	Version    uint64  `json:"version,omitempty"` // configuration version that last changed it
}

// Classes is the list of classes at a configuration version.
type Classes struct {
	Version uint64  `json:"version"`
	Classes []Class `json:"classes"`
}

// Change is the reply to an accepted change.
type Change struct {
	Version uint64 `json:"version"`
}

// NewChangeID returns a new id for one change. Every resend of the change must use the same id.
func NewChangeID() string {
	return uuid.NewString()
}

// Classes returns all classes and the configuration version in force.
func (c *Client) Classes(ctx context.Context) (Classes, error) {
	var out Classes
	err := c.Get(ctx, "/v1/classes", &out)
	return out, err
}

// Class returns one class. If it does not exist, the error is a *result.Error.
func (c *Client) Class(ctx context.Context, name string) (Class, error) {
	var out Class
	err := c.Get(ctx, classPath(name), &out)
	return out, err
}

// PutClass creates or changes a class if the version in force is still ifMatch. It ignores class.Version.
func (c *Client) PutClass(ctx context.Context, class Class, ifMatch uint64, changeID string) (Change, error) {
	class.Version = 0
	body, err := json.Marshal(class)
	if err != nil {
		return Change{}, errors.Wrap(err, "encode class")
	}
	return c.PutClassJSON(ctx, class.Name, body, ifMatch, changeID)
}

// PutClassJSON creates or changes a class from its JSON form, like PutClass. The body is sent unchanged, so that the
// interface can name a field that it rejects.
func (c *Client) PutClassJSON(ctx context.Context, name string, body []byte, ifMatch uint64, changeID string) (Change, error) {
	return c.change(ctx, http.MethodPut, classPath(name), body, ifMatch, changeID)
}

// DeleteClass removes a class if the version in force is still ifMatch.
func (c *Client) DeleteClass(ctx context.Context, name string, ifMatch uint64, changeID string) (Change, error) {
	return c.change(ctx, http.MethodDelete, classPath(name), nil, ifMatch, changeID)
}

// Drain starts the drain of a backend server: it gets no new work and finishes what is in flight.
func (c *Client) Drain(ctx context.Context, server, changeID string) (Change, error) {
	path := "/v1/servers/" + url.PathEscape(server) + "/drain"
	return c.change(ctx, http.MethodPost, path, nil, 0, changeID)
}

// ClearPoison makes control forget the crashes under a request or part, named as in Status.Poison.
func (c *Client) ClearPoison(ctx context.Context, name Poison) error {
	body, err := json.Marshal(map[string]string{"organisation": name.Organisation, "target": name.Target, "fingerprint": name.Fingerprint})
	if err != nil {
		return errors.Wrap(err, "encode the name")
	}
	_, err = c.change(ctx, http.MethodPost, "/v1/poison/clear", body, 0, NewChangeID())
	return err
}

// Get requests a path and decodes the JSON reply into out.
func (c *Client) Get(ctx context.Context, path string, out any) error {
	return c.call(ctx, apiCall{method: http.MethodGet, path: path}, out)
}

func classPath(name string) string {
	return "/v1/classes/" + url.PathEscape(name)
}

func (c *Client) change(ctx context.Context, method, path string, body []byte, ifMatch uint64, changeID string) (Change, error) {
	var out Change
	err := c.call(ctx, apiCall{
		method:   method,
		path:     path,
		body:     body,
		ifMatch:  strconv.FormatUint(ifMatch, 10),
		changeID: changeID,
	}, &out)
	return out, err
}

// apiCall is a call of the interface; every attempt sends the same one.
type apiCall struct {
	method   string
	path     string
	body     []byte
	ifMatch  string
	changeID string
}

// call tries all control instances in order, up to MaxRounds times, until one gives a final reply, and decodes it into
// out. Otherwise it returns the last error. Other errors are retried because the instance may be starting, partitioned or
// without a leader.
func (c *Client) call(ctx context.Context, request apiCall, out any) error {
	var lastErr error
	for round := range MaxRounds {
		if round > 0 {
			if !pause.For(ctx, RoundDelay) {
				return ctx.Err()
			}
		}
		for _, baseURL := range c.controls {
			lastErr = c.attempt(ctx, baseURL, request, out)
			if lastErr == nil || isFinal(lastErr) {
				return lastErr
			}
		}
	}
	if lastErr == nil {
		return errors.New("no control instance given")
	}
	return lastErr
}

// isFinal reports whether an error is a result code below HTTP status 500, which another control instance would return
// too.
func isFinal(err error) bool {
	var coded *result.Error
	if !errors.As(err, &coded) {
		return false
	}
	return coded.Code.Info().Status < http.StatusInternalServerError
}

// attempt sends the call to one control instance and decodes its reply into out.
func (c *Client) attempt(ctx context.Context, baseURL string, call apiCall, out any) error {
	request, err := http.NewRequestWithContext(ctx, call.method, baseURL+call.path, bytes.NewReader(call.body))
	if err != nil {
		return errors.Wrap(err, "make request")
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	if call.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	if call.changeID != "" {
		request.Header.Set("If-Match", call.ifMatch)
		request.Header.Set("Change-Id", call.changeID)
	}
	reply, err := c.http.Do(request)
	if err != nil {
		return errors.Wrapf(err, "control instance %s", baseURL)
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes))
	if err != nil {
		return errors.Wrapf(err, "read reply of %s", baseURL)
	}
	return decode(reply.StatusCode, body, out)
}

// decode decodes a reply with an HTTP status below 300 into out, and returns any other one as a *result.Error.
func decode(status int, body []byte, out any) error {
	if status < http.StatusMultipleChoices {
		if err := json.Unmarshal(body, out); err != nil {
			return errors.Wrap(err, "decode reply")
		}
		return nil
	}
	coded := new(result.Error)
	if err := json.Unmarshal(body, coded); err != nil {
		return errors.Errorf("status %d without a result code: %.200s", status, body)
	}
	return coded
}
