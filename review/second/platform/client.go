package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Int64

// answer is what a caller got.
type answer struct {
	attempt string
	kept    bool // it was sent on a connection that had carried another request
	status  int
	body    string
	err     error
}

// ask sends one request on a new connection to an entry, and records it.
func (d *deployment) ask(m *machine, method, path, key string, timeout time.Duration) answer {
	a := d.askQuietly(callClient, m, method, path, key, timeout)
	d.record.write("caller: %s %s %s with key %s at %s: %d %q %v", a.attempt, method, path, key, m.name, a.status, a.body, a.err)
	return a
}

// askQuietly is ask with a client of its own and without the record.
func (d *deployment) askQuietly(client *http.Client, m *machine, method, path, key string, timeout time.Duration) answer {
	a := answer{attempt: fmt.Sprintf("a%08x", attempts.Add(1))}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) { a.kept = c.Reused }})
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.address(m.ip, callerPort)+path, strings.NewReader(""))
	if err != nil {
		a.err = err
		return a
	}
	request.Host = host
	request.GetBody = nil // the client sends nothing again by itself
	request.Header.Set("X-Attempt-Id", a.attempt)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	request.Header.Set("X-Credential", key)
	response, err := client.Do(request)
	if err != nil {
		a.err = err
	} else {
		defer response.Body.Close()
		var body []byte
		body, a.err = io.ReadAll(response.Body)
		a.status, a.body = response.StatusCode, strings.TrimSpace(string(body))
	}
	return a
}
