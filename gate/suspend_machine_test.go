package gate

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Figures of the model of suspension.
const (
	modelAbandon   = time.Second
	modelHandleTTL = 2 * time.Second
	modelEvents    = 40 // events of a run
)

// modelStopped is a run in the model of the engine that can be suspended.
type modelStopped struct {
	handle    string // under which its memory is held, "" for none
	stoppedAt time.Time
	produced  int  // events
	delivered int  // events that the agent received
	unsent    int  // resumes in a row that never left the agent
	known     bool // the agent was told the handle
	proved    bool // over
	resumable time.Time
}

// modelSuspend is a call to suspend a run.
type modelSuspend struct {
	call    SuspendEngine
	arrived bool
	answer  EngineSuspended
}

// suspendMachine is a machine whose engine can suspend runs.
type suspendMachine struct {
	*machine
	stopped  map[engine.AttemptID]*modelStopped
	suspends []*modelSuspend
	handles  int
	frames   map[engine.AttemptID]uint64 // events that the entry received
}

func newSuspendMachine(rt *rapid.T) *suspendMachine {
	m := &suspendMachine{machine: newMachine(rt), stopped: map[engine.AttemptID]*modelStopped{}, frames: map[engine.AttemptID]uint64{}}
	m.gate.config.Suspension = SuspensionConfig{Enabled: true, MaxPerRun: 3}
	m.gate.config.UpperOutput = true
	m.apply(Announced{Server: m.record()})
	m.extend = m.processSuspendAction
	m.change = func(w *wire.Work) {
		w.Precedence, w.OutputTokens, w.OutputTokensUpper = 1+w.Tier, modelEvents, 2*modelEvents+w.Tier
		w.AbandonMs, w.PauseMs, w.ObjectiveMs = uint32(modelAbandon/time.Millisecond), 100, 500
		w.SuspendTargets = []string{"10.0.0.2:80"}
	}
	return m
}

func (m *suspendMachine) record() *wire.ServerRecord {
	r := suspendingRecord(machineSlots)
	r.SuspendedMs = uint32(modelHandleTTL / time.Millisecond)
	return r
}

// processSuspendAction processes an action of the suspension and reports whether nothing else is to be done.
func (m *suspendMachine) processSuspendAction(action Action) bool {
	switch a := action.(type) {
	case StartEngine:
		name := engineAttemptID(a.Dispatch.Attempt.Request, a.Dispatch.Attempt.Number)
		if a.Resume == nil {
			m.stopped[name] = &modelStopped{}
			return false
		}
		m.resume(name, a)
		return true
	case SuspendEngine:
		m.suspends = append(m.suspends, &modelSuspend{call: a})
	case DiscardSuspended:
		s := m.stopped[engineAttemptID(a.Attempt.Request, a.Attempt.Number)]
		if s.handle == a.Suspension.Handle {
			s.handle = ""
		}
	case Send:
		m.checkFrame(a.Message.GetFrame())
		m.checkLost(a.Message.GetOver())
	}
	return false
}

// resume lets the call of a resumed run leave the agent.
func (m *suspendMachine) resume(name engine.AttemptID, a StartEngine) {
	s := m.stopped[name]
	require.False(m.rt, s.proved, "%s is resumed although it was proved over", name)
	stream := m.stream(name)
	require.False(m.rt, stream.open, "%s is resumed while its call is open", name)
	stream.open, stream.inTransit = true, true
	stream.handle = a.Resume.Handle
}

func (m *suspendMachine) stream(name engine.AttemptID) *modelStream {
	at := slices.IndexFunc(m.streams, func(s *modelStream) bool {
		return engineAttemptID(s.attempt.Request, s.attempt.Number) == name
	})
	require.GreaterOrEqual(m.rt, at, 0)
	return m.streams[at]
}

func nameOf(id *wire.AttemptID) engine.AttemptID { return engineAttemptID(id.Request, id.Number) }

// checkFrame requires that the entry gets each event once and in order. Events are their own numbers.
func (m *suspendMachine) checkFrame(f *wire.Frame) {
	if f == nil {
		return
	}
	name := nameOf(f.Attempt)
	for i, event := range f.Events {
		at := f.Offset + uint64(i)
		require.Equal(m.rt, strconv.FormatUint(at, 10), string(event), "event of %s", name)
		require.LessOrEqual(m.rt, at, m.frames[name], "an event of %s is missing", name)
		m.frames[name] = max(m.frames[name], at+1)
	}
}

// checkLost requires that an attempt whose end was not asked for ends as lost only if the engine doesn't hold it any
// more, the agent was never told the handle, or several resumes in a row never left the agent.
func (m *suspendMachine) checkLost(over *wire.Over) {
	if over == nil || over.Proof == unprovenProof {
		return
	}
	s := m.stopped[nameOf(over.Attempt)]
	if s == nil {
		return
	}
	s.proved = true
	require.False(m.rt, s.known && s.handle != "", "%s is over and the engine was not told to free its memory", over.Attempt)
	if result.Code(over.Code) != result.EngineLost || s.unsent >= maxResumeTries {
		return
	}
	cancelled := slices.ContainsFunc(m.cancels, func(c *modelCancel) bool { return sameAttempt(c.cancel.Attempt, over.Attempt) })
	require.True(m.rt, cancelled || s.handle == "" || !s.known, "%s is given up although the engine holds it", over.Attempt)
}

// checkSuspended checks the invariants of suspended runs after a step.
func (m *suspendMachine) checkSuspended() {
	for _, a := range m.gate.suspended {
		s := m.stopped[a.engineID()]
		require.False(m.rt, a.run.holdsRoom)
		if a.run.callOpen || s.unsent > 0 {
			s.resumable = time.Time{}
			continue
		}
		if s.resumable.IsZero() {
			s.resumable = m.now
		}
		latest := a.suspension.lastEventAt.Add(modelAbandon)
		if grace := s.resumable.Add(2 * TickInterval); grace.After(latest) {
			latest = grace
		}
		require.False(m.rt, m.now.After(latest), "%s is suspended although its caller leaves", a.engineID())
	}
}

// suspend takes the gate's decision to suspend any run that may be.
func (m *suspendMachine) suspend(rt *rapid.T) {
	var runs []*attempt
	for _, a := range m.gate.runs {
		s := &a.suspension
		if a.state == running && a.run.callOpen && a.frames.count > 0 && s.resumed == nil && s.unanswered == 0 {
			runs = append(runs, a)
		}
	}
	if len(runs) == 0 || m.gate.server.state != serverReady {
		rt.Skip("no run fits")
	}
	m.gate.fire(rapid.SampledFrom(runs).Draw(rt, "run"), onSuspend, eventDetails{})
	m.apply(Tick{})
}

func (m *suspendMachine) pickSuspend(rt *rapid.T, arrived bool) *modelSuspend {
	var all []*modelSuspend
	for _, s := range m.suspends {
		if s.arrived == arrived {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		rt.Skip("no suspension fits")
	}
	return rapid.SampledFrom(all).Draw(rt, "suspension")
}

func (m *suspendMachine) suspendArrives(rt *rapid.T) {
	m.arriveSuspend(m.pickSuspend(rt, false), rapid.IntRange(0, 3).Draw(rt, "room") > 0)
}

// arriveSuspend lets a call to suspend a run reach the engine.
func (m *suspendMachine) arriveSuspend(c *modelSuspend, room bool) {
	c.arrived = true
	c.answer = EngineSuspended{Attempt: c.call.Attempt, Try: c.call.Try}
	stream, s := m.stream(c.call.Stream), m.stopped[c.call.Stream]
	switch {
	case !stream.running:
		c.answer.Err = engine.ErrUnknownStream
	case !room:
		c.answer.Err = engine.ErrNoRoom
	default:
		m.handles++
		stream.running = false
		s.known = false
		s.handle, s.stoppedAt = fmt.Sprint("h", m.handles), m.now
		stream.handle = s.handle
		c.answer.Suspension = engine.Suspension{Handle: s.handle, Events: s.produced}
	}
}

func (m *suspendMachine) suspendAnswered(rt *rapid.T) {
	c := m.pickSuspend(rt, true)
	m.answerSuspendCall(c, rapid.IntRange(0, 2).Draw(rt, "lost") == 0)
}

func (m *suspendMachine) answerSuspendCall(c *modelSuspend, lost bool) {
	m.suspends = slices.DeleteFunc(m.suspends, func(other *modelSuspend) bool { return other == c })
	if lost {
		c.answer.Suspension, c.answer.Err = engine.Suspension{}, engine.ErrOutcomeUnknown
	}
	if c.answer.Err == nil {
		m.stopped[c.call.Stream].known = true
	}
	m.applyChecked(c.answer)
}

// streamStops ends the call of a run that the engine has stopped. The agent may not learn the handle by that.
func (m *suspendMachine) streamStops(rt *rapid.T) {
	s := m.pickStream(rt, func(s *modelStream) bool { return s.open && !s.running && !s.inTransit && s.handle != "" })
	m.stopStream(s, rapid.IntRange(0, 2).Draw(rt, "broken") == 0)
}

func (m *suspendMachine) stopStream(s *modelStream, broken bool) {
	s.open = false
	e := EngineEnded{Attempt: s.attempt}
	if broken {
		e.Err = engine.ErrOutcomeUnknown
	} else {
		m.stopped[nameOf(s.attempt)].known = true
		e.Outcome = engine.Outcome{End: engine.EndSuspended, Suspension: engine.Suspension{Handle: s.handle}}
	}
	m.applyChecked(e)
}

// resumeArrives lets the call of a resumed run reach the engine, or never leave the agent.
func (m *suspendMachine) resumeArrives(rt *rapid.T) {
	s := m.pickStream(rt, func(s *modelStream) bool { return s.inTransit && s.handle != "" })
	m.arriveResume(s, rapid.IntRange(0, 4).Draw(rt, "unsent") > 0)
}

func (m *suspendMachine) arriveResume(s *modelStream, sent bool) {
	run := m.stopped[nameOf(s.attempt)]
	s.inTransit = false
	switch {
	case !s.open:
		s.handle = ""
	case !sent:
		s.open = false
		run.unsent++
		m.applyChecked(EngineEnded{Attempt: s.attempt, Err: &engine.CallError{Call: "run", Class: engine.ErrNeverSent}})
	case run.handle == "" || run.handle != s.handle:
		s.open = false
		run.unsent = 0
		unknown := &engine.CallError{Call: "run", Class: engine.ErrUnknownStream}
		m.applyChecked(EngineEnded{Attempt: s.attempt, Err: &engine.CallError{Call: "run", Class: engine.ErrNeverSent, Err: unknown}})
	default:
		run.unsent = 0
		run.handle, s.handle = "", ""
		require.False(m.rt, run.proved, "%v goes on although it was proved over", s.attempt)
		s.running = true
		m.checkGate()
	}
}

// produce lets a run generate an event and, perhaps, the agent receive what was generated.
func (m *suspendMachine) produce(rt *rapid.T) {
	s := m.pickStream(rt, func(s *modelStream) bool { return s.running && s.open })
	m.stopped[nameOf(s.attempt)].produced++
	if rapid.Bool().Draw(rt, "received") {
		m.deliver(s)
	}
}

// deliver passes to the gate the events that the agent has not received. After a resume the engine sends them again,
// from the last one that the agent received.
func (m *suspendMachine) deliver(s *modelStream) {
	run := m.stopped[nameOf(s.attempt)]
	var events [][]byte
	for ; run.delivered < run.produced; run.delivered++ {
		events = append(events, []byte(strconv.Itoa(run.delivered)))
	}
	if len(events) > 0 {
		m.applyChecked(EngineProgress{Attempt: s.attempt, Events: events})
	}
}

// lateEvents arrive after the engine has stopped the run and before its call ends.
func (m *suspendMachine) lateEvents(rt *rapid.T) {
	m.deliver(m.pickStream(rt, func(s *modelStream) bool { return s.open && !s.inTransit && s.handle != "" }))
}

func (m *suspendMachine) endOfRun(rt *rapid.T) {
	s := m.pickStream(rt, func(s *modelStream) bool { return s.open && s.handle == "" })
	if s.running {
		m.deliver(s)
	}
	m.finishOrBreak(rt, s)
	m.checkSuspended()
}

// serverEnds loses all runs and all memory, and a server starts again at its place.
func (m *suspendMachine) serverEnds(rt *rapid.T) {
	if rapid.IntRange(0, 10).Draw(rt, "seldom") > 0 {
		rt.Skip("event not drawn")
	}
	for _, s := range m.stopped {
		s.handle = ""
	}
	for _, s := range m.streams {
		open := s.open
		s.open, s.running, s.inTransit, s.handle = false, false, false, ""
		if open {
			m.applyChecked(EngineEnded{Attempt: s.attempt, Err: engine.ErrOutcomeUnknown})
		}
	}
}

func (m *suspendMachine) applyChecked(e Event) {
	m.apply(e)
	m.checkSuspended()
}

func (m *suspendMachine) expireHandles() {
	for _, s := range m.stopped {
		if s.handle != "" && m.now.Sub(s.stoppedAt) >= modelHandleTTL {
			s.handle = ""
		}
	}
}

func (m *suspendMachine) time(rt *rapid.T) {
	for range rapid.IntRange(1, 20).Draw(rt, "ticks") {
		m.now = m.now.Add(TickInterval)
		m.expireHandles()
		m.applyChecked(Tick{})
	}
	m.applyChecked(Announced{Server: m.record()})
	for _, e := range []EntryID{entryA, entryB} {
		if rapid.IntRange(0, 9).Draw(rt, "silent") > 0 {
			m.applyChecked(MessageReceived{e, heartbeat()})
		}
	}
}

// settle lets everything come to its end and requires that nothing is left.
func (m *suspendMachine) settle() {
	const rounds = 300
	for range rounds {
		if len(m.gate.runs)+len(m.gate.suspended)+len(m.gate.held) == 0 && m.gate.waiting.count == 0 {
			break
		}
		m.settleRound()
	}
	require.Empty(m.rt, m.gate.suspended)
	require.Empty(m.rt, m.gate.runs)
	require.Empty(m.rt, m.gate.held)
	require.Zero(m.rt, m.gate.usage.memoryTokens)
	require.Zero(m.rt, m.gate.usage.prefillTokens)
}

func (m *suspendMachine) settleRound() {
	bodies := m.bodies
	m.bodies = nil
	for _, body := range bodies {
		m.applyChecked(MessageReceived{body.from, &wire.EntryMessage{Kind: &wire.EntryMessage_Dispatch{Dispatch: body.dispatch}}})
	}
	for _, c := range slices.Clone(m.suspends) {
		if !c.arrived {
			m.arriveSuspend(c, true)
		}
		m.answerSuspendCall(c, false)
	}
	for _, c := range slices.Clone(m.cancels) {
		if !c.answered {
			m.answerAtEngine(c)
		}
		m.cancels = slices.DeleteFunc(m.cancels, func(other *modelCancel) bool { return other == c })
		m.applyChecked(EngineCancelled{Attempt: c.cancel.Attempt, Try: c.cancel.Try, Result: c.result})
	}
	for _, s := range m.streams {
		m.settleStream(s)
	}
	for range 5 {
		m.now = m.now.Add(TickInterval)
		m.expireHandles()
		m.applyChecked(Tick{})
	}
	m.applyChecked(Announced{Server: m.record()})
	for _, e := range []EntryID{entryA, entryB} {
		m.applyChecked(MessageReceived{e, heartbeat()})
	}
}

func (m *suspendMachine) settleStream(s *modelStream) {
	switch {
	case s.inTransit && s.handle != "":
		m.arriveResume(s, true)
	case s.inTransit:
		s.inTransit, s.running = false, true
	case s.open && s.handle != "":
		m.stopStream(s, false)
	case s.open && s.running:
		m.deliver(s)
		s.open, s.running = false, false
		m.applyChecked(EngineEnded{Attempt: s.attempt, Outcome: engine.Outcome{End: engine.EndCompleted, Status: 200}})
	case s.open:
		s.open = false
		m.applyChecked(EngineEnded{Attempt: s.attempt, Outcome: engine.Outcome{End: engine.EndCancelled}})
	case s.running:
		s.running = false
	}
}

// Guards against two owners of a run, events that are missing or doubled, runs that are lost while the engine holds
// them, callers that leave a suspended run, and slots or memory that stay taken: suspensions, resumes, lost answers,
// expired memory, cancels, leases and the end of the server come in any order. Run with -rapid.checks=10000 for the
// schedules of docs/hard-load.md.
func TestRandomSchedulesOfSuspensions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newSuspendMachine(rt)
		m.begin()
		checked := func(action func(*rapid.T)) func(*rapid.T) {
			return func(rt *rapid.T) {
				action(rt)
				m.checkSuspended()
			}
		}
		actions := map[string]func(*rapid.T){
			"arrive":           checked(m.newRequest),
			"attempt":          checked(m.startAttempt),
			"attempt again":    checked(m.startAttempt),
			"body arrives":     checked(m.bodyArrives),
			"cancel":           checked(m.cancelRequest),
			"end entry":        checked(m.endEntry),
			"reaches engine":   checked(m.startsAtEngine),
			"event":            checked(m.produce),
			"event again":      checked(m.produce),
			"late events":      checked(m.lateEvents),
			"run ends":         checked(m.endOfRun),
			"cancel arrives":   checked(m.cancelArrives),
			"cancel answered":  checked(m.cancelAnswered),
			"suspend":          checked(m.suspend),
			"suspend again":    checked(m.suspend),
			"suspend arrives":  checked(m.suspendArrives),
			"suspend answered": checked(m.suspendAnswered),
			"stream stops":     checked(m.streamStops),
			"resume arrives":   checked(m.resumeArrives),
			"server ends":      checked(m.serverEnds),
			"time":             checked(m.time),
			"leave":            checked(m.leave),
			// Steps of a suspension are drawn more often than others, so that schedules have several suspensions.
			"arrives soon":   checked(m.suspendArrives),
			"answered soon":  checked(m.suspendAnswered),
			"stops soon":     checked(m.streamStops),
			"resumes soon":   checked(m.resumeArrives),
			"resumes sooner": checked(m.resumeArrives),
		}
		for range 3 {
			rt.Repeat(actions)
		}
		m.settle()
	})
}

// begin lets runs of the second tier take all slots and an attempt of the first tier wait.
func (m *suspendMachine) begin() {
	for i := range machineSlots + 1 {
		r := &modelRequest{name: fmt.Sprint(i, "-begin"), owner: []EntryID{entryA, entryB}[i%2], number: 1, tier: 2, pending: true}
		m.requests = append(m.requests, r)
		if i == machineSlots {
			r.tier = firstTier
			message := &wire.Reserve{Attempt: r.id(), Server: sampleServer, Work: m.work(r)}
			m.applyChecked(MessageReceived{r.owner, &wire.EntryMessage{Kind: &wire.EntryMessage_Reserve{Reserve: message}}})
			return
		}
		body := &wire.Dispatch{Attempt: r.id(), Server: sampleServer, Work: m.work(r), IdempotencyKey: r.name}
		m.applyChecked(MessageReceived{r.owner, &wire.EntryMessage{Kind: &wire.EntryMessage_Dispatch{Dispatch: body}}})
		s := m.stream(engineAttemptID(r.name, 1))
		s.inTransit, s.running = false, true
		m.stopped[nameOf(s.attempt)].produced = 1
		m.deliver(s)
	}
}

// startsAtEngine lets the call of a new run reach the engine.
func (m *suspendMachine) startsAtEngine(rt *rapid.T) {
	s := m.pickStream(rt, func(s *modelStream) bool { return s.inTransit && s.handle == "" })
	s.inTransit, s.running = false, true
	m.checkGate()
}
