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

	"github.com/carawaypitch/carawaypitch/network/memory"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	callerHost = "10.0.9.9"
	ownKey     = "key-of-compost"
	otherKey   = "key-of-yatai"
)

var testClasses = map[string]*wire.Class{
	"gate-check": {Name: "gate-check", Tier: 1, DeadlineMs: 2000, LateMax: 0.01, LostMax: 0.01, Repeatable: true, Kind: settings.KindService},
	"pass-issue": {Name: "pass-issue", Tier: 1, DeadlineMs: 5000, LateMax: 0.01, LostMax: 0.01, Kind: settings.KindService},
	"summary":    {Name: "summary", Tier: 2, DeadlineMs: 10_000, LateMax: 0.01, LostMax: 0.05, Repeatable: true, Kind: settings.KindModel},
}

// fakeControl keeps the real state of operations in memory, for all entries of a test.
type fakeControl struct {
	mu     sync.Mutex
	state  *state.State
	index  uint64
	view   *session.View
	subs   []func(*session.View)
	delay  func(*wire.Command) time.Duration // before a command is applied
	fail   func(*wire.Command) error         // before a command is applied
	lose   func(*wire.Command) error         // after it
	ready  error
	cutOff error
	log    []string // kinds of commands, in order
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		state: state.New(),
		view: &session.View{
			ConfigVersion: 1, DirectoryVersion: 1, Classes: testClasses,
			Agents: map[string]*wire.AgentRecord{}, Entries: map[string]*wire.EntryRecord{},
		},
	}
}

func (f *fakeControl) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
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
	if f.fail != nil {
		if err := f.fail(command); err != nil {
			return nil, err
		}
	}
	f.index++
	command.UnixMs = uint64(time.Now().UnixMilli())
	res := f.state.Apply(f.index, command)
	f.log = append(f.log, kindOf(command))
	if f.lose != nil {
		if err := f.lose(command); err != nil {
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

// commands returns the operation commands that were applied.
func (f *fakeControl) commands() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var kinds []string
	for _, kind := range f.log {
		if kind != "other" {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

func (f *fakeControl) set(change func()) {
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
	f.subs = append(f.subs, fn)
	fn(f.view)
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
		// The state gives shares of usage caps by it.
		f.index++
		f.state.Apply(f.index, &wire.Command{Kind: &wire.Command_PutDesiredState{
			PutDesiredState: &wire.PutDesiredState{Desired: next.Desired},
		}})
	}
	f.view = &next
	for _, fn := range f.subs {
		fn(&next)
	}
}

// rig is entries, agents, control and a caller on a memory network. It lives in a bubble.
type rig struct {
	t       *testing.T
	net     *memory.Network
	control *fakeControl
	entries []*Entry
	stops   []func() error
	client  *http.Client
}

func newRig(t *testing.T, entries int) *rig {
	t.Helper()
	r := &rig{t: t, net: memory.New(), control: newFakeControl()}
	r.callFrom(callerHost)
	for range entries {
		r.addEntry(nil)
	}
	return r
}

// callFrom lets calls come from a host.
func (r *rig) callFrom(ip string) {
	caller := r.net.Host(ip)
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return caller.Dial(ctx, address) },
	}
	r.client = &http.Client{Transport: transport}
	r.t.Cleanup(transport.CloseIdleConnections)
}

// addEntry starts an entry at a host of its own.
func (r *rig) addEntry(change func(*settings.Entry)) *Entry {
	r.t.Helper()
	n := len(r.entries) + 1
	s := settings.DefaultEntry()
	s.Instance = "entry-" + string(rune('0'+n))
	s.Listen.Callers = entryHost(n) + ":8080"
	s.Organisations = []settings.Organisation{
		{Name: "compost", KeyDigests: []string{settings.NewDigest(ownKey, settings.NewSalt())}, DefaultClass: "summary"},
		{Name: "yatai", KeyDigests: []string{settings.NewDigest(otherKey, settings.NewSalt())}},
	}
	if change != nil {
		change(&s)
	}
	e, err := New(s, Options{
		Network: r.net.Host(entryHost(n)),
		Log:     &log.Logger{Handler: discard.Default, Level: log.DebugLevel},
		Seed:    uint64(n),
		Control: r.control,
	})
	require.NoError(r.t, err)
	r.control.state.Apply(r.nextIndex(), &wire.Command{Kind: &wire.Command_RegisterEntry{
		RegisterEntry: &wire.RegisterEntry{Entry: &wire.EntryRecord{Entry: s.Instance, Incarnation: e.incarnation}},
	}})
	r.entries = append(r.entries, e)
	r.start(e)
	synctest.Wait()
	return e
}

func (r *rig) nextIndex() uint64 {
	r.control.index++
	return r.control.index
}

func (r *rig) start(e *Entry) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	stop := sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	r.stops = append(r.stops, stop)
	r.t.Cleanup(func() { _ = stop() })
}

func entryHost(n int) string { return "10.0.0." + string(rune('0'+n)) }

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	length int64
	close  bool // the entry ends the connection after it
	body   string
	err    error // of reading the body
}

func (a answer) code(t *testing.T) *result.Error {
	t.Helper()
	var e result.Error
	require.NoError(t, e.UnmarshalJSON([]byte(a.body)), a.body)
	return &e
}

// request makes a call to the n-th entry. Header lines are "Name: value".
func (r *rig) request(ctx context.Context, n int, method, path, body string, header ...string) *http.Request {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+entryHost(n)+":8080"+path, strings.NewReader(body))
	require.NoError(r.t, err)
	request.Header.Set("Authorization", "Bearer "+ownKey)
	for _, line := range header {
		name, value, _ := strings.Cut(line, ": ")
		request.Header.Set(name, value)
		if value == "" {
			request.Header.Del(name)
		}
	}
	return request
}

func (r *rig) do(request *http.Request) (answer, error) {
	response, err := r.client.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, header: response.Header, length: response.ContentLength, close: response.Close,
		body: string(body), err: err,
	}, nil
}

func (r *rig) call(n int, method, path, body string, header ...string) answer {
	r.t.Helper()
	a, err := r.do(r.request(context.Background(), n, method, path, body, header...))
	require.NoError(r.t, err)
	require.NotEmpty(r.t, a.header.Get(headerRequestID))
	return a
}

// goCall makes a call in the background.
func (r *rig) goCall(n int, path, body string, header ...string) <-chan answer {
	answers := make(chan answer, 1)
	request := r.request(context.Background(), n, http.MethodPost, path, body, header...)
	go func() {
		a, err := r.do(request)
		if err != nil {
			a.err = err
		}
		answers <- a
	}()
	return answers
}

const (
	checkPath = "/v1/services/registry/check"
	issuePath = "/v1/services/registry/issue"
	chatPath  = "/v1/chat/completions"
	chatBody  = `{"model":"m","messages":[{"role":"user","content":"hi"}]}`
	chatSSE   = `{"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]}`
	gateCheck = "Carawaypitch-Class: gate-check"
	passIssue = "Carawaypitch-Class: pass-issue"
)

func key(k string) string { return "Idempotency-Key: " + k }
