package entry

import (
	"context"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// operation is the operation record of a keyed request at control, as seen by its owner.
type operation struct {
	entry        *Entry
	inflight     *inflightKey
	request      *sched.Request
	epoch        uint64
	takenOver    bool          // taken over from an earlier owner
	unknownBegin *wire.Command // a begin command that was sent and whose outcome is unknown
	settling     bool          // a goroutine completes the commit after the call and releases the key
}

// open begins or joins the record. It returns nil if the request may go to the scheduler, otherwise the outcome to
// answer with. While another entry works on the key, it waits until the deadline or until the caller disconnects.
func (op *operation) open(ctx context.Context) *outcome {
	ctx, cancel := context.WithDeadline(ctx, op.request.Deadline)
	defer cancel()
	wait := pollInitial
	for {
		res, out := op.begin(ctx)
		if out != nil {
			op.inflight.setOutcome(out)
			return out
		}
		if res.GetBegin() != wire.BeginOutcome_BEGIN_OUTCOME_OPEN {
			return op.handleBegin(ctx, res)
		}
		if !pause.For(ctx, wait) {
			out := operationInProgress()
			op.inflight.setOutcome(out)
			return out
		}
		wait = min(2*wait, pollMax)
	}
}

// begin proposes the record once. The returned outcome, if not nil, is a refusal by control or reports that control was
// unreachable.
//
// In both cases it is unknown whether the operation ran: this call dispatched nothing, but the record that could not be
// read may show that an earlier call with the key did.
func (op *operation) begin(ctx context.Context) (*wire.CommandResult, *outcome) {
	command, err := op.beginCommand(ctx)
	if err != nil {
		return nil, &outcome{err: err.WithRan(result.RanUnknown)}
	}
	// The proposal continues when the caller disconnects, since otherwise the record could stay open unnoticed.
	bounded, cancel := context.WithDeadline(context.WithoutCancel(ctx), op.request.Deadline)
	defer cancel()
	res, proposeErr := op.entry.propose(bounded, "begin", command)
	if proposeErr != nil {
		if result.Is(proposeErr, result.ProposalUnknown) {
			op.unknownBegin = command
		}
		failure := result.Wrap(proposeErr, result.ControlUnavailable, "the operation's record could not be read; send it again with the same key")
		return nil, &outcome{err: failure.WithRan(result.RanUnknown).WithRetryAfter(controlRetryAfter)}
	}
	if res.GetCode() != 0 {
		return nil, &outcome{err: refusalOf(res)}
	}
	return res, nil
}

// refusalOf returns control's refusal of a begin command. Only an error in the call itself proves that it did not run.
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

// beginCommand returns the begin command. It asks the scheduler for the servers that the request may go to.
func (op *operation) beginCommand(ctx context.Context) (*wire.Command, *result.Error) {
	r := op.request
	var candidates []string
	err := op.entry.queryScheduler(ctx, func(s *sched.Scheduler) { candidates = s.Candidates(r) })
	if err != nil {
		return nil, result.From(err)
	}
	digest := op.inflight.digest
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

// handleBegin handles a begin result other than a record that another entry is working on.
func (op *operation) handleBegin(ctx context.Context, res *wire.CommandResult) *outcome {
	record := res.GetOperation()
	switch res.GetBegin() {
	case wire.BeginOutcome_BEGIN_OUTCOME_BEGUN, wire.BeginOutcome_BEGIN_OUTCOME_TAKEN_OVER:
		op.adoptRecord(record, res.GetBegin() == wire.BeginOutcome_BEGIN_OUTCOME_TAKEN_OVER)
		return op.checkRunnable(ctx)
	case wire.BeginOutcome_BEGIN_OUTCOME_DONE:
		return op.setOutcome(answerOutcome(record))
	default:
		return op.setOutcome(&outcome{err: result.New(result.OutcomeUnknown, "")})
	}
}

func (op *operation) setOutcome(out *outcome) *outcome {
	op.inflight.setOutcome(out)
	return out
}

func (op *operation) adoptRecord(record *wire.Operation, takenOver bool) {
	r := op.request
	op.epoch = record.GetEpoch()
	op.takenOver = takenOver
	r.Epoch = record.GetEpoch()
	r.Candidates = record.GetCandidates()
	if takenOver {
		op.entry.links.keepLinked(r.Candidates)
	}
	r.EarlierServers = record.GetEarlier()
}

// checkRunnable returns nil if the request may go to the scheduler. If it may not, it closes the record and returns the
// refusal.
func (op *operation) checkRunnable(ctx context.Context) *outcome {
	var refusal *result.Error
	switch {
	case ctx.Err() != nil:
		refusal = result.New(result.DeadlinePassedInQueue, "")
	case len(op.request.Candidates) == 0:
		// The scheduler treats an empty candidate list as any server, and the record would not say which servers to ask
		// for proof.
		refusal = result.New(result.NoServer, "").WithRetryAfter(controlRetryAfter)
	default:
		return nil
	}
	return op.refuse(ctx, refusal)
}

// refuse closes the record of a request that never reached the scheduler.
func (op *operation) refuse(ctx context.Context, err *result.Error) *outcome {
	return op.close(ctx, &outcome{err: err.WithRan(op.ranBeforeDispatch()), attempts: attemptSummary{allEnded: true}})
}

// ranBeforeDispatch returns what is known of the operation before this epoch dispatched anything.
func (op *operation) ranBeforeDispatch() result.Ran {
	if op.takenOver {
		return result.RanUnknown
	}
	return result.RanNo
}

// answerOutcome converts a stored answer back into the outcome that was given.
func answerOutcome(record *wire.Operation) *outcome {
	a := record.GetAnswer()
	if code := result.Code(a.GetCode()); code != 0 {
		return &outcome{err: result.New(code, "%s", a.GetMessage()).WithRan(storedRan(code))}
	}
	return &outcome{
		status:      int(a.GetStatus()),
		contentType: a.GetContentType(),
		body:        a.GetBody(),
		bodyDropped: a.GetDropped(),
	}
}

// storedRan returns the "ran" value of a stored failure. Failures are stored only if the work may have run.
func storedRan(code result.Code) result.Ran {
	switch code {
	case result.EngineFailed, result.EngineLost, result.AnswerIncomplete, result.AnswerDigestMismatch, result.AnswerTooLarge:
		return result.RanYes
	default:
		return result.RanUnknown
	}
}
