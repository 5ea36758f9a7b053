package state

import (
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
	"google.golang.org/protobuf/proto"
)

// widenOperation adds servers that the owner may dispatch to. It is committed before the dispatch, so that a new
// owner knows whom to ask for proof.
func (s *State) widenOperation(cmd *wire.WidenOperation) *wire.CommandResult {
	op := s.operations.byKey[operationKey{cmd.GetOrganisation(), cmd.GetKey()}]
	if op == nil {
		return refuse(result.NotFound, "no record of this key")
	}
	if !op.isHeldBy(cmd.GetEntry(), cmd.GetEntryIncarnation(), cmd.GetEpoch()) {
		return superseded(op)
	}
	candidates := union(op.candidates, cmd.GetCandidates())
	if len(candidates) > s.limits.Servers {
		return refuse(result.QueueFull, "more than %d servers to try", s.limits.Servers)
	}
	op.candidates = candidates
	return &wire.CommandResult{Operation: op.record()}
}

// isHeldBy tells whether the record is open and the named owner's, in the epoch that the owner knows.
func (op *operation) isHeldBy(entry string, incarnation, epoch uint64) bool {
	return op.state == wire.OperationState_OPERATION_STATE_OPEN && op.isOwner(entry, incarnation) && op.epoch == epoch
}

// completeOperation commits an outcome. The first one stays: callers may have been answered with it.
func (s *State) completeOperation(cmd *wire.CompleteOperation) *wire.CommandResult {
	if len(cmd.GetAnswer().GetContentType()) > maxContentType || len(cmd.GetAnswer().GetMessage()) > maxMessage {
		return refuse(result.BadMessage, "content type or message of the answer is too long")
	}
	op := s.operations.byKey[operationKey{cmd.GetOrganisation(), cmd.GetKey()}]
	if op == nil {
		return refuse(result.NotFound, "no record of this key")
	}
	if op.state == wire.OperationState_OPERATION_STATE_DONE {
		return s.completeAgain(op, cmd)
	}
	if !op.mayComplete(cmd) {
		return superseded(op)
	}
	op.answer = s.keepable(cmd.GetAnswer())
	op.state = wire.OperationState_OPERATION_STATE_DONE
	op.endedMS = s.unixMS
	s.operations.answerBytes += len(op.answer.GetBody())
	return &wire.CommandResult{Operation: op.record()}
}

// mayComplete tells whether the outcome is the request's. Of repeatable work it must come from the present owner's
// epoch: an older attempt may end after the new owner's dispatch, and the caller would get one run's answer while
// the other still goes on. Work that may not be repeated ran once at most, so whoever reports it is right, also
// after the record was closed as unknown.
func (op *operation) mayComplete(cmd *wire.CompleteOperation) bool {
	if cmd.GetEpoch() == 0 || cmd.GetEpoch() > op.epoch {
		return false
	}
	if cmd.GetEpoch() == op.epoch {
		return cmd.GetRequest() == op.request
	}
	return !op.repeatable
}

// completeAgain answers a completion that was sent again, and refuses another outcome.
func (s *State) completeAgain(op *operation, cmd *wire.CompleteOperation) *wire.CommandResult {
	if op.mayComplete(cmd) && isSameAnswer(op.answer, cmd.GetAnswer()) {
		return &wire.CommandResult{Operation: op.record()}
	}
	return superseded(op)
}

func isSameAnswer(kept, sent *wire.Answer) bool {
	if kept.GetDropped() {
		sent = withoutBody(sent)
	}
	return proto.Equal(kept, sent)
}

// keepable returns the answer as it is kept: without its body if that is too large, or if too much is kept already.
// Who sends the request again then hears that it ran.
func (s *State) keepable(a *wire.Answer) *wire.Answer {
	size := len(a.GetBody())
	if size > s.limits.AnswerBytes || s.operations.answerBytes+size > s.limits.TotalAnswerBytes {
		return withoutBody(a)
	}
	if a == nil {
		return &wire.Answer{}
	}
	return proto.CloneOf(a)
}

func withoutBody(a *wire.Answer) *wire.Answer {
	return &wire.Answer{
		Status:      a.GetStatus(),
		ContentType: a.GetContentType(),
		Dropped:     true,
		Code:        a.GetCode(),
		Message:     a.GetMessage(),
	}
}

// releaseOperation frees the key of work that is proved not to have run. Only the owner of the present epoch has
// the proof; a late release of an earlier owner would free a key whose work is running.
func (s *State) releaseOperation(cmd *wire.ReleaseOperation) *wire.CommandResult {
	op := s.operations.byKey[operationKey{cmd.GetOrganisation(), cmd.GetKey()}]
	if op == nil {
		return accepted()
	}
	if !op.isHeldBy(cmd.GetEntry(), cmd.GetEntryIncarnation(), cmd.GetEpoch()) {
		return superseded(op)
	}
	if cmd.GetGiveBack() && len(op.earlier) > 0 {
		op.giveBack()
		return accepted()
	}
	s.operations.remove(op)
	return accepted()
}

// giveBack leaves the record without an owner, so that the next begin takes it over. Its owner dispatched nothing, so
// the servers of its epoch have nothing to prove.
//
// Otherwise: an entry takes a record over, and its call ends before the proofs are there. The entry lives, so every
// begin at another entry would hear "open", and callers would wait there until their deadlines.
func (op *operation) giveBack() {
	op.entry = ""
	op.inc = 0
	op.candidates = nil
}

func superseded(op *operation) *wire.CommandResult {
	res := refuse(result.AttemptSuperseded, "the record has another owner, epoch or outcome")
	res.Operation = op.record()
	return res
}
