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
	id      *wire.AttemptID
	waiting []string // servers whose proof is missing
	ran     result.Ran
	asked   time.Time
}

// takeOver asks for proof at every server that an earlier owner may have dispatched to. Until all are there, no
// attempt is sent and no reservation placed.
func (s *Scheduler) takeOver(r *request) {
	r.earlier = &earlierProofs{
		id:      &wire.AttemptID{Request: r.ID, Number: r.Epoch<<EpochShift - 1},
		waiting: slices.Clone(r.EarlierServers),
		ran:     result.RanNo,
	}
	_ = s.fire(r, evTakeOver)
	s.setWake(r)
}

// cancelEarlier sends the Cancel to every server whose proof is missing.
func (s *Scheduler) cancelEarlier(r *request) {
	r.earlier.asked = s.now
	for _, name := range r.earlier.waiting {
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
	return r.earlier.asked.Add(cancelRepeat)
}

func (s *Scheduler) repeatEarlier(r *request) {
	s.cancelEarlier(r)
}

// askEarlier asks again what an agent that is back may answer now.
func (s *Scheduler) askEarlier(a *agent) {
	for _, r := range s.awaitingEarlier() {
		for _, name := range r.earlier.waiting {
			if v := s.servers[name]; v != nil && v.agent == a {
				s.cancelEarlierAt(r, name)
			}
		}
	}
}

// earlierOver takes one server's proof for all attempts up to the number asked about.
func (s *Scheduler) earlierOver(r *request, m *wire.Over) {
	at := slices.Index(r.earlier.waiting, m.GetServer())
	if at >= 0 && m.GetUnprovable() {
		s.outcomeLost(r)
		return
	}
	if at < 0 || m.GetAttempt().GetNumber() < r.earlier.id.GetNumber() || !isProof(m.GetProof()) {
		s.countStray(strayAttempt)
		return
	}
	r.earlier.waiting = slices.Delete(r.earlier.waiting, at, at+1)
	r.earlier.ran = worse(r.earlier.ran, ranEarlier(m.GetProof()))
	if len(r.earlier.waiting) > 0 {
		return
	}
	s.earlierDone(r)
}

// ranEarlier is what a proof says of the earlier attempts. An agent that may have forgotten what an incarnation
// before it ran says CANCELLED: over, and nobody knows whether it began.
//
// Otherwise: an entry dispatches a pass, its agent dies with the pass issued, the agent's successor is asked by the
// next owner, has never heard of it, says so, and the pass is issued again.
func ranEarlier(proof wire.Proof) result.Ran {
	if proof == wire.Proof_PROOF_NEVER_STARTED {
		return result.RanNo
	}
	return result.RanUnknown
}

func (s *Scheduler) earlierDone(r *request) {
	r.err = result.New(result.OutcomeUnknown, "")
	if s.fire(r, evEarlierOver) != nil || r.state != queued {
		return
	}
	r.err = nil
	s.enqueue(r)
}

// earlierRan is what is proved of the attempts of earlier owners.
func (r *request) earlierRan() result.Ran {
	switch {
	case r.earlier == nil:
		return result.RanNo
	case len(r.earlier.waiting) > 0:
		return worse(r.earlier.ran, result.RanUnknown)
	default:
		return r.earlier.ran
	}
}

// awaitingEarlier returns the requests that wait for earlier proofs, in order of arrival.
func (s *Scheduler) awaitingEarlier() []*request {
	var waiting []*request
	for _, r := range s.requests {
		if r.state == awaitingEarlier {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.sequence, b.sequence) })
	return waiting
}
