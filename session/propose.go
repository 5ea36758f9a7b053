package session

import (
	"context"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// retryDelay is the wait after no control instance accepted a proposal, such as during an election.
const retryDelay = 50 * time.Millisecond

// Propose has a command committed and returns its result, which may be a refusal by the state machine (Code is not 0). It
// tries the leader first, then the other instances, until ctx ends. Errors have one of these codes:
//
//   - result.ProposalUnknown: the command may have been committed, or may be committed later;
//   - result.ControlUnavailable: the command was not and will not be committed;
//   - any other: the leader refused the command without proposing it.
//
// A command whose outcome is unknown is sent again only if it is idempotent.
func (s *Session) Propose(ctx context.Context, cmd *wire.Command) (*wire.CommandResult, error) {
	s.recordOwnRemoval(cmd)
	outcomeLost := false
	for ctx.Err() == nil {
		reply := s.proposeToEach(ctx, cmd, &outcomeLost)
		switch {
		case reply != nil && reply.GetCode() == 0:
			return reply.GetResult(), nil
		case reply != nil && !outcomeLost:
			s.counters.notProposed.Inc()
			return nil, result.New(result.Code(reply.GetCode()), "%s", reply.GetMessage())
		case outcomeLost && !isIdempotent(cmd):
			s.counters.outcomesUnknown.Inc()
			return nil, result.New(result.ProposalUnknown, "")
		}
		pause.For(ctx, retryDelay)
	}
	if outcomeLost {
		s.counters.outcomesUnknown.Inc()
		return nil, result.Wrap(context.Cause(ctx), result.ProposalUnknown, "")
	}
	s.counters.notProposed.Inc()
	return nil, result.Wrap(context.Cause(ctx), result.ControlUnavailable, "")
}

// proposeToEach tries each control instance once, the leader first, until one gives a definite reply; nil means that none
// did. It sets outcomeLost when an outcome is unknown; a command that is not idempotent then goes to no other instance.
func (s *Session) proposeToEach(ctx context.Context, cmd *wire.Command, outcomeLost *bool) *wire.ProposeReply {
	peers := s.knownPeers()
	tried := make([]bool, len(peers))
	for p := s.nextUntried(peers, tried); p != nil && ctx.Err() == nil; p = s.nextUntried(peers, tried) {
		tried[p.index] = true
		reply, sent := p.proposeTo(ctx, cmd)
		switch {
		case !sent:
		case reply == nil || result.Code(reply.GetCode()) == result.ProposalUnknown:
			*outcomeLost = true
			if !isIdempotent(cmd) {
				return nil
			}
		case result.Code(reply.GetCode()) == result.NotLeader:
			s.setLeader(reply.GetLeader())
		default:
			return reply
		}
	}
	return nil
}

// nextUntried returns the known leader if it is untried and connected, else any untried connected peer, else nil.
func (s *Session) nextUntried(peers []*peer, tried []bool) *peer {
	leader := s.Leader()
	untried := slices.DeleteFunc(slices.Clone(peers), func(p *peer) bool { return tried[p.index] || !p.isConnected() })
	if len(untried) == 0 {
		return nil
	}
	for _, p := range untried {
		if leader != "" && p.name() == leader {
			return p
		}
	}
	return untried[0]
}

func (p *peer) isConnected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ring != nil
}

func (p *peer) name() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance
}

// proposeTo proposes at one control instance. The reply is nil if the outcome is unknown, and sent is false if the proposal
// was not sent.
func (p *peer) proposeTo(ctx context.Context, cmd *wire.Command) (reply *wire.ProposeReply, sent bool) {
	id := p.session.ids.Add(1)
	replies, ok := p.registerReply(id)
	if !ok {
		return nil, false
	}
	defer p.unregisterReply(id)
	if !p.send(&wire.ClientMessage{Kind: &wire.ClientMessage_Propose{Propose: &wire.Propose{Id: id, Command: cmd}}}) {
		return nil, false
	}
	timer := time.NewTimer(p.session.cfg.ProposeTimeout)
	defer timer.Stop()
	select {
	case reply := <-replies:
		return reply, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil, true
}

// registerReply registers a wait for a reply. The channel is closed if the link ends first. It reports false without a link.
func (p *peer) registerReply(id uint64) (<-chan *wire.ProposeReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pendingReplies == nil {
		return nil, false
	}
	replies := make(chan *wire.ProposeReply, 1)
	p.pendingReplies[id] = replies
	return replies, true
}

func (p *peer) unregisterReply(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pendingReplies, id)
}

// handleReply delivers a reply to the proposal that waits for it. A second reply to the same proposal is dropped.
func (p *peer) handleReply(r *wire.ProposeReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiting, ok := p.pendingReplies[r.GetId()]; ok {
		delete(p.pendingReplies, r.GetId())
		waiting <- r
	}
}

// isIdempotent reports whether a second commit of the command has no further effect, so that the command may be sent again
// after its outcome was lost. Each of these kinds is idempotent by incarnation, by request and epoch, by sequence, by
// version, or by change or crash id. An order is not: a second commit would create another order.
func isIdempotent(cmd *wire.Command) bool {
	switch kind := cmd.GetKind().(type) {
	case *wire.Command_RegisterAgent, *wire.Command_RemoveAgent, *wire.Command_RegisterEntry, *wire.Command_EndEntry:
		return true
	case *wire.Command_BeginOperation, *wire.Command_WidenOperation, *wire.Command_CompleteOperation:
		return true
	case *wire.Command_ReleaseOperation, *wire.Command_ExpireOperations, *wire.Command_EndOrder:
		return true
	case *wire.Command_MoveShares, *wire.Command_NoteCrash, *wire.Command_ClearPoison, *wire.Command_NoteServerAdvice:
		return true
	case *wire.Command_PutClass:
		return kind.PutClass.GetChange().GetChangeId() != ""
	case *wire.Command_DeleteClass:
		return kind.DeleteClass.GetChange().GetChangeId() != ""
	default:
		return false
	}
}
