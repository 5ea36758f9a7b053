package engine_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/engine/standin"
)

// suspendTargets is one target; the stand-in doesn't connect to it.
var suspendTargets = []string{"10.0.1.99:9000"}

// runCall is a Run in its own goroutine.
type runCall struct {
	sink    *recorder
	outcome engine.Outcome
	err     error
	done    chan struct{}
}

func startRun(ctx context.Context, client engine.Client, request engine.Request) *runCall {
	r := &runCall{sink: new(recorder), done: make(chan struct{})}
	go func() {
		defer close(r.done)
		r.outcome, r.err = client.Run(ctx, request, r.sink)
	}()
	return r
}

// singleSlot returns options of an engine with one slot, and 100 ms per token.
func singleSlot() standin.Options {
	options := standin.ModelDefaults()
	options.Slots = 1
	options.DecodePace = 100 * time.Millisecond
	return options
}

// suspendAfter starts a run and suspends it after the given time.
func suspendAfter(t *testing.T, client *engine.HTTP, id engine.AttemptID, after time.Duration) (*runCall, engine.Suspension) {
	run := startRun(t.Context(), client, chatRequest(id))
	time.Sleep(after)
	suspension, err := client.Suspend(t.Context(), id, suspendTargets)
	require.NoError(t, err)
	<-run.done
	require.NoError(t, run.err)
	require.Equal(t, engine.EndSuspended, run.outcome.End)
	require.Equal(t, suspension, run.outcome.Suspension)
	return run, suspension
}

func resumeRequest(id engine.AttemptID, suspension engine.Suspension, tokens int) engine.Request {
	request := chatRequest(id)
	request.Resume = &suspension
	request.ResumeTokens = tokens
	return request
}

// Guards against a resumed stream with a missing or doubled event, against a slot that stays
// occupied while a run is suspended, and against counting the resumption as a second start.
func TestSuspendedRunContinuesWithoutGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		server, client := f.start(singleSlot())
		first, suspension := suspendAfter(t, client, "r.1", 350*time.Millisecond)
		assert.Positive(t, suspension.Events)
		assert.Equal(t, suspension.Events, first.outcome.Tokens)

		urgent := startRun(t.Context(), client, chatRequest("u.1"))
		<-urgent.done
		require.NoError(t, urgent.err)
		assert.Equal(t, engine.EndCompleted, urgent.outcome.End)

		second := startRun(t.Context(), client, resumeRequest("r.1", suspension, first.outcome.Tokens))
		<-second.done
		require.NoError(t, second.err)
		assert.Equal(t, engine.EndCompleted, second.outcome.End)
		assert.Equal(t, 8, second.outcome.Tokens)
		assert.Equal(t, expectedText(t, 8), first.sink.text()+second.sink.text())
		assert.Equal(t, first.outcome.Tokens, second.sink.chunks[0].Index, "no second head")
		assert.Equal(t, 1, server.Stats().Starts["r.1"])
		assert.Zero(t, server.Stats().Overlaps)
	})
}

// Guards against a resumed run that waits behind requests which arrived later.
func TestResumedRunIsAdmittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, client := newFixture(t).start(singleSlot())
		first, suspension := suspendAfter(t, client, "r.1", 350*time.Millisecond)
		running := startRun(t.Context(), client, chatRequest("u.1"))
		time.Sleep(50 * time.Millisecond)
		waiting := startRun(t.Context(), client, chatRequest("u.2"))
		time.Sleep(50 * time.Millisecond)
		resumed := startRun(t.Context(), client, resumeRequest("r.1", suspension, first.outcome.Tokens))
		<-running.done
		<-resumed.done
		require.NoError(t, resumed.err)
		select {
		case <-waiting.done:
			t.Error("the waiting request ran before the resumed one")
		default:
		}
		<-waiting.done
	})
}

// Guards against a run that counts as ended, or as complete, when the answer of its suspension is
// lost: its stream reports the handle.
func TestLostAnswerOfSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server, client := newFixture(t).start(singleSlot())
		require.NoError(t, server.SetFaults(standin.Faults{LoseSuspension: true}))
		run := startRun(t.Context(), client, chatRequest("r.1"))
		time.Sleep(350 * time.Millisecond)
		_, err := client.Suspend(t.Context(), "r.1", suspendTargets)
		require.ErrorIs(t, err, engine.ErrOutcomeUnknown)
		<-run.done
		require.NoError(t, run.err)
		assert.Equal(t, engine.EndSuspended, run.outcome.End)
		assert.NotEmpty(t, run.outcome.Suspension.Handle)
		_, err = client.Suspend(t.Context(), "r.1", suspendTargets)
		assert.ErrorIs(t, err, engine.ErrUnknownStream)
	})
}

// Guards against a refused suspension that stops the run, and against refusals that are mixed up.
func TestRefusedSuspensionLeavesTheRun(t *testing.T) {
	cases := map[string]struct {
		refuse  string
		id      engine.AttemptID
		targets []string
		want    error
	}{
		"no room at a target": {refuse: standin.SuspensionNoRoom, id: "r.1", targets: suspendTargets, want: engine.ErrNoRoom},
		"no target":           {id: "r.1", want: engine.ErrNoRoom},
		"in progress":         {refuse: standin.SuspensionBusy, id: "r.1", targets: suspendTargets, want: engine.ErrBusy},
		"another stream":      {id: "r.9", targets: suspendTargets, want: engine.ErrUnknownStream},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, client := newFixture(t).start(singleSlot())
				require.NoError(t, server.SetFaults(standin.Faults{RefuseSuspension: c.refuse}))
				run := startRun(t.Context(), client, chatRequest("r.1"))
				time.Sleep(350 * time.Millisecond)
				_, err := client.Suspend(t.Context(), c.id, c.targets)
				require.ErrorIs(t, err, c.want)
				<-run.done
				require.NoError(t, run.err)
				assert.Equal(t, engine.EndCompleted, run.outcome.End)
				assert.Equal(t, expectedText(t, 8), run.sink.text())
			})
		})
	}
}

// Guards against a handle that is used twice, after its time, after it was discarded, after the
// end of its server, or where the server refuses it: the run must not start from the beginning.
func TestHandleThatIsGone(t *testing.T) {
	cases := map[string]func(t *testing.T, server *standin.Server, client *engine.HTTP, s engine.Suspension){
		"expired": func(*testing.T, *standin.Server, *engine.HTTP, engine.Suspension) { time.Sleep(5 * time.Second) },
		"discarded": func(t *testing.T, _ *standin.Server, client *engine.HTTP, s engine.Suspension) {
			require.NoError(t, client.Discard(t.Context(), s))
			require.ErrorIs(t, client.Discard(t.Context(), s), engine.ErrUnknownStream)
		},
		"crashed": func(_ *testing.T, server *standin.Server, _ *engine.HTTP, _ engine.Suspension) { server.Crash(0) },
		"refused": func(t *testing.T, server *standin.Server, _ *engine.HTTP, _ engine.Suspension) {
			require.NoError(t, server.SetFaults(standin.Faults{RefuseHandle: true}))
		},
		"cancelled": func(t *testing.T, _ *standin.Server, client *engine.HTTP, _ engine.Suspension) {
			result, err := client.Cancel(t.Context(), "r.1")
			require.NoError(t, err)
			require.Equal(t, engine.CancelConfirmed, result)
		},
		"used": func(t *testing.T, _ *standin.Server, client *engine.HTTP, s engine.Suspension) {
			run := startRun(t.Context(), client, resumeRequest("r.1", s, s.Events))
			<-run.done
			require.NoError(t, run.err)
		},
	}
	for name, lose := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				server, client := newFixture(t).start(singleSlot())
				_, suspension := suspendAfter(t, client, "r.1", 350*time.Millisecond)
				lose(t, server, client, suspension)
				run := startRun(t.Context(), client, resumeRequest("r.1", suspension, suspension.Events))
				<-run.done
				require.ErrorIs(t, run.err, engine.ErrNeverSent)
				require.ErrorIs(t, run.err, engine.ErrUnknownStream)
				assert.Empty(t, run.sink.payloads)
				assert.Equal(t, 1, server.Stats().Starts["r.1"])
			})
		})
	}
}

// Guards against memory of suspended runs that is given to other requests while it is kept, or
// that is never freed.
func TestMemoryOfSuspendedRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		options := singleSlot()
		request := chatRequest("u.1")
		prompt, err := engine.ParsePrompt(request.Body)
		require.NoError(t, err)
		options.KVTokens = engine.EstimateTokens(len(prompt.Text)) + 8 // one request
		_, client := newFixture(t).start(options)
		suspendAfter(t, client, "r.1", 350*time.Millisecond)
		suspendedAt := time.Now()
		urgent := startRun(t.Context(), client, request)
		<-urgent.done
		require.NoError(t, urgent.err)
		assert.Equal(t, engine.EndCompleted, urgent.outcome.End)
		assert.Greater(t, time.Since(suspendedAt), 5*time.Second, "the memory is free once the handle has expired")
	})
}
