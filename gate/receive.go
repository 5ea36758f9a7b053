package gate

import (
	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/wire"
)

func (g *Gate) handleMessage(from EntryID, message *wire.EntryMessage) {
	owner := g.entries.get(from, g.now)
	owner.active = owner.active || message.GetHeartbeat() == nil
	switch m := message.GetKind().(type) {
	case *wire.EntryMessage_Hello:
		// The link has processed it.
	case *wire.EntryMessage_Heartbeat:
		g.heartbeat(owner)
	case *wire.EntryMessage_Reserve:
		g.reserve(owner, m.Reserve)
	case *wire.EntryMessage_Dispatch:
		g.dispatch(owner, m.Dispatch)
	case *wire.EntryMessage_Withdraw:
		g.releaseReservation(owner, m.Withdraw.GetAttempt(), onWithdraw)
	case *wire.EntryMessage_Decline:
		g.releaseReservation(owner, m.Decline.GetAttempt(), onDecline)
	case *wire.EntryMessage_Cancel:
		g.cancelUpTo(owner, m.Cancel)
	default:
		g.chartError("message of an unknown kind")
	}
}

// arrival is a Reserve or Dispatch that is not yet matched with an attempt.
type arrival struct {
	owner  *entryState
	id     *wire.AttemptID
	server string
	work   *wire.Work
}

func (g *Gate) reserve(owner *entryState, m *wire.Reserve) {
	in := arrival{owner, m.GetAttempt(), m.GetServer(), m.GetWork()}
	g.keepSuspendTargets(in.work)
	r := g.records.get(in.id.GetRequest())
	if a := g.currentOf(r, in); a != nil {
		g.fire(a, onReserve, eventDetails{work: m.GetWork()})
		return
	}
	a := g.admissibleAttempt(in, r)
	if a == nil {
		return
	}
	if reason, refused := g.deadlineRefusal(a); refused {
		g.fire(a, onRefuse, eventDetails{refusal: reason})
		return
	}
	if !g.ensureCapacity(a) {
		return
	}
	g.makeCurrent(a)
	g.fire(a, onReserve, eventDetails{})
}

// dispatch processes a body that comes in answer to an offer, after its offer lapsed, or without an offer.
func (g *Gate) dispatch(owner *entryState, m *wire.Dispatch) {
	in := arrival{owner, m.GetAttempt(), m.GetServer(), m.GetWork()}
	g.keepSuspendTargets(in.work)
	r := g.records.get(in.id.GetRequest())
	a := g.currentOf(r, in)
	if a == nil {
		if a = g.admissibleAttempt(in, r); a == nil {
			return
		}
		g.makeCurrent(a)
	}
	before := a.state
	if !g.fire(a, onDispatch, eventDetails{}) || a.state != admitted || before == admitted {
		return
	}
	a.dispatch = m
	a.fingerprint = poison.Fingerprint(m.GetFingerprint())
	a.parts = m.GetParts()
	if before != absent {
		g.waiting.servedShare.observe(true)
	}
	g.admit(a, before, m.GetOffered())
}

// admit starts a dispatched attempt, refuses it, or lets it wait with its body.
func (g *Gate) admit(a *attempt, before attemptState, withOffer bool) {
	if before == offered {
		g.offerLatency.observe(g.now.Sub(a.wait.offeredAt))
		if !a.work.GetService() || g.server.state != serverReady || g.hasFreeSlot() {
			g.fire(a, onStart, eventDetails{})
		}
		return
	}
	if reason, refused := g.deadlineRefusal(a); refused && before == absent {
		g.fire(a, onRefuse, eventDetails{refusal: reason})
		return
	}
	if g.roomForDispatch(a) {
		g.fire(a, onStart, eventDetails{})
		return
	}
	if g.throttleBlock() != notBlocked {
		g.refuseThrottled(a)
		return
	}
	if a.tier() == firstTier && g.hasLowerTierWork(a) {
		return
	}
	if withOffer || before == reserved {
		g.fire(a, onRefuse, eventDetails{refusal: refuseLapsedOffer})
		return
	}
	g.fire(a, onRefuse, eventDetails{refusal: refuseNoOffer})
}

// currentOf returns the attempt in progress that a repeated message refers to, or nil.
func (g *Gate) currentOf(r *record, in arrival) *attempt {
	if r == nil || r.current == nil || r.current.number != in.id.GetNumber() || r.current.owner != in.owner {
		return nil
	}
	if !in.owner.acceptsMessages() {
		return nil
	}
	return r.current
}

// admissibleAttempt creates an attempt from an arrival. If the arrival can't be admitted, it answers with the
// reason and returns nil.
func (g *Gate) admissibleAttempt(in arrival, r *record) *attempt {
	inq := inquirer{entry: in.owner.id, number: in.id.GetNumber(), server: in.server}
	if r != nil && r.current != nil && r.current.number == inq.number {
		// A duplicate from an entry whose messages aren't acted on any more. The attempt itself may be running.
		g.sendUnproven(inq, r.request, false)
		return nil
	}
	if r != nil && r.isOver(inq.number) {
		g.answerArrival(r, inq)
		return nil
	}
	r = g.recordFor(in, r)
	if r == nil {
		return nil
	}
	a := g.newAttempt(r, in.owner, in.id, in.server, in.work)
	if reason, refused := g.arrivalRefusal(a); refused {
		g.fire(a, onRefuse, eventDetails{refusal: reason})
		return nil
	}
	return a
}

// recordFor returns the record of a request and creates it if needed. Without space for a tombstone nothing can be
// promised, so the answer then is that nothing is proved, and recordFor returns nil.
func (g *Gate) recordFor(in arrival, r *record) *record {
	if r != nil {
		return r
	}
	r = g.records.add(in.id.GetRequest(), 2*g.config.MaxRecords)
	if r == nil {
		g.sendUnproven(inquirer{entry: in.owner.id, number: in.id.GetNumber(), server: in.server}, in.id.GetRequest(), false)
	}
	return r
}

// arrivalRefusal reports whether an arrival can't become an attempt regardless of the room, and the refusal for it.
func (g *Gate) arrivalRefusal(a *attempt) (refusal, bool) {
	switch {
	case !a.owner.acceptsMessages():
		return refuseEnded, true
	case !a.owner.leaseValid():
		return refuseExpired, true
	case g.server.state == serverAnnounced:
		return refuseStarting, true
	case g.server.state != serverReady && g.server.state != serverSuspect:
		return refuseLeaving, true
	case !g.serves(a.work):
		return refuseUnknownTarget, true
	case g.exceedsServer(a.work):
		return refuseTooLarge, true
	case g.records.len() > g.config.MaxRecords:
		return refuseRecordsFull, true
	case a.record.current != nil:
		return g.concurrentRefusal(a)
	}
	return refusal{}, false
}

// concurrentRefusal decides between two attempts of one request. One that runs, or may run, excludes all others; of
// two that only wait the later one stays.
func (g *Gate) concurrentRefusal(a *attempt) (refusal, bool) {
	other := a.record.current
	if other.hasStarted() || other.number >= a.number {
		return refuseConcurrent, true
	}
	g.fire(other, onRefuse, eventDetails{refusal: refuseSuperseded})
	return refusal{}, false
}

// makeCurrent makes an attempt the current one of its request.
func (g *Gate) makeCurrent(a *attempt) {
	a.record.current = a
	g.records.retain(a.record)
}

// releaseReservation handles Withdraw and Decline. They promise nothing, so no tombstone is kept; for an attempt
// that is unknown or over, they have no effect.
func (g *Gate) releaseReservation(owner *entryState, id *wire.AttemptID, e attemptEvent) {
	r := g.records.get(id.GetRequest())
	if r == nil || r.current == nil || r.current.number != id.GetNumber() || r.current.owner != owner {
		return
	}
	if !g.fire(r.current, e, eventDetails{}) {
		return
	}
	g.waiting.servedShare.observe(false)
	r.current = nil
	g.records.release(r, g.now.Add(g.config.TombstoneLifetime))
}

// cancelUpTo ends all attempts of a request up to a number. It leaves a tombstone for an unknown attempt too.
func (g *Gate) cancelUpTo(owner *entryState, m *wire.Cancel) {
	inq := inquirer{owner.id, m.GetAttempt().GetNumber(), m.GetServer(), m.GetCause()}
	request := m.GetAttempt().GetRequest()
	if !owner.acceptsMessages() {
		g.sendUnproven(inq, request, false)
		return
	}
	r := g.records.get(request)
	if r == nil {
		r = g.records.add(request, 2*g.config.MaxRecords)
	}
	if r == nil {
		g.sendUnproven(inq, request, false)
		return
	}
	o := eventDetails{refusal: refuseCancelled, cause: cancelCauses[inq.cause], inquirer: inq}
	if a := r.current; a != nil && a.number <= inq.number {
		r.raiseFloor(inq.number)
		g.fire(a, onCancel, o)
		return
	}
	if r.isOver(inq.number) {
		g.answerCancel(r, inq)
		return
	}
	a := g.newAttempt(r, owner, m.GetAttempt(), inq.server, nil)
	a.cancelOnly = true
	g.fire(a, onCancel, o)
}

// mayRunUntracked reports whether an attempt that a takeover asks about may be running after an earlier incarnation
// started it. At a server that keeps no list of what it runs, nothing that this incarnation did has ended it.
//
// Without the check, if an entry and the agent of a plain service die during a call, the next owner would be told
// that all attempts are over, and the call would run a second time beside the first.
func (g *Gate) mayRunUntracked(cause wire.CancelCause) bool {
	return g.clearing.unlisted && cause == wire.CancelCause_CANCEL_CAUSE_TAKEOVER && g.mayPredate(cause)
}

// mayPredate reports whether a Cancel for an unknown attempt may refer to one that an earlier incarnation of this
// agent ran.
func (g *Gate) mayPredate(cause wire.CancelCause) bool {
	if g.config.NoPredecessor {
		return false
	}
	horizon := g.config.RequestLifetime
	if cause == wire.CancelCause_CANCEL_CAUSE_TAKEOVER {
		horizon = g.config.OperationLifetime
	}
	return g.now.Sub(g.firstStep) < horizon
}
