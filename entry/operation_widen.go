package entry

import (
	"context"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// widen has a record allow more servers. It returns the answer at once when it can't be asked.
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
		_ = e.tell(ctx, e.widened(ctx, a, command))
	})
	if !started {
		return sched.CandidatesWidened{Request: a.Request, Code: result.ProposalQueueFull}
	}
	return nil
}

func (e *Entry) widened(ctx context.Context, a sched.WidenCandidates, command *wire.Command) sched.CandidatesWidened {
	ctx, cancel := context.WithTimeout(ctx, commitTry)
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
