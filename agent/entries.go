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

// newEntryServer makes the link server whose messages go to the gate duties.
func (a *Agent) newEntryServer() *link.EntryServer {
	return &link.EntryServer{
		Hello:   a.hello,
		Admit:   a.admitEntry,
		Up:      a.entryConnected,
		Down:    a.entryDisconnected,
		Receive: a.receive,
		Timing:  link.Timing{Heartbeat: a.settings.Timing.Heartbeat},
	}
}

// admitEntry lets in only entry incarnations that control has in its directory, once a quorum has confirmed that.
//
// The leases of an ended entry are void, but an agent that starts knows of no ended entries. Otherwise: an entry is cut
// off from control but not from the agents; control ends it, another entry takes its request over and has every proof;
// an agent restarts; the ended entry links to it and dispatches, beside the new owner's attempt. One would notice by two
// engines at one request.
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

// receive passes a message of an entry to the gate of its server, a heartbeat to all gates.
func (a *Agent) receive(ctx context.Context, id link.EntryID, message *wire.EntryMessage) error {
	entry := gate.EntryID(id)
	if heartbeat := message.GetHeartbeat(); heartbeat != nil {
		a.session.ObserveVersion(heartbeat.GetConfigVersion())
		a.servers.broadcast(ctx, gateEvent{gate.MessageReceived{Entry: entry, Message: message}})
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

// serverAndAttempt returns the server and the attempt that a message is about; no attempt if it is about none.
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

// answerUnknownServer answers for a server that the agent has no gate for and no room to make one. Without a gate there is
// no tombstone, so the answer is no proof.
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

// entryMessage is a message of an entry for one server.
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

// withoutTarget returns a reservation of something that no server has. The gate refuses it with a tombstone, which is
// how an agent without admission answers at once; a dispatch is refused where it would start.
func withoutTarget(reserve *wire.Reserve) *wire.EntryMessage {
	reserve = proto.CloneOf(reserve)
	if reserve.Work == nil {
		reserve.Work = new(wire.Work)
	}
	reserve.Work.Target = ""
	return &wire.EntryMessage{Kind: &wire.EntryMessage_Reserve{Reserve: reserve}}
}

// linkSender is the link server as gates see it.
type linkSender struct{ server *link.EntryServer }

// Send implements entryLinks.
func (l linkSender) Send(id gate.EntryID, message *wire.AgentMessage) bool {
	return l.server.Send(link.EntryID(id), message)
}

// Broadcast implements entryLinks.
func (l linkSender) Broadcast(message *wire.AgentMessage) {
	l.server.Broadcast(message)
}
