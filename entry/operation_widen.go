package entry

import (
	"context"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// widen proposes to add candidate servers to a record. It returns an event at once if the proposal can't be started,
// and nil otherwise.
func (e *Entry) widen(a sched.WidenCandidates) sched.Event {
	call := e.calls.get(a.Request)
	if call == nil {
		return sched.CandidatesWidened{Request: a.Request, Code: result.NotFound}
	}
	r := call.request
	command := &wire.Command{Kind: &wire.Command_WidenOperation{WidenOperation: &wire.WidenOperation{
		Organisation:     r.Organisation,
		Key:              r.Key,
		Entry:            e.settings.Instance,
		EntryIncarnation: e.incarnation,
		Epoch:            r.Epoch,
		Candidates:       a.Candidates,
	}}}
	started := e.inBackground(func(ctx context.Context) {
		_ = e.postEvent(ctx, e.proposeWiden(ctx, a, command))
	})
	if !started {
		return sched.CandidatesWidened{Request: a.Request, Code: result.ProposalQueueFull}
	}
	return nil
}

func (e *Entry) proposeWiden(ctx context.Context, a sched.WidenCandidates, command *wire.Command) sched.CandidatesWidened {
	ctx, cancel := context.WithTimeout(ctx, proposalTimeout)
	defer cancel()
	res, err := e.propose(ctx, "widen", command)
	switch {
	case err != nil:
		return sched.CandidatesWidened{Request: a.Request, Code: result.CodeOf(err)}
	case res.GetCode() != 0:
		return sched.CandidatesWidened{Request: a.Request, Code: result.Code(res.GetCode())}
	default:
		return sched.CandidatesWidened{Request: a.Request, Candidates: res.GetOperation().GetCandidates()}
	}
}
