package gate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/wire"
)

// loadClass holds the figures of a class in column K of docs/hard-load.md.
type loadClass struct {
	name       string
	precedence uint32
	rate       float64 // requests per second at 46 servers
	prompt     uint32
	events     int
	objective  time.Duration
	limit      time.Duration
	onTime     float64 // value of an answer on time
	late       float64
}

var loadClasses = []loadClass{
	{"first", 2, 263, 2890, 9, 500 * time.Millisecond, 5 * time.Second, 5.3, 0.53},
	{"second", 3, 178, 1800, 4, 400 * time.Millisecond, 3 * time.Second, 1.7, 0.17},
	{"third", 4, 154, 543, 47, 400 * time.Millisecond, 15 * time.Second, 0.52, 0.052},
}

const (
	loadAllServers    = 46
	loadSlots         = 8
	loadMemory        = 351_894
	loadTokensOfEvent = 6
	loadPromptPerMs   = 91.8
	loadStep          = 3900 * time.Microsecond
	loadPause         = 400 * time.Millisecond
	loadAbandon       = 3200 * time.Millisecond
	loadDelay         = time.Millisecond // of a message
	loadSuspend       = 4 * time.Millisecond
	loadRefuse        = time.Millisecond
	loadResolution    = time.Millisecond
	loadReservations  = 3
	loadHandleTTL     = 5 * time.Second
)

// loadTask is something that happens at a time.
type loadTask struct {
	at       time.Time
	sequence int
	do       func()
}

type loadTasks []loadTask

func (h loadTasks) Len() int { return len(h) }
func (h loadTasks) Less(i, j int) bool {
	return h[i].at.Before(h[j].at) || h[i].at.Equal(h[j].at) && h[i].sequence < h[j].sequence
}
func (h loadTasks) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *loadTasks) Push(x any) { *h = append(*h, x.(loadTask)) }

// Pop implements heap.Interface.
func (h *loadTasks) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// loadRun is a run at a model server.
type loadRun struct {
	id     *wire.AttemptID
	call   *wire.Dispatch
	prompt float64 // tokens left to compute
	tokens float64
	sent   int // events
	total  int // events
}

// loadServer is a model server, which computes prompts one after the other and generates no tokens meanwhile, with its
// gate.
type loadServer struct {
	load           *load
	name           string
	address        string
	gate           *Gate
	active, queued []*loadRun
	stopped        map[string]*loadRun
	handles        int
	free           int // as the entry knows it
	mostActive     int
	suspensions    int
	refused        int
}

// loadRequest is a request at its entry.
type loadRequest struct {
	id           string
	class        *loadClass
	number       uint64
	arrived      time.Time
	reservations []*loadServer
	server       *loadServer // of the dispatch, nil for none
	events       int
	lastEvent    time.Time
	onTime       bool
	end          string
}

// load is a number of gates with one entry and its callers, in virtual time.
type load struct {
	t        *testing.T
	now      time.Time
	start    time.Time
	tasks    loadTasks
	sequence int
	random   *rand.Rand
	servers  []*loadServer
	requests []*loadRequest
	byID     map[string]*loadRequest
}

// Ends of a request.
const (
	loadOnTime    = "on_time"
	loadLate      = "late"
	loadRefused   = "refused"
	loadAbandoned = "abandoned"
	loadFailed    = "failed"
)

func newLoad(t *testing.T, servers int, suspends bool, seed uint64) *load {
	l := &load{
		t: t, now: time.Unix(1000, 0), start: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 1)),
		byID: map[string]*loadRequest{},
	}
	for i := range servers {
		s := &loadServer{load: l, name: fmt.Sprint("engine-", i), address: fmt.Sprintf("10.0.0.%d:80", i), stopped: map[string]*loadRun{}}
		s.gate = New(Config{NoPredecessor: true, Suspension: SuspensionConfig{Enabled: suspends}})
		l.servers = append(l.servers, s)
		s.announce()
		s.step(EngineListed{})
		s.step(EntryConnected{Entry: entryA})
		s.step(EngineLoad{Load: engine.Load{KVCapacity: loadMemory}})
	}
	return l
}

func (l *load) after(d time.Duration, do func()) {
	l.sequence++
	heap.Push(&l.tasks, loadTask{l.now.Add(d), l.sequence, do})
}

// arrive draws the arrivals of a class in an interval, given in seconds.
func (l *load) arrive(class *loadClass, from, to, factor float64) {
	rate := class.rate * factor * float64(len(l.servers)) / loadAllServers
	for at := from; ; {
		at += l.random.ExpFloat64() / rate
		if at >= to {
			return
		}
		l.after(l.start.Add(seconds(at)).Sub(l.now), func() { l.newRequest(class) })
	}
}

func (l *load) runUntil(at float64) {
	for end := l.start.Add(seconds(at)); l.now.Before(end); {
		l.now = l.now.Add(loadResolution)
		for len(l.tasks) > 0 && !l.tasks[0].at.After(l.now) {
			heap.Pop(&l.tasks).(loadTask).do()
		}
		since := l.now.Sub(l.start)
		for _, s := range l.servers {
			s.compute()
			if since%TickInterval == 0 {
				s.step(Tick{})
			}
			if since%(500*time.Millisecond) == 0 {
				s.announce()
				s.step(MessageReceived{entryA, heartbeat()})
			}
		}
		l.checkCallers()
	}
}

func (s *loadServer) announce() {
	r := suspendingRecord(loadSlots)
	r.Server, r.SuspendedMs = s.name, uint32(loadHandleTTL/time.Millisecond)
	s.step(Announced{Server: r})
}

func (s *loadServer) step(e Event) {
	for _, action := range s.gate.Step(s.load.now, e) {
		switch a := action.(type) {
		case Send:
			s.load.after(loadDelay, func() { s.load.receive(s, a.Message) })
		case Broadcast:
			s.load.after(loadDelay, func() { s.free = int(a.Message.GetRoom().GetFree()) })
		case StartEngine:
			s.startRun(a)
		case SuspendEngine:
			s.suspendRun(a)
		case DiscardSuspended:
			delete(s.stopped, a.Suspension.Handle)
		case CancelEngine:
			s.load.after(loadDelay, func() { s.cancelRun(a) })
		case Count:
			require.NotEqual(s.load.t, ChartErrors, a.Counter, a.Label)
		}
	}
}

func (s *loadServer) startRun(a StartEngine) {
	if a.Resume != nil {
		run := s.stopped[a.Resume.Handle]
		require.NotNil(s.load.t, run, "resumed after the memory has expired")
		delete(s.stopped, a.Resume.Handle)
		s.queued = slices.Insert(s.queued, 0, run)
		return
	}
	total := 0
	for _, c := range loadClasses {
		if c.name == a.Dispatch.Work.Class {
			total = c.events
		}
	}
	s.queued = append(s.queued, &loadRun{
		id: a.Dispatch.Attempt, call: a.Dispatch, prompt: float64(a.Dispatch.Work.PromptTokens), total: total,
	})
}

func (s *loadServer) find(id *wire.AttemptID) *loadRun {
	for _, run := range slices.Concat(s.active, s.queued) {
		if sameAttempt(run.id, id) {
			return run
		}
	}
	return nil
}

func (s *loadServer) remove(run *loadRun) {
	is := func(other *loadRun) bool { return other == run }
	s.active = slices.DeleteFunc(s.active, is)
	s.queued = slices.DeleteFunc(s.queued, is)
}

// suspendRun stops a run if one of the targets has a free slot for the copy.
func (s *loadServer) suspendRun(a SuspendEngine) {
	room := slices.ContainsFunc(s.load.servers, func(other *loadServer) bool {
		return other != s && slices.Contains(a.Targets, other.address) && len(other.active) < loadSlots
	})
	if !room {
		s.refused++
		s.load.after(loadRefuse, func() {
			s.step(EngineSuspended{Attempt: a.Attempt, Try: a.Try, Err: engine.ErrNoRoom})
		})
		return
	}
	s.load.after(loadSuspend, func() {
		run := s.find(a.Attempt)
		if run == nil {
			s.step(EngineSuspended{Attempt: a.Attempt, Try: a.Try, Err: engine.ErrUnknownStream})
			return
		}
		s.remove(run)
		s.handles++
		s.suspensions++
		held := engine.Suspension{Handle: fmt.Sprint("h", s.handles), Events: run.sent}
		s.stopped[held.Handle] = run
		s.step(EngineSuspended{Attempt: a.Attempt, Try: a.Try, Suspension: held})
		s.step(EngineEnded{Attempt: a.Attempt, Outcome: engine.Outcome{End: engine.EndSuspended, Suspension: held}})
		s.load.after(loadHandleTTL, func() { delete(s.stopped, held.Handle) })
	})
}

func (s *loadServer) cancelRun(a CancelEngine) {
	run := s.find(a.Attempt)
	if run != nil {
		s.remove(run)
		s.step(EngineEnded{Attempt: a.Attempt, Outcome: engine.Outcome{End: engine.EndCancelled}})
	}
	s.step(EngineCancelled{Attempt: a.Attempt, Try: a.Try, Result: engine.CancelConfirmed})
}

// compute advances the server by one step of the virtual time.
func (s *loadServer) compute() {
	for len(s.queued) > 0 && len(s.active) < loadSlots {
		s.active = append(s.active, s.queued[0])
		s.queued = s.queued[1:]
	}
	s.mostActive = max(s.mostActive, len(s.active)+len(s.queued))
	budget := loadPromptPerMs
	for _, run := range s.active {
		used := min(run.prompt, budget)
		run.prompt -= used
		budget -= used
	}
	if budget <= 0 {
		return
	}
	share := budget / loadPromptPerMs
	for _, run := range slices.Clone(s.active) {
		if run.prompt == 0 {
			s.generate(run, share*float64(loadResolution)/float64(loadStep))
		}
	}
}

// generate produces a part of a token. An event is sent at the first token and after each further six.
func (s *loadServer) generate(run *loadRun, tokens float64) {
	run.tokens += tokens
	for run.sent < run.total && run.tokens >= float64(1+run.sent*loadTokensOfEvent) {
		run.sent++
		s.step(EngineProgress{Attempt: run.id, Events: [][]byte{[]byte("event")}, Tokens: []uint32{loadTokensOfEvent}})
	}
	if run.sent == run.total {
		s.remove(run)
		s.step(EngineEnded{Attempt: run.id, Outcome: engine.Outcome{End: engine.EndCompleted, Status: 200}})
	}
}

func (l *load) newRequest(class *loadClass) {
	r := &loadRequest{id: fmt.Sprint(class.name, "-", len(l.requests)), class: class, arrived: l.now, lastEvent: l.now, onTime: true}
	l.requests = append(l.requests, r)
	l.byID[r.id] = r
	l.place(r)
}

// place dispatches a request to a server with room, or reserves at several.
func (l *load) place(r *loadRequest) {
	r.number++
	for _, at := range l.random.Perm(len(l.servers)) {
		s := l.servers[at]
		if s.free > 0 {
			s.free--
			l.dispatch(r, s, false)
			return
		}
	}
	for _, at := range l.random.Perm(len(l.servers))[:loadReservations] {
		s := l.servers[at]
		r.reservations = append(r.reservations, s)
		l.send(s, &wire.EntryMessage{Kind: &wire.EntryMessage_Reserve{
			Reserve: &wire.Reserve{Attempt: id(r.id, r.number), Server: s.name, Work: l.work(r, s)},
		}})
	}
}

func (l *load) send(s *loadServer, m *wire.EntryMessage) {
	l.after(loadDelay, func() { s.step(MessageReceived{entryA, m}) })
}

func (l *load) dispatch(r *loadRequest, s *loadServer, offered bool) {
	r.server = s
	for _, other := range r.reservations {
		if other != s {
			l.withdraw(r, other)
		}
	}
	r.reservations = nil
	l.send(s, &wire.EntryMessage{Kind: &wire.EntryMessage_Dispatch{
		Dispatch: &wire.Dispatch{Attempt: id(r.id, r.number), Server: s.name, Work: l.work(r, s), Offered: offered},
	}})
}

func (l *load) withdraw(r *loadRequest, s *loadServer) {
	l.send(s, &wire.EntryMessage{Kind: &wire.EntryMessage_Withdraw{Withdraw: &wire.Withdraw{Attempt: id(r.id, r.number), Server: s.name}}})
}

func (l *load) work(r *loadRequest, s *loadServer) *wire.Work {
	ms := func(d time.Duration) uint32 { return uint32(max(d, 0) / time.Millisecond) }
	w := &wire.Work{
		Organisation: "org", Class: r.class.name, Tier: 2, Target: sampleModel, Repeatable: true, Precedence: r.class.precedence,
		PromptTokens: r.class.prompt, OutputTokens: uint32(r.class.events * loadTokensOfEvent),
		RemainingMs: ms(r.class.limit - l.now.Sub(r.arrived)), WaitedMs: ms(l.now.Sub(r.arrived)),
		ObjectiveMs: ms(r.class.objective - l.now.Sub(r.arrived)), PauseMs: ms(loadPause), AbandonMs: ms(loadAbandon),
	}
	free := func(other *loadServer) int { return -min(other.free, 1) }
	var others []*loadServer
	for _, at := range l.random.Perm(len(l.servers)) {
		if l.servers[at] != s {
			others = append(others, l.servers[at])
		}
	}
	slices.SortStableFunc(others, func(a, b *loadServer) int { return free(a) - free(b) })
	for _, other := range others[:min(len(others), 3)] {
		w.SuspendTargets = append(w.SuspendTargets, other.address)
	}
	return w
}

func (l *load) receive(from *loadServer, m *wire.AgentMessage) {
	if offer := m.GetOffer(); offer != nil {
		r := l.byID[offer.Attempt.Request]
		if r.end == "" && r.server == nil && offer.Attempt.Number == r.number {
			l.dispatch(r, from, true)
			return
		}
		l.send(from, &wire.EntryMessage{Kind: &wire.EntryMessage_Decline{Decline: &wire.Decline{Attempt: offer.Attempt, Server: from.name}}})
	}
	if frame := m.GetFrame(); frame != nil {
		l.frame(l.byID[frame.Attempt.Request], frame)
	}
	if over := m.GetOver(); over != nil {
		l.over(l.byID[over.Attempt.Request], from, over)
	}
}

func (l *load) frame(r *loadRequest, frame *wire.Frame) {
	require.EqualValues(l.t, r.events, frame.Offset, "event of %s missing or doubled", r.id)
	limit := loadPause
	if r.events == 0 {
		limit = r.class.objective
	}
	r.onTime = r.onTime && l.now.Sub(r.lastEvent) <= limit
	r.events += len(frame.Events)
	r.lastEvent = l.now
}

func (l *load) over(r *loadRequest, from *loadServer, over *wire.Over) {
	if r.end != "" || over.Attempt.Number != r.number {
		return
	}
	switch {
	case over.Proof == wire.Proof_PROOF_COMPLETED:
		require.Equal(l.t, r.class.events, r.events, r.id)
		r.end = loadLate
		if r.onTime {
			r.end = loadOnTime
		}
	case over.Proof != neverStartedProof:
		r.end = loadFailed
	default:
		r.reservations = slices.DeleteFunc(r.reservations, func(s *loadServer) bool { return s == from })
		if r.server == from {
			r.server = nil
		}
		if r.server == nil && len(r.reservations) == 0 {
			l.after(10*time.Millisecond, func() {
				if r.end == "" {
					l.place(r)
				}
			})
		}
	}
}

// checkCallers ends requests whose objective passes while they wait, and streams whose caller has left. As in the entry
// without forecasts, a waiting request is given up at its objective.
func (l *load) checkCallers() {
	for _, r := range l.requests {
		if r.end != "" {
			continue
		}
		silent := l.now.Sub(r.lastEvent)
		switch {
		case r.server == nil && l.now.Sub(r.arrived) >= r.class.objective:
			r.end = loadRefused
			for _, s := range r.reservations {
				l.withdraw(r, s)
			}
		case r.server != nil && (silent >= loadAbandon || l.now.Sub(r.arrived) >= r.class.limit):
			r.end = loadAbandoned
			cancel := &wire.Cancel{Attempt: id(r.id, r.number), Server: r.server.name, Cause: callerLeftCause}
			l.send(r.server, &wire.EntryMessage{Kind: &wire.EntryMessage_Cancel{Cancel: cancel}})
		}
	}
}

const callerLeftCause = wire.CancelCause_CANCEL_CAUSE_CALLER_LEFT

// loadResult counts how requests of a class ended that arrived in an interval.
type loadResult map[string]map[string]int

func (l *load) result(from, to float64) loadResult {
	out := loadResult{}
	for _, c := range loadClasses {
		out[c.name] = map[string]int{}
	}
	for _, r := range l.requests {
		at := r.arrived.Sub(l.start).Seconds()
		if at >= from && at < to {
			out[r.class.name][r.end]++
			out[r.class.name]["all"]++
		}
	}
	return out
}

func (r loadResult) value() float64 {
	sum := 0.0
	for _, c := range loadClasses {
		sum += c.onTime*float64(r[c.name][loadOnTime]) + c.late*float64(r[c.name][loadLate])
	}
	return sum
}

// burst lets third-class work take the slots for a second and then multiplies the rate of the first two classes for
// some seconds.
func burst(t *testing.T, suspends bool, seed uint64, factor, length float64) *load {
	l := newLoad(t, 6, suspends, seed)
	for i := range loadClasses {
		l.arrive(&loadClasses[i], 0, 2, 1)
	}
	l.arrive(&loadClasses[2], 2, 3, 4)
	l.arrive(&loadClasses[0], 3, 3+length, factor)
	l.arrive(&loadClasses[1], 3, 3+length, factor)
	l.arrive(&loadClasses[2], 3, 3+length, 1)
	l.runUntil(30)
	return l
}

// checkEmpty requires that nothing is left at the servers and in the accounts of their gates.
func (l *load) checkEmpty() {
	l.t.Helper()
	for _, s := range l.servers {
		require.Empty(l.t, s.gate.suspended)
		require.Empty(l.t, s.gate.held)
		require.Empty(l.t, s.gate.runs)
		require.Zero(l.t, s.gate.usage.memoryTokens)
		require.Zero(l.t, s.gate.usage.prefillTokens)
		require.LessOrEqual(l.t, s.mostActive, loadSlots+1, "runs at a server")
	}
	for _, r := range l.requests {
		require.NotEmpty(l.t, r.end, r.id)
		require.NotEqual(l.t, loadFailed, r.end, r.id)
	}
}

// The load: in column K of docs/hard-load.md, at 6 of 46 servers, third-class work at four times its usual rate takes
// all slots, and then requests of the first two classes come at twice their usual rate for two seconds. A copy of a
// run needs a free slot at another server for a moment.
//
// Guards against second-class requests that are refused although they could be served in the slots of third-class runs.
// Those must not be lost by that: their streams pause and go on before their callers leave. The first class is on time
// with or without suspension, since it goes first.
func TestBurstOfUrgentWorkTakesSlotsOfLongRuns(t *testing.T) {
	const seeds = 8
	total := map[bool]loadResult{}
	value := map[bool]float64{}
	suspensions := 0
	for _, suspends := range []bool{false, true} {
		sum := loadResult{}
		for _, c := range loadClasses {
			sum[c.name] = map[string]int{}
		}
		for seed := range uint64(seeds) {
			l := burst(t, suspends, seed, 2, 2)
			l.checkEmpty()
			for class, ends := range l.result(0, 30) {
				for end, n := range ends {
					sum[class][end] += n
				}
			}
			for _, s := range l.servers {
				suspensions += s.suspensions
			}
		}
		total[suspends], value[suspends] = sum, sum.value()
		t.Logf("suspension %v: value %.0f, %v", suspends, value[suspends], sum)
	}
	t.Logf("%d runs suspended", suspensions)
	off, on := total[false], total[true]
	require.Equal(t, on["first"]["all"], on["first"][loadOnTime])
	require.Equal(t, off["first"]["all"], off["first"][loadOnTime])
	require.Less(t, 3*on["second"][loadRefused], off["second"][loadRefused])
	require.Greater(t, 10*on["second"][loadOnTime], 11*off["second"][loadOnTime])
	require.Greater(t, value[true], value[false])
	for _, c := range loadClasses {
		require.Zero(t, on[c.name][loadAbandoned], c.name)
	}
	require.Less(t, on["third"][loadRefused], off["third"][loadRefused]*5/4, "most of the third class is served later")
}

// The load: the first two classes come at three times their usual rate for six seconds, so that they could use all
// slots for longer than the callers of the third class tolerate silence.
//
// Guards against suspended runs whose callers leave because the more urgent work never ends.
func TestSuspendedRunsOutliveALongOverload(t *testing.T) {
	for seed := range uint64(4) {
		l := burst(t, true, seed, 3, 6)
		l.checkEmpty()
		all := l.result(0, 30)
		t.Logf("seed %d: %v", seed, all)
		for _, c := range loadClasses {
			require.Zero(t, all[c.name][loadAbandoned], c.name)
		}
	}
}
