package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings"
)

func TestCallerAPIResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 0)
		h.addEntry(func(s *settings.Entry) { s.Limits.MaxBody = 1000 })
		service, model := h.addService(1), h.addModel(2)
		oversized := `"` + strings.Repeat("x", 1000) + `"`
		cases := []struct {
			name   string
			path   string
			body   string
			header []string
			status int
			code   result.Code // 0 for an answer
		}{
			{"service", checkPath, `{"a":1}`, []string{gateCheckHeader}, 200, 0},
			{"completion", chatPath, chatBody, nil, 200, 0},
			{"no key", checkPath, `{}`, []string{"Authorization: ", gateCheckHeader}, 401, result.MissingKey},
			{"other scheme", checkPath, `{}`, []string{"Authorization: Basic " + compostKey, gateCheckHeader}, 401, result.MissingKey},
			{"wrong key", checkPath, `{}`, []string{"Authorization: Bearer no", gateCheckHeader}, 401, result.WrongKey},
			{"no default class", chatPath, chatBody, []string{"Authorization: Bearer " + yataiKey}, 404, result.UnknownClass},
			{"unknown class", checkPath, `{}`, []string{"Carawaypitch-Class: none"}, 404, result.UnknownClass},
			{"class of the other kind", checkPath, `{}`, []string{"Carawaypitch-Class: summary"}, 400, result.ClassKindMismatch},
			{"key missing", issuePath, `{}`, []string{passIssueHeader}, 400, result.KeyRequired},
			{"key too long", issuePath, `{}`, []string{passIssueHeader, keyHeader(strings.Repeat("k", 257))}, 400, result.BadHeader},
			{"deadline 0", checkPath, `{}`, []string{gateCheckHeader, "Carawaypitch-Deadline-Ms: 0"}, 400, result.BadDeadline},
			{"deadline text", checkPath, `{}`, []string{gateCheckHeader, "Carawaypitch-Deadline-Ms: 1s"}, 400, result.BadDeadline},
			{"not JSON", checkPath, `{`, []string{gateCheckHeader}, 400, result.MalformedBody},
			{"no messages", chatPath, `{"model":"m"}`, nil, 400, result.MalformedBody},
			{"no model", chatPath, `{"prompt":"x"}`, nil, 400, result.MalformedBody},
			{"stream text", chatPath, `{"model":"m","prompt":"x","stream":"yes"}`, nil, 400, result.MalformedBody},
			{"too large", checkPath, oversized, []string{gateCheckHeader}, 413, result.BodyTooLarge},
			{"unknown service", "/v1/services/none/x", `{}`, []string{gateCheckHeader}, 404, result.UnknownService},
			{"unknown model", chatPath, `{"model":"none","prompt":"x"}`, nil, 404, result.UnknownModel},
			{"dot segment", "/v1/services/registry/a/%2e%2e/b", `{}`, []string{gateCheckHeader}, 404, result.NotFound},
			{"no such path", "/v1/other", `{}`, nil, 404, result.NotFound},
			{"method", "/v1/models", `{}`, nil, 405, result.MethodNotAllowed},
		}
		for _, c := range cases {
			before := service.dispatchCount("") + model.dispatchCount("")
			a := h.call(1, http.MethodPost, c.path, c.body, c.header...)
			require.Equal(t, c.status, a.status, c.name+a.body)
			require.EqualValues(t, len(a.body), a.length, c.name)
			if c.code == 0 {
				continue
			}
			e := a.code(t)
			require.Equal(t, c.code, e.Code, c.name)
			require.Equal(t, result.RanNo, e.Ran, c.name)
			require.Equal(t, before, service.dispatchCount("")+model.dispatchCount(""), "%s: nothing is dispatched", c.name)
		}
	})
}

func TestServiceCallIsForwardedUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		agent := h.addService(1)
		a := h.call(1, http.MethodPost, "/v1/services/registry/a%2Fb/c?d=e%20f", `{"x":1}`, gateCheckHeader, keyHeader("k 1"))
		require.Equal(t, `{"x":1}`, a.body)
		d := agent.dispatchList()[0].message
		require.Equal(t, "/a%2Fb/c?d=e%20f", d.GetPath())
		require.Equal(t, "k 1", d.GetIdempotencyKey())
		require.Equal(t, "compost", d.GetWork().GetOrganisation())
	})
}

func TestCompletionIsAssembled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.addModel(1)
		a := h.call(1, http.MethodPost, chatPath, chatBody)
		require.JSONEq(t, `{"id":"c1","object":"chat.completion","created":7,"model":"m",
			"choices":[{"index":0,"message":{"role":"assistant","content":"Hello"},"logprobs":null,"finish_reason":"stop"}],
			"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5,"prompt_tokens_details":{"cached_tokens":0}}}`, a.body)
		require.Equal(t, "application/json", a.header.Get("Content-Type"))
	})
}

func TestStreamEndsWithDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		h.addModel(1)
		a := h.call(1, http.MethodPost, chatPath, streamBody)
		require.Equal(t, "text/event-stream", a.header.Get("Content-Type"))
		want := "data: " + chatEvent("Hel") + "\n\ndata: " + chatEvent("lo") + "\n\ndata: " + chatEnd + "\n\ndata: [DONE]\n\n"
		require.Equal(t, want, a.body)
	})
}

// A caller would take a truncated stream for a complete answer if a stream that fails after some events ended with
// [DONE] or without an error event. Here no other server can resume the stream.
func TestFailedStreamEndsWithErrorEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		agent := h.addModel(1)
		agent.setHandlers(func(d *receivedDispatch) {
			d.sendFrame(0, chatEvent("Hel"))
			d.sendOver(failedProof())
		}, nil)
		a := h.call(1, http.MethodPost, chatPath, streamBody)
		require.Equal(t, 200, a.status)
		require.NotContains(t, a.body, "[DONE]")
		events := strings.Split(strings.TrimSpace(a.body), "\n\n")
		require.Len(t, events, 2)
		var e result.Error
		require.NoError(t, json.Unmarshal([]byte(strings.TrimPrefix(events[1], "data: ")), &e))
		require.Equal(t, result.RanYes, e.Ran)
	})
}

// A caller would receive part of another caller's answer if frames were joined in order of arrival, or by request only.
// Concurrent requests receive interleaved, duplicated and reordered frames, and frames of an unknown attempt.
func TestEachCallerGetsItsOwnCompleteAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		agent := h.addService(1)
		agent.holdDispatches()
		const n = 8
		answers := make([]<-chan callResponse, n)
		for i := range n {
			answers[i] = h.callAsync(1, checkPath, fmt.Sprintf(`{"caller":%d}`, i), gateCheckHeader)
			synctest.Wait()
		}
		all := agent.dispatchList()
		require.Len(t, all, n)
		partOf := func(i, j int) string { return fmt.Sprintf("caller %d part %d;", i, j) }
		for _, j := range []int{2, 0, 0, 1, 2} { // reordered and duplicated
			for i, d := range all {
				d.sendFrame(uint64(j), partOf(i, j))
			}
		}
		unknownAttempt := *all[0]
		unknownAttempt.message = withNumber(all[0].message, all[0].message.GetAttempt().GetNumber()+1)
		unknownAttempt.sendFrame(3, "not this attempt")
		for i, d := range all {
			d.sendEnd("text/plain", partOf(i, 0), partOf(i, 1), partOf(i, 2))
		}
		for i := range n {
			a := <-answers[i]
			require.Equal(t, partOf(i, 0)+partOf(i, 1)+partOf(i, 2), a.body)
		}
	})
}

func TestModelsAndRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		agent := h.addModel(1)
		require.Contains(t, h.call(1, http.MethodGet, "/v1/models", "").body, `"id":"m"`)
		require.Equal(t, 401, h.call(1, http.MethodGet, "/v1/models", "", "Authorization: ").status)
		agent.holdDispatches()
		done := h.callAsync(1, chatPath, chatBody)
		synctest.Wait()
		id := agent.dispatchList()[0].message.GetAttempt().GetRequest()
		ownResponse := h.call(1, http.MethodGet, "/v1/requests/"+id, "")
		require.Contains(t, ownResponse.body, `"server":"server-1"`)
		require.Contains(t, h.call(1, http.MethodGet, "/v1/requests", "").body, id)
		other := "Authorization: Bearer " + yataiKey
		require.Equal(t, 404, h.call(1, http.MethodGet, "/v1/requests/"+id, "", other).status)
		require.NotContains(t, h.call(1, http.MethodGet, "/v1/requests", "", other).body, id)
		require.Equal(t, 401, h.call(1, http.MethodGet, "/v1/requests", "", "Authorization: Bearer "+operatorKey).status)
		agent.dispatchList()[0].sendDefaultAnswer()
		a := <-done
		require.Equal(t, id, a.header.Get(headerRequestID))
	})
}
