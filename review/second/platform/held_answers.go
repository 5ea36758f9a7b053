package main

import (
	"fmt"
	"net/http"
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
		Routes:   []map[string]any{plainRoute("document", "/document/", "safe", "registry", 1500)},
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
	for range 3 {
		s, err := d.startServer("registry", 5*time.Millisecond)
		if err != nil {
			return err
		}
		s.answerBytes = answerBytes
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
	var sums tally
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
		if m.role == "entry" && guard.kills[m.name] >= leastEnds {
			ended++
		}
	}
	if ended >= 2 {
		return fmt.Errorf("%w: Fault: the processes of %d of %d machines went over their memory and ended three times or more, %v",
			errBroken, ended, len(core)+len(entries), guard.kills)
	}
	return nil
}

// tally counts the answers by status, 0 for none.
type tally struct {
	mu       sync.Mutex
	byStatus map[int]int
}

func (t *tally) add(status int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byStatus == nil {
		t.byStatus = make(map[int]int)
	}
	t.byStatus[status]++
}

func (t *tally) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("answers by status, 0 for a connection that failed or was cut: %v", t.byStatus)
}

// askSteadily asks one entry until a time, at a rate that depends on the time since it began.
func (d *deployment) askSteadily(m *machine, key string, end time.Time, rate func(time.Duration) int, sums *tally) {
	var asked sync.WaitGroup
	defer asked.Wait()
	began := time.Now()
	for next := began; next.Before(end); {
		time.Sleep(time.Until(next))
		asked.Go(func() {
			a := d.askQuietly(m, http.MethodGet, "/document/1", key, callerPatience)
			if a.err != nil {
				a.status = 0
			}
			sums.add(a.status)
		})
		next = next.Add(time.Second / time.Duration(rate(next.Sub(began))))
	}
}
