package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Timing of the case foreign-ping.
const (
	drainTime      = 2500 * time.Millisecond // drain_ms of the site kw-tiles-grown
	lateService    = 3 * time.Second         // how much longer the server that leaves serves
	pingRequesters = 12
	pingPause      = 20 * time.Millisecond
)

// foreignPing has another writer send a ping in the name of a server, with the fields version and cold_remaining_ms missing.
// Afterwards the server reports that it is draining, serves on and leaves. It returns the requests that reach the server later
// than drain_ms after the acknowledgement.
func foreignPing(ctx context.Context, log *record, trouble bool) ([]string, error) {
	d, err := newDeployment(log, 5)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	d.drainTime = drainTime
	done := new(runs)
	for machine := range 3 {
		if err := d.start("control", machine, true); err != nil {
			return nil, err
		}
		if err := d.start("entry", machine, true); err != nil {
			return nil, err
		}
	}
	servers := []*server{{id: "i-10a0", address: d.address(3, portServer)}, {id: "i-10a1", address: d.address(4, portServer)}}
	for _, s := range servers {
		s.log, s.runs, s.service, s.slots, s.work = log, done, "registry", 6, 60*time.Millisecond
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
	var end atomic.Bool
	var lost atomic.Int64
	var group sync.WaitGroup
	for i := range pingRequesters {
		group.Go(func() {
			r := &requester{log: log, address: d.address(i%3, portFrontend), key: "key-of-tenant-a"}
			defer r.close()
			for n := 0; !end.Load() && ctx.Err() == nil; n++ {
				attempt := fmt.Sprintf("a%d-%d", i, n)
				if got := r.send(http.MethodPost, "pass.example", "/issue/"+attempt, attempt, []byte("x")); got.status == 0 || got.status == http.StatusBadGateway {
					lost.Add(1)
				}
				time.Sleep(pingPause + time.Duration(i)*time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if trouble {
		body, _ := json.Marshal(map[string]any{
			"backend": "registry", "address": servers[0].address, "zone": "zagreb-a", "slots": 6, "state": "ready", "sequence": time.Now().UnixMilli(),
		})
		status, answer, err := call(ctx, http.MethodPut, "http://"+d.seeds()[0]+"/carawaypitch/instances/i-10a0", body)
		log.printf("another writer's ping in the name of i-10a0: %s -> %d %s %v", body, status, answer, err)
	}
	time.Sleep(2 * time.Second)
	servers[0].draining.Store(true)
	for servers[0].drainingAcked.Load() == nil && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(drainTime + lateService)
	servers[0].end(ctx, d)
	time.Sleep(time.Second)
	end.Store(true)
	group.Wait()
	log.printf("%d requests ended without an answer of a server, or with 502", lost.Load())
	acked := *servers[0].drainingAcked.Load()
	var broken []string
	for _, one := range done.all() {
		if late := one.at.Sub(acked); one.server == "i-10a0" && late > drainTime {
			broken = append(broken, fmt.Sprintf("DRAIN: attempt %s reached %s %d ms after the acknowledgement that it is draining", one.attempt, one.server, late.Milliseconds()))
		}
	}
	return broken, nil
}
