package agent

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/outbox"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// errNotDispatched is the cause of the error for an attempt that was not passed to its engine.
var errNotDispatched = errors.New("agent: attempt was not passed to the engine")

// perform carries out an action of the gate. It doesn't block.
func (s *server) perform(now time.Time, action gate.Action) {
	switch a := action.(type) {
	case gate.Send:
		s.send(a)
	case gate.Broadcast:
		s.links.Broadcast(s.hideFreeRoom(a.Message))
	case gate.StartEngine:
		s.startRun(now, a)
	case gate.CancelEngine:
		s.cancelStream(now, a)
	case gate.SuspendEngine:
		s.suspendRun(now, a)
	case gate.DiscardSuspended:
		s.discardSuspended(a)
	case gate.ListEngine:
		s.listStreams()
	case gate.VerifyServer:
		s.verifyServer()
	case gate.Crashed:
		s.reportCrash(a)
	case gate.ReportOutcome:
		s.log.WithField("request", a.Complete.GetRequest()).Info("outcome_reported")
		s.report(outcomeReport(a.Complete))
	case gate.ThrottleChanged:
		s.logAdvice(now, a)
	case gate.Throttled:
		s.logThrottled(now, a)
	case gate.ServerChanged:
		s.updateCondition(a.Server)
	case gate.Count:
		s.meter.count(s.currentRefusal.applyToCount(a))
	}
}

func (s *server) send(a gate.Send) {
	s.currentRefusal.applyToOver(a.Message.GetOver())
	message := s.hideFreeRoom(a.Message)
	inOrder := !needsDelivery(message) || !s.unsent.hasMessagesFor(a.Entry)
	if inOrder && s.links.Send(a.Entry, message) {
		return
	}
	if !s.bufferUnsent(a.Entry, message) {
		s.meter.dropped()
	}
}

// hideFreeRoom returns a Room message without free room while the agent takes no new work, other messages as they are.
func (s *server) hideFreeRoom(message *wire.AgentMessage) *wire.AgentMessage {
	room := message.GetRoom()
	if room == nil || s.ready.refusalCode() == 0 {
		return message
	}
	// The gate may compare the message with a later one, so the original isn't changed.
	room = proto.CloneOf(room)
	room.Free = 0
	if room.GetCondition() == wire.ServerCondition_SERVER_CONDITION_READY {
		room.Condition = wire.ServerCondition_SERVER_CONDITION_SUSPECT
	}
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Room{Room: room}}
}

// startRun runs an attempt at the engine, or refuses it.
//
// An agent that is cut off from control or stopping takes no new work. All attempts start here, so the check covers
// dispatches that are immediate, that follow an offer, and that come from the waiting list. The gate leaves a
// tombstone for a refused attempt as for any call that was never sent.
func (s *server) startRun(now time.Time, a gate.StartEngine) {
	if a.Resume != nil {
		s.resumeRun(now, a)
		return
	}
	d := a.Dispatch
	key := keyOf(d.GetAttempt())
	reason := refusal{key: key, code: s.ready.refusalCode()}
	if reason.code != 0 || s.client == nil || len(s.runs) >= maxRuns || s.runs[key] != nil {
		s.enqueue(notDispatched(d.GetAttempt()), reason)
		return
	}
	r := newRun(d, s.client, s.record.GetCapabilities())
	if !s.held.admitBody(r) {
		s.enqueue(notDispatched(d.GetAttempt()), refusal{key: key, code: result.OverMemoryShare})
		return
	}
	r.concurrentRuns = len(s.runs) - s.suspendedRuns
	s.executeInBackground(r)
}

// executeInBackground registers a run and calls the engine in a goroutine of its own.
func (s *server) executeInBackground(r *engineRun) {
	callCtx, stop := context.WithCancel(s.base)
	r.disconnect = stop
	s.runs[r.key] = r
	s.credits.add(r)
	s.spawn(func(ctx context.Context) { s.executeRun(ctx, callCtx, r) })
}

func notDispatched(id *wire.AttemptID) gate.EngineEnded {
	return gate.EngineEnded{
		Attempt: id,
		Err: &engine.CallError{
			Call:  "run",
			ID:    engineID(id),
			Class: engine.ErrNeverSent,
			Err:   errNotDispatched,
		},
	}
}

// outcomeReport returns the report of the outcome of an operation whose entry has ended.
//
// Without it the outcome of completed work would be lost with its entry: the operation would stay "unknown"
// permanently, and its caller would never get the service's answer.
func outcomeReport(c *wire.CompleteOperation) outbox.Item {
	return outbox.Item{
		EventPrefix: "outcome",
		LogKey:      "request",
		LogValue:    c.GetRequest(),
		Command:     &wire.Command{Kind: &wire.Command_CompleteOperation{CompleteOperation: c}},
	}
}

// updateCondition stores the record that the gate gives for the directory.
func (s *server) updateCondition(record *wire.ServerRecord) {
	if !s.recovered() {
		s.log.Info("engine_recovered")
	}
	if record.GetCondition() != s.gateRecord.GetCondition() {
		s.log.WithField("condition", conditionName(record.GetCondition())).Info("server_condition")
	}
	s.gateRecord = record
	wasDrained := s.leaving.drained
	s.leaving.drained = record.GetCondition() == wire.ServerCondition_SERVER_CONDITION_DRAINED
	if s.leaving.drained && !wasDrained {
		s.leaving.drainedAt = time.Now()
	}
	s.publish()
}

// applyToOver sets the agent's code and message in the gate's answer to an attempt that the agent refuses.
func (r refusal) applyToOver(over *wire.Over) {
	if r.code == 0 || keyOf(over.GetAttempt()) != r.key || over.GetProof() != wire.Proof_PROOF_NEVER_STARTED {
		return
	}
	over.Code = uint32(r.code)
	over.Message = r.code.Info().Message
}

// applyToCount sets the agent's code in the gate's count of a refusal.
func (r refusal) applyToCount(c gate.Count) gate.Count {
	if r.code != 0 && c.Counter == gate.Refusals {
		c.Code = uint16(r.code)
	}
	return c
}
