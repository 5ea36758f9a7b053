package main

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	// successorTime is how long a successor runs before its predecessor is stopped: longer than catch_up_s.
	successorTime = 8 * time.Second
	// lossAfter is how long after the end of the predecessor another machine loses its disk, and downFor how long that is down.
	lossAfter = time.Second
	downFor   = time.Second
	// recoverTime is how long the group gets after all machines are up. It is several times recovery_s.
	recoverTime = 45 * time.Second
)

// plannedReplacement adds an empty machine with a disk at another address, waits until it has had its time to catch up and more, and
// has one of the old three leave by SIGTERM. Then another one loses its disk and comes back empty at its address.
func plannedReplacement(r *record, trouble bool) error {
	d, err := newDeployment(r, small)
	if err != nil {
		return err
	}
	defer d.stop()
	core, _, err := d.startSmall(1)
	if err != nil {
		return err
	}
	if _, err := d.addLearners(core); err != nil {
		return err
	}
	o := &operator{d: d}
	state := desired{
		Routes:   []map[string]any{plainRoute("kept", "/kept/", "safe", "registry", 1500)},
		Services: []map[string]any{plainService("registry")},
		Limits:   standardLimits,
		Tenants:  []map[string]any{{"name": "north", "api_keys": []string{"key-kept"}}},
	}
	if err := o.put(state, 10*time.Second); err != nil {
		return err
	}
	d.bootstrap = false
	time.Sleep(small.catchUp)
	successor, err := d.addMachine("control", core[0].zone, true, core)
	if err != nil {
		return err
	}
	time.Sleep(successorTime)
	if err := o.awaitReads(successor, time.Second); err != nil {
		return err
	}
	r.write("%s has had %s and reads back version %d", successor.name, successorTime, o.version)
	if err := o.put(state, 5*time.Second); err != nil {
		return err
	}
	core[0].signal(syscall.SIGTERM)
	core[0].awaitEnd(8 * time.Second)
	seeds := []*machine{core[1], core[2], successor}
	if trouble {
		time.Sleep(lossAfter)
		wiped := core[1]
		wiped.signal(syscall.SIGKILL)
		wiped.awaitEnd(time.Second)
		if err := os.RemoveAll(wiped.file("-data")); err != nil {
			return err
		}
		time.Sleep(downFor)
		if err := wiped.start(seeds); err != nil {
			return err
		}
		r.write("%s is back at its address with an empty disk", wiped.name)
	}
	read := 0
	for end := time.Now().Add(recoverTime); time.Now().Before(end) && read < o.version; time.Sleep(500 * time.Millisecond) {
		for _, m := range d.running("control") {
			read = max(read, o.readAt(m))
		}
	}
	for _, m := range d.running("control") {
		r.write("read at %s, disk %t: version %d", m.name, m.hasDisk, o.readAt(m))
	}
	acknowledged := o.version
	if err := o.put(state, small.catchUp); err != nil {
		r.write("operator: %v", err)
	}
	if read < acknowledged {
		return fmt.Errorf("%w: CONFIG: for %s after all machines were up no instance of control answered a read of the desired state",
			errBroken, recoverTime)
	}
	return nil
}
