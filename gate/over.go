package gate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// proofStrength ranks proofs by how much they state about having run. If attempts of one request ended differently,
// the proof for all of them is the strongest one.
func proofStrength(p wire.Proof) int {
	switch p {
	case wire.Proof_PROOF_COMPLETED:
		return 3
	case wire.Proof_PROOF_FAILED:
		return 2
	case wire.Proof_PROOF_CANCELLED:
		return 1
	default:
		return 0
	}
}

// keepTombstone ensures that no attempt up to this one, or up to the number that its Cancel names, starts any more.
func (g *Gate) keepTombstone(a *attempt, o *eventDetails) {
	r := a.record
	r.raiseFloor(max(a.number, o.inquirer.number))
	if r.current == a {
		r.current = nil
	}
	a.dropBody()
	if a.hasStarted() {
		r.lastRun = a
		r.awaitEvents(a)
	}
	from := g.now
	if a.deadline.After(from) {
		from = a.deadline
	}
	g.records.release(r, from.Add(g.config.TombstoneLifetime))
}

// dropBody releases the prompt. The record outlives the attempt by minutes, and retaining the bodies of all
// attempts would exhaust the agent's memory.
func (a *attempt) dropBody() {
	if a.dispatch == nil {
		return
	}
	a.dispatch = &wire.Dispatch{
		IdempotencyKey:  a.dispatch.GetIdempotencyKey(),
		ReportToControl: a.dispatch.GetReportToControl(),
	}
}

func (g *Gate) replyNeverStarted(a *attempt, o *eventDetails) {
	over := &wire.Over{
		Proof:        wire.Proof_PROOF_NEVER_STARTED,
		Code:         uint32(o.refusal.code),
		Message:      o.refusal.message,
		RetryAfterMs: uint32(o.refusal.retryAfter / time.Millisecond),
		Unsent:       o.unsent,
	}
	if !a.cancelOnly {
		g.emit(Count{Counter: Refusals, Code: uint16(o.refusal.code), Tier: a.tier(), Add: 1})
	}
	g.sendOver(a, o, over)
}

func (g *Gate) replyCancelled(a *attempt, o *eventDetails) {
	over := &wire.Over{
		Proof:   wire.Proof_PROOF_CANCELLED,
		Code:    uint32(cancelCode(a.cancel.cause)),
		Message: "the engine confirmed its end: " + a.cancel.cause,
		Began:   o.engineKnew || a.frames.count > 0,
	}
	g.sendOver(a, o, over)
}

func cancelCode(cause string) result.Code {
	switch cause {
	case CauseLeaseExpired:
		return result.LeaseExpired
	case CausePreempted:
		return result.ShedForHigherTier
	case CauseEngineLost:
		return result.EngineLost
	default:
		return result.Cancelled
	}
}

// replyOutcome reports how the engine itself ended the attempt. If the engine states that it did not begin the
// work, the proof is not "never started": that is a promise of the gate, and the engine had the body.
func (g *Gate) replyOutcome(a *attempt, o *eventDetails) {
	outcome := o.end.Outcome
	over := &wire.Over{Proof: wire.Proof_PROOF_COMPLETED}
	switch {
	case outcome.End == engine.EndCompleted:
		over.Answer = a.answerEnd(o.end)
	case outcome.NotStarted:
		over.Proof = wire.Proof_PROOF_CANCELLED
		over.Code = uint32(result.EngineFailed)
		over.Message = "the engine says that it did not begin the work"
	default:
		over.Proof = wire.Proof_PROOF_FAILED
		over.Code = uint32(result.EngineFailed)
		over.Message = "the engine ended it with an error"
	}
	g.sendOver(a, o, over)
	g.reportIfOrphaned(a, over)
}

// sendOver completes an Over, records it and sends it to all that wait for it.
func (g *Gate) sendOver(a *attempt, o *eventDetails, over *wire.Over) {
	over.Attempt = a.id()
	over.Server = a.server
	over.WastedPrefillTokens = a.run.wastedPrefill
	over.Crash = a.crash
	over.BrokenOff = string(a.brokenOff)
	a.describeBody(over)
	if over.Proof == wire.Proof_PROOF_CANCELLED && a.cancel.preemptorTier > 0 {
		over.PreemptedByTier = a.cancel.preemptorTier
		over.Resumable = g.resumable(a)
	}
	g.recordEnd(a, over)
	if !a.cancelOnly {
		g.send(a.owner.id, overMessage(over))
	}
	a.addInquirer(o.inquirer)
	for _, inq := range a.cancel.inquirers {
		g.answerCancel(a.record, inq)
	}
}

// describeBody adds how the body of the server's answer ended, if the call has returned.
func (a *attempt) describeBody(over *wire.Over) {
	if a.body.Cause == "" {
		return
	}
	over.Framing, over.EndCause = a.body.Framing.String(), string(a.body.Cause)
}

// recordEnd stores the end of an attempt in the record of its request.
func (g *Gate) recordEnd(a *attempt, over *wire.Over) {
	if a.cancelOnly {
		return
	}
	r := a.record
	g.retainOver(a, over)
	if !a.hasStarted() {
		r.lastRefused = over
		r.refusedOwner = a.owner.id
		return
	}
	r.lastRunOver = over
	if over.Proof == wire.Proof_PROOF_NEVER_STARTED {
		return
	}
	r.highestRun = max(r.highestRun, a.number)
	if proofStrength(over.Proof) > proofStrength(r.proof) {
		r.proof = over.Proof
	}
}

// addInquirer adds an entry that waits for the proof. The owner is not added, since it gets the Over of its attempt
// anyway.
func (a *attempt) addInquirer(inq inquirer) {
	if inq.entry == (EntryID{}) || !a.cancelOnly && inq.entry == a.owner.id && inq.number == a.number {
		return
	}
	for _, known := range a.cancel.inquirers {
		if known == inq {
			return
		}
	}
	a.cancel.inquirers = append(a.cancel.inquirers, inq)
}

// replyUnproven tells the owner once, and an inquirer each time, that the attempt may still be running.
func (g *Gate) replyUnproven(a *attempt, o *eventDetails) {
	a.addInquirer(o.inquirer)
	final := a.unprovable()
	if o.inquirer.entry != (EntryID{}) {
		g.sendUnproven(o.inquirer, a.record.request, final)
		return
	}
	if a.cancel.unprovenSent && (!final || a.cancel.unprovableSent) {
		return
	}
	a.cancel.unprovenSent = true
	a.cancel.unprovableSent = final
	own := unprovenOver(final)
	own.BrokenOff = string(a.brokenOff)
	a.describeBody(own)
	g.reply(inquirer{entry: a.owner.id, number: a.number, server: a.server}, a.record.request, own)
	for _, inq := range a.cancel.inquirers {
		g.sendUnproven(inq, a.record.request, final)
	}
}

// unprovable reports whether no proof can come any more: the run's connection is lost, and the server has no call
// to query or cancel the run.
//
// Without it, a caller of a plain service whose answer was lost would wait until its deadline, or beyond, for a
// proof that cannot be obtained.
func (a *attempt) unprovable() bool {
	return a.cancel.unsupported && !a.run.callOpen
}

func (g *Gate) sendUnproven(inq inquirer, request string, final bool) {
	g.reply(inq, request, unprovenOver(final))
}

// unprovenOver returns the reply that an attempt isn't proved over. final means that it can't be any more.
func unprovenOver(final bool) *wire.Over {
	over := &wire.Over{
		Proof:      wire.Proof_PROOF_UNPROVEN,
		Code:       uint32(result.OutcomeUnknown),
		Message:    "nothing proves yet that it is over",
		Unprovable: final,
	}
	if final {
		over.Message = "the answer was lost, and the server can't be asked what became of it"
	}
	return over
}

// reply sends an Over for the number that the inquirer asked about.
func (g *Gate) reply(inq inquirer, request string, over *wire.Over) {
	over.Attempt = &wire.AttemptID{Request: request, Number: inq.number}
	over.Server = inq.server
	g.send(inq.entry, overMessage(over))
}

func overMessage(over *wire.Over) *wire.AgentMessage {
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: over}}
}

// answerArrival answers a Reserve or Dispatch that matches a tombstone. The answer covers that attempt only.
func (g *Gate) answerArrival(r *record, inq inquirer) {
	if over := r.overFor(inq.number); over != nil {
		g.reply(inq, r.request, proto.CloneOf(over))
		return
	}
	if r.hasRun() && inq.number <= r.highestRun {
		g.reply(inq, r.request, r.combinedOver(inq.number))
		return
	}
	g.emit(Count{Counter: Refusals, Code: uint16(refuseTombstone.code), Add: 1})
	g.reply(inq, r.request, neverStartedOver(refuseTombstone))
}

// answerCancel answers a Cancel of attempts that are over. The answer covers all attempts up to the number. The
// owner of the last attempt gets the Over of that attempt only, since it already has the proofs of the others.
func (g *Gate) answerCancel(r *record, inq inquirer) {
	if !g.cleared() {
		g.clearing.deferCancel(r.request, inq)
		g.sendUnproven(inq, r.request, false)
		return
	}
	if over := r.overForOwner(inq); over != nil {
		g.reply(inq, r.request, proto.CloneOf(over))
		return
	}
	if r.hasRun() {
		g.reply(inq, r.request, r.combinedOver(inq.number))
		return
	}
	if g.mayRunUntracked(inq.cause) {
		g.sendUnproven(inq, r.request, true)
		return
	}
	if r.mayHaveRunEarlier || g.mayPredate(inq.cause) || g.history.mayContain(r.request, g.now) {
		r.mayHaveRunEarlier = true
		g.reply(inq, r.request, earlierOver())
		return
	}
	g.reply(inq, r.request, neverStartedOver(refuseCancelled))
}

// overFor returns the Over of the attempt that ran last or of the one that was refused last, if it has that number,
// and nil otherwise.
func (r *record) overFor(number uint64) *wire.Over {
	if r.lastRun != nil && r.lastRun.number == number {
		return r.lastRunOver
	}
	if r.lastRefused != nil && r.lastRefused.GetAttempt().GetNumber() == number {
		return r.lastRefused
	}
	return nil
}

// overForOwner returns the Over that the inquirer received as the owner of the attempt, or nil.
func (r *record) overForOwner(inq inquirer) *wire.Over {
	over := r.overFor(inq.number)
	switch {
	case over == nil:
		return nil
	case over == r.lastRefused && r.refusedOwner == inq.entry:
		return over
	case over == r.lastRunOver && r.lastRun.owner.id == inq.entry:
		return over
	}
	return nil
}

// combinedOver returns the proof for the attempts up to number of a request of which at least one ran here. For a
// number below the last one that ran, it isn't known which attempts ran.
func (r *record) combinedOver(number uint64) *wire.Over {
	if number < r.highestRun {
		return earlierOver()
	}
	if over := r.overFor(r.highestRun); over != nil && over.GetProof() == r.proof {
		return proto.CloneOf(over)
	}
	return &wire.Over{Proof: r.proof, Code: uint32(result.Cancelled), Message: "an attempt of the request ran here"}
}

// earlierOver is the proof for attempts that may have run here before the earliest time that the gate's records
// cover. They are over: this incarnation cancelled all that its engine ran before, and drops only attempts that are
// over.
func earlierOver() *wire.Over {
	return &wire.Over{
		Proof:   wire.Proof_PROOF_CANCELLED,
		Code:    uint32(result.Cancelled),
		Message: "over; it may have run here earlier",
	}
}

func neverStartedOver(reason refusal) *wire.Over {
	return &wire.Over{
		Proof:        wire.Proof_PROOF_NEVER_STARTED,
		Code:         uint32(reason.code),
		Message:      reason.message,
		RetryAfterMs: uint32(reason.retryAfter / time.Millisecond),
	}
}
