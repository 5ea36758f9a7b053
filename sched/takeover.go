package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// earlierProofs collects the proofs that the attempts of earlier owners of a key are over.
type earlierProofs struct {
	id       *wire.AttemptID
	unproved []string // servers whose proof is missing
	ran      result.Ran
	askedAt  time.Time
}

// takeOver requests proof from every server to which an earlier owner may have dispatched. Until all have replied,
// no attempt is sent and no reservation placed.
func (s *Scheduler) takeOver(r *request) {
	r.earlier = &earlierProofs{
		id:       &wire.AttemptID{Request: r.ID, Number: r.Epoch<<EpochShift - 1},
		unproved: slices.Clone(r.EarlierServers),
		ran:      result.RanNo,
	}
	_ = s.fire(r, evTakeOver)
	s.setTimer(r)
}

// cancelEarlier sends a Cancel to every server whose proof is missing.
func (s *Scheduler) cancelEarlier(r *request) {
	r.earlier.askedAt = s.now
	for _, name := range r.earlier.unproved {
		s.cancelEarlierAt(r, name)
	}
}

func (s *Scheduler) cancelEarlierAt(r *request, name string) {
	v := s.servers[name]
	if v == nil {
		return
	}
	s.send(v.agent, cancelMessage(r.earlier.id, name, wire.CancelCause_CANCEL_CAUSE_TAKEOVER))
}

func (r *request) earlierDue() time.Time {
	if r.state != awaitingEarlier {
		return time.Time{}
	}
	return r.earlier.askedAt.Add(cancelInterval)
}

func (s *Scheduler) repeatEarlierCancel(r *request) {
	s.cancelEarlier(r)
}

// cancelEarlierAtAgent repeats the requests for missing proofs to an agent that reconnected.
func (s *Scheduler) cancelEarlierAtAgent(a *agent) {
	for _, r := range s.takenOverRequests() {
		for _, name := range r.earlier.unproved {
			if v := s.servers[name]; v != nil && v.agent == a {
				s.cancelEarlierAt(r, name)
			}
		}
	}
}

// earlierAttemptsOver handles one server's proof for all attempts up to the requested number.
func (s *Scheduler) earlierAttemptsOver(r *request, m *wire.Over) {
	at := slices.Index(r.earlier.unproved, m.GetServer())
	if at >= 0 && m.GetUnprovable() {
		s.outcomeLost(r)
		return
	}
	if at < 0 || m.GetAttempt().GetNumber() < r.earlier.id.GetNumber() || !isProof(m.GetProof()) {
		s.countDropped(droppedAttempt)
		return
	}
	r.earlier.unproved = slices.Delete(r.earlier.unproved, at, at+1)
	r.earlier.ran = combineRan(r.earlier.ran, ranFromProof(m.GetProof()))
	if len(r.earlier.unproved) > 0 {
		return
	}
	s.earlierAttemptsResolved(r)
}

// ranFromProof returns what a proof says about earlier attempts. An agent that may have lost track of what a
// previous incarnation ran replies CANCELLED: over, and unknown whether it began.
//
// Otherwise, if an agent crashed while it ran a request that may not be repeated, its next incarnation would report
// to the next owner that the request never started, and it would run again.
func ranFromProof(proof wire.Proof) result.Ran {
	if proof == wire.Proof_PROOF_NEVER_STARTED {
		return result.RanNo
	}
	return result.RanUnknown
}

func (s *Scheduler) earlierAttemptsResolved(r *request) {
	r.err = result.New(result.OutcomeUnknown, "")
	if s.fire(r, evEarlierOver) != nil || r.state != queued {
		return
	}
	r.err = nil
	s.enqueue(r)
}

// earlierRan returns what is proved about the attempts of earlier owners.
func (r *request) earlierRan() result.Ran {
	switch {
	case r.earlier == nil:
		return result.RanNo
	case len(r.earlier.unproved) > 0:
		return combineRan(r.earlier.ran, result.RanUnknown)
	default:
		return r.earlier.ran
	}
}

// takenOverRequests returns the requests that wait for proofs about earlier attempts, in order of arrival.
func (s *Scheduler) takenOverRequests() []*request {
	var waiting []*request
	for _, r := range s.requests {
		if r.state == awaitingEarlier {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	return waiting
}
