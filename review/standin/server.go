package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
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

// byAttempt returns the executions of each attempt.
func (r *runs) byAttempt() map[string][]run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[string][]run)
	for _, one := range r.list {
		out[one.attempt] = append(out[one.attempt], one)
	}
	return out
}

// server is a stand-in of a server of a plain service.
type server struct {
	log     *record
	runs    *runs
	id      string
	service string
	address string
	slots   int
	work    time.Duration
	// loses reports whether the answer of a run is lost, with a reset of its connection; nil for never.
	loses func() bool

	active   atomic.Int64
	sequence atomic.Int64
	draining atomic.Bool
	// drainingAcked is when the first ping that says draining was acknowledged.
	drainingAcked atomic.Pointer[time.Time]
	http     *http.Server
}

// listen starts to serve.
func (s *server) listen() error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 15 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	return nil
}

// ping announces the server to control until ctx ends.
func (s *server) ping(ctx context.Context, d *deployment) {
	for try := 0; ctx.Err() == nil; try++ {
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

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Server-Signature", s.id+"."+attempt)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	expected := r.Header.Get("X-Expect-Instance")
	switch {
	case attempt == "":
		s.reject(w, http.StatusBadRequest)
		return
	case expected != "" && expected != s.id:
		s.reject(w, http.StatusMisdirectedRequest)
		return
	case s.active.Add(1) > int64(s.slots):
		s.active.Add(-1)
		s.reject(w, http.StatusServiceUnavailable)
		return
	}
	defer s.active.Add(-1)
	s.runs.add(run{attempt, s.id, r.Method, r.RequestURI, r.Header.Get("X-Tenant"), time.Now()})
	s.log.printf("server %s runs %s: %s %s, %d bytes", s.id, attempt, r.Method, r.RequestURI, len(body))
	time.Sleep(s.work)
	if s.loses != nil && s.loses() {
		s.log.printf("server %s loses its answer to %s", s.id, attempt)
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			conn.Close()
		}
		return
	}
	fmt.Fprintf(w, "run of %s by %s\n", attempt, s.id)
}

// reject answers without running the request.
func (s *server) reject(w http.ResponseWriter, status int) {
	w.Header().Set("X-Not-Executed", "1")
	w.WriteHeader(status)
}
