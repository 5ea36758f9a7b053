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

// fakeAgent is an agent with one backend server. It accepts every reservation and dispatch, and answers as the test
// specifies.
type fakeAgent struct {
	harness     *harness
	name        string
	host        string
	server      string
	kind        string
	target      string
	version     string // of its server
	incarnation uint64
	resumes     bool // its engine can resume a stream
	links       *link.EntryServer
	stop        func()

	mu         sync.Mutex
	dispatches []*receivedDispatch
	cancels    []*wire.Cancel
	credits    []*wire.Credit
	linksOpen  int // opened

	// onDispatch and onCancel handle messages. If nil, a service echoes the body, and a Cancel is answered with a
	// proof: cancelled if the attempt was dispatched here, otherwise never started.
	onDispatch func(*receivedDispatch)
	onCancel   func(link.EntryID, *wire.Cancel)
	onCredit   func(*wire.Credit)
}

// receivedDispatch is an attempt dispatched to the agent.
type receivedDispatch struct {
	agent   *fakeAgent
	entry   link.EntryID
	message *wire.Dispatch
}

// addAgent starts an agent and adds it to the directory.
func (h *harness) addAgent(number int, kind, target string) *fakeAgent {
	h.t.Helper()
	n := strconv.Itoa(number)
	a := &fakeAgent{
		harness: h, name: "agent-" + n, host: "10.0.1." + n, server: "server-" + n, kind: kind, target: target, incarnation: 1,
	}
	a.start()
	h.control.publish(func(v *session.View) { v.Agents[a.name] = a.record() })
	synctest.Wait()
	return a
}

func (h *harness) addService(number int) *fakeAgent {
	return h.addAgent(number, settings.KindService, "registry")
}

func (h *harness) addModel(number int) *fakeAgent {
	return h.addAgent(number, settings.KindModel, "m")
}

func (a *fakeAgent) record() *wire.AgentRecord {
	return &wire.AgentRecord{
		Agent: a.name, Incarnation: a.incarnation, LinkAddress: a.host + ":7000",
		Servers: []*wire.ServerRecord{{
			Server: a.server, Kind: a.kind, Address: "http://" + a.host + ":9000", Models: []string{a.target}, Slots: 8,
			Version:   a.version,
			Condition: wire.ServerCondition_SERVER_CONDITION_READY,
		}},
	}
}

func (a *fakeAgent) start() {
	listener, err := a.harness.net.Host(a.host).Listen(a.host + ":7000")
	require.NoError(a.harness.t, err)
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
	a.harness.t.Cleanup(a.stop)
}

// crash ends the agent's process without a graceful stop.
func (a *fakeAgent) crash() {
	a.harness.net.Reset(a.host)
	a.stop()
	synctest.Wait()
}

// restart starts the next incarnation.
func (a *fakeAgent) restart() {
	a.incarnation++
	a.start()
	a.harness.control.publish(func(v *session.View) { v.Agents[a.name] = a.record() })
}

func (a *fakeAgent) up(_ context.Context, hello *wire.EntryHello) {
	id := link.EntryID{Name: hello.GetEntry(), Incarnation: hello.GetIncarnation()}
	a.mu.Lock()
	a.linksOpen++
	a.mu.Unlock()
	a.send(id, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: a.room()}})
}

func (a *fakeAgent) room() *wire.Room {
	return &wire.Room{
		Server: a.server, AddressKind: a.kind, Targets: []string{a.target}, Free: 8,
		PrefillTokensPerS: 10_000, DecodeTokensPerS: 100, Condition: wire.ServerCondition_SERVER_CONDITION_READY, Resume: a.resumes,
	}
}

// announceRoom sends the current room to all entries.
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
		a.dispatch(&receivedDispatch{agent: a, entry: id, message: kind.Dispatch})
	case *wire.EntryMessage_Cancel:
		a.cancel(id, kind.Cancel)
	case *wire.EntryMessage_Credit:
		a.credit(kind.Credit)
	}
	return nil
}

func (a *fakeAgent) credit(c *wire.Credit) {
	a.mu.Lock()
	a.credits = append(a.credits, c)
	handle := a.onCredit
	a.mu.Unlock()
	if handle != nil {
		handle(c)
	}
}

// linkCount returns how many links were opened.
func (a *fakeAgent) linkCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.linksOpen
}

// creditList returns the credits in order of arrival.
func (a *fakeAgent) creditList() []*wire.Credit {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.credits)
}

func (a *fakeAgent) dispatch(d *receivedDispatch) {
	a.mu.Lock()
	a.dispatches = append(a.dispatches, d)
	answer := a.onDispatch
	a.mu.Unlock()
	if answer == nil {
		answer = (*receivedDispatch).sendDefaultAnswer
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
	if a.dispatchCount(c.GetAttempt().GetRequest()) > 0 {
		proof = wire.Proof_PROOF_CANCELLED
	}
	over := &wire.Over{Attempt: c.GetAttempt(), Server: a.server, Proof: proof}
	a.send(id, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: over}})
}

// dispatchCount returns how many attempts of a request were dispatched here; "" counts those of all requests.
func (a *fakeAgent) dispatchCount(request string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, d := range a.dispatches {
		if request == "" || d.message.GetAttempt().GetRequest() == request {
			n++
		}
	}
	return n
}

func (a *fakeAgent) cancelCount() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.cancels)
}

// dispatchList returns the attempts in order of dispatch.
func (a *fakeAgent) dispatchList() []*receivedDispatch {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.dispatches)
}

// holdDispatches leaves every attempt unanswered.
func (a *fakeAgent) holdDispatches() {
	a.setHandlers(func(*receivedDispatch) {}, a.onCancel)
}

// ignoreMessages leaves every attempt and every Cancel unanswered.
func (a *fakeAgent) ignoreMessages() {
	a.setHandlers(func(*receivedDispatch) {}, func(link.EntryID, *wire.Cancel) {})
}

// setHandlers sets how the agent answers subsequent messages; nil selects the default.
func (a *fakeAgent) setHandlers(onDispatch func(*receivedDispatch), onCancel func(link.EntryID, *wire.Cancel)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.onDispatch = onDispatch
	a.onCancel = onCancel
}

// sendDefaultAnswer answers a service call with its own body, and a completion with two tokens.
func (d *receivedDispatch) sendDefaultAnswer() {
	if d.agent.kind == settings.KindModel {
		d.sendAnswer("text/event-stream", chatEvent("Hel"), chatEvent("lo"), chatEnd)
		return
	}
	d.sendAnswer("application/json", string(d.message.GetBody()))
}

// sendAnswer sends a complete answer, one frame for each event.
func (d *receivedDispatch) sendAnswer(contentType string, events ...string) {
	for i, event := range events {
		d.sendFrame(uint64(i), event)
	}
	d.sendEnd(contentType, events...)
}

func (d *receivedDispatch) sendFrame(offset uint64, events ...string) {
	f := &wire.Frame{Attempt: d.message.GetAttempt(), Offset: offset}
	for _, event := range events {
		f.Events = append(f.Events, []byte(event))
	}
	d.agent.send(d.entry, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: f}})
}

func (d *receivedDispatch) sendEnd(contentType string, events ...string) {
	digest, size := xxhash.New(), 0
	for _, event := range events {
		_, _ = digest.WriteString(event)
		size += len(event)
	}
	d.sendOver(&wire.Over{Proof: wire.Proof_PROOF_COMPLETED, Answer: &wire.AnswerEnd{
		Events: uint64(len(events)), Bytes: uint64(size), Digest: digest.Sum64(), Status: 200, ContentType: contentType,
		PromptTokens: 3, OutputTokens: 2,
	}})
}

func (d *receivedDispatch) sendOver(o *wire.Over) {
	o.Attempt = d.message.GetAttempt()
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

// withNumber returns a dispatch for another attempt of the same request.
func withNumber(d *wire.Dispatch, number uint64) *wire.Dispatch {
	return &wire.Dispatch{Attempt: &wire.AttemptID{Request: d.GetAttempt().GetRequest(), Number: number}}
}
