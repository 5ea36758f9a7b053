package state

import (
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
	"google.golang.org/protobuf/proto"
)

// widenOperation adds servers to which the owner may dispatch. It is committed before the dispatch, so that a new
// owner knows which servers have to prove that their attempts are over.
func (s *State) widenOperation(cmd *wire.WidenOperation) *wire.CommandResult {
	op := s.operations.byKey[operationKey{cmd.GetOrganisation(), cmd.GetKey()}]
	if op == nil {
		return refuse(result.NotFound, "no record of this key")
	}
	if !op.isOpenAndOwnedBy(cmd.GetEntry(), cmd.GetEntryIncarnation(), cmd.GetEpoch()) {
		return supersededResult(op)
	}
	candidates := union(op.candidateServers, cmd.GetCandidates())
	if len(candidates) > s.limits.Servers {
		return refuse(result.QueueFull, "more than %d servers to try", s.limits.Servers)
	}
	op.candidateServers = candidates
	return &wire.CommandResult{Operation: op.record()}
}

// isOpenAndOwnedBy reports whether the record is open and owned by the incarnation of the entry in the given epoch.
func (op *operation) isOpenAndOwnedBy(entry string, incarnation, epoch uint64) bool {
	return op.state == wire.OperationState_OPERATION_STATE_OPEN && op.isOwner(entry, incarnation) && op.epoch == epoch
}

// completeOperation stores the outcome of an operation. The first outcome is final, since callers may have received
// it.
func (s *State) completeOperation(cmd *wire.CompleteOperation) *wire.CommandResult {
	if len(cmd.GetAnswer().GetContentType()) > maxContentType || len(cmd.GetAnswer().GetMessage()) > maxMessage {
		return refuse(result.BadMessage, "content type or message of the answer is too long")
	}
	op := s.operations.byKey[operationKey{cmd.GetOrganisation(), cmd.GetKey()}]
	if op == nil {
		return refuse(result.NotFound, "no record of this key")
	}
	if op.state == wire.OperationState_OPERATION_STATE_DONE {
		return s.repeatCompletion(op, cmd)
	}
	if !op.mayComplete(cmd) {
		return supersededResult(op)
	}
	op.answer = s.answerToStore(cmd.GetAnswer())
	op.state = wire.OperationState_OPERATION_STATE_DONE
	op.endedUnixMS = s.leaderUnixMS
	s.operations.answerBytes += len(op.answer.GetBody())
	return &wire.CommandResult{Operation: op.record()}
}

// mayComplete reports whether a reported outcome may be stored as that of the request. For repeatable work it must
// come from the current owner's epoch: an older attempt may end after the new owner has dispatched, and the caller
// would get the answer of one run while another still runs. Non-repeatable work ran at most once, so any report of it
// is correct, also after the record was closed as unknown.
func (op *operation) mayComplete(cmd *wire.CompleteOperation) bool {
	if cmd.GetEpoch() == 0 || cmd.GetEpoch() > op.epoch {
		return false
	}
	if cmd.GetEpoch() == op.epoch {
		return cmd.GetRequest() == op.request
	}
	return !op.repeatable
}

// repeatCompletion accepts the stored outcome again and refuses any other.
func (s *State) repeatCompletion(op *operation, cmd *wire.CompleteOperation) *wire.CommandResult {
	if op.mayComplete(cmd) && isSameAnswer(op.answer, cmd.GetAnswer()) {
		return &wire.CommandResult{Operation: op.record()}
	}
	return supersededResult(op)
}

// isSameAnswer reports whether an answer equals the stored one, whose body may have been dropped.
func isSameAnswer(stored, reported *wire.Answer) bool {
	if stored.GetDropped() {
		reported = withoutBody(reported)
	}
	return proto.Equal(stored, reported)
}

// answerToStore returns the answer as it is stored: without its body if the body is larger than Limits.AnswerBytes,
// or if all stored bodies together would exceed Limits.TotalAnswerBytes. A caller that sends the request again then
// learns that it ran.
func (s *State) answerToStore(a *wire.Answer) *wire.Answer {
	size := len(a.GetBody())
	if size > s.limits.AnswerBytes || s.operations.answerBytes+size > s.limits.TotalAnswerBytes {
		return withoutBody(a)
	}
	if a == nil {
		return &wire.Answer{}
	}
	return proto.CloneOf(a)
}

// withoutBody returns a copy of the answer with its body dropped.
func withoutBody(a *wire.Answer) *wire.Answer {
	return &wire.Answer{
		Status:      a.GetStatus(),
		ContentType: a.GetContentType(),
		Dropped:     true,
		Code:        a.GetCode(),
		Message:     a.GetMessage(),
	}
}

// releaseOperation removes the record of work that is proved not to have run, which frees its key. Only the owner of
// the current epoch has the proof; a delayed release by an earlier owner would free a key whose work is running.
func (s *State) releaseOperation(cmd *wire.ReleaseOperation) *wire.CommandResult {
	op := s.operations.byKey[operationKey{cmd.GetOrganisation(), cmd.GetKey()}]
	if op == nil {
		return accepted()
	}
	if !op.isOpenAndOwnedBy(cmd.GetEntry(), cmd.GetEntryIncarnation(), cmd.GetEpoch()) {
		return supersededResult(op)
	}
	if cmd.GetGiveBack() && len(op.earlierServers) > 0 {
		op.clearOwner()
		return accepted()
	}
	s.operations.remove(op)
	return accepted()
}

// clearOwner leaves the record without an owner, so that the next begin command takes it over. The owner must not
// have dispatched anything: the servers of its epoch are removed, since they have nothing to prove.
//
// Without it, an entry that takes a record over and whose call ends before the proofs arrive would keep the record.
// As the entry is alive, every begin command at another entry would get the outcome "open", and callers would wait
// until their deadlines.
func (op *operation) clearOwner() {
	op.entry = ""
	op.entryIncarnation = 0
	op.candidateServers = nil
}

// supersededResult returns a refusal that contains the current record.
func supersededResult(op *operation) *wire.CommandResult {
	res := refuse(result.AttemptSuperseded, "the record has another owner, epoch or outcome")
	res.Operation = op.record()
	return res
}
