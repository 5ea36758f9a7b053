package session

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	roleEntry = wire.Role_ROLE_ENTRY
	roleAgent = wire.Role_ROLE_AGENT
)

// Guards against a process that, just started, serves by classes that have long been replaced. It happens if an answer
// counts that no quorum confirmed, or that gives a version which has not arrived yet.
func TestNotReadyBeforeConfirmedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(t, 3, roleEntry, func(c *fakeControl) { c.confirmed = false })
		time.Sleep(10 * time.Second)
		require.True(t, result.Is(f.session.Ready(), result.Starting))
		for _, c := range f.controls {
			c.update(func(c *fakeControl) { c.confirmed, c.version = true, 8 })
		}
		time.Sleep(10 * time.Second)
		require.True(t, result.Is(f.session.Ready(), result.Starting), "version 8 has not arrived")
		f.controls[1].pushConfig(configUpdate(8, 0, true, "a"))
		f.awaitReady()
		version, classes := f.session.Config()
		require.Equal(t, uint64(8), version)
		require.Len(t, classes, 1)
	})
}

// Guards against an entry that admits requests after control has declared it dead, because it ignores silence or recovers
// before it has the newest version. Two of three control instances are cut off, then the third cannot confirm, then all
// return.
func TestCutOffAndRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(t, 3, roleEntry)
		f.awaitReady()
		f.network.Cut(clientHost, f.controls[0].host)
		f.network.Cut(clientHost, f.controls[1].host)
		time.Sleep(time.Minute)
		require.NoError(t, f.session.CutOff(), "the third instance confirms")
		f.controls[2].update(func(c *fakeControl) { c.confirmed = false })
		time.Sleep(DefaultSilenceBound + 2*DefaultPollInterval)
		require.True(t, result.Is(f.session.CutOff(), result.CutOffFromControl))
		require.True(t, result.Is(f.session.Ready(), result.CutOffFromControl))
		for _, c := range f.controls {
			c.update(func(c *fakeControl) { c.version = 9 })
			f.network.Heal(clientHost, c.host)
		}
		time.Sleep(time.Minute)
		require.Error(t, f.session.CutOff(), "version 9 has not arrived")
		f.controls[0].pushConfig(configUpdate(9, 0, true, "a"))
		f.eventually("recovered from the cut-off", func() bool { return f.session.CutOff() == nil })
	})
}

// Guards against an entry that admits requests for longer than the silence bound after a partition. With slow answers,
// silence must be counted from when the last answered poll was sent, not from when the answer arrived.
func TestSilenceCountsFromPollSendTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(t, 3, roleEntry)
		const slow = 1500 * time.Millisecond
		for _, c := range f.controls {
			f.network.Delay(c.host, clientHost, slow)
		}
		f.awaitReady()
		time.Sleep(20 * time.Second)
		require.NoError(t, f.session.CutOff())
		for _, c := range f.controls {
			f.network.Cut(clientHost, c.host)
		}
		time.Sleep(DefaultSilenceBound - slow + 100*time.Millisecond)
		require.Error(t, f.session.CutOff())
	})
}

// When control as a whole is down nothing can change, so the process must not count as cut off.
func TestNotCutOffWhenAllControlsRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(t, 3, roleEntry)
		f.awaitReady()
		for _, c := range f.controls {
			c.stop()
		}
		time.Sleep(10 * time.Minute)
		require.NoError(t, f.session.CutOff())
		require.Equal(t, []Reachability{Refusing, Refusing, Refusing}, f.session.Reachability())
		for _, c := range f.controls {
			f.start(c)
		}
	})
}

// Guards against an entry and an agent that handle one request by different configurations. The agent stamps a newer
// version on a message before the update reaches the entry, which must fetch that version first.
func TestObserveVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(t, 1, roleEntry)
		f.awaitReady()
		var seen []uint64
		f.session.Subscribe(func(v *View) { seen = append(seen, v.ConfigVersion) })
		require.True(t, f.session.ObserveVersion(0))
		polls := f.session.ids.Load()
		require.False(t, f.session.ObserveVersion(5))
		require.Greater(t, f.session.ids.Load(), polls, "must poll at once")
		f.controls[0].pushConfig(configUpdate(4, 0, true, "a"))
		f.controls[0].pushConfig(configUpdate(6, 4, false, "b"))
		f.eventually("fetched", func() bool { return f.session.ObserveVersion(5) })
		synctest.Wait()
		require.Equal(t, []uint64{0, 4, 6}, seen)
	})
}

// Guards against an update that is lost for good: a delta with an unknown base must end the link, so that the next hello
// requests what is missing.
func TestGapRestartsLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(t, 1, roleEntry)
		f.controls[0].update(func(c *fakeControl) { c.version = 0 })
		f.awaitReady()
		f.controls[0].pushConfig(configUpdate(6, 0, true, "a"))
		f.controls[0].pushConfig(configUpdate(9, 8, false, "b"))
		f.eventually("a second hello", func() bool {
			c := f.controls[0]
			c.mu.Lock()
			defer c.mu.Unlock()
			return len(c.hellos) == 2 && c.hellos[1].GetConfigVersion() == 6
		})
	})
}

func isBeginOperation(cmd *wire.Command) bool { return cmd.GetBeginOperation() != nil }
func isPutOrder(cmd *wire.Command) bool       { return cmd.GetPutOrder() != nil }

func beginCommand() *wire.Command {
	return &wire.Command{Kind: &wire.Command_BeginOperation{BeginOperation: &wire.BeginOperation{Request: "r"}}}
}

func orderCommand() *wire.Command {
	return &wire.Command{Kind: &wire.Command_PutOrder{PutOrder: &wire.PutOrder{}}}
}

func replyWithCode(code result.Code, leader string) func(*wire.Propose) *wire.ProposeReply {
	return func(p *wire.Propose) *wire.ProposeReply {
		return &wire.ProposeReply{Id: p.GetId(), Code: uint32(code), Leader: leader}
	}
}

// Guards against telling a caller that a command was not run when it may have been, or the reverse. The leader refuses,
// has changed, does not answer after the proposal, or fails; a lost outcome must not count as a refusal, and a command that
// is not idempotent must not be sent twice.
func TestProposals(t *testing.T) {
	noReply := func(*wire.Propose) *wire.ProposeReply { return nil }
	cases := []struct {
		name             string
		replies          [2]func(*wire.Propose) *wire.ProposeReply // of control-1, which all instances name as the leader, and of control-2
		cmd              *wire.Command
		code             result.Code
		reachesSecond    bool // proposed at control-2
		reachesFirstOnce bool // proposed exactly once at control-1
	}{
		{"accepted", [2]func(*wire.Propose) *wire.ProposeReply{acceptProposal, acceptProposal}, beginCommand(), 0, false, true},
		{"not the leader", [2]func(*wire.Propose) *wire.ProposeReply{replyWithCode(result.NotLeader, "control-2"), acceptProposal}, orderCommand(), 0, true, true},
		{"no leader", [2]func(*wire.Propose) *wire.ProposeReply{replyWithCode(result.NotLeader, ""), replyWithCode(result.NotLeader, "")}, beginCommand(), result.ControlUnavailable, true, false},
		{"queue full", [2]func(*wire.Propose) *wire.ProposeReply{replyWithCode(result.ProposalQueueFull, ""), acceptProposal}, beginCommand(), result.ProposalQueueFull, false, true},
		{"lost, idempotent", [2]func(*wire.Propose) *wire.ProposeReply{noReply, acceptProposal}, beginCommand(), 0, true, true},
		{"unknown, idempotent", [2]func(*wire.Propose) *wire.ProposeReply{replyWithCode(result.ProposalUnknown, ""), acceptProposal}, beginCommand(), 0, true, true},
		{"lost, not idempotent", [2]func(*wire.Propose) *wire.ProposeReply{noReply, acceptProposal}, orderCommand(), result.ProposalUnknown, false, true},
		{"unknown, not idempotent", [2]func(*wire.Propose) *wire.ProposeReply{replyWithCode(result.ProposalUnknown, ""), acceptProposal}, orderCommand(), result.ProposalUnknown, false, true},
		{"lost, then refused", [2]func(*wire.Propose) *wire.ProposeReply{noReply, replyWithCode(result.ProposalQueueFull, "")}, beginCommand(), result.ProposalUnknown, true, false},
		{"lost at both", [2]func(*wire.Propose) *wire.ProposeReply{noReply, noReply}, beginCommand(), result.ProposalUnknown, true, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeCluster(t, 2, roleEntry, func(c *fakeControl) { c.leader = "control-1" })
				f.awaitReady()
				for i, reply := range test.replies {
					f.controls[i].update(func(c *fakeControl) { c.propose = reply })
				}
				// The deadline falls between two rounds, which are retryDelay apart. A proposal that it interrupts has an
				// unknown outcome, whatever the reply would have been.
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+retryDelay/2)
				defer cancel()
				_, err := f.session.Propose(ctx, test.cmd)
				require.Equal(t, test.code, result.CodeOf(err), "%v", err)
				wanted := isBeginOperation
				if test.cmd.GetPutOrder() != nil {
					wanted = isPutOrder
				}
				require.Equal(t, test.reachesSecond, f.controls[1].countProposals(wanted) > 0)
				require.Equal(t, test.reachesFirstOnce, f.controls[0].countProposals(wanted) == 1)
			})
		})
	}
}

func TestProposeWithoutLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(t, 2, roleEntry)
		f.awaitReady()
		f.controls[0].stop()
		f.controls[1].stop()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.session.Propose(ctx, beginCommand())
		require.True(t, result.Is(err, result.ControlUnavailable))
		f.start(f.controls[0])
		f.start(f.controls[1])
	})
}

// Guards against an agent that is alive but gets no requests: after a partition during which the leader removed the agent,
// it must register again.
func TestRegistrationIsRenewed(t *testing.T) {
	isRegistration := func(cmd *wire.Command) bool { return cmd.GetRegisterAgent() != nil }
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(t, 1, roleAgent)
		c := f.controls[0]
		f.awaitReady()
		listed := &wire.DirectoryUpdate{Version: 3, Full: true, Agents: []*wire.AgentRecord{{Agent: "me", Incarnation: 7}}}
		c.push(&wire.ControlMessage{Kind: &wire.ControlMessage_Directory{Directory: listed}})
		time.Sleep(10 * time.Second)
		before := c.countProposals(isRegistration)
		time.Sleep(10 * time.Second)
		require.Equal(t, before, c.countProposals(isRegistration), "a listed agent must not register again")

		f.session.SetServers([]*wire.ServerRecord{{Server: "s"}})
		f.eventually("the new server is registered", func() bool { return c.countProposals(isRegistration) == before+1 })
		gone := &wire.DirectoryUpdate{Version: 5, Full: true}
		c.push(&wire.ControlMessage{Kind: &wire.ControlMessage_Directory{Directory: gone}})
		f.eventually("registered again", func() bool { return c.countProposals(isRegistration) > before+1 })
		c.mu.Lock()
		defer c.mu.Unlock()
		last := c.proposals[len(c.proposals)-1].GetRegisterAgent().GetAgent()
		require.Equal(t, "s", last.GetServers()[0].GetServer())
		require.Equal(t, uint64(7), last.GetIncarnation())
	})
}

// Guards against a stopped agent that stays in the directory until its silence is noticed: once the agent has proposed its
// own removal, its session must not register it again.
func TestRemovedAgentStaysUnregistered(t *testing.T) {
	isRegistration := func(cmd *wire.Command) bool { return cmd.GetRegisterAgent() != nil }
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(t, 1, roleAgent)
		f.awaitReady()
		end := &wire.RemoveAgent{Agent: "me", Incarnation: 7}
		_, err := f.session.Propose(t.Context(), &wire.Command{Kind: &wire.Command_RemoveAgent{RemoveAgent: end}})
		require.NoError(t, err)
		before := f.controls[0].countProposals(isRegistration)
		time.Sleep(time.Minute)
		require.Equal(t, before, f.controls[0].countProposals(isRegistration))
	})
}

// Guards against an engine that follows a replaced leader or carries out one order twice. Orders arrive again from older
// leaders, after their result, and while the agent is cut off.
func TestOrders(t *testing.T) {
	order := func(id, fence uint64) *wire.Order {
		return &wire.Order{Id: id, Fence: fence, Server: "s", Committed: true}
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster(t, 1, roleAgent)
		c := f.controls[0]
		f.awaitReady()
		results := func(count int) []*wire.OrderResult {
			synctest.Wait()
			c.mu.Lock()
			defer c.mu.Unlock()
			require.Len(t, c.results, count)
			return c.results
		}
		c.pushOrder(order(1, 10))
		c.pushOrder(order(1, 10))
		c.pushOrder(order(1, 20)) // repeated by the next leader
		synctest.Wait()
		require.Len(t, f.session.Orders(), 1)
		require.Equal(t, uint64(1), (<-f.session.Orders()).GetId())
		c.pushOrder(order(2, 10))
		require.Equal(t, uint32(result.FenceTooOld), results(1)[0].GetCode())

		f.session.Report(&wire.OrderResult{Order: 1, Server: "s", Fence: 20})
		results(2)
		c.pushOrder(order(1, 20))
		results(3) // the result is sent again
		uncommitted := order(3, 20)
		uncommitted.Committed = false
		c.pushOrder(uncommitted)
		require.Equal(t, uint32(result.FenceTooOld), results(4)[3].GetCode())

		raised := &wire.ConfigUpdate{Fence: 30}
		c.pushConfig(raised)
		c.pushOrder(order(4, 20))
		require.Equal(t, uint32(result.FenceTooOld), results(5)[4].GetCode(), "the fence number of the configuration applies to orders")
		require.Empty(t, f.session.Orders())

		c.update(func(c *fakeControl) { c.ignoresPolls = true })
		time.Sleep(DefaultSilenceBound + DefaultPollInterval)
		require.Error(t, f.session.CutOff())
		f.eventually("a new link", func() bool { return f.session.knownPeers()[0].isConnected() })
		c.pushOrder(order(5, 30))
		synctest.Wait()
		require.Empty(t, f.session.Orders(), "no order while cut off")
	})
}
