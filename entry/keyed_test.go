package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// issue calls for a pass at the n-th entry.
func (r *rig) issue(n int, k, body string) answer {
	r.t.Helper()
	return r.call(n, http.MethodPost, issuePath, body, passIssue, key(k))
}

func TestKeyedCallAgainGetsTheFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		agent := r.addService(1)
		first := r.issue(1, "k", `{"pass":1}`)
		require.Equal(t, `{"pass":1}`, first.body)
		for n := range 2 {
			again := r.issue(n+1, "k", `{"pass":1}`)
			require.Equal(t, first.status, again.status)
			require.Equal(t, first.body, again.body)
			require.Equal(t, first.header.Get("Content-Type"), again.header.Get("Content-Type"))
		}
		require.Equal(t, 1, agent.ran(""))

		other := r.issue(2, "k", `{"pass":2}`)
		require.Equal(t, 409, other.status)
		require.Equal(t, result.KeyReusedWithOtherBody, other.code(t).Code)
		require.Equal(t, result.RanNo, other.code(t).Ran)

		// The same key of another organisation is another operation.
		foreign := r.call(1, http.MethodPost, issuePath, `{"pass":1}`, passIssue, key("k"), "Authorization: Bearer "+otherKey)
		require.Equal(t, 200, foreign.status)
		require.NotEqual(t, first.header.Get(headerRequestID), foreign.header.Get(headerRequestID))
		require.Equal(t, 2, agent.ran(""))
	})
}

func TestKeyedStreamIsReplayedAsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		agent := r.addModel(1)
		first := r.call(1, http.MethodPost, chatPath, chatSSE, key("k"))
		again := r.call(2, http.MethodPost, chatPath, chatSSE, key("k"))
		require.True(t, strings.HasSuffix(first.body, "data: [DONE]\n\n"))
		require.Equal(t, first.body, again.body)
		require.Equal(t, "text/event-stream", again.header.Get("Content-Type"))
		require.Equal(t, 1, agent.ran(""))
	})
}

// Symptom: two vendors get one spot. Sequence: a caller sends twice with one key, to one entry or to two, while the first
// call is still at work. Cause: the second isn't held back.
func TestKeyedCallsAtOnceRunOnce(t *testing.T) {
	for name, second := range map[string]int{"same entry": 1, "other entry": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 2)
				agent := r.addService(1)
				agent.hold()
				a := r.goCall(1, issuePath, `{}`, passIssue, key("k"))
				synctest.Wait()
				b := r.goCall(second, issuePath, `{}`, passIssue, key("k"))
				time.Sleep(time.Second)
				require.Equal(t, 1, agent.ran(""))
				require.Equal(t, result.KeyReusedWithOtherBody, r.issue(second, "k", `{"other":1}`).code(t).Code)
				agent.all()[0].echo()
				require.Equal(t, 200, (<-a).status)
				require.Equal(t, 200, (<-b).status)
				require.Equal(t, 1, agent.ran(""))
			})
		})
	}
}

// Symptom: a caller hears that nothing is known although its pass was issued a moment ago. Sequence: the answer is given,
// its commit comes later, and a resend overtakes it. Cause: the answer isn't committed first.
func TestAnswerIsCommittedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.addService(1)
		r.control.set(func() {
			r.control.delay = func(c *wire.Command) time.Duration {
				if c.GetCompleteOperation() != nil {
					return time.Second
				}
				return 0
			}
		})
		done := r.goCall(1, issuePath, `{}`, passIssue, key("k"))
		time.Sleep(time.Second / 2)
		require.Empty(t, done)
		require.Equal(t, 200, (<-done).status)
		require.Equal(t, []string{"begin", "complete"}, r.control.commands())
	})
}

// Symptom: a caller waits for ever, or loses an answer that is there. Sequence: control is lost between the dispatch and
// the commit of the outcome. Cause: the answer waits for the commit without a bound.
func TestWholeAnswerIsGivenWithoutCommitAtTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		agent := r.addService(1)
		lost := true
		r.control.set(func() {
			r.control.fail = func(c *wire.Command) error {
				if lost && c.GetCompleteOperation() != nil {
					return result.New(result.ControlUnavailable, "")
				}
				return nil
			}
		})
		a := r.issue(1, "k", `{}`)
		require.Equal(t, 200, a.status)
		again := r.goCall(1, issuePath, `{}`, passIssue, key("k"))
		synctest.Wait()
		r.control.set(func() { lost = false })
		require.Equal(t, a.body, (<-again).body)
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"begin", "complete"}, r.control.commands())
		require.Equal(t, 1, agent.ran(""))
	})
}

// Symptom: a pass is issued after its caller was told that it wasn't, or a caller is told so of a pass that was issued.
// Sequence: control doesn't answer the begin. Cause: the refusal promises what only the record can prove.
func TestLostBeginSaysThatNothingIsKnown(t *testing.T) {
	cases := map[string]struct {
		before, after result.Code
		key           []string // commands of the record once control is back
	}{
		"never proposed":  {before: result.ControlUnavailable, key: nil},
		"outcome unknown": {after: result.ProposalUnknown, key: []string{"begin", "begin", "release"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 1)
				agent := r.addService(1)
				fails := 1
				failOnce := func(code result.Code) func(*wire.Command) error {
					return func(*wire.Command) error {
						if fails--; code != 0 && fails >= 0 {
							return result.New(code, "")
						}
						return nil
					}
				}
				r.control.set(func() {
					if c.before != 0 {
						r.control.fail = failOnce(c.before)
					} else {
						r.control.lose = failOnce(c.after)
					}
				})
				e := r.issue(1, "k", `{}`).code(t)
				require.Equal(t, result.ControlUnavailable, e.Code)
				require.Equal(t, result.RanUnknown, e.Ran)
				time.Sleep(5 * time.Second)
				require.Equal(t, c.key, r.control.commands(), "the key is free again")
				require.Zero(t, agent.ran(""))
				require.Equal(t, 200, r.issue(1, "k", `{}`).status)
			})
		})
	}
}

// Symptom: a resend hears "not run" of a pass that was issued. Sequence: the first call's entry dies after the dispatch;
// the resend comes to an entry that takes no work, or that knows no server of the service any more. Cause: the refusal
// looks at its own call only.
func TestRefusedResendPromisesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.addService(1)
		e := r.call(1, http.MethodPost, "/v1/services/gone/issue", `{}`, passIssue, key("k")).code(t)
		require.Equal(t, result.UnknownService, e.Code)
		require.Equal(t, result.RanUnknown, e.Ran)
		r.control.set(func() { r.control.cutOff = result.New(result.CutOffFromControl, "") })
		e = r.issue(1, "k", `{}`).code(t)
		require.Equal(t, result.CutOffFromControl, e.Code)
		require.Equal(t, result.RanUnknown, e.Ran)
		require.Equal(t, result.RanNo, r.call(1, http.MethodPost, checkPath, `{}`, gateCheck).code(t).Ran, "without a key")
	})
}

// Symptom: a key is spent though nothing ran. Sequence: a keyed request is refused, proved never started. Cause: the
// record stays open.
func TestKeyIsFreeAfterNothingRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		agent := r.addService(1)
		agent.script(func(d *dispatched) { d.over(&wire.Over{Proof: wire.Proof_PROOF_NEVER_STARTED}) }, nil)
		e := r.issue(1, "k", `{}`).code(t)
		require.Equal(t, result.RanNo, e.Ran)
		commands := r.control.commands()
		require.Equal(t, "release", commands[len(commands)-1])
		agent.script(nil, nil)
		require.Equal(t, 200, r.issue(2, "k", `{}`).status)
	})
}

// Symptom: a pass is issued twice. Sequence: it is dispatched and its caller leaves; the caller sends again. Cause: the
// leaving cancels it, or frees its key.
func TestCallerThatLeftFindsTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		agent := r.addService(1)
		agent.hold()
		ctx, leave := context.WithCancel(context.Background())
		go func() { _, _ = r.do(r.request(ctx, 1, http.MethodPost, issuePath, `{"pass":1}`, passIssue, key("k"))) }()
		synctest.Wait()
		leave()
		synctest.Wait()
		agent.all()[0].echo()
		synctest.Wait()
		require.Equal(t, `{"pass":1}`, r.issue(2, "k", `{"pass":1}`).body)
		require.Equal(t, 1, agent.ran(""))
		require.Zero(t, agent.cancelled())
	})
}
