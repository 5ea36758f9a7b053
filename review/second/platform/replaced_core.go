package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	turnovers        = 10 // of the machines without a disk, and with them of the seeds
	turnoverInterval = 2500 * time.Millisecond
	// forgetTime is how long the group gets after that to forget those that left.
	forgetTime = 31 * time.Second
	// replacementTime is how long the group gets for each machine with a disk that is replaced: more than twice catch_up_s.
	replacementTime = 9 * time.Second
)

// replacedCore replaces the machines of control at other addresses while entries run on: first those without a disk, several times,
// with the entries' settings naming the new ones as seeds, then each of the three with a disk once, one after the other. Then a
// desired state drops a route and takes a key away.
func replacedCore(r *record, trouble bool) error {
	d, err := newDeployment(r, small)
	if err != nil {
		return err
	}
	defer d.stop()
	core, entries, err := d.startSmall(2)
	if err != nil {
		return err
	}
	learners, err := d.addLearners(core)
	if err != nil {
		return err
	}
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
	d.bootstrap = false
	time.Sleep(small.catchUp)
	if trouble {
		for range turnovers {
			if learners, err = d.turnOver(core, learners, entries); err != nil {
				return err
			}
		}
	}
	if trouble {
		time.Sleep(forgetTime)
	}
	for i := range 3 {
		if err := d.replace(core, i, o); err != nil {
			return err
		}
		if err := nameSeeds(core, entries); err != nil {
			return err
		}
		r.write("the entries' settings name the three instances with a disk")
	}
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
	time.Sleep(small.configApply + 100*time.Millisecond)
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
		r.write("read at %s, disk %t: version %d", m.name, m.hasDisk, o.readAt(m))
	}
	if broken > 0 {
		return fmt.Errorf("%w: CONFIG: %d of 8 requests, sent %s after the acknowledgement of version %d, ran as only an older version allows",
			errBroken, broken, small.configApply, o.version)
	}
	return nil
}

// turnOver replaces the machines without a disk that serve control, and names the new ones as seeds in the entries' settings.
func (d *deployment) turnOver(core, learners, entries []*machine) ([]*machine, error) {
	began := time.Now()
	next, err := d.addLearners(core)
	if err != nil {
		return nil, err
	}
	if err := nameSeeds(next, entries); err != nil {
		return nil, err
	}
	for _, m := range learners {
		m.signal(syscall.SIGTERM)
	}
	for _, m := range learners {
		m.awaitEnd(8 * time.Second)
	}
	time.Sleep(time.Until(began.Add(turnoverInterval)))
	return next, nil
}

// nameSeeds writes the entries' settings files with other seeds, and signals that they have changed.
func nameSeeds(seeds, entries []*machine) error {
	for _, m := range entries {
		if err := m.writeSettings(seeds); err != nil {
			return err
		}
		m.signal(syscall.SIGHUP)
	}
	return nil
}

// replace adds an empty machine with a disk at another address and has one of the core leave.
func (d *deployment) replace(core []*machine, i int, o *operator) error {
	old := core[i]
	successor, err := d.addMachine("control", old.zone, true, core)
	if err != nil {
		return err
	}
	old.signal(syscall.SIGTERM)
	old.awaitEnd(8 * time.Second)
	core[i] = successor
	time.Sleep(replacementTime)
	for _, m := range core {
		if err := o.awaitReads(m, 5*time.Second); err != nil {
			return err
		}
	}
	d.record.write("%s has taken the place of %s, all three with a disk answer reads with version %d", successor.name, old.name, o.version)
	return nil
}
