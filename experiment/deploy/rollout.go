package deploy

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine/standin"
	"github.com/carawaypitch/carawaypitch/experiment/plan"
	"github.com/carawaypitch/carawaypitch/operator"
	"github.com/carawaypitch/carawaypitch/pause"
)

const (
	// rolloutPoll is how often the state of a roll-out is read, rolloutRead how long one instance may take to answer.
	rolloutPoll = 100 * time.Millisecond
	rolloutRead = time.Second
	// revertedLeave is how long after a reversal the servers of the new version leave. The platform names no time; it lets them
	// drain some seconds later.
	revertedLeave = 3 * time.Second
)

// Rollout is what became of the roll-out of an experiment.
type Rollout struct {
	Plan plan.Rollout
	// Sent is when the order was sent, Acknowledged when it was acknowledged; zero if it never was.
	Sent, Acknowledged time.Time
	// State and Reason are those that control showed last.
	State, Reason string
	// Ended is when the verdict was given, by control's clock; zero for none.
	Ended time.Time
	// Old and New are when requests reached servers of the old versions and of the new one, Bad when answers ended that the new
	// version had spoiled.
	Old, New, Bad []time.Time
}

// rollout is a roll-out in an experiment.
type rollout struct {
	plan     plan.Rollout
	old, new *standin.RunLog
	outcome  Rollout // guarded by Deployment.mu
	servers  []*serverInstance
}

func newRollout(p *plan.Rollout) *rollout {
	if p == nil {
		return nil
	}
	return &rollout{plan: *p, old: standin.NewRunLog(maxStarts), new: standin.NewRunLog(maxStarts), outcome: Rollout{Plan: *p}}
}

// prepare sets the options of a stand-in that the roll-out is about.
func (r *rollout) prepare(options *standin.Options, serves string, isNew bool) {
	switch {
	case r == nil || serves != r.plan.Service:
	case isNew:
		options.RunLog = r.new
		if bad := r.plan.Bad; bad != nil {
			options.VersionFault = standin.VersionFault{
				Failures: bad.Failures, Slow: bad.Slow, After: bad.After.Std(), MinRunning: bad.MinRunning, PathPrefix: bad.Path,
			}
		}
	default:
		options.RunLog = r.old
	}
}

// Rollout returns what became of the roll-out so far, nil if the scenario has none.
func (d *Deployment) Rollout() *Rollout {
	if d.rollout == nil {
		return nil
	}
	d.mu.Lock()
	outcome := d.rollout.outcome
	d.mu.Unlock()
	outcome.Old, outcome.New, outcome.Bad = d.rollout.old.Runs(), d.rollout.new.Runs(), d.rollout.new.Bad()
	return &outcome
}

// RunRollout starts the servers of the new version, orders the roll-out, waits for the verdict and stops the servers that are
// not used any more. The order is repeated until it is acknowledged.
func (d *Deployment) RunRollout(ctx context.Context) error {
	old, err := d.startNewVersion()
	if err != nil {
		return err
	}
	if err := d.order(ctx); err != nil {
		return err
	}
	state, err := d.awaitVerdict(ctx)
	if err != nil {
		return err
	}
	if state == operator.RolloutCompleted {
		for _, s := range old {
			d.killServer(s)
		}
		return nil
	}
	if !pause.For(ctx, revertedLeave) {
		return nil
	}
	for _, s := range d.rollout.servers {
		s.standin.cancel()
	}
	return nil
}

// startNewVersion starts a server of the new version beside each of the service, and returns the latter.
func (d *Deployment) startNewVersion() (old []*serverInstance, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		if s.Serves == d.rollout.plan.Service {
			old = append(old, s)
		}
	}
	for _, beside := range old {
		described := beside.Server
		described.Name += "-" + d.rollout.plan.To
		described.Version = d.rollout.plan.To
		s := &serverInstance{Server: described, ip: d.fabric.NewIP(), isNew: true}
		if err := d.startAgent(s); err != nil {
			return nil, err
		}
		d.startStandin(len(d.servers), s)
		d.servers = append(d.servers, s)
		d.rollout.servers = append(d.rollout.servers, s)
	}
	return old, nil
}

func (d *Deployment) order(ctx context.Context) error {
	d.note(func(o *Rollout) { o.Sent = time.Now() })
	for {
		_, err := d.operators(d.controlURLs()).StartRollout(ctx, d.rollout.plan.Service, d.rollout.plan.To, d.rollout.plan.For.Std())
		if err == nil {
			d.note(func(o *Rollout) { o.Acknowledged = time.Now() })
			return nil
		}
		if !pause.For(ctx, rolloutPoll) {
			return errors.Wrap(err, "order")
		}
	}
}

// awaitVerdict reads the roll-out at one control instance after another until it has ended.
func (d *Deployment) awaitVerdict(ctx context.Context) (state string, err error) {
	urls := d.controlURLs()
	for n := 0; ; n++ {
		held, err := d.readRollout(ctx, urls[n%len(urls)])
		if err == nil {
			d.note(func(o *Rollout) { o.State, o.Reason = held.State, held.Reason })
		}
		if err == nil && held.State != operator.RolloutInProgress {
			d.note(func(o *Rollout) { o.Ended = time.UnixMilli(int64(held.EndedUnixMS)) })
			return held.State, nil
		}
		if !pause.For(ctx, rolloutPoll) {
			return "", errors.New("no verdict before the end of the run")
		}
	}
}

func (d *Deployment) readRollout(ctx context.Context, url string) (operator.Rollout, error) {
	ctx, cancel := context.WithTimeout(ctx, rolloutRead)
	defer cancel()
	return d.operators([]string{url}).Rollout(ctx, d.rollout.plan.Service)
}

func (d *Deployment) note(change func(*Rollout)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change(&d.rollout.outcome)
}

// operators returns an operator's client for control instances.
func (d *Deployment) operators(urls []string) *operator.Client {
	return operator.New(urls, d.operatorKey, d.probe.Transport)
}

func (d *Deployment) controlURLs() []string {
	var urls []string
	for _, c := range d.controls {
		urls = append(urls, c.url())
	}
	return urls
}

// killServer ends a backend server and its agent as the end of their machine does.
func (d *Deployment) killServer(s *serverInstance) {
	d.mu.Lock()
	s.gone = true // no fault that ends later starts its agent again
	agent, agentHost := s.agent, s.agentHost
	d.mu.Unlock()
	s.standin.host.Kill()
	agentHost.Kill()
	s.server.Kill()
	d.abandon(s.standin)
	d.abandon(agent)
}
