package entry

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// usageTolerance is what an entry's settings say of usage caps.
func usageTolerance(s settings.Entry) quota.Tolerance {
	return quota.Tolerance{
		Window:    s.Timing.UsageWindow,
		Overrun:   s.Limits.UsageOverrun,
		Allowance: float64(s.Limits.UsageAllowance),
	}
}

// sharesDuty moves this entry's shares of usage caps as its use rises and falls.
func (e *Entry) sharesDuty(ctx context.Context) error {
	ticker := time.NewTicker(quota.MoveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-e.caps.Wake():
		}
		if e.isListed() {
			e.moveShares(ctx)
		}
	}
}

// isListed tells whether the directory has this incarnation. The state gives no shares to another.
func (e *Entry) isListed() bool {
	return e.control.View().Entries[e.settings.Instance].GetIncarnation() == e.incarnation
}

// moveShares proposes the shares that should be held, if they differ from those that are.
func (e *Entry) moveShares(ctx context.Context) {
	move := e.caps.NextProposal()
	if move == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, quota.MoveTimeout)
	defer cancel()
	begun := e.now()
	res, err := e.control.Propose(ctx, &wire.Command{Kind: &wire.Command_MoveShares{MoveShares: move}})
	e.caps.ProposalEnded(move, res)
	e.meter.sharesMoved(res, err)
	log := e.log.WithField("sequence", move.GetSequence()).
		WithField("asked", wire.FormatShares(move.GetShares())).
		WithField("held", wire.FormatShares(res.GetShares())).
		WithField("code", res.GetCode()).
		WithField("ms", e.now().Sub(begun).Milliseconds())
	if err != nil {
		log.WithError(err).Warn("shares_not_moved")
		return
	}
	log.Info("shares_moved")
}
