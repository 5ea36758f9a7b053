package control

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/replica"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Timing and limits of proposals.
const (
	// proposeTimeout bounds one proposal at the leader.
	proposeTimeout = 4 * time.Second
	// changeTimeout bounds an operator's change, including the search for the leader.
	changeTimeout = 8 * time.Second
	retryInterval = 50 * time.Millisecond
	// maxProposals bounds the proposals in progress at one instance.
	maxProposals = 4096
)

// proposeLocally proposes a command at this replica and returns the reply to its sender.
func (c *Control) proposeLocally(ctx context.Context, id uint64, cmd *wire.Command) *wire.ProposeReply {
	index, res, err := c.propose(ctx, cmd)
	reply := &wire.ProposeReply{Id: id, Index: index, Result: res}
	if err != nil {
		failure := result.From(err)
		reply.Code = uint32(failure.Code)
		reply.Message = failure.Message
		c.counters.proposalFailed(failure.Code).Inc()
	}
	if result.Is(err, result.NotLeader) {
		reply.Leader = c.leaderInstance()
	}
	return reply
}

// propose stamps a command with this instance's clock and commits it. Errors have code
//
//   - result.ProposalUnknown: the command may have been committed, or may yet be;
//   - result.NotLeader, ProposalQueueFull, EntryTooLarge, Stopping or ControlUnavailable: it was not committed and will not be.
func (c *Control) propose(ctx context.Context, cmd *wire.Command) (uint64, *wire.CommandResult, error) {
	if !c.proposals.tryAcquire() {
		return 0, nil, result.New(result.ProposalQueueFull, "").WithRan(result.RanNo)
	}
	defer c.proposals.release()
	proposal, err := newProposal(cmd)
	if err != nil {
		return 0, nil, err
	}
	c.submit(cmd, proposal)
	return c.await(ctx, proposal)
}

// proposeTogether commits commands as propose does, in one batch, and returns the error of each.
func (c *Control) proposeTogether(ctx context.Context, commands []*wire.Command) []error {
	errs := make([]error, len(commands))
	proposals := make([]*replica.Proposal, len(commands))
	var submitted []*replica.Proposal
	for i, cmd := range commands {
		if proposals[i], errs[i] = newProposal(cmd); errs[i] == nil {
			submitted = append(submitted, proposals[i])
		}
	}
	c.replica.Submit(submitted...)
	for i, proposal := range proposals {
		if errs[i] == nil {
			_, _, errs[i] = c.await(ctx, proposal)
		}
	}
	return errs
}

// newProposal returns the proposal of a command, stamped with this instance's clock.
func newProposal(cmd *wire.Command) (*replica.Proposal, error) {
	stamped := proto.CloneOf(cmd)
	stamped.UnixMs = uint64(time.Now().UnixMilli())
	data, err := proto.Marshal(stamped)
	if err != nil {
		return nil, result.Wrap(err, result.BadMessage, "")
	}
	return replica.NewProposal(data), nil
}

// await returns the result of a submitted command.
func (c *Control) await(ctx context.Context, proposal *replica.Proposal) (uint64, *wire.CommandResult, error) {
	applied, err := c.replica.Wait(ctx, proposal)
	if err != nil {
		return 0, nil, proposalError(err)
	}
	res := new(wire.CommandResult)
	if err := proto.Unmarshal(applied.Result, res); err != nil {
		return 0, nil, result.Wrap(err, result.Internal, "")
	}
	return applied.Index, res, nil
}

// submit submits the proposal of a command, a routine one together with those of other processes.
func (c *Control) submit(cmd *wire.Command, p *replica.Proposal) {
	if !isRoutine(cmd) {
		c.replica.Submit(p)
		return
	}
	if c.rounds.add(p) {
		c.counters.proposalsDelayed.Inc()
	}
}

// proposalError maps an error of the replica to a result code. Any error that is not a definite refusal is an unknown
// outcome.
func proposalError(err error) error {
	refused, ok := quorum.Refused(err)
	if !ok || errors.Is(err, replica.ErrUnknownOutcome) {
		return result.Wrap(err, result.ProposalUnknown, "")
	}
	code := result.ControlUnavailable
	switch refused.Reason {
	case quorum.ReasonNotLeader, quorum.ReasonTransferring:
		code = result.NotLeader
	case quorum.ReasonQueueFull, quorum.ReasonUncommittedFull:
		code = result.ProposalQueueFull
	case quorum.ReasonTooLarge:
		code = result.EntryTooLarge
	case quorum.ReasonStopped:
		code = result.Stopping
	}
	return result.Wrap(err, code, "").WithRan(result.RanNo)
}

// resendAdvice is the message that an operator gets after an unknown outcome.
const resendAdvice = "the change may or may not have been committed: send it again with the same Change-Id and If-Match"

// commitChange commits an operator's change at whichever instance leads. Errors are those of propose.
//
// It retries only if the change was certainly not proposed. After an unknown outcome it returns an error that says so,
// and the operator may send the change again with the same Change-Id.
func (c *Control) commitChange(ctx context.Context, cmd *wire.Command) (*wire.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for {
		res, err := c.proposeOrForward(ctx, cmd)
		if result.Is(err, result.ProposalUnknown) {
			return nil, result.Wrap(err, result.ProposalUnknown, "%s", resendAdvice)
		}
		if !result.Is(err, result.NotLeader) {
			return res, err
		}
		if !pause.For(ctx, retryInterval) {
			return nil, result.Wrap(err, result.ControlUnavailable, "no leader among the control instances").WithRan(result.RanNo)
		}
	}
}

func (c *Control) proposeOrForward(ctx context.Context, cmd *wire.Command) (*wire.CommandResult, error) {
	_, res, err := c.propose(ctx, cmd)
	if !result.Is(err, result.NotLeader) {
		return res, err
	}
	leader := c.leaderInstance()
	address := c.peers.address(leader)
	if address == "" {
		return nil, err
	}
	return c.forward(ctx, address, cmd)
}

// forward sends a change to the leader over a connection of its own. Changes are rare, and an error of this connection
// then concerns only this change.
func (c *Control) forward(ctx context.Context, address string, cmd *wire.Command) (*wire.CommandResult, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	conn, err := link.Dial(ctx, c.options.Network, address, c.dialTLS)
	if err != nil {
		return nil, result.Wrap(err, result.NotLeader, "").WithRan(result.RanNo)
	}
	defer conn.Close()
	reply, err := wire.NewDRPCReplicaLinkClient(conn).Forward(ctx, &wire.Propose{Command: cmd})
	if err != nil {
		return nil, result.Wrap(err, result.ProposalUnknown, "")
	}
	if code := result.Code(reply.GetCode()); code != 0 {
		return nil, result.New(code, "%s", reply.GetMessage())
	}
	return reply.GetResult(), nil
}
