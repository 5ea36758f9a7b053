package entry

import (
	"context"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// operation is the record of a keyed request at control, as its owner sees it.
type operation struct {
	entry   *Entry
	flight  *flight
	request *sched.Request
	epoch   uint64
	taken   bool          // taken over from an earlier owner
	unclear *wire.Command // a begin that was sent and whose outcome isn't known
	settles bool          // a goroutine goes on after the call, and ends the flight
}

// open makes or joins the record. It returns nil when the request may go to the scheduler, else the outcome to answer
// with. While another entry works on the key it waits, until the deadline or the caller leaves.
func (op *operation) open(ctx context.Context) *outcome {
	ctx, cancel := context.WithDeadline(ctx, op.request.Deadline)
	defer cancel()
	wait := pollFirst
	for {
		res, out := op.begin(ctx)
		if out != nil {
			op.flight.decide(out)
			return out
		}
		if res.GetBegin() != wire.BeginOutcome_BEGIN_OUTCOME_OPEN {
			return op.begun(ctx, res)
		}
		if !pause.For(ctx, wait) {
			out := stillOpen()
			op.flight.decide(out)
			return out
		}
		wait = min(2*wait, pollMost)
	}
}

// begin proposes the record once. The outcome is a refusal by control, or that control couldn't be asked.
//
// The refusal says that it isn't known whether the operation ran: this call dispatched nothing, but the record that
// couldn't be read may say that an earlier call with the key did.
func (op *operation) begin(ctx context.Context) (*wire.CommandResult, *outcome) {
	command, err := op.beginCommand(ctx)
	if err != nil {
		return nil, &outcome{err: err.WithRan(result.RanUnknown)}
	}
	// The caller's leaving doesn't end the proposal, or the record would be left open without anybody knowing.
	bounded, cancel := context.WithDeadline(context.WithoutCancel(ctx), op.request.Deadline)
	defer cancel()
	res, proposeErr := op.entry.propose(bounded, "begin", command)
	if proposeErr != nil {
		if result.Is(proposeErr, result.ProposalUnknown) {
			op.unclear = command
		}
		failure := result.Wrap(proposeErr, result.ControlUnavailable, "the operation's record could not be read; send it again with the same key")
		return nil, &outcome{err: failure.WithRan(result.RanUnknown).WithRetryAfter(controlRetryAfter)}
	}
	if res.GetCode() != 0 {
		return nil, &outcome{err: refusalOf(res)}
	}
	return res, nil
}

// refusalOf is control's refusal of a begin. Only a mistake of the call itself proves that it didn't run.
func refusalOf(res *wire.CommandResult) *result.Error {
	code := result.Code(res.GetCode())
	err := result.New(code, "")
	if res.GetMessage() != "" {
		err = result.New(code, "%s", res.GetMessage())
	}
	if code == result.CutOffFromControl {
		return err.WithRan(result.RanUnknown)
	}
	return err
}

// beginCommand asks the scheduler for the servers that the request may go to.
func (op *operation) beginCommand(ctx context.Context) (*wire.Command, *result.Error) {
	r := op.request
	var candidates []string
	err := op.entry.ask(ctx, func(s *sched.Scheduler) { candidates = s.Candidates(r) })
	if err != nil {
		return nil, result.From(err)
	}
	digest := op.flight.digest
	return &wire.Command{Kind: &wire.Command_BeginOperation{BeginOperation: &wire.BeginOperation{
		Organisation:     r.Organisation,
		Key:              r.Key,
		Digest:           digest[:],
		Repeatable:       r.Class.GetRepeatable(),
		Entry:            op.entry.settings.Instance,
		EntryIncarnation: op.entry.incarnation,
		Request:          r.ID,
		Candidates:       candidates,
		Class:            r.Class.GetName(),
	}}}, nil
}

// begun acts on a record that isn't another entry's to work on.
func (op *operation) begun(ctx context.Context, res *wire.CommandResult) *outcome {
	record := res.GetOperation()
	switch res.GetBegin() {
	case wire.BeginOutcome_BEGIN_OUTCOME_BEGUN, wire.BeginOutcome_BEGIN_OUTCOME_TAKEN_OVER:
		op.adopt(record, res.GetBegin() == wire.BeginOutcome_BEGIN_OUTCOME_TAKEN_OVER)
		return op.mayRun(ctx)
	case wire.BeginOutcome_BEGIN_OUTCOME_DONE:
		return op.decided(answerOutcome(record))
	default:
		return op.decided(&outcome{err: result.New(result.OutcomeUnknown, "")})
	}
}

func (op *operation) decided(out *outcome) *outcome {
	op.flight.decide(out)
	return out
}

func (op *operation) adopt(record *wire.Operation, taken bool) {
	r := op.request
	op.epoch = record.GetEpoch()
	op.taken = taken
	r.Epoch = record.GetEpoch()
	r.Candidates = record.GetCandidates()
	if taken {
		op.entry.links.need(r.Candidates)
	}
	r.EarlierServers = record.GetEarlier()
}

// mayRun returns nil if the request may go to the scheduler. If it may not, the record is released first where nothing
// of the operation can have run.
func (op *operation) mayRun(ctx context.Context) *outcome {
	var refusal *result.Error
	switch {
	case ctx.Err() != nil:
		refusal = result.New(result.DeadlinePassedInQueue, "")
	case len(op.request.Candidates) == 0:
		// The scheduler takes no candidates for any server, but the record would then not say where to ask for proof.
		refusal = result.New(result.NoServer, "").WithRetryAfter(controlRetryAfter)
	default:
		return nil
	}
	return op.refuse(ctx, refusal)
}

// refuse closes the record of a request that the scheduler never got.
func (op *operation) refuse(ctx context.Context, err *result.Error) *outcome {
	return op.close(ctx, &outcome{err: err.WithRan(op.ranWithout()), fate: fate{over: true}})
}

// ranWithout is what is known of the operation before this epoch dispatched anything.
func (op *operation) ranWithout() result.Ran {
	if op.taken {
		return result.RanUnknown
	}
	return result.RanNo
}

// answerOutcome turns a kept outcome back into the answer that was given.
func answerOutcome(record *wire.Operation) *outcome {
	a := record.GetAnswer()
	if code := result.Code(a.GetCode()); code != 0 {
		return &outcome{err: result.New(code, "%s", a.GetMessage()).WithRan(keptRan(code))}
	}
	return &outcome{
		status:      int(a.GetStatus()),
		contentType: a.GetContentType(),
		body:        a.GetBody(),
		dropped:     a.GetDropped(),
	}
}

// keptRan is what a kept failure says of having run. Failures are kept only when the work may have run.
func keptRan(code result.Code) result.Ran {
	switch code {
	case result.EngineFailed, result.EngineLost, result.AnswerIncomplete, result.AnswerDigestMismatch, result.AnswerTooLarge:
		return result.RanYes
	default:
		return result.RanUnknown
	}
}
