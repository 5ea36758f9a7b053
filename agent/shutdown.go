package agent

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// shutdown waits for the order to stop, and then stops the agent gracefully. own ends with the first of the other duties.
//
// Without the link to control or to the entries nothing can be drained or removed, so the stop ends with them too. An
// agent whose session had ended went on waiting for what was in flight, for timing.drain, and then for the answer to its
// removal; its supervisor saw a process that was neither ready nor gone.
func (a *Agent) shutdown(stopCtx, ctx context.Context) error {
	select {
	case <-stopCtx.Done():
	case <-ctx.Done():
		return nil
	}
	a.log.Info("agent_stopping")
	a.ready.stop()
	for _, s := range a.servers.all() {
		if err := s.leave(ctx, "stop"); err != nil {
			return nil
		}
	}
	drained := a.awaitDrained(ctx)
	a.deregister(ctx)
	if !drained {
		return ErrDrainTimeout
	}
	return nil
}

// awaitDrained waits until nothing is in flight and all outcomes are committed. It returns false at the end of
// timing.drain or of ctx.
func (a *Agent) awaitDrained(ctx context.Context) bool {
	deadline := time.Now().Add(a.settings.Timing.Drain)
	for !a.isDrained() {
		if time.Now().After(deadline) || !pause.For(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}

func (a *Agent) isDrained() bool {
	for _, s := range a.servers.all() {
		view := s.view.Load()
		if view.recovered && !view.drained && !view.gone() {
			return false
		}
	}
	return a.reports.Pending() == 0
}

// deregister has control commit that this incarnation left. Without an answer the directory keeps it until control
// notices the silence; entries notice the closed links at once.
func (a *Agent) deregister(ctx context.Context) {
	if !a.isRecovered() {
		return
	}
	ctx, stop := context.WithTimeout(ctx, deregisterTimeout)
	defer stop()
	answer, err := a.session.Propose(ctx, &wire.Command{
		Kind: &wire.Command_RemoveAgent{RemoveAgent: &wire.RemoveAgent{
			Agent:       a.settings.Instance,
			Incarnation: a.incarnation,
		}},
	})
	if err == nil {
		err = commandError(answer)
	}
	if err != nil {
		a.log.WithError(err).Warn("removal_not_committed")
	}
}

// commandError returns the refusal of a committed command, nil if the state took it.
func commandError(answer *wire.CommandResult) error {
	if answer.GetCode() == 0 {
		return nil
	}
	return result.New(result.Code(answer.GetCode()), "%s", answer.GetMessage())
}
