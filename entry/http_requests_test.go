package entry

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/settings"
)

const operatorKey = "key-of-an-operator"

// Symptom: an organisation sees the work of its rivals, or an operator's key sends requests. Sequence: organisations and
// an operator ask an entry about requests, also one whose key an organisation has too. Cause: the two kinds of keys are
// taken for one another.
func TestOperatorSeesAllRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.addEntry(func(s *settings.Entry) {
			digests := []string{settings.NewDigest(operatorKey, settings.NewSalt()), settings.NewDigest(otherKey, settings.NewSalt())}
			s.Operators = []settings.OperatorAccount{{Name: "operator", KeyDigests: digests}}
		})
		agent := r.addModel(1)
		agent.hold()
		own := r.goCall(1, chatPath, chatBody)
		other := "Authorization: Bearer " + otherKey
		theirs := r.goCall(1, chatPath, chatBody, other, "Carawaypitch-Class: summary")
		synctest.Wait()
		operator := "Authorization: Bearer " + operatorKey
		list := r.call(1, http.MethodGet, "/v1/requests", "", operator).body
		require.Contains(t, list, `"organisation":"compost"`)
		require.Contains(t, list, `"organisation":"yatai"`)
		for _, d := range agent.all() {
			id := d.d.GetAttempt().GetRequest()
			require.Equal(t, 200, r.call(1, http.MethodGet, "/v1/requests/"+id, "", operator).status)
		}
		require.NotContains(t, r.call(1, http.MethodGet, "/v1/requests", "", other).body, `"organisation":"compost"`)
		require.Equal(t, 401, r.call(1, http.MethodPost, chatPath, chatBody, operator).status)
		require.Equal(t, 401, r.call(1, http.MethodGet, "/v1/models", "", operator).status)
		for _, d := range agent.all() {
			d.echo()
		}
		require.Equal(t, 200, (<-own).status)
		require.Equal(t, 200, (<-theirs).status)
	})
}
