package main

import (
	"fmt"
	"syscall"
	"time"
)

const (
	churnRounds   = 21
	churnInterval = 2200 * time.Millisecond
	// settleTime is how long the group gets after the loss of a machine with a disk and the start of its successor.
	settleTime = 12 * time.Second
	readTime   = 5 * time.Second
)

// disklessChurn replaces the machines without a disk that serve control, three at a time and many times. Then a machine with a disk is
// lost for good and replaced by an empty one, and after its successor had its time a second one. Two of three such machines run at
// any time.
func disklessChurn(r *record, trouble bool) error {
	d, err := newDeployment(r, small)
	if err != nil {
		return err
	}
	defer d.stop()
	core, _, err := d.startSmall(1)
	if err != nil {
		return err
	}
	learners, err := d.addLearners(core)
	if err != nil {
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
	if trouble {
		for round := range churnRounds {
			began := time.Now()
			next, err := d.addLearners(core)
			if err != nil {
				return err
			}
			for _, m := range learners {
				m.signal(syscall.SIGTERM)
			}
			for _, m := range learners {
				m.awaitEnd(8 * time.Second)
			}
			learners = next
			r.write("round %d of the machines without a disk", round)
			time.Sleep(time.Until(began.Add(churnInterval)))
		}
	}
	if err := o.put(state, 5*time.Second); err != nil {
		return err
	}
	for i := range 2 {
		lost := core[i]
		lost.signal(syscall.SIGKILL)
		lost.awaitEnd(time.Second)
		seeds := append([]*machine(nil), core[i+1:]...)
		successor := d.newMachine("control", lost.zone, true)
		if err := successor.start(seeds[:2]); err != nil {
			return err
		}
		core = append(core, successor)
		r.write("%s is lost for good, %s takes its place with an empty disk", lost.name, successor.name)
		time.Sleep(settleTime)
		for _, m := range d.running("control") {
			r.write("read at %s, disk %t: version %d", m.name, m.hasDisk, o.readAt(m))
		}
	}
	read := 0
	for end := time.Now().Add(readTime); time.Now().Before(end) && read < o.version; time.Sleep(200 * time.Millisecond) {
		for _, m := range d.running("control") {
			read = max(read, o.readAt(m))
		}
	}
	r.write("read back for %s at all instances: version %d, acknowledged is %d", readTime, read, o.version)
	acknowledged := o.version
	if err := o.put(state, small.catchUp); err != nil {
		r.write("operator: %v", err)
	}
	if read < acknowledged {
		return fmt.Errorf("%w: CONFIG: %s after the second machine was lost no instance of control answers a read of the desired state",
			errBroken, settleTime+readTime)
	}
	return nil
}

// addLearners starts an instance of control without a disk in each zone.
func (d *deployment) addLearners(seeds []*machine) ([]*machine, error) {
	var added []*machine
	for _, zone := range d.zones {
		m, err := d.addMachine("control", zone, false, seeds[:3])
		if err != nil {
			return nil, err
		}
		added = append(added, m)
	}
	return added, nil
}
