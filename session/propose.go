package session

import (
	"context"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// retryPause is the wait after all control instances refused a proposal, such as during an election.
const retryPause = 50 * time.Millisecond

// Propose has a command committed and returns its result, which may be a refusal by the state (its Code isn't 0). It
// tries the leader first, and others until ctx ends. Errors have code
//
//   - result.ProposalUnknown: the command may have been committed, or may yet be;
//   - result.ControlUnavailable: it wasn't and won't be;
//   - others, by which the leader refused it without proposing it.
//
// A command is sent a second time after its outcome got lost only if a second commit changes nothing more.
func (s *Session) Propose(ctx context.Context, cmd *wire.Command) (*wire.CommandResult, error) {
	s.noteEnd(cmd)
	lost := false
	for ctx.Err() == nil {
		reply := s.tryAll(ctx, cmd, &lost)
		switch {
		case reply != nil && reply.GetCode() == 0:
			return reply.GetResult(), nil
		case reply != nil && !lost:
			s.counters.notProposed.Inc()
			return nil, result.New(result.Code(reply.GetCode()), "%s", reply.GetMessage())
		case lost && !isIdempotent(cmd):
			s.counters.unknown.Inc()
			return nil, result.New(result.ProposalUnknown, "")
		}
		pause.For(ctx, retryPause)
	}
	if lost {
		s.counters.unknown.Inc()
		return nil, result.Wrap(context.Cause(ctx), result.ProposalUnknown, "")
	}
	s.counters.notProposed.Inc()
	return nil, result.Wrap(context.Cause(ctx), result.ControlUnavailable, "")
}

// tryAll tries each control instance once, the leader first, until one gives a reply that settles the matter. It sets
// lost when an outcome got lost; a command that isn't idempotent goes nowhere else then.
func (s *Session) tryAll(ctx context.Context, cmd *wire.Command, lost *bool) *wire.ProposeReply {
	peers := s.all()
	tried := make([]bool, len(peers))
	for p := s.next(peers, tried); p != nil && ctx.Err() == nil; p = s.next(peers, tried) {
		tried[p.number] = true
		reply, sent := p.try(ctx, cmd)
		switch {
		case !sent:
		case reply == nil || result.Code(reply.GetCode()) == result.ProposalUnknown:
			*lost = true
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

// next returns the untried peer that leads as far as known, else any untried one with a link, else nil.
func (s *Session) next(peers []*peer, tried []bool) *peer {
	leader := s.Leader()
	untried := slices.DeleteFunc(slices.Clone(peers), func(p *peer) bool { return tried[p.number] || !p.isUp() })
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

func (p *peer) isUp() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ring != nil
}

func (p *peer) name() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.instance
}

// try proposes at one control instance. The reply is nil if its outcome got lost, and sent is false if the proposal
// never left.
func (p *peer) try(ctx context.Context, cmd *wire.Command) (reply *wire.ProposeReply, sent bool) {
	id := p.session.ids.Add(1)
	replies, ok := p.expect(id)
	if !ok {
		return nil, false
	}
	defer p.forget(id)
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

// expect registers the wait for a reply. Its channel is closed if the link ends before.
func (p *peer) expect(id uint64) (<-chan *wire.ProposeReply, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.waiting == nil {
		return nil, false
	}
	replies := make(chan *wire.ProposeReply, 1)
	p.waiting[id] = replies
	return replies, true
}

func (p *peer) forget(id uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, id)
}

// reply passes a reply to who waits for it; a second one for the same proposal is dropped.
func (p *peer) reply(r *wire.ProposeReply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if waiting, ok := p.waiting[r.GetId()]; ok {
		delete(p.waiting, r.GetId())
		waiting <- r
	}
}

// isIdempotent tells whether a second commit of the command changes nothing more than the first, so that it may be
// sent again after its outcome got lost. Each kind is so by construction: by incarnation, by request and epoch, by
// sequence, by version, or by change or crash id. An order isn't: a second one would be another order.
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
