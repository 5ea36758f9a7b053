package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Load and disruption of the case repeated-get.
const (
	getRequesters = 12
	getPause      = 60 * time.Millisecond // of a requester between two requests
	getCalm       = 3 * time.Second       // before the disruption
	lostTime      = 4 * time.Second       // length of the disruption
	lostShare     = 0.05                  // of the answers of one of two servers
)

// repeatedGet sends requests without a body on a route of type unsafe and on one of type streaming that isn't resumable. For some seconds a server loses answers of requests
// that it ran, with a reset of the connection. It returns the attempts that ran more than once.
func repeatedGet(ctx context.Context, log *record, trouble bool) ([]string, error) {
	d, err := newDeployment(log, 5)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	done := new(runs)
	var loses atomic.Bool
	random := rand.New(rand.NewPCG(1, 2))
	var mu sync.Mutex
	servers := []*server{
		{id: "i-10a0", address: d.address(3, portServer), loses: func() bool {
			mu.Lock()
			defer mu.Unlock()
			return loses.Load() && random.Float64() < lostShare
		}},
		{id: "i-10a1", address: d.address(4, portServer)},
	}
	for machine := range 3 {
		if err := d.start("control", machine, true); err != nil {
			return nil, err
		}
		if err := d.start("entry", machine, true); err != nil {
			return nil, err
		}
	}
	for _, s := range servers {
		s.log, s.runs, s.service, s.slots, s.work = log, done, "registry", 6, 15*time.Millisecond
		if err := s.listen(); err != nil {
			return nil, err
		}
		go s.ping(ctx, d)
	}
	if err := d.putDesired(ctx, registryState(1)); err != nil {
		return nil, err
	}
	for machine := range 3 {
		if err := d.awaitReady(ctx, machine); err != nil {
			return nil, err
		}
	}
	end := time.Now().Add(getCalm + lostTime + time.Second)
	if trouble {
		time.AfterFunc(getCalm, func() { log.printf("the server i-10a0 begins to lose answers"); loses.Store(true) })
		time.AfterFunc(getCalm+lostTime, func() { log.printf("the server i-10a0 loses no more answers"); loses.Store(false) })
	}
	var group sync.WaitGroup
	var answered atomic.Int64
	for i := range getRequesters {
		group.Go(func() {
			r := &requester{log: log, address: d.address(i%3, portFrontend), key: "key-of-tenant-a"}
			defer r.close()
			for n := 0; time.Now().Before(end) && ctx.Err() == nil; n++ {
				prefix := []string{"/issue/", streamPrefix}[n%2]
				attempt := fmt.Sprintf("a%d-%d", i, n)
				if r.send(http.MethodGet, "pass.example", prefix+attempt, attempt, nil).status == http.StatusOK {
					answered.Add(1)
				}
				time.Sleep(getPause)
			}
		})
	}
	group.Wait()
	log.printf("%d requests were answered with 200", answered.Load())
	if answered.Load() == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	var broken []string
	for attempt, of := range done.byAttempt() {
		if len(of) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: attempt %s, %s %s, ran %d times: at %s and, %d ms later, at %s",
				attempt, of[0].method, of[0].target, len(of), of[0].server, of[1].at.Sub(of[0].at).Milliseconds(), of[1].server))
		}
	}
	sort.Strings(broken)
	return broken, nil
}

// registryState is a desired state with one service, a route of type unsafe and one of type streaming that isn't resumable.
func registryState(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "issue", "hostname": "pass.example", "path_prefix": "/issue/", "type": "unsafe", "timeout_ms": 3000,
				"slo_ms": 300, "priority": 0, "backend": "registry", "max_attempts": 2, "public": false,
			},
			map[string]any{
				"name": "notices", "hostname": "pass.example", "path_prefix": streamPrefix, "type": "streaming", "timeout_ms": 3000,
				"slo_ms": 300, "priority": 0, "backend": "registry", "max_attempts": 2, "public": false, "resumable": false, "itl_target_ms": 400,
			},
		},
		"services": []any{map[string]any{
			"name": "registry", "health_path": "/healthz", "max_connections": 120, "protocol": "h1", "tls": false,
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-a", "api_keys": []any{"key-of-tenant-a"}, "priority": 0}},
	}
}
