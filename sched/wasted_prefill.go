package sched

import "github.com/carawaypitch/carawaypitch/wire"

// countReportedWaste counts the prefill tokens that an agent reports as lost with an attempt.
func (s *Scheduler) countReportedWaste(r *request, m *wire.Over) {
	if m.GetWastedPrefillTokens() == 0 {
		return
	}
	s.countWastedPrefill(r, wasteCause(r, m), uint64(m.GetWastedPrefillTokens()))
}

func wasteCause(r *request, m *wire.Over) string {
	switch {
	case m.GetPreemptedByTier() > 0:
		return retryPreempted
	case r.callerGone:
		return "caller_left"
	case m.GetProof() == wire.Proof_PROOF_FAILED:
		return retryEngineFailed
	default:
		return retryCancelled
	}
}

// countEstimatedWaste counts the estimated prefill tokens of an attempt whose agent or answer is lost.
func (s *Scheduler) countEstimatedWaste(r *request, cause string) {
	if r.PromptTokens > 0 {
		s.countWastedPrefill(r, cause, uint64(r.PromptTokens))
	}
}

func (s *Scheduler) countWastedPrefill(r *request, cause string, tokens uint64) {
	s.emit(Count{
		Counter: WastedPrefill, Tier: r.Class.GetTier(), Class: r.Class.GetName(), Label: cause, Add: tokens,
	})
}
