package entry

import (
	"context"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// maxKeptMessage bounds the message of a kept failure in bytes.
const maxKeptMessage = 512

// close commits what became of the operation, and returns the outcome to answer with. It waits for the commit until
// closeBy, then goes on in the background: a whole answer is given also without it.
//
// Without the commit before the answer, a caller that hears the answer, or loses it on the way, and sends again could
// hear another one, or that nothing is known.
func (op *operation) close(ctx context.Context, out *outcome) *outcome {
	command, kind := op.closing(out)
	bounded, cancel := context.WithDeadline(context.WithoutCancel(ctx), closeBy(op.request, op.entry.now()))
	defer cancel()
	res, err := op.entry.propose(bounded, kind, command)
	if err != nil {
		op.settleLater(kind, command)
		return op.decided(out)
	}
	return op.decided(op.winner(out, res))
}

// closing chooses the command: an answer and a failure that may have run are kept, and the key is freed when nothing
// ran, or when the work may be repeated and is proved over. A record that was taken over without the proofs is given
// back: the next owner needs the same ones.
func (op *operation) closing(out *outcome) (*wire.Command, string) {
	switch {
	case out.err == nil:
		return op.completion(out), "complete"
	case out.err.Ran == result.RanNo:
		return op.release(), "release"
	case !out.fate.sent && op.taken:
		return op.giveBack(), "release"
	case op.request.Class.GetRepeatable() && out.fate.over:
		return op.release(), "release"
	default:
		return op.completion(out), "complete"
	}
}

func (op *operation) completion(out *outcome) *wire.Command {
	r := op.request
	return &wire.Command{Kind: &wire.Command_CompleteOperation{CompleteOperation: &wire.CompleteOperation{
		Organisation: r.Organisation,
		Key:          r.Key,
		Request:      r.ID,
		Epoch:        op.epoch,
		Answer:       keptAnswer(out),
	}}}
}

func keptAnswer(out *outcome) *wire.Answer {
	if out.err != nil {
		return &wire.Answer{
			Status:  uint32(out.err.Status()),
			Code:    uint32(out.err.Code),
			Message: out.err.Message[:min(len(out.err.Message), maxKeptMessage)],
		}
	}
	kept := &wire.Answer{
		Status:      uint32(out.status),
		ContentType: out.contentType,
		Body:        out.body,
		Dropped:     out.dropped,
	}
	if len(out.body) > state.DefaultLimits.AnswerBytes {
		kept.Body = nil
		kept.Dropped = true
	}
	return kept
}

func (op *operation) release() *wire.Command {
	r := op.request
	return &wire.Command{Kind: &wire.Command_ReleaseOperation{ReleaseOperation: &wire.ReleaseOperation{
		Organisation:     r.Organisation,
		Key:              r.Key,
		Entry:            op.entry.settings.Instance,
		EntryIncarnation: op.entry.incarnation,
		Epoch:            op.epoch,
	}}}
}

// giveBack leaves the record to whoever asks next, with its earlier servers.
func (op *operation) giveBack() *wire.Command {
	command := op.release()
	command.GetReleaseOperation().GiveBack = true
	return command
}

// winner is the outcome that the record holds. If another owner has committed one, the caller gets that, so that a
// resend gives the same.
func (op *operation) winner(out *outcome, res *wire.CommandResult) *outcome {
	done := res.GetOperation().GetState() == wire.OperationState_OPERATION_STATE_DONE
	if result.Code(res.GetCode()) == result.AttemptSuperseded && done && !op.request.Stream {
		return answerOutcome(res.GetOperation())
	}
	return out
}

// settleLater repeats a commit until it is known, so that the record isn't left open.
func (op *operation) settleLater(kind string, command *wire.Command) {
	op.settles = true
	op.entry.background.Go(func() {
		defer op.entry.flights.land(op.flight)
		op.repeat(kind, command)
	})
}

func (op *operation) repeat(kind string, command *wire.Command) *wire.CommandResult {
	wait := pollFirst
	for op.entry.base.Err() == nil {
		ctx, cancel := context.WithTimeout(op.entry.base, commitTry)
		res, err := op.entry.propose(ctx, kind, command)
		cancel()
		if err == nil {
			return res
		}
		pause.For(op.entry.base, wait)
		wait = min(2*wait, pollMost)
	}
	return nil
}

// end frees the key for the next call, unless the record still has to be settled.
func (op *operation) end() {
	op.flight.decide(&outcome{err: result.New(result.OutcomeUnknown, "")})
	op.entry.release(op.request)
	if op.unclear != nil {
		op.settleBegin()
	}
	if !op.settles {
		op.entry.flights.land(op.flight)
	}
}

// settleBegin finds out what became of a begin whose outcome got lost, and frees the key if it made a record, or gives a
// record back that it took over: nothing was dispatched under it.
//
// Otherwise: control commits the begin after its caller heard that control is unavailable. The entry lives and has no
// request for the record, so a resend at another entry would wait there until its deadline. The same begin is sent
// again, since it needs nothing of the entry that may fail.
func (op *operation) settleBegin() {
	op.settles = true
	op.entry.background.Go(func() {
		defer op.entry.flights.land(op.flight)
		res := op.repeat("begin", op.unclear)
		op.epoch = res.GetOperation().GetEpoch()
		switch res.GetBegin() {
		case wire.BeginOutcome_BEGIN_OUTCOME_BEGUN:
			op.repeat("release", op.release())
		case wire.BeginOutcome_BEGIN_OUTCOME_TAKEN_OVER:
			op.repeat("release", op.giveBack())
		}
	})
}

// propose counts what becomes of a proposal.
func (e *Entry) propose(ctx context.Context, kind string, command *wire.Command) (*wire.CommandResult, error) {
	res, err := e.control.Propose(ctx, command)
	switch {
	case err != nil:
		e.meter.committed(kind, result.CodeOf(err).String())
		e.log.WithField("command", kind).WithError(err).Warn("proposal_failed")
	case res.GetCode() != 0:
		e.meter.committed(kind, result.Code(res.GetCode()).String())
	default:
		e.meter.committed(kind, "committed")
	}
	return res, err
}
