package sched

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/retry/audit"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	retrySimWindow  = 10 * time.Second
	retrySimLength  = 32 * time.Second
	retrySimTick    = 20 * time.Millisecond
	retrySimReport  = 100 * time.Millisecond
	retrySimRemoval = 6 * time.Second // after which control removes a silent entry
)

// retrySim runs the schedulers of several entries against gates, servers and control in virtual time, and records when requests
// were sent and which of their attempts arrived at a server.
type retrySim struct {
	t        *testing.T
	random   *rand.Rand // of times that differ with what the entries do
	traffic  *rand.Rand
	faults   *rand.Rand
	options  Options
	start    time.Time
	now      time.Time
	due      retryEvents
	order    uint64
	entries  []*retryEntry
	gates    []*retryGate
	control  bool // answers
	listed   map[int]uint64
	perSec   float64
	sequence int
	audit    audit.Record
	bearable audit.Record // with the retries that were refused though the bound would have borne them
	refused  int          // retries that the budget refused
	answered int
}

type retryEvents []retryEvent

type retryEvent struct {
	at    time.Time
	order uint64
	run   func()
}

func (q retryEvents) Len() int { return len(q) }

func (q retryEvents) Less(i, j int) bool {
	return cmp.Or(q[i].at.Compare(q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}
func (q retryEvents) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *retryEvents) Push(x any)   { *q = append(*q, x.(retryEvent)) }

func (q *retryEvents) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// retryEntry is an entry, over all its processes.
type retryEntry struct {
	number int
	life   uint64 // of its process
	s      *Scheduler
	up     bool
	frozen bool
	cut    bool // from control
	silent time.Time
	weight float64 // share of the requests
	held   []Event // while frozen
}

// retryGate is an agent and the server beside it.
type retryGate struct {
	name        string
	incarnation uint64
	up          bool
	cutFrom     map[int]bool // entries
	runs        map[string]*retryRun
	server      retryServer
}

type retryServer int

const (
	serverSound retryServer = iota
	serverFails
	serverRejects
	serverResets
	serverHangs
	serverDown
	serverReplaced
	serverModes
)

// retryRun is an attempt at a gate.
type retryRun struct {
	entry, life uint64
	id          *wire.AttemptID
	over        *wire.Over // nil while it runs
}

func newRetrySim(t *testing.T, seed uint64) *retrySim {
	random := rand.New(rand.NewPCG(seed, 57))
	m := &retrySim{
		t: t, random: rand.New(rand.NewPCG(seed, 58)), traffic: rand.New(rand.NewPCG(seed, 59)), faults: random, start: time.Unix(1_700_000_000, 0), control: true, listed: map[int]uint64{},
		options: Options{Seed: seed, RetryRatio: 0.2, RetryWindow: retrySimWindow, RetryAllowance: []int{0, 8, 62, 62}[random.IntN(4)]},
		perSec:  []float64{4, 30, 60, 150}[random.IntN(4)],
	}
	m.now = m.start.Add(-16 * time.Second)
	for i := range 3 + random.IntN(5) {
		m.gates = append(m.gates, &retryGate{name: fmt.Sprint("g", i), incarnation: 1, up: true, cutFrom: map[int]bool{}, runs: map[string]*retryRun{}})
	}
	for range 2 + random.IntN(7) {
		m.addEntry()
	}
	for _, g := range m.gates {
		m.every(retrySimReport, func() { m.report(g) })
	}
	m.every(500*time.Millisecond, m.confirm)
	return m
}

func (m *retrySim) after(d time.Duration, run func()) {
	m.order++
	heap.Push(&m.due, retryEvent{m.now.Add(d), m.order, run})
}

func (m *retrySim) every(d time.Duration, run func()) {
	m.after(d, func() {
		run()
		m.every(d, run)
	})
}

func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)+1))
}

// between draws a time that differs with what the entries do.
func (m *retrySim) between(low, high time.Duration) time.Duration {
	return between(m.random, low, high)
}

func (m *retrySim) runUntil(end time.Time) {
	for len(m.due) > 0 && !m.due[0].at.After(end) {
		next := heap.Pop(&m.due).(retryEvent)
		m.now = next.at
		next.run()
	}
	m.now = end
}

func (m *retrySim) addEntry() {
	e := &retryEntry{number: len(m.entries), weight: 0.1 + m.faults.Float64()}
	m.entries = append(m.entries, e)
	m.startEntry(e)
	m.every(retrySimTick, func() {
		if e.up && !e.frozen {
			m.give(e, Tick{})
		}
	})
}

func (m *retrySim) startEntry(e *retryEntry) {
	s, err := New(m.options)
	require.NoError(m.t, err)
	e.life++
	e.s, e.up, e.held, e.silent = s, true, nil, m.now
	m.give(e, Tick{})
	life := e.life
	m.after(m.between(20*time.Millisecond, 400*time.Millisecond), func() { m.register(e, life) })
}

// register lists a process in the directory, links it to all gates and tells it of the others.
func (m *retrySim) register(e *retryEntry, life uint64) {
	if !e.up || e.life != life {
		return
	}
	if !m.control || e.cut || e.frozen {
		m.after(200*time.Millisecond, func() { m.register(e, life) })
		return
	}
	m.listed[e.number] = life
	m.pushDirectory()
	m.give(e, ControlContact{ConfirmedAt: m.now})
	for _, g := range m.gates {
		if g.up && !g.cutFrom[e.number] {
			m.linkUp(e, g)
		}
	}
}

func (m *retrySim) pushDirectory() {
	var records []*wire.AgentRecord
	for _, g := range m.gates {
		records = append(records, &wire.AgentRecord{Agent: agentOf(g.name), Incarnation: g.incarnation, Servers: []*wire.ServerRecord{
			{Server: g.name, Kind: kindModel, Address: g.name, Models: []string{testModel}, Condition: wire.ServerCondition_SERVER_CONDITION_READY},
		}})
	}
	for _, e := range m.entries {
		if e.up && !e.cut && m.listed[e.number] == e.life {
			m.give(e, Directory{Agents: records, Entries: len(m.listed), First: e.life == 1})
		}
	}
}

// confirm answers the polls of all listed entries, and removes those that are silent.
func (m *retrySim) confirm() {
	if !m.control {
		return
	}
	changed := false
	for _, e := range m.entries {
		inTouch := e.up && !e.cut && !e.frozen
		switch {
		case inTouch && m.listed[e.number] == e.life:
			e.silent = m.now
			m.give(e, ControlContact{ConfirmedAt: m.now})
		case inTouch && m.listed[e.number] == 0 && m.now.Sub(e.silent) > retrySimRemoval:
			m.startEntry(e) // it was ended meanwhile, and goes on as a new incarnation
		case m.listed[e.number] != 0 && m.now.Sub(e.silent) > retrySimRemoval:
			delete(m.listed, e.number)
			changed = true
		}
	}
	if changed {
		m.pushDirectory()
	}
}

// give passes an event to an entry and carries out its actions. A frozen entry gets it when it wakes.
func (m *retrySim) give(e *retryEntry, event Event) {
	if !e.up {
		return
	}
	if e.frozen {
		e.held = append(e.held, event)
		return
	}
	for _, action := range slices.Clone(e.s.Step(m.now, event)) {
		switch a := action.(type) {
		case Send:
			g := m.gates[slices.IndexFunc(m.gates, func(g *retryGate) bool { return agentOf(g.name) == a.Agent })]
			life, incarnation := e.life, a.Incarnation
			m.after(time.Millisecond, func() { m.gateReceives(g, incarnation, e, life, a.Message) })
		case Answer:
			m.answered++
		case Count:
			if a.Counter == RetriesRefused {
				m.refused++
				if m.bearable.Bears(m.options.retryLimits(), m.now) {
					m.bearable.Repeated(m.now)
				}
			}
		}
	}
}

func (m *retrySim) linkUp(e *retryEntry, g *retryGate) {
	if !e.up || !g.up || g.cutFrom[e.number] {
		return
	}
	m.give(e, AgentUp{Hello: &wire.AgentHello{Agent: agentOf(g.name), Incarnation: g.incarnation}})
	m.reportTo(g, e)
	for _, id := range slices.Sorted(maps.Keys(g.runs)) {
		if run := g.runs[id]; run.entry == uint64(e.number) && run.life == e.life && run.over != nil {
			m.reply(g, run, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: run.over}})
		}
	}
}

func (m *retrySim) report(g *retryGate) {
	for _, e := range m.entries {
		m.reportTo(g, e)
	}
}

func (m *retrySim) reportTo(g *retryGate, e *retryEntry) {
	if !g.up || g.cutFrom[e.number] || !e.up {
		return
	}
	room := readyRoom(g.name, kindModel, testModel, 20)
	room.PrefillTokensPerS = 90_000
	m.give(e, MessageReceived{
		Agent: agentOf(g.name), Incarnation: g.incarnation, Message: &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}},
	})
}

// reply sends a message of a gate to the process that began the run. It is lost if the link is.
func (m *retrySim) reply(g *retryGate, run *retryRun, message *wire.AgentMessage) {
	incarnation := g.incarnation
	m.after(time.Millisecond, func() {
		e := m.entries[run.entry]
		if g.up && g.incarnation == incarnation && !g.cutFrom[e.number] && e.life == run.life {
			m.give(e, MessageReceived{Agent: agentOf(g.name), Incarnation: g.incarnation, Message: message})
		}
	})
}

func (m *retrySim) gateReceives(g *retryGate, incarnation uint64, e *retryEntry, life uint64, message *wire.EntryMessage) {
	if !g.up || g.incarnation != incarnation || g.cutFrom[e.number] || e.life != life {
		return
	}
	switch k := message.GetKind().(type) {
	case *wire.EntryMessage_Dispatch:
		run := &retryRun{entry: uint64(e.number), life: life, id: k.Dispatch.GetAttempt()}
		g.runs[runKey(run.id, e, life)] = run
		m.reply(g, run, &wire.AgentMessage{Kind: &wire.AgentMessage_Started{Started: &wire.Started{Attempt: run.id, Server: g.name}}})
		m.after(m.between(time.Millisecond, 20*time.Millisecond), func() { m.call(g, incarnation, run) })
	case *wire.EntryMessage_Cancel:
		id := k.Cancel.GetAttempt()
		run := g.runs[runKey(id, e, life)]
		if run == nil {
			run = &retryRun{entry: uint64(e.number), life: life, id: id}
			m.end(g, run, &wire.Over{Proof: wire.Proof_PROOF_NEVER_STARTED})
			g.runs[runKey(id, e, life)] = run
			return
		}
		if run.over == nil {
			m.end(g, run, &wire.Over{Proof: wire.Proof_PROOF_CANCELLED, Began: true})
			return
		}
		m.reply(g, run, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: run.over}})
	}
}

func runKey(id *wire.AttemptID, e *retryEntry, life uint64) string {
	return fmt.Sprint(id.GetRequest(), "/", id.GetNumber(), "/", e.number, "/", life)
}

func (m *retrySim) end(g *retryGate, run *retryRun, over *wire.Over) {
	if run.over != nil {
		return
	}
	over.Attempt, over.Server = run.id, g.name
	run.over = over
	m.reply(g, run, &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: over}})
}

// call sends a run to the gate's server. An arrival counts whatever becomes of the gate and the entry afterwards.
func (m *retrySim) call(g *retryGate, incarnation uint64, run *retryRun) {
	if !g.up || g.incarnation != incarnation || run.over != nil {
		return
	}
	if g.server == serverDown {
		m.end(g, run, &wire.Over{Proof: wire.Proof_PROOF_NEVER_STARTED, Unsent: true})
		return
	}
	m.audit.Arrived(m.now, run.id.GetRequest())
	m.bearable.Arrived(m.now, run.id.GetRequest())
	after := m.between(5*time.Millisecond, 300*time.Millisecond)
	finish := func(over *wire.Over) {
		m.after(after, func() {
			if g.up && g.incarnation == incarnation {
				m.end(g, run, over)
			}
		})
	}
	switch g.server {
	case serverSound:
		finish(&wire.Over{Proof: wire.Proof_PROOF_COMPLETED, Answer: answerEndOf(0)})
	case serverFails:
		finish(&wire.Over{Proof: wire.Proof_PROOF_FAILED})
	case serverRejects, serverReplaced:
		finish(&wire.Over{Proof: wire.Proof_PROOF_NEVER_STARTED})
	case serverResets:
		finish(&wire.Over{Proof: wire.Proof_PROOF_CANCELLED})
	}
}

func (m *retrySim) killGate(g *retryGate, down time.Duration) {
	if !g.up {
		return
	}
	g.up, g.runs = false, map[string]*retryRun{}
	for _, e := range m.entries {
		m.give(e, AgentDown{Agent: agentOf(g.name), Incarnation: g.incarnation})
	}
	m.after(down, func() {
		g.up = true
		g.incarnation++
		for _, e := range m.entries {
			m.linkUp(e, g)
		}
	})
}

func (m *retrySim) cutLink(g *retryGate, e *retryEntry, length time.Duration) {
	if g.cutFrom[e.number] {
		return
	}
	g.cutFrom[e.number] = true
	m.after(m.between(0, time.Second), func() { m.give(e, AgentDown{Agent: agentOf(g.name), Incarnation: g.incarnation}) })
	m.after(length+time.Second, func() {
		delete(g.cutFrom, e.number)
		m.linkUp(e, g)
	})
}

func (m *retrySim) killEntry(e *retryEntry, down time.Duration) {
	if !e.up {
		return
	}
	e.up, e.frozen = false, false
	life := e.life
	m.after(down, func() {
		if !e.up && e.life == life {
			m.startEntry(e)
		}
	})
}

func (m *retrySim) freezeEntry(e *retryEntry, length time.Duration) {
	if e.frozen || !e.up {
		return
	}
	e.frozen = true
	life := e.life
	m.after(length, func() {
		if e.life != life || !e.frozen {
			return
		}
		e.frozen = false
		held := e.held
		e.held = nil
		for _, event := range held {
			m.give(e, event)
		}
	})
}

// request sends a request of a caller. A process that is down doesn't get it.
func (m *retrySim) request() {
	m.sequence++
	e := m.pickEntry()
	m.audit.Sent(m.now)
	m.bearable.Sent(m.now)
	m.give(e, Arrive{Request: &Request{
		ID: fmt.Sprint("r", m.sequence), Organisation: "org", Target: testModel, Method: "POST", Path: "/v1/completions",
		Class: &wire.Class{Name: "c", Tier: 2, DeadlineMs: 5000, Kind: kindModel, Repeatable: true},
		Body:  fmt.Append(nil, m.sequence), BodyDigest: uint64(m.sequence), PromptTokens: 100, OutputTokens: 20, Arrived: m.now,
		Deadline: m.now.Add(between(m.traffic, time.Second, 6*time.Second)), MaxAttempts: 2 + m.traffic.IntN(2),
	}})
}

func (m *retrySim) pickEntry() *retryEntry {
	total := 0.0
	for _, e := range m.entries {
		total += e.weight
	}
	at := m.traffic.Float64() * total
	for _, e := range m.entries {
		if at -= e.weight; at < 0 {
			return e
		}
	}
	return m.entries[0]
}

func (m *retrySim) requests() {
	m.request()
	m.after(time.Duration(m.traffic.ExpFloat64()/m.perSec*float64(time.Second)), m.requests)
}

// drawFaults schedules faults that overlap and come in series.
func (m *retrySim) drawFaults() {
	at := func(run func()) { m.after(between(m.faults, 2*time.Second, 26*time.Second), run) }
	m.after(between(m.faults, time.Second, 5*time.Second), func() {
		mode := retryServer(1 + m.faults.IntN(int(serverModes)-1))
		for _, g := range m.gates {
			if m.faults.IntN(4) > 0 {
				g.server = mode
			}
		}
	})
	kinds := []func(){
		func() { // a series of kills of entries
			first, gap, share := between(m.faults, 2*time.Second, 8*time.Second), between(m.faults, 1500*time.Millisecond, 4*time.Second), m.faults.Float64()
			for i := range 2 + m.faults.IntN(5) {
				m.after(first+time.Duration(i)*gap, func() {
					for _, e := range m.entries {
						if m.faults.Float64() < share {
							m.killEntry(e, between(m.faults, 200*time.Millisecond, 800*time.Millisecond))
						}
					}
				})
			}
		},
		func() { // kills of agents
			for range 1 + m.faults.IntN(8) {
				at(func() {
					m.killGate(m.gates[m.faults.IntN(len(m.gates))], between(m.faults, 100*time.Millisecond, 2*time.Second))
				})
			}
		},
		func() { // cuts between entries and agents
			for range 1 + m.faults.IntN(8) {
				at(func() {
					m.cutLink(m.gates[m.faults.IntN(len(m.gates))], m.entries[m.faults.IntN(len(m.entries))], between(m.faults, 50*time.Millisecond, 5*time.Second))
				})
			}
		},
		func() { // cuts between entries and control
			for range 1 + m.faults.IntN(4) {
				at(func() {
					e := m.entries[m.faults.IntN(len(m.entries))]
					e.cut = true
					m.after(between(m.faults, time.Second, 15*time.Second), func() { e.cut = false })
				})
			}
		},
		func() { // control without a leader
			at(func() {
				m.control = false
				m.after(between(m.faults, time.Second, 12*time.Second), func() { m.control = true })
			})
		},
		func() { // frozen entries
			for range 1 + m.faults.IntN(4) {
				at(func() {
					m.freezeEntry(m.entries[m.faults.IntN(len(m.entries))], between(m.faults, time.Second, 5*time.Second))
				})
			}
		},
		func() { // entries that join, and one that leaves for good
			for range 1 + m.faults.IntN(2) {
				at(m.addEntry)
			}
			at(func() { m.killEntry(m.entries[m.faults.IntN(len(m.entries))], time.Hour) })
		},
		func() { // traffic that changes and moves
			at(func() { m.perSec *= 0.3 + 3*m.faults.Float64() })
			at(func() {
				for _, e := range m.entries {
					e.weight = 0.02 + m.faults.Float64()*m.faults.Float64()
				}
			})
		},
	}
	for _, i := range m.faults.Perm(len(kinds))[:1+m.faults.IntN(4)] {
		kinds[i]()
	}
	for range 2 + m.faults.IntN(8) { // servers that change
		at(func() { m.gates[m.faults.IntN(len(m.gates))].server = retryServer(m.faults.IntN(int(serverModes))) })
	}
}

func runRetrySim(t *testing.T, seed uint64) *retrySim {
	m := newRetrySim(t, seed)
	m.runUntil(m.start)
	m.requests()
	m.drawFaults()
	m.runUntil(m.start.Add(retrySimLength))
	return m
}

// Guards against repeats beyond the deployment's budget: entries are killed in series, agents and links are lost with their
// reports, control is away, servers fail, reject, reset and hang, and entries join, leave, freeze and are cut off. What arrived at
// the servers is checked in all windows. CARAWAYPITCH_RETRY_SCHEDULES and CARAWAYPITCH_RETRY_FIRST choose the seeds.
func TestRetriesOverDrawnSchedules(t *testing.T) {
	schedules, first := 30, 1
	for name, value := range map[string]*int{"CARAWAYPITCH_RETRY_SCHEDULES": &schedules, "CARAWAYPITCH_RETRY_FIRST": &first} {
		if text := os.Getenv(name); text != "" {
			var err error
			*value, err = strconv.Atoi(text)
			require.NoError(t, err)
		}
	}
	var requests, repeats, refused, bearable, answered int
	var broken []string
	for seed := first; seed < first+schedules; seed++ {
		m := runRetrySim(t, uint64(seed))
		if worst, found := m.audit.Worst(m.options.retryLimits()); found && worst.Excess > 0 {
			broken = append(broken, fmt.Sprintf("seed %d: from %v, %.1f too many", seed, worst.From.Sub(m.start), worst.Excess))
		}
		requests += m.audit.Requests()
		repeats += m.audit.Repeats()
		refused += m.refused
		bearable += m.bearable.Repeats() - m.audit.Repeats()
		answered += m.answered
	}
	t.Logf("%d schedules: %d requests, %d answered, %d repeats arrived, %d refused by the budget, %d of them bearable",
		schedules, requests, answered, repeats, refused, bearable)
	require.Empty(t, broken, "%d of %d schedules", len(broken), schedules)
}
