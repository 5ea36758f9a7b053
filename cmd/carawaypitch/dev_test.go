package main

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/dev"
	"github.com/carawaypitch/carawaypitch/result"
)

// startDev runs `dev -json` as a process and returns its addresses and keys. At the end of the test it sends SIGTERM; the
// exit code must be 0.
func startDev(t *testing.T, flags ...string) dev.Info {
	t.Helper()
	args := []string{"dev", "-json", "-entry", "127.0.0.1:0", "-control", "127.0.0.1:0", "-data", t.TempDir()}
	command := exec.Command(binaryPath, append(args, flags...)...)
	out, err := command.StdoutPipe()
	require.NoError(t, err)
	var log strings.Builder
	command.Stderr = &log
	require.NoError(t, command.Start())
	t.Cleanup(func() {
		_ = command.Process.Signal(syscall.SIGTERM)
		require.NoError(t, command.Wait(), "%s", log.String())
	})
	line, err := bufio.NewReader(out).ReadBytes('\n')
	require.NoError(t, err, "%s", log.String())
	var info dev.Info
	require.NoError(t, json.Unmarshal(line, &info))
	return info
}

// A fresh `dev` must serve completions, streams, gate checks and pass issuances at each entry, and refuse invalid calls
// with their result codes.
func TestDevServesEachKindOfCall(t *testing.T) {
	info := startDev(t)
	require.Len(t, info.Entries, 2)
	for n, entry := range info.Entries {
		c := caller{entry, info.Organisations[n].Key}
		requireCompletion(t, c)
		requireStream(t, c)
		requireCheck(t, c)
		requireIssueOnce(t, c, info, "pass-"+strconv.Itoa(n))
	}
	requireRefusals(t, info)
}

const prompt = `"model": "sample", "max_tokens": 8, "messages": [{"role": "user", "content": "What may be tipped?"}]`

func requireCompletion(t testing.TB, c caller) {
	t.Helper()
	got := c.mustPost(t, "/v1/chat/completions", nil, `{`+prompt+`}`)
	require.Equal(t, http.StatusOK, got.Status, "%s", got.Body)
	require.Equal(t, strconv.Itoa(len(got.Body)), got.Header.Get("Content-Length"))
	require.NotEmpty(t, got.Header.Get("Carawaypitch-Request-Id"))
	var completion struct {
		Choices []struct {
			Message struct{ Content string }
		}
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		}
	}
	require.NoError(t, json.Unmarshal(got.Body, &completion))
	require.NotEmpty(t, completion.Choices[0].Message.Content)
	require.Equal(t, 8, completion.Usage.CompletionTokens)
}

func requireStream(t testing.TB, c caller) {
	t.Helper()
	got := c.mustPost(t, "/v1/chat/completions", nil, `{"stream": true, `+prompt+`}`)
	require.Equal(t, http.StatusOK, got.Status, "%s", got.Body)
	require.True(t, strings.HasSuffix(strings.TrimSpace(string(got.Body)), "data: [DONE]"), "%s", got.Body)
}

func requireCheck(t testing.TB, c caller) {
	t.Helper()
	got, err := c.gateCheck()
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, got.Status, "%s", got.Body)
}

// requireIssueOnce issues a pass at the caller's entry and again, with the same key, at every entry. All replies must be
// equal, and the pass must be issued once.
func requireIssueOnce(t testing.TB, c caller, info dev.Info, key string) {
	t.Helper()
	first, err := c.issuePass(key)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, first.Status, "%s", first.Body)
	for _, entry := range info.Entries {
		again, err := caller{entry, c.key}.issuePass(key)
		require.NoError(t, err)
		require.Equal(t, first.Status, again.Status)
		require.Equal(t, string(first.Body), string(again.Body))
	}
	require.Equal(t, 1, totalRuns(t, info.Engines, key))
}

// totalRuns returns how many times the issuance with a key ran, over all given stand-ins.
func totalRuns(t testing.TB, engines []string, key string) int {
	t.Helper()
	total := 0
	for _, engine := range engines {
		if !returnsOK(engine + "/v1/runs") {
			continue // a model engine does not serve /v1/runs
		}
		runs := map[string]int{}
		getJSON(t, engine+"/v1/runs", &runs)
		total += runs[key]
	}
	return total
}

// requireRefusals sends invalid and forbidden calls. Each must be refused with its result code and ran=no.
func requireRefusals(t *testing.T, info dev.Info) {
	t.Helper()
	valid := caller{info.Entries[0], info.Organisations[0].Key}
	cases := []struct {
		name    string
		caller  caller
		path    string
		headers map[string]string
		body    string
		code    result.Code
		status  int
	}{
		{"wrong key", caller{valid.entry, "wrong"}, "/v1/completions", nil, `{}`, result.WrongKey, http.StatusUnauthorized},
		{"malformed", valid, "/v1/chat/completions", nil, `{"model": `, result.MalformedBody, http.StatusBadRequest},
		{"unknown class", valid, "/v1/chat/completions", map[string]string{"Carawaypitch-Class": "none"}, `{` + prompt + `}`, result.UnknownClass, http.StatusNotFound},
		{"unknown service", valid, "/v1/services/none/check", map[string]string{"Carawaypitch-Class": "gate-check"}, `{}`, result.UnknownService, http.StatusNotFound},
		{"key required", valid, "/v1/services/registry/issue", map[string]string{"Carawaypitch-Class": "pass-issue"}, `{}`, result.KeyRequired, http.StatusBadRequest},
		{"too large", valid, "/v1/chat/completions", nil, `{"model": "sample", "messages": "` + strings.Repeat("x", 5<<20) + `"}`, result.BodyTooLarge, http.StatusRequestEntityTooLarge},
		{"other body", valid, "/v1/services/registry/issue", map[string]string{"Carawaypitch-Class": "pass-issue", "Idempotency-Key": "pass-0"}, `{"other": 1}`, result.KeyReusedWithOtherBody, http.StatusConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := c.caller.mustPost(t, c.path, c.headers, c.body)
			require.Equal(t, c.status, got.Status, "%s", got.Body)
			coded := got.resultError(t)
			require.Equal(t, c.code, coded.Code)
			require.Equal(t, result.RanNo, coded.Ran)
			require.NotEmpty(t, got.Header.Get("Carawaypitch-Request-Id"))
		})
	}
}
