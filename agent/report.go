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

// report is something that an agent alone knows and that control has to commit. Committing it twice does no harm.
type report struct {
	kind    string // names the log lines
	field   string // of the log lines, for the subject
	subject string // what it is about
	command *wire.Command
}

// Kinds of reports.
const (
	reportOutcome = "outcome"
	reportCrash   = "crash"
)

// outcomeReport is the outcome of an operation whose entry is gone.
//
// Without it the outcome of work that ran would be lost with its entry: the operation would stay "unknown" for ever,
// and its caller would never get the answer that the service gave.
func outcomeReport(c *wire.CompleteOperation) report {
	return report{
		kind:    reportOutcome,
		field:   "request",
		subject: c.GetRequest(),
		command: &wire.Command{Kind: &wire.Command_CompleteOperation{CompleteOperation: c}},
	}
}

// crashReport tells what a server ran when it crashed.
//
// The entries of these requests may be gone as well, or be many that know of one crash each; the agent saw all of them.
func crashReport(c *wire.NoteCrash) report {
	return report{
		kind:    reportCrash,
		field:   "server",
		subject: c.GetCrash().GetServer(),
		command: &wire.Command{Kind: &wire.Command_NoteCrash{NoteCrash: c}},
	}
}

// reporter commits reports.
type reporter struct {
	log     log.Interface
	meter   *meter
	propose proposer
	waiting *ring.Ring[report]
	open    atomic.Int64 // reports that are neither committed nor refused
}

func newReporter(log log.Interface, meter *meter, propose proposer) *reporter {
	return &reporter{
		log:     log,
		meter:   meter,
		propose: propose,
		waiting: ring.New[report]("reports", reportRing),
	}
}

// put hands a report over. It doesn't block; a full ring is counted, and what the report says stays unknown.
func (r *reporter) put(one report) {
	r.open.Add(1)
	if r.waiting.TryPush(one) {
		return
	}
	r.open.Add(-1)
	r.meter.ringRefused(r.waiting.Name())
	r.log.WithField(one.field, one.subject).Error(one.kind + "_not_reported")
}

// run commits reports until ctx ends.
func (r *reporter) run(ctx context.Context) error {
	for {
		one, err := r.waiting.Pop(ctx)
		if err != nil {
			return nil
		}
		r.commit(ctx, one)
	}
}

// commit tries until control committed the report or refused it.
func (r *reporter) commit(ctx context.Context, one report) {
	wait := retryMin
	for {
		answer, err := r.try(ctx, one)
		fields := r.log.WithField(one.field, one.subject)
		if err == nil {
			r.open.Add(-1)
			fields.WithField("code", answer.GetCode()).Info(one.kind + "_committed")
			return
		}
		r.meter.retried(retryReport)
		fields.WithError(err).Warn(one.kind + "_not_committed")
		if !pause.For(ctx, wait) {
			return
		}
		wait = min(2*wait, reportRetryMax)
	}
}

func (r *reporter) try(ctx context.Context, one report) (*wire.CommandResult, error) {
	ctx, stop := context.WithTimeout(ctx, proposeTimeout)
	defer stop()
	return r.propose(ctx, one.command)
}
