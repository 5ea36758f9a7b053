package agent

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// newEntryServer returns the link server that passes messages of entries to the servers' event loops.
func (a *Agent) newEntryServer() *link.EntryServer {
	return &link.EntryServer{
		Hello:   a.hello,
		Admit:   a.admitEntry,
		Up:      a.entryConnected,
		Down:    a.entryDisconnected,
		Receive: a.receive,
		Timing:  link.Timing{HeartbeatInterval: a.settings.Timing.Heartbeat},
	}
}

// admitEntry accepts only entry incarnations that are in a directory confirmed by a quorum. It returns nil for those.
//
// The leases of an ended entry are void, but an agent that has just started knows of no ended entries. Without this
// check: an entry is cut off from control but not from the agents; control removes it, and another entry takes over
// its request with every proof that it needs; an agent restarts; the removed entry connects to it and dispatches, so
// that two engines run one request.
func (a *Agent) admitEntry(hello *wire.EntryHello) error {
	if !a.directoryConfirmed.Load() {
		if err := a.session.Ready(); err != nil {
			return err
		}
		a.directoryConfirmed.Store(true)
	}
	listed := a.session.View().Entries[hello.GetEntry()]
	if listed.GetIncarnation() != hello.GetIncarnation() {
		return result.New(result.UnlistedEntry, "entry %s with incarnation %d is not in the directory",
			hello.GetEntry(), hello.GetIncarnation())
	}
	return nil
}

func (a *Agent) hello() *wire.AgentHello {
	return &wire.AgentHello{
		Agent:            a.settings.Instance,
		Incarnation:      a.incarnation,
		AvailabilityZone: a.settings.AvailabilityZone,
		ConfigVersion:    a.session.View().ConfigVersion,
	}
}

func (a *Agent) entryConnected(ctx context.Context, hello *wire.EntryHello) {
	id := gate.EntryID{Name: hello.GetEntry(), Incarnation: hello.GetIncarnation()}
	a.log.WithField("entry", id.Name).WithField("incarnation", id.Incarnation).Info("entry_up")
	a.session.ObserveVersion(hello.GetConfigVersion())
	a.servers.entryConnected(ctx, id)
}

func (a *Agent) entryDisconnected(id link.EntryID, cause error) {
	a.log.WithField("entry", id.Name).WithField("incarnation", id.Incarnation).WithError(cause).Warn("entry_down")
	a.servers.entryDisconnected(a.baseContext, gate.EntryID(id))
}

// receive passes a message of an entry to the event loop of the server that it names, a heartbeat to those of all
// servers.
func (a *Agent) receive(ctx context.Context, id link.EntryID, message *wire.EntryMessage) error {
	entry := gate.EntryID(id)
	if heartbeat := message.GetHeartbeat(); heartbeat != nil {
		a.session.ObserveVersion(heartbeat.GetConfigVersion())
		a.servers.broadcast(ctx, gateEvent{gate.MessageReceived{Entry: entry, Message: message}})
		return nil
	}
	if credit := message.GetCredit(); credit != nil {
		a.credits.receive(credit)
		return nil
	}
	name, attempt := serverAndAttempt(message)
	if attempt == nil {
		return nil
	}
	s := a.servers.getOrCreate(name)
	if s == nil {
		a.answerUnknownServer(entry, name, attempt, message)
		return nil
	}
	return s.push(ctx, entryMessage{entry: entry, message: message})
}

// serverAndAttempt returns the server and the attempt that a message is about. The attempt is nil if it is about none.
func serverAndAttempt(message *wire.EntryMessage) (string, *wire.AttemptID) {
	switch kind := message.GetKind().(type) {
	case *wire.EntryMessage_Reserve:
		return kind.Reserve.GetServer(), kind.Reserve.GetAttempt()
	case *wire.EntryMessage_Withdraw:
		return kind.Withdraw.GetServer(), kind.Withdraw.GetAttempt()
	case *wire.EntryMessage_Decline:
		return kind.Decline.GetServer(), kind.Decline.GetAttempt()
	case *wire.EntryMessage_Dispatch:
		return kind.Dispatch.GetServer(), kind.Dispatch.GetAttempt()
	case *wire.EntryMessage_Cancel:
		return kind.Cancel.GetServer(), kind.Cancel.GetAttempt()
	default:
		return "", nil
	}
}

// answerUnknownServer answers for a server without a gate, when the limit on servers prevents making one. Without a
// gate there is no tombstone, so the answer is marked as unproven.
func (a *Agent) answerUnknownServer(entry gate.EntryID, name string, id *wire.AttemptID, message *wire.EntryMessage) {
	if message.GetDispatch() == nil && message.GetCancel() == nil {
		return
	}
	a.meter.refused(result.UnknownServer, message.GetDispatch().GetWork().GetTier())
	over := &wire.Over{
		Attempt: id,
		Server:  name,
		Proof:   wire.Proof_PROOF_UNPROVEN,
		Code:    uint32(result.UnknownServer),
		Message: result.UnknownServer.Info().Message,
	}
	a.links.Send(link.EntryID(entry), &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: over}})
}

// entryMessage is an input with a message of an entry for one server.
type entryMessage struct {
	entry   gate.EntryID
	message *wire.EntryMessage
}

func (in entryMessage) apply(s *server, now time.Time) {
	reserve := in.message.GetReserve()
	code := s.ready.refusalCode()
	if reserve == nil || code == 0 {
		s.step(now, gate.MessageReceived{Entry: in.entry, Message: in.message})
		return
	}
	s.stepWithRefusal(now, gate.MessageReceived{Entry: in.entry, Message: withoutTarget(reserve)}, refusal{
		key:  keyOf(reserve.GetAttempt()),
		code: code,
	})
}

// withoutTarget returns a copy of a reservation whose target no server has, so that the gate refuses it at once and
// leaves a tombstone. An agent that admits no work uses it for reservations; dispatches are refused by startRun.
func withoutTarget(reserve *wire.Reserve) *wire.EntryMessage {
	reserve = proto.CloneOf(reserve)
	if reserve.Work == nil {
		reserve.Work = new(wire.Work)
	}
	reserve.Work.Target = ""
	return &wire.EntryMessage{Kind: &wire.EntryMessage_Reserve{Reserve: reserve}}
}

// linkSender adapts the link server to entryLinks.
type linkSender struct{ server *link.EntryServer }

// Send implements entryLinks.
func (l linkSender) Send(id gate.EntryID, message *wire.AgentMessage) bool {
	return l.server.Send(link.EntryID(id), message)
}

// Broadcast implements entryLinks.
func (l linkSender) Broadcast(message *wire.AgentMessage) {
	l.server.Broadcast(message)
}
