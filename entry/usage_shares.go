package entry

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// usageTolerance returns the usage cap tolerance from an entry's settings.
func usageTolerance(s settings.Entry) quota.Tolerance {
	return quota.Tolerance{
		Window:    s.Timing.UsageWindow,
		Overrun:   s.Limits.UsageOverrun,
		Allowance: float64(s.Limits.UsageAllowance),
	}
}

// runShares adjusts this entry's shares of usage caps, as its use rises and falls, until ctx ends.
func (e *Entry) runShares(ctx context.Context) error {
	ticker := time.NewTicker(quota.MoveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-e.caps.Wake():
		}
		if e.isListed() && !e.moveShares(ctx) {
			pause.For(ctx, shareRetryDelay)
		}
	}
}

// shareRetryDelay is the wait after a proposal that was not answered, or refused without being proposed. Calls that wait
// for a larger share ask for the next proposal at once.
const shareRetryDelay = 50 * time.Millisecond

// isListed reports whether the directory contains this incarnation. The state grants shares only to incarnations in the
// directory.
func (e *Entry) isListed() bool {
	return e.control.View().Entries[e.settings.Instance].GetIncarnation() == e.incarnation
}

// moveShares proposes the shares that this entry should hold, if they differ from those it holds. It returns false if the
// proposal failed.
func (e *Entry) moveShares(ctx context.Context) bool {
	move := e.caps.NextProposal()
	if move == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, quota.MoveTimeout)
	defer cancel()
	begun := e.now()
	res, err := e.control.Propose(ctx, &wire.Command{Kind: &wire.Command_MoveShares{MoveShares: move}})
	e.caps.ProposalEnded(move, res)
	e.meter.countShareMove(res, err)
	log := e.log.WithField("sequence", move.GetSequence()).
		WithField("asked", wire.FormatShares(move.GetShares())).
		WithField("held", wire.FormatShares(res.GetShares())).
		WithField("code", res.GetCode()).
		WithField("ms", e.now().Sub(begun).Milliseconds())
	if err != nil {
		log.WithError(err).Warn("shares_not_moved")
		return false
	}
	log.Info("shares_moved")
	e.reached(phaseShare)
	return true
}
