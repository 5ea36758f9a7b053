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

// callTimeout bounds one call of a test.
const callTimeout = 30 * time.Second

// callerClient never reuses a connection, so that a killed process is noticed by the next call and not by a stale one.
var callerClient = &http.Client{
	Transport: &http.Transport{DisableKeepAlives: true},
	Timeout:   callTimeout,
}

// reply is a whole reply of an entry.
type reply struct {
	Status int
	Header http.Header
	Body   []byte
}

// resultError reads the numbered error of a reply.
func (r reply) resultError(t testing.TB) *result.Error {
	t.Helper()
	coded := new(result.Error)
	require.NoError(t, json.Unmarshal(r.Body, coded), "%s", r.Body)
	return coded
}

// caller calls an entry for one organisation.
type caller struct {
	entry string
	key   string
}

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

func (c caller) mustPost(t testing.TB, path string, headers map[string]string, body string) reply {
	t.Helper()
	got, err := c.post(path, headers, body)
	require.NoError(t, err)
	return got
}

// issuePass calls the sample registry to issuePass a pass under a key.
func (c caller) issuePass(key string) (reply, error) {
	return c.post("/v1/services/registry/issue", map[string]string{
		"Carawaypitch-Class": "pass-issue",
		"Idempotency-Key":    key,
	}, `{"pass": "`+key+`"}`)
}

// gateCheck calls the sample registry for a gate gateCheck.
func (c caller) gateCheck() (reply, error) {
	return c.post("/v1/services/registry/check", map[string]string{"Carawaypitch-Class": "gate-check"}, `{"pass": "ZG-1"}`)
}

// getJSON reads a page of any process.
func getJSON(t testing.TB, url string, out any) {
	t.Helper()
	got, err := callerClient.Get(url)
	require.NoError(t, err)
	defer func() { _ = got.Body.Close() }()
	require.Equal(t, http.StatusOK, got.StatusCode)
	require.NoError(t, json.NewDecoder(got.Body).Decode(out))
}

// returnsOK tells whether a page returnsOK with 200.
func returnsOK(url string) bool {
	got, err := callerClient.Get(url)
	if err != nil {
		return false
	}
	_ = got.Body.Close()
	return got.StatusCode == http.StatusOK
}
