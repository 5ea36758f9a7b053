package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	manyRoutes     = 2800 // twice as many as one big_config of the site file adds
	changeInterval = 240 * time.Millisecond
	changesFor     = 105 * time.Second
	// leastEnds is the number of ends from which the rule counts a machine of the core.
	leastEnds = 3
)

// manyChanges sends a desired state of many routes, and then a change of one of its routes at a time. The stand-in of the platform
// kills each process whose own memory is above its limit, as the pages say, and starts it again. Without trouble the desired state
// has few routes.
func manyChanges(r *record, trouble bool) error {
	d, err := newDeployment(r, grown)
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
		Services: []map[string]any{plainService("registry")},
		Limits:   standardLimits,
		Tenants:  []map[string]any{{"name": "north", "api_keys": []string{"key-kept"}}},
	}
	routes := 40
	if trouble {
		routes = manyRoutes
	}
	for i := range routes {
		state.Routes = append(state.Routes, plainRoute(fmt.Sprintf("r-%06d", i), fmt.Sprintf("/p%06d/", i), "safe", "registry", 1500))
	}
	if err := o.put(state, 15*time.Second); err != nil {
		return err
	}
	if _, err := d.startServer("registry", 5*time.Millisecond); err != nil {
		return err
	}
	for _, m := range entries {
		if err := d.awaitReady(m, 10*time.Second); err != nil {
			return err
		}
	}
	d.bootstrap = false
	guard := &memoryGuard{d: d, core: core, kills: make(map[string]int), most: make(map[string]int)}
	stop := make(chan struct{})
	var guarding sync.WaitGroup
	guarding.Go(func() { guard.run(stop) })
	acknowledged, next := 0, time.Now()
	for end := time.Now().Add(changesFor); time.Now().Before(end); {
		state.Routes[acknowledged%routes]["timeout_ms"] = 1500 + acknowledged%100
		if o.put(state, 8*time.Second) == nil {
			acknowledged++
		}
		next = next.Add(changeInterval)
		time.Sleep(time.Until(next))
	}
	close(stop)
	guarding.Wait()
	d.ask(entries[0], http.MethodGet, "/p000000/1", "key-kept", 2*time.Second)
	ended := 0
	for _, m := range append(core, entries...) {
		r.write("%s: killed %d times, most memory of its own %d kB of %d", m.name, guard.kills[m.name], guard.most[m.name], grown.memoryMB<<10)
		if m.role == "control" && guard.kills[m.name] >= leastEnds {
			ended++
		}
	}
	r.write("%d changes of %d routes were acknowledged", acknowledged, routes)
	if 2*ended >= len(core) {
		return fmt.Errorf("%w: Fault: the processes of %d of the %d core machines went over their memory and ended three times or more, %v",
			errBroken, ended, len(core), guard.kills)
	}
	return nil
}

// memoryGuard is the part of the platform that kills a process over its limit.
type memoryGuard struct {
	d           *deployment
	core        []*machine
	kills, most map[string]int
}

func (g *memoryGuard) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		for _, role := range []string{"control", "entry"} {
			for _, m := range g.d.running(role) {
				used := ownMemory(m)
				g.most[m.name] = max(g.most[m.name], used)
				if used <= g.d.bounds.memoryMB<<10 {
					continue
				}
				g.d.record.write("%s uses %d kB of its own, its limit is %d kB", m.name, used, g.d.bounds.memoryMB<<10)
				g.kills[m.name]++
				m.signal(syscall.SIGKILL)
				m.awaitEnd(time.Second)
				time.Sleep(200 * time.Millisecond)
				if err := m.start(g.core); err != nil {
					g.d.record.write("%s: %v", m.name, err)
				}
			}
		}
	}
}

// ownMemory returns the memory of a process that no file backs, in kB. Its program and libraries don't count.
func ownMemory(m *machine) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kB := 0
			_, _ = fmt.Sscan(rest, &kB)
			return kB
		}
	}
	return 0
}
