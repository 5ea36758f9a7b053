package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// leaveInterval is the pause between two questions of a stopping voter.
	leaveInterval = 50 * time.Millisecond
	// leaveNoLeader is how long a stopping voter looks for a leader that takes up that it leaves.
	leaveNoLeader = 2 * time.Second
	// leaveCallTimeout bounds one question.
	leaveCallTimeout = 500 * time.Millisecond
	// leavingValid is how long a replica counts as leaving after it last said so, which its status does again and again.
	// One that is started again under its old identity counts like any other after that.
	leavingValid = 3 * statusInterval
)

// handOverVote lets the leader give the vote of this stopping instance to a learner that is caught up. It returns once
// that is committed, there is no such learner, no leader answers for leaveNoLeader, or ctx ends. Once a leader has
// answered that it may take a successor, it goes on until ctx ends: the group may have one voter more by then, and need
// this one for its next majority.
//
// A voter that is gone keeps its vote until it has been silent for voterSilence. The loss of another voter meanwhile
// would leave the group without a majority for good, though the successor holds every entry.
func (c *Control) handOverVote(ctx context.Context) {
	if !c.memberView().isVoter(c.replica.ID()) || len(c.replica.Status().Members) < 2 {
		return
	}
	start := time.Now()
	isPending := false
	state := wire.LeaveState_LEAVE_STATE_NOT_LEADER
	defer func() {
		c.log.WithField("state", state).WithField("waited", time.Since(start)).Info("vote_handover_ended")
	}()
	for isPending || time.Since(start) <= leaveNoLeader {
		// Another loss may have made this stopping instance the leader again, which changes no membership.
		c.transferLeadership(ctx)
		var err error
		if state, err = c.askToLeave(ctx); err != nil {
			c.log.WithError(err).Debug("leave_not_answered")
		}
		if state == wire.LeaveState_LEAVE_STATE_DONE || state == wire.LeaveState_LEAVE_STATE_NO_SUCCESSOR {
			return
		}
		isPending = isPending || state == wire.LeaveState_LEAVE_STATE_PENDING
		if !pause.For(ctx, leaveInterval) {
			return
		}
	}
}

// askToLeave tells the leader that this replica is about to stop, and returns what has become of its vote.
func (c *Control) askToLeave(ctx context.Context) (wire.LeaveState, error) {
	address := c.peers.address(c.leaderInstance())
	if address == "" {
		return wire.LeaveState_LEAVE_STATE_NOT_LEADER, nil
	}
	ctx, cancel := context.WithTimeout(ctx, leaveCallTimeout)
	defer cancel()
	conn, err := link.Dial(ctx, c.options.Network, address, c.dialTLS)
	if err != nil {
		return wire.LeaveState_LEAVE_STATE_NOT_LEADER, errors.Wrap(err, "control: leave")
	}
	defer conn.Close()
	reply, err := wire.NewDRPCReplicaLinkClient(conn).Leave(ctx, &wire.LeaveRequest{Replica: string(c.replica.ID())})
	if err != nil {
		return wire.LeaveState_LEAVE_STATE_NOT_LEADER, errors.Wrap(err, "control: leave")
	}
	return reply.GetState(), nil
}

// Leave takes up that a replica is about to stop. It implements wire.DRPCReplicaLinkServer.
func (p *peers) Leave(ctx context.Context, in *wire.LeaveRequest) (*wire.LeaveReply, error) {
	link.Admit(ctx)
	c := p.control
	id := quorum.ID(in.GetReplica())
	if !c.isLeader() || c.stopping.Load() {
		return &wire.LeaveReply{State: wire.LeaveState_LEAVE_STATE_NOT_LEADER}, nil
	}
	if id.Instance() == "" {
		return nil, link.ErrProtocol
	}
	p.recordLeaving(id)
	state := c.memberView().leaveState(id)
	if state == wire.LeaveState_LEAVE_STATE_PENDING {
		c.leader.wake()
	}
	return &wire.LeaveReply{State: state}, nil
}

// leaveState returns what has become of the vote of a replica that is about to stop.
func (v memberView) leaveState(id quorum.ID) wire.LeaveState {
	switch {
	case !v.isVoter(id) && v.status.MembersCommitted:
		return wire.LeaveState_LEAVE_STATE_DONE
	case !v.isVoter(id) || v.voters() > v.wanted || v.hasSuccessor():
		return wire.LeaveState_LEAVE_STATE_PENDING
	default:
		return wire.LeaveState_LEAVE_STATE_NO_SUCCESSOR
	}
}

// hasSuccessor reports whether an instance with a disk that doesn't vote has been in contact recently.
func (v memberView) hasSuccessor() bool {
	for _, info := range v.known {
		id := quorum.ID(info.hello.GetReplica())
		if id != quorum.NoID && !info.hello.GetEphemeral() && !v.isVoter(id) && !v.isLeaving(id) &&
			v.now.Sub(info.lastContact) <= joinContactAge {
			return true
		}
	}
	return false
}

func (v memberView) isVoter(id quorum.ID) bool {
	for _, m := range v.status.Members {
		if m.ID == id {
			return m.Voter
		}
	}
	return false
}

// isLeaving reports whether a replica has said that it is about to stop, and hasn't been silent about it since.
func (v memberView) isLeaving(id quorum.ID) bool {
	info := v.known[id.Instance()]
	return info.leaving == id && v.now.Sub(info.leavingHeard) <= leavingValid
}
