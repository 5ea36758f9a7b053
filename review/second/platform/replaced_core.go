package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	coreMachines = 6
	replacements = 32
)

// replacedCore replaces the machines of the core one after the other, each by an empty one at another address, as fast as the
// deployment bears. Entries run on meanwhile. Then a desired state drops a route and takes a key away.
func replacedCore(r *record, trouble bool) error {
	d, err := newDeployment(r, grown)
	if err != nil {
		return err
	}
	defer d.stop()
	var core []*machine
	for i := range coreMachines {
		core = append(core, d.newMachine("control", d.zones[i%3], true))
	}
	for _, m := range core {
		if err := m.start(core[:3]); err != nil {
			return err
		}
	}
	var entries []*machine
	for i := range 2 {
		m, err := d.addMachine("entry", d.zones[i], false, core[:3])
		if err != nil {
			return err
		}
		entries = append(entries, m)
	}
	d.bootstrap = false
	o := &operator{d: d}
	state := desired{
		Routes: []map[string]any{
			plainRoute("kept", "/kept/", "safe", "registry", 1500),
			plainRoute("dropped", "/dropped/", "safe", "registry", 1500),
		},
		Services: []map[string]any{plainService("registry")},
		Limits:   standardLimits,
		Tenants: []map[string]any{
			{"name": "north", "api_keys": []string{"key-kept", "key-taken"}},
		},
	}
	if err := o.put(state, 10*time.Second); err != nil {
		return err
	}
	for range 2 {
		if _, err := d.startServer("registry", 20*time.Millisecond); err != nil {
			return err
		}
	}
	for _, m := range entries {
		if err := d.awaitReady(m, 10*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(grown.catchUp) // until then the machines count as lost
	if trouble {
		for n := range replacements {
			if err := replaceOldest(d, o, n, entries); err != nil {
				return err
			}
		}
	} else {
		time.Sleep(10 * time.Second)
	}
	time.Sleep(grown.contact)
	for _, m := range entries {
		r.write("%s: ready %t", m.name, d.isReady(m))
		d.ask(m, http.MethodGet, "/kept/1", "key-kept", 2*time.Second)
		d.ask(m, http.MethodGet, "/dropped/1", "key-taken", 2*time.Second)
	}
	state.Routes = state.Routes[:1]
	state.Tenants = []map[string]any{{"name": "north", "api_keys": []string{"key-kept"}}}
	if err := o.put(state, 5*time.Second); err != nil {
		return err
	}
	time.Sleep(grown.configApply + 100*time.Millisecond)
	broken := 0
	for i := range 4 {
		m := entries[i%2]
		if a := d.ask(m, http.MethodGet, "/dropped/2", "key-kept", 2*time.Second); a.status == http.StatusOK {
			broken++
		}
		if a := d.ask(m, http.MethodGet, "/kept/2", "key-taken", 2*time.Second); a.status == http.StatusOK {
			broken++
		}
	}
	for _, m := range d.running("control") {
		r.write("read at %s: version %d", m.name, o.readAt(m))
	}
	if broken > 0 {
		return fmt.Errorf("%w: CONFIG: %d of 8 requests, sent %s after the acknowledgement of version %d, ran as only an older version allows",
			errBroken, broken, grown.configApply, o.version)
	}
	return nil
}

// replaceOldest adds an empty machine at another address and has the oldest one leave. It takes as long as a machine counts as lost,
// divided by the number that may be lost at once. The entries' settings files name instances that run, and each entry gets SIGHUP.
func replaceOldest(d *deployment, o *operator, n int, entries []*machine) error {
	before := d.running("control")
	began := time.Now()
	oldest := before[0]
	if _, err := d.addMachine("control", oldest.zone, true, before[len(before)-3:]); err != nil {
		return err
	}
	oldest.signal(syscall.SIGTERM)
	oldest.awaitEnd(8 * time.Second)
	now := d.running("control")
	for _, m := range entries {
		if err := m.writeSettings(now[len(now)-3:]); err != nil {
			return err
		}
		_ = m.process.Process.Signal(syscall.SIGHUP)
	}
	for _, m := range now {
		if err := o.awaitReads(m, 8*time.Second); err != nil {
			return err
		}
	}
	d.record.write("replacement %d: %d instances, all answer reads with version %d, %.1f s after it began", n, len(now), o.version,
		time.Since(began).Seconds())
	time.Sleep(time.Until(began.Add(d.bounds.catchUp / time.Duration(d.bounds.machines))))
	return nil
}
