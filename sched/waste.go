package sched

import "github.com/carawaypitch/carawaypitch/wire"

// countWasted counts the prompt work that an agent says was lost with an attempt.
func (s *Scheduler) countWasted(r *request, m *wire.Over) {
	if m.GetWastedPrefillTokens() == 0 {
		return
	}
	s.countPrefill(r, wasteCause(r, m), uint64(m.GetWastedPrefillTokens()))
}

func wasteCause(r *request, m *wire.Over) string {
	switch {
	case m.GetPreemptedByTier() > 0:
		return retryPreempted
	case r.callerGone:
		return "caller_left"
	case m.GetProof() == wire.Proof_PROOF_FAILED:
		return retryFailed
	default:
		return retryCancelled
	}
}

// countLostPrefill counts the prompt work of an attempt whose agent or answer is gone, by estimate.
func (s *Scheduler) countLostPrefill(r *request, cause string) {
	if r.PromptTokens > 0 {
		s.countPrefill(r, cause, uint64(r.PromptTokens))
	}
}

func (s *Scheduler) countPrefill(r *request, cause string, tokens uint64) {
	s.act(Count{
		Counter: WastedPrefill, Tier: r.Class.GetTier(), Class: r.Class.GetName(), Label: cause, Add: tokens,
	})
}
