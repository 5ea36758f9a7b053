package entry

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"testing/synctest"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// fakeAgent is an agent with one backend server. It takes all that it is asked, and answers what the test says.
type fakeAgent struct {
	rig         *rig
	name        string
	host        string
	server      string
	kind        string
	target      string
	incarnation uint64
	resumes     bool // its engine can go on with a stream
	links       *link.EntryServer
	stop        func()

	mu         sync.Mutex
	dispatches []*dispatched
	cancels    []*wire.Cancel

	// onDispatch and onCancel answer. Nil: a service echoes the body, and each Cancel is proved as cancelled if the
	// attempt was dispatched here, else as never started.
	onDispatch func(*dispatched)
	onCancel   func(link.EntryID, *wire.Cancel)
}

// dispatched is an attempt that reached the agent.
type dispatched struct {
	agent *fakeAgent
	entry link.EntryID
	d     *wire.Dispatch
}

// addAgent starts an agent and puts it into the directory.
func (r *rig) addAgent(number int, kind, target string) *fakeAgent {
	r.t.Helper()
	n := strconv.Itoa(number)
	a := &fakeAgent{
		rig: r, name: "agent-" + n, host: "10.0.1." + n, server: "server-" + n, kind: kind, target: target, incarnation: 1,
	}
	a.start()
	r.control.publish(func(v *session.View) { v.Agents[a.name] = a.record() })
	synctest.Wait()
	return a
}

func (r *rig) addService(number int) *fakeAgent {
	return r.addAgent(number, settings.KindService, "registry")
}

func (r *rig) addModel(number int) *fakeAgent {
	return r.addAgent(number, settings.KindModel, "m")
}

func (a *fakeAgent) record() *wire.AgentRecord {
	return &wire.AgentRecord{
		Agent: a.name, Incarnation: a.incarnation, LinkAddress: a.host + ":7000",
		Servers: []*wire.ServerRecord{{
			Server: a.server, Kind: a.kind, Address: "http://" + a.host + ":9000", Models: []string{a.target}, Slots: 8,
			Condition: wire.ServerCondition_SERVER_CONDITION_READY,
		}},
	}
}

func (a *fakeAgent) start() {
	listener, err := a.rig.net.Host(a.host).Listen(a.host + ":7000")
	require.NoError(a.rig.t, err)
	incarnation := a.incarnation
	a.links = &link.EntryServer{
		Hello: func() *wire.AgentHello {
			return &wire.AgentHello{Agent: a.name, Incarnation: incarnation, ConfigVersion: 1}
		},
		Up:      a.up,
		Down:    func(link.EntryID, error) {},
		Receive: a.receive,
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = link.Serve(ctx, listener, nil, a.links.Register)
	}()
	a.stop = sync.OnceFunc(func() {
		cancel()
		<-done
	})
	a.rig.t.Cleanup(a.stop)
}

// die ends the agent's process without a word.
func (a *fakeAgent) die() {
	a.rig.net.Reset(a.host)
	a.stop()
	synctest.Wait()
}

// restart begins the next incarnation.
func (a *fakeAgent) restart() {
	a.incarnation++
	a.start()
	a.rig.control.publish(func(v *session.View) { v.Agents[a.name] = a.record() })
}

func (a *fakeAgent) up(_ context.Context, hello *wire.EntryHello) {
	id := link.EntryID{Name: hello.GetEntry(), Incarnation: hello.GetIncarnation()}
	a.send(id, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: a.room()}})
}

func (a *fakeAgent) room() *wire.Room {
	return &wire.Room{
		Server: a.server, AddressKind: a.kind, Targets: []string{a.target}, Free: 8,
		PrefillTokensPerS: 10_000, DecodeTokensPerS: 100, Condition: wire.ServerCondition_SERVER_CONDITION_READY, Resume: a.resumes,
	}
}

// announceRoom tells all entries of the room as it is now.
func (a *fakeAgent) announceRoom() {
	a.links.Broadcast(&wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: a.room()}})
}

func (a *fakeAgent) send(id link.EntryID, m *wire.AgentMessage) { a.links.Send(id, m) }

func (a *fakeAgent) receive(_ context.Context, id link.EntryID, m *wire.EntryMessage) error {
	switch kind := m.GetKind().(type) {
	case *wire.EntryMessage_Heartbeat:
		a.send(id, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: a.room()}})
	case *wire.EntryMessage_Reserve:
		offer := &wire.Offer{Attempt: kind.Reserve.GetAttempt(), Server: a.server}
		a.send(id, &wire.AgentMessage{Kind: &wire.AgentMessage_Offer{Offer: offer}})
	case *wire.EntryMessage_Dispatch:
		a.dispatch(&dispatched{agent: a, entry: id, d: kind.Dispatch})
	case *wire.EntryMessage_Cancel:
		a.cancel(id, kind.Cancel)
	}
	return nil
}

func (a *fakeAgent) dispatch(d *dispatched) {
	a.mu.Lock()
	a.dispatches = append(a.dispatches, d)
	answer := a.onDispatch
	a.mu.Unlock()
	if answer == nil {
		answer = (*dispatched).echo
	}
	answer(d)
}

func (a *fakeAgent) cancel(id link.EntryID, c *wire.Cancel) {
	a.mu.Lock()
	a.cancels = append(a.cancels, c)
	answer := a.onCancel
	a.mu.Unlock()
	if answer != nil {
		answer(id, c)
		return
	}
	proof := wire.Proof_PROOF_NEVER_STARTED
	if a.ran(c.GetAttempt().GetRequest()) > 0 {
		proof = wire.Proof_PROOF_CANCELLED
	}
	over := &wire.Over{Attempt: c.GetAttempt(), Server: a.server, Proof: proof}
	a.send(id, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: over}})
}

// ran returns how many attempts of a request were dispatched here, of all requests with "".
func (a *fakeAgent) ran(request string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, d := range a.dispatches {
		if request == "" || d.d.GetAttempt().GetRequest() == request {
			n++
		}
	}
	return n
}

func (a *fakeAgent) cancelled() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.cancels)
}

// all returns the attempts in the order of their dispatch.
func (a *fakeAgent) all() []*dispatched {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.dispatches)
}

// hold keeps every attempt unanswered.
func (a *fakeAgent) hold() {
	a.script(func(*dispatched) {}, a.onCancel)
}

// deaf keeps every attempt and every Cancel unanswered.
func (a *fakeAgent) deaf() {
	a.script(func(*dispatched) {}, func(link.EntryID, *wire.Cancel) {})
}

// script says how the agent answers from now on; nil is the default.
func (a *fakeAgent) script(onDispatch func(*dispatched), onCancel func(link.EntryID, *wire.Cancel)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onDispatch = onDispatch
	a.onCancel = onCancel
}

// echo answers a service call with its own body, a completion with two tokens.
func (d *dispatched) echo() {
	if d.agent.kind == settings.KindModel {
		d.answer("text/event-stream", chatEvent("Hel"), chatEvent("lo"), chatEnd)
		return
	}
	d.answer("application/json", string(d.d.GetBody()))
}

// answer gives a whole answer, one frame for each event.
func (d *dispatched) answer(contentType string, events ...string) {
	for i, event := range events {
		d.frame(uint64(i), event)
	}
	d.end(contentType, events...)
}

func (d *dispatched) frame(offset uint64, events ...string) {
	f := &wire.Frame{Attempt: d.d.GetAttempt(), Offset: offset}
	for _, event := range events {
		f.Events = append(f.Events, []byte(event))
	}
	d.agent.send(d.entry, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: f}})
}

func (d *dispatched) end(contentType string, events ...string) {
	digest, size := xxhash.New(), 0
	for _, event := range events {
		_, _ = digest.WriteString(event)
		size += len(event)
	}
	d.over(&wire.Over{Proof: wire.Proof_PROOF_COMPLETED, Answer: &wire.AnswerEnd{
		Events: uint64(len(events)), Bytes: uint64(size), Digest: digest.Sum64(), Status: 200, ContentType: contentType,
		PromptTokens: 3, OutputTokens: 2,
	}})
}

func (d *dispatched) over(o *wire.Over) {
	o.Attempt = d.d.GetAttempt()
	o.Server = d.agent.server
	d.agent.send(d.entry, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: o}})
}

func chatEvent(content string) string {
	return `{"id":"c1","object":"chat.completion.chunk","created":7,"model":"m","choices":[{"index":0,"delta":{"content":` +
		strconv.Quote(content) + `},"finish_reason":null}]}`
}

const chatEnd = `{"id":"c1","object":"chat.completion.chunk","created":7,"model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`

func failedProof() *wire.Over {
	return &wire.Over{Proof: wire.Proof_PROOF_FAILED}
}

// withNumber returns a dispatch of another attempt of the same request.
func withNumber(d *wire.Dispatch, number uint64) *wire.Dispatch {
	return &wire.Dispatch{Attempt: &wire.AttemptID{Request: d.GetAttempt().GetRequest(), Number: number}}
}
