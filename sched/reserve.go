package sched

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// reservationInterval is how often reservations are sent again. This updates the urgency at the gate, and replaces
// messages that were dropped because a ring was full.
const reservationInterval = time.Second

// reservation is an entry in a server's waiting list.
type reservation struct {
	server *server
}

// reserve places reservations for a queued request that has none, and reports whether it could.
func (s *Scheduler) reserve(r *request) bool {
	servers := s.chooseReservationServers(r)
	if len(servers) == 0 || s.fire(r, evReserve) != nil {
		return false
	}
	r.promote()
	s.setReservations(r, servers)
	s.noteTrial(r)
	r.reservedAt = s.now
	for _, v := range servers {
		s.sendReserve(r, v)
	}
	s.setTimer(r)
	return true
}

// setReservations replaces the reservations of a request and moves it between the two lists of its queue if needed.
func (s *Scheduler) setReservations(r *request, servers []*server) {
	if r.queue != nil {
		r.queue.listFor(r).remove(r)
		*r.reservedCount() -= min(len(r.reservations), 1)
	}
	r.reservations = r.reservations[:0]
	for _, v := range servers {
		r.reservations = append(r.reservations, reservation{server: v})
		v.reservedBy[r] = struct{}{}
	}
	if r.queue != nil {
		r.queue.listFor(r).add(r)
		*r.reservedCount() += min(len(r.reservations), 1)
	}
}

func (s *Scheduler) sendReserve(r *request, v *server) {
	m := &wire.Reserve{Attempt: r.nextAttemptID(), Server: v.name, Work: s.describeWork(r, v)}
	s.send(v.agent, &wire.EntryMessage{Kind: &wire.EntryMessage_Reserve{Reserve: m}})
}

// renewReservations sends the reservations again, and replaces those at servers that left.
func (s *Scheduler) renewReservations(r *request) {
	if s.shouldYield(r) {
		s.withdrawAll(r)
		s.reservationLost(r)
		return
	}
	r.reservedAt = s.now
	s.replaceReservations(r)
	for _, res := range r.reservations {
		s.sendReserve(r, res.server)
	}
}

// shouldYield reports whether a request that will be late should give up its reservations to one of its queue that
// may still be in time. The number of requests with reservations is bounded, so late ones would keep the others
// from the gates.
func (s *Scheduler) shouldYield(r *request) bool {
	if r.queue == nil || !r.mayBeLate {
		return false
	}
	cutoff := r.class.lateCutoff(s.now)
	last := r.queue.unreserved.last()
	return r.rank.Before(cutoff) && last != nil && !last.rank.Before(cutoff)
}

func (s *Scheduler) replaceReservations(r *request) {
	want := s.reservationCount(r)
	if len(r.reservations) >= want {
		return
	}
	servers := make([]*server, 0, want)
	for _, res := range r.reservations {
		servers = append(servers, res.server)
	}
	for _, v := range s.chooseReservationServers(r) {
		if len(servers) < want && !slices.Contains(servers, v) {
			servers = append(servers, v)
		}
	}
	s.setReservations(r, servers)
}

// reservationDue returns when the reservations are sent again, zero without reservations.
func (r *request) reservationDue() time.Time {
	if len(r.reservations) == 0 {
		return time.Time{}
	}
	return r.reservedAt.Add(reservationInterval)
}

// withdrawAll withdraws all reservations.
func (s *Scheduler) withdrawAll(r *request) {
	if len(r.reservations) == 0 {
		return
	}
	id := r.nextAttemptID()
	for _, res := range r.reservations {
		delete(res.server.reservedBy, r)
		m := &wire.Withdraw{Attempt: id, Server: res.server.name}
		s.send(res.server.agent, &wire.EntryMessage{Kind: &wire.EntryMessage_Withdraw{Withdraw: m}})
	}
	s.setReservations(r, nil)
}

// dropReservations withdraws the reservations of selected requests at a server that may no longer take them.
func (s *Scheduler) dropReservations(v *server, which func(*request) bool) {
	for _, r := range sortedRequests(v.reservedBy) {
		if !which(r) {
			continue
		}
		m := &wire.Withdraw{Attempt: r.nextAttemptID(), Server: v.name}
		s.send(v.agent, &wire.EntryMessage{Kind: &wire.EntryMessage_Withdraw{Withdraw: m}})
		s.forgetReservation(r, v)
		if len(r.reservations) == 0 {
			_ = s.fire(r, evReservationsGone)
			s.markDirty(r.pool)
		}
		s.setTimer(r)
	}
}

// forgetReservation removes one reservation without a message to the gate.
func (s *Scheduler) forgetReservation(r *request, v *server) {
	remaining := make([]*server, 0, len(r.reservations))
	for _, res := range r.reservations {
		if res.server != v {
			remaining = append(remaining, res.server)
		}
	}
	delete(v.reservedBy, r)
	s.setReservations(r, remaining)
}

func (r *request) hasReservationAt(v *server) bool {
	return slices.ContainsFunc(r.reservations, func(res reservation) bool { return res.server == v })
}

// reservationRefused handles a gate's refusal of a reservation. The gate keeps a tombstone for the attempt number,
// so the request needs another number before it may return there.
func (s *Scheduler) reservationRefused(r *request, m *wire.Over) {
	v := s.servers[m.GetServer()]
	expected := r.state == reserved && m.GetProof() == wire.Proof_PROOF_NEVER_STARTED &&
		m.GetAttempt().GetNumber() == r.nextAttemptID().GetNumber()
	if !expected || v == nil || !r.hasReservationAt(v) {
		s.countDropped(droppedAttempt)
		return
	}
	r.refusals++
	r.avoidServer(v.name)
	r.lastErr = s.proofError(m, result.RefusedNeverStarted)
	s.countRetry(r, retryReservationRefused)
	s.forgetReservation(r, v)
	s.reservationLost(r)
	if len(r.reservations) > 0 {
		return
	}
	if err := s.refuseRetry(r); err != nil {
		s.refuse(r, err)
	}
}

// offerReceived handles a gate's offer of a slot. Only the first offer gets the body, and only while the request
// has no attempt; any other is declined, since two engines would run the request.
func (s *Scheduler) offerReceived(a *agent, m *wire.Offer) {
	r := s.requests[m.GetAttempt().GetRequest()]
	v := s.servers[m.GetServer()]
	if r == nil || v == nil || v.agent != a || !s.canAccept(r, v, m.GetAttempt()) {
		s.decline(a, m)
		return
	}
	if s.declineExposure(a, r, v, m) {
		return
	}
	better := s.higherTierFor(r, v)
	if better == nil {
		better = s.timelyFor(r, v)
	}
	if better != nil {
		s.decline(a, m)
		s.forgetReservation(r, v)
		s.reservationLost(r)
		s.dispatch(better, v, false)
		return
	}
	if r.pool.has(v) && s.refuseIfTooLate(r, v) {
		s.decline(a, m)
		return
	}
	s.dispatch(r, v, true)
}

func (s *Scheduler) canAccept(r *request, v *server, id *wire.AttemptID) bool {
	return r.attempt == nil && r.state == reserved && v.ready && r.hasReservationAt(v) &&
		id.GetNumber() == r.nextAttemptID().GetNumber()
}

func (s *Scheduler) decline(a *agent, m *wire.Offer) {
	d := &wire.Decline{Attempt: m.GetAttempt(), Server: m.GetServer()}
	s.send(a, &wire.EntryMessage{Kind: &wire.EntryMessage_Decline{Decline: d}})
}

// reservationLost makes a request that lost its last reservation eligible for new ones.
func (s *Scheduler) reservationLost(r *request) {
	if len(r.reservations) == 0 {
		_ = s.fire(r, evReservationsGone)
	}
	s.markDirty(r.pool)
}

// higherTierFor returns a queued request of a higher tier than r that also has a reservation at the server, or nil.
// There is one if its reservation crossed the offer. The gate then offers it the slot next, or takes it at once.
func (s *Scheduler) higherTierFor(r *request, v *server) *request {
	for tier := 0; tier < r.tier; tier++ {
		s.scan++
		best := r.pool.tiers[tier].next(s.now, s.scan, false)
		if best != nil && best.state == reserved && best.hasReservationAt(v) && s.mayUse(best, v) {
			return best
		}
	}
	return nil
}
