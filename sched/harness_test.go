package sched

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Classes used by the tests.
var (
	gateCheck = &wire.Class{Name: "gate-check", Tier: 1, DeadlineMs: 2000, LateMax: 0.01, LostMax: 0.01, Repeatable: true, Kind: kindService}
	passIssue = &wire.Class{Name: "pass-issue", Tier: 1, DeadlineMs: 5000, LateMax: 0.01, LostMax: 0.01, Kind: kindService}
	summary   = &wire.Class{Name: "summary", Tier: 2, DeadlineMs: 10_000, LateMax: 0.05, LostMax: 0.05, Repeatable: true, Kind: kindModel}
	appeal    = &wire.Class{Name: "appeal", Tier: 3, DeadlineMs: 20_000, LateMax: 0.5, Repeatable: true, Kind: kindModel}
	// urgentModel is of tier 1 and of kind model, for tests with several tiers in one pool.
	urgentModel = &wire.Class{Name: "urgent", Tier: 1, DeadlineMs: 4000, LateMax: 0.01, LostMax: 0.01, Repeatable: true, Kind: kindModel}
	// order may not be repeated and is of kind model.
	order = &wire.Class{Name: "order", Tier: 2, DeadlineMs: 10_000, LateMax: 0.01, LostMax: 0.01, Kind: kindModel}
)

const (
	testModel   = "m"
	testService = "registry"
)

// harness drives a scheduler step by step and records its actions.
type harness struct {
	t            *testing.T
	s            *Scheduler
	now          time.Time
	records      []*wire.AgentRecord
	sent         []Send
	answers      map[string]*wire.AnswerEnd
	failures     map[string]*result.Error
	events       map[string][]string
	widened      []WidenCandidates
	engineProofs []ProveAtEngine
	counts       []Count
	shareChanges []ShareChanged
}

func newHarness(t *testing.T, options Options) *harness {
	t.Helper()
	s, err := New(options)
	require.NoError(t, err)
	return &harness{
		t: t, s: s, now: time.Unix(1_700_000_000, 0),
		answers: map[string]*wire.AnswerEnd{}, failures: map[string]*result.Error{}, events: map[string][]string{},
	}
}

func (h *harness) step(e Event) []Action {
	h.t.Helper()
	actions := h.s.Step(h.now, e)
	for _, a := range actions {
		h.recordAction(a)
	}
	return actions
}

func (h *harness) recordAction(a Action) {
	h.t.Helper()
	switch a := a.(type) {
	case Send:
		h.sent = append(h.sent, a)
	case Deliver:
		for _, e := range a.Events {
			h.events[a.Request] = append(h.events[a.Request], string(e))
		}
	case Answer:
		h.checkEndsOnce(a.Request)
		h.answers[a.Request] = a.End
	case Fail:
		h.checkEndsOnce(a.Request)
		h.failures[a.Request] = a.Err
	case WidenCandidates:
		h.widened = append(h.widened, a)
	case ProveAtEngine:
		h.engineProofs = append(h.engineProofs, a)
	case Count:
		h.counts = append(h.counts, a)
	case ShareChanged:
		h.shareChanges = append(h.shareChanges, a)
	}
}

// checkEndsOnce checks that no request ends twice.
func (h *harness) checkEndsOnce(id string) {
	h.t.Helper()
	require.Nil(h.t, h.answers[id], "second end of %s", id)
	require.Nil(h.t, h.failures[id], "second end of %s", id)
}

func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(MinTickInterval)
		h.step(Tick{})
	}
}

// addServer lists a server with its own agent, links it and reports room for free attempts.
func (h *harness) addServer(server, kind, target string, free uint32) {
	h.t.Helper()
	h.listServer(server, kind, target)
	h.linkUp(server, 1)
	h.reportRoom(server, kind, target, free)
}

func (h *harness) listServer(server, kind, target string) {
	h.t.Helper()
	h.records = append(h.records, &wire.AgentRecord{
		Agent: agentOf(server), Incarnation: 1,
		Servers: []*wire.ServerRecord{{
			Server: server, Kind: kind, Address: "addr-" + server, Models: []string{target},
			Condition: wire.ServerCondition_SERVER_CONDITION_READY,
		}},
	})
	h.step(Directory{Agents: h.records})
}

func agentOf(server string) string { return "agent-" + server }

func (h *harness) linkUp(server string, incarnation uint64) {
	h.t.Helper()
	h.step(AgentUp{Hello: &wire.AgentHello{Agent: agentOf(server), Incarnation: incarnation}})
}

// restart links the agent's next incarnation, which has cleared the engine and proves it by its Room report.
func (h *harness) restart(server string) {
	h.t.Helper()
	h.linkUp(server, 2)
	h.reportRoom(server, kindModel, testModel, 0)
}

func (h *harness) linkDown(server string) {
	h.t.Helper()
	h.step(AgentDown{Agent: agentOf(server), Incarnation: h.s.agents[agentOf(server)].incarnation})
}

func readyRoom(server, kind, target string, free uint32) *wire.Room {
	return &wire.Room{
		Server: server, AddressKind: kind, Targets: []string{target}, Free: free,
		Condition: wire.ServerCondition_SERVER_CONDITION_READY, PrefillTokensPerS: 1000, DecodeTokensPerS: 50, Resume: true,
	}
}

func (h *harness) reportRoom(server, kind, target string, free uint32) {
	h.t.Helper()
	h.receive(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: readyRoom(server, kind, target, free)}})
}

// receive delivers a message of the server's agent, of the incarnation that is linked.
func (h *harness) receive(server string, m *wire.AgentMessage) {
	h.t.Helper()
	a := h.s.agents[agentOf(server)]
	h.step(MessageReceived{Agent: a.name, Incarnation: a.incarnation, Message: m})
}

func (h *harness) over(server string, o *wire.Over) {
	h.t.Helper()
	o.Server = server
	h.receive(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: o}})
}

func (h *harness) prove(server string, id *wire.AttemptID, p wire.Proof) {
	h.t.Helper()
	h.over(server, &wire.Over{Attempt: id, Proof: p})
}

func (h *harness) frame(server string, id *wire.AttemptID, offset uint64, events ...string) {
	h.t.Helper()
	h.receive(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: frameOf(id, offset, events...)}})
}

func frameOf(id *wire.AttemptID, offset uint64, events ...string) *wire.Frame {
	f := &wire.Frame{Attempt: id, Offset: offset}
	for _, e := range events {
		f.Events = append(f.Events, []byte(e))
	}
	return f
}

// complete ends an attempt with an answer whose events from first on were produced by this attempt.
func (h *harness) complete(server string, id *wire.AttemptID, first uint64, events ...string) {
	h.t.Helper()
	h.over(server, &wire.Over{Attempt: id, Proof: wire.Proof_PROOF_COMPLETED, Answer: answerEndOf(first, events...)})
}

func answerEndOf(first uint64, events ...string) *wire.AnswerEnd {
	digest := xxhash.New()
	size := 0
	for _, e := range events {
		_, _ = digest.WriteString(e)
		size += len(e)
	}
	return &wire.AnswerEnd{
		Events: first + uint64(len(events)), Bytes: uint64(size), Digest: digest.Sum64(), Status: 200,
		PromptTokens: 10, OutputTokens: uint32(len(events)),
	}
}

func (h *harness) request(id string, class *wire.Class) *Request {
	target := testModel
	if class.GetKind() == kindService {
		target = testService
	}
	return &Request{
		ID: id, Organisation: "org", Class: class, Target: target, Method: "POST", Path: "/v1/completions",
		Body: []byte("{}"), PromptTokens: 10, Arrived: h.now,
		Deadline: h.now.Add(time.Duration(class.GetDeadlineMs()) * time.Millisecond),
	}
}

func (h *harness) arrive(id string, class *wire.Class) {
	h.t.Helper()
	h.step(Arrive{Request: h.request(id, class)})
}

func (h *harness) arriveKeyed(id string, class *wire.Class, candidates ...string) {
	h.t.Helper()
	r := h.request(id, class)
	r.Key, r.Epoch, r.Candidates = "key-"+id, 1, candidates
	h.step(Arrive{Request: r})
}

// sentMessage identifies a message that the scheduler sent about a request.
type sentMessage struct {
	server string
	id     *wire.AttemptID
}

func (h *harness) dispatches(request string) []sentMessage {
	var all []sentMessage
	for _, s := range h.sent {
		if d := s.Message.GetDispatch(); d != nil && d.GetAttempt().GetRequest() == request {
			all = append(all, sentMessage{d.GetServer(), d.GetAttempt()})
		}
	}
	return all
}

func (h *harness) cancels(request string) []sentMessage {
	var all []sentMessage
	for _, s := range h.sent {
		if c := s.Message.GetCancel(); c != nil && c.GetAttempt().GetRequest() == request {
			all = append(all, sentMessage{c.GetServer(), c.GetAttempt()})
		}
	}
	return all
}

func (h *harness) reserves(request string) []sentMessage {
	var all []sentMessage
	for _, s := range h.sent {
		if c := s.Message.GetReserve(); c != nil && c.GetAttempt().GetRequest() == request {
			all = append(all, sentMessage{c.GetServer(), c.GetAttempt()})
		}
	}
	return all
}

func (h *harness) withdraws(request string) []sentMessage {
	var all []sentMessage
	for _, s := range h.sent {
		if c := s.Message.GetWithdraw(); c != nil && c.GetAttempt().GetRequest() == request {
			all = append(all, sentMessage{c.GetServer(), c.GetAttempt()})
		}
	}
	return all
}

func (h *harness) declines(request string) []sentMessage {
	var all []sentMessage
	for _, s := range h.sent {
		if c := s.Message.GetDecline(); c != nil && c.GetAttempt().GetRequest() == request {
			all = append(all, sentMessage{c.GetServer(), c.GetAttempt()})
		}
	}
	return all
}

func (h *harness) offer(server string, id *wire.AttemptID) {
	h.t.Helper()
	h.receive(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Offer{Offer: &wire.Offer{Attempt: id, Server: server}}})
}

// lastDispatch returns the last dispatch of a request, which must be the n-th.
func (h *harness) lastDispatch(request string, n int) sentMessage {
	h.t.Helper()
	all := h.dispatches(request)
	require.Len(h.t, all, n, "dispatches of %s", request)
	return all[n-1]
}
