package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	answerBytes = 200 << 10
	// Each entry gets so many requests a second of either tenant.
	steadyRate, hotRate = 12, 8
	hotFactor           = 6
	hotFor              = 11 * time.Second
	hotEvery            = 30 * time.Second
	hotSpells           = 3
	callerPatience      = 3 * time.Second
	// Callers keep connections for less than the limit of the desired state.
	keptConnections = 16
	keptFor         = 10 * time.Second
	// mostLost is how many such requests the rule allows.
	mostLost = 3
)

// heldAnswers has two tenants ask a plain service whose answers are 200 KB long. One tenant sends many times its usual for some
// seconds, three times. The stand-in of the platform kills each process whose own memory is above its limit, and starts it again.
func heldAnswers(r *record, trouble bool) error {
	d, err := newDeployment(r, small)
	if err != nil {
		return err
	}
	defer d.stop()
	core, entries, err := d.startSmall(2)
	if err != nil {
		return err
	}
	o := &operator{d: d}
	state := desired{
		Routes:   []map[string]any{plainRoute("document", "/document/", "unsafe", "registry", 1500)},
		Services: []map[string]any{plainService("registry")},
		Limits:   standardLimits,
		Tenants: []map[string]any{
			{"name": "north", "api_keys": []string{"key-hot"}},
			{"name": "south", "api_keys": []string{"key-steady"}},
		},
	}
	if err := o.put(state, 10*time.Second); err != nil {
		return err
	}
	var servers []*server
	for range 3 {
		s, err := d.startServer("registry", 60*time.Millisecond)
		if err != nil {
			return err
		}
		s.answerBytes = answerBytes
		servers = append(servers, s)
	}
	for _, m := range entries {
		if err := d.awaitReady(m, 10*time.Second); err != nil {
			return err
		}
	}
	d.bootstrap = false
	guard := &memoryGuard{d: d, core: core, kills: make(map[string]int), most: make(map[string]int)}
	var goroutines sync.WaitGroup
	stop := make(chan struct{})
	goroutines.Go(func() { guard.run(stop) })
	began := time.Now()
	end := began.Add(hotSpells * hotEvery)
	sums := tally{record: r, servers: servers, byStatus: make(map[int]int)}
	for _, m := range entries {
		goroutines.Go(func() { d.askSteadily(m, "key-steady", end, func(time.Duration) int { return steadyRate }, &sums) })
		goroutines.Go(func() {
			d.askSteadily(m, "key-hot", end, func(since time.Duration) int {
				if trouble && since%hotEvery > hotEvery-hotFor {
					return hotRate * hotFactor
				}
				return hotRate
			}, &sums)
		})
	}
	time.Sleep(time.Until(end))
	close(stop)
	goroutines.Wait()
	r.write("%s", sums.String())
	ended := 0
	for _, m := range append(core, entries...) {
		r.write("%s: killed %d times, most memory of its own %d kB of %d", m.name, guard.kills[m.name], guard.most[m.name], small.memoryMB<<10)
		if m.role == "entry" && guard.kills[m.name] > 0 {
			ended++
		}
	}
	if sums.lost > mostLost {
		return fmt.Errorf("%w: LOST: %d requests from kept connections had been passed on to a sound server and got no answer; %d of %d machines went over their memory and ended, %v",
			errBroken, sums.lost, ended, len(core)+len(entries), guard.kills)
	}
	return nil
}

// tally counts the answers by status, 0 for none.
type tally struct {
	record  *record
	servers []*server

	mu       sync.Mutex
	byStatus map[int]int
	lost     int // requests from kept connections that a server ran, and whose connection ended without an answer
}

func (t *tally) add(a answer, waited time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.err == nil {
		t.byStatus[a.status]++
		return
	}
	t.byStatus[0]++
	ran := slices.ContainsFunc(t.servers, func(s *server) bool { return s.hasRun(a.attempt) })
	if a.status == 0 && a.kept && ran && waited < callerPatience {
		t.lost++
	}
	t.record.write("caller: %s on a kept connection: %t, run by a server: %t, after %s: %d %v", a.attempt, a.kept, ran, waited, a.status, a.err)
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("answers by status, 0 for a connection that failed or was cut: %v, lost: %d", t.byStatus, t.lost)
}

// askSteadily asks one entry until a time, at a rate that depends on the time since it began.
func (d *deployment) askSteadily(m *machine, key string, end time.Time, rate func(time.Duration) int, sums *tally) {
	var asked sync.WaitGroup
	defer asked.Wait()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: keptConnections, IdleConnTimeout: keptFor}}
	began := time.Now()
	for next := began; next.Before(end); {
		time.Sleep(time.Until(next))
		asked.Go(func() {
			sent := time.Now()
			a := d.askQuietly(client, m, http.MethodPost, "/document/1", key, callerPatience)
			sums.add(a, time.Since(sent))
		})
		next = next.Add(time.Second / time.Duration(rate(next.Sub(began))))
	}
}
