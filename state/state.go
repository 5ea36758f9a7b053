package state

import (
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// State is the replicated state. New returns an empty one. It is not safe for concurrent use.
type State struct {
	limits Limits

	index            uint64 // of the last applied command
	leaderUnixMS     uint64 // highest leader time seen, in milliseconds since 1970
	configVersion    uint64
	directoryVersion uint64
	fence            uint64
	nextOrder        uint64

	classes    map[string]*wire.Class
	agents     map[string]*wire.AgentRecord
	entries    map[string]*wire.EntryRecord
	ended      endedIncarnations
	draining   map[string]bool
	operations operationSet
	orders     map[string]*wire.Order // open orders by server, at most one for each
	changes    changeSet

	desired       *wire.DesiredState
	desiredIndex  uint64 // log index at which desired was put
	announcements announcements
	shares        usageShares
	poisonRecords poisonSet
	advice        map[string]*wire.ServerAdvice // by server; records are replaced and never modified
	rollouts      map[string]*wire.Rollout      // the last one of each pool; records are replaced and never modified

	configHistory    history
	directoryHistory history
}

// New returns an empty state with DefaultLimits.
func New() *State {
	return newState(DefaultLimits)
}

func newState(limits Limits) *State {
	return &State{
		limits:           limits,
		nextOrder:        1,
		classes:          make(map[string]*wire.Class),
		agents:           make(map[string]*wire.AgentRecord),
		entries:          make(map[string]*wire.EntryRecord),
		ended:            newEndedIncarnations(),
		draining:         make(map[string]bool),
		operations:       newOperationSet(),
		orders:           make(map[string]*wire.Order),
		changes:          newChangeSet(),
		announcements:    newAnnouncements(),
		shares:           newUsageShares(),
		poisonRecords:    newPoisonSet(),
		advice:           make(map[string]*wire.ServerAdvice),
		rollouts:         make(map[string]*wire.Rollout),
		configHistory:    history{limit: limits.History},
		directoryHistory: history{limit: limits.History},
	}
}

// Apply applies the command at the given log index and returns its result. Indexes must increase; a command at an
// index that is not above the last applied one is refused and changes nothing.
func (s *State) Apply(index uint64, cmd *wire.Command) *wire.CommandResult {
	if index <= s.index {
		return refuse(result.Internal, "log index %d was applied before", index)
	}
	s.index = index
	s.leaderUnixMS = max(s.leaderUnixMS, cmd.GetUnixMs())
	res := s.dispatch(cmd)
	if res.Version == 0 {
		res.Version = s.configVersion
	}
	return res
}

// dispatch calls the method for the kind of a command.
func (s *State) dispatch(cmd *wire.Command) *wire.CommandResult {
	switch kind := cmd.GetKind().(type) {
	case *wire.Command_PutClass:
		return s.applyChange(kind.PutClass.GetChange(), func() *wire.CommandResult { return s.putClass(kind.PutClass) })
	case *wire.Command_DeleteClass:
		return s.applyChange(kind.DeleteClass.GetChange(), func() *wire.CommandResult { return s.deleteClass(kind.DeleteClass) })
	case *wire.Command_DrainServer:
		return s.applyChange(kind.DrainServer.GetChange(), func() *wire.CommandResult { return s.drainServer(kind.DrainServer) })
	case *wire.Command_InitializeClasses:
		return s.initializeClasses(kind.InitializeClasses)
	case *wire.Command_RegisterAgent:
		return s.registerAgent(kind.RegisterAgent.GetAgent())
	case *wire.Command_RemoveAgent:
		return s.removeAgent(kind.RemoveAgent)
	case *wire.Command_RegisterEntry:
		return s.registerEntry(kind.RegisterEntry.GetEntry())
	case *wire.Command_EndEntry:
		return s.endEntry(kind.EndEntry)
	case *wire.Command_BeginOperation:
		return s.beginOperation(kind.BeginOperation)
	case *wire.Command_WidenOperation:
		return s.widenOperation(kind.WidenOperation)
	case *wire.Command_CompleteOperation:
		return s.completeOperation(kind.CompleteOperation)
	case *wire.Command_ReleaseOperation:
		return s.releaseOperation(kind.ReleaseOperation)
	case *wire.Command_ExpireOperations:
		return s.expireOperations(kind.ExpireOperations)
	case *wire.Command_RaiseFence:
		return s.raiseFence()
	case *wire.Command_PutOrder:
		return s.putOrder(kind.PutOrder.GetOrder())
	case *wire.Command_EndOrder:
		return s.endOrder(kind.EndOrder)
	case *wire.Command_PutDesiredState:
		return s.putDesired(kind.PutDesiredState)
	case *wire.Command_AnnounceServers:
		return s.announceServers(kind.AnnounceServers)
	case *wire.Command_EndServer:
		return s.endServer(kind.EndServer)
	case *wire.Command_MoveShares:
		return s.moveShares(kind.MoveShares)
	case *wire.Command_ReleaseShares:
		return s.releaseShares(kind.ReleaseShares)
	case *wire.Command_NoteCrash:
		return s.noteCrash(kind.NoteCrash)
	case *wire.Command_ClearPoison:
		return s.clearPoison(kind.ClearPoison)
	case *wire.Command_NoteServerAdvice:
		return s.noteServerAdvice(kind.NoteServerAdvice)
	case *wire.Command_StartRollout:
		return s.startRollout(kind.StartRollout)
	case *wire.Command_RecordRollout:
		return s.recordRollout(kind.RecordRollout)
	case *wire.Command_EndRollout:
		return s.endRollout(kind.EndRollout)
	case *wire.Command_ExpirePoison:
		return s.expirePoison()
	default:
		return refuse(result.BadMessage, "the command is not known to this version")
	}
}

// accepted returns a new result without an error code, to be filled by the caller.
func accepted() *wire.CommandResult {
	return &wire.CommandResult{}
}

// refuse returns a result with the code and the message that result.New builds.
func refuse(code result.Code, format string, args ...any) *wire.CommandResult {
	return &wire.CommandResult{Code: uint32(code), Message: result.New(code, format, args...).Message}
}
