package sched

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
)

// widenRetryDelay is the delay before control is asked again after it could not widen a record.
const widenRetryDelay = 500 * time.Millisecond

// widenState is the state of a request to widen the operation record.
type widenState struct {
	asked     bool // CandidatesWidened hasn't arrived
	notBefore time.Time
}

// widenIfUnavailable asks control to allow more servers for a keyed request once no server that its record allows
// can take it. Busy servers are no reason: a takeover has to wait for a proof from each additional server.
func (s *Scheduler) widenIfUnavailable(r *request) {
	if len(r.Candidates) == 0 || r.widen.asked || s.now.Before(r.widen.notBefore) || s.anyCandidateSuits(r) {
		return
	}
	more := s.moreCandidates(r)
	if len(more) == 0 {
		return
	}
	r.widen.asked = true
	s.emit(WidenCandidates{Request: r.ID, Candidates: append(slices.Clone(r.Candidates), more...)})
}

func (s *Scheduler) anyCandidateSuits(r *request) bool {
	defer s.endChoice(s.beginChoice(r))
	return slices.ContainsFunc(r.Candidates, func(name string) bool {
		v := s.servers[name]
		return v != nil && r.pool.has(v) && s.canReserve(r, v)
	})
}

func (s *Scheduler) moreCandidates(r *request) []string {
	in := *r.Request
	in.Candidates = nil
	var more []string
	for _, name := range s.Candidates(&in) {
		v := s.servers[name]
		if v.ready && !slices.Contains(r.Candidates, name) && !slices.Contains(r.avoided, name) {
			more = append(more, name)
		}
	}
	return more
}

// widened handles control's reply.
func (s *Scheduler) widened(e CandidatesWidened) {
	r := s.requests[e.Request]
	if r == nil || !r.widen.asked {
		return
	}
	r.widen.asked = false
	switch {
	case e.Code == 0:
		for _, name := range e.Candidates {
			if !slices.Contains(r.Candidates, name) {
				r.Candidates = append(slices.Clip(r.Candidates), name)
			}
		}
	case isRetryable(e.Code):
		r.widen.notBefore = s.now.Add(s.jitter(widenRetryDelay))
	case r.state == queued || r.state == reserved:
		// The record belongs to another owner or is closed: nothing may be dispatched under it.
		s.refuse(r, result.New(e.Code, ""))
		return
	}
	s.markDirty(r.pool)
	s.setTimer(r)
}

// isRetryable reports whether control may widen the record when asked again.
func isRetryable(c result.Code) bool {
	switch c {
	case result.ControlUnavailable, result.NotLeader, result.ProposalUnknown, result.ProposalQueueFull, result.CutOffFromControl:
		return true
	default:
		return false
	}
}
