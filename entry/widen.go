package entry

import (
	"context"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// widen has a record allow more servers. It returns the answer at once when it can't be asked.
func (e *Entry) widen(a sched.Widen) sched.Event {
	call := e.calls.get(a.Request)
	if call == nil {
		return sched.Widened{Request: a.Request, Code: result.NotFound}
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
		return sched.Widened{Request: a.Request, Code: result.ProposalQueueFull}
	}
	return nil
}

func (e *Entry) widened(ctx context.Context, a sched.Widen, command *wire.Command) sched.Widened {
	ctx, cancel := context.WithTimeout(ctx, commitTry)
	defer cancel()
	res, err := e.propose(ctx, "widen", command)
	switch {
	case err != nil:
		return sched.Widened{Request: a.Request, Code: result.CodeOf(err)}
	case res.GetCode() != 0:
		return sched.Widened{Request: a.Request, Code: result.Code(res.GetCode())}
	default:
		return sched.Widened{Request: a.Request, Candidates: res.GetOperation().GetCandidates()}
	}
}
