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

func TestCallersContract(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 0)
		r.addEntry(func(s *settings.Entry) { s.Limits.MaxBody = 1000 })
		service, model := r.addService(1), r.addModel(2)
		long := `"` + strings.Repeat("x", 1000) + `"`
		cases := []struct {
			name   string
			path   string
			body   string
			header []string
			status int
			code   result.Code // 0 for an answer
		}{
			{"service", checkPath, `{"a":1}`, []string{gateCheck}, 200, 0},
			{"completion", chatPath, chatBody, nil, 200, 0},
			{"no key", checkPath, `{}`, []string{"Authorization: ", gateCheck}, 401, result.MissingKey},
			{"other scheme", checkPath, `{}`, []string{"Authorization: Basic " + ownKey, gateCheck}, 401, result.MissingKey},
			{"wrong key", checkPath, `{}`, []string{"Authorization: Bearer no", gateCheck}, 401, result.WrongKey},
			{"no default class", chatPath, chatBody, []string{"Authorization: Bearer " + otherKey}, 404, result.UnknownClass},
			{"unknown class", checkPath, `{}`, []string{"Carawaypitch-Class: none"}, 404, result.UnknownClass},
			{"class of the other kind", checkPath, `{}`, []string{"Carawaypitch-Class: summary"}, 400, result.ClassKindMismatch},
			{"key missing", issuePath, `{}`, []string{passIssue}, 400, result.KeyRequired},
			{"key too long", issuePath, `{}`, []string{passIssue, key(strings.Repeat("k", 257))}, 400, result.BadHeader},
			{"deadline 0", checkPath, `{}`, []string{gateCheck, "Carawaypitch-Deadline-Ms: 0"}, 400, result.BadDeadline},
			{"deadline text", checkPath, `{}`, []string{gateCheck, "Carawaypitch-Deadline-Ms: 1s"}, 400, result.BadDeadline},
			{"not JSON", checkPath, `{`, []string{gateCheck}, 400, result.MalformedBody},
			{"no messages", chatPath, `{"model":"m"}`, nil, 400, result.MalformedBody},
			{"no model", chatPath, `{"prompt":"x"}`, nil, 400, result.MalformedBody},
			{"stream text", chatPath, `{"model":"m","prompt":"x","stream":"yes"}`, nil, 400, result.MalformedBody},
			{"too large", checkPath, long, []string{gateCheck}, 413, result.BodyTooLarge},
			{"unknown service", "/v1/services/none/x", `{}`, []string{gateCheck}, 404, result.UnknownService},
			{"unknown model", chatPath, `{"model":"none","prompt":"x"}`, nil, 404, result.UnknownModel},
			{"dot segment", "/v1/services/registry/a/%2e%2e/b", `{}`, []string{gateCheck}, 404, result.NotFound},
			{"no such path", "/v1/other", `{}`, nil, 404, result.NotFound},
			{"method", "/v1/models", `{}`, nil, 405, result.MethodNotAllowed},
		}
		for _, c := range cases {
			before := service.ran("") + model.ran("")
			a := r.call(1, http.MethodPost, c.path, c.body, c.header...)
			require.Equal(t, c.status, a.status, c.name+a.body)
			require.EqualValues(t, len(a.body), a.length, c.name)
			if c.code == 0 {
				continue
			}
			e := a.code(t)
			require.Equal(t, c.code, e.Code, c.name)
			require.Equal(t, result.RanNo, e.Ran, c.name)
			require.Equal(t, before, service.ran("")+model.ran(""), "%s: nothing is dispatched", c.name)
		}
	})
}

func TestServiceCallGoesOnAsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		agent := r.addService(1)
		a := r.call(1, http.MethodPost, "/v1/services/registry/a%2Fb/c?d=e%20f", `{"x":1}`, gateCheck, key("k 1"))
		require.Equal(t, `{"x":1}`, a.body)
		d := agent.all()[0].d
		require.Equal(t, "/a%2Fb/c?d=e%20f", d.GetPath())
		require.Equal(t, "k 1", d.GetIdempotencyKey())
		require.Equal(t, "compost", d.GetWork().GetOrganisation())
	})
}

func TestWholeCompletionIsPutTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.addModel(1)
		a := r.call(1, http.MethodPost, chatPath, chatBody)
		require.JSONEq(t, `{"id":"c1","object":"chat.completion","created":7,"model":"m",
			"choices":[{"index":0,"message":{"role":"assistant","content":"Hello"},"logprobs":null,"finish_reason":"stop"}],
			"usage":{"prompt_tokens":3,"completion_tokens":2,"total_tokens":5,"prompt_tokens_details":{"cached_tokens":0}}}`, a.body)
		require.Equal(t, "application/json", a.header.Get("Content-Type"))
	})
}

func TestStreamEndsWithDone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		r.addModel(1)
		a := r.call(1, http.MethodPost, chatPath, chatSSE)
		require.Equal(t, "text/event-stream", a.header.Get("Content-Type"))
		want := "data: " + chatEvent("Hel") + "\n\ndata: " + chatEvent("lo") + "\n\ndata: " + chatEnd + "\n\ndata: [DONE]\n\n"
		require.Equal(t, want, a.body)
	})
}

// Symptom: a caller takes a cut stream for an answer. Sequence: some events are delivered, then the engine fails and the
// class's other servers can't go on with the stream. Cause: the stream ends without saying why, or with [DONE].
func TestFailedStreamEndsWithErrorEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		agent := r.addModel(1)
		agent.script(func(d *dispatched) {
			d.frame(0, chatEvent("Hel"))
			d.over(failedProof())
		}, nil)
		a := r.call(1, http.MethodPost, chatPath, chatSSE)
		require.Equal(t, 200, a.status)
		require.NotContains(t, a.body, "[DONE]")
		events := strings.Split(strings.TrimSpace(a.body), "\n\n")
		require.Len(t, events, 2)
		var e result.Error
		require.NoError(t, json.Unmarshal([]byte(strings.TrimPrefix(events[1], "data: ")), &e))
		require.Equal(t, result.RanYes, e.Ran)
	})
}

// Symptom: a resident reads a part of somebody else's answer. Sequence: many requests run at once; their frames come
// interleaved, some twice, some before earlier ones, and frames of unknown attempts come too. Cause: frames are joined in
// the order of arrival, or by request only.
func TestEveryCallerGetsTheOwnWholeAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		agent := r.addService(1)
		agent.hold()
		const n = 8
		answers := make([]<-chan answer, n)
		for i := range n {
			answers[i] = r.goCall(1, checkPath, fmt.Sprintf(`{"caller":%d}`, i), gateCheck)
			synctest.Wait()
		}
		all := agent.all()
		require.Len(t, all, n)
		part := func(i, j int) string { return fmt.Sprintf("caller %d part %d;", i, j) }
		for _, j := range []int{2, 0, 0, 1, 2} { // late and twice
			for i, d := range all {
				d.frame(uint64(j), part(i, j))
			}
		}
		stray := *all[0]
		stray.d = withNumber(all[0].d, all[0].d.GetAttempt().GetNumber()+1)
		stray.frame(3, "not this attempt")
		for i, d := range all {
			d.end("text/plain", part(i, 0), part(i, 1), part(i, 2))
		}
		for i := range n {
			a := <-answers[i]
			require.Equal(t, part(i, 0)+part(i, 1)+part(i, 2), a.body)
		}
	})
}

func TestModelsAndRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, 1)
		agent := r.addModel(1)
		require.Contains(t, r.call(1, http.MethodGet, "/v1/models", "").body, `"id":"m"`)
		require.Equal(t, 401, r.call(1, http.MethodGet, "/v1/models", "", "Authorization: ").status)
		agent.hold()
		done := r.goCall(1, chatPath, chatBody)
		synctest.Wait()
		id := agent.all()[0].d.GetAttempt().GetRequest()
		own := r.call(1, http.MethodGet, "/v1/requests/"+id, "")
		require.Contains(t, own.body, `"server":"server-1"`)
		require.Contains(t, r.call(1, http.MethodGet, "/v1/requests", "").body, id)
		other := "Authorization: Bearer " + otherKey
		require.Equal(t, 404, r.call(1, http.MethodGet, "/v1/requests/"+id, "", other).status)
		require.NotContains(t, r.call(1, http.MethodGet, "/v1/requests", "", other).body, id)
		require.Equal(t, 401, r.call(1, http.MethodGet, "/v1/requests", "", "Authorization: Bearer "+operatorKey).status)
		agent.all()[0].echo()
		a := <-done
		require.Equal(t, id, a.header.Get(headerRequestID))
	})
}
