package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/network/memory"
	"github.com/carawaypitch/carawaypitch/origin"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	callerHost = "10.0.9.9"
	compostKey = "key-of-compost"
	yataiKey   = "key-of-yatai"
)

var testClasses = map[string]*wire.Class{
	"gate-check": {Name: "gate-check", Tier: 1, DeadlineMs: 2000, LateMax: 0.01, LostMax: 0.01, Repeatable: true, Kind: settings.KindService},
	"pass-issue": {Name: "pass-issue", Tier: 1, DeadlineMs: 5000, LateMax: 0.01, LostMax: 0.01, Kind: settings.KindService},
	"summary":    {Name: "summary", Tier: 2, DeadlineMs: 10_000, LateMax: 0.01, LostMax: 0.05, Repeatable: true, Kind: settings.KindModel},
}

// fakeControl keeps the real operation state in memory, for all entries of a test.
type fakeControl struct {
	mu          sync.Mutex
	state       *state.State
	index       uint64
	view        *session.View
	subscribers []func(*session.View)
	delay       func(*wire.Command) time.Duration // before a command is applied
	failBefore  func(*wire.Command) error         // before a command is applied
	failAfter   func(*wire.Command) error         // after a command is applied
	ready       error
	cutOff      error
	applied     []string // kinds of the applied commands, in order
	origins     *origin.Table
	originsTold int        // messages with origins of streams
	isSilent    bool       // tells nothing of origins
	heardAt     time.Time  // zero means now
	ends        chan error // ends Run with an error
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		state:   state.New(),
		origins: origin.NewTable(1000),
		ends:    make(chan error),
		view: &session.View{
			ConfigVersion: 1, DirectoryVersion: 1, Classes: testClasses,
			Agents: map[string]*wire.AgentRecord{}, Entries: map[string]*wire.EntryRecord{},
		},
	}
}

func (f *fakeControl) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-f.ends:
		return err
	}
}

func (f *fakeControl) Propose(_ context.Context, command *wire.Command) (*wire.CommandResult, error) {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	if delay != nil {
		time.Sleep(delay(command))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failBefore != nil {
		if err := f.failBefore(command); err != nil {
			return nil, err
		}
	}
	f.index++
	command.UnixMs = uint64(time.Now().UnixMilli())
	res := f.state.Apply(f.index, command)
	f.applied = append(f.applied, kindOf(command))
	if f.failAfter != nil {
		if err := f.failAfter(command); err != nil {
			return nil, err
		}
	}
	return res, nil
}

func kindOf(command *wire.Command) string {
	switch command.GetKind().(type) {
	case *wire.Command_BeginOperation:
		return "begin"
	case *wire.Command_CompleteOperation:
		return "complete"
	case *wire.Command_ReleaseOperation:
		return "release"
	default:
		return "other"
	}
}

// commands returns the kinds of the operation commands that were applied.
func (f *fakeControl) commands() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var kinds []string
	for _, kind := range f.applied {
		if kind != "other" {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

func (f *fakeControl) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeControl) View() *session.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeControl) Subscribe(fn func(*session.View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.subscribers = append(f.subscribers, fn)
	fn(f.view)
}

func (f *fakeControl) HeardAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.heardAt.IsZero() {
		return time.Now()
	}
	return f.heardAt
}

func (f *fakeControl) ConfirmSince(ctx context.Context, since time.Time) bool {
	if !f.HeardAt().Before(since) {
		return true
	}
	<-ctx.Done()
	return !f.HeardAt().Before(since)
}

func (f *fakeControl) ReportStreamOrigins(origins *wire.StreamOrigins) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.originsTold++
	f.origins.Record(time.Now(), origins)
}

func (f *fakeControl) LookUpStreamOrigin(ctx context.Context, stream origin.Key) *wire.StreamOriginReply {
	f.mu.Lock()
	silent := f.isSilent
	found, age, known := f.origins.Get(time.Now(), stream)
	f.mu.Unlock()
	if silent {
		<-ctx.Done()
		return nil
	}
	if !known {
		return nil
	}
	return &wire.StreamOriginReply{Known: true, Pool: found.Pool, Version: found.Version, AgeMs: uint32(age.Milliseconds())}
}

func (f *fakeControl) Ready() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ready
}

func (f *fakeControl) CutOff() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cutOff
}

func (f *fakeControl) AddControls([]string) {}

func (f *fakeControl) Addresses() []string { return nil }

func (f *fakeControl) ObserveVersion(version uint64) bool { return version <= f.View().ConfigVersion }

// publish puts a changed view in force.
func (f *fakeControl) publish(change func(*session.View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.view
	next.Agents = map[string]*wire.AgentRecord{}
	for name, agent := range f.view.Agents {
		next.Agents[name] = agent
	}
	change(&next)
	if next.Desired != f.view.Desired {
		// The state grants shares of usage caps according to it.
		f.index++
		f.state.Apply(f.index, &wire.Command{Kind: &wire.Command_PutDesiredState{
			PutDesiredState: &wire.PutDesiredState{Desired: next.Desired},
		}})
	}
	f.view = &next
	for _, fn := range f.subscribers {
		fn(&next)
	}
}

// harness consists of entries, agents, control and a caller on a memory network. It must be used within a synctest
// bubble.
type harness struct {
	t       *testing.T
	net     *memory.Network
	control *fakeControl
	entries []*Entry
	stops   []func() error
	client  *http.Client
	logs    log.Handler // of entries that are added later

	versioned []*fakeAgent // those of addModelVersion
}

func newHarness(t *testing.T, entries int) *harness {
	t.Helper()
	r := &harness{t: t, net: memory.New(), control: newFakeControl(), logs: discard.Default}
	r.setCallerHost(callerHost)
	for range entries {
		r.addEntry(nil)
	}
	return r
}

// setCallerHost sets the host that calls come from.
func (h *harness) setCallerHost(ip string) {
	caller := h.net.Host(ip)
	transport := network.SingleSend{Transport: &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return caller.Dial(ctx, address) },
	}}
	h.client = &http.Client{Transport: transport}
	h.t.Cleanup(transport.CloseIdleConnections)
}

// addEntry starts an entry on a host of its own.
func (h *harness) addEntry(change func(*settings.Entry)) *Entry {
	h.t.Helper()
	n := len(h.entries) + 1
	s := settings.DefaultEntry()
	s.Instance = "entry-" + string(rune('0'+n))
	s.Listen.Callers = entryHost(n) + ":8080"
	s.Organisations = []settings.Organisation{
		{Name: "compost", KeyDigests: []string{settings.NewDigest(compostKey, settings.NewSalt())}, DefaultClass: "summary"},
		{Name: "yatai", KeyDigests: []string{settings.NewDigest(yataiKey, settings.NewSalt())}},
	}
	if change != nil {
		change(&s)
	}
	e, err := New(s, Options{
		Network: h.net.Host(entryHost(n)),
		Log:     &log.Logger{Handler: h.logs, Level: log.DebugLevel},
		Seed:    uint64(n),
		Control: h.control,
	})
	require.NoError(h.t, err)
	h.control.state.Apply(h.nextIndex(), &wire.Command{Kind: &wire.Command_RegisterEntry{
		RegisterEntry: &wire.RegisterEntry{Entry: &wire.EntryRecord{Entry: s.Instance, Incarnation: e.incarnation}},
	}})
	h.entries = append(h.entries, e)
	h.start(e)
	synctest.Wait()
	return e
}

func (h *harness) nextIndex() uint64 {
	h.control.index++
	return h.control.index
}

func (h *harness) start(e *Entry) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	stop := sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	h.stops = append(h.stops, stop)
	h.t.Cleanup(func() { _ = stop() })
}

func entryHost(n int) string { return "10.0.0." + string(rune('0'+n)) }

// callResponse is the response that a caller received.
type callResponse struct {
	status int
	header http.Header
	length int64
	close  bool // the entry closes the connection after the response
	body   string
	err    error // from reading the body
}

func (a callResponse) code(t *testing.T) *result.Error {
	t.Helper()
	var e result.Error
	require.NoError(t, e.UnmarshalJSON([]byte(a.body)), a.body)
	return &e
}

// request returns a call to the n-th entry. Header lines have the form "Name: value"; an empty value removes the
// header.
func (h *harness) request(ctx context.Context, n int, method, path, body string, header ...string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entryHost(n)+":8080"+path, strings.NewReader(body))
	require.NoError(h.t, err)
	request.Header.Set("Authorization", "Bearer "+compostKey)
	for _, line := range header {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
		if value == "" {
			request.Header.Del(name)
		}
	}
	return request
}

func (h *harness) do(request *http.Request) (callResponse, error) {
	response, err := h.client.Do(request)
	if err != nil {
		return callResponse{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callResponse{
		status: response.StatusCode, header: response.Header, length: response.ContentLength, close: response.Close,
		body: string(body), err: err,
	}, nil
}

func (h *harness) call(n int, method, path, body string, header ...string) callResponse {
	h.t.Helper()
	a, err := h.do(h.request(context.Background(), n, method, path, body, header...))
	require.NoError(h.t, err)
	require.NotEmpty(h.t, a.header.Get(headerRequestID))
	return a
}

// callAsync makes a call in a goroutine.
func (h *harness) callAsync(n int, path, body string, header ...string) <-chan callResponse {
	answers := make(chan callResponse, 1)
	request := h.request(context.Background(), n, http.MethodPost, path, body, header...)
	go func() {
		a, err := h.do(request)
		if err != nil {
			a.err = err
		}
		answers <- a
	}()
	return answers
}

const (
	checkPath       = "/v1/services/registry/check"
	issuePath       = "/v1/services/registry/issue"
	chatPath        = "/v1/chat/completions"
	chatBody        = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	streamBody      = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	gateCheckHeader = "Carawaypitch-Class: gate-check"
	passIssueHeader = "Carawaypitch-Class: pass-issue"
)

func keyHeader(k string) string { return "Idempotency-Key: " + k }
