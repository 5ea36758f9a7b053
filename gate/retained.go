package gate

import (
	"bytes"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// epochShift is the number of low bits of an attempt number that count the attempts within an owner's epoch.
// Package sched uses the same layout.
const epochShift = 16

// retainedOver is an ended attempt whose Over and answer are kept in case they were not received.
type retainedOver struct {
	attempt *attempt
	over    *wire.Over
	until   time.Time
}

func (g *Gate) retainOver(a *attempt, over *wire.Over) {
	if a.cancelOnly {
		return
	}
	g.retained = append(g.retained, retainedOver{a, over, g.now.Add(g.config.OverRetention)})
}

// expireRetained drops answers whose retention time has passed. Their tombstones stay.
func (g *Gate) expireRetained() {
	for len(g.retained) > 0 && g.retained[0].until.Before(g.now) {
		g.dropOldestRetained()
	}
}

func (g *Gate) dropOldestRetained() {
	k := g.retained[0]
	g.retained[0] = retainedOver{}
	g.retained = g.retained[1:]
	g.answersDropped = max(0, g.answersDropped-1)
	k.attempt.frames.drop()
	r := k.attempt.record
	if r.lastRunOver == k.over {
		r.lastRunOver = minimalOver(k.over)
	}
	if r.lastRefused == k.over {
		r.lastRefused = minimalOver(k.over)
	}
}

// minimalOver returns an Over reduced to the fields needed to answer repeated queries.
func minimalOver(over *wire.Over) *wire.Over {
	return &wire.Over{
		Attempt: over.GetAttempt(),
		Server:  over.GetServer(),
		Proof:   over.GetProof(),
		Code:    over.GetCode(),
		Answer:  over.GetAnswer(),
	}
}

// resend repeats what may have been lost with the entry's link: offers, events and ends. The entry deduplicates
// events by their offset.
func (g *Gate) resend(e *entryState) {
	for _, a := range slices.Concat(g.held, g.suspended) {
		if a.owner != e {
			continue
		}
		if a.state == offered {
			g.sendOffer(a)
		}
		g.resendFrames(a)
	}
	for _, k := range g.retained {
		if k.attempt.owner != e {
			continue
		}
		if k.over.GetProof() == wire.Proof_PROOF_COMPLETED {
			g.resendFrames(k.attempt)
		}
		g.send(e.id, overMessage(k.over))
	}
}

// reportIfOrphaned reports an outcome whose entry is gone. Otherwise the record of the operation would stay without
// an outcome, and the caller of work that may not be repeated would never learn that it was done.
func (g *Gate) reportIfOrphaned(a *attempt, over *wire.Over) {
	if a.dispatch.GetReportToControl() && !a.owner.leaseValid() {
		g.reportOutcome(a, over)
	}
}

// reportRetained reports the outcomes of attempts that ended shortly before their entry did, since the entry may
// not have received them.
func (g *Gate) reportRetained(e *entryState) {
	for _, k := range g.retained {
		if k.attempt.owner == e && k.attempt.dispatch.GetReportToControl() && k.attempt.hasStarted() {
			g.reportOutcome(k.attempt, k.over)
		}
	}
}

// reportOutcome proposes the outcome of an attempt to control. An attempt of which only the end is proved has none.
func (g *Gate) reportOutcome(a *attempt, over *wire.Over) {
	answer := &wire.Answer{Code: over.GetCode(), Message: over.GetMessage()}
	switch over.GetProof() {
	case wire.Proof_PROOF_COMPLETED:
		answer = a.retainedAnswer(over.GetAnswer())
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

// retainedAnswer returns the answer in the form that the operation record stores.
func (a *attempt) retainedAnswer(end *wire.AnswerEnd) *wire.Answer {
	answer := &wire.Answer{Status: end.GetStatus(), ContentType: end.GetContentType()}
	if a.frames.dropped {
		answer.Dropped = true
		return answer
	}
	answer.Body = a.frames.body(a.work.GetService())
	return answer
}

// body joins the kept events: a service's chunks unchanged, a model's events as server-sent events.
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
