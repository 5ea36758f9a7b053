package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/network/memory"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Hosts of the test network.
const (
	agentHost  = "10.0.0.1"
	engineHost = "10.0.0.2"
	entryHost  = "10.0.0.3"
	entryHost2 = "10.0.0.4"
)

// waitTimeout bounds a wait, in the fake time of the synctest bubble. A test that reaches it fails.
const waitTimeout = 2 * time.Minute

// dialDrainTime is longer than net/http goes on dialling for a cancelled call.
const dialDrainTime = 5 * time.Second

// testEnv is an agent with simulated engines, entries and a fake of control, in a synctest bubble.
type testEnv struct {
	t       *testing.T
	network *memory.Network
	ledger  *standin.Ledger
	control *fakeControl
	agent   *Agent
	stop    context.CancelFunc
	ended   chan error
	http    *http.Client
	senders int // number of agents that send to the agent's servers; 0 means the default
}

// withEnv runs a test in a synctest bubble.
func withEnv(t *testing.T, test func(env *testEnv)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		env := &testEnv{
			t:       t,
			network: memory.New(),
			ledger:  standin.NewLedger(1000),
			control: newFakeControl(),
		}
		transport := network.SingleSend{Transport: &http.Transport{
			DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
				return env.network.Host(agentHost).Dial(ctx, address)
			},
		}}
		env.http = &http.Client{Transport: transport}
		test(env)
		_ = env.stopAgent()
		time.Sleep(dialDrainTime)
		transport.CloseIdleConnections()
	})
}

func (env *testEnv) settings() settings.Agent {
	s := settings.DefaultAgent()
	s.Instance = "agent-1"
	s.AvailabilityZone = "zone-1"
	s.Listen.HTTP = agentHost + ":9100"
	s.Listen.Links = agentHost + ":9101"
	s.Advertise = s.Listen.Links
	s.Controls = []string{"10.0.9.1:9200"}
	return s
}

// startAgent starts an incarnation of the agent. The previous one must have ended.
func (env *testEnv) startAgent(change ...func(*settings.Agent)) {
	env.t.Helper()
	s := env.settings()
	for _, f := range change {
		f(&s)
	}
	time.Sleep(time.Millisecond) // incarnations must differ
	env.control.reset()
	options := Options{
		Network:    env.network.Host(agentHost),
		newSession: func(session.Config) Control { return env.control },
	}
	if env.senders > 0 {
		options.Senders = func(*session.View) int { return env.senders }
	}
	agent, err := New(s, options)
	require.NoError(env.t, err)
	env.run(agent)
}

func (env *testEnv) run(agent *Agent) {
	ctx, stop := context.WithCancel(env.t.Context())
	env.agent = agent
	env.stop = stop
	env.ended = make(chan error, 1)
	go func() { env.ended <- agent.Run(ctx) }()
}

// stopAgent stops the agent gracefully and returns the error of its Run.
func (env *testEnv) stopAgent() error {
	if env.stop == nil {
		return nil
	}
	env.stop()
	env.stop = nil
	return <-env.ended
}

// supersede makes control list a newer incarnation of the agent.
func (env *testEnv) supersede() {
	view := *env.control.View()
	view.Agents = map[string]*wire.AgentRecord{
		"agent-1": {Agent: "agent-1", Incarnation: env.agent.incarnation + 1},
	}
	env.control.setView(&view)
}

// killAgent ends the agent like a crash: it is visible only through its closed connections.
func (env *testEnv) killAgent() {
	env.t.Helper()
	env.agent.cancelBase()
	<-env.ended
	env.stop()
	env.stop = nil
}

// startEngine starts a simulated server that announces itself to the agent.
func (env *testEnv) startEngine(options standin.Options) *standin.Server {
	options.Listen = engineHost + ":0"
	options.Agent = "http://" + agentHost + ":9100"
	return env.startStandin(options)
}

// startStandin starts a simulated server whose options say where it announces itself, if anywhere.
func (env *testEnv) startStandin(options standin.Options) *standin.Server {
	options.Network = env.network.Host(engineHost)
	options.Ledger = env.ledger
	if options.LeaveTimeout == 0 {
		options.LeaveTimeout = time.Second
	}
	server := standin.New(options)
	ctx, stop := context.WithCancel(env.t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Run(ctx)
	}()
	<-server.Ready()
	env.t.Cleanup(func() {
		stop()
		<-done
	})
	return server
}

// waitUntil waits until the condition holds, and fails the test after waitTimeout.
func (env *testEnv) waitUntil(what string, condition func() bool) {
	env.t.Helper()
	end := time.Now().Add(waitTimeout)
	for {
		synctest.Wait()
		if condition() {
			return
		}
		if time.Now().After(end) {
			env.t.Fatalf("condition not reached: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (env *testEnv) waitReady() {
	env.t.Helper()
	env.waitUntil("the agent is ready", func() bool { return env.agent.notReady() == nil })
}

// call makes an HTTP call to the agent and returns the status and the body.
func (env *testEnv) call(method, path string, body any) (int, string) {
	env.t.Helper()
	var text []byte
	switch b := body.(type) {
	case nil:
	case string:
		text = []byte(b)
	default:
		encoded, err := json.Marshal(b)
		require.NoError(env.t, err)
		text = encoded
	}
	request, err := http.NewRequestWithContext(env.t.Context(), method, "http://"+env.agent.HTTPAddr()+path, bytes.NewReader(text))
	require.NoError(env.t, err)
	response, err := env.http.Do(request)
	require.NoError(env.t, err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	require.NoError(env.t, err)
	return response.StatusCode, string(answer)
}

// fakeControl is a session with a scripted control.
type fakeControl struct {
	mu            sync.Mutex
	running       bool
	readyErr      error
	view          *session.View
	subscriber    func(*session.View)
	serverUpdates [][]*wire.ServerRecord
	proposed      []*wire.Command
	failures      int // number of proposals that fail before one is committed
	orders        chan *wire.Order
	results       []*wire.OrderResult
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		view:   &session.View{ConfigVersion: 1, Fence: 5},
		orders: make(chan *wire.Order, 16),
	}
}

// reset prepares the fake for another incarnation of the agent.
func (c *fakeControl) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = false
	c.subscriber = nil
}

func (c *fakeControl) Run(ctx context.Context) error {
	c.mu.Lock()
	c.running = true
	c.mu.Unlock()
	<-ctx.Done()
	return context.Cause(ctx)
}

func (c *fakeControl) SetServers(servers []*wire.ServerRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serverUpdates = append(c.serverUpdates, servers)
}

func (c *fakeControl) Propose(_ context.Context, command *wire.Command) (*wire.CommandResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proposed = append(c.proposed, command)
	if c.failures > 0 {
		c.failures--
		return nil, result.New(result.ControlUnavailable, "")
	}
	return new(wire.CommandResult), nil
}

func (c *fakeControl) Orders() <-chan *wire.Order { return c.orders }

func (*fakeControl) ReportStreamOrigins(*wire.StreamOrigins) {}

func (c *fakeControl) Report(outcome *wire.OrderResult) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, outcome)
}

func (c *fakeControl) Ready() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.running {
		return result.New(result.Starting, "")
	}
	return c.readyErr
}

func (c *fakeControl) View() *session.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *fakeControl) Subscribe(fn func(*session.View)) {
	c.mu.Lock()
	c.subscriber = fn
	view := c.view
	c.mu.Unlock()
	fn(view)
}

func (c *fakeControl) AddControls([]string) {}

func (c *fakeControl) ObserveVersion(uint64) bool { return true }

// addEntry adds an entry to the directory.
func (c *fakeControl) addEntry(name string, incarnation uint64) {
	view := *c.View()
	view.Entries = maps.Clone(view.Entries)
	if view.Entries == nil {
		view.Entries = map[string]*wire.EntryRecord{}
	}
	view.Entries[name] = &wire.EntryRecord{Entry: name, Incarnation: incarnation}
	c.setView(&view)
}

// setView commits a new view.
func (c *fakeControl) setView(view *session.View) {
	c.mu.Lock()
	c.view = view
	fn := c.subscriber
	c.mu.Unlock()
	if fn != nil {
		fn(view)
	}
}

func (c *fakeControl) setReady(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readyErr = err
}

func (c *fakeControl) setFailures(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = n
}

func (c *fakeControl) isRunning() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running
}

// registered returns the servers of the agent's last directory record.
func (c *fakeControl) registered() []*wire.ServerRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.serverUpdates) == 0 {
		return nil
	}
	return c.serverUpdates[len(c.serverUpdates)-1]
}

func (c *fakeControl) serverUpdateCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.serverUpdates)
}

func (c *fakeControl) commands() []*wire.Command {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*wire.Command(nil), c.proposed...)
}

func (c *fakeControl) orderResults() []*wire.OrderResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]*wire.OrderResult(nil), c.results...)
}

// completed returns the outcomes that were proposed.
func (c *fakeControl) completed() []*wire.CompleteOperation {
	var list []*wire.CompleteOperation
	for _, command := range c.commands() {
		if complete := command.GetCompleteOperation(); complete != nil {
			list = append(list, complete)
		}
	}
	return list
}

// slowModel returns options of a model engine whose streams take one token per 100 ms.
func slowModel() standin.Options {
	options := standin.ModelDefaults()
	options.Server = "server-1"
	options.DecodePace = 100 * time.Millisecond
	options.DecodeSlope = 0
	return options
}

func slowService() standin.Options {
	options := standin.ServiceDefaults()
	options.Server = "server-1"
	options.ServiceTime = 5 * time.Second
	return options
}

var _ engine.Client = (*engine.HTTP)(nil)
