package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Load and disruption of the case late-copy. The requesters of the entries 1 and 2 send at the same moments, more than the
// server takes at once, and one requester of each of the other entries just after them.
const (
	lateCrowd   = 12
	lateCalm    = 3
	lateTick    = 50 * time.Millisecond
	lateAfter   = 9 * time.Millisecond
	lateSpells  = 10
	lateSpell   = 5 * time.Second
	lateBetween = 2 * time.Second
	lateShare   = 0.03 // of the answers of the server
	lateEntries = 5
)

// lateCopy sends more than a server takes at once, so that it rejects requests. For some seconds at a time it sends some answers
// twice, the second time when the next answer on the connection is expected. It returns attempts of an unsafe route that ran twice, or were
// answered 503 or 429 and ran.
func lateCopy(ctx context.Context, log *record, trouble bool) ([]string, error) {
	d, err := newDeployment(log, 6)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	done := new(runs)
	var garbles atomic.Bool
	random := rand.New(rand.NewPCG(3, 4))
	var mu sync.Mutex
	servers := []*server{
		{id: "i-10a0", address: d.address(5, portServer), repeats: func() bool {
			mu.Lock()
			defer mu.Unlock()
			return garbles.Load() && random.Float64() < lateShare
		}},
	}
	for machine := range 3 {
		if err := d.start("control", machine, true); err != nil {
			return nil, err
		}
	}
	for machine := range lateEntries {
		if err := d.start("entry", machine, true); err != nil {
			return nil, err
		}
	}
	for _, s := range servers {
		s.log, s.runs, s.service, s.slots, s.queue, s.work = log, done, "registry", 6, 2, 15*time.Millisecond
		if err := s.listen(); err != nil {
			return nil, err
		}
		go s.ping(ctx, d)
	}
	if err := d.putDesired(ctx, registryState(1)); err != nil {
		return nil, err
	}
	for machine := range lateEntries {
		if err := d.awaitReady(ctx, machine); err != nil {
			return nil, err
		}
	}
	var refused sync.Map
	var served atomic.Int64
	var end atomic.Bool
	var group sync.WaitGroup
	began := time.Now()
	for i := range lateCrowd + lateCalm {
		group.Go(func() {
			entry, offset := 1+i%2, time.Duration(0)
			if i < lateCalm {
				entry, offset = [lateCalm]int{0, 3, 4}[i], lateAfter
			}
			r := &requester{log: log, address: d.address(entry, portFrontend), key: "key-of-tenant-a"}
			defer r.close()
			for n := 0; !end.Load() && ctx.Err() == nil; n++ {
				time.Sleep(time.Until(began.Add(time.Since(began).Truncate(lateTick) + lateTick + offset)))
				attempt := fmt.Sprintf("a%d-%d", i, n)
				switch r.send(http.MethodPost, "pass.example", "/issue/"+attempt, attempt, []byte("x")).status {
				case http.StatusOK:
					served.Add(1)
				case http.StatusServiceUnavailable, http.StatusTooManyRequests:
					refused.Store(attempt, true)
				}
			}
		})
	}
	for range lateSpells {
		time.Sleep(lateBetween)
		garbles.Store(trouble)
		log.printf("the server i-10a0 sends some answers twice: %t", trouble)
		time.Sleep(lateSpell)
		garbles.Store(false)
	}
	end.Store(true)
	group.Wait()
	if served.Load() == 0 {
		return nil, fmt.Errorf("no request was served")
	}
	log.printf("%d requests were answered with 200", served.Load())
	var broken []string
	for attempt, of := range done.byAttempt() {
		if len(of) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: attempt %s of an unsafe route ran %d times: at %s and, %d ms later, at %s",
				attempt, len(of), of[0].server, of[1].at.Sub(of[0].at).Milliseconds(), of[1].server))
		}
		if _, was := refused.Load(attempt); was {
			broken = append(broken, fmt.Sprintf("REFUSED: attempt %s of an unsafe route was answered 503 or 429 and ran at %s", attempt, of[0].server))
		}
	}
	slices.Sort(broken)
	return broken, nil
}
