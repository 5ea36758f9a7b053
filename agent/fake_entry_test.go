package agent

import (
	"context"
	"strings"
	"sync"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/wire"
)

// fakeEntry is a scripted entry on a real link.
type fakeEntry struct {
	env         *testEnv
	name        string
	incarnation uint64
	dialer      *link.AgentDialer
	stop        context.CancelFunc
	done        chan struct{}

	mu     sync.Mutex
	hellos []*wire.AgentHello // of links that opened
	rooms  []*wire.Room
	overs  map[attemptKey][]*wire.Over
	events map[attemptKey][]string
	starts map[attemptKey]int
}

// startEntry starts an entry that connects to the agent.
func (env *testEnv) startEntry(host, name string) *fakeEntry {
	e := &fakeEntry{
		env:         env,
		name:        name,
		incarnation: 1,
		done:        make(chan struct{}),
		overs:       make(map[attemptKey][]*wire.Over),
		events:      make(map[attemptKey][]string),
		starts:      make(map[attemptKey]int),
	}
	e.dialer = &link.AgentDialer{
		Network: env.network.Host(host),
		Address: agentHost + ":9101",
		Hello: func() *wire.EntryHello {
			return &wire.EntryHello{Entry: name, Incarnation: e.incarnation}
		},
		Up:      e.up,
		Down:    func(*wire.AgentHello, error) {},
		Receive: e.receive,
		Jitter:  func() float64 { return 0 },
	}
	env.control.addEntry(name, e.incarnation)
	ctx, stop := context.WithCancel(env.t.Context())
	e.stop = stop
	go func() {
		defer close(e.done)
		_ = e.dialer.Run(ctx)
	}()
	env.t.Cleanup(e.kill)
	return e
}

// kill ends the entry like a crash.
func (e *fakeEntry) kill() {
	e.stop()
	<-e.done
}

func (e *fakeEntry) up(_ context.Context, hello *wire.AgentHello) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hellos = append(e.hellos, hello)
}

func (e *fakeEntry) receive(_ context.Context, _ *wire.AgentHello, message *wire.AgentMessage) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch kind := message.GetKind().(type) {
	case *wire.AgentMessage_Room:
		e.rooms = append(e.rooms, kind.Room)
	case *wire.AgentMessage_Started:
		e.starts[keyOf(kind.Started.GetAttempt())]++
	case *wire.AgentMessage_Over:
		key := keyOf(kind.Over.GetAttempt())
		e.overs[key] = append(e.overs[key], kind.Over)
	case *wire.AgentMessage_Frame:
		key := keyOf(kind.Frame.GetAttempt())
		for _, event := range kind.Frame.GetEvents() {
			e.events[key] = append(e.events[key], string(event))
		}
	}
	return nil
}

// links returns the number of links that opened, and the hello of the last one.
func (e *fakeEntry) links() (int, *wire.AgentHello) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.hellos) == 0 {
		return 0, nil
	}
	return len(e.hellos), e.hellos[len(e.hellos)-1]
}

func (e *fakeEntry) send(message *wire.EntryMessage) {
	_, hello := e.links()
	e.dialer.Send(hello.GetIncarnation(), message)
}

// room returns the latest Room message about a server, nil if there is none.
func (e *fakeEntry) room(server string) *wire.Room {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(e.rooms) - 1; i >= 0; i-- {
		if e.rooms[i].GetServer() == server {
			return e.rooms[i]
		}
	}
	return nil
}

func (e *fakeEntry) over(request string, number uint64) *wire.Over {
	e.mu.Lock()
	defer e.mu.Unlock()
	overs := e.overs[attemptKey{request, number}]
	if len(overs) == 0 {
		return nil
	}
	return overs[len(overs)-1]
}

// awaitOver waits until an attempt is proved to be over.
func (e *fakeEntry) awaitOver(request string, number uint64) *wire.Over {
	e.env.t.Helper()
	e.env.waitUntil("a proof for "+request, func() bool {
		over := e.over(request, number)
		return over != nil && over.GetProof() != wire.Proof_PROOF_UNPROVEN
	})
	return e.over(request, number)
}

func (e *fakeEntry) text(request string, number uint64) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strings.Join(e.events[attemptKey{request, number}], "\n")
}

func (e *fakeEntry) eventCount(request string, number uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.events[attemptKey{request, number}])
}

func (e *fakeEntry) startCount(request string, number uint64) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts[attemptKey{request, number}]
}

// awaitRoom waits until the server has free room.
func (e *fakeEntry) awaitRoom(server string) {
	e.env.t.Helper()
	e.env.waitUntil("free room at "+server, func() bool { return e.room(server).GetFree() > 0 })
}

const chatBody = `{"model":"sample","messages":[{"role":"user","content":"May I appeal the refusal of my permit?"}],"max_tokens":20}`

// completionDispatch returns a dispatch of a repeatable model request.
func completionDispatch(request string, number uint64) *wire.Dispatch {
	return withBody(&wire.Dispatch{
		Attempt: &wire.AttemptID{Request: request, Number: number},
		Server:  "server-1",
		Work: &wire.Work{
			Organisation: "org-1",
			Class:        "summary",
			Tier:         2,
			Target:       "sample",
			Repeatable:   true,
			Preemptible:  true,
			PromptTokens: 10,
			OutputTokens: 20,
			RemainingMs:  600_000,
		},
		Path:        "/v1/chat/completions",
		ContentType: "application/json",
	}, chatBody)
}

// serviceDispatch returns a dispatch of a service call that may not be repeated.
func serviceDispatch(request string, number uint64) *wire.Dispatch {
	return withBody(&wire.Dispatch{
		Attempt: &wire.AttemptID{Request: request, Number: number},
		Server:  "server-1",
		Work: &wire.Work{
			Organisation: "org-1",
			Class:        "pass-issue",
			Tier:         1,
			Service:      true,
			Target:       "registry",
			RemainingMs:  600_000,
		},
		Method:          "POST",
		Path:            "/v1/passes",
		ContentType:     "application/json",
		IdempotencyKey:  "key-" + request,
		Operation:       "operation-" + request,
		ReportToControl: true,
	}, `{"pass":1}`)
}

func withBody(d *wire.Dispatch, body string) *wire.Dispatch {
	d.Body = []byte(body)
	d.BodySize = uint64(len(body))
	d.BodyDigest = link.BodyDigest(d.Body)
	return d
}

func (e *fakeEntry) dispatch(d *wire.Dispatch) {
	e.send(&wire.EntryMessage{Kind: &wire.EntryMessage_Dispatch{Dispatch: d}})
}

func (e *fakeEntry) cancel(request string, number uint64) { e.cancelAt("server-1", request, number) }

func (e *fakeEntry) cancelAt(server, request string, number uint64) {
	e.send(&wire.EntryMessage{Kind: &wire.EntryMessage_Cancel{Cancel: &wire.Cancel{
		Attempt: &wire.AttemptID{Request: request, Number: number},
		Server:  server,
		Cause:   wire.CancelCause_CANCEL_CAUSE_CALLER_LEFT,
	}}})
}
