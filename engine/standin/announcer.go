package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/network"
)

// Times of an [Announcer].
const (
	AnnounceInterval = time.Second
	leaveInterval    = 200 * time.Millisecond
	announceTimeout  = 2 * time.Second
)

// maxAgentAnswer bounds an agent's answer, in bytes.
const maxAgentAnswer = 4 << 10

// Announcer tells an agent of its backend server.
type Announcer struct {
	agent   string
	current func() engine.Announcement
	client  *http.Client
}

// NewAnnouncer makes an announcer to the agent at a base URL; current gives the
// announcement of the moment.
func NewAnnouncer(agent string, network network.Network, current func() engine.Announcement) *Announcer {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return network.Dial(ctx, address)
	}
	return &Announcer{
		agent:   strings.TrimSuffix(agent, "/"),
		current: current,
		client: &http.Client{
			Timeout:   announceTimeout,
			Transport: &http.Transport{DialContext: dial},
		},
	}
}

// Run announces at once and then each second, until ctx ends. An agent that
// doesn't answer is tried again at the next second.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for {
		_, _ = a.post(ctx, "/v1/announce", a.current())
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Leave starts a graceful leave and returns once the agent says drained, or
// with the error of ctx. It repeats both calls until the agent answers: the
// agent may be restarting at this very moment.
func (a *Announcer) Leave(ctx context.Context, server string) error {
	for {
		if a.left(ctx, server) {
			return nil
		}
		if err := pause(ctx, leaveInterval); err != nil {
			return errors.Wrap(err, "leave")
		}
	}
}

// left makes one try. It posts the leave each time, since an agent that
// restarted in between has forgotten it.
func (a *Announcer) left(ctx context.Context, server string) bool {
	if _, err := a.post(ctx, "/v1/leave", engine.LeaveRequest{Server: server}); err != nil {
		return false
	}
	answer, err := a.call(ctx, http.MethodGet, "/v1/leave/"+url.PathEscape(server), nil)
	if err != nil {
		return false
	}
	return strings.Contains(answer, string(engine.LeaveDrained))
}

// Close closes idle connections.
func (a *Announcer) Close() { a.client.CloseIdleConnections() }

func (a *Announcer) post(ctx context.Context, path string, value any) (string, error) {
	body, err := json.Marshal(value)
	if err != nil {
		return "", err
	}
	return a.call(ctx, http.MethodPost, path, body)
}

func (a *Announcer) call(ctx context.Context, method, path string, body []byte) (string, error) {
	request, err := http.NewRequestWithContext(ctx, method, a.agent+path, bytes.NewReader(body))
	if err != nil {
		return "", err
	}
	request.Header.Set("Content-Type", engine.ContentTypeJSON)
	response, err := a.client.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAgentAnswer))
	if err != nil {
		return "", err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return "", errors.Errorf("agent answers %d to %s", response.StatusCode, path)
	}
	return string(answer), nil
}
