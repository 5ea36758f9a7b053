package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// timerHeap is a binary heap of requests by timerAt, then by arrival. Each request is in it at most once.
type timerHeap struct{ items []*request }

func (h *timerHeap) less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if !a.timerAt.Equal(b.timerAt) {
		return a.timerAt.Before(b.timerAt)
	}
	return a.sequence < b.sequence
}

func (h *timerHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].timerIndex = i
	h.items[j].timerIndex = j
}

func (h *timerHeap) set(r *request, at time.Time) {
	if r.timerIndex >= 0 && r.timerAt.Equal(at) {
		return
	}
	r.timerAt = at
	if r.timerIndex < 0 {
		r.timerIndex = len(h.items)
		h.items = append(h.items, r)
	}
	h.fix(r.timerIndex)
}

func (h *timerHeap) remove(r *request) {
	i := r.timerIndex
	if i < 0 {
		return
	}
	n := len(h.items) - 1
	h.swap(i, n)
	h.items[n] = nil
	h.items = h.items[:n]
	r.timerIndex = -1
	if i < n {
		h.fix(i)
	}
}

func (h *timerHeap) fix(i int) {
	for i > 0 && h.less(i, (i-1)/2) {
		h.swap(i, (i-1)/2)
		i = (i - 1) / 2
	}
	for {
		child := 2*i + 1
		if child >= len(h.items) {
			return
		}
		if child+1 < len(h.items) && h.less(child+1, child) {
			child++
		}
		if !h.less(child, i) {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// due returns a request whose timer has expired, or nil.
func (h *timerHeap) due(now time.Time) *request {
	if len(h.items) == 0 || now.Before(h.items[0].timerAt) {
		return nil
	}
	return h.items[0]
}

// NextTick returns the delay after which the next Tick is due, if no other event comes before.
//
// A Tick every MinTickInterval would wake an idle entry 100 times per second for a Step without effect: over 1% of
// a core, and a seventh of the CPU time of an entry with 16 requests per second on a machine with 0.144 of a core.
func (s *Scheduler) NextTick() time.Duration {
	if len(s.dirty) > 0 {
		return MinTickInterval
	}
	next := s.poison.nextClear()
	if len(s.timers.items) > 0 && (next.IsZero() || s.timers.items[0].timerAt.Before(next)) {
		next = s.timers.items[0].timerAt
	}
	if next.IsZero() {
		return MaxTickInterval
	}
	return min(max(next.Sub(s.now), MinTickInterval), MaxTickInterval)
}

// runTimers handles every request whose timer has expired, each at most once per event: further timers of it wait
// for the next Tick.
func (s *Scheduler) runTimers() {
	for r := s.timers.due(s.now); r != nil; r = s.timers.due(s.now) {
		s.timers.remove(r)
		s.timerFired(r)
		s.setTimer(r)
		if r.timerIndex >= 0 && !s.now.Before(r.timerAt) {
			s.timers.set(r, s.now.Add(MinTickInterval))
		}
	}
	s.orphans.expire(s.now)
	s.advancePoison()
	s.endVersionWait()
}

// timerFired performs the action that is due for one request.
func (s *Scheduler) timerFired(r *request) {
	if !s.now.Before(r.expiresAt()) {
		if !s.holdPastObjective(r) {
			s.deadlinePassed(r)
		}
		return
	}
	if r.attempt != nil {
		s.attemptTimerFired(r)
		return
	}
	s.queuedTimerFired(r)
}

func (s *Scheduler) queuedTimerFired(r *request) {
	switch {
	case r.state == awaitingEarlier:
		s.repeatEarlierCancel(r)
	case r.queue == nil:
		s.addToQueue(r)
	case s.isDue(r.widen.notBefore):
		r.widen.notBefore = time.Time{}
		s.markDirty(r.pool)
	case s.isDue(r.reservationDue()):
		s.renewReservations(r)
	case s.isDue(s.forecastDue(r)):
		s.forecastAgain(r)
	}
}

func (s *Scheduler) attemptTimerFired(r *request) {
	a := r.attempt
	switch {
	case s.isDue(a.gapDue()):
		s.gapExpired(r)
	case s.isDue(a.silenceDue(r)):
		s.requestCancel(r, wire.CancelCause_CANCEL_CAUSE_RETRY)
	case s.isDue(a.cancelDue()):
		s.sendCancel(r)
	case s.isDue(s.engineProofDue(a)):
		s.requestEngineProof(r)
	}
}

func (s *Scheduler) isDue(at time.Time) bool {
	return !at.IsZero() && !s.now.Before(at)
}

// setTimer sets when the request needs attention next.
func (s *Scheduler) setTimer(r *request) {
	if s.requests[r.ID] != r {
		return
	}
	at := r.expiresAt()
	if a := r.attempt; a != nil {
		at = earliest(at, a.gapDue(), a.silenceDue(r), a.cancelDue(), s.engineProofDue(a))
	} else {
		at = earliest(at, r.backoffDue(s.now), r.widen.notBefore, r.reservationDue(), r.earlierDue(), s.forecastDue(r))
	}
	s.timers.set(r, at)
}

// earliest returns the earliest of the times, ignoring zero values among others.
func earliest(first time.Time, others ...time.Time) time.Time {
	for _, at := range others {
		if !at.IsZero() && at.Before(first) {
			first = at
		}
	}
	return first
}

func (r *request) backoffDue(now time.Time) time.Time {
	if now.Before(r.notBefore) {
		return r.notBefore
	}
	return time.Time{}
}

// gapDue returns when a missing part of the answer counts as lost, zero if none is missing.
func (a *attempt) gapDue() time.Time {
	if a.gapSince.IsZero() || a.broken {
		return time.Time{}
	}
	return a.gapSince.Add(gapTimeout)
}

// silenceDue returns when a Cancel is sent for an attempt that its agent hasn't reported on, zero if none is due.
// If a Cancel could destroy something, the outcome of a request that may not be repeated or a computed prompt, it
// is at least half of the time left.
func (a *attempt) silenceDue(r *request) time.Time {
	if a.acked || a.cancelAsked || !a.downSince.IsZero() {
		return time.Time{}
	}
	bound := max(min(silenceTimeout, r.Deadline.Sub(r.Arrived)/silenceDivisor), minSilence)
	if !r.Class.GetRepeatable() || a.started {
		bound = max(bound, r.Deadline.Sub(a.silentSince)/2)
	}
	return a.silentSince.Add(bound)
}

// cancelDue returns when an unanswered Cancel is repeated, zero if none is due.
func (a *attempt) cancelDue() time.Time {
	if !a.cancelAsked || !a.downSince.IsZero() {
		return time.Time{}
	}
	return a.cancelSentAt.Add(cancelInterval)
}

// engineProofDue returns when the engine itself is asked because the agent is unreachable, zero if it isn't. This
// is not before the agent's lease has certainly expired: until then an agent that is only partitioned from this
// entry could start the attempt after the engine replied that it doesn't know it. For a request that may not be
// repeated the engine is not asked: that would end the attempt, and no reply of the engine would allow it to run
// again.
func (s *Scheduler) engineProofDue(a *attempt) time.Time {
	if a.downSince.IsZero() || a.address == "" || !a.request.Class.GetRepeatable() {
		return time.Time{}
	}
	if a.engineAskedAt.IsZero() {
		return a.downSince.Add(leaseMargin * s.options.LeaseDuration)
	}
	return a.engineAskedAt.Add(engineProofInterval)
}

// leaseMargin is the number of lease durations after the loss of the link after which the lease has certainly
// expired. The agent counts from the last heartbeat that it received, which may have been delayed.
const leaseMargin = 2

func (s *Scheduler) requestEngineProof(r *request) {
	a := r.attempt
	a.engineAskedAt = s.now
	s.emit(ProveAtEngine{Attempt: a.id, Server: a.server.name, Address: a.address})
}
