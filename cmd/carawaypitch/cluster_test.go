package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/operator"
	"github.com/carawaypitch/carawaypitch/settings"
)

// Timeout and poll interval of eventually. The timeout only limits how long a failing test takes; no assertion depends on
// elapsed time.
const (
	waitTimeout  = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// process is a daemon that runs as a separate process, with its settings file.
type process struct {
	t    testing.TB
	role string
	file string

	mu  sync.Mutex
	cmd *exec.Cmd
	log lockedBuffer
}

// lockedBuffer holds the log of a process, which writes while the test reads.
type lockedBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// start starts the process without waiting until it is ready.
func (p *process) start() {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(binaryPath, p.role, "-settings", p.file)
	p.cmd.Stderr, p.cmd.Stdout = &p.log, &p.log
	require.NoError(p.t, p.cmd.Start())
}

// signal sends a signal to the process, which must be running.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	require.NoError(p.t, p.cmd.Process.Signal(s))
}

// kill terminates the process with SIGKILL, like a crash, and waits for its exit. It does nothing if none is running.
func (p *process) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	p.cmd = nil
}

// stop sends SIGTERM and waits for the exit, whose code must be 0.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	err := p.cmd.Wait()
	p.cmd = nil
	require.NoError(p.t, err, "%s", p.log.String())
}

// cluster is a small deployment of separate processes: three control instances, two entries, and two registry services
// and at least one model engine, each with its agent.
type cluster struct {
	t        testing.TB
	folder   string
	controls []*process
	entries  []*process
	agents   []*process
	engines  []*process

	controlURLs, entryURLs, agentURLs, engineURLs []string
	controlLinks, agentLinks                      []string
	operatorKey, callerKey                        string

	tls settings.TLS // of the links between all processes
	// change changes the settings of an entry or an engine before they are written; nil for none.
	change func(settings any)
}

const controlInstances = 3

// startCluster starts a cluster with the named model engines in addition to model-1, and waits until it is ready.
func startCluster(t testing.TB, extraModels ...string) *cluster {
	t.Helper()
	c := newCluster(t)
	c.startAll(extraModels...)
	return c
}

// newCluster returns a cluster without processes; those started later are killed at the end of the test.
func newCluster(t testing.TB) *cluster {
	t.Helper()
	c := &cluster{t: t, folder: t.TempDir(), operatorKey: "operator-key", callerKey: "caller-key"}
	t.Cleanup(c.killAll)
	return c
}

// startAll starts all processes and waits until the entries and agents are ready.
func (c *cluster) startAll(extraModels ...string) {
	c.t.Helper()
	for range controlInstances {
		c.controlLinks = append(c.controlLinks, freeAddress(c.t))
	}
	for i := range controlInstances {
		c.addControl(i)
	}
	c.addServer("model-1", settings.KindModel, []string{"sample"})
	c.addServer("registry-1", settings.KindService, []string{"registry"})
	c.addServer("registry-2", settings.KindService, []string{"registry"})
	for _, name := range extraModels {
		c.addServer(name, settings.KindModel, []string{"sample"})
	}
	c.addEntry(0)
	c.addEntry(1)
	for _, group := range [][]*process{c.controls, c.agents, c.engines, c.entries} {
		for _, p := range group {
			p.start()
		}
	}
	for _, url := range append(append([]string{}, c.entryURLs...), c.agentURLs...) {
		c.eventually(func() bool { return returnsOK(url + "/readyz") }, "%s is not ready", url)
	}
}

// killAll kills all processes and, if the test has failed, prints the ends of their logs.
func (c *cluster) killAll() {
	for _, group := range [][]*process{c.entries, c.engines, c.agents, c.controls} {
		for _, p := range group {
			p.kill()
		}
	}
	if c.t.Failed() {
		for _, group := range [][]*process{c.controls, c.agents, c.entries} {
			for _, p := range group {
				c.t.Logf("---- %s\n%s", filepath.Base(p.file), tail(p.log.String()))
			}
		}
	}
}

// tail returns at most the last 6000 bytes of text.
func tail(text string) string {
	const maxBytes = 6000
	if len(text) > maxBytes {
		return text[len(text)-maxBytes:]
	}
	return text
}

// eventually polls the condition and fails the test with the message if it does not hold within waitTimeout.
func (c *cluster) eventually(condition func() bool, format string, args ...any) {
	c.t.Helper()
	require.Eventually(c.t, condition, waitTimeout, pollInterval, append([]any{format}, args...)...)
}

// addressCounter counts the loopback addresses assigned to the processes of this test run.
var addressCounter atomic.Uint32

// freeAddress returns an address in 127.0.0.0/8 that no other test process on this machine uses, with a port below the
// ephemeral range.
//
// A free ephemeral port at 127.0.0.1 is no alternative: an outgoing connection may take it before the daemon listens
// there, so that the daemon occasionally fails to start.
func freeAddress(t testing.TB) string {
	t.Helper()
	const port = 7000
	n := addressCounter.Add(1)
	pid := uint32(os.Getpid())
	require.Less(t, n, uint32(1<<10), "too many addresses in one run")
	ip := 127<<24 | 1<<23 | (pid&(1<<13-1))<<10 | n
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(ip >> 24), byte(ip >> 16), byte(ip >> 8), byte(ip)}), port).String()
}

// writeSettings writes a settings file into the cluster's folder and returns the process for it, not started.
func (c *cluster) writeSettings(role, name string, value any) *process {
	c.t.Helper()
	data, err := settings.Marshal(value)
	require.NoError(c.t, err)
	file := filepath.Join(c.folder, name+".jsonc")
	require.NoError(c.t, os.WriteFile(file, data, 0o600))
	return &process{t: c.t, role: role, file: file}
}

// keyDigests returns the digest of a key as settings files list it.
func keyDigests(key string) []string {
	return []string{settings.NewDigest(key, settings.NewSalt())}
}

func (c *cluster) organisations() []settings.Organisation {
	return []settings.Organisation{{Name: "zagreb", KeyDigests: keyDigests(c.callerKey), DefaultClass: "summary"}}
}

func (c *cluster) controlSettings(i int) settings.Control {
	s := settings.DefaultControl()
	s.Instance = fmt.Sprintf("control-%d", i+1)
	s.AvailabilityZone = fmt.Sprintf("zone-%d", i+1)
	s.Listen = settings.ControlListen{Operators: freeAddress(c.t), Links: c.controlLinks[i]}
	s.Advertise = c.controlLinks[i]
	for j, link := range c.controlLinks {
		s.Replicas = append(s.Replicas, settings.Replica{Instance: fmt.Sprintf("control-%d", j+1), Address: link})
	}
	s.TLS = c.tls
	s.Bootstrap = true
	s.Timing.ServerExpire = 3 * time.Second
	s.DataDir = filepath.Join(c.folder, s.Instance)
	s.Operators = []settings.OperatorAccount{{Name: "operator", KeyDigests: keyDigests(c.operatorKey)}}
	s.Organisations = c.organisations()
	s.InitialClasses = []settings.Class{
		{Name: "gate-check", Tier: 1, DeadlineMS: 5000, LateMax: 0.01, LostMax: 0.01, Repeatable: true, Kind: settings.KindService},
		{Name: "pass-issue", Tier: 1, DeadlineMS: 20_000, LateMax: 0.05, Kind: settings.KindService, Preempt: settings.PreemptNever},
		{Name: "summary", Tier: 2, DeadlineMS: 25_000, LateMax: 0.05, LostMax: 0.02, Repeatable: true, Kind: settings.KindModel},
	}
	return s
}

func (c *cluster) addControl(i int) {
	s := c.controlSettings(i)
	require.NoError(c.t, os.MkdirAll(s.DataDir, 0o700))
	c.controls = append(c.controls, c.writeSettings("control", s.Instance, s))
	c.controlURLs = append(c.controlURLs, "http://"+s.Listen.Operators)
}

func (c *cluster) addEntry(i int) {
	s := settings.DefaultEntry()
	s.Instance = fmt.Sprintf("entry-%d", i+1)
	s.AvailabilityZone = fmt.Sprintf("zone-%d", i+1)
	s.Listen.Callers = freeAddress(c.t)
	s.Controls = c.controlLinks
	s.TLS = c.tls
	s.Organisations = c.organisations()
	s.Operators = []settings.OperatorAccount{{Name: "operator", KeyDigests: keyDigests(c.operatorKey)}}
	if c.change != nil {
		c.change(&s)
	}
	c.entries = append(c.entries, c.writeSettings("entry", s.Instance, s))
	c.entryURLs = append(c.entryURLs, "http://"+s.Listen.Callers)
}

// addServer adds a stand-in for a backend server, with its agent.
func (c *cluster) addServer(name, kind string, models []string) {
	a := settings.DefaultAgent()
	a.Instance = "agent-" + name
	a.AvailabilityZone = "zone-1"
	a.Listen = settings.AgentListen{HTTP: freeAddress(c.t), Links: freeAddress(c.t)}
	a.Advertise = a.Listen.Links
	a.Controls = c.controlLinks
	a.TLS = c.tls
	c.agents = append(c.agents, c.writeSettings("agent", a.Instance, a))
	c.agentURLs = append(c.agentURLs, "http://"+a.Listen.HTTP)
	c.agentLinks = append(c.agentLinks, a.Listen.Links)

	e := settings.DefaultEngine()
	e.Server = name
	e.Kind = kind
	e.Listen = freeAddress(c.t)
	e.Agent = a.Listen.HTTP
	e.Models = models
	if c.change != nil {
		c.change(&e)
	}
	c.engines = append(c.engines, c.writeSettings("engine", "engine-"+name, e))
	c.engineURLs = append(c.engineURLs, "http://"+e.Listen)
}

// setFaults sets the simulated faults of a running stand-in.
func (c *cluster) setFaults(engine int, faults any) {
	c.t.Helper()
	body, err := json.Marshal(faults)
	require.NoError(c.t, err)
	got := caller{entry: c.engineURLs[engine]}.mustPost(c.t, "/v1/faults", nil, string(body))
	require.Less(c.t, got.Status, 300, "%s", got.Body)
}

func (c *cluster) caller(entry int) caller {
	return caller{c.entryURLs[entry], c.callerKey}
}

// operatorClient returns an operator's client for the given control instances, or for all if none is given.
func (c *cluster) operatorClient(controls ...int) *operator.Client {
	urls := c.controlURLs
	if len(controls) > 0 {
		urls = nil
		for _, i := range controls {
			urls = append(urls, c.controlURLs[i])
		}
	}
	return operator.New(urls, c.operatorKey, nil)
}

// leader returns the index of the leading control instance as reported by instance seenBy, or -1 if that does not answer,
// is not confirmed by a quorum or reports no leader.
func (c *cluster) leader(seenBy int) int {
	status, err := c.operatorClient(seenBy).Status(c.t.Context())
	if err != nil || !status.Confirmed {
		return -1
	}
	for i := range c.controls {
		if status.Leader == fmt.Sprintf("control-%d", i+1) {
			return i
		}
	}
	return -1
}

// waitLeader waits until control instance seenBy reports a leader, confirmed by a quorum, and returns the leader's index.
func (c *cluster) waitLeader(seenBy int) int {
	c.t.Helper()
	leader := -1
	c.eventually(func() bool {
		leader = c.leader(seenBy)
		return leader >= 0
	}, "no leader")
	return leader
}
