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
	asEntry = wire.Role_ROLE_ENTRY
	asAgent = wire.Role_ROLE_AGENT
)

// Symptom: a process that has just started serves by classes that were replaced long ago.
// Sequence: it reaches control instances that can't confirm, or that name a version which hasn't come yet.
// Cause: taking any answer for a confirmed one.
func TestNotReadyBeforeAConfirmedRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes(t, 3, asEntry, func(c *fakeControl) { c.confirmed = false })
		time.Sleep(10 * time.Second)
		require.True(t, result.Is(f.session.Ready(), result.Starting))
		for _, c := range f.controls {
			c.set(func(c *fakeControl) { c.confirmed, c.version = true, 8 })
		}
		time.Sleep(10 * time.Second)
		require.True(t, result.Is(f.session.Ready(), result.Starting), "version 8 isn't here")
		f.controls[1].pushConfig(config(8, 0, true, "a"))
		f.ready()
		version, classes := f.session.Config()
		require.Equal(t, uint64(8), version)
		require.Len(t, classes, 1)
	})
}

// Symptom: requests are admitted by an entry that control has long taken for dead.
// Sequence: two of three control instances are cut off silently; then the third, too; then all come back.
// Cause: a process that doesn't notice silence, or comes back before it has caught up.
func TestCutOffAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes(t, 3, asEntry)
		f.ready()
		f.net.Cut(clientHost, f.controls[0].host)
		f.net.Cut(clientHost, f.controls[1].host)
		time.Sleep(time.Minute)
		require.NoError(t, f.session.CutOff(), "the third confirms")
		f.controls[2].set(func(c *fakeControl) { c.confirmed = false })
		time.Sleep(DefaultSilenceBound + 2*DefaultPollInterval)
		require.True(t, result.Is(f.session.CutOff(), result.CutOffFromControl))
		require.True(t, result.Is(f.session.Ready(), result.CutOffFromControl))
		for _, c := range f.controls {
			c.set(func(c *fakeControl) { c.version = 9 })
			f.net.Heal(clientHost, c.host)
		}
		time.Sleep(time.Minute)
		require.Error(t, f.session.CutOff(), "version 9 isn't here")
		f.controls[0].pushConfig(config(9, 0, true, "a"))
		f.eventually("back", func() bool { return f.session.CutOff() == nil })
	})
}

// Symptom: an entry admits for longer than the bound after it was cut off.
// Sequence: answers take long to come back; then the link is cut.
// Cause: silence that is counted from when the last answer came, not from when its poll was sent.
func TestSlowAnswersCountFromTheirPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes(t, 3, asEntry)
		const slow = 1500 * time.Millisecond
		for _, c := range f.controls {
			f.net.Delay(c.host, clientHost, slow)
		}
		f.ready()
		time.Sleep(20 * time.Second)
		require.NoError(t, f.session.CutOff())
		for _, c := range f.controls {
			f.net.Cut(clientHost, c.host)
		}
		time.Sleep(DefaultSilenceBound - slow + 100*time.Millisecond)
		require.Error(t, f.session.CutOff())
	})
}

// A dead control as a whole changes nothing, so work goes on.
func TestAllControlsDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes(t, 3, asEntry)
		f.ready()
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

// Symptom: an entry and an agent act on one request by different configurations.
// Sequence: the agent has a newer version and stamps it on a message, before control's update reaches the entry.
// Cause: acting on the message before fetching.
func TestObserveVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes(t, 1, asEntry)
		f.ready()
		var seen []uint64
		f.session.Subscribe(func(v *View) { seen = append(seen, v.ConfigVersion) })
		require.True(t, f.session.ObserveVersion(0))
		polls := f.session.ids.Load()
		require.False(t, f.session.ObserveVersion(5))
		require.Greater(t, f.session.ids.Load(), polls, "it asks at once")
		f.controls[0].pushConfig(config(4, 0, true, "a"))
		f.controls[0].pushConfig(config(6, 4, false, "b"))
		f.eventually("fetched", func() bool { return f.session.ObserveVersion(5) })
		synctest.Wait()
		require.Equal(t, []uint64{0, 4, 6}, seen)
	})
}

// Symptom: an update is lost and never made up for.
// Sequence: a delta comes whose base isn't known here.
// Cause: going on with the link as if nothing was missing.
func TestGapStartsTheLinkAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes(t, 1, asEntry)
		f.controls[0].set(func(c *fakeControl) { c.version = 0 })
		f.ready()
		f.controls[0].pushConfig(config(6, 0, true, "a"))
		f.controls[0].pushConfig(config(9, 8, false, "b"))
		f.eventually("a second hello", func() bool {
			c := f.controls[0]
			c.mu.Lock()
			defer c.mu.Unlock()
			return len(c.hellos) == 2 && c.hellos[1].GetConfigVersion() == 6
		})
	})
}

func isBegin(cmd *wire.Command) bool { return cmd.GetBeginOperation() != nil }
func isOrder(cmd *wire.Command) bool { return cmd.GetPutOrder() != nil }

func beginCommand() *wire.Command {
	return &wire.Command{Kind: &wire.Command_BeginOperation{BeginOperation: &wire.BeginOperation{Request: "r"}}}
}

func orderCommand() *wire.Command {
	return &wire.Command{Kind: &wire.Command_PutOrder{PutOrder: &wire.PutOrder{}}}
}

func replyCode(code result.Code, leader string) func(*wire.Propose) *wire.ProposeReply {
	return func(p *wire.Propose) *wire.ProposeReply {
		return &wire.ProposeReply{Id: p.GetId(), Code: uint32(code), Leader: leader}
	}
}

// Symptom: a caller is told "not run" though the record says that it may have, or the other way round.
// Sequence: the leader refuses, is another one, is silent after the proposal, or dies.
// Cause: a lost outcome that is taken for a refusal, or a command sent twice that isn't idempotent.
func TestProposals(t *testing.T) {
	silent := func(*wire.Propose) *wire.ProposeReply { return nil }
	cases := []struct {
		name      string
		replies   [2]func(*wire.Propose) *wire.ProposeReply // of control-1, which all take for the leader, and control-2
		cmd       *wire.Command
		code      result.Code
		atSecond  bool // proposed at control-2
		firstOnce bool // proposed once at control-1
	}{
		{"accepted", [2]func(*wire.Propose) *wire.ProposeReply{accept, accept}, beginCommand(), 0, false, true},
		{"not the leader", [2]func(*wire.Propose) *wire.ProposeReply{replyCode(result.NotLeader, "control-2"), accept}, orderCommand(), 0, true, true},
		{"nobody leads", [2]func(*wire.Propose) *wire.ProposeReply{replyCode(result.NotLeader, ""), replyCode(result.NotLeader, "")}, beginCommand(), result.ControlUnavailable, true, false},
		{"queue full", [2]func(*wire.Propose) *wire.ProposeReply{replyCode(result.ProposalQueueFull, ""), accept}, beginCommand(), result.ProposalQueueFull, false, true},
		{"lost, idempotent", [2]func(*wire.Propose) *wire.ProposeReply{silent, accept}, beginCommand(), 0, true, true},
		{"unknown, idempotent", [2]func(*wire.Propose) *wire.ProposeReply{replyCode(result.ProposalUnknown, ""), accept}, beginCommand(), 0, true, true},
		{"lost, not idempotent", [2]func(*wire.Propose) *wire.ProposeReply{silent, accept}, orderCommand(), result.ProposalUnknown, false, true},
		{"unknown, not idempotent", [2]func(*wire.Propose) *wire.ProposeReply{replyCode(result.ProposalUnknown, ""), accept}, orderCommand(), result.ProposalUnknown, false, true},
		{"lost, then refused", [2]func(*wire.Propose) *wire.ProposeReply{silent, replyCode(result.ProposalQueueFull, "")}, beginCommand(), result.ProposalUnknown, true, false},
		{"lost everywhere", [2]func(*wire.Propose) *wire.ProposeReply{silent, silent}, beginCommand(), result.ProposalUnknown, true, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakes(t, 2, asEntry, func(c *fakeControl) { c.leader = "control-1" })
				f.ready()
				for i, reply := range test.replies {
					f.controls[i].set(func(c *fakeControl) { c.propose = reply })
				}
				// The end falls between two tries, which are retryPause apart. A try that it cuts short has an
				// unknown outcome, whatever the reply would have been.
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second+retryPause/2)
				defer cancel()
				_, err := f.session.Propose(ctx, test.cmd)
				require.Equal(t, test.code, result.CodeOf(err), "%v", err)
				wanted := isBegin
				if test.cmd.GetPutOrder() != nil {
					wanted = isOrder
				}
				require.Equal(t, test.atSecond, f.controls[1].count(wanted) > 0)
				require.Equal(t, test.firstOnce, f.controls[0].count(wanted) == 1)
			})
		})
	}
}

func TestProposeWithoutLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakes(t, 2, asEntry)
		f.ready()
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

// Symptom: an agent is alive, and no request comes to its servers any more.
// Sequence: the agent is cut off for a while; the leader removes it; the link comes back.
// Cause: a registration that is made once only.
func TestRegistrationIsKept(t *testing.T) {
	isRegistration := func(cmd *wire.Command) bool { return cmd.GetRegisterAgent() != nil }
	synctest.Test(t, func(t *testing.T) {
		f := newFakes(t, 1, asAgent)
		c := f.controls[0]
		f.ready()
		listed := &wire.DirectoryUpdate{Version: 3, Full: true, Agents: []*wire.AgentRecord{{Agent: "me", Incarnation: 7}}}
		c.push(&wire.ControlMessage{Kind: &wire.ControlMessage_Directory{Directory: listed}})
		time.Sleep(10 * time.Second)
		before := c.count(isRegistration)
		time.Sleep(10 * time.Second)
		require.Equal(t, before, c.count(isRegistration), "listed, so nothing to do")

		f.session.SetServers([]*wire.ServerRecord{{Server: "s"}})
		f.eventually("the new server is registered", func() bool { return c.count(isRegistration) == before+1 })
		gone := &wire.DirectoryUpdate{Version: 5, Full: true}
		c.push(&wire.ControlMessage{Kind: &wire.ControlMessage_Directory{Directory: gone}})
		f.eventually("registered again", func() bool { return c.count(isRegistration) > before+1 })
		c.mu.Lock()
		defer c.mu.Unlock()
		last := c.proposals[len(c.proposals)-1].GetRegisterAgent().GetAgent()
		require.Equal(t, "s", last.GetServers()[0].GetServer())
		require.Equal(t, uint64(7), last.GetIncarnation())
	})
}

// Symptom: a stopped agent is in the directory until its silence is noticed.
// Sequence: the agent proposes its own removal at its stop; its session sees it missing, and registers it again.
// Cause: a registration that is kept against the process's own will.
func TestOwnEndIsKept(t *testing.T) {
	isRegistration := func(cmd *wire.Command) bool { return cmd.GetRegisterAgent() != nil }
	synctest.Test(t, func(t *testing.T) {
		f := newFakes(t, 1, asAgent)
		f.ready()
		end := &wire.RemoveAgent{Agent: "me", Incarnation: 7}
		_, err := f.session.Propose(t.Context(), &wire.Command{Kind: &wire.Command_RemoveAgent{RemoveAgent: end}})
		require.NoError(t, err)
		before := f.controls[0].count(isRegistration)
		time.Sleep(time.Minute)
		require.Equal(t, before, f.controls[0].count(isRegistration))
	})
}

// Symptom: an engine obeys a leader that was replaced, or does one order twice.
// Sequence: orders come again, from older leaders, after their result, and while the agent is cut off.
// Cause: an agent that obeys whatever arrives.
func TestOrders(t *testing.T) {
	order := func(id, fence uint64) *wire.Order {
		return &wire.Order{Id: id, Fence: fence, Server: "s", Committed: true}
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFakes(t, 1, asAgent)
		c := f.controls[0]
		f.ready()
		results := func(count int) []*wire.OrderResult {
			synctest.Wait()
			c.mu.Lock()
			defer c.mu.Unlock()
			require.Len(t, c.results, count)
			return c.results
		}
		c.pushOrder(order(1, 10))
		c.pushOrder(order(1, 10))
		c.pushOrder(order(1, 20)) // again, by the next leader
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
		require.Equal(t, uint32(result.FenceTooOld), results(5)[4].GetCode(), "the fence came with the configuration")
		require.Empty(t, f.session.Orders())

		c.set(func(c *fakeControl) { c.isMute = true })
		time.Sleep(DefaultSilenceBound + DefaultPollInterval)
		require.Error(t, f.session.CutOff())
		f.eventually("a new link", func() bool { return f.session.all()[0].isUp() })
		c.pushOrder(order(5, 30))
		synctest.Wait()
		require.Empty(t, f.session.Orders(), "no order while cut off")
	})
}
