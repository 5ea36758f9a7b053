package session

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// demandInterval is how often the demand is reported while it changes. It is half the interval of polls: a burst lasts a few
// seconds, and a view that is older than two isn't used.
const demandInterval = 500 * time.Millisecond

// demandReporter decides which polls of one link carry the demand. Only polls of the leader do: it is the one instance to which
// all entries keep a link, and a summary of less than nine in ten entries isn't used. Polls that follow each other closely carry
// the demand once per half interval at most.
type demandReporter struct {
	source func() *wire.DemandReport
	due    time.Time
	sent   *wire.DemandReport // as returned by source
}

// next returns the report to send with a poll, or nil for none. It is sent also if nothing has changed, since control drops
// reports that are 3 s old. The sequence number of the poll orders the reports.
func (r *demandReporter) next(now time.Time, sequence uint64, toLeader bool) *wire.DemandReport {
	if r.source == nil || !toLeader || now.Before(r.due) {
		return nil
	}
	report := r.source()
	if report == nil {
		return nil
	}
	r.due = now.Add(demandInterval / 2)
	r.sent = report
	return &wire.DemandReport{Sequence: sequence, Pools: report.GetPools()}
}

// runDemand polls the leader at demandInterval while the demand changes, until ctx ends.
func (s *Session) runDemand(ctx context.Context) {
	if s.cfg.Demand == nil {
		return
	}
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.pollChangedDemand(s.cfg.Demand())
	}
}

// pollChangedDemand polls the leader if the demand differs from what the leader was last told. While no leader is linked nothing
// is sent: the others don't hear from enough entries.
func (s *Session) pollChangedDemand(report *wire.DemandReport) {
	leader := s.Leader()
	if leader == "" || report == nil {
		return
	}
	for _, p := range s.knownPeers() {
		if p.name() == leader && p.isLinked() && p.demandDiffers(report) {
			p.poll()
		}
	}
}

func (p *peer) demandDiffers(report *wire.DemandReport) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demandReporter.sent != report
}
