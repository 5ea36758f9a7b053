package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request by a server.
type run struct {
	attempt, server, method, target, tenant string
	at                                      time.Time
}

// runs collects the executions of all servers.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(one run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, one)
}

// all returns the executions so far.
func (r *runs) all() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.list...)
}

// byAttempt returns the executions of each attempt.
func (r *runs) byAttempt() map[string][]run {
	out := make(map[string][]run)
	for _, one := range r.all() {
		out[one.attempt] = append(out[one.attempt], one)
	}
	return out
}

// server is a stand-in of a server of a plain service. It runs as many requests at once as it has slots, queues a few more and
// rejects the others.
type server struct {
	log     *record
	runs    *runs
	id      string
	service string
	address string
	slots   int
	queue   int
	work    time.Duration
	// loses reports whether the answer of a run is lost, with a reset of its connection; nil for never.
	loses func() bool
	// repeats reports whether an answer is followed by a copy of it, which arrives when the next answer on the connection is
	// expected; nil for never.
	repeats func() bool

	inside   atomic.Int64
	running  chan struct{}
	sequence atomic.Int64
	draining atomic.Bool
	// drainingAcked is when the first ping that says draining was acknowledged.
	drainingAcked atomic.Pointer[time.Time]

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	ended    bool
}

// listen starts to serve.
func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.running = make(chan struct{}, s.slots)
	s.listener, s.conns = listener, make(map[net.Conn]bool)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil || !s.track(conn) {
				return
			}
			go s.serve(conn)
		}
	}()
	return nil
}

func (s *server) hasEnded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended
}

// track adds a connection, unless the server has ended.
func (s *server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		conn.Close()
		return false
	}
	s.conns[conn] = true
	return true
}

// end says that the server leaves and ends it, as a process that exits.
func (s *server) end(ctx context.Context, d *deployment) {
	status, _, err := call(ctx, http.MethodDelete, "http://"+d.seeds()[0]+"/carawaypitch/instances/"+s.id, nil)
	s.log.printf("server %s leaves: %d %v", s.id, status, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	s.listener.Close()
	for conn := range s.conns {
		conn.Close()
	}
	s.log.printf("server %s has ended", s.id)
}

func (s *server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

// ping announces the server to control until ctx ends.
func (s *server) ping(ctx context.Context, d *deployment) {
	for try := 0; ctx.Err() == nil && !s.hasEnded(); try++ {
		state, draining := "ready", s.draining.Load()
		if draining {
			state = "draining"
		}
		body, _ := json.Marshal(map[string]any{
			"backend": s.service, "address": s.address, "zone": "zagreb-a", "version": "v1", "slots": s.slots,
			"state": state, "cold_remaining_ms": 0, "sequence": s.sequence.Add(1),
		})
		status, _, err := call(ctx, http.MethodPut, "http://"+d.seeds()[try%3]+"/carawaypitch/instances/"+s.id, body)
		wait := heartbeat
		if err != nil || status/100 != 2 {
			wait = 100 * time.Millisecond
		}
		if err == nil && status/100 == 2 && draining && s.drainingAcked.Load() == nil {
			now := time.Now()
			s.drainingAcked.Store(&now)
			s.log.printf("server %s: draining is acknowledged", s.id)
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}

// streamPrefix begins the paths of requests that are answered by a stream of events.
const streamPrefix = "/notices/"

// idleTime is how long the server keeps an idle connection.
const idleTime = 15 * time.Second

// serve serves a connection, one request at a time.
func (s *server) serve(conn net.Conn) {
	defer conn.Close()
	defer s.untrack(conn)
	reader := bufio.NewReader(conn)
	var late []byte // copy of an answer that arrives when the next one is expected
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTime))
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != nil {
			s.log.printf("server %s sends a copy of an earlier answer on the connection on which %s has arrived", s.id, request.Header.Get("X-Attempt-Id"))
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := s.answer(request, body)
		if answer == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		if s.repeats != nil && s.repeats() {
			late = answer
		}
	}
}

// answer runs a request, or rejects it, and returns the bytes of the answer, nil if it is lost.
func (s *server) answer(r *http.Request, body []byte) []byte {
	attempt := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/healthz" {
		return format(http.StatusOK, nil, "X-Instance-Id", s.id)
	}
	expected := r.Header.Get("X-Expect-Instance")
	switch {
	case attempt == "":
		return s.reject(http.StatusBadRequest, attempt)
	case expected != "" && expected != s.id:
		return s.reject(http.StatusMisdirectedRequest, attempt)
	}
	defer s.inside.Add(-1)
	if s.inside.Add(1) > int64(s.slots+s.queue) {
		return s.reject(http.StatusServiceUnavailable, attempt)
	}
	s.running <- struct{}{}
	defer func() { <-s.running }()
	s.runs.add(run{attempt, s.id, r.Method, r.RequestURI, r.Header.Get("X-Tenant"), time.Now()})
	s.log.printf("server %s runs %s: %s %s, %d bytes", s.id, attempt, r.Method, r.RequestURI, len(body))
	time.Sleep(s.work)
	if s.loses != nil && s.loses() {
		s.log.printf("server %s loses its answer to %s", s.id, attempt)
		return nil
	}
	lines := []string{"X-Attempt-Id", attempt, "X-Server-Signature", s.id + "." + attempt}
	if strings.HasPrefix(r.URL.Path, streamPrefix) {
		lines = append(lines, "Content-Type", "text/event-stream")
		return format(http.StatusOK, fmt.Appendf(nil, "id: 1\ndata: run of %s by %s\n\nid: 2\ndata: end\n\n", attempt, s.id), lines...)
	}
	return format(http.StatusOK, fmt.Appendf(nil, "run of %s by %s\n", attempt, s.id), lines...)
}

// reject returns the answer to a request that isn't run.
func (s *server) reject(status int, attempt string) []byte {
	s.log.printf("server %s rejects %s: %d", s.id, attempt, status)
	return format(status, nil, "X-Attempt-Id", attempt, "X-Server-Signature", s.id+"."+attempt, "X-Not-Executed", "1")
}

// format returns the bytes of an answer with the given header lines, names and values in turn.
func format(status int, body []byte, lines ...string) []byte {
	var out bytes.Buffer
	fmt.Fprintf(&out, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	for i := 0; i < len(lines); i += 2 {
		fmt.Fprintf(&out, "%s: %s\r\n", lines[i], lines[i+1])
	}
	out.WriteString("\r\n")
	out.Write(body)
	return out.Bytes()
}
