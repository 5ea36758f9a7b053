package agent

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// shutdown waits for the end of stopCtx and then stops the agent gracefully. ctx ends with the first actor that
// returns.
//
// Without the links to control and to entries nothing can be drained or deregistered, so the end of ctx ends the
// shutdown too. Otherwise an agent whose session has ended would wait up to timing.drain for the attempts in flight
// and then for the answer to its deregistration, and its supervisor would see a process that is neither ready nor
// ended.
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

// awaitDrained waits until nothing is in flight and all outcomes are committed. It returns false if timing.drain or
// ctx ends before.
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

// deregister has control commit that this incarnation has left. Without an answer the incarnation stays in the
// directory until control's silence timeout; entries detect the closed links at once.
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

// commandError returns the refusal of a committed command, nil if the state machine accepted it.
func commandError(answer *wire.CommandResult) error {
	if answer.GetCode() == 0 {
		return nil
	}
	return result.New(result.Code(answer.GetCode()), "%s", answer.GetMessage())
}
