package entry

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/carawaypitch/carawaypitch/agent"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Roll-outs at an entry. Session delivers them with the configuration, the scheduler decides by them which servers get
// requests and sums how these answer, and session sends the sums to control.

const (
	// evidenceSampleInterval is how often the scheduler's sums are copied for the polls, which are sent twice a second.
	evidenceSampleInterval = 250 * time.Millisecond
	// controlSilenceShare is the part of the rollback bound for which an entry goes on to use a new version without a
	// confirmed answer of control. The rest is left to control for its verdict: half a second until it has the evidence, a
	// second until it decides, and an election in between.
	controlSilenceShare = 0.4
)

// rolloutState is what an entry holds of its roll-outs besides the scheduler's state.
type rolloutState struct {
	evidence atomic.Pointer[[]*wire.RolloutEvidence] // as of the last sample

	// The fields below are accessed by the scheduler goroutine only.
	inProgress bool
	sampledAt  time.Time
}

// controlSilence returns for how long new versions are used without a confirmed answer of control.
func (e *Entry) controlSilence() time.Duration {
	return time.Duration(controlSilenceShare * float64(e.settings.Rollout.Rollback))
}

// sampleRollouts copies the scheduler's evidence for the polls. It may be called by the scheduler goroutine only.
func (e *Entry) sampleRollouts(event sched.Event) {
	r := &e.rollouts
	if _, isNews := event.(sched.Rollouts); isNews {
		r.inProgress = e.scheduler.HasRolloutInProgress()
		r.sampledAt = time.Time{}
		if !r.inProgress {
			r.evidence.Store(nil)
		}
	}
	if !r.inProgress {
		return
	}
	if now := e.now(); now.Sub(r.sampledAt) >= evidenceSampleInterval {
		r.sampledAt = now
		evidence := e.scheduler.RolloutEvidence()
		r.evidence.Store(&evidence)
	}
}

// rolloutEvidence returns the evidence for control, nil while no roll-out is in progress. It never waits for the scheduler.
func (e *Entry) rolloutEvidence() []*wire.RolloutEvidence {
	evidence := e.rollouts.evidence.Load()
	if evidence == nil {
		return nil
	}
	return *evidence
}

// applyRollouts tells the scheduler of the roll-outs. It comes before the directory, so that the servers of a new version are
// known as such when they appear.
func (e *Entry) applyRollouts(ctx context.Context, last, view *session.View) error {
	if len(view.Rollouts) == 0 && (last == nil || len(last.Rollouts) == 0) {
		return nil
	}
	old := make(map[string]int)
	for _, rollout := range view.Rollouts {
		_, old[rollout.GetPool()] = serversByVersion(view, rollout)
	}
	return e.postEvent(ctx, sched.Rollouts{Rollouts: view.Rollouts, OldServers: old})
}

// serversByVersion returns the names of the pool's servers that are of the version it is moved to, in no order, and the number
// of the others, in the whole deployment.
func serversByVersion(view *session.View, rollout *wire.Rollout) (fresh []string, old int) {
	add := func(name, version string) {
		if version == rollout.GetTo() {
			fresh = append(fresh, name)
		} else {
			old++
		}
	}
	for _, record := range view.Agents {
		for _, server := range record.GetServers() {
			if slices.Contains(server.GetModels(), rollout.GetPool()) {
				add(server.GetServer(), server.GetVersion())
			}
		}
	}
	withAgent := agent.ListedByAgents(view)
	for _, announcement := range view.Announcements {
		if name := announcement.Run().String(); announcement.GetPool() == rollout.GetPool() && !withAgent[name] {
			add(name, announcement.GetVersion())
		}
	}
	return fresh, old
}

// exposedServers returns the servers of new versions that the entries use, which this entry has to reach even if it keeps links
// to some of the servers only.
func exposedServers(view *session.View, share float64) map[string]bool {
	exposed := make(map[string]bool)
	for _, rollout := range view.Rollouts {
		if rollout.GetState() != wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS {
			continue
		}
		fresh, old := serversByVersion(view, rollout)
		ranked := sched.RankExposed(rollout.GetId(), fresh)
		for _, name := range ranked[:min(len(ranked), sched.ExposedServers(share, old))] {
			exposed[name] = true
		}
	}
	return exposed
}

// logRollout logs a step of a roll-out at this entry.
func (e *Entry) logRollout(a sched.RolloutChanged) {
	entry := e.log.WithField("pool", a.Pool).
		WithField("to", a.To).
		WithField("rollout", a.ID).
		WithField("state", a.State.Name()).
		WithField("sent", a.Sent).
		WithField("exposed", a.Exposed).
		WithField("bad", a.Bad)
	if a.Reason != "" {
		entry = entry.WithField("reason", a.Reason)
	}
	if a.Step == sched.RolloutStopped || a.Step == sched.RolloutPaused {
		entry.Warn(string(a.Step))
		return
	}
	entry.Info(string(a.Step))
}
