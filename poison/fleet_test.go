package poison_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/agent"
	"github.com/carawaypitch/carawaypitch/control"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/entry"
	"github.com/carawaypitch/carawaypitch/network"
	"github.com/carawaypitch/carawaypitch/network/memory"
	"github.com/carawaypitch/carawaypitch/quorum/journal/journaltest"
	"github.com/carawaypitch/carawaypitch/settings"
)

// Size and timing of the deployment in these tests.
const (
	controls = 3
	entries  = 3
	engines  = 6
	// propagationDelay bounds the time until a process learns what another one knows.
	propagationDelay = 3 * time.Second
	// engineDowntime is how long a crashed engine takes to restart.
	engineDowntime = 2 * time.Second
	// callerPause is the time between two requests of a caller.
	callerPause = 20 * time.Millisecond
	// crashText is the text that makes an engine crash when it begins to run a request containing it.
	crashText    = "poison"
	poisonPrompt = "a " + crashText + " pill"
)

// fleet is a complete deployment on an in-memory network in a synctest bubble: the real daemons, and simulated engines
// that crash when they begin to run a request containing crashText.
type fleet struct {
	t        *testing.T
	net      *memory.Network
	controls []*process
	entries  []*process
	engines  []*standin.Server
	client   *http.Client
	stops    []func()
}

// process is a running daemon.
type process struct {
	name string
	host string
	fs   *journaltest.FS // of control
	stop func()
}

func runFleet(t *testing.T, test func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, net: memory.New()}
		caller := f.net.Host("10.9.0.1")
		transport := network.SingleSend{Transport: &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return caller.Dial(ctx, address)
		}}}
		f.client = &http.Client{Transport: transport}
		defer f.stopAll(transport.Transport)
		for i := range controls {
			f.controls = append(f.controls, &process{name: fmt.Sprint("control-", i), host: fmt.Sprint("10.0.0.", i+1), fs: journaltest.New()})
		}
		for i := range f.controls {
			f.startControl(i)
		}
		for i := range engines {
			f.startEngine(i)
		}
		for i := range entries {
			f.startEntry(i)
		}
		for i := range entries {
			f.awaitEntry(i)
		}
		test(f)
	})
}

// stopAll stops all daemons in reverse order of their start.
func (f *fleet) stopAll(transport *http.Transport) {
	transport.CloseIdleConnections()
	for _, stop := range slices.Backward(f.stops) {
		stop()
	}
	transport.CloseIdleConnections()
}

// launch runs a daemon and returns a function that kills it: its connections are reset, without any notice to its
// peers.
func (f *fleet) launch(host string, run func(context.Context) error) (kill func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = run(ctx)
	}()
	end := sync.OnceFunc(func() {
		cancel()
		<-done
	})
	f.stops = append(f.stops, end)
	return func() {
		f.net.Refuse(host, true)
		f.net.Reset(host)
		end()
		f.net.Refuse(host, false)
	}
}

func discardLog() log.Interface { return &log.Logger{Handler: discard.New(), Level: log.FatalLevel} }

var organisations = []settings.Organisation{
	{Name: "compost", DefaultClass: "review", KeyDigests: []string{settings.NewDigest("key-of-compost", settings.NewSalt())}},
	{Name: "yatai", DefaultClass: "review", KeyDigests: []string{settings.NewDigest("key-of-yatai", settings.NewSalt())}},
}

const operatorKey = "key-of-olga"

func (f *fleet) startControl(i int) {
	p := f.controls[i]
	s := settings.DefaultControl()
	s.Instance = p.name
	s.AvailabilityZone = fmt.Sprint("zone-", i)
	s.Listen = settings.ControlListen{Operators: p.host + ":8090", Links: p.host + ":7000"}
	s.Advertise = s.Listen.Links
	s.Bootstrap = true
	s.DataDir = "/data"
	s.Organisations = organisations
	s.Operators = []settings.OperatorAccount{{Name: "olga", KeyDigests: []string{settings.NewDigest(operatorKey, settings.NewSalt())}}}
	s.InitialClasses = []settings.Class{{
		Name: "review", Tier: 2, DeadlineMS: 6000, LateMax: 0.01, LostMax: 0.01, Repeatable: true, Kind: settings.KindModel,
	}}
	for _, other := range f.controls {
		s.Replicas = append(s.Replicas, settings.Replica{Instance: other.name, Address: other.host + ":7000"})
	}
	c, err := control.New(s, control.Options{Network: f.net.Host(p.host), FS: p.fs, Seed: uint64(i) + 1})
	require.NoError(f.t, err)
	p.stop = f.launch(p.host, c.Run)
}

func (f *fleet) controlAddresses() []string {
	var links []string
	for _, c := range f.controls {
		links = append(links, c.host+":7000")
	}
	return links
}

func (f *fleet) startEngine(i int) {
	host := fmt.Sprint("10.1.0.", i+1)
	a := settings.DefaultAgent()
	a.Instance = fmt.Sprint("agent-", i)
	a.AvailabilityZone = fmt.Sprint("zone-", i%3)
	a.Listen = settings.AgentListen{HTTP: host + ":7100", Links: host + ":9100"}
	a.Advertise = a.Listen.Links
	a.Controls = f.controlAddresses()
	daemon, err := agent.New(a, agent.Options{Network: f.net.Host(host), Log: discardLog()})
	require.NoError(f.t, err)
	f.launch(host, daemon.Run)
	options := standin.ModelDefaults()
	options.Server = fmt.Sprint("model-", i)
	options.Network = f.net.Host(host)
	options.Listen = host + ":7200"
	options.Agent = "http://" + host + ":7100"
	options.LeaveTimeout = time.Second
	options.Faults = standin.Faults{CrashOn: crashText, DownMs: engineDowntime.Milliseconds()}
	server := standin.New(options)
	f.engines = append(f.engines, server)
	f.launch(host, server.Run)
}

func (f *fleet) startEntry(i int) {
	host := fmt.Sprint("10.2.0.", i+1)
	s := settings.DefaultEntry()
	s.Instance = fmt.Sprint("entry-", i)
	s.AvailabilityZone = fmt.Sprint("zone-", i%3)
	s.Listen.Callers = host + ":8080"
	s.Controls = f.controlAddresses()
	s.Organisations = organisations
	s.Timing.Drain = time.Second
	daemon, err := entry.New(s, entry.Options{Network: f.net.Host(host), Log: discardLog(), Seed: uint64(i) + 1})
	require.NoError(f.t, err)
	p := &process{name: s.Instance, host: host, stop: f.launch(host, daemon.Run)}
	if i < len(f.entries) {
		f.entries[i] = p
		return
	}
	f.entries = append(f.entries, p)
}

// answer is the response that a caller received. A status of 0 means that the connection was lost.
type answer struct {
	status int
	body   string
}

// isQuarantined reports whether the request was refused because servers had crashed while running it, with the
// assurance that it did not run.
func (a answer) isQuarantined() bool {
	return a.status == http.StatusUnprocessableEntity && strings.Contains(a.body, "request_quarantined") &&
		strings.Contains(a.body, `"ran":"no"`)
}

// isHeldForPart is isQuarantined for a part of the prompt.
func (a answer) isHeldForPart() bool {
	return a.status == http.StatusUnprocessableEntity && strings.Contains(a.body, "part_quarantined") &&
		strings.Contains(a.body, `"ran":"no"`)
}

// chat sends a chat completion request with the given text to an entry.
func (f *fleet) chat(index int, organisation, text string) answer {
	return f.post(index, organisation, fmt.Appendf(nil, `{"model":"sample","max_tokens":24,"messages":[{"role":"user","content":%q}]}`, text))
}

// post sends a chat completion request with the given body to an entry.
func (f *fleet) post(index int, organisation string, body []byte) answer {
	request, err := http.NewRequest(http.MethodPost, "http://"+f.entries[index].host+":8080/v1/chat/completions", bytes.NewReader(body))
	require.NoError(f.t, err)
	request.Header.Set("Authorization", "Bearer key-of-"+organisation)
	response, err := f.client.Do(request)
	if err != nil {
		return answer{}
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{}
	}
	return answer{response.StatusCode, string(data)}
}

// timedAnswer is an answer and when its request was sent.
type timedAnswer struct {
	answer
	at time.Time
}

// repeat lets callers send requests, each the next one a callerPause after an answer, until the returned function is called,
// which returns all answers.
func (f *fleet) repeat(callers int, send func(caller, n int) answer) (end func() []timedAnswer) {
	var mu sync.Mutex
	var all []timedAnswer
	stop := make(chan struct{})
	var running sync.WaitGroup
	for c := range callers {
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(callerPause):
				}
				at := time.Now()
				got := send(c, n)
				mu.Lock()
				all = append(all, timedAnswer{got, at})
				mu.Unlock()
			}
		})
	}
	return func() []timedAnswer {
		close(stop)
		running.Wait()
		return all
	}
}

// countHeld returns how many requests were refused because of crashes, and how many were served.
func countHeld(all []timedAnswer) (held, served int) {
	for _, one := range all {
		if one.isQuarantined() || one.isHeldForPart() {
			held++
		}
		if one.status == http.StatusOK {
			served++
		}
	}
	return held, served
}

func (f *fleet) eventually(what string, condition func() bool) {
	f.t.Helper()
	require.Eventually(f.t, condition, time.Minute, 20*time.Millisecond, what)
}

// awaitEntry waits until an entry answers requests.
func (f *fleet) awaitEntry(index int) {
	f.t.Helper()
	f.eventually("the entry answers requests", func() bool { return f.chat(index, "yatai", "hello").status == http.StatusOK })
}

// awaitLeader waits until one of the control instances reports that it is ready, which needs a leader.
func (f *fleet) awaitLeader() {
	f.t.Helper()
	f.eventually("control has a leader", func() bool {
		for _, c := range f.controls {
			response, err := f.client.Get("http://" + c.host + ":8090/readyz")
			if err != nil {
				continue
			}
			response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return true
			}
		}
		return false
	})
}

// disableFaults removes the crash fault from all engines, and waits until they have restarted.
func (f *fleet) disableFaults() {
	f.t.Helper()
	for _, e := range f.engines {
		require.NoError(f.t, e.SetFaults(standin.Faults{}))
	}
	time.Sleep(engineDowntime + propagationDelay)
}

// crashCount returns the total number of engine crashes.
func (f *fleet) crashCount() int {
	total := 0
	for _, e := range f.engines {
		total += int(e.Stats().Crashes)
	}
	return total
}

// recordCrashTimes records the times of engine crashes until the returned function is called, which returns them.
func (f *fleet) recordCrashTimes() func() []time.Time {
	var times []time.Time
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for {
			select {
			case <-stop:
				return
			case now := <-time.After(5 * time.Millisecond):
				for range f.crashCount() - len(times) {
					times = append(times, now)
				}
			}
		}
	}()
	return func() []time.Time {
		close(stop)
		<-done
		return times
	}
}
