package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/wire"
)

// withModelEnv is a world with a slow model engine, a linked entry and room.
func withModelEnv(t *testing.T, test func(w *testEnv, model *standin.Server, entry *fakeEntry)) {
	t.Helper()
	withEnv(t, func(w *testEnv) {
		w.startAgent()
		model := w.startEngine(slowModel())
		w.waitReady()
		entry := w.startEntry(entryHost, "entry-1")
		entry.awaitRoom("server-1")
		test(w, model, entry)
	})
}

// Symptom: a request runs on two engines.
// Sequence: the connection to the engine is lost; the engine goes on and, for a while, ignores cancels; the entry hears
// that the attempt is over and starts the next one elsewhere.
// Cause: the lost connection was taken for the end of the stream.
func TestLostConnectionDoesNotProveEnd(t *testing.T) {
	withModelEnv(t, func(w *testEnv, model *standin.Server, entry *fakeEntry) {
		entry.dispatch(longCompletionDispatch("r1", 1))
		w.waitUntil("the stream runs", func() bool { return entry.eventCount("r1", 1) > 3 })
		require.NoError(t, model.SetFaults(standin.Faults{IgnoreCancel: true}))
		w.network.Reset(engineHost)

		time.Sleep(5 * time.Second)
		assert.Equal(t, 1, w.ledger.Running())
		assert.Equal(t, wire.Proof_PROOF_UNPROVEN, entry.over("r1", 1).GetProof())

		require.NoError(t, model.SetFaults(standin.Faults{}))
		over := entry.awaitOver("r1", 1)
		assert.Equal(t, wire.Proof_PROOF_CANCELLED, over.GetProof())
		assert.Zero(t, w.ledger.Running())
	})
}

// Symptom: work that its entry gave up runs all the same.
// Sequence: a cancel overtakes the dispatch of its attempt, or the dispatch comes twice, or late.
// Cause: the agent forgot what it had said of an attempt that it had never run.
func TestCancelAndDispatchInAnyOrder(t *testing.T) {
	tests := map[string]struct {
		act    func(w *testEnv, e *fakeEntry)
		starts int
	}{
		"late dispatch": {
			act: func(w *testEnv, e *fakeEntry) {
				e.cancel("r1", 1)
				e.awaitOver("r1", 1)
				e.dispatch(completionDispatch("r1", 1))
			},
		},
		"lost dispatch": {
			act: func(w *testEnv, e *fakeEntry) {
				e.cancel("r1", 1)
				e.awaitOver("r1", 1)
			},
		},
		"doubled dispatch": {
			act: func(w *testEnv, e *fakeEntry) {
				e.dispatch(completionDispatch("r1", 1))
				e.dispatch(completionDispatch("r1", 1))
				e.awaitOver("r1", 1)
				e.dispatch(completionDispatch("r1", 1))
			},
			starts: 1,
		},
		"dispatch again after its cancel": {
			act: func(w *testEnv, e *fakeEntry) {
				e.dispatch(longCompletionDispatch("r1", 1))
				w.waitUntil("it runs", func() bool { return e.eventCount("r1", 1) > 1 })
				e.cancel("r1", 1)
				e.awaitOver("r1", 1)
				e.dispatch(longCompletionDispatch("r1", 1))
			},
			starts: 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withModelEnv(t, func(w *testEnv, _ *standin.Server, entry *fakeEntry) {
				test.act(w, entry)
				time.Sleep(10 * time.Second)
				assert.Equal(t, test.starts, w.ledger.Starts()["r1.1"])
				assert.Zero(t, w.ledger.Running())
			})
		})
	}
}

// gateRecorder is an admission that keeps its events and does what the test says.
type gateRecorder struct {
	events  []gate.Event
	actions []gate.Action // of the next step
}

func (r *gateRecorder) Step(_ time.Time, event gate.Event) []gate.Action {
	r.events = append(r.events, event)
	actions := r.actions
	r.actions = nil
	return actions
}

// NextTick implements admission.
func (r *gateRecorder) NextTick() time.Duration { return gate.TickInterval }

// cancels returns the answers to cancels that the gate got.
func (r *gateRecorder) cancels() []gate.EngineCancelled {
	var list []gate.EngineCancelled
	for _, event := range r.events {
		if answer, ok := event.(gate.EngineCancelled); ok {
			list = append(list, answer)
		}
	}
	return list
}

// newTestServer is a server with a scripted engine, without an agent around it. Its duty doesn't run: drain applies what
// is on its ring.
func newTestServer(ctx context.Context, client engine.Client) (*server, *gateRecorder) {
	recorder := new(gateRecorder)
	s := newServer("server-1", serverDeps{
		log:           discardLog(),
		meter:         newMeter(),
		ready:         &readiness{control: func() error { return nil }},
		newGate:       func() serverGate { return recorder },
		spawn:         func(task func(context.Context)) { go task(ctx) },
		onChange:      func(*server) {},
		linkedEntries: func() []gate.EntryID { return nil },
	})
	s.base = ctx
	s.client = client
	s.record = &wire.ServerRecord{
		Server:       "server-1",
		Kind:         string(engine.KindModel),
		Address:      "http://10.0.0.2:9000",
		Capabilities: &wire.Capabilities{Resume: true, Kv: true},
	}
	return s, recorder
}

func (s *server) applyInputs() {
	synctest.Wait()
	for s.inputs.Len() > 0 {
		s.applyBatch(<-s.inputs.C())
		synctest.Wait()
	}
}

// Symptom: a request runs on two engines.
// Sequence: an attempt is cancelled before its dispatch reached the engine, or just after its connection was closed;
// the engine says that it has no such stream, which passes for a proof; then the dispatch arrives and the stream runs.
// Cause: "no such stream" proves an end only if the dispatch can't arrive any more.
func TestUnknownStreamIsNoProofWhileDispatchMayArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		returns := make(chan struct{})
		client := &scriptedEngine{
			run: func(context.Context) (engine.Outcome, error) {
				<-returns
				return engine.Outcome{}, &engine.CallError{Call: "run", Class: engine.ErrUnknown}
			},
			cancel: func() (engine.CancelResult, error) { return engine.CancelUnknownID, nil },
		}
		s, recorder := newTestServer(t.Context(), client)
		dispatch := completionDispatch("r1", 1)
		cancel := func() gate.EngineCancelled {
			recorder.actions = []gate.Action{gate.CancelEngine{Attempt: dispatch.GetAttempt(), Stream: "r1.1"}}
			s.step(time.Now(), gate.Tick{})
			s.applyInputs()
			answers := recorder.cancels()
			return answers[len(answers)-1]
		}
		recorder.actions = []gate.Action{gate.StartEngine{Dispatch: dispatch}}
		s.step(time.Now(), gate.Tick{})

		assert.Error(t, cancel().Err, "the call goes on")
		close(returns)
		s.applyInputs()
		assert.Error(t, cancel().Err, "what the call left in the network may not be read yet")
		time.Sleep(maxDispatchDelay)
		answer := cancel()
		assert.NoError(t, answer.Err)
		assert.Equal(t, engine.CancelUnknownID, answer.Result)
		assert.Empty(t, s.runs)
	})
}

// Symptom: connections and goroutines of cancelled streams stay for ever.
// Sequence: an engine confirms a cancel and never ends the stream.
// Cause: nothing but the engine's end of the stream ended the run.
func TestRunIsDroppedAfterConfirmedCancel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &scriptedEngine{
			run: func(ctx context.Context) (engine.Outcome, error) {
				<-ctx.Done()
				return engine.Outcome{}, &engine.CallError{Call: "run", Class: engine.ErrUnknown}
			},
			cancel: func() (engine.CancelResult, error) { return engine.CancelConfirmed, nil },
		}
		s, recorder := newTestServer(t.Context(), client)
		dispatch := completionDispatch("r1", 1)
		recorder.actions = []gate.Action{gate.StartEngine{Dispatch: dispatch}}
		s.step(time.Now(), gate.Tick{})
		recorder.actions = []gate.Action{gate.CancelEngine{Attempt: dispatch.GetAttempt(), Stream: "r1.1", Try: 7}}
		s.step(time.Now(), gate.Tick{})
		s.applyInputs()
		assert.Equal(t, uint32(7), recorder.cancels()[0].Try)
		time.Sleep(cancelledRunGrace)
		s.applyInputs()
		assert.IsType(t, gate.EngineEnded{}, recorder.events[len(recorder.events)-1])
	})
}

// Symptom: a cancel at the engine misses a resumed attempt, which then runs beside the next one.
// Sequence: an attempt resumes the stream of an earlier one; whoever cancels it names the later attempt.
// Cause: the engine knew the resumed stream under the earlier attempt's identity.
func TestResumeUsesItsOwnAttemptID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &scriptedEngine{run: func(context.Context) (engine.Outcome, error) {
			return engine.Outcome{End: engine.EndCompleted}, nil
		}}
		s, recorder := newTestServer(t.Context(), client)
		dispatch := completionDispatch("r1", 2)
		dispatch.ResumeFrom = 4 // the role event and 3 tokens
		dispatch.ResumeTokens = 3
		dispatch.ResumeAttempt = "r1.1"
		recorder.actions = []gate.Action{gate.StartEngine{Dispatch: dispatch}}
		s.step(time.Now(), gate.Tick{})
		s.applyInputs()
		assert.Equal(t, []engine.AttemptID{"r1.2"}, client.imported)
		assert.Equal(t, []engine.AttemptID{"r1.2"}, client.resumed)
	})
}

// Symptom: a caller gets an answer put together from two different ones.
// Sequence: an attempt that should go on at token 3 is dispatched to an engine that can't resume.
// Cause: it was run from its beginning, and only the tokens after the third were passed on.
func TestResumeIsRefusedWithoutEngineSupport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &scriptedEngine{run: func(context.Context) (engine.Outcome, error) {
			return engine.Outcome{End: engine.EndCompleted}, nil
		}}
		s, recorder := newTestServer(t.Context(), client)
		s.record.Capabilities = &wire.Capabilities{}
		dispatch := completionDispatch("r1", 2)
		dispatch.ResumeFrom = 4 // the role event and 3 tokens
		dispatch.ResumeTokens = 3
		recorder.actions = []gate.Action{gate.StartEngine{Dispatch: dispatch}}
		s.step(time.Now(), gate.Tick{})
		s.applyInputs()
		ended, ok := recorder.events[len(recorder.events)-1].(gate.EngineEnded)
		require.True(t, ok)
		assert.ErrorIs(t, ended.Err, engine.ErrNeverSent)
	})
}
