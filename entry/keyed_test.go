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

// issuePass requests a pass at the n-th entry.
func (h *harness) issuePass(n int, k, body string) callResponse {
	h.t.Helper()
	return h.call(n, http.MethodPost, issuePath, body, passIssueHeader, keyHeader(k))
}

func TestRepeatedKeyedCallGetsFirstAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		agent := h.addService(1)
		first := h.issuePass(1, "k", `{"pass":1}`)
		require.Equal(t, `{"pass":1}`, first.body)
		for n := range 2 {
			again := h.issuePass(n+1, "k", `{"pass":1}`)
			require.Equal(t, first.status, again.status)
			require.Equal(t, first.body, again.body)
			require.Equal(t, first.header.Get("Content-Type"), again.header.Get("Content-Type"))
		}
		require.Equal(t, 1, agent.dispatchCount(""))

		other := h.issuePass(2, "k", `{"pass":2}`)
		require.Equal(t, 409, other.status)
		require.Equal(t, result.KeyReusedWithOtherBody, other.code(t).Code)
		require.Equal(t, result.RanNo, other.code(t).Ran)

		// The same key of another organisation is a different operation.
		foreign := h.call(1, http.MethodPost, issuePath, `{"pass":1}`, passIssueHeader, keyHeader("k"), "Authorization: Bearer "+yataiKey)
		require.Equal(t, 200, foreign.status)
		require.NotEqual(t, first.header.Get(headerRequestID), foreign.header.Get(headerRequestID))
		require.Equal(t, 2, agent.dispatchCount(""))
	})
}

func TestKeyedStreamIsReplayedAsStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		agent := h.addModel(1)
		first := h.call(1, http.MethodPost, chatPath, streamBody, keyHeader("k"))
		again := h.call(2, http.MethodPost, chatPath, streamBody, keyHeader("k"))
		require.True(t, strings.HasSuffix(first.body, "data: [DONE]\n\n"))
		require.Equal(t, first.body, again.body)
		require.Equal(t, "text/event-stream", again.header.Get("Content-Type"))
		require.Equal(t, 1, agent.dispatchCount(""))
	})
}

// Two vendors would get one spot if a second call with the same key, at the same entry or another one, were not held
// back while the first is in progress.
func TestConcurrentKeyedCallsRunOnce(t *testing.T) {
	for name, second := range map[string]int{"same entry": 1, "other entry": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 2)
				agent := h.addService(1)
				agent.holdDispatches()
				a := h.callAsync(1, issuePath, `{}`, passIssueHeader, keyHeader("k"))
				synctest.Wait()
				b := h.callAsync(second, issuePath, `{}`, passIssueHeader, keyHeader("k"))
				time.Sleep(time.Second)
				require.Equal(t, 1, agent.dispatchCount(""))
				require.Equal(t, result.KeyReusedWithOtherBody, h.issuePass(second, "k", `{"other":1}`).code(t).Code)
				agent.dispatchList()[0].sendDefaultAnswer()
				require.Equal(t, 200, (<-a).status)
				require.Equal(t, 200, (<-b).status)
				require.Equal(t, 1, agent.dispatchCount(""))
			})
		})
	}
}

// A caller would be told that the outcome is unknown although its pass was just issued if the answer were sent before
// its commit and a resend overtook the commit.
func TestAnswerIsCommittedBeforeReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.addService(1)
		h.control.update(func() {
			h.control.delay = func(c *wire.Command) time.Duration {
				if c.GetCompleteOperation() != nil {
					return time.Second
				}
				return 0
			}
		})
		done := h.callAsync(1, issuePath, `{}`, passIssueHeader, keyHeader("k"))
		time.Sleep(time.Second / 2)
		require.Empty(t, done)
		require.Equal(t, 200, (<-done).status)
		require.Equal(t, []string{"begin", "complete"}, h.control.commands())
	})
}

// A caller would wait indefinitely, or lose an answer that is available, if an answer waited for its commit without a
// bound when control is lost after the dispatch.
func TestAnswerIsSentAtDeadlineWithoutCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		agent := h.addService(1)
		lost := true
		h.control.update(func() {
			h.control.failBefore = func(c *wire.Command) error {
				if lost && c.GetCompleteOperation() != nil {
					return result.New(result.ControlUnavailable, "")
				}
				return nil
			}
		})
		a := h.issuePass(1, "k", `{}`)
		require.Equal(t, 200, a.status)
		again := h.callAsync(1, issuePath, `{}`, passIssueHeader, keyHeader("k"))
		synctest.Wait()
		h.control.update(func() { lost = false })
		require.Equal(t, a.body, (<-again).body)
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"begin", "complete"}, h.control.commands())
		require.Equal(t, 1, agent.dispatchCount(""))
	})
}

// A pass could be issued after its caller was told that it was not, or the reverse, if a refusal after a lost begin
// claimed what only the record can prove.
func TestLostBeginReportsRanUnknown(t *testing.T) {
	cases := map[string]struct {
		before, after result.Code
		key           []string // commands for the record once control is available again
	}{
		"never proposed":  {before: result.ControlUnavailable, key: nil},
		"outcome unknown": {after: result.ProposalUnknown, key: []string{"begin", "begin", "release"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 1)
				agent := h.addService(1)
				failuresLeft := 1
				failOnce := func(code result.Code) func(*wire.Command) error {
					return func(*wire.Command) error {
						if failuresLeft--; code != 0 && failuresLeft >= 0 {
							return result.New(code, "")
						}
						return nil
					}
				}
				h.control.update(func() {
					if c.before != 0 {
						h.control.failBefore = failOnce(c.before)
					} else {
						h.control.failAfter = failOnce(c.after)
					}
				})
				e := h.issuePass(1, "k", `{}`).code(t)
				require.Equal(t, result.ControlUnavailable, e.Code)
				require.Equal(t, result.RanUnknown, e.Ran)
				time.Sleep(5 * time.Second)
				require.Equal(t, c.key, h.control.commands(), "the key is released")
				require.Zero(t, agent.dispatchCount(""))
				require.Equal(t, 200, h.issuePass(1, "k", `{}`).status)
			})
		})
	}
}

// A resend would be told "not run" of a pass that was issued if the refusal considered its own call only. The entry of
// the first call has crashed after the dispatch, and the resend reaches an entry that admits no requests or no longer
// knows a server of the service.
func TestRefusedResendReportsRanUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.addService(1)
		e := h.call(1, http.MethodPost, "/v1/services/gone/issue", `{}`, passIssueHeader, keyHeader("k")).code(t)
		require.Equal(t, result.UnknownService, e.Code)
		require.Equal(t, result.RanUnknown, e.Ran)
		h.control.update(func() { h.control.cutOff = result.New(result.CutOffFromControl, "") })
		e = h.issuePass(1, "k", `{}`).code(t)
		require.Equal(t, result.CutOffFromControl, e.Code)
		require.Equal(t, result.RanUnknown, e.Ran)
		require.Equal(t, result.RanNo, h.call(1, http.MethodPost, checkPath, `{}`, gateCheckHeader).code(t).Ran, "call without a key")
	})
}

// A key would stay used although nothing ran if the record of a request whose attempts never started were left open.
func TestKeyIsReleasedWhenNothingRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		agent := h.addService(1)
		agent.setHandlers(func(d *receivedDispatch) { d.sendOver(&wire.Over{Proof: wire.Proof_PROOF_NEVER_STARTED}) }, nil)
		e := h.issuePass(1, "k", `{}`).code(t)
		require.Equal(t, result.RanNo, e.Ran)
		commands := h.control.commands()
		require.Equal(t, "release", commands[len(commands)-1])
		agent.setHandlers(nil, nil)
		require.Equal(t, 200, h.issuePass(2, "k", `{}`).status)
	})
}

// A pass would be issued twice if the caller's disconnect cancelled the dispatched attempt or released its key.
func TestAnswerIsStoredAfterCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		agent := h.addService(1)
		agent.holdDispatches()
		ctx, disconnect := context.WithCancel(context.Background())
		go func() {
			_, _ = h.do(h.request(ctx, 1, http.MethodPost, issuePath, `{"pass":1}`, passIssueHeader, keyHeader("k")))
		}()
		synctest.Wait()
		disconnect()
		synctest.Wait()
		agent.dispatchList()[0].sendDefaultAnswer()
		synctest.Wait()
		require.Equal(t, `{"pass":1}`, h.issuePass(2, "k", `{"pass":1}`).body)
		require.Equal(t, 1, agent.dispatchCount(""))
		require.Zero(t, agent.cancelCount())
	})
}
