package entry

import (
	"context"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// maxStoredMessage bounds the message of a stored failure, in bytes.
const maxStoredMessage = 512

// close commits the outcome of the operation and returns the outcome to answer with. It waits for the commit until
// commitDeadline, then continues in the background: a complete answer is sent even without the commit.
//
// If the answer were sent before the commit, a caller that resends could get a different answer, or be told that the
// outcome is unknown.
func (op *operation) close(ctx context.Context, out *outcome) *outcome {
	command, kind := op.closingCommand(out)
	bounded, cancel := context.WithDeadline(context.WithoutCancel(ctx), commitDeadline(op.request, op.entry.now()))
	defer cancel()
	res, err := op.entry.propose(bounded, kind, command)
	if err != nil {
		op.commitInBackground(kind, command)
		return op.setOutcome(out)
	}
	return op.setOutcome(op.committedOutcome(out, res))
}

// closingCommand chooses the command: answers and failures that may have run are stored; the key is released if nothing
// ran, or if the work may be repeated and is proven to have ended. A record that was taken over and for which the
// proofs are missing is returned, since the next owner needs the same proofs.
func (op *operation) closingCommand(out *outcome) (*wire.Command, string) {
	switch {
	case out.err == nil:
		return op.completeCommand(out), "complete"
	case out.err.Ran == result.RanNo:
		return op.releaseCommand(), "release"
	case !out.attempts.anySent && op.takenOver:
		return op.giveBackCommand(), "release"
	case op.request.Class.GetRepeatable() && out.attempts.allEnded:
		return op.releaseCommand(), "release"
	default:
		return op.completeCommand(out), "complete"
	}
}

func (op *operation) completeCommand(out *outcome) *wire.Command {
	r := op.request
	return &wire.Command{Kind: &wire.Command_CompleteOperation{CompleteOperation: &wire.CompleteOperation{
		Organisation: r.Organisation,
		Key:          r.Key,
		Request:      r.ID,
		Epoch:        op.epoch,
		Answer:       storedAnswer(out),
	}}}
}

func storedAnswer(out *outcome) *wire.Answer {
	if out.err != nil {
		return &wire.Answer{
			Status:  uint32(out.err.Status()),
			Code:    uint32(out.err.Code),
			Message: out.err.Message[:min(len(out.err.Message), maxStoredMessage)],
		}
	}
	stored := &wire.Answer{
		Status:      uint32(out.status),
		ContentType: out.contentType,
		Body:        out.body,
		Dropped:     out.bodyDropped,
	}
	if len(out.body) > state.DefaultLimits.AnswerBytes {
		stored.Body = nil
		stored.Dropped = true
	}
	return stored
}

func (op *operation) releaseCommand() *wire.Command {
	r := op.request
	return &wire.Command{Kind: &wire.Command_ReleaseOperation{ReleaseOperation: &wire.ReleaseOperation{
		Organisation:     r.Organisation,
		Key:              r.Key,
		Entry:            op.entry.settings.Instance,
		EntryIncarnation: op.entry.incarnation,
		Epoch:            op.epoch,
	}}}
}

// giveBackCommand leaves the record, with its earlier servers, to the next owner.
func (op *operation) giveBackCommand() *wire.Command {
	command := op.releaseCommand()
	command.GetReleaseOperation().GiveBack = true
	return command
}

// committedOutcome returns the outcome that the record holds. If another owner has committed one, the caller gets that,
// so that a resend gives the same.
func (op *operation) committedOutcome(out *outcome, res *wire.CommandResult) *outcome {
	done := res.GetOperation().GetState() == wire.OperationState_OPERATION_STATE_DONE
	if result.Code(res.GetCode()) == result.AttemptSuperseded && done && !op.request.Stream {
		return answerOutcome(res.GetOperation())
	}
	return out
}

// commitInBackground repeats a commit until its result is known, so that the record is not left open.
func (op *operation) commitInBackground(kind string, command *wire.Command) {
	op.settling = true
	op.entry.background.Go(func() {
		defer op.entry.inflight.release(op.inflight)
		op.proposeUntilKnown(kind, command)
	})
}

func (op *operation) proposeUntilKnown(kind string, command *wire.Command) *wire.CommandResult {
	wait := pollInitial
	for op.entry.runContext.Err() == nil {
		ctx, cancel := context.WithTimeout(op.entry.runContext, proposalTimeout)
		res, err := op.entry.propose(ctx, kind, command)
		cancel()
		if err == nil {
			return res
		}
		pause.For(op.entry.runContext, wait)
		wait = min(2*wait, pollMax)
	}
	return nil
}

// finish releases the key for the next call, unless the record is still being settled.
func (op *operation) finish() {
	op.inflight.setOutcome(&outcome{err: result.New(result.OutcomeUnknown, "")})
	op.entry.releaseBody(op.request)
	if op.unknownBegin != nil {
		op.resolveBegin()
	}
	if !op.settling {
		op.entry.inflight.release(op.inflight)
	}
}

// resolveBegin determines the result of a begin command whose reply was lost. It releases the key if the command
// created a record, or returns the record if the command took it over, since nothing was dispatched under it.
//
// Without this, control may commit the begin command after the caller was told that control is unavailable. The entry
// is alive but has no request for the record, so a resend at another entry would wait until its deadline. The same
// begin command is sent again because it depends on nothing in the entry that may fail.
func (op *operation) resolveBegin() {
	op.settling = true
	op.entry.background.Go(func() {
		defer op.entry.inflight.release(op.inflight)
		res := op.proposeUntilKnown("begin", op.unknownBegin)
		op.epoch = res.GetOperation().GetEpoch()
		switch res.GetBegin() {
		case wire.BeginOutcome_BEGIN_OUTCOME_BEGUN:
			op.proposeUntilKnown("release", op.releaseCommand())
		case wire.BeginOutcome_BEGIN_OUTCOME_TAKEN_OVER:
			op.proposeUntilKnown("release", op.giveBackCommand())
		}
	})
}

// propose proposes a command and counts its result.
func (e *Entry) propose(ctx context.Context, kind string, command *wire.Command) (*wire.CommandResult, error) {
	res, err := e.control.Propose(ctx, command)
	switch {
	case err != nil:
		e.meter.countCommit(kind, result.CodeOf(err).String())
		e.log.WithField("command", kind).WithError(err).Warn("proposal_failed")
	case res.GetCode() != 0:
		e.meter.countCommit(kind, result.Code(res.GetCode()).String())
	default:
		e.meter.countCommit(kind, "committed")
	}
	return res, err
}
