package control_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	roleEntry = wire.Role_ROLE_ENTRY
	roleAgent = wire.Role_ROLE_AGENT
	entryHost = "10.0.1.1"
	agentHost = "10.0.2.1"
)

func readyServer(name string, models ...string) *wire.ServerRecord {
	return &wire.ServerRecord{Server: name, Models: models, Condition: wire.ServerCondition_SERVER_CONDITION_READY}
}

// clients starts one entry and one agent and waits until they are ready.
func (c *cluster) clients() (entry, agent *session.Session, stop func()) {
	entry, stopEntry := c.client("entry-1", entryHost, roleEntry, 1)
	agent, stopAgent := c.client("agent-1", agentHost, roleAgent, 1)
	agent.SetServers([]*wire.ServerRecord{readyServer("server-1", "m"), readyServer("server-2", "m")})
	c.eventually("clients are ready", func() bool {
		return entry.Ready() == nil && agent.Ready() == nil && len(entry.Servers()) == 1 && len(entry.Servers()[0].GetServers()) == 2
	})
	// A registration is acknowledged before the update that lists it arrives.
	c.eventually("clients are listed", func() bool {
		view := entry.View()
		return len(view.Agents) == 1 && len(view.Entries) == 1
	})
	return entry, agent, func() {
		stopEntry()
		stopAgent()
	}
}

// Guards against a change that does not reach all entries, agents and control instances within seconds.
func TestChangeReachesAllProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		entry, agent, stop := c.clients()
		defer stop()
		n := c.follower()
		var class classAnswer
		c.get(n, "/v1/classes/gate-check").decode(t, &class)
		c.put(n, "gate-check", classBody(500), class.Version, "one").decode(t, &class)
		accepted := time.Now()
		c.eventually("all processes have the change", func() bool {
			status := c.status(n)
			for _, i := range append(append(status.Entries, status.Agents...), status.Controls...) {
				if i.ConfigVersion < class.Version || !i.Registered || !i.Connected {
					return false
				}
			}
			return len(status.Entries) == 1 && len(status.Agents) == 1 && len(status.Controls) == 3
		})
		require.Less(t, time.Since(accepted), 4*time.Second, "simulated time")
		for _, s := range []*session.Session{entry, agent} {
			version, classes := s.Config()
			require.Equal(t, class.Version, version)
			require.Equal(t, uint32(500), classes[0].GetDeadlineMs())
		}
	})
}

// Guards against a directory that keeps clients that failed, or removes them by name only: requests would go to the
// servers of a failed agent, and the keys of a failed entry would stay open. A later incarnation must not be removed.
func TestSilentClientsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		entry, _, stop := c.clients()
		stop()
		_ = entry
		watcher, stopWatcher := c.client("entry-2", "10.0.1.2", roleEntry, 1)
		defer stopWatcher()
		c.eventually("both clients are removed", func() bool {
			v := watcher.View()
			return watcher.Ready() == nil && len(v.Agents) == 0 && len(v.Entries) == 1
		})
		again, stopAgain := c.client("agent-1", agentHost, roleAgent, 2)
		defer stopAgain()
		c.eventually("the next incarnation is listed", func() bool {
			return again.Ready() == nil && watcher.View().Agents["agent-1"].GetIncarnation() == 2
		})
	})
}

// Guards against silence that is counted from before the leadership: all agents would be removed after a change of
// leader, since the new leader has received few polls before.
func TestLeaderChangeRemovesNoClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		entry, _, stop := c.clients()
		defer stop()
		removed := false
		entry.Subscribe(func(v *session.View) { removed = removed || len(v.Agents) != 1 || len(v.Entries) != 1 })
		for range 3 {
			n := c.leader()
			for _, host := range []string{entryHost, agentHost} {
				for _, other := range c.instances {
					if other != n {
						c.net.Cut(host, other.host)
					}
				}
			}
			time.Sleep(settings.DefaultControl().Timing.ServerExpire * 2)
			c.stop(n)
			for _, host := range []string{entryHost, agentHost} {
				for _, other := range c.instances {
					c.net.Heal(host, other.host)
				}
			}
			c.start(n)
			c.leader()
			c.eventually("the entry is ready", func() bool { return entry.Ready() == nil })
			time.Sleep(settings.DefaultControl().Timing.ServerExpire * 2)
		}
		synctest.Wait()
		require.False(t, removed)
	})
}

// Guards against an entry that keeps admitting requests while all control instances are cut off from it.
func TestEntryCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		entry, _, stop := c.clients()
		defer stop()
		for _, n := range c.instances {
			c.net.Cut(entryHost, n.host)
		}
		time.Sleep(session.DefaultSilenceBound + 2*session.DefaultPollInterval)
		require.True(t, result.Is(entry.CutOff(), result.CutOffFromControl))
		var class classAnswer
		c.get(c.leader(), "/v1/classes/gate-check").decode(t, &class)
		c.put(c.leader(), "gate-check", classBody(500), class.Version, "one").decode(t, &class)
		for _, n := range c.instances {
			c.net.Heal(entryHost, n.host)
		}
		c.eventually("the entry is ready again", func() bool { return entry.Ready() == nil })
		version, _ := entry.Config()
		require.GreaterOrEqual(t, version, class.Version, "ready only with the change that was accepted meanwhile")
	})
}

// Guards against entries that refuse calls during each election. The leader is cut off from all. The other instances
// must answer polls, unconfirmed, before their clients take them for silent, and not wait for the leader.
func TestElectionDoesNotCutOffEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		entry := session.New(session.Config{
			Instance: "entry-1", Role: wire.Role_ROLE_ENTRY, Incarnation: 1, Zone: "zone-1", Controls: c.links(),
			Network: c.net.Host(entryHost), SilenceBound: settings.DefaultEntry().Timing.CutOff,
		})
		ctx, cancel := context.WithCancel(c.ctx)
		done := make(chan error, 1)
		go func() { done <- entry.Run(ctx) }()
		defer func() { cancel(); <-done }()
		c.eventually("the entry is ready", func() bool { return entry.Ready() == nil })
		leader := c.leader()
		for _, n := range c.instances {
			if n != leader {
				c.net.Cut(leader.host, n.host)
			}
		}
		c.net.Cut(leader.host, entryHost)
		for range 1000 {
			time.Sleep(10 * time.Millisecond)
			require.NoError(t, entry.CutOff())
		}
	})
}

// Guards against orders that exist only in the leader's memory: they would be lost, or executed under an old fence
// number, when the leader stops between sending the order and receiving its result.
func TestOrderSurvivesLeaderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		_, agent, stop := c.clients()
		defer stop()
		place := func(kind wire.OrderKind, server, model string) error {
			return c.leader().control.PlaceOrder(t.Context(), &wire.Order{Kind: kind, Server: server, Model: model})
		}
		require.NoError(t, place(wire.OrderKind_ORDER_KIND_UNLOAD, "server-1", "m"))
		require.True(t, result.Is(place(wire.OrderKind_ORDER_KIND_LOAD, "server-1", "n"), result.ServerBusy))
		require.True(t, result.Is(place(wire.OrderKind_ORDER_KIND_UNLOAD, "server-2", "m"), result.LastReadyCopy))
		order := <-agent.Orders()
		require.Equal(t, "m", order.GetModel())

		old := c.leader()
		fence := c.status(old).Fence
		c.stop(old)
		n := c.leader()
		c.eventually("the new leader has raised the fence", func() bool { return c.status(n).Fence > fence })
		require.True(t, result.Is(c.follower().control.PlaceOrder(t.Context(), order), result.NotLeader))
		agent.Report(&wire.OrderResult{Order: order.GetId(), Server: "server-1", Code: uint32(result.FenceTooOld)})
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, c.status(n).Orders, "a refusal of an old fence number does not close the order")
		agent.Report(&wire.OrderResult{Order: order.GetId(), Server: "server-1", Fence: order.GetFence()})
		c.eventually("the order is closed", func() bool { return c.status(n).Orders == 0 })
		require.Empty(t, agent.Orders(), "the order is not delivered twice")
		require.NoError(t, place(wire.OrderKind_ORDER_KIND_LOAD, "server-1", "n"))
		require.Equal(t, "n", (<-agent.Orders()).GetModel())
	})
}

// Guards against an order that stays open for ever because its server was removed.
func TestOrderOfRemovedServerIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		_, agent, stop := c.clients()
		defer stop()
		n := c.leader()
		require.NoError(t, n.control.PlaceOrder(t.Context(), &wire.Order{Kind: wire.OrderKind_ORDER_KIND_LOAD, Server: "server-1", Model: "n"}))
		agent.SetServers([]*wire.ServerRecord{readyServer("server-2", "m")})
		c.eventually("the order is closed", func() bool { return c.status(n).Orders == 0 })
	})
}

// Guards against a drained server that entries still see as ready.
func TestDrainServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		entry, _, stop := c.clients()
		defer stop()
		n := c.leader()
		a := c.call(n, http.MethodPost, "/v1/servers/server-1/drain", "", nil)
		require.Equal(t, http.StatusOK, a.status, string(a.body))
		c.eventually("the entry sees the server draining", func() bool {
			return entry.Servers()[0].GetServers()[0].GetCondition() == wire.ServerCondition_SERVER_CONDITION_DRAINING
		})
		require.Contains(t, string(c.get(n, "/v1/servers").body), `"draining"`)
	})
}

// Guards against an operation that runs twice when it is sent again through another entry after the first entry failed.
// Its record must be replicated, and the failed entry must be removed.
func TestOperationAfterFailureOfItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		first, _, stop := c.clients()
		other, stopOther := c.client("entry-2", "10.0.1.2", roleEntry, 1)
		defer stopOther()
		c.eventually("the entry is ready", func() bool { return other.Ready() == nil })
		begin := func(s *session.Session, entry, request string) *wire.CommandResult {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			res, err := s.Propose(ctx, &wire.Command{Kind: &wire.Command_BeginOperation{BeginOperation: &wire.BeginOperation{
				Organisation: "union", Key: "k", Digest: []byte("d"), Entry: entry, EntryIncarnation: 1,
				Request: request, Candidates: []string{"server-1"},
			}}})
			require.NoError(t, err)
			return res
		}
		require.Equal(t, wire.BeginOutcome_BEGIN_OUTCOME_BEGUN, begin(first, "entry-1", "r1").GetBegin())
		require.Equal(t, wire.BeginOutcome_BEGIN_OUTCOME_OPEN, begin(other, "entry-2", "r2").GetBegin())
		stop()
		c.eventually("the first entry is removed", func() bool { return len(other.View().Entries) == 1 })
		c.stop(c.leader())
		require.Equal(t, wire.BeginOutcome_BEGIN_OUTCOME_UNKNOWN, begin(other, "entry-2", "r3").GetBegin())
	})
}

// Guards against records of keyed requests that are kept for ever, and against a key that runs again once its record
// has expired.
func TestOldRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, gateCheckClass())
		c.instances[0].settings.Timing.KeyRecords = time.Minute
		c.startAll()
		defer c.stopAll()
		entry, _, stop := c.clients()
		defer stop()
		propose := func(cmd *wire.Command) *wire.CommandResult {
			res, err := entry.Propose(t.Context(), cmd)
			require.NoError(t, err)
			return res
		}
		begin := &wire.Command{Kind: &wire.Command_BeginOperation{BeginOperation: &wire.BeginOperation{
			Organisation: "union", Key: "k", Digest: []byte("d"), Entry: "entry-1", EntryIncarnation: 1, Request: "r",
		}}}
		begun := propose(begin)
		require.Equal(t, wire.BeginOutcome_BEGIN_OUTCOME_BEGUN, begun.GetBegin())
		epoch := begun.GetOperation().GetEpoch()
		propose(&wire.Command{Kind: &wire.Command_CompleteOperation{CompleteOperation: &wire.CompleteOperation{
			Organisation: "union", Key: "k", Request: "r", Epoch: epoch, Answer: &wire.Answer{Status: 200},
		}}})
		time.Sleep(30 * time.Second)
		require.Equal(t, wire.BeginOutcome_BEGIN_OUTCOME_DONE, propose(begin).GetBegin())
		time.Sleep(time.Minute)
		require.Equal(t, uint32(result.KeyTooOld), propose(begin).GetCode())
	})
}

// Guards against a session that changes classes without an operator's key.
func TestSessionMayNotChangeClasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		entry, _, stop := c.clients()
		defer stop()
		version := c.status(c.leader()).ConfigVersion
		_, err := entry.Propose(t.Context(), &wire.Command{Kind: &wire.Command_PutClass{PutClass: &wire.PutClass{
			Change: &wire.OperatorChange{Operator: "olga", ChangeId: "x", IfMatch: version},
			Class:  &wire.Class{Name: "gate-check", Tier: 3, DeadlineMs: 1, Kind: "model", Preempt: "never"},
		}}})
		require.True(t, result.Is(err, result.BadMessage), "%v", err)
		require.Equal(t, version, c.status(c.leader()).ConfigVersion)
	})
}

// Guards against a peer that forwards commands which only the leader may propose, such as raising the fence.
func TestPeersForwardOnlyChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		n := c.leader()
		fence := c.status(n).Fence
		conn, err := link.Dial(t.Context(), c.net.Host("10.0.9.2"), n.settings.Listen.Links, nil)
		require.NoError(t, err)
		defer conn.Close()
		raise := &wire.Command{Kind: &wire.Command_RaiseFence{RaiseFence: &wire.RaiseFence{}}}
		reply, err := wire.NewDRPCReplicaLinkClient(conn).Forward(t.Context(), &wire.Propose{Command: raise})
		require.NoError(t, err)
		require.Equal(t, uint32(result.BadMessage), reply.GetCode())
		require.Equal(t, fence, c.status(n).Fence)
	})
}

// Guards against batches that are bounded only by their number of messages and exceed what the receiver accepts, which
// breaks the link. Many answers of the largest size that is kept are proposed at once.
func TestManyLargeAnswersAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, gateCheckClass())
		c.startAll()
		defer c.stopAll()
		entry, _, stop := c.clients()
		defer stop()
		const many = 200
		codes := make(chan result.Code, many)
		for range many {
			go func() {
				res, err := entry.Propose(t.Context(), &wire.Command{Kind: &wire.Command_CompleteOperation{
					CompleteOperation: &wire.CompleteOperation{
						Organisation: "union", Key: "k", Epoch: 1,
						Answer: &wire.Answer{Body: make([]byte, state.DefaultLimits.AnswerBytes)},
					},
				}})
				if err != nil {
					codes <- result.CodeOf(err)
					return
				}
				codes <- result.Code(res.GetCode())
			}()
		}
		for range many {
			require.Equal(t, result.NotFound, <-codes)
		}
		require.Contains(t, entry.Reachability(), session.Answering)
		require.Zero(t, entry.LinksLost())
	})
}
