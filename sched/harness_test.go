package sched

import (
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Classes of the tests.
var (
	gateCheck = &wire.Class{Name: "gate-check", Tier: 1, DeadlineMs: 2000, LateMax: 0.01, LostMax: 0.01, Repeatable: true, Kind: kindService}
	passIssue = &wire.Class{Name: "pass-issue", Tier: 1, DeadlineMs: 5000, LateMax: 0.01, LostMax: 0.01, Kind: kindService}
	summary   = &wire.Class{Name: "summary", Tier: 2, DeadlineMs: 10_000, LateMax: 0.05, LostMax: 0.05, Repeatable: true, Kind: kindModel}
	appeal    = &wire.Class{Name: "appeal", Tier: 3, DeadlineMs: 20_000, LateMax: 0.5, Repeatable: true, Kind: kindModel}
	// urgentModel is tier 1 and needs a model, for the rules about tiers that share a pool.
	urgentModel = &wire.Class{Name: "urgent", Tier: 1, DeadlineMs: 4000, LateMax: 0.01, LostMax: 0.01, Repeatable: true, Kind: kindModel}
	// order may not be repeated and needs a model.
	order = &wire.Class{Name: "order", Tier: 2, DeadlineMs: 10_000, LateMax: 0.01, LostMax: 0.01, Kind: kindModel}
)

const (
	testModel   = "m"
	testService = "registry"
)

// world drives a scheduler by hand and keeps what it does.
type world struct {
	t        *testing.T
	s        *Scheduler
	now      time.Time
	records  []*wire.AgentRecord
	sent     []Send
	answers  map[string]*wire.AnswerEnd
	failures map[string]*result.Error
	events   map[string][]string
	widens   []WidenCandidates
	proves   []ProveAtEngine
	counts   []Count
}

func newWorld(t *testing.T, options Options) *world {
	t.Helper()
	s, err := New(options)
	require.NoError(t, err)
	return &world{
		t: t, s: s, now: time.Unix(1_700_000_000, 0),
		answers: map[string]*wire.AnswerEnd{}, failures: map[string]*result.Error{}, events: map[string][]string{},
	}
}

func (w *world) step(e Event) []Action {
	w.t.Helper()
	actions := w.s.Step(w.now, e)
	for _, a := range actions {
		w.keep(a)
	}
	return actions
}

func (w *world) keep(a Action) {
	w.t.Helper()
	switch a := a.(type) {
	case Send:
		w.sent = append(w.sent, a)
	case Deliver:
		for _, e := range a.Events {
			w.events[a.Request] = append(w.events[a.Request], string(e))
		}
	case Answer:
		w.ended(a.Request)
		w.answers[a.Request] = a.End
	case Fail:
		w.ended(a.Request)
		w.failures[a.Request] = a.Err
	case WidenCandidates:
		w.widens = append(w.widens, a)
	case ProveAtEngine:
		w.proves = append(w.proves, a)
	case Count:
		w.counts = append(w.counts, a)
	}
}

// ended checks that no request ends twice.
func (w *world) ended(id string) {
	w.t.Helper()
	require.Nil(w.t, w.answers[id], "second end of %s", id)
	require.Nil(w.t, w.failures[id], "second end of %s", id)
}

func (w *world) pass(d time.Duration) {
	w.t.Helper()
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(MinTickInterval)
		w.step(Tick{})
	}
}

// serve lists a server of its own agent, links it and has it advertise free attempts.
func (w *world) serve(server, kind, target string, free uint32) {
	w.t.Helper()
	w.list(server, kind, target)
	w.up(server, 1)
	w.room(server, kind, target, free)
}

func (w *world) list(server, kind, target string) {
	w.t.Helper()
	w.records = append(w.records, &wire.AgentRecord{
		Agent: agentOf(server), Incarnation: 1,
		Servers: []*wire.ServerRecord{{
			Server: server, Kind: kind, Address: "addr-" + server, Models: []string{target},
			Condition: wire.ServerCondition_SERVER_CONDITION_READY,
		}},
	})
	w.step(Directory{Agents: w.records})
}

func agentOf(server string) string { return "agent-" + server }

func (w *world) up(server string, incarnation uint64) {
	w.t.Helper()
	w.step(AgentUp{Hello: &wire.AgentHello{Agent: agentOf(server), Incarnation: incarnation}})
}

// restart brings up the agent's next incarnation, which has proved the engine free and says so with its room.
func (w *world) restart(server string) {
	w.t.Helper()
	w.up(server, 2)
	w.room(server, kindModel, testModel, 0)
}

func (w *world) down(server string) {
	w.t.Helper()
	w.step(AgentDown{Agent: agentOf(server), Incarnation: w.s.agents[agentOf(server)].incarnation})
}

func readyRoom(server, kind, target string, free uint32) *wire.Room {
	return &wire.Room{
		Server: server, AddressKind: kind, Targets: []string{target}, Free: free,
		Condition: wire.ServerCondition_SERVER_CONDITION_READY, PrefillTokensPerS: 1000, DecodeTokensPerS: 50, Resume: true,
	}
}

func (w *world) room(server, kind, target string, free uint32) {
	w.t.Helper()
	w.say(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: readyRoom(server, kind, target, free)}})
}

// say passes a message of the server's agent, of the incarnation that is linked.
func (w *world) say(server string, m *wire.AgentMessage) {
	w.t.Helper()
	a := w.s.agents[agentOf(server)]
	w.step(MessageReceived{Agent: a.name, Incarnation: a.incarnation, Message: m})
}

func (w *world) over(server string, o *wire.Over) {
	w.t.Helper()
	o.Server = server
	w.say(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: o}})
}

func (w *world) prove(server string, id *wire.AttemptID, p wire.Proof) {
	w.t.Helper()
	w.over(server, &wire.Over{Attempt: id, Proof: p})
}

func (w *world) frame(server string, id *wire.AttemptID, offset uint64, events ...string) {
	w.t.Helper()
	w.say(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Frame{Frame: frameOf(id, offset, events...)}})
}

func frameOf(id *wire.AttemptID, offset uint64, events ...string) *wire.Frame {
	f := &wire.Frame{Attempt: id, Offset: offset}
	for _, e := range events {
		f.Events = append(f.Events, []byte(e))
	}
	return f
}

// complete ends an attempt with an answer of which this attempt made the events from first on.
func (w *world) complete(server string, id *wire.AttemptID, first uint64, events ...string) {
	w.t.Helper()
	w.over(server, &wire.Over{Attempt: id, Proof: wire.Proof_PROOF_COMPLETED, Answer: endOf(first, events...)})
}

func endOf(first uint64, events ...string) *wire.AnswerEnd {
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

func (w *world) request(id string, class *wire.Class) *Request {
	target := testModel
	if class.GetKind() == kindService {
		target = testService
	}
	return &Request{
		ID: id, Organisation: "org", Class: class, Target: target, Method: "POST", Path: "/v1/completions",
		Body: []byte("{}"), PromptTokens: 10, Arrived: w.now,
		Deadline: w.now.Add(time.Duration(class.GetDeadlineMs()) * time.Millisecond),
	}
}

func (w *world) arrive(id string, class *wire.Class) {
	w.t.Helper()
	w.step(Arrive{Request: w.request(id, class)})
}

func (w *world) arriveKeyed(id string, class *wire.Class, candidates ...string) {
	w.t.Helper()
	r := w.request(id, class)
	r.Key, r.Epoch, r.Candidates = "key-"+id, 1, candidates
	w.step(Arrive{Request: r})
}

// sentTo is a message that the scheduler sent about a request.
type sentTo struct {
	server string
	id     *wire.AttemptID
}

func (w *world) dispatches(request string) []sentTo {
	var all []sentTo
	for _, s := range w.sent {
		if d := s.Message.GetDispatch(); d != nil && d.GetAttempt().GetRequest() == request {
			all = append(all, sentTo{d.GetServer(), d.GetAttempt()})
		}
	}
	return all
}

func (w *world) cancels(request string) []sentTo {
	var all []sentTo
	for _, s := range w.sent {
		if c := s.Message.GetCancel(); c != nil && c.GetAttempt().GetRequest() == request {
			all = append(all, sentTo{c.GetServer(), c.GetAttempt()})
		}
	}
	return all
}

func (w *world) reserves(request string) []sentTo {
	var all []sentTo
	for _, s := range w.sent {
		if c := s.Message.GetReserve(); c != nil && c.GetAttempt().GetRequest() == request {
			all = append(all, sentTo{c.GetServer(), c.GetAttempt()})
		}
	}
	return all
}

func (w *world) withdraws(request string) []sentTo {
	var all []sentTo
	for _, s := range w.sent {
		if c := s.Message.GetWithdraw(); c != nil && c.GetAttempt().GetRequest() == request {
			all = append(all, sentTo{c.GetServer(), c.GetAttempt()})
		}
	}
	return all
}

func (w *world) declines(request string) []sentTo {
	var all []sentTo
	for _, s := range w.sent {
		if c := s.Message.GetDecline(); c != nil && c.GetAttempt().GetRequest() == request {
			all = append(all, sentTo{c.GetServer(), c.GetAttempt()})
		}
	}
	return all
}

func (w *world) offer(server string, id *wire.AttemptID) {
	w.t.Helper()
	w.say(server, &wire.AgentMessage{Kind: &wire.AgentMessage_Offer{Offer: &wire.Offer{Attempt: id, Server: server}}})
}

// last returns the last dispatch of a request, which must be the n-th.
func (w *world) last(request string, n int) sentTo {
	w.t.Helper()
	all := w.dispatches(request)
	require.Len(w.t, all, n, "dispatches of %s", request)
	return all[n-1]
}
