package gate

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/wire"
)

// TestMain fixes the seed of the property tests, so that each run tries the same cases; -rapid.seed selects others.
// A failure prints its steps, so no fail file is written.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == seed.DefValue {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// modelStream is a run in the model of the engine.
type modelStream struct {
	attempt   *wire.AttemptID
	inTransit bool   // its dispatch has not reached the engine
	running   bool   // at the engine
	open      bool   // the agent's call has not returned
	handle    string // of the suspension that stopped it, or that its call resumes; "" for none
}

// modelCancel is a cancel call in progress.
type modelCancel struct {
	cancel   CancelEngine
	answered bool // by the engine; the answer is in transit
	result   engine.CancelResult
}

// modelRequest is a request in the model of its entry. An entry starts the next attempt only with a proof.
type modelRequest struct {
	name    string
	owner   EntryID
	number  uint64
	tier    uint32
	pending bool // an attempt is not proved over
	asked   uint64
}

// modelBody is a dispatch in transit. The transit takes less than TombstoneLifetime.
type modelBody struct {
	dispatch *wire.Dispatch
	from     EntryID
	sent     time.Time
}

// machine is a gate between model entries and a model engine whose messages are delayed, lost and reordered.
type machine struct {
	*harness
	rt            *rapid.T
	streams       []*modelStream
	cancels       []*modelCancel
	requests      []*modelRequest
	bodies        []modelBody // in transit from entries to the gate
	started       map[engine.AttemptID]bool
	unsent        map[engine.AttemptID]bool // started, and the call was never sent
	promisedNever map[engine.AttemptID]bool // promised never to start
	lowerTierWork bool                      // lower-tier work ran or waited before the step
	ended         map[EntryID]bool

	// extend processes the actions of an extension of the machine first and reports whether that is all; change adds
	// to the work of a request. Both may be nil.
	extend func(Action) bool
	change func(*wire.Work)
}

const machineSlots = 2

func newMachine(rt *rapid.T) *machine {
	config := Config{
		NoPredecessor: true, TombstoneLifetime: 4 * time.Second, MaxWaiting: 4, MaxRecords: 200,
		OverRetention: time.Second, LeaseDuration: 2 * time.Second,
	}
	m := &machine{
		harness:       newReadyHarnessWith(rt, config, sampleRecord(machineSlots)),
		rt:            rt,
		started:       map[engine.AttemptID]bool{},
		unsent:        map[engine.AttemptID]bool{},
		promisedNever: map[engine.AttemptID]bool{},
		ended:         map[EntryID]bool{},
	}
	return m
}

// apply steps the gate and lets the model process the actions.
func (m *machine) apply(e Event) {
	m.lowerTierWork = m.hasLowerTierWork()
	for _, action := range m.gate.Step(m.now, e) {
		m.processAction(action)
	}
	m.checkGate()
}

func (m *machine) hasLowerTierWork() bool {
	lower := func(a *attempt) bool { return a.tier() > firstTier }
	return slices.ContainsFunc(m.gate.held, lower) || m.gate.waiting.contains(lower)
}

func (m *machine) processAction(action Action) {
	if m.extend != nil && m.extend(action) {
		return
	}
	switch a := action.(type) {
	case StartEngine:
		m.processStart(a.Dispatch.Attempt)
	case CancelEngine:
		m.cancels = append(m.cancels, &modelCancel{cancel: a})
	case ListEngine:
		m.rt.Fatalf("the engine was already cleared")
	case Send:
		m.processMessage(a.Entry, a.Message)
	}
}

func (m *machine) processStart(attempt *wire.AttemptID) {
	name := engineAttemptID(attempt.Request, attempt.Number)
	require.False(m.rt, m.started[name], "%s started twice", name)
	require.False(m.rt, m.promisedNever[name], "%s started after it was promised never to start", name)
	m.started[name] = true
	m.streams = append(m.streams, &modelStream{attempt: attempt, inTransit: true, open: true})
}

func (m *machine) processMessage(to EntryID, message *wire.AgentMessage) {
	if offer := message.GetOffer(); offer != nil {
		m.processOffer(to, offer)
	}
	if over := message.GetOver(); over != nil {
		m.checkOver(over)
		m.processOver(to, over)
	}
}

func (m *machine) processOffer(to EntryID, offer *wire.Offer) {
	r := m.request(offer.Attempt.Request)
	if r.owner != to || r.number != offer.Attempt.Number {
		return
	}
	m.sendBody(r, true)
}

func (m *machine) sendBody(r *modelRequest, offered bool) {
	d := &wire.Dispatch{
		Attempt: r.id(), Server: sampleServer, Work: m.work(r), Offered: offered, IdempotencyKey: r.name,
	}
	m.bodies = append(m.bodies, modelBody{d, r.owner, m.now})
}

// checkOver compares a proof with what the model engine did.
func (m *machine) checkOver(over *wire.Over) {
	if over.Proof == unprovenProof {
		return
	}
	name := engineAttemptID(over.Attempt.Request, over.Attempt.Number)
	for _, s := range m.streams {
		same := s.attempt.Request == over.Attempt.Request && s.attempt.Number == over.Attempt.Number
		require.False(m.rt, same && (s.running || s.inTransit), "%s is proved over but still runs: %v", name, over)
	}
	if over.Proof != neverStartedProof {
		return
	}
	require.False(m.rt, m.started[name] && !m.unsent[name], "%s was started: %v", name, over)
	if over.Attempt.Number == 1<<epochShift { // from a new owner that asks about all earlier attempts
		for _, s := range m.streams {
			earlier := s.attempt.Request == over.Attempt.Request && s.attempt.Number < over.Attempt.Number
			require.False(m.rt, earlier && !m.unsent[engineAttemptID(s.attempt.Request, s.attempt.Number)], "an earlier attempt of %s ran", name)
		}
	}
	repeated := m.promisedNever[name]
	m.promisedNever[name] = true
	r := m.request(over.Attempt.Request)
	if r.tier == firstTier && m.lowerTierWork && !repeated {
		for _, refused := range []refusal{refuseNoOffer, refuseLapsedOffer, refuseFull(0), refuseShed(0), refuseTooLate(0)} {
			require.NotEqual(m.rt, refused.message, over.Message, "%s of the first tier is refused for want of room", name)
		}
	}
}

func (m *machine) processOver(to EntryID, over *wire.Over) {
	r := m.request(over.Attempt.Request)
	if r.owner == to && over.Attempt.Number >= r.asked && over.Attempt.Number == r.number && over.Proof != unprovenProof {
		r.pending = false
	}
}

// checkGate checks the invariants that hold after every step.
func (m *machine) checkGate() {
	running := map[string]int{}
	busy := 0
	for _, s := range m.streams {
		if s.running {
			running[s.attempt.Request]++
			require.Equal(m.rt, 1, running[s.attempt.Request], "two runs of %s", s.attempt.Request)
		}
		if s.running || s.inTransit {
			busy++
		}
	}
	require.LessOrEqual(m.rt, len(m.gate.held)-m.resumedRuns(), machineSlots)
	if m.gate.condition() == drained {
		require.Zero(m.rt, busy, "drained while runs are in progress")
	}
	require.Zero(m.rt, m.gate.chartErrors)
	m.checkSums()
}

// checkSums compares the gate's running totals with totals computed from scratch.
func (m *machine) checkSums() {
	var prefill, memory, variance int64
	for _, a := range m.gate.held {
		prefill += a.run.pendingPrefill
		memory += a.run.cacheTokens
		variance += a.run.cacheVariance
	}
	for _, a := range m.gate.suspended {
		memory += a.run.cacheTokens
		variance += a.run.cacheVariance
	}
	waiting := 0
	m.gate.waiting.each(func(*attempt) { waiting++ })
	require.Equal(m.rt, prefill, m.gate.usage.prefillTokens)
	require.Equal(m.rt, memory, m.gate.usage.memoryTokens)
	require.Equal(m.rt, variance, m.gate.usage.memoryVariance)
	require.Equal(m.rt, waiting, m.gate.waiting.count)
}

// resumedRuns returns the number of runs that hold a slot after a suspension. Those may exceed the slots.
func (m *machine) resumedRuns() int {
	n := 0
	for _, a := range m.gate.held {
		if !a.suspension.resumedAt.IsZero() {
			n++
		}
	}
	return n
}

func (m *machine) request(name string) *modelRequest {
	at := slices.IndexFunc(m.requests, func(r *modelRequest) bool { return r.name == name })
	require.GreaterOrEqual(m.rt, at, 0)
	return m.requests[at]
}

func (r *modelRequest) id() *wire.AttemptID { return id(r.name, r.number) }

func (m *machine) work(r *modelRequest) *wire.Work {
	w := workOf(func(w *wire.Work) {
		w.Tier = r.tier
		w.Preemptible = r.tier > firstTier
		w.Repeatable = r.name[0] != '1'
		w.MayBeLate = r.tier > 2
		w.RemainingMs = 5000
	})
	if m.change != nil {
		m.change(w)
	}
	return w
}

// pickRequest draws a request that fits, or skips the action.
func (m *machine) pickRequest(rt *rapid.T, fits func(*modelRequest) bool) *modelRequest {
	var all []*modelRequest
	for _, r := range m.requests {
		if !m.ended[r.owner] && fits(r) {
			all = append(all, r)
		}
	}
	if len(all) == 0 {
		rt.Skip("no request fits")
	}
	return rapid.SampledFrom(all).Draw(rt, "request")
}

func isPending(r *modelRequest) bool { return r.pending }

func (m *machine) newRequest(rt *rapid.T) {
	name := fmt.Sprintf("%d-request", len(m.requests))
	owner := rapid.SampledFrom([]EntryID{entryA, entryB}).Draw(rt, "entry")
	if m.ended[owner] || len(m.requests) >= 12 {
		rt.Skip("entry has ended or enough requests exist")
	}
	tier := rapid.Uint32Range(1, 3).Draw(rt, "tier")
	m.requests = append(m.requests, &modelRequest{name: name, owner: owner, tier: tier})
}

// startAttempt begins the next attempt of a request whose earlier ones are proved over.
func (m *machine) startAttempt(rt *rapid.T) {
	r := m.pickRequest(rt, func(r *modelRequest) bool { return !r.pending && r.number < 6 })
	r.number++
	r.pending = true
	if rapid.Bool().Draw(rt, "direct") {
		m.sendBody(r, false)
		return
	}
	message := &wire.Reserve{Attempt: r.id(), Server: sampleServer, Work: m.work(r)}
	m.apply(MessageReceived{r.owner, &wire.EntryMessage{Kind: &wire.EntryMessage_Reserve{Reserve: message}}})
}

// bodyArrives delivers a body, in any order and perhaps long after its entry gave it up.
func (m *machine) bodyArrives(rt *rapid.T) {
	m.bodies = slices.DeleteFunc(m.bodies, func(b modelBody) bool {
		return m.now.Sub(b.sent) >= m.gate.config.TombstoneLifetime
	})
	if len(m.bodies) == 0 {
		rt.Skip("no body in transit")
	}
	at := rapid.IntRange(0, len(m.bodies)-1).Draw(rt, "body")
	body := m.bodies[at]
	if rapid.Bool().Draw(rt, "once") {
		m.bodies = slices.Delete(m.bodies, at, at+1)
	}
	m.apply(MessageReceived{body.from, &wire.EntryMessage{Kind: &wire.EntryMessage_Dispatch{Dispatch: body.dispatch}}})
}

func (m *machine) cancelRequest(rt *rapid.T) {
	r := m.pickRequest(rt, isPending)
	message := &wire.Cancel{Attempt: r.id(), Server: sampleServer, Cause: retryCause}
	m.apply(MessageReceived{r.owner, &wire.EntryMessage{Kind: &wire.EntryMessage_Cancel{Cancel: message}}})
}

// endEntry ends an entry; the other one takes over its requests and asks about all earlier attempts.
func (m *machine) endEntry(rt *rapid.T) {
	if m.ended[entryA] || rapid.IntRange(0, 5).Draw(rt, "seldom") > 0 {
		rt.Skip("entry has ended or event not drawn")
	}
	m.ended[entryA] = true
	m.apply(EntryEnded{Entry: entryA})
	for _, r := range m.requests {
		if r.owner != entryA {
			continue
		}
		r.owner, r.pending = entryB, true
		r.number = 1 << epochShift
		r.asked = r.number
		message := &wire.Cancel{Attempt: r.id(), Server: sampleServer, Cause: takeoverCause}
		m.apply(MessageReceived{entryB, &wire.EntryMessage{Kind: &wire.EntryMessage_Cancel{Cancel: message}}})
	}
}

func (m *machine) pickStream(rt *rapid.T, fits func(*modelStream) bool) *modelStream {
	var all []*modelStream
	for _, s := range m.streams {
		if fits(s) {
			all = append(all, s)
		}
	}
	if len(all) == 0 {
		rt.Skip("no stream fits")
	}
	return rapid.SampledFrom(all).Draw(rt, "stream")
}

func (m *machine) reachesEngine(rt *rapid.T) {
	s := m.pickStream(rt, func(s *modelStream) bool { return s.inTransit })
	s.inTransit, s.running = false, true
	m.checkGate()
}

func (m *machine) produceToken(rt *rapid.T) {
	s := m.pickStream(rt, func(s *modelStream) bool { return s.running && s.open })
	m.apply(EngineProgress{Attempt: s.attempt, Events: [][]byte{[]byte("x")}})
}

// runEnds ends a run by itself, by an error, by a lost connection, or before it was sent.
func (m *machine) runEnds(rt *rapid.T) {
	m.finishOrBreak(rt, m.pickStream(rt, func(s *modelStream) bool { return s.open }))
}

func (m *machine) finishOrBreak(rt *rapid.T, s *modelStream) {
	s.open = false
	e := EngineEnded{Attempt: s.attempt}
	switch {
	case s.inTransit && rapid.Bool().Draw(rt, "never sent"):
		e.Err = engine.ErrNeverSent
		m.unsent[engineAttemptID(s.attempt.Request, s.attempt.Number)] = true
		s.inTransit = false
	case s.inTransit || s.running && rapid.Bool().Draw(rt, "lost"):
		// A dispatch that has not arrived by then never does; a run at the engine goes on.
		e.Err = engine.ErrOutcomeUnknown
		s.inTransit = false
	case s.running:
		e.Outcome.End = rapid.SampledFrom([]engine.End{engine.EndCompleted, engine.EndFailed}).Draw(rt, "end")
		s.running = false
	default:
		e.Outcome.End = engine.EndCancelled
	}
	m.apply(e)
}

func (m *machine) cancelArrives(rt *rapid.T) {
	m.answerAtEngine(m.pickCancel(rt, false))
}

// answerAtEngine lets a cancel reach the engine.
func (m *machine) answerAtEngine(c *modelCancel) {
	c.answered = true
	c.result = engine.CancelUnknownID
	for _, s := range m.streams {
		if sameAttempt(s.attempt, c.cancel.Attempt) && s.running {
			s.running = false
			c.result = engine.CancelConfirmed
		}
	}
}

func (m *machine) cancelAnswered(rt *rapid.T) {
	c := m.pickCancel(rt, true)
	m.cancels = slices.DeleteFunc(m.cancels, func(other *modelCancel) bool { return other == c })
	e := EngineCancelled{Attempt: c.cancel.Attempt, Try: c.cancel.Try, Result: c.result}
	if rapid.IntRange(0, 3).Draw(rt, "fails") == 0 {
		e.Result, e.Err = engine.CancelNone, engine.ErrOutcomeUnknown
	}
	m.apply(e)
}

func (m *machine) pickCancel(rt *rapid.T, answered bool) *modelCancel {
	var all []*modelCancel
	for _, c := range m.cancels {
		if c.answered == answered {
			all = append(all, c)
		}
	}
	if len(all) == 0 {
		rt.Skip("no cancel fits")
	}
	return rapid.SampledFrom(all).Draw(rt, "cancel")
}

func (m *machine) advanceTime(rt *rapid.T) {
	for range rapid.IntRange(1, 30).Draw(rt, "ticks") {
		m.now = m.now.Add(TickInterval)
		m.apply(Tick{})
	}
	m.apply(Announced{Server: sampleRecord(machineSlots)})
	for _, e := range []EntryID{entryA, entryB} {
		if rapid.IntRange(0, 9).Draw(rt, "silent") > 0 {
			m.apply(MessageReceived{e, heartbeat()})
		}
	}
}

func (m *machine) leave(rt *rapid.T) {
	if rapid.IntRange(0, 20).Draw(rt, "seldom") > 0 {
		rt.Skip("event not drawn")
	}
	m.apply(Leaving{})
}

func TestRandomSchedulesAgainstModelEngine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newMachine(rt)
		rt.Repeat(map[string]func(*rapid.T){
			"arrive":          m.newRequest,
			"attempt":         m.startAttempt,
			"attempt again":   m.startAttempt,
			"body arrives":    m.bodyArrives,
			"cancel":          m.cancelRequest,
			"end entry":       m.endEntry,
			"reaches engine":  m.reachesEngine,
			"token":           m.produceToken,
			"run ends":        m.runEnds,
			"cancel arrives":  m.cancelArrives,
			"cancel answered": m.cancelAnswered,
			"time":            m.advanceTime,
			"leave":           m.leave,
		})
	})
}

func TestBackloggedOrganisationsGetEqualShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := newReadyHarnessWith(rt, Config{NoPredecessor: true}, sampleRecord(1))
		b.start(entryA, id("first", 1), work())
		costs := map[string]int64{}
		served := map[string]int64{}
		names := []string{"a", "b", "c"}
		works := map[string]*wire.Work{}
		most := int64(0)
		for _, name := range names {
			w := workOf(func(w *wire.Work) {
				w.Organisation, w.RemainingMs = name, 0
				w.Urgency = uint32(rapid.IntRange(0, 199).Draw(rt, "urgency"))
				w.PromptTokens = uint32(rapid.IntRange(1, 500).Draw(rt, "prompt"))
			})
			works[name] = w
			costs[name] = int64(w.PromptTokens) + int64(rapid.IntRange(1, 500).Draw(rt, "output"))
			most = max(most, costs[name], b.gate.estimateCost(w))
		}
		number := uint64(0)
		refill := func(name string) {
			number++
			from := []EntryID{entryA, entryB}[number%2]
			b.reserve(from, id(fmt.Sprint(name, number), 1), works[name])
		}
		for _, name := range names {
			for range rapid.IntRange(2, 10).Draw(rt, "backlog") {
				refill(name)
			}
		}
		next := b.finish(id("first", 1))
		for range 300 {
			offers := actionsOf[Send](next)
			at := slices.IndexFunc(offers, func(s Send) bool { return s.Message.GetOffer() != nil })
			require.GreaterOrEqual(rt, at, 0)
			attempt := offers[at].Message.GetOffer().Attempt
			w := b.gate.records.get(attempt.Request).current.work
			refill(w.Organisation)
			b.dispatchOffered(offers[at].Entry, attempt, w)
			b.step(EngineProgress{
				Attempt: attempt, Events: [][]byte{nil},
				Tokens: []uint32{uint32(costs[w.Organisation] - int64(w.PromptTokens))},
			})
			served[w.Organisation] += costs[w.Organisation]
			b.now = b.now.Add(time.Millisecond)
			b.actions = nil
			next = b.finish(attempt)
		}
		for _, name := range names[1:] {
			require.InDelta(rt, served[names[0]], served[name], float64(2*most), "served %v at costs %v", served, costs)
		}
	})
}
