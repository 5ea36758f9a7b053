package control

import (
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// mayPropose tells whether an entry or agent may propose a command. Registrations and their ends are for the sender
// itself.
//
// Whoever may open a session could otherwise change classes without an operator's key, or raise the fence and stop
// the leader's orders; one would notice it only as changes without an operator in the log.
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

// mayForward tells whether a follower may forward a command: the changes of operators, and what
// backend servers say to control.
func mayForward(cmd *wire.Command) bool {
	switch cmd.GetKind().(type) {
	case *wire.Command_PutClass, *wire.Command_DeleteClass, *wire.Command_DrainServer:
		return true
	case *wire.Command_PutDesiredState, *wire.Command_AnnounceServers, *wire.Command_EndServer:
		return true
	default:
		return false
	}
}

// notAllowed is the reply to a proposal that its sender may not make.
func notAllowed(id uint64) *wire.ProposeReply {
	return &wire.ProposeReply{
		Id:      id,
		Code:    uint32(result.BadMessage),
		Message: "the sender may not propose this command",
	}
}
