package agent

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/network/memory"
	"github.com/carawaypitch/carawaypitch/wire"
)

// suspendableEngine is a scriptedEngine whose runs and suspensions are scripted with their arguments.
type suspendableEngine struct {
	scriptedEngine
	runRequest func(ctx context.Context, request engine.Request, sink engine.Sink) (engine.Outcome, error)
	suspend    func(ctx context.Context) (engine.Suspension, error)
	discarded  []engine.Suspension
	discardErr error
}

func (e *suspendableEngine) Run(ctx context.Context, request engine.Request, sink engine.Sink) (engine.Outcome, error) {
	return e.runRequest(ctx, request, sink)
}

func (e *suspendableEngine) Suspend(ctx context.Context, _ engine.AttemptID, _ []string) (engine.Suspension, error) {
	return e.suspend(ctx)
}

func (e *suspendableEngine) Discard(_ context.Context, s engine.Suspension) error {
	e.discarded = append(e.discarded, s)
	return e.discardErr
}

var testSuspension = engine.Suspension{Handle: "h1", Events: 3}

func suspendedOutcome() engine.Outcome {
	return engine.Outcome{End: engine.EndSuspended, Suspension: testSuspension, Tokens: 3}
}

// do has the gate request actions.
func (s *server) do(recorder *gateRecorder, actions ...gate.Action) {
	recorder.actions = actions
	s.step(time.Now(), gate.Tick{})
}

// suspendAction returns the suspension of the first attempt of request r1.
func suspendAction(try uint32) gate.SuspendEngine {
	return gate.SuspendEngine{
		Attempt: &wire.AttemptID{Request: "r1", Number: 1}, Stream: "r1.1", Targets: []string{"10.0.0.9:9000"}, Try: try,
	}
}

// eventsOf returns the events of one type that the gate received.
func eventsOf[T gate.Event](r *gateRecorder) []T {
	var list []T
	for _, event := range r.events {
		if e, ok := event.(T); ok {
			list = append(list, e)
		}
	}
	return list
}

// outcomeOrder returns, in order, which ends and suspension answers the gate received.
func outcomeOrder(r *gateRecorder) []string {
	var order []string
	for _, event := range r.events {
		switch event.(type) {
		case gate.EngineSuspended:
			order = append(order, "suspended")
		case gate.EngineEnded:
			order = append(order, "ended")
		}
	}
	return order
}

// requireNoSuspendedRuns requires that neither the records nor the gauge hold a suspended run.
func (s *server) requireNoSuspendedRuns(t *testing.T) {
	t.Helper()
	require.Empty(t, s.runs)
	require.Zero(t, s.suspendedRuns)
	require.Zero(t, s.meter.set.GetOrCreateGauge(metricSuspended, nil).Get())
}

// metricsText returns the metrics of a server.
func (s *server) metricsText() string {
	var text bytes.Buffer
	s.meter.write(&text)
	return text.String()
}

// withSuspendedRun runs a test with a run that an engine of the own protocol has suspended after some tokens.
func withSuspendedRun(t *testing.T, test func(s *server, recorder *gateRecorder, model *standin.Server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		wires := memory.New()
		options := slowModel()
		options.Network = wires.Host(engineHost)
		options.Listen = engineHost + ":0"
		model := standin.New(options)
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- model.Run(ctx) }()
		<-model.Ready()
		client, err := engine.NewHTTP(model.URL(), engine.HTTPOptions{Network: wires.Host(agentHost)})
		require.NoError(t, err)
		s, recorder := newTestServer(ctx, client)
		s.record.Suspends, s.record.SuspendedMs = true, 5000
		defer func() {
			client.Close()
			stop()
			require.NoError(t, <-done)
		}()

		s.do(recorder, gate.StartEngine{Dispatch: completionDispatch("r1", 1)})
		time.Sleep(550 * time.Millisecond)
		s.applyInputs()
		s.do(recorder, suspendAction(1))
		s.applyInputs()
		answers := eventsOf[gate.EngineSuspended](recorder)
		require.Len(t, answers, 1)
		require.NoError(t, answers[0].Err)
		require.Equal(t, uint32(1), answers[0].Try)
		require.Equal(t, []string{"suspended", "ended"}, outcomeOrder(recorder))
		require.Equal(t, 1, s.suspendedRuns)
		require.InDelta(t, 1, s.meter.set.GetOrCreateGauge(metricSuspended, nil).Get(), 0)
		test(s, recorder, model)
	})
}

// suspensionFrom returns the suspension that the gate was told of.
func suspensionFrom(recorder *gateRecorder) engine.Suspension {
	return eventsOf[gate.EngineSuspended](recorder)[0].Suspension
}

func resumeAction(recorder *gateRecorder) gate.StartEngine {
	suspension := suspensionFrom(recorder)
	return gate.StartEngine{Dispatch: completionDispatch("r1", 1), Resume: &suspension}
}

// Guards against a resumed stream with a missing or doubled event, a second start of the run, and a record or count of
// the suspended run that is left after its end.
func TestResumedRunContinuesAfterItsLastEvent(t *testing.T) {
	withSuspendedRun(t, func(s *server, recorder *gateRecorder, model *standin.Server) {
		time.Sleep(2 * time.Second)
		s.do(recorder, resumeAction(recorder))
		time.Sleep(time.Minute)
		s.applyInputs()
		ends := eventsOf[gate.EngineEnded](recorder)
		require.Len(t, ends, 2)
		assert.Equal(t, engine.EndSuspended, ends[0].Outcome.End)
		assert.Equal(t, engine.EndCompleted, ends[1].Outcome.End)
		assert.Equal(t, 20, ends[1].Outcome.Tokens)
		want, err := standin.CompletionText([]byte(chatBody), "sample", 20)
		require.NoError(t, err)
		assert.Equal(t, want, contentOf(recorder))
		assert.Equal(t, 1, model.Stats().Starts["r1.1"])
		s.requireNoSuspendedRuns(t)
		text := s.metricsText()
		assert.Contains(t, text, metricSuspensions+`{outcome="suspended"} 1`)
		assert.Contains(t, text, metricSuspensionEnd+`{reason="resumed"} 1`)
		assert.Contains(t, text, metricSuspendedTime+"_count 1")
	})
}

// contentOf returns the text of a chat stream.
func contentOf(recorder *gateRecorder) string {
	var text strings.Builder
	for _, progress := range eventsOf[gate.EngineProgress](recorder) {
		for _, event := range progress.Events {
			_, rest, _ := strings.Cut(string(event), `"content":"`)
			content, _, _ := strings.Cut(rest, `"`)
			text.WriteString(content)
		}
	}
	return text.String()
}

// Guards against an engine that ends while it holds suspended runs: the resumption must fail as one whose memory is
// gone, and leave no record.
func TestEngineEndsWhileARunIsSuspended(t *testing.T) {
	withSuspendedRun(t, func(s *server, recorder *gateRecorder, model *standin.Server) {
		model.Crash(0)
		s.do(recorder, resumeAction(recorder))
		s.applyInputs()
		ends := eventsOf[gate.EngineEnded](recorder)
		require.Len(t, ends, 2)
		require.ErrorIs(t, ends[1].Err, engine.ErrNeverSent)
		require.ErrorIs(t, ends[1].Err, engine.ErrUnknownStream)
		s.requireNoSuspendedRuns(t)
		assert.Contains(t, s.metricsText(), metricSuspensions+`{outcome="handle_lost"} 1`)
	})
}

// Guards against a run that is sent regardless of what its caller reads after its engine refused to suspend it, and against
// a cancel whose stream end is not read because a refused suspension came between.
func TestRefusedSuspensionRestoresTheWindow(t *testing.T) {
	refusals := map[string]error{
		"busy":    &engine.CallError{Call: "suspend", Class: engine.ErrBusy},
		"no room": &engine.CallError{Call: "suspend", Class: engine.ErrNoRoom},
		"unknown": &engine.CallError{Call: "suspend", Class: engine.ErrOutcomeUnknown},
		"stopped": nil,
	}
	for name, refusal := range refusals {
		for _, cancelled := range []bool{false, true} {
			t.Run(name+" cancelled="+strconv.FormatBool(cancelled), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					stop, answer := make(chan struct{}), make(chan struct{})
					client := &suspendableEngine{
						runRequest: func(context.Context, engine.Request, engine.Sink) (engine.Outcome, error) {
							<-stop
							return engine.Outcome{End: engine.EndCompleted}, nil
						},
						suspend: func(context.Context) (engine.Suspension, error) {
							<-answer
							return testSuspension, refusal
						},
					}
					client.cancel = func() (engine.CancelResult, error) { return engine.CancelNone, nil }
					s, recorder := newTestServer(t.Context(), client)
					s.do(recorder, gate.StartEngine{Dispatch: completionDispatch("r1", 1)})
					s.do(recorder, suspendAction(1))
					r := s.runs[attemptKey{"r1", 1}]
					assert.True(t, r.window.lifted)
					if cancelled {
						s.do(recorder, gate.CancelEngine{Attempt: r.dispatch.GetAttempt(), Stream: "r1.1", Try: 1})
					}
					close(answer)
					s.applyInputs()
					assert.Equal(t, refusal == nil || cancelled, r.window.lifted)
					close(stop)
					s.applyInputs()
				})
			})
		}
	}
}

// Guards against records of suspended runs that stay for ever, because the gate ended the attempt without an action or
// was replaced. A resumption after that must not start the run anew.
func TestExpiredSuspensionLeavesNoRecord(t *testing.T) {
	withSuspendedRun(t, func(s *server, recorder *gateRecorder, model *standin.Server) {
		time.Sleep(5*time.Second + expiryGrace - time.Millisecond)
		s.dropExpired(time.Now())
		require.Len(t, s.runs, 1)
		time.Sleep(time.Millisecond)
		s.dropExpired(time.Now())
		s.requireNoSuspendedRuns(t)
		s.do(recorder, resumeAction(recorder))
		s.applyInputs()
		ends := eventsOf[gate.EngineEnded](recorder)
		require.ErrorIs(t, ends[len(ends)-1].Err, engine.ErrNeverSent)
		require.ErrorIs(t, ends[len(ends)-1].Err, engine.ErrUnknownStream)
		assert.Equal(t, 1, model.Stats().Starts["r1.1"])
		assert.Contains(t, s.metricsText(), metricSuspensionEnd+`{reason="expired"} 1`)
	})
}

// Guards against an event loop that never looks for expired suspensions, and one that leaves the records of suspended runs
// when its server is removed.
func TestEventLoopDropsSuspendedRuns(t *testing.T) {
	cases := map[string]struct {
		runsFor time.Duration
		reason  string
	}{
		"the handle expires":    {runsFor: 5*time.Second + expiryGrace + gate.TickInterval, reason: endExpired},
		"the server is removed": {runsFor: time.Second, reason: endRemoved},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withSuspendedRun(t, func(s *server, _ *gateRecorder, _ *standin.Server) {
				ctx, stop := context.WithCancel(context.Background())
				ended := make(chan struct{})
				go func() {
					defer close(ended)
					s.run(ctx)
				}()
				time.Sleep(c.runsFor)
				stop()
				<-ended
				s.requireNoSuspendedRuns(t)
				assert.Contains(t, s.metricsText(), metricSuspensionEnd+`{reason="`+c.reason+`"} 1`)
			})
		})
	}
}

// Guards against memory and records that are kept for a caller who left while the run was suspended.
func TestDiscardedRunIsForgotten(t *testing.T) {
	withSuspendedRun(t, func(s *server, recorder *gateRecorder, _ *standin.Server) {
		suspension := suspensionFrom(recorder)
		s.do(recorder, gate.DiscardSuspended{Attempt: &wire.AttemptID{Request: "r1", Number: 1}, Suspension: suspension})
		s.requireNoSuspendedRuns(t)
		synctest.Wait()
		client, ok := s.client.(engine.Suspender)
		require.True(t, ok)
		require.ErrorIs(t, client.Discard(context.Background(), suspension), engine.ErrUnknownStream)
	})
}

// Guards against records of suspended runs that outlive the event loop of a removed server, and are counted for ever.
func TestRemovedServerLeavesNoSuspendedRun(t *testing.T) {
	withSuspendedRun(t, func(s *server, _ *gateRecorder, _ *standin.Server) {
		s.closeRuns()
		s.requireNoSuspendedRuns(t)
	})
}

// Guards against a second run of a suspended attempt from the beginning.
func TestSuspendedAttemptIsNotStartedAnew(t *testing.T) {
	withSuspendedRun(t, func(s *server, recorder *gateRecorder, model *standin.Server) {
		s.do(recorder, gate.StartEngine{Dispatch: completionDispatch("r1", 1)})
		s.applyInputs()
		ends := eventsOf[gate.EngineEnded](recorder)
		require.ErrorIs(t, ends[len(ends)-1].Err, errNotDispatched)
		assert.Equal(t, 1, model.Stats().Starts["r1.1"])
		assert.Len(t, s.runs, 1)
	})
}

// Guards against a repeated suspension that hears that the run has ended, although it is suspended: the gate asks again
// after a lost answer.
func TestSuspensionOfASuspendedRun(t *testing.T) {
	withSuspendedRun(t, func(s *server, recorder *gateRecorder, model *standin.Server) {
		s.do(recorder, suspendAction(2))
		answers := eventsOf[gate.EngineSuspended](recorder)
		require.Len(t, answers, 2)
		require.NoError(t, answers[1].Err)
		require.Equal(t, uint32(2), answers[1].Try)
		require.Equal(t, answers[0].Suspension, answers[1].Suspension)
		require.EqualValues(t, 1, model.Stats().Suspensions)
	})
}

// Guards against suspended runs that are lost when the agent stops: it takes no new work, but a resumption is none.
func TestStoppingAgentResumesRuns(t *testing.T) {
	withSuspendedRun(t, func(s *server, recorder *gateRecorder, _ *standin.Server) {
		s.ready.stop()
		s.do(recorder, resumeAction(recorder))
		time.Sleep(time.Minute)
		s.applyInputs()
		ends := eventsOf[gate.EngineEnded](recorder)
		require.NoError(t, ends[len(ends)-1].Err)
		assert.Equal(t, engine.EndCompleted, ends[len(ends)-1].Outcome.End)
	})
}

// Guards against a cancel from the time of the suspension whose answer, "no such stream", arrives after the resumption
// and counts as a proof that the running attempt is over.
func TestCancelOfASuspendedRunIsNoProofAfterItsResumption(t *testing.T) {
	withSuspendedRun(t, func(s *server, recorder *gateRecorder, _ *standin.Server) {
		old := s.runs[attemptKey{"r1", 1}]
		time.Sleep(time.Second)
		cancel := gate.CancelEngine{Attempt: old.dispatch.GetAttempt(), Stream: "r1.1", Try: 1}
		answer := cancelResult{action: cancel, run: old, sentAt: time.Now(), result: engine.CancelUnknownID}
		s.do(recorder, resumeAction(recorder))
		answer.apply(s, time.Now())
		require.ErrorIs(t, recorder.cancels()[0].Err, errDispatchInFlight)
		require.Len(t, s.runs, 1)
		time.Sleep(time.Minute)
		s.applyInputs()
	})
}

// verbatimDispatch returns a dispatch that is forwarded as its caller wrote it.
func verbatimDispatch() *wire.Dispatch {
	d := completionDispatch("r1", 1)
	d.Verbatim = true
	d.Work.RemainingMs = 60_000
	return d
}

// Guards against a resumption of a verbatim stream that asks for the wrong position, sends the head twice, or gets the
// whole time of the request anew. Events that the engine sends in its last moment count.
func TestResumedVerbatimRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests []engine.Request
		stop := make(chan struct{})
		client := &suspendableEngine{suspend: func(context.Context) (engine.Suspension, error) { return testSuspension, nil }}
		client.runRequest = func(_ context.Context, request engine.Request, sink engine.Sink) (engine.Outcome, error) {
			requests = append(requests, request)
			if request.Resume != nil {
				require.NoError(t, sink.Chunk(engine.Chunk{Index: 8, Tokens: 4, Data: []byte("id: 3\n\n")}))
				return engine.Outcome{End: engine.EndCompleted}, nil
			}
			require.NoError(t, sink.Chunk(engine.Chunk{Data: []byte("head")}))
			require.NoError(t, sink.Chunk(engine.Chunk{Tokens: 4, Data: []byte("id: 1\n\n")}))
			<-stop
			require.NoError(t, sink.Chunk(engine.Chunk{Index: 4, Tokens: 4, Data: []byte("id: 2\n\n")}))
			return suspendedOutcome(), nil
		}
		s, recorder := newTestServer(t.Context(), client)
		s.do(recorder, gate.StartEngine{Dispatch: verbatimDispatch()})
		s.applyInputs()
		s.do(recorder, suspendAction(1))
		s.applyInputs()
		close(stop)
		s.applyInputs()
		time.Sleep(20 * time.Second)
		s.do(recorder, gate.StartEngine{Dispatch: verbatimDispatch(), Resume: &testSuspension})
		s.applyInputs()
		require.Len(t, requests, 2)
		resumed := requests[1]
		assert.Equal(t, &testSuspension, resumed.Resume)
		assert.Equal(t, 8, resumed.ResumeTokens)
		assert.Equal(t, "id: 2\n\n", string(resumed.Verbatim.LastEvent))
		assert.True(t, resumed.Verbatim.SkipHead)
		assert.Equal(t, 40*time.Second, resumed.Verbatim.Remaining)
		assert.Nil(t, requests[0].Resume)
		assert.Empty(t, requests[0].Verbatim.LastEvent)
		s.requireNoSuspendedRuns(t)
	})
}

// Guards against a gate that hears of the end of a stopped call before it knows of the suspension, and against a lost
// answer after which a stopped run counts as running: its own stream has shown that it was stopped.
func TestStreamEndBeforeTheAnswerOfTheSuspension(t *testing.T) {
	cases := map[string]error{
		"the answer arrives": nil,
		"the answer is lost": &engine.CallError{Call: "suspend", Class: engine.ErrOutcomeUnknown},
	}
	for name, answerErr := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				stop, answer := make(chan struct{}), make(chan struct{})
				client := &suspendableEngine{
					runRequest: func(context.Context, engine.Request, engine.Sink) (engine.Outcome, error) {
						<-stop
						return suspendedOutcome(), nil
					},
					suspend: func(context.Context) (engine.Suspension, error) {
						<-answer
						if answerErr != nil {
							return engine.Suspension{}, answerErr
						}
						return testSuspension, nil
					},
				}
				s, recorder := newTestServer(t.Context(), client)
				s.do(recorder, gate.StartEngine{Dispatch: completionDispatch("r1", 1)})
				s.do(recorder, suspendAction(1))
				close(stop)
				s.applyInputs()
				require.Empty(t, outcomeOrder(recorder))
				close(answer)
				s.applyInputs()
				require.Equal(t, []string{"suspended", "ended"}, outcomeOrder(recorder))
				suspended := eventsOf[gate.EngineSuspended](recorder)[0]
				require.NoError(t, suspended.Err)
				require.Equal(t, testSuspension, suspended.Suspension)
				require.Len(t, s.runs, 1)
			})
		})
	}
}

// Guards against a suspension whose memory is kept because the caller left before the stopped call had returned.
func TestDiscardBeforeTheEndOfTheStoppedCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		stop := make(chan struct{})
		client := &suspendableEngine{
			runRequest: func(context.Context, engine.Request, engine.Sink) (engine.Outcome, error) {
				<-stop
				return suspendedOutcome(), nil
			},
			suspend: func(context.Context) (engine.Suspension, error) { return testSuspension, nil },
		}
		s, recorder := newTestServer(t.Context(), client)
		s.do(recorder, gate.StartEngine{Dispatch: completionDispatch("r1", 1)})
		s.do(recorder, suspendAction(1))
		s.applyInputs()
		s.do(recorder, gate.DiscardSuspended{Attempt: &wire.AttemptID{Request: "r1", Number: 1}, Suspension: testSuspension})
		close(stop)
		s.applyInputs()
		s.requireNoSuspendedRuns(t)
		require.Equal(t, []engine.Suspension{testSuspension}, client.discarded)
	})
}

// Guards against memory of a suspended run that is kept after its cancellation, where the engine only says that it runs
// no such stream.
func TestCancelOfASuspendedRunFreesItsMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &suspendableEngine{
			runRequest: func(context.Context, engine.Request, engine.Sink) (engine.Outcome, error) {
				return suspendedOutcome(), nil
			},
			suspend: func(context.Context) (engine.Suspension, error) { return testSuspension, nil },
		}
		client.cancel = func() (engine.CancelResult, error) { return engine.CancelUnknownID, nil }
		s, recorder := newTestServer(t.Context(), client)
		s.do(recorder, gate.StartEngine{Dispatch: completionDispatch("r1", 1)})
		s.applyInputs()
		time.Sleep(maxDispatchDelay)
		s.do(recorder, gate.CancelEngine{Attempt: &wire.AttemptID{Request: "r1", Number: 1}, Stream: "r1.1", Try: 1})
		s.applyInputs()
		require.NoError(t, recorder.cancels()[0].Err)
		require.Equal(t, []engine.Suspension{testSuspension}, client.discarded)
		s.requireNoSuspendedRuns(t)
	})
}

// Guards against a discard that is given up after one lost call, or repeated for ever.
func TestDiscardIsRepeatedAFewTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &suspendableEngine{discardErr: &engine.CallError{Call: "discard", Class: engine.ErrOutcomeUnknown}}
		s, recorder := newTestServer(t.Context(), client)
		s.do(recorder, gate.DiscardSuspended{Attempt: &wire.AttemptID{Request: "r1", Number: 1}, Suspension: testSuspension})
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Len(t, client.discarded, discardTries)
		require.Contains(t, s.metricsText(), metricSuspensions+`{outcome="discard_failed"} 1`)
	})
}

// Guards against a suspension without an answer, with two, or with the wrong error. The gate would wait for it for ever,
// or ask again for a run that can't be suspended.
func TestSuspensionThatIsNotPassedToTheEngine(t *testing.T) {
	blocked := func(ctx context.Context) (engine.Outcome, error) {
		<-ctx.Done()
		return engine.Outcome{}, &engine.CallError{Call: "run", Class: engine.ErrOutcomeUnknown}
	}
	suspendable := &suspendableEngine{
		runRequest: func(ctx context.Context, _ engine.Request, _ engine.Sink) (engine.Outcome, error) {
			return blocked(ctx)
		},
		suspend: func(ctx context.Context) (engine.Suspension, error) {
			<-ctx.Done()
			return engine.Suspension{}, &engine.CallError{Call: "suspend", Class: engine.ErrOutcomeUnknown}
		},
	}
	cases := map[string]struct {
		client  engine.Client
		running bool
		asked   int // earlier suspensions without an answer yet
		want    []error
	}{
		"an engine that can't suspend": {client: &scriptedEngine{run: blocked}, running: true, want: []error{engine.ErrUnsupported}},
		"an attempt that doesn't run":  {client: suspendable, want: []error{engine.ErrUnknownStream}},
		"a suspension in progress": {
			client: suspendable, running: true, asked: 1,
			want: []error{engine.ErrBusy, engine.ErrOutcomeUnknown},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				s, recorder := newTestServer(ctx, c.client)
				if c.running {
					s.do(recorder, gate.StartEngine{Dispatch: completionDispatch("r1", 1)})
				}
				for try := range c.asked + 1 {
					s.do(recorder, suspendAction(uint32(try)))
				}
				time.Sleep(engineCallTimeout)
				s.applyInputs()
				answers := eventsOf[gate.EngineSuspended](recorder)
				require.Len(t, answers, len(c.want))
				for i, want := range c.want {
					require.ErrorIs(t, answers[i].Err, want)
				}
				if c.running {
					require.Len(t, s.runs, 1, "the run goes on")
				}
			})
		})
	}
}

// Guards against settings of the suspension that don't reach the gates.
func TestSuspensionSettingsReachTheGate(t *testing.T) {
	var a Agent
	a.settings.Suspension.Enabled, a.settings.Suspension.MaxPerRun = true, 2
	require.Equal(t, gate.SuspensionConfig{Enabled: true, MaxPerRun: 2}, a.suspensionConfig())
}

// Guards against the head of a verbatim answer that is named as the last event of its stream, or sent twice.
func TestHeadIsNotTheLastEvent(t *testing.T) {
	head := engine.Chunk{Data: []byte("head")}
	event := engine.Chunk{Tokens: 1, Data: []byte("id: 1\n\n")}
	cases := map[string]struct {
		resumed   bool // the dispatch resumes an earlier attempt, whose head the caller has
		chunks    []engine.Chunk
		lastEvent string
		skipHead  bool
	}{
		"nothing received":  {},
		"only the head":     {chunks: []engine.Chunk{head}, skipHead: true},
		"an event":          {chunks: []engine.Chunk{head, event}, lastEvent: "id: 1\n\n", skipHead: true},
		"an event, comment": {chunks: []engine.Chunk{head, event, {Data: []byte(": c\n")}}, lastEvent: "id: 1\n\n", skipHead: true},
		"resumed attempt":   {resumed: true, lastEvent: "id: 0\n\n", skipHead: true},
		"resumed and event": {resumed: true, chunks: []engine.Chunk{event}, lastEvent: "id: 1\n\n", skipHead: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			dispatch := verbatimDispatch()
			if c.resumed {
				dispatch.ResumeFrom, dispatch.LastEvent = 2, []byte("id: 0\n\n")
			}
			r := newRun(dispatch, nil, nil)
			sink := &runSink{run: r, notify: func(*engineRun) error { return nil }}
			for _, chunk := range c.chunks {
				require.NoError(t, sink.Chunk(chunk))
			}
			next := r.resumed(testSuspension)
			request := next.continueAfter(next.verbatimRequest())
			require.Equal(t, c.lastEvent, string(request.Verbatim.LastEvent))
			require.Equal(t, c.skipHead, request.Verbatim.SkipHead)
		})
	}
}

// Guards against a resumed run that isn't held to the event that is due.
func TestResumedRunSaysWhetherEventsAreConsecutive(t *testing.T) {
	for name, test := range map[string]struct {
		dispatch *wire.Dispatch
		ids      []string
		want     bool
	}{
		"consecutive":            {&wire.Dispatch{}, []string{"1", "2"}, true},
		"a gap":                  {&wire.Dispatch{}, []string{"1", "3"}, false},
		"one event":              {&wire.Dispatch{}, []string{"1"}, false},
		"after consecutive ones": {&wire.Dispatch{ResumeFrom: 3, LastEvent: []byte("id: 2\n\n"), Consecutive: true}, []string{"3"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			test.dispatch.Verbatim = true
			r := newRun(test.dispatch, nil, nil)
			if test.dispatch.GetResumeFrom() == 0 {
				r.received.receive(true, []byte("head"), 0)
			}
			for _, id := range test.ids {
				r.received.receive(true, []byte("id: "+id+"\ndata: x\n\n"), 0)
			}
			resumed := r.resumed(engine.Suspension{Handle: "h"})
			require.Equal(t, test.want, resumed.continueAfter(resumed.verbatimRequest()).Verbatim.Consecutive)
		})
	}
}
