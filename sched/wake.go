package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// wakeHeap is a binary heap of requests by wakeAt, then by arrival. Each request is in it at most once.
type wakeHeap struct{ items []*request }

func (h *wakeHeap) less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	if !a.wakeAt.Equal(b.wakeAt) {
		return a.wakeAt.Before(b.wakeAt)
	}
	return a.sequence < b.sequence
}

func (h *wakeHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].wakeIndex = i
	h.items[j].wakeIndex = j
}

func (h *wakeHeap) set(r *request, at time.Time) {
	if r.wakeIndex >= 0 && r.wakeAt.Equal(at) {
		return
	}
	r.wakeAt = at
	if r.wakeIndex < 0 {
		r.wakeIndex = len(h.items)
		h.items = append(h.items, r)
	}
	h.fix(r.wakeIndex)
}

func (h *wakeHeap) remove(r *request) {
	i := r.wakeIndex
	if i < 0 {
		return
	}
	n := len(h.items) - 1
	h.swap(i, n)
	h.items[n] = nil
	h.items = h.items[:n]
	r.wakeIndex = -1
	if i < n {
		h.fix(i)
	}
}

func (h *wakeHeap) fix(i int) {
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

// due returns a request whose time has come, or nil.
func (h *wakeHeap) due(now time.Time) *request {
	if len(h.items) == 0 || now.Before(h.items[0].wakeAt) {
		return nil
	}
	return h.items[0]
}

// NextTick is how long after the last event the next Tick is due, if no other event comes before.
//
// With one each TickInterval an entry at rest was woken 100 times a second, for a step that found nothing to do: over 1% of a
// core, and a seventh of what an entry with 16 requests a second spends on a machine with 0.144 of one.
func (s *Scheduler) NextTick() time.Duration {
	if len(s.dirty) > 0 {
		return MinTickInterval
	}
	if len(s.wakes.items) == 0 {
		return MaxTickInterval
	}
	return min(max(s.wakes.items[0].wakeAt.Sub(s.now), MinTickInterval), MaxTickInterval)
}

// wakeDue looks at every request whose time has come, each at most once for an event: what else is due for it waits
// for the next tick.
func (s *Scheduler) wakeDue() {
	for r := s.wakes.due(s.now); r != nil; r = s.wakes.due(s.now) {
		s.wakes.remove(r)
		s.wake(r)
		s.setWake(r)
		if r.wakeIndex >= 0 && !s.now.Before(r.wakeAt) {
			s.wakes.set(r, s.now.Add(MinTickInterval))
		}
	}
	s.lingers.expire(s.now)
}

// wake does what is due for one request.
func (s *Scheduler) wake(r *request) {
	if !s.now.Before(r.limit()) {
		s.deadlinePassed(r)
		return
	}
	if r.attempt != nil {
		s.wakeAttempt(r)
		return
	}
	s.wakeQueued(r)
}

func (s *Scheduler) wakeQueued(r *request) {
	switch {
	case r.state == awaitingEarlier:
		s.repeatEarlier(r)
	case r.lane == nil:
		s.push(r)
	case s.isDue(r.widen.before):
		r.widen.before = time.Time{}
		s.touch(r.pool)
	case s.isDue(r.reservationDue()):
		s.renewReservations(r)
	}
}

func (s *Scheduler) wakeAttempt(r *request) {
	a := r.attempt
	switch {
	case s.isDue(a.gapDue()):
		s.gapPassed(r)
	case s.isDue(a.quietDue(r)):
		s.askCancel(r, wire.CancelCause_CANCEL_CAUSE_RETRY)
	case s.isDue(a.cancelDue()):
		s.sendCancel(r)
	case s.isDue(s.proveDue(a)):
		s.askEngine(r)
	}
}

func (s *Scheduler) isDue(at time.Time) bool {
	return !at.IsZero() && !s.now.Before(at)
}

// setWake sets when the request is looked at next.
func (s *Scheduler) setWake(r *request) {
	if s.requests[r.ID] != r {
		return
	}
	at := r.limit()
	if a := r.attempt; a != nil {
		at = earliest(at, a.gapDue(), a.quietDue(r), a.cancelDue(), s.proveDue(a))
	} else {
		at = earliest(at, r.backOffDue(s.now), r.widen.before, r.reservationDue(), r.earlierDue())
	}
	s.wakes.set(r, at)
}

// earliest returns the earliest of the times that are set.
func earliest(first time.Time, others ...time.Time) time.Time {
	for _, at := range others {
		if !at.IsZero() && at.Before(first) {
			first = at
		}
	}
	return first
}

func (r *request) backOffDue(now time.Time) time.Time {
	if now.Before(r.notBefore) {
		return r.notBefore
	}
	return time.Time{}
}

// gapDue is when a missing part of the answer counts as lost.
func (a *attempt) gapDue() time.Time {
	if a.gapSince.IsZero() || a.broken {
		return time.Time{}
	}
	return a.gapSince.Add(gapBound)
}

// quietDue is when an attempt of which the agent has said nothing is asked after by a Cancel. Where a Cancel could
// destroy something, the outcome of work that may not be repeated or a prompt already computed, half of the time that
// is left is waited.
func (a *attempt) quietDue(r *request) time.Time {
	if a.acked || a.cancelAsked || !a.downSince.IsZero() {
		return time.Time{}
	}
	bound := max(min(quietBound, r.Deadline.Sub(r.Arrived)/quietShare), quietLeast)
	if !r.Class.GetRepeatable() || a.started {
		bound = max(bound, r.Deadline.Sub(a.quietSince)/2)
	}
	return a.quietSince.Add(bound)
}

// cancelDue is when a Cancel without an answer is repeated.
func (a *attempt) cancelDue() time.Time {
	if !a.cancelAsked || !a.downSince.IsZero() {
		return time.Time{}
	}
	return a.cancelledAt.Add(cancelRepeat)
}

// proveDue is when the engine itself is asked, because the agent stays away. Not before the agent's lease has
// certainly run out: until then an agent that is only cut off from this entry could still start the attempt after the
// engine said that it doesn't know it. Work that may not be repeated is left alone: asking the engine ends it, and
// no answer of the engine would let it run again.
func (s *Scheduler) proveDue(a *attempt) time.Time {
	if a.downSince.IsZero() || a.address == "" || !a.request.Class.GetRepeatable() {
		return time.Time{}
	}
	if a.provedAt.IsZero() {
		return a.downSince.Add(leaseMargin * s.options.LeaseDuration)
	}
	return a.provedAt.Add(proveRepeat)
}

// leaseMargin is how many lease durations after the link was lost the lease has certainly run out. The agent counts
// from the last heartbeat that it received, which may have been on the way for a while.
const leaseMargin = 2

func (s *Scheduler) askEngine(r *request) {
	a := r.attempt
	a.provedAt = s.now
	s.act(ProveAtEngine{Attempt: a.id, Server: a.server.name, Address: a.address})
}
