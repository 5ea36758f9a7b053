package control

import (
	"context"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// PutDesired puts a desired state in force. A nil error means that this state, or one with a higher version, is
// committed and cannot be lost. Errors have code result.InvalidDesiredState, or result.ControlUnavailable if ctx ended
// before it was known whether the desired state was committed. It is safe to send it again.
func (c *Control) PutDesired(ctx context.Context, desired *wire.DesiredState) error {
	if problem := state.CheckDesired(desired); problem != "" {
		return result.New(result.InvalidDesiredState, "%s", problem)
	}
	if held := c.desired(); held != nil && held.GetVersion() >= desired.GetVersion() {
		return nil
	}
	log := c.log.WithField("version", desired.GetVersion()).WithField("routes", len(desired.GetRoutes()))
	cmd := &wire.Command{Kind: &wire.Command_PutDesiredState{PutDesiredState: &wire.PutDesiredState{Desired: desired}}}
	if err := c.commitIdempotent(ctx, cmd); err != nil {
		log.WithError(err).Warn("desired_state_not_committed")
		return err
	}
	log.WithField("in_force", c.desired().GetVersion()).Info("desired_state_committed")
	return nil
}

// Desired returns the desired state in force, or nil if there is none yet. A quorum has confirmed that no later one was
// acknowledged before the call. Errors have code result.ControlUnavailable.
func (c *Control) Desired(ctx context.Context) (*wire.DesiredState, error) {
	if err := c.reads.wait(ctx); err != nil {
		return nil, err
	}
	return c.desired(), nil
}

func (c *Control) desired() (desired *wire.DesiredState) {
	c.machine.read(func(s *state.State) { desired = s.Desired() })
	return desired
}

// commitIdempotent commits a command that has the same effect if it is committed twice, so it retries after an unknown
// outcome. Errors are refusals by the state, result.EntryTooLarge, or result.ControlUnavailable when ctx ends.
func (c *Control) commitIdempotent(ctx context.Context, cmd *wire.Command) error {
	_, err := c.commitIdempotentResult(ctx, cmd)
	return err
}

// commitIdempotentResult is commitIdempotent, and returns the result of the command as well.
func (c *Control) commitIdempotentResult(ctx context.Context, cmd *wire.Command) (*wire.CommandResult, error) {
	for {
		res, err := c.proposeOrForward(ctx, cmd)
		switch {
		case err == nil:
			return res, resultError(res)
		case result.Is(err, result.EntryTooLarge):
			return nil, err
		case !pause.For(ctx, retryInterval):
			return nil, result.Wrap(err, result.ControlUnavailable, "the change may or may not have been committed: send it again")
		}
	}
}
