package entry

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// loseBeginReplies makes control commit the next n begin commands of an entry without a reply.
func (h *harness) loseBeginReplies(entry, n int) {
	h.control.update(func() {
		h.control.failAfter = func(command *wire.Command) error {
			if command.GetBeginOperation().GetEntry() != h.entries[entry-1].settings.Instance || n == 0 {
				return nil
			}
			n--
			return result.New(result.ProposalUnknown, "")
		}
	})
}

// A resend at another entry would wait until its deadline, and be told that an earlier call is in progress, if a begin
// command that was committed without a reply left a record owned by an entry that is alive but has no request for it.
func TestLostBeginIsReleasedForOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 2)
		agent := h.addService(1)
		h.loseBeginReplies(1, 4)
		require.Equal(t, result.ControlUnavailable, h.issuePass(1, "k", `{}`).code(t).Code)
		require.Equal(t, 200, h.issuePass(2, "k", `{}`).status)
		require.Equal(t, 1, agent.dispatchCount(""))
	})
}

// A resend at a third entry would wait until its deadline if the second owner kept the record. The first owner crashes
// after the dispatch; the second takes the record over, and its call ends without proof or the reply to its begin is
// lost; at the third entry the agent gives the proof.
func TestTakenOverRecordIsReleasedForNextOwner(t *testing.T) {
	for name, lost := range map[string]int{"no proof": 0, "lost begin": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, 3)
				agent := h.addModel(1)
				agent.ignoreMessages()
				h.callAsync(1, chatPath, chatBody, keyHeader("k"))
				synctest.Wait()
				h.endEntry(1)
				h.loseBeginReplies(2, lost)
				second := h.call(2, http.MethodPost, chatPath, chatBody, keyHeader("k"), "Carawaypitch-Deadline-Ms: 1000").code(t)
				require.Equal(t, result.RanUnknown, second.Ran)
				require.Equal(t, 1, agent.dispatchCount(""))
				agent.setHandlers(nil, nil)
				require.Equal(t, 200, h.call(3, http.MethodPost, chatPath, chatBody, keyHeader("k")).status)
				require.Equal(t, 2, agent.dispatchCount(""))
				require.Equal(t, agent.dispatchList()[0].message.GetAttempt().GetRequest(), agent.dispatchList()[1].message.GetAttempt().GetRequest())
			})
		})
	}
}
