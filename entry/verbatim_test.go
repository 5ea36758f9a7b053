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

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// written is what a caller of a verbatim call has got.
type written struct {
	head  *wire.AnswerHead
	heads int
	body  strings.Builder
}

// WriteHead implements AnswerWriter.
func (w *written) WriteHead(head *wire.AnswerHead) error {
	w.head = head
	w.heads++
	return nil
}

// WriteBody implements AnswerWriter.
func (w *written) WriteBody(data []byte) error {
	w.body.Write(data)
	return nil
}

func headEvent(t *testing.T, status uint32) string {
	t.Helper()
	data, err := proto.Marshal(&wire.AnswerHead{Status: status, Headers: []*wire.Header{{Name: "X-Theirs", Value: "1"}}})
	require.NoError(t, err)
	return string(data)
}

// verbatimRig is a rig whose entries route by a desired state: /stream/ to the model, /check/ and /hold/ to the service.
func verbatimRig(t *testing.T) *rig {
	t.Helper()
	r := newRig(t, 0)
	r.addEntry(func(s *settings.Entry) { s.Timing.VersionWait, s.Timing.StartWait = 0, 500*time.Millisecond })
	stream := testRoute("stream", "a.example", "/stream/", &wire.WeightedPool{Pool: "m", Weight: 1})
	stream.Class.Kind, stream.Class.Repeatable, stream.PauseMs, stream.MaxAttempts = settings.KindModel, true, 400, 2
	stream.ObjectiveMs = 500
	check := testRoute("check", "a.example", "/check/", &wire.WeightedPool{Pool: "registry", Weight: 1})
	check.Class.Repeatable, check.Public = true, true
	hold := testRoute("hold", "a.example", "/hold/", &wire.WeightedPool{Pool: "registry", Weight: 1})
	r.control.publish(func(v *session.View) {
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
		v.Entries = map[string]*wire.EntryRecord{"entry-1": {Entry: "entry-1", Incarnation: r.entries[0].incarnation}}
	})
	synctest.Wait()
	return r
}

func verbatimCall(path, key string) *Call {
	return &Call{
		ID: "call", Method: http.MethodPost, Host: "a.example", Target: path + "x?q=1", Path: path + "x", Key: key,
		Headers: []*wire.Header{{Name: "X-Own", Value: "1"}}, Body: []byte("body"), Arrived: time.Now(), Timeout: 4 * time.Second,
	}
}

// exchange makes a call at the first entry.
func (r *rig) exchange(ctx context.Context, call *Call) (*written, *result.Error) {
	w := new(written)
	admission, err := r.entries[0].Admit(ctx, call)
	if err != nil {
		return w, err
	}
	return w, r.entries[0].Exchange(ctx, admission, call, w)
}

func TestVerbatimCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := verbatimRig(t)
		agent := r.addService(1)
		agent.script(func(d *dispatched) { d.answer("", headEvent(t, 201), "first ", "second") }, nil)
		got, err := r.exchange(t.Context(), verbatimCall("/hold/", "k2"))
		require.Nil(t, err)
		require.EqualValues(t, 201, got.head.GetStatus())
		require.Equal(t, "X-Theirs", got.head.GetHeaders()[0].GetName())
		require.Equal(t, "first second", got.body.String())
		d := agent.all()[0].d
		require.True(t, d.GetVerbatim())
		require.Equal(t, "/hold/x?q=1", d.GetPath())
		require.Equal(t, "a.example", d.GetHost())
		require.Equal(t, "X-Own", d.GetHeaders()[0].GetName())
		require.Equal(t, "yatai", d.GetWork().GetOrganisation())
		require.False(t, d.GetWork().GetRepeatable())
		require.LessOrEqual(t, d.GetWork().GetRemainingMs(), uint32(1000), "the route's time is shorter than the caller's")
	})
}

func TestVerbatimCallsThatAreNotAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := verbatimRig(t)
		r.addService(1).script(func(d *dispatched) { d.answer("", headEvent(t, 200)) }, nil)
		for code, call := range map[result.Code]*Call{
			result.UnknownRoute: verbatimCall("/nowhere/", "k1"),
			result.MissingKey:   verbatimCall("/hold/", ""),
			result.WrongKey:     verbatimCall("/hold/", "k3"),
		} {
			_, err := r.exchange(t.Context(), call)
			require.Equal(t, code, err.Code)
			require.Equal(t, result.RanNo, err.Ran)
		}
		_, err := r.exchange(t.Context(), verbatimCall("/check/", "k3"))
		require.Nil(t, err, "a public route needs no key")
	})
}

// Symptom: a stream breaks off although another server could go on with it, or holds two heads. Sequence: a server fails
// in the middle of a resumable stream. Cause: an answer's head that is taken for an event, or sent once more.
func TestVerbatimStreamGoesOnElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := verbatimRig(t)
		one, two := r.addModel(1), r.addModel(2)
		head := headEvent(t, 200)
		answer := func(d *dispatched) {
			if d.d.GetResumeFrom() == 0 {
				d.frame(0, head, "id: 1\n\n", "id: 2\n\n")
				d.over(&wire.Over{Proof: wire.Proof_PROOF_FAILED})
				return
			}
			d.frame(uint64(d.d.GetResumeFrom()), "id: 3\n\n")
			digest := xxhash.New()
			_, _ = digest.WriteString("id: 3\n\n")
			d.over(&wire.Over{Proof: wire.Proof_PROOF_COMPLETED, Answer: &wire.AnswerEnd{
				Events: 4, Bytes: 7, Digest: digest.Sum64(), Status: 200,
			}})
		}
		one.script(answer, nil)
		two.script(answer, nil)
		for _, a := range []*fakeAgent{one, two} {
			a.resumes = true
			a.announceRoom()
		}
		synctest.Wait()
		got, err := r.exchange(t.Context(), verbatimCall("/stream/", "k2"))
		require.Nil(t, err)
		require.Equal(t, 1, got.heads)
		require.Equal(t, "id: 1\n\nid: 2\n\nid: 3\n\n", got.body.String())
		all := append(one.all(), two.all()...)
		require.Len(t, all, 2)
		require.NotEqual(t, all[0].agent, all[1].agent)
		resumed := all[0].d
		if resumed.GetResumeFrom() == 0 {
			resumed = all[1].d
		}
		require.EqualValues(t, 3, resumed.GetResumeFrom())
		require.Equal(t, "id: 2\n\n", string(resumed.GetLastEvent()))
	})
}

func TestVerbatimCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := verbatimRig(t)
		agent := r.addModel(1)
		agent.hold()
		ctx, leave := context.WithCancel(t.Context())
		done := make(chan *result.Error, 1)
		go func() {
			_, err := r.exchange(ctx, verbatimCall("/stream/", "k2"))
			done <- err
		}()
		synctest.Wait()
		require.Equal(t, 1, agent.ran(""))
		leave()
		require.Nil(t, <-done)
		synctest.Wait()
		require.Equal(t, 1, agent.cancelled())
	})
}

// Symptom: an organisation is refused within its cap. Sequence: its requests are refused for other reasons; each has
// taken from the cap. Cause: use counted where nothing ran.
func TestRefusedCallsDoNotUseTheCap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := verbatimRig(t)
		for range 30 {
			_, err := r.exchange(t.Context(), verbatimCall("/hold/", "k1"))
			require.Equal(t, result.RanNo, err.Ran)
			require.NotEqual(t, result.OverUsageCap, err.Code)
		}
		r.addService(1).script(func(d *dispatched) { d.answer("", headEvent(t, 200)) }, nil)
		served := 0
		for range 30 {
			_, err := r.exchange(t.Context(), verbatimCall("/hold/", "k1"))
			if err == nil {
				served++
				continue
			}
			require.Equal(t, result.OverUsageCap, err.Code)
			require.Equal(t, result.RanNo, err.Ran)
			require.NotZero(t, err.RetryAfter)
		}
		require.Equal(t, 9, served, "18 units of 2 each")
	})
}

// Symptom: callers of an entry that is cut off from control wait a second and are refused. Sequence: control has a newer
// configuration, of which the entry hears from agents; it can't fetch it. Cause: an entry that waits for what can't come.
func TestEntryThatMayServeByAnOlderConfigurationDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := verbatimRig(t)
		r.addService(1).script(func(d *dispatched) { d.answer("", headEvent(t, 200)) }, nil)
		r.entries[0].observe(99)
		began := time.Now()
		_, err := r.exchange(t.Context(), verbatimCall("/hold/", "k2"))
		require.Nil(t, err)
		require.Less(t, time.Since(began), 100*time.Millisecond)
	})
}

// Symptom: after a loss of all machines a fifth of a second's requests is refused, and callers come back later than that.
// Sequence: an entry listens before control has confirmed its state. Cause: a call refused at once where the answer is a
// moment away.
func TestCallIsHeldWhileTheEntryStarts(t *testing.T) {
	cases := map[string]struct {
		readyAfter, timeout time.Duration
		served              bool
	}{
		"ready soon":                   {200 * time.Millisecond, 4 * time.Second, true},
		"ready too late":               {time.Second, 4 * time.Second, false},
		"longer than the caller's own": {200 * time.Millisecond, 400 * time.Millisecond, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := verbatimRig(t)
				r.addService(1).script(func(d *dispatched) { d.answer("", headEvent(t, 200)) }, nil)
				setReady := func(err error) { r.control.set(func() { r.control.ready = err }) }
				setReady(result.New(result.Starting, "not confirmed"))
				defer time.AfterFunc(c.readyAfter, func() { setReady(nil) }).Stop()
				call := verbatimCall("/hold/", "k2")
				call.Arrived, call.Timeout = time.Now(), c.timeout
				_, err := r.exchange(t.Context(), call)
				if c.served {
					require.Nil(t, err)
					return
				}
				require.Equal(t, result.Starting, err.Code)
				require.Equal(t, result.RanNo, err.Ran)
				require.Less(t, time.Since(call.Arrived), c.timeout/startWaitShare+100*time.Millisecond)
			})
		})
	}
}
