package gate

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// strength orders proofs by how much they say about having run. Where attempts of one request ended differently, a
// proof for all of them is the strongest.
func strength(p wire.Proof) int {
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

// keepTombstone makes sure that nothing up to the attempt, or up to what its cancel names, starts any more.
func (g *Gate) keepTombstone(a *attempt, o *occasion) {
	r := a.record
	r.raise(max(a.number, o.asker.number))
	if r.current == a {
		r.current = nil
	}
	a.dropBody()
	if a.begun() {
		r.last = a
		r.await(a)
	}
	from := g.now
	if a.deadline.After(from) {
		from = a.deadline
	}
	g.records.release(r, from.Add(g.config.TombstoneLifetime))
}

// dropBody lets go of the prompt. The record outlives the attempt by minutes, and with the bodies of all of them the
// agent would run out of memory.
func (a *attempt) dropBody() {
	if a.dispatch == nil {
		return
	}
	a.dispatch = &wire.Dispatch{
		IdempotencyKey:  a.dispatch.GetIdempotencyKey(),
		ReportToControl: a.dispatch.GetReportToControl(),
	}
}

func (g *Gate) replyNeverStarted(a *attempt, o *occasion) {
	over := &wire.Over{
		Proof:        wire.Proof_PROOF_NEVER_STARTED,
		Code:         uint32(o.refusal.code),
		Message:      o.refusal.message,
		RetryAfterMs: uint32(o.refusal.retryAfter / time.Millisecond),
		Unsent:       o.unsent,
	}
	if !a.unheard {
		g.emit(Count{Counter: Refusals, Code: uint16(o.refusal.code), Tier: a.tier(), Add: 1})
	}
	g.conclude(a, o, over)
}

func (g *Gate) replyCancelled(a *attempt, o *occasion) {
	over := &wire.Over{
		Proof:   wire.Proof_PROOF_CANCELLED,
		Code:    uint32(cancelCode(a.cancel.cause)),
		Message: "the engine confirmed its end: " + a.cancel.cause,
		Began:   o.knows || a.frames.count > 0,
	}
	g.conclude(a, o, over)
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

// replyOutcome says how the engine itself ended the attempt. An engine that says it did not begin the work still
// had the body, so "never started", which is the gate's own promise, isn't said.
func (g *Gate) replyOutcome(a *attempt, o *occasion) {
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
	g.conclude(a, o, over)
	g.keepForControl(a, over)
}

// conclude completes an Over, keeps it and sends it to all who wait for it.
func (g *Gate) conclude(a *attempt, o *occasion, over *wire.Over) {
	over.Attempt = a.id()
	over.Server = a.server
	over.WastedPrefillTokens = a.run.wasted
	over.Crash = a.crash
	if over.Proof == wire.Proof_PROOF_CANCELLED && a.cancel.tier > 0 {
		over.PreemptedByTier = a.cancel.tier
		over.Resumable = g.resumable(a)
	}
	g.remember(a, over)
	if !a.unheard {
		g.send(a.owner.id, overMessage(over))
	}
	a.addAsker(o.asker)
	for _, who := range a.cancel.askers {
		g.answerCancel(a.record, who)
	}
}

// remember notes the end in the record.
func (g *Gate) remember(a *attempt, over *wire.Over) {
	if a.unheard {
		return
	}
	r := a.record
	g.keepOver(a, over)
	if !a.begun() {
		r.refused = over
		r.refusedBy = a.owner.id
		return
	}
	r.answer = over
	if over.Proof == wire.Proof_PROOF_NEVER_STARTED {
		return
	}
	r.ran = max(r.ran, a.number)
	if strength(over.Proof) > strength(r.proof) {
		r.proof = over.Proof
	}
}

// addAsker notes who else waits for the proof. The owner gets the Over of its attempt without that.
func (a *attempt) addAsker(who asker) {
	if who.entry == (EntryID{}) || !a.unheard && who.entry == a.owner.id && who.number == a.number {
		return
	}
	for _, known := range a.cancel.askers {
		if known == who {
			return
		}
	}
	a.cancel.askers = append(a.cancel.askers, who)
}

// replyUnproven tells the owner once, and whoever asks each time, that the attempt may be going on.
func (g *Gate) replyUnproven(a *attempt, o *occasion) {
	a.addAsker(o.asker)
	final := a.unprovable()
	if o.asker.entry != (EntryID{}) {
		g.unproven(o.asker, a.record.request, final)
		return
	}
	if a.cancel.toldUnsure && (!final || a.cancel.toldFinal) {
		return
	}
	a.cancel.toldUnsure = true
	a.cancel.toldFinal = final
	g.unproven(asker{entry: a.owner.id, number: a.number, server: a.server}, a.record.request, final)
	for _, who := range a.cancel.askers {
		g.unproven(who, a.record.request, final)
	}
}

// unprovable tells whether no proof can come any more: the run's connection is lost, and the server has no call to ask
// or to cancel by.
//
// Without this a caller of a plain service that lost its answer would wait until its deadline, or beyond, for a proof
// that nobody can give.
func (a *attempt) unprovable() bool {
	return a.cancel.unsupported && !a.run.open
}

func (g *Gate) unproven(who asker, request string, final bool) {
	over := &wire.Over{
		Proof:      wire.Proof_PROOF_UNPROVEN,
		Code:       uint32(result.OutcomeUnknown),
		Message:    "nothing proves yet that it is over",
		Unprovable: final,
	}
	if final {
		over.Message = "the answer was lost, and the server can't be asked what became of it"
	}
	g.reply(who, request, over)
}

// reply sends an Over for the number that was asked about.
func (g *Gate) reply(who asker, request string, over *wire.Over) {
	over.Attempt = &wire.AttemptID{Request: request, Number: who.number}
	over.Server = who.server
	g.send(who.entry, overMessage(over))
}

func overMessage(over *wire.Over) *wire.AgentMessage {
	return &wire.AgentMessage{Kind: &wire.AgentMessage_Over{Over: over}}
}

// answerArrival answers a Reserve or Dispatch that met a tombstone: what is true of that attempt alone.
func (g *Gate) answerArrival(r *record, who asker) {
	if over := r.kept(who.number); over != nil {
		g.reply(who, r.request, proto.CloneOf(over))
		return
	}
	if r.hasRun() && who.number <= r.ran {
		g.reply(who, r.request, r.ranOver(who.number))
		return
	}
	g.emit(Count{Counter: Refusals, Code: uint16(refuseTombstone.code), Add: 1})
	g.reply(who, r.request, neverStarted(refuseTombstone))
}

// answerCancel answers a Cancel of attempts that are over: what is true of all attempts up to the number. The owner
// of the last one hears of that one alone, as before, since it had the proofs of the others.
func (g *Gate) answerCancel(r *record, who asker) {
	if !g.cleared() {
		g.clearing.ask(r.request, who)
		g.unproven(who, r.request, false)
		return
	}
	if over := r.keptFor(who); over != nil {
		g.reply(who, r.request, proto.CloneOf(over))
		return
	}
	if r.hasRun() {
		g.reply(who, r.request, r.ranOver(who.number))
		return
	}
	if g.mayRunUnseen(who.cause) {
		g.unproven(who, r.request, true)
		return
	}
	if r.unsure || g.mayPredate(who.cause) || g.memory.may(r.request, g.now) {
		r.unsure = true
		g.reply(who, r.request, overEarlier())
		return
	}
	g.reply(who, r.request, neverStarted(refuseCancelled))
}

// kept returns the Over of the attempt that ran last or was refused last, if it has that number.
func (r *record) kept(number uint64) *wire.Over {
	if r.last != nil && r.last.number == number {
		return r.answer
	}
	if r.refused != nil && r.refused.GetAttempt().GetNumber() == number {
		return r.refused
	}
	return nil
}

// keptFor returns the Over that the asker got before, as the owner of the attempt.
func (r *record) keptFor(who asker) *wire.Over {
	over := r.kept(who.number)
	switch {
	case over == nil:
		return nil
	case over == r.refused && r.refusedBy == who.entry:
		return over
	case over == r.answer && r.last.owner.id == who.entry:
		return over
	}
	return nil
}

// ranOver is the proof for attempts up to number of a request of which one ran here. Of those before the one that
// ran last it isn't known any more which ran.
func (r *record) ranOver(number uint64) *wire.Over {
	if number < r.ran {
		return overEarlier()
	}
	if over := r.kept(r.ran); over != nil && over.GetProof() == r.proof {
		return proto.CloneOf(over)
	}
	return &wire.Over{Proof: r.proof, Code: uint32(result.Cancelled), Message: "an attempt of the request ran here"}
}

// overEarlier is the proof for attempts that may have run here before what the gate remembers. They are over: this
// incarnation cancelled all that its engine ran before, and forgets no attempt that isn't over.
func overEarlier() *wire.Over {
	return &wire.Over{
		Proof:   wire.Proof_PROOF_CANCELLED,
		Code:    uint32(result.Cancelled),
		Message: "over; it may have run here earlier",
	}
}

func neverStarted(no refusal) *wire.Over {
	return &wire.Over{
		Proof:        wire.Proof_PROOF_NEVER_STARTED,
		Code:         uint32(no.code),
		Message:      no.message,
		RetryAfterMs: uint32(no.retryAfter / time.Millisecond),
	}
}
