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
		done, err := l.member(ctx, status, info.getHello())
		if err != nil || !done {
			return err
		}
	}
	return nil
}

// member takes a step for one instance, and returns true if none is left to take. What a later round may do better
// is no error.
func (l *leader) member(ctx context.Context, status replica.Status, hello *wire.ReplicaHello) (done bool, err error) {
	id := quorum.ID(hello.GetReplica())
	if id == quorum.NoID || id.Instance() != hello.GetInstance() {
		return true, nil
	}
	i := slices.IndexFunc(status.Members, func(m replica.Member) bool { return m.ID == id })
	switch {
	case i < 0:
		return false, l.changeMember("learner_added", id, func(ctx context.Context) error {
			_, err := l.control.replica.AddLearner(ctx, id, hello.GetLinkAddress())
			return err
		}, ctx)
	case status.Members[i].Voter:
		return true, nil
	}
	if !isCaughtUp(status, id) {
		return true, nil
	}
	if old := earlierVoter(status, id); old != quorum.NoID {
		return false, l.changeMember("replica_removed", old, func(ctx context.Context) error {
			_, err := l.control.replica.Remove(ctx, old)
			return err
		}, ctx)
	}
	return false, l.changeMember("replica_promoted", id, func(ctx context.Context) error {
		_, err := l.control.replica.Promote(ctx, id)
		return err
	}, ctx)
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

func (l *leader) changeMember(event string, id quorum.ID, change func(context.Context) error, ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	err := change(ctx)
	if err == nil {
		l.control.log.WithField("replica", id).Info(event)
		return nil
	}
	if errors.Is(err, quorum.ErrMembershipPending) || errors.Is(err, quorum.ErrNotCaughtUp) {
		return nil
	}
	return err
}
