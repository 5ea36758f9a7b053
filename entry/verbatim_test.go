package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// recordingWriter records the answer that the caller of a verbatim call receives.
type recordingWriter struct {
	head  *wire.AnswerHead
	heads int
	body  strings.Builder

	completed int
}

// WriteHead implements AnswerWriter.
func (w *recordingWriter) WriteHead(head *wire.AnswerHead) (framing.Framing, error) {
	w.head = head
	w.heads++
	return framing.Chunked, nil
}

// Complete implements AnswerWriter.
func (w *recordingWriter) Complete() { w.completed++ }

// WriteBody implements AnswerWriter.
func (w *recordingWriter) WriteBody(data []byte) error {
	w.body.Write(data)
	return nil
}

func headEvent(t *testing.T, status uint32) string {
	t.Helper()
	data, err := proto.Marshal(&wire.AnswerHead{Status: status, Headers: []*wire.Header{
		{Name: "X-Theirs", Value: "1"}, {Name: "Content-Type", Value: "text/event-stream"},
	}})
	require.NoError(t, err)
	return string(data)
}

// newVerbatimHarness returns a harness whose entries route by a desired state: /stream/ to the model, /check/ and
// /hold/ to the service.
func newVerbatimHarness(t *testing.T) *harness {
	t.Helper()
	return newVerbatimHarnessWith(t, func(*settings.Entry) {})
}

func newVerbatimHarnessWith(t *testing.T, change func(*settings.Entry)) *harness {
	t.Helper()
	h := newHarness(t, 0)
	h.addEntry(func(s *settings.Entry) {
		s.Timing.VersionWait, s.Timing.StartWait = 0, 500*time.Millisecond
		change(s)
	})
	stream := testRoute("stream", "a.example", "/stream/", &wire.WeightedPool{Pool: "m", Weight: 1})
	stream.Class.Kind, stream.Class.Repeatable, stream.PauseMs, stream.MaxAttempts = settings.KindModel, true, 400, 2
	stream.ObjectiveMs = 500
	check := testRoute("check", "a.example", "/check/", &wire.WeightedPool{Pool: "registry", Weight: 1})
	check.Class.Repeatable, check.Public = true, true
	hold := testRoute("hold", "a.example", "/hold/", &wire.WeightedPool{Pool: "registry", Weight: 1})
	h.control.publish(func(v *session.View) {
		v.ConfigVersion = 2
		v.Desired = &wire.DesiredState{
			Version: 7,
			Routes:  []*wire.Route{stream, check, hold},
			Pools:   []*wire.Pool{{Name: "m", Kind: settings.KindModel}, {Name: "registry", Kind: settings.KindService}},
			Organisations: []*wire.Member{
				{Name: "compost", Keys: []string{"k1"}, RatePerS: 1, Burst: 10, CountsTokens: true, DefaultTokens: 2},
				{Name: "yatai", Keys: []string{"k2"}},
			},
		}
		v.Entries = map[string]*wire.EntryRecord{"entry-1": {Entry: "entry-1", Incarnation: h.entries[0].incarnation}}
	})
	synctest.Wait()
	return h
}

func verbatimCall(path, key string) *Call {
	return &Call{
		ID: "call", Method: http.MethodPost, Host: "a.example", Target: path + "x?q=1", Path: path + "x", Key: key,
		Headers: []*wire.Header{{Name: "X-Own", Value: "1"}}, Body: []byte("body"), Arrived: time.Now(), Timeout: 4 * time.Second,
	}
}

// exchange makes a call at the first entry.
func (h *harness) exchange(ctx context.Context, call *Call) (*recordingWriter, *result.Error) {
	w := new(recordingWriter)
	admission, err := h.entries[0].Admit(ctx, call)
	if err != nil {
		return w, err
	}
	return w, h.entries[0].Exchange(ctx, admission, call, w)
}

func TestVerbatimCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newVerbatimHarness(t)
		agent := h.addService(1)
		agent.setHandlers(func(d *receivedDispatch) { d.sendAnswer("", headEvent(t, 201), "first ", "second") }, nil)
		got, err := h.exchange(t.Context(), verbatimCall("/hold/", "k2"))
		require.Nil(t, err)
		require.EqualValues(t, 201, got.head.GetStatus())
		require.Equal(t, "X-Theirs", got.head.GetHeaders()[0].GetName())
		require.Equal(t, "first second", got.body.String())
		d := agent.dispatchList()[0].message
		require.True(t, d.GetVerbatim())
		require.Equal(t, "/hold/x?q=1", d.GetPath())
		require.Equal(t, "a.example", d.GetHost())
		require.Equal(t, "X-Own", d.GetHeaders()[0].GetName())
		require.Equal(t, "yatai", d.GetWork().GetOrganisation())
		require.False(t, d.GetWork().GetRepeatable())
		require.LessOrEqual(t, d.GetWork().GetRemainingMs(), uint32(1000), "the route's deadline is shorter than the caller's timeout")
	})
}

func TestVerbatimCallIsNotAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newVerbatimHarness(t)
		h.addService(1).setHandlers(func(d *receivedDispatch) { d.sendAnswer("", headEvent(t, 200)) }, nil)
		for code, call := range map[result.Code]*Call{
			result.UnknownRoute: verbatimCall("/nowhere/", "k1"),
			result.MissingKey:   verbatimCall("/hold/", ""),
			result.WrongKey:     verbatimCall("/hold/", "k3"),
		} {
			_, err := h.exchange(t.Context(), call)
			require.Equal(t, code, err.Code)
			require.Equal(t, result.RanNo, err.Ran)
		}
		_, err := h.exchange(t.Context(), verbatimCall("/check/", "k3"))
		require.Nil(t, err, "a public route needs no key")
	})
}

// A stream would break although another server could resume it, or contain two heads, if an answer's head were taken
// for an event of the stream or sent again. A server fails in the middle of a resumable stream.
func TestVerbatimStreamResumesOnAnotherServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newVerbatimHarness(t)
		one, two := h.addModel(1), h.addModel(2)
		head := headEvent(t, 200)
		answer := func(d *receivedDispatch) {
			if d.message.GetResumeFrom() == 0 {
				d.sendFrame(0, head, "id: 1\n\n", "id: 2\n\n")
				d.sendOver(&wire.Over{Proof: wire.Proof_PROOF_FAILED})
				return
			}
			d.sendFrame(uint64(d.message.GetResumeFrom()), "id: 3\n\n")
			digest := xxhash.New()
			_, _ = digest.WriteString("id: 3\n\n")
			d.sendOver(&wire.Over{Proof: wire.Proof_PROOF_COMPLETED, Answer: &wire.AnswerEnd{
				Events: 4, Bytes: 7, Digest: digest.Sum64(), Status: 200,
			}})
		}
		one.setHandlers(answer, nil)
		two.setHandlers(answer, nil)
		for _, a := range []*fakeAgent{one, two} {
			a.resumes = true
			a.announceRoom()
		}
		synctest.Wait()
		got, err := h.exchange(t.Context(), verbatimCall("/stream/", "k2"))
		require.Nil(t, err)
		require.Equal(t, 1, got.heads)
		require.Equal(t, "id: 1\n\nid: 2\n\nid: 3\n\n", got.body.String())
		all := append(one.dispatchList(), two.dispatchList()...)
		require.Len(t, all, 2)
		require.NotEqual(t, all[0].agent, all[1].agent)
		resumed := all[0].message
		if resumed.GetResumeFrom() == 0 {
			resumed = all[1].message
		}
		require.EqualValues(t, 3, resumed.GetResumeFrom())
		require.Equal(t, "id: 2\n\n", string(resumed.GetLastEvent()))
	})
}

// Guards against a stream that starts anew at another server, in the middle of an answer, since a comment was the last that
// came before the first server failed.
func TestStreamResumesAfterACommentAtItsLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newVerbatimHarness(t)
		head := headEvent(t, 200)
		agents := []*fakeAgent{h.addModel(1), h.addModel(2)}
		for _, a := range agents {
			a.resumes = true
			a.setHandlers(func(d *receivedDispatch) {
				if d.message.GetResumeFrom() == 0 {
					d.sendFrame(0, head, "id: 1\ndata: a\n\n", ": keep-alive\n", "\n")
				}
				d.sendOver(&wire.Over{Proof: wire.Proof_PROOF_FAILED})
			}, nil)
			a.announceRoom()
		}
		synctest.Wait()
		_, err := h.exchange(t.Context(), verbatimCall("/stream/", "k2"))
		require.NotNil(t, err)
		resumed := 0
		for _, a := range agents {
			for _, d := range a.dispatchList() {
				if d.message.GetResumeFrom() > 0 {
					resumed++
					require.Equal(t, "id: 1\ndata: a\n\n", string(d.message.GetLastEvent()))
				}
			}
		}
		require.Equal(t, 1, resumed)
	})
}

func TestVerbatimCallIsCancelledWhenCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newVerbatimHarness(t)
		agent := h.addModel(1)
		agent.holdDispatches()
		ctx, disconnect := context.WithCancel(t.Context())
		done := make(chan *result.Error, 1)
		go func() {
			_, err := h.exchange(ctx, verbatimCall("/stream/", "k2"))
			done <- err
		}()
		synctest.Wait()
		require.Equal(t, 1, agent.dispatchCount(""))
		disconnect()
		require.Nil(t, <-done)
		synctest.Wait()
		require.Equal(t, 1, agent.cancelCount())
	})
}

// An organisation would be refused within its cap if requests that were refused for other reasons, and did not run,
// counted towards it.
func TestRefusedCallsAreRefundedToUsageCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newVerbatimHarness(t)
		for range 30 {
			_, err := h.exchange(t.Context(), verbatimCall("/hold/", "k1"))
			require.Equal(t, result.RanNo, err.Ran)
			require.NotEqual(t, result.OverUsageCap, err.Code)
		}
		h.addService(1).setHandlers(func(d *receivedDispatch) { d.sendAnswer("", headEvent(t, 200)) }, nil)
		served := 0
		for range 30 {
			_, err := h.exchange(t.Context(), verbatimCall("/hold/", "k1"))
			if err == nil {
				served++
				continue
			}
			require.Equal(t, result.OverUsageCap, err.Code)
			require.Equal(t, result.RanNo, err.Ran)
			require.NotZero(t, err.RetryAfter)
		}
		require.Equal(t, 9, served, "the cap admits 18 units at 2 units a call")
	})
}

// Guards against a refusal for a used-up cap while control has not said so, as during an election: the caller is told
// something untrue, and comes back later than the next leader answers.
func TestCallIsHeldWhileControlHasNotAnsweredForItsShare(t *testing.T) {
	isMove := func(command *wire.Command) bool { return command.GetMoveShares() != nil }
	synctest.Test(t, func(t *testing.T) {
		h := newVerbatimHarness(t)
		h.addModel(1).setHandlers(func(d *receivedDispatch) { d.sendAnswer("", headEvent(t, 200)) }, nil)
		const late = 250 * time.Millisecond // more than quota.MaxShareWait, less than three quarters of the objective
		h.control.update(func() {
			h.control.delay = func(command *wire.Command) time.Duration {
				if isMove(command) {
					return late
				}
				return 0
			}
		})
		began := time.Now()
		_, err := h.exchange(t.Context(), verbatimCall("/stream/", "k1"))
		require.Nil(t, err)
		require.GreaterOrEqual(t, time.Since(began), late)
	})
	synctest.Test(t, func(t *testing.T) {
		h := newVerbatimHarness(t)
		h.addModel(1)
		h.control.update(func() {
			h.control.failBefore = func(command *wire.Command) error {
				if isMove(command) {
					return result.New(result.ControlUnavailable, "no leader")
				}
				return nil
			}
		})
		began := time.Now()
		_, err := h.exchange(t.Context(), verbatimCall("/stream/", "k1"))
		require.Equal(t, result.ControlUnavailable, err.Code)
		require.Equal(t, result.RanNo, err.Ran)
		require.NotZero(t, err.RetryAfter)
		require.LessOrEqual(t, time.Since(began), 500*time.Millisecond, "the objective")
	})
}

// Callers of an entry that is cut off from control would wait a second and be refused if the entry waited for a newer
// configuration, reported by agents, that it can't fetch.
func TestZeroVersionWaitServesWithOlderConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newVerbatimHarness(t)
		h.addService(1).setHandlers(func(d *receivedDispatch) { d.sendAnswer("", headEvent(t, 200)) }, nil)
		h.entries[0].observeVersion(99)
		began := time.Now()
		_, err := h.exchange(t.Context(), verbatimCall("/hold/", "k2"))
		require.Nil(t, err)
		require.Less(t, time.Since(began), 100*time.Millisecond)
	})
}

// After all machines restart, the requests of a fifth of a second would be refused, and their callers retry later than
// that, if an entry that listens before control has confirmed its state refused calls at once instead of waiting
// briefly.
func TestCallWaitsWhileEntryStarts(t *testing.T) {
	cases := map[string]struct {
		readyAfter, timeout time.Duration
		served              bool
	}{
		"ready soon":     {200 * time.Millisecond, 4 * time.Second, true},
		"ready too late": {time.Second, 4 * time.Second, false},
		"ready after a quarter of the caller's timeout": {200 * time.Millisecond, 400 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newVerbatimHarness(t)
				h.addService(1).setHandlers(func(d *receivedDispatch) { d.sendAnswer("", headEvent(t, 200)) }, nil)
				setReady := func(err error) { h.control.update(func() { h.control.ready = err }) }
				setReady(result.New(result.Starting, "not confirmed"))
				defer time.AfterFunc(c.readyAfter, func() { setReady(nil) }).Stop()
				call := verbatimCall("/hold/", "k2")
				call.Arrived, call.Timeout = time.Now(), c.timeout
				_, err := h.exchange(t.Context(), call)
				if c.served {
					require.Nil(t, err)
					return
				}
				require.Equal(t, result.Starting, err.Code)
				require.Equal(t, result.RanNo, err.Ran)
				require.Less(t, time.Since(call.Arrived), c.timeout/startWaitDivisor+100*time.Millisecond)
			})
		})
	}
}

// Guards against an empty answer that looks whole: an agent reports an answer as complete of which not even the head has come.
func TestAnswerWithoutAHeadIsNotWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newVerbatimHarness(t)
		h.addService(1).setHandlers(func(d *receivedDispatch) { d.sendAnswer("") }, nil)
		h.addModel(2).setHandlers(func(d *receivedDispatch) { d.sendAnswer("") }, nil)
		for _, path := range []string{"/hold/", "/stream/"} {
			got, err := h.exchange(t.Context(), verbatimCall(path, "k2"))
			require.Zero(t, got.completed, path)
			require.NotNil(t, err, path)
			require.Equal(t, result.AnswerIncomplete, err.Code)
			require.Equal(t, result.RanYes, err.Ran)
		}
	})
}
