package entry

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/settings"
)

const operatorKey = "key-of-an-operator"

// An organisation would see the requests of others, or an operator's key could send requests, if the two kinds of keys
// were confused. One of the operator's keys here also belongs to an organisation.
func TestOperatorSeesAllRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 0)
		h.addEntry(func(s *settings.Entry) {
			digests := []string{settings.NewDigest(operatorKey, settings.NewSalt()), settings.NewDigest(yataiKey, settings.NewSalt())}
			s.Operators = []settings.OperatorAccount{{Name: "operator", KeyDigests: digests}}
		})
		agent := h.addModel(1)
		agent.holdDispatches()
		own := h.callAsync(1, chatPath, chatBody)
		other := "Authorization: Bearer " + yataiKey
		theirs := h.callAsync(1, chatPath, chatBody, other, "Carawaypitch-Class: summary")
		synctest.Wait()
		operator := "Authorization: Bearer " + operatorKey
		list := h.call(1, http.MethodGet, "/v1/requests", "", operator).body
		require.Contains(t, list, `"organisation":"compost"`)
		require.Contains(t, list, `"organisation":"yatai"`)
		for _, d := range agent.dispatchList() {
			id := d.message.GetAttempt().GetRequest()
			require.Equal(t, 200, h.call(1, http.MethodGet, "/v1/requests/"+id, "", operator).status)
		}
		require.NotContains(t, h.call(1, http.MethodGet, "/v1/requests", "", other).body, `"organisation":"compost"`)
		require.Equal(t, 401, h.call(1, http.MethodPost, chatPath, chatBody, operator).status)
		require.Equal(t, 401, h.call(1, http.MethodGet, "/v1/models", "", operator).status)
		for _, d := range agent.dispatchList() {
			d.sendDefaultAnswer()
		}
		require.Equal(t, 200, (<-own).status)
		require.Equal(t, 200, (<-theirs).status)
	})
}
