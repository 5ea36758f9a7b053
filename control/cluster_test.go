package control_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/control"
	"github.com/carawaypitch/carawaypitch/logging"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/network/memory"
	"github.com/carawaypitch/carawaypitch/quorum/journal"
	"github.com/carawaypitch/carawaypitch/quorum/journal/journaltest"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

const operatorKey = "operator-key-of-the-tests"

// cluster holds control instances on an in-memory network, for use in a synctest bubble. Instance i has the host
// 10.0.0.i.
type cluster struct {
	t         *testing.T
	net       *memory.Network
	classes   []settings.Class
	instances []*instance
	ctx       context.Context
	log       *instanceLog
}

// instanceLog collects the log lines of all instances, for tests that fail.
type instanceLog struct {
	mu     sync.Mutex
	output bytes.Buffer
}

// Write implements io.Writer.
func (l *instanceLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.output.Write(line)
}

type instance struct {
	settings settings.Control
	host     string
	fs       *journaltest.FS
	control  *control.Control
	cancel   context.CancelFunc
	done     chan error
}

func newCluster(t *testing.T, size int, classes ...settings.Class) *cluster {
	c := &cluster{t: t, net: memory.New(), classes: classes, ctx: t.Context(), log: new(instanceLog)}
	t.Cleanup(func() {
		if t.Failed() {
			c.log.mu.Lock()
			defer c.log.mu.Unlock()
			t.Logf("log output of the instances:\n%s", c.log.output.String())
		}
	})
	for i := 1; i <= size; i++ {
		c.instances = append(c.instances, c.newInstance(i, size))
	}
	return c
}

func (c *cluster) newInstance(i, size int) *instance {
	host := fmt.Sprintf("10.0.0.%d", i)
	s := settings.DefaultControl()
	s.Instance = "control-" + strconv.Itoa(i)
	s.AvailabilityZone = "zone-" + strconv.Itoa(i)
	s.Listen = settings.ControlListen{Operators: host + ":8090", Links: host + ":7000"}
	s.Advertise = s.Listen.Links
	s.Bootstrap = true
	s.DataDir = "/data"
	s.InitialClasses = c.classes
	s.Organisations = []settings.Organisation{{Name: "union", DefaultClass: "kept"}}
	s.Operators = []settings.OperatorAccount{{
		Name:       "olga",
		KeyDigests: []string{settings.NewDigest(operatorKey, bytes.Repeat([]byte{1}, settings.SaltBytes))},
	}}
	for j := 1; j <= size; j++ {
		s.Replicas = append(s.Replicas, settings.Replica{
			Instance: "control-" + strconv.Itoa(j),
			Address:  fmt.Sprintf("10.0.0.%d:7000", j),
		})
	}
	return &instance{settings: s, host: host, fs: journaltest.New()}
}

// start runs an instance on its own disk.
func (c *cluster) start(n *instance) { c.startOn(n, n.fs) }

// startOn runs an instance on a file system.
func (c *cluster) startOn(n *instance, fs journal.FS) {
	var err error
	n.control, err = control.New(n.settings, control.Options{
		Network: c.net.Host(n.host), FS: fs, Seed: 1,
		Log: (&log.Logger{Handler: logging.NewHandler(c.log), Level: log.InfoLevel}).WithField("instance", n.settings.Instance),
	})
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(c.ctx)
	n.cancel = cancel
	n.done = make(chan error, 1)
	go func() { n.done <- n.control.Run(ctx) }()
}

func (c *cluster) startAll() {
	for _, n := range c.instances {
		c.start(n)
	}
}

// stop shuts an instance down in order.
func (c *cluster) stop(n *instance) {
	n.cancel()
	require.NoError(c.t, <-n.done)
	n.control = nil
}

func (c *cluster) stopAll() {
	for _, n := range c.instances {
		if n.control != nil {
			c.stop(n)
		}
	}
}

// leader waits until a running instance leads and is ready, and returns it.
func (c *cluster) leader() *instance {
	var leader *instance
	require.Eventually(c.t, func() bool {
		leader = nil
		for _, n := range c.instances {
			if n.control == nil || n.control.Ready() != nil {
				continue
			}
			if status := c.status(n); status.Role == "leader" && status.Confirmed && status.Fence != 0 {
				leader = n
			}
		}
		return leader != nil
	}, time.Minute, 50*time.Millisecond)
	return leader
}

func (c *cluster) follower() *instance {
	leader := c.leader()
	for _, n := range c.instances {
		if n != leader && n.control != nil {
			return n
		}
	}
	c.t.Fatal("no running follower")
	return nil
}

// links returns the link addresses of all instances.
func (c *cluster) links() []string {
	var out []string
	for _, n := range c.instances {
		out = append(out, n.settings.Listen.Links)
	}
	return out
}

// client starts a session of an entry or agent, and returns it with a function that stops it.
func (c *cluster) client(name, host string, role wire.Role, incarnation uint64) (*session.Session, func()) {
	return c.run(session.Config{
		Instance:    name,
		Role:        role,
		Incarnation: incarnation,
		Zone:        "zone-1",
		LinkAddress: host + ":7100",
		Controls:    c.links(),
		Network:     c.net.Host(host),
	})
}

func (c *cluster) run(config session.Config) (*session.Session, func()) {
	s := session.New(config)
	ctx, cancel := context.WithCancel(c.ctx)
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	return s, func() {
		cancel()
		<-done
	}
}

func (c *cluster) eventually(what string, ok func() bool) {
	require.Eventually(c.t, ok, time.Minute, 20*time.Millisecond, what)
}

// answer is the HTTP response to an operator.
type answer struct {
	status int
	header http.Header
	body   []byte
}

func (a answer) decode(t *testing.T, into any) {
	require.NoError(t, json.Unmarshal(a.body, into), string(a.body))
}

// code returns the result code of a refusal, or 0 if there is none.
func (a answer) code(t *testing.T) int {
	var body struct {
		Error struct {
			Code int `json:"code"`
		} `json:"error"`
	}
	a.decode(t, &body)
	return body.Error.Code
}

// call makes an operator's call from a separate host. The status is 0 if the connection failed.
func (c *cluster) call(n *instance, method, path, body string, headers map[string]string) answer {
	transport := network.SingleSend{Transport: &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return c.net.Host("10.0.9.1").Dial(ctx, address)
	}}}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(c.ctx, method, "http://"+n.settings.Listen.Operators+path, bytes.NewReader([]byte(body)))
	require.NoError(c.t, err)
	request.Header.Set("Authorization", "Bearer "+operatorKey)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := (&http.Client{Transport: transport, Timeout: 20 * time.Second}).Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{response.StatusCode, response.Header, data}
}

func (c *cluster) get(n *instance, path string) answer {
	return c.call(n, http.MethodGet, path, "", nil)
}

func (c *cluster) put(n *instance, name, body string, version uint64, change string) answer {
	return c.call(n, http.MethodPut, "/v1/classes/"+name, body, changeHeaders(version, change))
}

func changeHeaders(version uint64, change string) map[string]string {
	return map[string]string{"If-Match": strconv.FormatUint(version, 10), "Change-Id": change}
}

type classAnswer struct {
	Name       string `json:"name"`
	DeadlineMS int    `json:"deadline_ms"`
	Version    uint64 `json:"version"`
}

type statusAnswer struct {
	Role          string           `json:"role"`
	Leader        string           `json:"leader"`
	Confirmed     bool             `json:"confirmed"`
	Term          uint64           `json:"term"`
	Fence         uint64           `json:"fence"`
	ConfigVersion uint64           `json:"config_version"`
	Orders        int              `json:"orders"`
	Replicas      []replicaAnswer  `json:"replicas"`
	Controls      []instanceAnswer `json:"controls"`
	Entries       []instanceAnswer `json:"entries"`
	Agents        []instanceAnswer `json:"agents"`
	Poison        []poisonAnswer   `json:"poison"`
	Advice        []adviceAnswer   `json:"advice"`
}

type adviceAnswer struct {
	Server string `json:"server"`
}

type poisonAnswer struct {
	Fingerprint string   `json:"fingerprint"`
	Standing    string   `json:"standing"`
	Servers     []string `json:"servers"`
	LeftMS      int64    `json:"left_ms"`
}

type replicaAnswer struct {
	ID       string `json:"id"`
	Instance string `json:"instance"`
	Voter    bool   `json:"voter"`
}

type instanceAnswer struct {
	Instance      string `json:"instance"`
	Registered    bool   `json:"registered"`
	Connected     bool   `json:"connected"`
	ConfigVersion uint64 `json:"config_version"`
}

func (c *cluster) status(n *instance) statusAnswer {
	var out statusAnswer
	a := c.get(n, "/v1/status")
	if a.status == http.StatusOK {
		a.decode(c.t, &out)
	}
	return out
}

// classBody returns the body of a valid class.
func classBody(deadlineMS int) string {
	return fmt.Sprintf(`{"tier": 1, "deadline_ms": %d, "late_max": 0.01, "lost_max": 0, "repeatable": true, "kind": "service", "preempt": "never"}`, deadlineMS)
}

func gateCheckClass() settings.Class {
	return settings.Class{Name: "gate-check", Tier: 1, DeadlineMS: 800, LateMax: 0.01, Repeatable: true, Kind: "service"}
}
