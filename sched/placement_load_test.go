package sched_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// The simulation of this file runs the product's own entries (sched) and gates against model servers of two speeds, in
// virtual time and without a network. It has the figures of deployment T of docs/hard-load.md.

// placementClass holds the figures of a class. Lengths are log-normal with the given mean and deviation of the logarithm.
type placementClass struct {
	name          string
	rate          float64 // requests per second at placementAllServers
	prompt        float64
	promptSigma   float64
	promptMost    float64
	events        float64
	eventsSigma   float64
	eventsMost    float64
	objective     time.Duration
	limit         time.Duration
	maxAttempts   int
	precedence    uint32
	wave, inBurst float64 // multiples of the usual rate
}

var placementClasses = []*placementClass{
	{
		name: "first", rate: 100, prompt: 2890, promptSigma: 1, promptMost: 39_600, events: 7, eventsSigma: 0.5, eventsMost: 60,
		objective: 800 * time.Millisecond, limit: 5 * time.Second, maxAttempts: 1, precedence: 1, wave: 1, inBurst: 2,
	},
	{
		name: "second", rate: 224, prompt: 1800, promptSigma: 0.5, promptMost: 10_000, events: 3, eventsSigma: 0.5, eventsMost: 30,
		objective: 600 * time.Millisecond, limit: 3 * time.Second, precedence: 2, wave: 1, inBurst: 1,
	},
	{
		name: "third", rate: 123, prompt: 543, promptSigma: 0.5, promptMost: 4000, events: 40, eventsSigma: 1.5, eventsMost: 400,
		objective: 500 * time.Millisecond, limit: 12 * time.Second, maxAttempts: 1, precedence: 3, wave: 2.5, inBurst: 1,
	},
}

const (
	placementAllServers  = 53
	placementServers     = 12
	placementSlots       = 5
	placementEntries     = 8
	placementMemory      = 252_151
	placementEventTokens = 7
	placementPromptPerMs = 44.2
	placementStep        = 3400 * time.Microsecond // for one token of each run at speed 1
	placementStepGrowth  = 0.1                     // longer by this share for each further run
	placementPause       = 500 * time.Millisecond
	placementAbandon     = 4 * time.Second
	placementHandleTTL   = 5 * time.Second
	placementSuspend     = 4 * time.Millisecond
	placementDelay       = time.Millisecond // of a message
	placementResolution  = time.Millisecond
	placementModel       = "model"
	placementHinted      = 0.7 // share of the callers who state the length that they expect
	placementHintSigma   = 0.5 // deviation of the logarithm of actual over hint
	placementWarm        = 8 * time.Second
	placementWave        = 10 * time.Second
	placementBurst       = 4 * time.Second
)

// placementLoad describes a load.
type placementLoad struct {
	seed            uint64
	scale           float64 // of all rates
	slowSpeed, fast float64
	byLength        bool
	fewServersFirst bool
}

type placementTask struct {
	at       time.Time
	sequence int
	do       func()
}

type placementTasks []placementTask

func (h placementTasks) Len() int { return len(h) }
func (h placementTasks) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h placementTasks) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *placementTasks) Push(x any) { *h = append(*h, x.(placementTask)) }

// Pop implements heap.Interface.
func (h *placementTasks) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// placementRun is a run at a model server.
type placementRun struct {
	id     *wire.AttemptID
	prompt float64 // tokens left to compute
	tokens float64
	sent   int // events
	total  int // events
}

// placementServer is a model server, which computes prompts in order of arrival and generates fewer tokens meanwhile, with
// its gate.
type placementServer struct {
	load   *placementSimulation
	name   string
	speed  float64
	gate   *gate.Gate
	active []*placementRun
	queued []*placementRun
	busy   float64 // slot time while the load is measured

	stopped     map[string]*placementRun // suspended runs by handle
	suspensions int
}

// placementRequest is a request of a caller.
type placementRequest struct {
	id        string
	class     *placementClass
	entry     int
	arrived   time.Time
	events    int // of the whole answer
	server    *placementServer
	received  int
	lastEvent time.Time
	late      bool
	end       string
}

// Ends of a request.
const (
	placementInTime  = "in_time"
	placementLate    = "late"
	placementRefused = "refused"
	placementCut     = "cut" // ended at the deadline while it ran
	placementLeft    = "left"
	placementFailed  = "failed"
)

type placementSimulation struct {
	t        *testing.T
	load     placementLoad
	now      time.Time
	start    time.Time
	random   *rand.Rand
	tasks    placementTasks
	sequence int
	servers  []*placementServer
	byName   map[string]*placementServer
	entries  []*sched.Scheduler
	nextTick []time.Time
	requests []*placementRequest
	byID     map[string]*placementRequest
	live     []*placementRequest
}

func newPlacementSimulation(t *testing.T, l placementLoad) *placementSimulation {
	start := time.Unix(1_700_000_000, 0)
	m := &placementSimulation{
		t: t, load: l, now: start, start: start, random: rand.New(rand.NewPCG(l.seed, 21)), byName: map[string]*placementServer{},
		byID: map[string]*placementRequest{}, nextTick: make([]time.Time, placementEntries),
	}
	var records []*wire.AgentRecord
	for i := range placementServers {
		v := &placementServer{load: m, name: fmt.Sprintf("s%02d", i), speed: l.fast, stopped: map[string]*placementRun{}}
		if i%3 == 0 {
			v.speed = l.slowSpeed
		}
		v.gate = gate.New(gate.Config{NoPredecessor: true, Suspension: gate.SuspensionConfig{Enabled: true, MaxPerRun: 3}, FewServersFirst: l.fewServersFirst})
		m.servers = append(m.servers, v)
		m.byName[v.name] = v
		records = append(records, &wire.AgentRecord{Agent: "agent-" + v.name, Incarnation: 1, Servers: []*wire.ServerRecord{v.record()}})
	}
	for i := range placementEntries {
		s, err := sched.New(sched.Options{
			Entry: entryName(i), Seed: l.seed + uint64(i), RetryAdvice: true, LongTermShare: true, ByLength: l.byLength,
		})
		require.NoError(t, err)
		m.entries = append(m.entries, s)
		m.entryStep(i, sched.Directory{Agents: records, Entries: placementEntries})
		for _, v := range m.servers {
			m.entryStep(i, sched.AgentUp{Hello: &wire.AgentHello{Agent: "agent-" + v.name, Incarnation: 1}})
		}
	}
	for _, v := range m.servers {
		v.step(gate.Announced{Server: v.record()})
		v.step(gate.EngineListed{})
		for i := range placementEntries {
			v.step(gate.EntryConnected{Entry: gate.EntryID{Name: entryName(i), Incarnation: 1}})
		}
		v.step(gate.EngineLoad{Load: engine.Load{KVCapacity: placementMemory}})
	}
	return m
}

func entryName(i int) string { return fmt.Sprint("entry-", i) }

func (v *placementServer) record() *wire.ServerRecord {
	return &wire.ServerRecord{
		Server: v.name, Kind: "model", Address: v.name, Models: []string{placementModel}, Slots: placementSlots,
		Capabilities: &wire.Capabilities{Fencing: "refuses", OnDisconnect: "continues"},
		Condition:    wire.ServerCondition_SERVER_CONDITION_READY,
		Suspends:     true, SuspendedMs: uint32(placementHandleTTL.Milliseconds()),
	}
}

func (m *placementSimulation) after(d time.Duration, do func()) {
	m.sequence++
	heap.Push(&m.tasks, placementTask{m.now.Add(d), m.sequence, do})
}

// arrive draws the arrivals of a class in an interval.
func (m *placementSimulation) arrive(c *placementClass, from, to time.Duration, factor float64) {
	rate := c.rate * factor * m.load.scale * placementServers / placementAllServers
	for at := from; ; {
		at += time.Duration(m.random.ExpFloat64() / rate * float64(time.Second))
		if at >= to {
			return
		}
		r := m.draw(c)
		m.after(m.start.Add(at).Sub(m.now), func() { m.submit(r) })
	}
}

// logNormal draws a value with the given mean.
func (m *placementSimulation) logNormal(mean, sigma float64) float64 {
	return mean * math.Exp(sigma*m.random.NormFloat64()-sigma*sigma/2)
}

// placementDraw is a request before it is submitted.
type placementDraw struct {
	request      *placementRequest
	prompt       uint32
	hint, most   uint32
	organisation string
}

func (m *placementSimulation) draw(c *placementClass) placementDraw {
	events := int(min(max(m.logNormal(c.events, c.eventsSigma), 1), c.eventsMost))
	tokens := float64(events * placementEventTokens)
	d := placementDraw{
		request: &placementRequest{class: c, events: events, entry: m.random.IntN(placementEntries)},
		prompt:  uint32(min(max(m.logNormal(c.prompt, c.promptSigma), 16), c.promptMost)),
		// Organisations send unevenly: the n-th sends an n-th of what the first does.
		organisation: fmt.Sprint("org-", int(math.Pow(12, m.random.Float64()))),
	}
	hint := tokens * math.Exp(-placementHintSigma*m.random.NormFloat64())
	d.most = uint32(max(tokens, hint) * (1 + m.random.ExpFloat64()))
	if m.random.Float64() < placementHinted {
		d.hint = uint32(max(hint, 1))
	}
	return d
}

func (m *placementSimulation) submit(d placementDraw) {
	r := d.request
	r.id = fmt.Sprintf("%s-%d", r.class.name, len(m.requests))
	r.arrived, r.lastEvent = m.now, m.now
	m.requests = append(m.requests, r)
	m.byID[r.id] = r
	m.live = append(m.live, r)
	m.entryStep(r.entry, sched.Arrive{Request: &sched.Request{
		ID: r.id, Organisation: d.organisation, Target: placementModel, Method: "POST", Path: "/v1/completions", Body: []byte("{}"),
		Class: &wire.Class{
			Name: r.class.name, Tier: 2, DeadlineMs: uint32(r.class.limit.Milliseconds()), Kind: "model", Repeatable: true,
			Precedence: r.class.precedence,
		},
		PromptTokens: d.prompt, MaxTokens: d.most, OutputTokens: d.hint, Stream: true, Arrived: m.now,
		Deadline: m.now.Add(r.class.limit), Objective: m.now.Add(r.class.objective), Pause: placementPause, Abandon: placementAbandon,
		MaxAttempts: r.class.maxAttempts,
	}})
}

func (m *placementSimulation) entryStep(i int, e sched.Event) {
	actions := slices.Clone(m.entries[i].Step(m.now, e))
	m.nextTick[i] = m.now.Add(m.entries[i].NextTick())
	for _, a := range actions {
		switch a := a.(type) {
		case sched.Send:
			v := m.byName[a.Agent[len("agent-"):]]
			m.after(placementDelay, func() {
				v.step(gate.MessageReceived{Entry: gate.EntryID{Name: entryName(i), Incarnation: 1}, Message: a.Message})
			})
		case sched.Deliver:
			m.delivered(m.byID[a.Request], len(a.Events))
		case sched.Answer:
			r := m.byID[a.Request]
			require.Equal(m.t, r.events, r.received, "events of %s", r.id)
			r.close(placementInTime)
		case sched.Fail:
			m.failed(m.byID[a.Request])
		}
	}
}

func (m *placementSimulation) delivered(r *placementRequest, events int) {
	allowed := placementPause
	if r.received == 0 {
		allowed = r.class.objective
	}
	r.late = r.late || m.now.Sub(r.lastEvent) > allowed
	r.received += events
	r.lastEvent = m.now
}

func (m *placementSimulation) failed(r *placementRequest) {
	switch {
	case r.server == nil:
		r.close(placementRefused)
	case m.now.Sub(r.arrived) >= r.class.limit:
		r.close(placementCut)
	default:
		r.close(placementFailed)
	}
}

func (r *placementRequest) close(end string) {
	if r.end != "" {
		return
	}
	if end == placementInTime && r.late {
		end = placementLate
	}
	r.end = end
}

func (v *placementServer) step(e gate.Event) {
	for _, action := range slices.Clone(v.gate.Step(v.load.now, e)) {
		switch a := action.(type) {
		case gate.Send:
			v.sendTo(a.Entry.Name, a.Message)
		case gate.Broadcast:
			for i := range placementEntries {
				v.sendTo(entryName(i), a.Message)
			}
		case gate.SuspendEngine:
			v.suspend(a)
		case gate.DiscardSuspended:
			delete(v.stopped, a.Suspension.Handle)
		case gate.StartEngine:
			if a.Resume != nil {
				v.resume(a)
				continue
			}
			r := v.load.byID[a.Dispatch.GetAttempt().GetRequest()]
			r.server = v
			v.queued = append(v.queued, &placementRun{
				id: a.Dispatch.GetAttempt(), prompt: float64(a.Dispatch.GetWork().GetPromptTokens()), total: r.events,
			})
		case gate.CancelEngine:
			v.load.after(placementDelay, func() { v.cancel(a) })
		}
	}
}

func (v *placementServer) sendTo(entry string, msg *wire.AgentMessage) {
	var i int
	_, err := fmt.Sscanf(entry, "entry-%d", &i)
	require.NoError(v.load.t, err)
	v.load.after(placementDelay, func() {
		v.load.entryStep(i, sched.MessageReceived{Agent: "agent-" + v.name, Incarnation: 1, Message: msg})
	})
}

func (v *placementServer) cancel(a gate.CancelEngine) {
	is := func(run *placementRun) bool {
		return run.id.GetRequest() == a.Attempt.GetRequest() && run.id.GetNumber() == a.Attempt.GetNumber()
	}
	if slices.ContainsFunc(v.active, is) || slices.ContainsFunc(v.queued, is) {
		v.active, v.queued = slices.DeleteFunc(v.active, is), slices.DeleteFunc(v.queued, is)
		v.step(gate.EngineEnded{Attempt: a.Attempt, Outcome: engine.Outcome{End: engine.EndCancelled}})
	}
	v.step(gate.EngineCancelled{Attempt: a.Attempt, Try: a.Try, Result: engine.CancelConfirmed})
}

// suspend stops a run if one of the targets has a free slot for the copy.
func (v *placementServer) suspend(a gate.SuspendEngine) {
	room := slices.ContainsFunc(a.Targets, func(target string) bool {
		return target != v.name && len(v.load.byName[target].active) < placementSlots
	})
	if !room {
		v.load.after(placementDelay, func() { v.step(gate.EngineSuspended{Attempt: a.Attempt, Try: a.Try, Err: engine.ErrNoRoom}) })
		return
	}
	v.load.after(placementSuspend, func() {
		at := slices.IndexFunc(v.active, func(run *placementRun) bool { return run.id.GetRequest() == a.Attempt.GetRequest() })
		if at < 0 {
			v.step(gate.EngineSuspended{Attempt: a.Attempt, Try: a.Try, Err: engine.ErrUnknownStream})
			return
		}
		run := v.active[at]
		v.active = slices.Delete(v.active, at, at+1)
		v.suspensions++
		held := engine.Suspension{Handle: fmt.Sprint(v.name, "-", v.suspensions), Events: run.sent}
		v.stopped[held.Handle] = run
		v.step(gate.EngineSuspended{Attempt: a.Attempt, Try: a.Try, Suspension: held})
		v.step(gate.EngineEnded{Attempt: a.Attempt, Outcome: engine.Outcome{End: engine.EndSuspended, Suspension: held}})
	})
}

// resume continues a suspended run before those that wait at the server.
func (v *placementServer) resume(a gate.StartEngine) {
	run := v.stopped[a.Resume.Handle]
	require.NotNil(v.load.t, run, "a run without memory was resumed")
	delete(v.stopped, a.Resume.Handle)
	v.queued = slices.Insert(v.queued, 0, run)
}

// compute advances the server by one step of the virtual time.
func (v *placementServer) compute() {
	for len(v.queued) > 0 && len(v.active) < placementSlots {
		v.active = append(v.active, v.queued[0])
		v.queued = v.queued[1:]
	}
	if v.load.measured(v.load.now) {
		v.busy += float64(len(v.active)+len(v.queued)) * placementResolution.Seconds()
	}
	all := placementPromptPerMs * v.speed
	budget := all
	for _, run := range v.active {
		used := min(run.prompt, budget)
		run.prompt -= used
		budget -= used
	}
	if budget <= 0 || len(v.active) == 0 {
		return
	}
	step := float64(placementStep) * (1 + placementStepGrowth*float64(len(v.active)-1)) / v.speed
	tokens := budget / all * float64(placementResolution) / step
	for _, run := range slices.Clone(v.active) {
		if run.prompt == 0 {
			v.generate(run, tokens)
		}
	}
}

// generate produces a part of a token. An event is sent at the first token and after each further seven.
func (v *placementServer) generate(run *placementRun, tokens float64) {
	run.tokens += tokens
	for run.sent < run.total && run.tokens >= float64(1+run.sent*placementEventTokens) {
		run.sent++
		v.step(gate.EngineProgress{Attempt: run.id, Events: [][]byte{[]byte("event")}, Tokens: []uint32{placementEventTokens}})
	}
	if run.sent == run.total {
		v.active = slices.DeleteFunc(v.active, func(other *placementRun) bool { return other == run })
		outcome := engine.Outcome{End: engine.EndCompleted, Status: 200, Tokens: run.total * placementEventTokens}
		v.step(gate.EngineEnded{Attempt: run.id, Outcome: outcome})
	}
}

// measured reports whether a time is in the wave or the burst.
func (m *placementSimulation) measured(at time.Time) bool {
	since := at.Sub(m.start)
	return since >= placementWarm && since < placementWarm+placementWave+placementBurst
}

func (m *placementSimulation) run() {
	for _, c := range placementClasses {
		m.arrive(c, 0, placementWarm, 1)
		m.arrive(c, placementWarm, placementWarm+placementWave, c.wave)
		m.arrive(c, placementWarm+placementWave, placementWarm+placementWave+placementBurst, c.inBurst)
	}
	end := m.start.Add(placementWarm + placementWave + placementBurst)
	for m.now.Before(end) || len(m.live) > 0 {
		m.now = m.now.Add(placementResolution)
		for len(m.tasks) > 0 && !m.tasks[0].at.After(m.now) {
			heap.Pop(&m.tasks).(placementTask).do()
		}
		for _, v := range m.servers {
			v.compute()
		}
		m.tick()
	}
}

func (m *placementSimulation) tick() {
	since := m.now.Sub(m.start)
	for _, v := range m.servers {
		if since%gate.TickInterval == 0 {
			v.step(gate.Tick{})
		}
		if since%(250*time.Millisecond) == 0 {
			v.step(gate.Announced{Server: v.record()})
			for i := range placementEntries {
				v.step(gate.MessageReceived{Entry: gate.EntryID{Name: entryName(i), Incarnation: 1}, Message: &wire.EntryMessage{
					Kind: &wire.EntryMessage_Heartbeat{Heartbeat: &wire.EntryHeartbeat{}},
				}})
			}
		}
	}
	for i := range m.entries {
		if !m.now.Before(m.nextTick[i]) {
			m.entryStep(i, sched.Tick{})
		}
	}
	if since%(10*time.Millisecond) == 0 {
		m.checkCallers()
	}
}

// checkCallers ends the calls of callers who have waited too long for an event.
func (m *placementSimulation) checkCallers() {
	for _, r := range m.live {
		if r.end == "" && m.now.Sub(r.lastEvent) >= placementAbandon {
			r.close(placementLeft)
			m.entryStep(r.entry, sched.CallerLeft{Request: r.id})
		}
	}
	m.live = slices.DeleteFunc(m.live, func(r *placementRequest) bool { return r.end != "" })
}

// placementResult counts how requests ended that arrived in the wave or the burst.
type placementResult struct {
	ends    map[string]map[string]int // by class and end
	cutSlow int                       // answers cut at the deadline at slow servers
	balance float64                   // sum over the loads of the slot time of the busiest server over the mean
	worst   float64                   // load by that
	evenly  int                       // loads with at most 1.15
	loads   int
}

func newPlacementResult() *placementResult {
	p := &placementResult{ends: map[string]map[string]int{}}
	for _, c := range placementClasses {
		p.ends[c.name] = map[string]int{}
	}
	return p
}

func (p *placementResult) add(m *placementSimulation) {
	for _, r := range m.requests {
		if !m.measured(r.arrived) {
			continue
		}
		p.ends[r.class.name][r.end]++
		p.ends[r.class.name]["all"]++
		if r.end == placementCut && r.server.speed < 1 {
			p.cutSlow++
		}
	}
	most, sum := 0.0, 0.0
	for _, v := range m.servers {
		most, sum = max(most, v.busy), sum+v.busy
	}
	ratio := most / (sum / float64(len(m.servers)))
	p.balance += ratio
	p.worst = max(p.worst, ratio)
	if ratio <= 1.15 {
		p.evenly++
	}
	p.loads++
}

func (p *placementResult) share(class, end string) float64 {
	return float64(p.ends[class][end]) / float64(max(p.ends[class]["all"], 1))
}

func (p *placementResult) cut() int {
	n := 0
	for _, ends := range p.ends {
		n += ends[placementCut]
	}
	return n
}

func (p *placementResult) String() string {
	text := ""
	for _, c := range placementClasses {
		text += fmt.Sprintf("%s: %d", c.name, p.ends[c.name]["all"])
		for _, end := range []string{placementInTime, placementLate, placementRefused, placementCut, placementLeft, placementFailed} {
			text += fmt.Sprintf(", %s %.4f", end, p.share(c.name, end))
		}
		text += "; "
	}
	return text + fmt.Sprintf("cut %d, of them %d at slow servers; busiest over mean %.3f, worst %.3f, at most 1.15 in %d of %d loads", p.cut(), p.cutSlow,
		p.balance/float64(max(p.loads, 1)), p.worst, p.evenly, p.loads)
}

// drawPlacementLoad draws a load of T: all rates by a common factor.
func drawPlacementLoad(seed uint64) placementLoad {
	random := rand.New(rand.NewPCG(seed, 22))
	return placementLoad{seed: seed, scale: 0.7 + 0.7*random.Float64(), slowSpeed: 0.6, fast: 1.7}
}

// placementLoads is the number of loads that TestPlacementByLength draws in each run of the tests. 200 take two minutes on
// three cores; set placementLoadsVariable for them.
const (
	placementLoads         = 3
	placementLoadsVariable = "CARAWAYPITCH_PLACEMENT_LOADS"
)

// placementTolerance is by how much less often a class may be served in time with the settings than without.
const placementTolerance = 0.02

// Guards against a placement by length under which answers run until their deadline as often as without it, or that makes up
// for that at the cost of a class. The load is that of T with servers of speeds 0.6 and 1.7, a wave of the third class at
// 2.5 times its usual rate for 10 s, and then a burst of the first class at twice its usual rate for 4 s.
func TestPlacementByLength(t *testing.T) {
	t.Parallel()
	loads, err := strconv.Atoi(os.Getenv(placementLoadsVariable))
	if err != nil {
		loads = placementLoads
	}
	off, on := newPlacementResult(), newPlacementResult()
	var mu sync.Mutex
	t.Run("loads", func(t *testing.T) {
		for seed := range uint64(loads) {
			for _, result := range []*placementResult{off, on} {
				t.Run(fmt.Sprintf("%d,%v", seed, result == on), func(t *testing.T) {
					t.Parallel()
					l := drawPlacementLoad(seed)
					l.byLength, l.fewServersFirst = result == on, result == on
					m := newPlacementSimulation(t, l)
					m.run()
					mu.Lock()
					defer mu.Unlock()
					result.add(m)
				})
			}
		}
	})
	t.Logf("off: %v", off)
	t.Logf("on: %v", on)
	for _, c := range placementClasses {
		require.GreaterOrEqual(t, on.share(c.name, placementInTime), off.share(c.name, placementInTime)-placementTolerance, c.name)
	}
	require.Less(t, 2*on.cut(), off.cut())
}
