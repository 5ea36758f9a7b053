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
	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/network"
)

// Intervals and timeout of an [Announcer].
const (
	AnnounceInterval   = time.Second
	leaveRetryInterval = 200 * time.Millisecond
	announceTimeout    = 2 * time.Second
)

// maxAgentResponse limits the body of an agent's response, in bytes.
const maxAgentResponse = 4 << 10

// Announcer reports a backend server to its agent.
type Announcer struct {
	agent   string
	current func() engine.Announcement
	client  *http.Client
}

// NewAnnouncer returns an announcer for the agent at a base URL. current returns the
// announcement to send.
func NewAnnouncer(agent string, n network.Network, current func() engine.Announcement) *Announcer {
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return n.Dial(ctx, address)
	}
	return &Announcer{
		agent:   strings.TrimSuffix(agent, "/"),
		current: current,
		client: &http.Client{
			Timeout:   announceTimeout,
			Transport: framing.NewTransport(&http.Transport{DialContext: dial}),
		},
	}
}

// Run announces immediately and then every second until ctx ends. A failed announcement is not
// retried before the next second.
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

// Leave starts a graceful leave. It returns nil once the agent reports the server as drained,
// and otherwise the error of ctx. It repeats both calls until the agent responds, because the
// agent may be restarting.
func (a *Announcer) Leave(ctx context.Context, server string) error {
	for {
		if a.tryLeave(ctx, server) {
			return nil
		}
		if err := pause(ctx, leaveRetryInterval); err != nil {
			return errors.Wrap(err, "leave")
		}
	}
}

// tryLeave makes one attempt and reports whether the server is drained. It posts the leave
// every time, because an agent that has restarted in between has lost it.
func (a *Announcer) tryLeave(ctx context.Context, server string) bool {
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
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAgentResponse))
	if err != nil {
		return "", err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return "", errors.Errorf("agent responded with status %d to %s", response.StatusCode, path)
	}
	return string(answer), nil
}
