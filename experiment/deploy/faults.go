package deploy

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
)

// maxCutBytes bounds the bytes after which broken answers break off. An event of the stand-in has some 200 bytes.
const maxCutBytes = 4000

// noFault is the end of a fault that has none of its own.
func noFault() error { return nil }

// Begin lets a fault happen. The function that it returns ends it; it must be called when the fault's time is over.
func (d *Deployment) Begin(ctx context.Context, f plan.Fault) (end func() error, err error) {
	switch f.Kind {
	case plan.Straggler:
		return d.switchFaults(d.named(f.Target), func(s *standin.Faults) { s.Slow = f.Factor }, func(s *standin.Faults) { s.Slow = 1 })
	case plan.CacheEvents:
		return d.switchFaults(d.serverList(), func(s *standin.Faults) { s.DropCacheEvents = f.Factor }, func(s *standin.Faults) { s.DropCacheEvents = 0 })
	case plan.BrokenAnswers:
		return d.switchFaults(d.named(f.Target), func(s *standin.Faults) {
			s.Unframed, s.CutShare, s.CutAfter = 1, f.Factor, maxCutBytes
		}, func(s *standin.Faults) { s.Unframed, s.CutShare, s.CutAfter = 0, 0, 0 })
	case plan.EngineCrash:
		d.named(f.Target)[0].server.Crash(f.For.Std())
		return noFault, nil
	case plan.AgentDeath:
		return d.killAgent(d.named(f.Target)[0]), nil
	case plan.EntryDeath:
		return d.killEntry(ctx, f.Entry-1), nil
	case plan.ServerLeave:
		d.named(f.Target)[0].standin.cancel()
		return noFault, nil
	case plan.ControlCut:
		return d.cutLeader(ctx)
	case plan.ControlDeath:
		leader, err := d.leader(ctx)
		if err != nil {
			return nil, err
		}
		return d.killControl(leader), nil
	case plan.EntryCut:
		return d.cutEntry(f.Entry - 1), nil
	case plan.ZoneLoss:
		return d.loseZone(ctx, f), nil
	case plan.SkewedCallers:
		return noFault, nil // the load's arrivals have it
	case plan.PoisonRequest, plan.PoisonPart:
		return d.beginPoison(ctx, f)
	case plan.RateLimit:
		return d.beginAsking(ctx, f, func(s *standin.Faults) { s.RateLimit = decimal(f.Factor) }, func(s *standin.Faults) { s.RateLimit = "" })
	case plan.Backoff:
		return d.beginAsking(ctx, f, func(s *standin.Faults) { s.RefuseFor = decimal(f.Factor) }, func(s *standin.Faults) { s.RefuseFor = "" })
	case plan.Draining:
		return d.beginAsking(ctx, f, func(s *standin.Faults) { s.Draining = true }, func(s *standin.Faults) { s.Draining = false })
	default:
		return nil, errors.Errorf("no fault %q", f.Kind)
	}
}

// named returns the backend server of a name, which the plan's check has found.
func (d *Deployment) named(name string) []*serverInstance {
	for _, s := range d.serverList() {
		if s.Name == name {
			return []*serverInstance{s}
		}
	}
	return nil
}

func (d *Deployment) switchFaults(servers []*serverInstance, on, off func(*standin.Faults)) (func() error, error) {
	change := func(by func(*standin.Faults)) error {
		for _, s := range servers {
			faults := s.server.Faults()
			by(&faults)
			if err := s.server.SetFaults(faults); err != nil {
				return err
			}
		}
		return nil
	}
	return func() error { return change(off) }, change(on)
}

// killAgent ends an agent as the death of its process does.
func (d *Deployment) killAgent(s *serverInstance) func() error {
	s.agentHost.Kill()
	d.abandon(s.agent)
	return func() error {
		d.mu.Lock()
		defer d.mu.Unlock()
		if s.gone {
			return nil
		}
		return d.startAgent(s)
	}
}

// abandon puts a killed daemon aside. What still runs of it reaches nobody.
func (d *Deployment) abandon(i *instance) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i.cancel()
	d.leaving = append(d.leaving, i)
}

// killEntry ends an entry as the death of its process does. The platform's balancer takes its successor once that is
// ready.
func (d *Deployment) killEntry(ctx context.Context, number int) func() error {
	e := d.entries[number]
	e.host.Kill()
	e.ready.Store(false)
	d.abandon(e.instance)
	return func() error {
		d.mu.Lock()
		err := d.startEntry(number, e)
		d.mu.Unlock()
		if err != nil {
			return err
		}
		go d.awaitEntry(ctx, e)
		return nil
	}
}

func (d *Deployment) awaitEntry(ctx context.Context, e *entryInstance) {
	ticker := time.NewTicker(readyPoll)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if _, err := d.get(ctx, e.url()+"/readyz"); err == nil {
			e.ready.Store(true)
			return
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// cutLeader cuts the control leader off from all others, silently.
func (d *Deployment) cutLeader(ctx context.Context) (func() error, error) {
	leader, err := d.leader(ctx)
	if err != nil {
		return nil, err
	}
	leader.host.Cut()
	return func() error {
		leader.host.Heal()
		return nil
	}, nil
}

// killControl ends a control instance as the death of its process does, but for writes to its disk that are under way. It starts
// again with its disk.
func (d *Deployment) killControl(c *controlInstance) func() error {
	d.mu.Lock()
	killed := c.instance
	d.mu.Unlock()
	killed.host.Kill()
	d.abandon(killed)
	return func() error {
		// The disk has one owner at a time.
		if err := killed.wait(stopBound); errors.Is(err, errStillRuns) {
			return err
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.startControl(slices.Index(d.controls, c), c)
	}
}

// cutEntry cuts an entry off from all control instances, silently.
func (d *Deployment) cutEntry(number int) func() error {
	entry := d.entries[number]
	for _, c := range d.controls {
		d.fabric.Part(entry.ip, c.ip)
	}
	return func() error {
		for _, c := range d.controls {
			d.fabric.Join(entry.ip, c.ip)
		}
		return nil
	}
}

// loseZone kills everything in an availability zone.
func (d *Deployment) loseZone(ctx context.Context, f plan.Fault) func() error {
	var restarts []func() error
	for i, c := range d.controls {
		if d.controlZone(i) == f.Target {
			restarts = append(restarts, d.killControl(c))
		}
	}
	for _, s := range d.serverList() {
		if s.Zone == f.Target && !d.isGone(s) {
			s.server.Crash(f.For.Std())
			restarts = append(restarts, d.killAgent(s))
		}
	}
	for i := range d.entries {
		if d.plan.Entries[i].Zone == f.Target {
			restarts = append(restarts, d.killEntry(ctx, i))
		}
	}
	return func() error {
		var errs []error
		for _, restart := range restarts {
			errs = append(errs, restart())
		}
		return errors.Join(errs...)
	}
}

func (d *Deployment) isGone(s *serverInstance) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return s.gone
}

func (d *Deployment) leader(ctx context.Context) (*controlInstance, error) {
	for _, asked := range d.controls {
		body, err := d.get(ctx, asked.url()+"/v1/status")
		if err != nil {
			continue
		}
		var status struct {
			Leader string `json:"leader"`
		}
		if err := json.Unmarshal(body, &status); err != nil {
			return nil, errors.Wrap(err, "control status")
		}
		for i, c := range d.controls {
			if instanceName("control", i) == status.Leader {
				return c, nil
			}
		}
	}
	return nil, errors.New("no control instance knows a leader")
}
