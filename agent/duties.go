package agent

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	"github.com/oklog/run"

	"github.com/carawaypitch/carawaypitch/link"
)

// Run serves until ctx ends, then stops gracefully: the agent isn't ready any more, takes no new work, lets all in
// flight finish, and has control commit that it left. It returns nil then, ErrDrainTimeout if attempts were left, and
// otherwise the error of the first duty that failed, such as ErrSuperseded. It may be called once.
func (a *Agent) Run(ctx context.Context) error {
	base, end := context.WithCancel(context.WithoutCancel(ctx))
	defer a.tasks.Wait()
	defer end()
	a.base = base
	a.end = end
	a.log.WithField("instance", a.settings.Instance).
		WithField("incarnation", a.incarnation).
		WithField("http", a.HTTPAddr()).
		WithField("links", a.LinkAddr()).
		Info("agent_started")

	var group run.Group
	a.addDuty(&group, base, a.releaseDuty)
	a.addDuty(&group, base, a.controlDuty)
	a.addDuty(&group, base, a.viewDuty)
	if a.follow.selects != nil {
		a.addDuty(&group, base, a.followDuty)
	}
	a.addDuty(&group, base, a.directoryDuty)
	a.addDuty(&group, base, a.orderDuty)
	a.addDuty(&group, base, a.reports.Run)
	a.addDuty(&group, base, a.linkDuty)
	a.addDuty(&group, base, func(ctx context.Context) error { return a.httpDuty(ctx, a.httpListener) })
	a.addDuty(&group, base, func(own context.Context) error { return a.stopDuty(ctx, own) })
	err := group.Run()
	a.log.WithField("result", errorText(err)).Info("agent_stopped")
	return err
}

// addDuty adds a duty that ends with ctx or when another duty has returned.
func (a *Agent) addDuty(group *run.Group, ctx context.Context, duty func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(
		func() error { return duty(ctx) },
		func(error) { cancel() },
	)
}

func errorText(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

// linkDuty serves the links to entries. The hello names this incarnation, so it waits for the release.
func (a *Agent) linkDuty(ctx context.Context) error {
	if !a.awaitRelease(ctx) {
		return a.linkListener.Close()
	}
	if err := link.ServeWithRefusalHook(ctx, a.linkListener, a.linkTLS, a.links.Register, a.peerRefused); err != nil {
		return errors.Wrap(err, "agent: links")
	}
	return nil
}

// peerRefused notes a process without a certificate of the deployment.
func (a *Agent) peerRefused(peer net.Addr, err error) {
	a.meter.add(metricPeersRefused, 1)
	a.log.WithField("peer", peer.String()).WithError(err).Warn("link_peer_refused")
}

// spawn runs a task that ends with the agent. Once the agent has ended it runs none.
func (a *Agent) spawn(task func(ctx context.Context)) {
	if a.base.Err() != nil {
		return
	}
	a.tasks.Go(func() { task(a.base) })
}

// beginServer starts the gate duty of a server.
func (a *Agent) beginServer(s *server) {
	a.spawn(s.runUntilForgotten)
}
