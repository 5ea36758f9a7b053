package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Load and disruption of the case quick-return.
const (
	returnRequesters = 6
	returnPause      = 60 * time.Millisecond
	returnQuickGap   = 400 * time.Millisecond // between desired states that come in quick succession
	returnCalmGap    = 10 * time.Second       // without the disruption
	returnApply      = 2 * time.Second        // config_apply_ms of the settings
	returnObserved   = 30 * time.Second       // after that
	returnLeast      = 20                     // requests by which the rule judges
)

// quickReturn removes a route and its service from the desired state and adds both again, in quick succession. It returns whether
// the route is served less than a quarter as often as the one that was never changed.
func quickReturn(ctx context.Context, log *record, trouble bool) ([]string, error) {
	d, err := newDeployment(log, 7)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	done := new(runs)
	for machine := range 3 {
		if err := d.start("control", machine, true); err != nil {
			return nil, err
		}
		if err := d.start("entry", machine, true); err != nil {
			return nil, err
		}
	}
	for i, service := range []string{"registry", "registry", "ledger", "ledger"} {
		s := &server{id: fmt.Sprintf("i-10a%d", i), address: d.address(3+i, portServer)}
		s.log, s.runs, s.service, s.slots, s.work = log, done, service, 6, 15*time.Millisecond
		if err := s.listen(); err != nil {
			return nil, err
		}
		go s.ping(ctx, d)
	}
	if err := d.putDesired(ctx, ledgerState(1, true)); err != nil {
		return nil, err
	}
	for machine := range 3 {
		if err := d.awaitReady(ctx, machine); err != nil {
			return nil, err
		}
	}
	var end, judged atomic.Bool
	var sent, served [2]atomic.Int64
	var group sync.WaitGroup
	for i := range returnRequesters {
		group.Go(func() {
			r := &requester{log: log, address: d.address(i%3, portFrontend), key: "key-of-tenant-a"}
			defer r.close()
			for n := 0; !end.Load() && ctx.Err() == nil; n++ {
				attempt, counts := fmt.Sprintf("a%d-%d", i, n), judged.Load()
				got := r.send(http.MethodPost, "pass.example", []string{"/issue/", "/ledger/"}[n%2]+attempt, attempt, []byte("x"))
				if counts {
					sent[n%2].Add(1)
					if got.status == http.StatusOK {
						served[n%2].Add(1)
					}
				}
				time.Sleep(returnPause)
			}
		})
	}
	time.Sleep(5 * time.Second)
	gap := returnCalmGap
	if trouble {
		gap = returnQuickGap
	}
	if err := d.putDesired(ctx, ledgerState(2, false)); err != nil {
		return nil, err
	}
	time.Sleep(gap)
	if err := d.putDesired(ctx, ledgerState(3, true)); err != nil {
		return nil, err
	}
	time.Sleep(returnApply)
	judged.Store(true)
	time.Sleep(returnObserved)
	end.Store(true)
	group.Wait()
	text := fmt.Sprintf("later than config_apply_ms after the acknowledgement of version 3, %d of %d requests on the route added by it were served, and %d of %d on the first route",
		served[1].Load(), sent[1].Load(), served[0].Load(), sent[0].Load())
	log.printf("%s", text)
	if served[0].Load() == 0 || sent[1].Load() < returnLeast {
		return nil, fmt.Errorf("too few requests: %s", text)
	}
	if 4*served[1].Load()*sent[0].Load() < served[0].Load()*sent[1].Load() {
		return []string{"CONFIG: " + text}, nil
	}
	return nil, nil
}

// ledgerState is registryState, with another service and a route to it if withLedger is set.
func ledgerState(version int, withLedger bool) map[string]any {
	desired := registryState(version)
	if withLedger {
		desired["routes"] = append(desired["routes"].([]any), map[string]any{
			"name": "ledger", "hostname": "pass.example", "path_prefix": "/ledger/", "type": "unsafe", "timeout_ms": 3000,
			"slo_ms": 300, "priority": 0, "backend": "ledger", "max_attempts": 2, "public": false,
		})
		desired["services"] = append(desired["services"].([]any), map[string]any{
			"name": "ledger", "health_path": "/healthz", "max_connections": 120, "protocol": "h1", "tls": false,
		})
	}
	return desired
}
