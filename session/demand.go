package session

import (
	"context"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/wire"
)

// demandInterval is how often the demand is reported while it changes. It is half the interval of polls: a burst lasts a few
// seconds, and a view that is older than two isn't used.
const demandInterval = 500 * time.Millisecond

// demandCheckInterval is how often it is checked whether a report is due. A check each demandInterval would come just before a report
// is due, and double the time between two.
const demandCheckInterval = demandInterval / 5

// demandReporter decides which polls of one link carry the demand. Only polls of the leader do: it is the one instance to which
// all entries keep a link, and a summary of less than nine in ten entries isn't used. Polls that follow each other closely carry
// the demand once per demandInterval at most.
type demandReporter struct {
	source func() *wire.DemandReport
	due    time.Time
	sent   *wire.DemandReport // as returned by source
	// pending are the reports without an answer, the latest maxPendingDemand. They aren't forgotten with the answer to a later poll:
	// answers may overtake each other.
	pending []pendingDemand
}

// maxPendingDemand bounds the reports that wait for an answer. One that is older than a few seconds is of no use.
const maxPendingDemand = 8

type pendingDemand struct {
	sequence uint64
	at       time.Time
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
	r.due = now.Add(demandInterval)
	r.sent = report
	if len(r.pending) == maxPendingDemand {
		r.pending = slices.Delete(r.pending, 0, 1)
	}
	r.pending = append(r.pending, pendingDemand{sequence, now})
	return &wire.DemandReport{Sequence: sequence, Pools: report.GetPools()}
}

// answered returns when the poll with a report was sent that an answer belongs to, and false for an answer to none.
func (r *demandReporter) answered(sequence uint64) (sent time.Time, ok bool) {
	i := slices.IndexFunc(r.pending, func(p pendingDemand) bool { return p.sequence == sequence })
	if i < 0 {
		return time.Time{}, false
	}
	sent = r.pending[i].at
	r.pending = slices.Delete(r.pending, i, i+1)
	return sent, true
}

// runDemand polls the leader each demandInterval while the demand changes, until ctx ends.
func (s *Session) runDemand(ctx context.Context) {
	if s.cfg.Demand == nil {
		return
	}
	pause.Every(ctx, demandCheckInterval, func(time.Time) { s.pollChangedDemand(s.cfg.Demand()) })
}

// pollChangedDemand polls the leader if the demand differs from what the leader was last told. While no leader is linked nothing
// is sent: the others don't hear from enough entries.
func (s *Session) pollChangedDemand(report *wire.DemandReport) {
	leader := s.Leader()
	if leader == "" || report == nil {
		return
	}
	for _, p := range s.knownPeers() {
		if p.name() == leader && p.isLinked() && p.demandDue(report) {
			p.poll()
		}
	}
}

// demandDue reports whether a poll now would tell the instance of changed demand.
func (p *peer) demandDue(report *wire.DemandReport) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.demandReporter.sent != report && !time.Now().Before(p.demandReporter.due)
}

// handleDemand passes on the sums of the other entries that came with an answer. No quorum has to confirm them.
func (p *peer) handleDemand(f *wire.Fresh) {
	onDemand := p.session.cfg.OnDemand
	if f.GetDemand() == nil || onDemand == nil {
		return
	}
	p.mu.Lock()
	sent, ok := p.demandReporter.answered(f.GetSequence())
	p.mu.Unlock()
	if ok {
		onDemand(f.GetDemand(), sent)
	}
}
