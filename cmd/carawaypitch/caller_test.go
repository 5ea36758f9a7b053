package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
)

// callTimeout bounds one HTTP or link call of a test.
const callTimeout = 30 * time.Second

// callerClient never reuses a connection: the call after a process was killed must fail on a new connection, not on a
// stale one.
var callerClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   callTimeout,
}

// reply is an HTTP reply with its whole body.
type reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// resultError decodes the body of a reply as an error with a result code.
func (r reply) resultError(t testing.TB) *result.Error {
	t.Helper()
	coded := new(result.Error)
	require.NoError(t, json.Unmarshal(r.Body, coded), "%s", r.Body)
	return coded
}

// caller calls one entry with an organisation's key.
type caller struct {
	entry string
	key   string
}

// post sends a JSON body with additional headers and reads the whole reply.
func (c caller) post(path string, headers map[string]string, body string) (reply, error) {
	request, err := http.NewRequest(http.MethodPost, c.entry+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return reply{}, err
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	got, err := callerClient.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = got.Body.Close() }()
	data, err := io.ReadAll(got.Body)
	return reply{Status: got.StatusCode, Header: got.Header, Body: data}, err
}

// mustPost is post for a call that must get a reply.
func (c caller) mustPost(t testing.TB, path string, headers map[string]string, body string) reply {
	t.Helper()
	got, err := c.post(path, headers, body)
	require.NoError(t, err)
	return got
}

// issuePass asks the sample registry to issue a pass, with key as the idempotency key and the name of the pass.
func (c caller) issuePass(key string) (reply, error) {
	return c.post("/v1/services/registry/issue", map[string]string{
		"Carawaypitch-Class": "pass-issue",
		"Idempotency-Key":    key,
	}, `{"pass": "`+key+`"}`)
}

// gateCheck calls the gate check of the sample registry, which is idempotent.
func (c caller) gateCheck() (reply, error) {
	return c.post("/v1/services/registry/check", map[string]string{"Carawaypitch-Class": "gate-check"}, `{"pass": "ZG-1"}`)
}

// getJSON requests a URL, which must return 200, and decodes the JSON reply into out.
func getJSON(t testing.TB, url string, out any) {
	t.Helper()
	got, err := callerClient.Get(url)
	require.NoError(t, err)
	defer func() { _ = got.Body.Close() }()
	require.Equal(t, http.StatusOK, got.StatusCode)
	require.NoError(t, json.NewDecoder(got.Body).Decode(out))
}

// returnsOK reports whether a GET of the URL returns 200.
func returnsOK(url string) bool {
	got, err := callerClient.Get(url)
	if err != nil {
		return false
	}
	_ = got.Body.Close()
	return got.StatusCode == http.StatusOK
}
