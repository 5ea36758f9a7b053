package gate

import (
	"bytes"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// epochShift is the number of low bits of an attempt number that count attempts within an owner's epoch, as in
// package sched.
const epochShift = 16

// keptOver is an ended attempt whose Over and answer are kept for those who lost them.
type keptOver struct {
	attempt *attempt
	over    *wire.Over
	until   time.Time
}

func (g *Gate) keepOver(a *attempt, over *wire.Over) {
	if a.unheard {
		return
	}
	g.kept = append(g.kept, keptOver{a, over, g.now.Add(g.config.OverRetention)})
}

// dropKept forgets answers that were kept long enough. The tombstones stay.
func (g *Gate) dropKept() {
	for len(g.kept) > 0 && g.kept[0].until.Before(g.now) {
		g.dropOldestKept()
	}
}

func (g *Gate) dropOldestKept() {
	k := g.kept[0]
	g.kept[0] = keptOver{}
	g.kept = g.kept[1:]
	k.attempt.frames.drop()
	r := k.attempt.record
	if r.answer == k.over {
		r.answer = stripped(k.over)
	}
	if r.refused == k.over {
		r.refused = stripped(k.over)
	}
}

// stripped is an Over without the texts and figures that nobody asks for again.
func stripped(over *wire.Over) *wire.Over {
	return &wire.Over{
		Attempt: over.GetAttempt(),
		Server:  over.GetServer(),
		Proof:   over.GetProof(),
		Code:    over.GetCode(),
		Answer:  over.GetAnswer(),
	}
}

// resend repeats what may have been lost with the entry's link: offers, events and ends. The entry takes events by
// their offset, each once.
func (g *Gate) resend(e *entryState) {
	for _, a := range g.held {
		if a.owner != e {
			continue
		}
		if a.state == offered {
			g.sendOffer(a)
		}
		g.resendFrames(a)
	}
	for _, k := range g.kept {
		if k.attempt.owner != e {
			continue
		}
		if k.over.GetProof() == wire.Proof_PROOF_COMPLETED {
			g.resendFrames(k.attempt)
		}
		g.send(e.id, overMessage(k.over))
	}
}

// keepForControl reports an outcome whose entry is gone. Without it the record of the operation would stay without
// an outcome, and the caller of work that may not be repeated would never learn that it was done.
func (g *Gate) keepForControl(a *attempt, over *wire.Over) {
	if a.dispatch.GetReportToControl() && !a.owner.valid() {
		g.report(a, over)
	}
}

// reportKept reports the outcomes that ended shortly before their entry did, and may not have reached it.
func (g *Gate) reportKept(e *entryState) {
	for _, k := range g.kept {
		if k.attempt.owner == e && k.attempt.dispatch.GetReportToControl() && k.attempt.begun() {
			g.report(k.attempt, k.over)
		}
	}
}

// report proposes an outcome. An attempt of which only the end is proved has none.
func (g *Gate) report(a *attempt, over *wire.Over) {
	answer := &wire.Answer{Code: over.GetCode(), Message: over.GetMessage()}
	switch over.GetProof() {
	case wire.Proof_PROOF_COMPLETED:
		answer = a.keptAnswer(over.GetAnswer())
	case wire.Proof_PROOF_FAILED:
	default:
		return
	}
	g.emit(ReportOutcome{Complete: &wire.CompleteOperation{
		Organisation: a.work.GetOrganisation(),
		Key:          a.dispatch.GetIdempotencyKey(),
		Request:      a.record.request,
		Epoch:        a.number >> epochShift,
		Answer:       answer,
	}})
}

// keptAnswer is the answer as the operation record keeps it.
func (a *attempt) keptAnswer(end *wire.AnswerEnd) *wire.Answer {
	answer := &wire.Answer{Status: end.GetStatus(), ContentType: end.GetContentType()}
	if a.frames.dropped {
		answer.Dropped = true
		return answer
	}
	answer.Body = a.frames.body(a.work.GetService())
	return answer
}

// body joins the kept events: a service's chunks as they are, a model's as server-sent events.
func (f *frameState) body(service bool) []byte {
	if service {
		return bytes.Join(f.kept, nil)
	}
	var body bytes.Buffer
	for _, event := range f.kept {
		body.WriteString("data: ")
		body.Write(event)
		body.WriteString("\n\n")
	}
	body.WriteString("data: [DONE]\n\n")
	return body.Bytes()
}
