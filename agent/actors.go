package agent

import (
	"context"
	"net"

	"github.com/go-faster/errors"
	"github.com/oklog/run"

	"github.com/carawaypitch/carawaypitch/link"
)

// Run serves until ctx ends and then shuts down gracefully: it reports that it isn't ready, refuses new work, lets all
// attempts in flight finish and deregisters from control. It returns nil after a complete shutdown, ErrDrainTimeout if
// attempts were still in flight at the end of the drain, and otherwise the error of the first actor that failed, such
// as ErrSuperseded. It may be called once.
func (a *Agent) Run(ctx context.Context) error {
	base, end := context.WithCancel(context.WithoutCancel(ctx))
	defer a.tasks.Wait()
	defer end()
	a.baseContext = base
	a.cancelBase = end
	a.log.WithField("instance", a.settings.Instance).
		WithField("incarnation", a.incarnation).
		WithField("http", a.HTTPAddr()).
		WithField("links", a.LinkAddr()).
		Info("agent_started")

	var group run.Group
	a.addActor(&group, base, a.recoveryLoop)
	a.addActor(&group, base, a.runSession)
	a.addActor(&group, base, a.viewLoop)
	if a.follow.selectServers != nil {
		a.addActor(&group, base, a.followLoop)
	}
	a.addActor(&group, base, a.directoryLoop)
	a.addActor(&group, base, a.orderLoop)
	a.addActor(&group, base, a.reports.Run)
	a.addActor(&group, base, a.serveLinks)
	a.addActor(&group, base, func(ctx context.Context) error { return a.serveHTTP(ctx, a.httpListener) })
	a.addActor(&group, base, func(actorCtx context.Context) error { return a.shutdown(ctx, actorCtx) })
	err := group.Run()
	a.log.WithField("result", errorText(err)).Info("agent_stopped")
	return err
}

// addActor adds an actor that ends with ctx or when another actor has returned.
func (a *Agent) addActor(group *run.Group, ctx context.Context, actor func(context.Context) error) {
	ctx, cancel := context.WithCancel(ctx)
	group.Add(
		func() error { return actor(ctx) },
		func(error) { cancel() },
	)
}

func errorText(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

// serveLinks serves the links to entries. It waits for the recovery, since the hello message names this incarnation.
func (a *Agent) serveLinks(ctx context.Context) error {
	if !a.awaitRecovery(ctx) {
		return a.linkListener.Close()
	}
	if err := link.ServeWithRefusalHook(ctx, a.linkListener, a.linkTLS, a.links.Register, a.logRefusedPeer); err != nil {
		return errors.Wrap(err, "agent: links")
	}
	return nil
}

// logRefusedPeer counts and logs a connection from a process without a certificate of the deployment.
func (a *Agent) logRefusedPeer(peer net.Addr, err error) {
	a.meter.add(metricPeersRefused, 1)
	a.log.WithField("peer", peer.String()).WithError(err).Warn("link_peer_refused")
}

// spawn runs a task in a goroutine whose context ends with the agent. It does nothing once the agent has ended.
func (a *Agent) spawn(task func(ctx context.Context)) {
	if a.baseContext.Err() != nil {
		return
	}
	a.tasks.Go(func() { task(a.baseContext) })
}

// startServer starts the event loop of a server.
func (a *Agent) startServer(s *server) {
	a.spawn(s.runUntilRemoved)
}
