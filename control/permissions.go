package control

import (
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// mayPropose reports whether an entry or agent may propose a command. It may register and deregister only itself.
//
// Without this check any process that can open a session could change classes without an operator's key, or raise the
// fence and so block the leader's orders. The only sign would be changes without an operator in the log.
func mayPropose(hello *wire.ClientHello, cmd *wire.Command) bool {
	isEntry := hello.GetRole() == wire.Role_ROLE_ENTRY
	switch kind := cmd.GetKind().(type) {
	case *wire.Command_RegisterEntry:
		return isEntry && kind.RegisterEntry.GetEntry().GetEntry() == hello.GetInstance()
	case *wire.Command_RegisterAgent:
		return !isEntry && kind.RegisterAgent.GetAgent().GetAgent() == hello.GetInstance()
	case *wire.Command_EndEntry:
		end := kind.EndEntry
		return isEntry && end.GetEntry() == hello.GetInstance() && end.GetIncarnation() == hello.GetIncarnation()
	case *wire.Command_RemoveAgent:
		end := kind.RemoveAgent
		return !isEntry && end.GetAgent() == hello.GetInstance() && end.GetIncarnation() == hello.GetIncarnation()
	case *wire.Command_BeginOperation, *wire.Command_WidenOperation, *wire.Command_ReleaseOperation:
		return isEntry
	case *wire.Command_MoveShares:
		move := kind.MoveShares
		return isEntry && move.GetEntry() == hello.GetInstance() && move.GetIncarnation() == hello.GetIncarnation()
	case *wire.Command_CompleteOperation, *wire.Command_NoteCrash, *wire.Command_NoteServerAdvice:
		return true
	case *wire.Command_ClearPoison:
		return isEntry
	default:
		return false
	}
}

// mayForward reports whether a follower may forward a command: changes by operators, announcements and ends of backend
// servers, the evidence of a roll-out, and that crashes are cleared.
func mayForward(cmd *wire.Command) bool {
	switch cmd.GetKind().(type) {
	case *wire.Command_PutClass, *wire.Command_DeleteClass, *wire.Command_DrainServer:
		return true
	case *wire.Command_PutDesiredState, *wire.Command_AnnounceServers, *wire.Command_EndServer:
		return true
	case *wire.Command_StartRollout, *wire.Command_RecordRollout, *wire.Command_ClearPoison:
		return true
	default:
		return false
	}
}

// notAllowed returns the reply to a proposal that the sender may not make.
func notAllowed(id uint64) *wire.ProposeReply {
	return &wire.ProposeReply{
		Id:      id,
		Code:    uint32(result.BadMessage),
		Message: "the sender may not propose this command",
	}
}
