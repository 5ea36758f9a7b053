package control_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// evidenceEntry is an entry that only polls, with evidence, and keeps the roll-outs of the last update.
type evidenceEntry struct {
	cluster     *cluster
	host        string
	hello       *wire.ClientHello
	evidence    func() []*wire.RolloutEvidence
	mu          sync.Mutex
	rollouts    []*wire.Rollout
	revertedAt  time.Time
	controlOnly string // if set, the entry polls only this instance
}

// run polls each instance once a second until the returned function is called.
func (e *evidenceEntry) run() (stop func()) {
	ctx, cancel := context.WithCancel(e.cluster.ctx)
	var group sync.WaitGroup
	for _, n := range e.cluster.instances {
		if e.controlOnly != "" && n.settings.Instance != e.controlOnly {
			continue
		}
		group.Go(func() {
			for ctx.Err() == nil {
				e.session(ctx, n.settings.Listen.Links)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	return func() {
		cancel()
		group.Wait()
	}
}

func (e *evidenceEntry) session(ctx context.Context, address string) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := link.Dial(ctx, e.cluster.net.Host(e.host), address, nil)
	if err != nil {
		return
	}
	defer conn.Close()
	stream, err := wire.NewDRPCControlLinkClient(conn).Session(ctx)
	if err != nil {
		return
	}
	received := make(chan struct{})
	defer func() { <-received }()
	defer stream.Close()
	go func() {
		defer close(received)
		defer cancel()
		for {
			batch, err := stream.Recv()
			if err != nil {
				return
			}
			e.receive(batch)
		}
	}()
	message := &wire.ClientMessage{Kind: &wire.ClientMessage_Hello{Hello: e.hello}}
	for sequence := uint64(1); stream.Send(&wire.ClientBatch{Messages: []*wire.ClientMessage{message}}) == nil; sequence++ {
		if sequence > 1 {
			select {
			case <-time.After(time.Second):
			case <-ctx.Done():
				return
			}
		}
		message = &wire.ClientMessage{Kind: &wire.ClientMessage_Poll{Poll: &wire.Poll{Sequence: sequence, Evidence: e.evidence()}}}
	}
}

func (e *evidenceEntry) receive(batch *wire.ControlBatch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, m := range batch.GetMessages() {
		update := m.GetConfig()
		if update.GetRollouts() == nil {
			continue
		}
		e.rollouts = update.GetRollouts().GetRollouts()
		if e.rollouts[0].GetState() == wire.RolloutState_ROLLOUT_STATE_REVERTED && e.revertedAt.IsZero() {
			e.revertedAt = time.Now()
		}
	}
}

func (e *evidenceEntry) lastRollouts() []*wire.Rollout {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rollouts
}

// newEvidenceEntry returns entry i, which reports the same answers of both versions with each poll.
func (c *cluster) newEvidenceEntry(i int, id uint64, counts ...*wire.RolloutCount) *evidenceEntry {
	name := fmt.Sprint("entry-", i)
	return &evidenceEntry{
		cluster: c,
		host:    fmt.Sprintf("10.0.1.%d", i),
		hello:   &wire.ClientHello{Instance: name, Role: wire.Role_ROLE_ENTRY, Incarnation: 1, LinkAddress: name},
		evidence: func() []*wire.RolloutEvidence {
			return []*wire.RolloutEvidence{{Pool: "m", Id: id, Counts: counts}}
		},
	}
}

func answersOf(version string, answers, failures uint64) *wire.RolloutCount {
	return &wire.RolloutCount{Version: version, Class: "one", Answers: answers, Failures: failures, Work: answers, TimeMs: 100 * answers}
}

// startRollout puts a desired state, announces a server of each of the versions v1 and v2, and orders its roll-out within a minute.
func (c *cluster) startRollout(n *instance) *wire.Rollout {
	require.NoError(c.t, n.control.PutDesired(c.ctx, testDesired(1)))
	require.NoError(c.t, n.control.Announce(c.ctx, &wire.Announcement{Server: "s1", Pool: "m", Address: "10.0.3.1:80", Slots: 4, Sequence: 1, Version: "v1"}))
	require.NoError(c.t, n.control.Announce(c.ctx, &wire.Announcement{Server: "s2", Pool: "m", Address: "10.0.3.2:80", Slots: 4, Sequence: 1, Version: "v2"}))
	held, err := n.control.StartRollout(c.ctx, rolloutOrder("v2"))
	require.NoError(c.t, err)
	return held
}

func rolloutOrder(to string) *wire.StartRollout {
	return &wire.StartRollout{Pool: "m", To: to, DurationMs: 60_000}
}

// rollout reads the roll-out of the test's service at an instance.
func (c *cluster) rollout(n *instance) *wire.Rollout {
	ctx, cancel := context.WithTimeout(c.ctx, 5*time.Second)
	defer cancel()
	held, err := n.control.Rollout(ctx, "m")
	if err != nil {
		return nil
	}
	return held
}

func countOf(r *wire.Rollout, version string) *wire.RolloutCount {
	for _, c := range r.GetCounts() {
		if c.GetVersion() == version {
			return c
		}
	}
	return nil
}

// Guards against a roll-out that begins again, or stays undecided, when the leader fails in the middle of it.
func TestRolloutContinuesAfterLeaderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		leader := c.leader()
		ordered := c.startRollout(leader)
		began := time.Now()
		e := c.newEvidenceEntry(1, ordered.GetId(), answersOf("v1", 2000, 0), answersOf("v2", 100, 0))
		defer e.run()()
		c.eventually("the evidence is in the log", func() bool { return countOf(c.rollout(leader), "v2").GetAnswers() == 100 })
		time.Sleep(20 * time.Second)
		c.stop(leader)
		next := c.leader()
		held := c.rollout(next)
		require.Equal(t, ordered.GetId(), held.GetId())
		require.Equal(t, ordered.GetOrderedUnixMs(), held.GetOrderedUnixMs())
		require.EqualValues(t, 100, countOf(held, "v2").GetAnswers())
		require.Equal(t, wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS, held.GetState())
		c.eventually("it is completed", func() bool {
			return c.rollout(next).GetState() == wire.RolloutState_ROLLOUT_STATE_COMPLETED
		})
		require.InDelta(t, 48, time.Since(began).Seconds(), 2, "four fifths of the time since the order")
		c.eventually("entries know", func() bool {
			return e.lastRollouts()[0].GetState() == wire.RolloutState_ROLLOUT_STATE_COMPLETED
		})
		require.Empty(t, e.lastRollouts()[0].GetCounts())
	})
}

// Guards against bad answers that are forgotten with the entry that saw them, or with the leader that heard of them.
func TestEvidenceOfDeadEntriesIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		leader := c.leader()
		id := c.startRollout(leader).GetId()
		stop := c.newEvidenceEntry(1, id, answersOf("v1", 200, 0), answersOf("v2", 10, 3)).run()
		c.eventually("the evidence is in the log", func() bool { return countOf(c.rollout(leader), "v2").GetFailures() == 3 })
		stop()
		c.stop(leader)
		next := c.leader()
		require.Equal(t, wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS, c.rollout(next).GetState(), "three failures are not certain")
		defer c.newEvidenceEntry(2, id, answersOf("v1", 200, 0), answersOf("v2", 10, 3)).run()()
		c.eventually("it is reverted by the answers of both entries", func() bool {
			return c.rollout(next).GetState() == wire.RolloutState_ROLLOUT_STATE_REVERTED
		})
		require.EqualValues(t, 6, countOf(c.rollout(next), "v2").GetFailures())
		require.Contains(t, c.rollout(next).GetReason(), "failures: ")
	})
}

// Guards against evidence that is lost when all control instances restart and the entry that reported it is dead.
func TestEvidenceSurvivesRestartOfAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		leader := c.leader()
		id := c.startRollout(leader).GetId()
		stop := c.newEvidenceEntry(1, id, answersOf("v1", 200, 0), answersOf("v2", 10, 3)).run()
		c.eventually("the evidence is in the log", func() bool { return countOf(c.rollout(leader), "v2").GetFailures() == 3 })
		stop()
		c.stopAll()
		c.startAll()
		n := c.leader()
		defer c.newEvidenceEntry(2, id, answersOf("v1", 300, 0), answersOf("v2", 30, 1)).run()()
		c.eventually("the evidence of the other entry is in the log", func() bool { return countOf(c.rollout(n), "v2").GetAnswers() == 30 })
		require.EqualValues(t, 3, countOf(c.rollout(n), "v2").GetFailures(), "the log is a lower bound")
		require.Equal(t, id, c.rollout(n).GetId())
	})
}

// Guards against a bad version that stays for longer than 5 s since the leader alone does not hear the entry that sees it.
func TestLeaderGetsEvidenceThatOnlyAFollowerHears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		id := c.startRollout(c.leader()).GetId()
		e := c.newEvidenceEntry(1, id, answersOf("v1", 1000, 0), answersOf("v2", 60, 50))
		e.controlOnly = c.follower().settings.Instance
		began := time.Now()
		defer e.run()()
		c.eventually("entries know that it is reverted", func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return !e.revertedAt.IsZero()
		})
		require.Less(t, e.revertedAt.Sub(began), 5*time.Second)
	})
}

// Guards against an order that is refused, lost or begun again when its acknowledgement was lost and it is sent to
// another instance, also during an election and after a restart of all instances.
func TestRolloutOrderIsAcknowledgedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		require.NoError(t, c.leader().control.PutDesired(t.Context(), testDesired(1)))
		leader, follower := c.leader(), c.follower()
		lost, cancel := context.WithTimeout(t.Context(), time.Nanosecond)
		defer cancel()
		_, err := follower.control.StartRollout(lost, rolloutOrder("v2"))
		require.True(t, err == nil || result.Is(err, result.ControlUnavailable), "%v", err)
		first, err := follower.control.StartRollout(t.Context(), rolloutOrder("v2"))
		require.NoError(t, err)
		for _, n := range c.instances {
			again, err := n.control.StartRollout(t.Context(), rolloutOrder("v2"))
			require.NoError(t, err)
			require.Equal(t, first.GetId(), again.GetId())
			_, err = n.control.StartRollout(t.Context(), rolloutOrder("v3"))
			require.True(t, result.Is(err, result.RolloutInProgress), "%v", err)
		}
		c.stop(leader)
		again, err := follower.control.StartRollout(t.Context(), rolloutOrder("v2"))
		require.NoError(t, err, "during an election")
		require.Equal(t, first.GetId(), again.GetId())
		c.stopAll()
		c.startAll()
		c.leader()
		for _, n := range c.instances {
			c.eventually("each instance has it after a restart", func() bool { return c.rollout(n).GetId() == first.GetId() })
		}
	})
}

// Guards against an answer from an instance that can't be sure: it would show a state that was acknowledged as changed, or
// acknowledge an order that is not committed.
func TestRolloutsNeedAQuorum(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3)
		c.startAll()
		defer c.stopAll()
		c.startRollout(c.leader())
		n := c.leader()
		for _, other := range c.instances {
			if other != n {
				c.net.Cut(n.host, other.host)
			}
		}
		time.Sleep(10 * time.Second)
		require.Equal(t, http.StatusServiceUnavailable, c.get(n, "/v1/rollouts/m").status)
		require.Equal(t, http.StatusServiceUnavailable, c.get(n, "/v1/rollouts").status)
		order := c.call(n, http.MethodPost, "/v1/rollouts", `{"service": "m", "to": "v2", "duration_ms": 60000}`, nil)
		require.Equal(t, http.StatusServiceUnavailable, order.status, string(order.body))
	})
}

// Guards against orders that are accepted though they can't be carried out, answers without a code, and a status or
// metrics that don't show a roll-out.
func TestRolloutsInTheOperatorsInterface(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		c.startAll()
		defer c.stopAll()
		n := c.leader()
		require.NoError(t, n.control.PutDesired(t.Context(), testDesired(1)))
		require.NoError(t, n.control.Announce(t.Context(), &wire.Announcement{Server: "s1", Pool: "m", Address: "10.0.3.1:80", Slots: 4, Sequence: 1, Version: "v1"}))
		require.NoError(t, n.control.Announce(t.Context(), &wire.Announcement{Server: "s2", Pool: "m", Address: "10.0.3.2:80", Slots: 4, Sequence: 1, Version: "v2"}))
		order := func(body string) answer { return c.call(n, http.MethodPost, "/v1/rollouts", body, nil) }
		for _, refused := range []struct {
			body string
			code result.Code
		}{
			{`{"service": "x", "to": "v2", "duration_ms": 60000}`, result.InvalidRollout},
			{`{"service": "m", "to": "", "duration_ms": 60000}`, result.InvalidRollout},
			{`{"service": "m", "to": "v2", "duration_ms": 10}`, result.InvalidRollout},
			{`{"service": "m", "to": 2, "duration_ms": 60000}`, result.InvalidRollout},
			{`{"service": "m", "to": "v2", "duration_ms": 60000, "share": 1}`, result.InvalidRollout},
			{`{"service"`, result.InvalidRollout},
		} {
			require.Equal(t, int(refused.code), order(refused.body).code(t), refused.body)
		}
		require.Equal(t, int(result.UnknownRollout), c.get(n, "/v1/rollouts/m").code(t))
		require.Equal(t, http.StatusUnauthorized, c.call(n, http.MethodGet, "/v1/rollouts", "", map[string]string{"Authorization": ""}).status)
		var got struct {
			Service, To, State, Reason string
			ID                         uint64
		}
		started := order(`{"service": "m", "to": "v2", "duration_ms": 60000}`)
		require.Equal(t, http.StatusOK, started.status, string(started.body))
		started.decode(t, &got)
		require.Equal(t, "in_progress", got.State)
		require.Equal(t, int(result.RolloutInProgress), order(`{"service": "m", "to": "v3", "duration_ms": 60000}`).code(t))

		defer c.newEvidenceEntry(1, got.ID, answersOf("v1", 1000, 0), answersOf("v2", 60, 50)).run()()
		c.eventually("it is reverted", func() bool {
			c.get(n, "/v1/rollouts/m").decode(t, &got)
			return got.State == "reverted"
		})
		require.Contains(t, got.Reason, "failures: ")
		require.Contains(t, string(c.get(n, "/v1/rollouts").body), `"failures":50`)
		require.Contains(t, string(c.get(n, "/v1/status").body), `"state":"reverted"`)
		time.Sleep(time.Second)
		var metrics bytes.Buffer
		n.control.Metrics().WritePrometheus(&metrics)
		require.Contains(t, metrics.String(), `carawaypitch_rollout_verdicts_total{reason="failures"} 1`)
		require.Contains(t, metrics.String(), `carawaypitch_rollouts{state="reverted"} 1`)
		require.Contains(t, metrics.String(), `carawaypitch_rollout_answers_total{service="m",version="v2",outcome="failed"} 50`)
	})
}
