package entry

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/clock"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// addServiceVersion adds a service whose server runs a version.
func (h *harness) addServiceVersion(number int, version string) *fakeAgent {
	h.t.Helper()
	a := h.addAgent(number, settings.KindService, "registry")
	a.version = version
	h.control.publish(func(v *session.View) { v.Agents[a.name] = a.record() })
	synctest.Wait()
	return a
}

func (h *harness) publishRollout(state wire.RolloutState) {
	h.t.Helper()
	h.control.publish(func(v *session.View) {
		v.ConfigVersion++
		v.Rollouts = []*wire.Rollout{{Pool: "registry", To: "v2", Id: 40, State: state, Reason: "by the test"}}
	})
	synctest.Wait()
}

// checkMany makes calls one after the other, with contact to control before each, and returns how many were answered.
func (h *harness) checkMany(n int) int {
	h.t.Helper()
	answered := 0
	for range n {
		h.entries[0].controlConfirmed(clock.SinceBoot())
		if h.call(1, "POST", checkPath, `{}`, gateCheckHeader).status == 200 {
			answered++
		}
		time.Sleep(10 * time.Millisecond)
		synctest.Wait()
	}
	return answered
}

// metric returns the value of a counter as it is exported, "" if there is none.
func (h *harness) metric(name string) string {
	var text strings.Builder
	h.entries[0].Metrics().WritePrometheus(&text)
	for line := range strings.Lines(text.String()) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// Guards against an entry in which the parts of a roll-out don't work together: the order and the verdict reach the scheduler, a
// bounded part of the calls reaches the new version, its failures are retried and stop its use, and the sums reach control.
func TestRolloutAtAnEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		e := h.entries[0]
		for i := range 4 {
			h.addServiceVersion(i+1, "v1")
		}
		require.Equal(t, 40, h.checkMany(40))
		require.Nil(t, e.rolloutEvidence(), "nothing is in force before an order")
		require.Empty(t, h.metric(`carawaypitch_rollout_sends_total{pool="registry",role="old"}`))

		h.publishRollout(wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS)
		fresh := h.addServiceVersion(5, "v2")
		early := fresh.dispatchCount("")
		require.Equal(t, 200, h.checkMany(200))
		require.Equal(t, 10, fresh.dispatchCount("")-early, "half of a tenth")
		require.Equal(t, "10", h.metric(`carawaypitch_rollout_answers_total{pool="registry",role="new"}`))
		time.Sleep(2 * evidenceSampleInterval)
		evidence := e.rolloutEvidence()
		require.Len(t, evidence, 1)
		require.Equal(t, uint64(40), evidence[0].GetId())
		answers := map[string]uint64{}
		for _, count := range evidence[0].GetCounts() {
			require.Equal(t, "gate-check", count.GetClass())
			answers[count.GetVersion()] += count.GetAnswers()
		}
		require.Equal(t, map[string]uint64{"v1": 190, "v2": 10}, answers)

		fresh.setHandlers(func(d *receivedDispatch) { d.sendOver(failedProof()) }, nil)
		require.Equal(t, 600, h.checkMany(600), "what fails at the new version is answered by an old one")
		require.Equal(t, 22, fresh.dispatchCount("")-early, "it stops after a dozen failures of its own")
		var status []sched.RolloutStatus
		require.NoError(t, e.queryScheduler(t.Context(), func(s *sched.Scheduler) { status = s.Rollouts() }))
		require.True(t, status[0].Stopped)

		h.publishRollout(wire.RolloutState_ROLLOUT_STATE_REVERTED)
		require.Nil(t, e.rolloutEvidence())
		require.Equal(t, 100, h.checkMany(100))
		require.Equal(t, 22, fresh.dispatchCount("")-early)
	})
}

// Guards against an entry that sends to a new version without contact with control, and against one that goes on at old servers
// after completion.
func TestRolloutNeedsContactWithControl(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, 1)
		old := h.addServiceVersion(1, "v1")
		h.publishRollout(wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS)
		fresh := h.addServiceVersion(2, "v2")
		early := fresh.dispatchCount("")
		h.checkMany(20)
		require.Equal(t, 1, fresh.dispatchCount("")-early)
		time.Sleep(h.entries[0].controlSilence() + time.Second)
		for range 200 {
			require.Equal(t, 200, h.call(1, "POST", checkPath, `{}`, gateCheckHeader).status)
		}
		require.Equal(t, 1, fresh.dispatchCount("")-early, "without contact")
		h.checkMany(20)
		require.Greater(t, fresh.dispatchCount("")-early, 1)

		h.publishRollout(wire.RolloutState_ROLLOUT_STATE_COMPLETED)
		before := old.dispatchCount("")
		require.Equal(t, 50, h.checkMany(50))
		require.Equal(t, before, old.dispatchCount(""))
	})
}

// Guards against a large deployment in which each entry uses other servers of the new version: the entries must have links to
// the same few, whatever part of the servers they are linked to.
func TestEntriesReachTheExposedServers(t *testing.T) {
	agents := append(makeAgents(46, 3, "m"), makeAgents(46, 3, "n")...)
	view := &session.View{
		Agents:   make(map[string]*wire.AgentRecord),
		Rollouts: []*wire.Rollout{{Pool: "m", To: "v2", Id: 7, State: wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS}},
	}
	for i, a := range agents {
		a.Servers[0].Models = []string{"m"}
		if i >= 46 {
			a.Servers[0].Version = "v2"
		}
		view.Agents[a.GetAgent()] = a
	}
	exposed := exposedServers(view, 0.1)
	require.Len(t, exposed, 3, "a twentieth of 46, rounded up")
	for i := range 5 {
		linked := map[string]bool{}
		for _, a := range agentSubset(fmt.Sprint("entry-", i), "zone-0", sortedAgents(view), exposed, linksPerTarget) {
			linked[a.GetServers()[0].GetServer()] = true
		}
		for name := range exposed {
			require.True(t, linked[name], name)
		}
	}
	view.Rollouts[0].State = wire.RolloutState_ROLLOUT_STATE_REVERTED
	require.Empty(t, exposedServers(view, 0.1))
}
