package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in for a server of a plain service.
type server struct {
	d       *deployment
	service string
	id      string
	ip      string
	address string
	work    time.Duration
	// One of failEvery requests is answered with status failWith after it ran; 0 for none.
	failEvery, failWith int
	// answerBytes is the least length of an answer.
	answerBytes int

	http     *http.Server
	stopBeat chan struct{}

	mu       sync.Mutex
	sequence int
	ran      map[string]int // by the caller's ID of the attempt
	served   int
}

// startServer starts a server at an address of its own that announces itself as the pages tell.
func (d *deployment) startServer(service string, work time.Duration) (*server, error) {
	ip := d.newIP()
	s := &server{
		d: d, service: service, id: "i-" + ip, ip: ip, address: d.address(ip, serverPort), work: work,
		stopBeat: make(chan struct{}), ran: make(map[string]int),
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	go s.beat()
	d.record.write("server %s of %s at %s", s.id, service, s.address)
	return s, nil
}

// beat announces the server with each heartbeat, to another instance after a failure.
func (s *server) beat() {
	n := 0
	for {
		s.sequence++
		body, _ := json.Marshal(map[string]any{
			"backend": s.service, "address": s.address, "zone": s.d.zones[0], "version": "v1", "slots": 6, "state": "ready",
			"cold_remaining_ms": 0, "sequence": s.sequence,
		})
		for range 6 {
			instances := s.d.running("control")
			if len(instances) == 0 {
				break
			}
			m := instances[n%len(instances)]
			status, _, err := call(http.MethodPut, s.d.address(m.ip, controlPort), "/carawaypitch/instances/"+s.id, body, time.Second)
			if err == nil && status/100 == 2 {
				break
			}
			n++
		}
		select {
		case <-s.stopBeat:
			return
		case <-time.After(1200 * time.Millisecond):
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
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.ran[attempt]++
	s.served++
	fails := s.failEvery > 0 && s.served%s.failEvery == 0
	s.mu.Unlock()
	if s.answerBytes == 0 {
		s.d.record.write("server %s of %s runs %s %s of tenant %s", s.id, s.service, attempt, r.URL.Path, r.Header.Get("X-Tenant"))
	}
	time.Sleep(s.work)
	w.Header().Set("X-Attempt-Id", attempt)
	w.Header().Set("X-Server-Signature", "sig-"+attempt)
	if fails {
		s.d.record.write("server %s answers %s with %d of its own", s.id, attempt, s.failWith)
		w.WriteHeader(s.failWith)
	}
	fmt.Fprintf(w, "%s of %s ran %s\n%s", s.id, s.service, attempt, strings.Repeat("x", s.answerBytes))
}

// hasRun reports whether the server ran an attempt.
func (s *server) hasRun(attempt string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[attempt] > 0
}
