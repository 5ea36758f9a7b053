package control

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/rollout"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// evidenceLogInterval is the least time between two log lines with the evidence of one roll-out.
const evidenceLogInterval = 10 * time.Second

// rollouts holds the evidence of the roll-outs in progress and decides on them. Each instance hears the polls of all
// entries and compares the versions; only the leader commits evidence and verdicts.
type rollouts struct {
	control *Control

	mu     sync.Mutex
	ledger *rollout.Ledger

	// The fields below are accessed only by the goroutine of run.
	trials map[string]*trial // by pool
	leads  rollout.Leadership
}

// trial is a roll-out as seen by this instance.
type trial struct {
	*rollout.Trial
	record       *wire.Rollout
	lastEvidence time.Time // of the last log line
	metricNames  map[string]bool
}

func newRollouts(c *Control) *rollouts {
	return &rollouts{control: c, ledger: rollout.NewLedger(), trials: make(map[string]*trial)}
}

// recordEvidence records what came with a poll. It ignores evidence of agents, and of roll-outs that are not in progress here:
// the sums of an entry only rise, so what an instance that lags behind ignores comes again with the next poll.
func (s *session) recordEvidence(reports []*wire.RolloutEvidence) {
	if len(reports) == 0 || s.client.role != wire.Role_ROLE_ENTRY {
		return
	}
	from := rollout.Source{Entry: s.client.instance, Incarnation: s.hello.GetIncarnation()}
	s.control.rollouts.record(from, reports)
}

func (r *rollouts) record(from rollout.Source, reports []*wire.RolloutEvidence) {
	inProgress := make([]*wire.RolloutEvidence, 0, len(reports))
	r.control.machine.read(func(s *state.State) {
		for _, report := range reports {
			held := s.Rollout(report.GetPool())
			if held.GetId() == report.GetId() && isInProgress(held) {
				inProgress = append(inProgress, report)
			}
		}
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, report := range inProgress {
		r.ledger.Record(from, report)
	}
}

func isInProgress(r *wire.Rollout) bool {
	return r.GetState() == wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS
}

// run is the loop that looks at the evidence.
func (r *rollouts) run(ctx context.Context) error {
	pause.Every(ctx, rollout.RoundInterval, func(now time.Time) { r.round(ctx, now) })
	return nil
}

func (r *rollouts) round(ctx context.Context, now time.Time) {
	status := r.control.replica.Status() // before the state, which may then be newer
	standing := rollout.Standing{
		Leads: status.Role == quorum.RoleLeader && !r.control.stopping.Load(),
		Term:  status.Term, Last: status.Last, Applied: status.Applied,
	}
	r.leads.Observe(standing, now)
	var records []*wire.Rollout
	servers := make(map[string]int)
	unixMS := uint64(now.UnixMilli())
	r.control.machine.read(func(s *state.State) {
		records = s.Rollouts()
		unixMS = max(unixMS, s.LeaderUnixMS())
		for _, record := range records {
			if isInProgress(record) {
				servers[record.GetPool()] = s.ServersOfVersion(record.GetPool(), record.GetTo())
			}
		}
	})
	r.forget(records)
	for _, record := range records {
		t := r.follow(record)
		if !isInProgress(record) {
			continue
		}
		step := t.Next(rollout.Look{
			Record: record, Heard: r.heard(record.GetId()), Servers: servers[record.GetPool()], UnixMS: unixMS,
			Leads: r.leads.Holds(), MayComplete: r.leads.MayComplete(standing, now),
		}, now)
		switch {
		case step.Verdict.Decision != rollout.Continue:
			r.end(ctx, t, step)
		case step.Record:
			r.recordCounts(ctx, t, step, now)
		}
	}
}

// heard returns what this instance has heard itself of a roll-out.
func (r *rollouts) heard(id uint64) []*wire.RolloutCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Sum(id)
}

// forget drops the evidence of roll-outs that have ended, and the trials of those that are no longer held.
func (r *rollouts) forget(records []*wire.Rollout) {
	inProgress, held := make(map[uint64]bool), make(map[string]bool)
	for _, record := range records {
		held[record.GetPool()] = true
		if isInProgress(record) {
			inProgress[record.GetId()] = true
		}
	}
	r.mu.Lock()
	r.ledger.Keep(inProgress)
	r.mu.Unlock()
	for pool, t := range r.trials {
		if !held[pool] {
			r.control.counters.forgetRollout(t.metricNames)
			delete(r.trials, pool)
		}
	}
}

// follow updates the trial of a record, and reports an end that this instance saw while it was leading.
func (r *rollouts) follow(record *wire.Rollout) *trial {
	t := r.trials[record.GetPool()]
	if t == nil || t.record.GetId() != record.GetId() {
		if t != nil {
			r.control.counters.forgetRollout(t.metricNames)
		}
		t = &trial{Trial: rollout.NewTrial(record), metricNames: make(map[string]bool)}
		r.trials[record.GetPool()] = t
	}
	if isInProgress(t.record) && !isInProgress(record) && r.leads.Holds() {
		r.reportEnd(record)
	}
	if t.record != record {
		t.record = record
		r.control.counters.setRolloutAnswers(record, t.metricNames)
	}
	return t
}

// end commits a verdict. If that fails, the next round decides again.
func (r *rollouts) end(ctx context.Context, t *trial, step rollout.Step) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	_, res, err := r.control.propose(ctx, step.Command(t.record))
	if err == nil {
		err = resultError(res)
	}
	if err != nil {
		r.logger(t.record).WithField("reason", step.Verdict.String()).WithError(err).Warn("rollout_verdict_not_committed")
		return
	}
	if held := res.GetRollout(); held != nil {
		r.follow(held)
	}
}

// recordCounts commits evidence.
func (r *rollouts) recordCounts(ctx context.Context, t *trial, step rollout.Step, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	res, err := r.control.proposeOrForward(ctx, step.Command(t.record))
	if err == nil {
		err = resultError(res)
	}
	logger := r.logger(t.record)
	if err != nil {
		logger.WithError(err).Warn("rollout_evidence_not_committed")
		return
	}
	if now.Sub(t.lastEvidence) < evidenceLogInterval {
		return
	}
	t.lastEvidence = now
	for _, v := range answersByVersion(step.Counts) {
		logger.WithField("of_version", v.Version).
			WithField("answers", v.Answers).
			WithField("failures", v.Failures).
			WithField("slow", v.Slow).
			Info("rollout_evidence")
	}
}

func (r *rollouts) logger(record *wire.Rollout) *log.Entry {
	return r.control.log.WithField("service", record.GetPool()).
		WithField("to", record.GetTo()).
		WithField("rollout", record.GetId())
}

// reportEnd logs and counts the end of a roll-out.
func (r *rollouts) reportEnd(record *wire.Rollout) {
	r.control.counters.rolloutEnded(reasonLabel(record.GetReason())).Inc()
	event := "rollout_completed"
	if record.GetState() == wire.RolloutState_ROLLOUT_STATE_REVERTED {
		event = "rollout_reverted"
	}
	r.logger(record).
		WithField("reason", record.GetReason()).
		WithField("after_ms", record.GetEndedUnixMs()-record.GetOrderedUnixMs()).
		Info(event)
}

// reasonLabel returns the first word of a stored reason, which is one of few.
func reasonLabel(reason string) string {
	label, _, _ := strings.Cut(reason, ":")
	return label
}

// StartRollout orders a roll-out. A nil error means that this order, or an earlier one of the same version, is committed
// and cannot be lost. Errors have code result.InvalidRollout, result.RolloutInProgress for another version, or
// result.ControlUnavailable if ctx ended before it was known whether the order was committed. It is safe to send it again.
func (c *Control) StartRollout(ctx context.Context, order *wire.StartRollout) (*wire.Rollout, error) {
	if problem := state.CheckRollout(order); problem != "" {
		return nil, result.New(result.InvalidRollout, "%s", problem)
	}
	logger := c.log.WithField("service", order.GetPool()).WithField("to", order.GetTo()).WithField("duration_ms", order.GetDurationMs())
	res, err := c.commitIdempotentResult(ctx, &wire.Command{Kind: &wire.Command_StartRollout{StartRollout: order}})
	if err != nil {
		logger.WithError(err).Warn("rollout_not_ordered")
		return nil, err
	}
	held := res.GetRollout()
	logger.WithField("rollout", held.GetId()).WithField("state", held.GetState().Name()).Info("rollout_ordered")
	return held, nil
}

// Rollout returns the last roll-out of a service. A quorum has confirmed that no later change was acknowledged before the
// call. Errors have code result.UnknownRollout if there was none, or result.ControlUnavailable.
func (c *Control) Rollout(ctx context.Context, service string) (held *wire.Rollout, err error) {
	if err := c.reads.wait(ctx); err != nil {
		return nil, err
	}
	c.machine.read(func(s *state.State) { held = s.Rollout(service) })
	if held == nil {
		return nil, result.New(result.UnknownRollout, "service %q", service)
	}
	return held, nil
}

// Rollouts returns the last roll-out of each service, confirmed like that of Rollout.
func (c *Control) Rollouts(ctx context.Context) (held []*wire.Rollout, err error) {
	if err := c.reads.wait(ctx); err != nil {
		return nil, err
	}
	c.machine.read(func(s *state.State) { held = s.Rollouts() })
	return held, nil
}
