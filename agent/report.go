package agent

import (
	"context"
	"sync/atomic"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/ring"
	"github.com/carawaypitch/carawaypitch/wire"
)

// proposer has a command committed at control.
type proposer func(ctx context.Context, command *wire.Command) (*wire.CommandResult, error)

// reporter commits the outcomes of operations whose entry is gone.
//
// Without it the outcome of work that ran would be lost with its entry: the operation would stay "unknown" for ever,
// and its caller would never get the answer that the service gave.
type reporter struct {
	log     log.Interface
	meter   *meter
	propose proposer
	waiting *ring.Ring[*wire.CompleteOperation]
	open    atomic.Int64 // outcomes that are neither committed nor refused
}

func newReporter(log log.Interface, meter *meter, propose proposer) *reporter {
	return &reporter{
		log:     log,
		meter:   meter,
		propose: propose,
		waiting: ring.New[*wire.CompleteOperation]("reports", reportRing),
	}
}

// put hands an outcome over. It doesn't block; a full ring is counted, and the operation's outcome stays unknown.
func (r *reporter) put(c *wire.CompleteOperation) {
	r.open.Add(1)
	if r.waiting.TryPush(c) {
		return
	}
	r.open.Add(-1)
	r.meter.ringRefused(r.waiting.Name())
	r.log.WithField("request", c.GetRequest()).Error("outcome_not_reported")
}

// run commits outcomes until ctx ends.
func (r *reporter) run(ctx context.Context) error {
	for {
		c, err := r.waiting.Pop(ctx)
		if err != nil {
			return nil
		}
		r.commit(ctx, c)
	}
}

// commit tries until control committed the outcome or refused it. Committing it twice does no harm: the operation's
// first outcome stays.
func (r *reporter) commit(ctx context.Context, c *wire.CompleteOperation) {
	wait := retryMin
	for {
		answer, err := r.try(ctx, c)
		if err == nil {
			r.open.Add(-1)
			r.log.WithField("request", c.GetRequest()).WithField("code", answer.GetCode()).Info("outcome_committed")
			return
		}
		r.meter.retried(retryReport)
		r.log.WithField("request", c.GetRequest()).WithError(err).Warn("outcome_not_committed")
		if !pause.For(ctx, wait) {
			return
		}
		wait = min(2*wait, retryMax)
	}
}

func (r *reporter) try(ctx context.Context, c *wire.CompleteOperation) (*wire.CommandResult, error) {
	ctx, stop := context.WithTimeout(ctx, proposeTimeout)
	defer stop()
	return r.propose(ctx, &wire.Command{Kind: &wire.Command_CompleteOperation{CompleteOperation: c}})
}
