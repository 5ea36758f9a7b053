package control

import (
	"context"
	"slices"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/replica"
	"github.com/carawaypitch/carawaypitch/wire"
)

// members takes one step towards a group of all instances of the settings that said hello. An instance that came with
// another disk is added as a learner; once it holds the log, its earlier replica is removed, and then it gets a vote.
//
// The earlier replica's disk is gone, so it can't vote again; but the new one must hold the log before it counts.
// Otherwise the loss of another instance right after the repair could leave a majority without what was committed.
func (l *leader) members(ctx context.Context) error {
	status := l.control.replica.Status()
	known := l.control.peers.all()
	for _, r := range l.control.settings.Replicas {
		info := known[r.Instance]
		if step := nextStep(status, info.getHello()); step != nil {
			return l.changeMember(ctx, step)
		}
	}
	return nil
}

// memberStep is what is to be done for one instance.
type memberStep struct {
	change  quorum.ChangeKind
	id      quorum.ID
	address string
}

// nextStep returns the next step for the replica that said hello, or nil. Nothing is taken from the earlier replica
// before the new one holds the log.
func nextStep(status replica.Status, hello *wire.ReplicaHello) *memberStep {
	id := quorum.ID(hello.GetReplica())
	if id == quorum.NoID || id.Instance() != hello.GetInstance() {
		return nil
	}
	i := slices.IndexFunc(status.Members, func(m replica.Member) bool { return m.ID == id })
	if i < 0 {
		return &memberStep{quorum.AddLearner, id, hello.GetLinkAddress()}
	}
	if status.Members[i].Voter || !isCaughtUp(status, id) {
		return nil
	}
	if old := earlierVoter(status, id); old != quorum.NoID {
		return &memberStep{change: quorum.Remove, id: old}
	}
	return &memberStep{change: quorum.Promote, id: id}
}

// isCaughtUp tells whether a replica holds all that is committed.
func isCaughtUp(status replica.Status, id quorum.ID) bool {
	return slices.ContainsFunc(status.Progress, func(p quorum.Progress) bool {
		return p.ID == id && p.Active && p.Match >= status.Commit
	})
}

// earlierVoter returns the voter that the instance had with its earlier disk, or NoID.
func earlierVoter(status replica.Status, id quorum.ID) quorum.ID {
	for _, m := range status.Members {
		if m.Voter && m.ID != id && m.ID.Instance() == id.Instance() {
			return m.ID
		}
	}
	return quorum.NoID
}

// changeMember makes a change. One that must wait for another, or for the learner, is no error: the next round sees.
func (l *leader) changeMember(ctx context.Context, step *memberStep) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var err error
	switch step.change {
	case quorum.AddLearner:
		_, err = l.control.replica.AddLearner(ctx, step.id, step.address)
	case quorum.Remove:
		_, err = l.control.replica.Remove(ctx, step.id)
	default:
		_, err = l.control.replica.Promote(ctx, step.id)
	}
	if errors.Is(err, quorum.ErrMembershipPending) || errors.Is(err, quorum.ErrNotCaughtUp) {
		return nil
	}
	if err == nil {
		l.control.log.WithField("replica", step.id).WithField("change", changeNames[step.change]).Info("replica_changed")
	}
	return err
}

var changeNames = map[quorum.ChangeKind]string{
	quorum.AddLearner: "added",
	quorum.Promote:    "promoted",
	quorum.Remove:     "removed",
}
