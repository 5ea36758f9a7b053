package main

import (
	"fmt"
	"net/http"
	"time"
)

// ownRefusal has the servers of a plain service fail a part of their requests after they ran them, with a status of their own: 503
// without X-Not-Executed, or without trouble 500. Their health checks stay good.
func ownRefusal(r *record, trouble bool) error {
	d, err := newDeployment(r, small)
	if err != nil {
		return err
	}
	defer d.stop()
	core, entries, err := d.startSmall(2)
	if err != nil {
		return err
	}
	d.bootstrap = false
	o := &operator{d: d}
	state := desired{
		Routes:   []map[string]any{plainRoute("issue", "/issue/", "unsafe", "registry", 1500)},
		Services: []map[string]any{plainService("registry")},
		Limits:   standardLimits,
		Tenants:  []map[string]any{{"name": "north", "api_keys": []string{"key-kept"}}},
	}
	if err := o.put(state, 10*time.Second); err != nil {
		return err
	}
	var servers []*server
	for range 2 {
		s, err := d.startServer("registry", 20*time.Millisecond)
		if err != nil {
			return err
		}
		servers = append(servers, s)
	}
	for _, m := range entries {
		if err := d.awaitReady(m, 10*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(small.catchUp)
	r.write("%d instances of control", len(core))
	for _, s := range servers {
		s.failEvery, s.failWith = 3, http.StatusInternalServerError
		if trouble {
			s.failWith = http.StatusServiceUnavailable
		}
	}
	broken, failed := 0, 0
	for i := range 30 {
		a := d.ask(entries[i%len(entries)], http.MethodPost, fmt.Sprintf("/issue/%d", i), "key-kept", 3*time.Second)
		ran := servers[0].hasRun(a.attempt) || servers[1].hasRun(a.attempt)
		if a.status != http.StatusOK {
			failed++
		}
		if ran && (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) {
			r.write("%s was answered %d and has run", a.attempt, a.status)
			broken++
		}
	}
	if failed == 0 {
		return fmt.Errorf("no server failed a request")
	}
	if broken > 0 {
		return fmt.Errorf("%w: REFUSED: %d of 30 requests that may not be repeated were answered 503 and had run", errBroken, broken)
	}
	return nil
}

// startSmall starts three instances of control with a disk, and entries.
func (d *deployment) startSmall(entryCount int) (core, entries []*machine, err error) {
	for i := range 3 {
		core = append(core, d.newMachine("control", d.zones[i], true))
	}
	for _, m := range core {
		if err := m.start(core); err != nil {
			return nil, nil, err
		}
	}
	for i := range entryCount {
		m, err := d.addMachine("entry", d.zones[i%3], false, core)
		if err != nil {
			return nil, nil, err
		}
		entries = append(entries, m)
	}
	return core, entries, nil
}
