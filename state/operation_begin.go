package state

import (
	"bytes"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// beginOperation makes the record of a keyed request, or tells what became of the key. An entry may send the same
// begin again; it hears the same.
func (s *State) beginOperation(cmd *wire.BeginOperation) *wire.CommandResult {
	if problem := checkBegin(cmd); problem != "" {
		return refuse(result.BadMessage, "%s", problem)
	}
	if s.isGone(cmd.GetEntry(), cmd.GetEntryIncarnation()) {
		// A begin of a dead entry that is committed late would leave a record that nobody serves; for work that
		// may not be repeated the key would be unknown for good although nothing was dispatched.
		return refuse(result.CutOffFromControl, "entry %s with incarnation %d isn't registered",
			cmd.GetEntry(), cmd.GetEntryIncarnation())
	}
	op := s.operations.byKey[operationKey{cmd.GetOrganisation(), cmd.GetKey()}]
	if op == nil {
		return s.newOperation(cmd)
	}
	if !bytes.Equal(op.digest, cmd.GetDigest()) {
		return refuse(result.KeyReusedWithOtherBody, "")
	}
	return s.joinOperation(op, cmd)
}

func checkBegin(cmd *wire.BeginOperation) string {
	switch {
	case cmd.GetOrganisation() == "" || len(cmd.GetOrganisation()) > maxName:
		return "organisation is missing or too long"
	case cmd.GetKey() == "" || len(cmd.GetKey()) > maxKey:
		return "key is missing or too long"
	case len(cmd.GetDigest()) == 0 || len(cmd.GetDigest()) > maxDigest:
		return "digest is missing or too long"
	case cmd.GetRequest() == "" || len(cmd.GetRequest()) > maxName:
		return "request is missing or too long"
	case len(cmd.GetClass()) > maxName:
		return "class is too long"
	default:
		return ""
	}
}

// isGone tells whether an incarnation of an entry isn't registered, so that its open records may be taken over.
func (s *State) isGone(entry string, incarnation uint64) bool {
	e := s.entries[entry]
	return e == nil || e.GetIncarnation() != incarnation
}

func (s *State) newOperation(cmd *wire.BeginOperation) *wire.CommandResult {
	if s.operations.mayHaveExpired(cmd.GetOrganisation(), cmd.GetKey()) {
		return refuse(result.KeyTooOld, "")
	}
	if len(s.operations.byKey) >= s.limits.Operations {
		return refuse(result.QueueFull, "there are %d records of keyed requests already", len(s.operations.byKey))
	}
	candidates := union(nil, cmd.GetCandidates())
	if len(candidates) > s.limits.Servers {
		return refuse(result.BadMessage, "more than %d servers", s.limits.Servers)
	}
	op := &operation{
		key:        operationKey{intern(cmd.GetOrganisation()), cmd.GetKey()},
		digest:     bytes.Clone(cmd.GetDigest()),
		class:      intern(cmd.GetClass()),
		repeatable: cmd.GetRepeatable(),
		state:      wire.OperationState_OPERATION_STATE_OPEN,
		entry:      intern(cmd.GetEntry()),
		inc:        cmd.GetEntryIncarnation(),
		request:    cmd.GetRequest(),
		epoch:      s.newEpoch(),
		candidates: candidates,
		begunMS:    s.unixMS,
	}
	s.operations.add(op)
	return begun(op, wire.BeginOutcome_BEGIN_OUTCOME_BEGUN)
}

// newEpoch returns an epoch above all that any owner of any key ever had: the index of the command in the log.
//
// Were epochs counted within a record, a key that is released and begun again would use its attempt numbers a second
// time. A late "never started" of the old record's attempt would then be taken for one about the new record's, and the
// work would be dispatched again while it runs.
func (s *State) newEpoch() uint64 {
	return s.index
}

func (s *State) joinOperation(op *operation, cmd *wire.BeginOperation) *wire.CommandResult {
	switch {
	case op.state == wire.OperationState_OPERATION_STATE_DONE:
		return begun(op, wire.BeginOutcome_BEGIN_OUTCOME_DONE)
	case op.state == wire.OperationState_OPERATION_STATE_UNKNOWN:
		return begun(op, wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN)
	case op.isOwner(cmd.GetEntry(), cmd.GetEntryIncarnation()) && op.request == cmd.GetRequest():
		return s.repeatBegin(op, cmd)
	case !s.isGone(op.entry, op.inc):
		return begun(op, wire.BeginOutcome_BEGIN_OUTCOME_OPEN)
	case !op.repeatable && op.mayHaveRun():
		s.endUnknown(op)
		return begun(op, wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN)
	default:
		return s.takeOver(op, cmd)
	}
}

func (op *operation) isOwner(entry string, incarnation uint64) bool {
	return op.entry == entry && op.inc == incarnation
}

// mayHaveRun tells whether the request may have been dispatched to some server.
func (op *operation) mayHaveRun() bool {
	return len(op.candidates) > 0 || len(op.earlier) > 0
}

// repeatBegin answers a begin that was sent again after its answer was lost.
func (s *State) repeatBegin(op *operation, cmd *wire.BeginOperation) *wire.CommandResult {
	candidates := union(op.candidates, cmd.GetCandidates())
	if len(candidates) > s.limits.Servers {
		return refuse(result.BadMessage, "more than %d servers", s.limits.Servers)
	}
	op.candidates = candidates
	return begunByOwner(op)
}

// begunByOwner answers the owner. Without earlier servers nothing was ever dispatched for the record, whoever owned it
// before: there is nothing to prove, and what the owner says of its own attempts is all there is to say.
func begunByOwner(op *operation) *wire.CommandResult {
	if len(op.earlier) > 0 {
		return begun(op, wire.BeginOutcome_BEGIN_OUTCOME_TAKEN_OVER)
	}
	return begun(op, wire.BeginOutcome_BEGIN_OUTCOME_BEGUN)
}

// takeOver makes the caller the owner. Servers of the epochs before stay named: each of them must prove that its
// attempt is over before the new owner dispatches, or two engines would work on the request.
func (s *State) takeOver(op *operation, cmd *wire.BeginOperation) *wire.CommandResult {
	earlier := union(op.earlier, op.candidates)
	candidates := union(nil, cmd.GetCandidates())
	if len(earlier) > s.limits.Servers || len(candidates) > s.limits.Servers {
		return refuse(result.QueueFull, "more than %d servers to prove or to try", s.limits.Servers)
	}
	op.earlier = earlier
	op.candidates = candidates
	op.entry = intern(cmd.GetEntry())
	op.inc = cmd.GetEntryIncarnation()
	op.request = cmd.GetRequest()
	op.epoch = s.newEpoch()
	return begunByOwner(op)
}

// endUnknown closes a record whose work may not be repeated and may have run. Only the agent that ran it can still
// say how it ended, see completeOperation.
func (s *State) endUnknown(op *operation) {
	op.state = wire.OperationState_OPERATION_STATE_UNKNOWN
	op.endedMS = s.unixMS
}

func begun(op *operation, outcome wire.BeginOutcome) *wire.CommandResult {
	return &wire.CommandResult{Operation: op.record(), Begin: outcome}
}
