package sched

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
)

// widenRetry is how long after control could not widen a record it is asked again.
const widenRetry = 500 * time.Millisecond

// widenState is where the widening of a keyed request's record stands.
type widenState struct {
	asked  bool // Widened hasn't come
	before time.Time
}

// widenIfGone asks control to let a keyed request go to more servers once none of those that its record allows may
// have it. That they are only busy is no reason: each more is one more whose proof a takeover has to wait for.
func (s *Scheduler) widenIfGone(r *request) {
	if len(r.Candidates) == 0 || r.widen.asked || s.now.Before(r.widen.before) || s.anyCandidate(r) {
		return
	}
	more := s.moreCandidates(r)
	if len(more) == 0 {
		return
	}
	r.widen.asked = true
	s.act(WidenCandidates{Request: r.ID, Candidates: append(slices.Clone(r.Candidates), more...)})
}

func (s *Scheduler) anyCandidate(r *request) bool {
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
		if v.ready && !slices.Contains(r.Candidates, name) && !slices.Contains(r.avoid, name) {
			more = append(more, name)
		}
	}
	return more
}

// widened takes control's answer.
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
	case controlBusy(e.Code):
		r.widen.before = s.now.Add(s.jitter(widenRetry))
	case r.state == queued || r.state == reserved:
		// The record is another owner's, or closed: nothing may be dispatched under it any more.
		s.refuse(r, result.New(e.Code, ""))
		return
	}
	s.touch(r.pool)
	s.setWake(r)
}

// controlBusy tells whether control may well widen the record when asked again.
func controlBusy(c result.Code) bool {
	switch c {
	case result.ControlUnavailable, result.NotLeader, result.ProposalUnknown, result.ProposalQueueFull, result.CutOffFromControl:
		return true
	default:
		return false
	}
}
