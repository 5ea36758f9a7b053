package rollout

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Timing of the control instances.
const (
	// RoundInterval is the time between two looks at the evidence. A bad version has to be reverted within 5 s, of which
	// the reports of the entries take one and the way of the verdict to them another.
	RoundInterval = 250 * time.Millisecond
	// recordInterval is the least time between two records of the evidence of one roll-out in the log.
	recordInterval = time.Second
	// recordLag is the time after which a follower hands its evidence to the leader: the log is still behind what the
	// follower has heard, so the leader does not hear the same entries.
	recordLag = 3 * time.Second
	// completionDelay is how long a new leader completes nothing. Entries report each second, and a leader that has just
	// started may not have heard of bad answers yet.
	completionDelay = 2 * time.Second
)

// Standing is how an instance stands in its group. Last and Applied are indexes of the log.
type Standing struct {
	Leads               bool
	Term, Last, Applied uint64
}

// Leadership is the time for which an instance has led in its present term. Its zero value is that of a follower.
type Leadership struct {
	since time.Time
	term  uint64
	// last is the last index of the log when the instance was first seen leading. All that was committed in earlier terms is
	// at or below it.
	last uint64
}

// Observe takes in how the instance stands.
func (l *Leadership) Observe(s Standing, now time.Time) {
	switch {
	case !s.Leads:
		*l = Leadership{}
	case !l.Holds() || l.term != s.Term:
		*l = Leadership{since: now, term: s.Term, last: s.Last}
	}
}

// Holds reports whether the instance leads.
func (l *Leadership) Holds() bool { return !l.since.IsZero() }

// MayComplete reports whether a version may be completed: the evidence that earlier leaders have committed is applied, and the
// entries have had time to report to this one.
func (l *Leadership) MayComplete(s Standing, now time.Time) bool {
	return l.Holds() && s.Applied >= l.last && now.Sub(l.since) >= completionDelay
}

// Trial is a roll-out in progress as one instance sees it. Each instance compares the versions; only the leader decides. It
// is not safe for concurrent use.
type Trial struct {
	judge       *Judge
	behindSince time.Time // when the log was first seen behind the evidence; zero if it isn't
	lastRecord  time.Time
}

// NewTrial returns the trial of a roll-out.
func NewTrial(r *wire.Rollout) *Trial { return &Trial{judge: NewJudge(r)} }

// Look is what an instance knows at one round.
type Look struct {
	Record *wire.Rollout        // as applied
	Heard  []*wire.RolloutCount // by this instance
	// Servers and UnixMS are as in Observation.
	Servers     int
	UnixMS      uint64
	Leads       bool
	MayComplete bool
}

// Step is what an instance has to commit, with the evidence: a verdict, the evidence alone, or nothing.
type Step struct {
	Counts  []*wire.RolloutCount
	Verdict Verdict
	Record  bool
}

// Next returns what has to be committed: by the leader a verdict or the evidence; by a follower nothing, unless the leader
// does not hear the same entries.
func (t *Trial) Next(l Look, now time.Time) Step {
	counts := Merge(l.Record.GetCounts(), l.Heard)
	verdict := t.judge.Decide(Observation{Counts: counts, UnixMS: l.UnixMS, Servers: l.Servers})
	isBehind := Exceeds(counts, l.Record.GetCounts())
	switch {
	case !isBehind:
		t.behindSince = time.Time{}
	case t.behindSince.IsZero():
		t.behindSince = now
	}
	switch {
	case l.Leads && verdict.Decision == Revert, l.Leads && l.MayComplete && verdict.Decision == Complete:
		return Step{Counts: counts, Verdict: verdict}
	case isBehind && now.Sub(t.lastRecord) >= recordInterval && (l.Leads || now.Sub(t.behindSince) >= recordLag):
		t.lastRecord = now
		return Step{Counts: counts, Record: true}
	}
	return Step{}
}

// Command returns the command that commits the step, nil if there is nothing to commit.
func (s Step) Command(r *wire.Rollout) *wire.Command {
	switch {
	case s.Verdict.Decision != Continue:
		return &wire.Command{Kind: &wire.Command_EndRollout{EndRollout: &wire.EndRollout{
			Pool: r.GetPool(), Id: r.GetId(), State: s.Verdict.Decision.State(), Reason: s.Verdict.String(), Counts: s.Counts,
		}}}
	case s.Record:
		return &wire.Command{Kind: &wire.Command_RecordRollout{RecordRollout: &wire.RecordRollout{
			Pool: r.GetPool(), Id: r.GetId(), Counts: s.Counts,
		}}}
	}
	return nil
}
