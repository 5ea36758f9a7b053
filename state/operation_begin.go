package state

import (
	"bytes"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// beginOperation creates the record of a keyed request, or returns the state of the existing record. It is
// idempotent: an entry that sends the same command again gets the same result.
func (s *State) beginOperation(cmd *wire.BeginOperation) *wire.CommandResult {
	if problem := checkBegin(cmd); problem != "" {
		return refuse(result.BadMessage, "%s", problem)
	}
	if s.isUnregistered(cmd.GetEntry(), cmd.GetEntryIncarnation()) {
		// A begin command of a dead entry that is committed late would create a record without an owner. For
		// non-repeatable work the outcome of the key would stay unknown permanently, although nothing was dispatched.
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
	return s.beginExisting(op, cmd)
}

// checkBegin returns what is wrong with a begin command, or "".
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

// isUnregistered reports whether the incarnation of an entry is not registered. Open records of such an incarnation
// may be taken over.
func (s *State) isUnregistered(entry string, incarnation uint64) bool {
	e := s.entries[entry]
	return e == nil || e.GetIncarnation() != incarnation
}

// newOperation creates the record of a key that has none, unless the key may have expired or a limit is reached.
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
		key:              operationKey{intern(cmd.GetOrganisation()), cmd.GetKey()},
		digest:           bytes.Clone(cmd.GetDigest()),
		class:            intern(cmd.GetClass()),
		repeatable:       cmd.GetRepeatable(),
		state:            wire.OperationState_OPERATION_STATE_OPEN,
		entry:            intern(cmd.GetEntry()),
		entryIncarnation: cmd.GetEntryIncarnation(),
		request:          cmd.GetRequest(),
		epoch:            s.newEpoch(),
		candidateServers: candidates,
		begunUnixMS:      s.leaderUnixMS,
	}
	s.operations.add(op)
	return beginResult(op, wire.BeginOutcome_BEGIN_OUTCOME_BEGUN)
}

// newEpoch returns an epoch above all that any owner of any key has had: the log index of the current command.
//
// If epochs were counted per record, a key that is released and begun again would reuse attempt numbers. A delayed
// "never started" for an attempt of the old record would then be taken for the new record's attempt, and the work
// would be dispatched again while it runs.
func (s *State) newEpoch() uint64 {
	return s.index
}

// beginExisting applies a begin command to the existing record of its key.
func (s *State) beginExisting(op *operation, cmd *wire.BeginOperation) *wire.CommandResult {
	switch {
	case op.state == wire.OperationState_OPERATION_STATE_DONE:
		return beginResult(op, wire.BeginOutcome_BEGIN_OUTCOME_DONE)
	case op.state == wire.OperationState_OPERATION_STATE_UNKNOWN:
		return beginResult(op, wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN)
	case op.isOwner(cmd.GetEntry(), cmd.GetEntryIncarnation()) && op.request == cmd.GetRequest():
		return s.repeatBegin(op, cmd)
	case !s.isUnregistered(op.entry, op.entryIncarnation):
		return beginResult(op, wire.BeginOutcome_BEGIN_OUTCOME_OPEN)
	case !op.repeatable && op.mayHaveBeenDispatched():
		s.closeAsUnknown(op)
		return beginResult(op, wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN)
	default:
		return s.takeOver(op, cmd)
	}
}

// isOwner reports whether the incarnation of an entry owns the record.
func (op *operation) isOwner(entry string, incarnation uint64) bool {
	return op.entry == entry && op.entryIncarnation == incarnation
}

// mayHaveBeenDispatched reports whether the request may have been dispatched to a backend server.
func (op *operation) mayHaveBeenDispatched() bool {
	return len(op.candidateServers) > 0 || len(op.earlierServers) > 0
}

// repeatBegin applies a begin command that its owner sends again after losing the answer.
func (s *State) repeatBegin(op *operation, cmd *wire.BeginOperation) *wire.CommandResult {
	candidates := union(op.candidateServers, cmd.GetCandidates())
	if len(candidates) > s.limits.Servers {
		return refuse(result.BadMessage, "more than %d servers", s.limits.Servers)
	}
	op.candidateServers = candidates
	return beginResultForOwner(op)
}

// beginResultForOwner returns the result for the owner of a record. If no earlier servers are listed, nothing was
// dispatched for the record by any previous owner: the owner has nothing to prove and reports on its own attempts
// only.
func beginResultForOwner(op *operation) *wire.CommandResult {
	if len(op.earlierServers) > 0 {
		return beginResult(op, wire.BeginOutcome_BEGIN_OUTCOME_TAKEN_OVER)
	}
	return beginResult(op, wire.BeginOutcome_BEGIN_OUTCOME_BEGUN)
}

// takeOver makes the caller the owner of the record. The servers of all earlier epochs stay listed: each must prove
// that its attempt is over before the new owner dispatches. Otherwise two engines could run the request at the same
// time.
func (s *State) takeOver(op *operation, cmd *wire.BeginOperation) *wire.CommandResult {
	earlier := union(op.earlierServers, op.candidateServers)
	candidates := union(nil, cmd.GetCandidates())
	if len(earlier) > s.limits.Servers || len(candidates) > s.limits.Servers {
		return refuse(result.QueueFull, "more than %d servers to prove or to try", s.limits.Servers)
	}
	op.earlierServers = earlier
	op.candidateServers = candidates
	op.entry = intern(cmd.GetEntry())
	op.entryIncarnation = cmd.GetEntryIncarnation()
	op.request = cmd.GetRequest()
	op.epoch = s.newEpoch()
	return beginResultForOwner(op)
}

// closeAsUnknown closes the record of non-repeatable work that may have run. Only the agent that ran it can report
// the outcome afterwards, see completeOperation.
func (s *State) closeAsUnknown(op *operation) {
	op.state = wire.OperationState_OPERATION_STATE_UNKNOWN
	op.endedUnixMS = s.leaderUnixMS
}

// beginResult returns the result of a begin command with the record and the outcome.
func beginResult(op *operation, outcome wire.BeginOutcome) *wire.CommandResult {
	return &wire.CommandResult{Operation: op.record(), Begin: outcome}
}
