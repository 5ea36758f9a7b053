package entry

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// loseBegins has control commit the next begins of an entry without a reply.
func (r *rig) loseBegins(entry, n int) {
	r.control.set(func() {
		r.control.lose = func(command *wire.Command) error {
			if command.GetBeginOperation().GetEntry() != r.entries[entry-1].settings.Instance || n == 0 {
				return nil
			}
			n--
			return result.New(result.ProposalUnknown, "")
		}
	})
}

// Symptom: a resend at another entry waits until its deadline, and hears that an earlier call is still at work. Sequence:
// control commits the begin and its reply is lost, several times; the caller hears that control is unavailable. Cause:
// the entry lives and owns a record for which it has no request.
func TestLostBeginIsReleasedForOtherEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 2)
		agent := r.addService(1)
		r.loseBegins(1, 4)
		require.Equal(t, result.ControlUnavailable, r.issue(1, "k", `{}`).code(t).Code)
		require.Equal(t, 200, r.issue(2, "k", `{}`).status)
		require.Equal(t, 1, agent.ran(""))
	})
}

// Symptom: as above. Sequence: the first owner dies with the work dispatched; a second entry takes the record over and
// its call ends without the proof, or the reply to its begin is lost; the caller sends again at a third entry, where the
// agent gives the proof. Cause: the second entry lives, and keeps the record.
func TestTakenOverRecordIsGivenBack(t *testing.T) {
	for name, lost := range map[string]int{"no proof": 0, "lost begin": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, 3)
				agent := r.addModel(1)
				agent.deaf()
				r.goCall(1, chatPath, chatBody, key("k"))
				synctest.Wait()
				r.endEntry(1)
				r.loseBegins(2, lost)
				second := r.call(2, http.MethodPost, chatPath, chatBody, key("k"), "Carawaypitch-Deadline-Ms: 1000").code(t)
				require.Equal(t, result.RanUnknown, second.Ran)
				require.Equal(t, 1, agent.ran(""))
				agent.script(nil, nil)
				require.Equal(t, 200, r.call(3, http.MethodPost, chatPath, chatBody, key("k")).status)
				require.Equal(t, 2, agent.ran(""))
				require.Equal(t, agent.all()[0].d.GetAttempt().GetRequest(), agent.all()[1].d.GetAttempt().GetRequest())
			})
		})
	}
}
