package state

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/rollout"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	inProgress = wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS
	completed  = wire.RolloutState_ROLLOUT_STATE_COMPLETED
	reverted   = wire.RolloutState_ROLLOUT_STATE_REVERTED
)

func startRollout(pool, to string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_StartRollout{StartRollout: &wire.StartRollout{Pool: pool, To: to, DurationMs: 60_000}}}
}

func recordRollout(pool string, id uint64, counts ...*wire.RolloutCount) *wire.Command {
	return &wire.Command{Kind: &wire.Command_RecordRollout{RecordRollout: &wire.RecordRollout{Pool: pool, Id: id, Counts: counts}}}
}

func endRollout(pool string, id uint64, state wire.RolloutState, counts ...*wire.RolloutCount) *wire.Command {
	return &wire.Command{Kind: &wire.Command_EndRollout{EndRollout: &wire.EndRollout{Pool: pool, Id: id, State: state, Reason: "because", Counts: counts}}}
}

func count(version string, answers, failures uint64) *wire.RolloutCount {
	return &wire.RolloutCount{Version: version, Class: "one", Answers: answers, Failures: failures, Work: answers, TimeMs: 10 * answers}
}

// newRolloutLog returns a log with the desired state of version 1.
func newRolloutLog(t require.TestingT) *log {
	l := newLog(t)
	l.replica = New()
	l.accept(putDesired(desiredState(1)))
	return l
}

// Guards against an order that is accepted although it can't be carried out, or that is kept without a bound on its size.
func TestInvalidRolloutsAreRefused(t *testing.T) {
	long := strings.Repeat("x", maxName+1)
	cases := map[string]*wire.StartRollout{
		"no service \"nobody\"":     {Pool: "nobody", To: "v2", DurationMs: 60_000},
		"a service without a name":  {To: "v2", DurationMs: 60_000},
		"a service without a name,": {Pool: long, To: "v2", DurationMs: 60_000},
		"a version without a name":  {Pool: "desk", DurationMs: 60_000},
		"a version without a name,": {Pool: "desk", To: long, DurationMs: 60_000},
		"a duration":                {Pool: "desk", To: "v2", DurationMs: 999},
		"a duration that":           {Pool: "desk", To: "v2", DurationMs: uint64(MaxRolloutDuration.Milliseconds()) + 1},
	}
	l := newRolloutLog(t)
	version := l.state.ConfigVersion()
	for problem, order := range cases {
		res := l.refuse(result.InvalidRollout, &wire.Command{Kind: &wire.Command_StartRollout{StartRollout: order}})
		require.Contains(t, res.GetMessage(), problem)
	}
	require.Equal(t, version, l.state.ConfigVersion())
	require.Empty(t, l.state.Rollouts())

	empty := newLog(t)
	empty.refuse(result.InvalidRollout, startRollout("desk", "v2"))
}

// Guards against an order whose answer was lost being refused or begun again when it is sent again, at any time.
func TestRepeatedOrderChangesNothing(t *testing.T) {
	for _, end := range []wire.RolloutState{inProgress, completed, reverted} {
		l := newRolloutLog(t)
		first := l.accept(startRollout("desk", "v2")).GetRollout()
		require.Equal(t, inProgress, first.GetState())
		require.Equal(t, l.index, first.GetId())
		require.Equal(t, l.now, first.GetOrderedUnixMs())
		if end != inProgress {
			l.accept(endRollout("desk", first.GetId(), end))
		}
		before := l.state.Rollout("desk")
		version := l.state.ConfigVersion()
		l.now += 5_000
		again := l.accept(startRollout("desk", "v2")).GetRollout()
		require.True(t, proto.Equal(before, again))
		require.Equal(t, end, again.GetState())
		require.Equal(t, version, l.state.ConfigVersion())
	}
}

// Guards against two versions that are rolled out at once in one pool, and against a pool in which no version can be
// rolled out after the first.
func TestAnotherVersionWaitsForTheEnd(t *testing.T) {
	l := newRolloutLog(t)
	first := l.accept(startRollout("desk", "v2")).GetRollout()
	require.Equal(t, 409, result.Code(l.refuse(result.RolloutInProgress, startRollout("desk", "v3")).GetCode()).Info().Status)
	l.accept(startRollout("models", "v3"))
	require.Equal(t, "v2", l.state.Rollout("desk").GetTo())
	l.accept(endRollout("desk", first.GetId(), reverted))
	next := l.accept(startRollout("desk", "v3")).GetRollout()
	require.Greater(t, next.GetId(), first.GetId())
	require.Empty(t, next.GetCounts())
	require.Len(t, l.state.Rollouts(), 2, "one for each pool")
}

// Guards against a verdict that is changed afterwards, by a leader that was cut off or by one that decides again.
func TestEndedRolloutStaysAsItIs(t *testing.T) {
	l := newRolloutLog(t)
	first := l.accept(startRollout("desk", "v2")).GetRollout()
	l.now += 1_000
	l.accept(endRollout("desk", first.GetId(), completed, count("v2", 10, 0)))
	ended := l.state.Rollout("desk")
	require.Equal(t, "because", ended.GetReason())
	require.Equal(t, l.now, ended.GetEndedUnixMs())
	require.EqualValues(t, 10, ended.GetCounts()[0].GetAnswers())
	version := l.state.ConfigVersion()
	l.accept(endRollout("desk", first.GetId(), reverted))
	l.accept(recordRollout("desk", first.GetId(), count("v2", 99, 50)))
	next := l.accept(startRollout("models", "v2")).GetRollout()
	l.accept(endRollout("models", first.GetId(), reverted))
	l.accept(recordRollout("models", first.GetId(), count("v2", 99, 50)))
	require.True(t, proto.Equal(ended, l.state.Rollout("desk")))
	require.True(t, proto.Equal(next, l.state.Rollout("models")), "the id is that of another roll-out")
	require.Greater(t, l.state.ConfigVersion(), version)
	l.refuse(result.BadMessage, endRollout("models", next.GetId(), inProgress))
	l.refuse(result.BadMessage, endRollout("nobody", 0, 0))
}

// Guards against evidence that gets lost with a late or smaller report, and against an update of all clients for each
// report.
func TestEvidenceRisesWithoutAnUpdateOfClients(t *testing.T) {
	l := newRolloutLog(t)
	id := l.accept(startRollout("desk", "v2")).GetRollout().GetId()
	version := l.state.ConfigVersion()
	l.accept(recordRollout("desk", id, count("v2", 10, 3), count("v1", 100, 0)))
	l.accept(recordRollout("desk", id, count("v2", 8, 1)))
	counts := l.state.Rollout("desk").GetCounts()
	require.Len(t, counts, 2)
	require.EqualValues(t, 10, counts[1].GetAnswers())
	require.EqualValues(t, 3, counts[1].GetFailures())
	require.Equal(t, version, l.state.ConfigVersion())
	var many []*wire.RolloutCount
	for i := range l.state.limits.RolloutCounts + 1 {
		many = append(many, count(fmt.Sprint(i), 1, 0))
	}
	l.refuse(result.BadMessage, recordRollout("desk", id, many...))
	l.refuse(result.BadMessage, recordRollout("desk", id, count(strings.Repeat("v", 200), 1, 0)))
	l.restart()
	require.Len(t, l.state.Rollout("desk").GetCounts(), 2)
	l.accept(endRollout("desk", id, reverted, many...))
	require.Equal(t, reverted, l.state.Rollout("desk").GetState(), "it ends although the evidence can't be kept")
	require.Len(t, l.state.Rollout("desk").GetCounts(), 2)
}

// Guards against clients that don't learn of an order or a verdict, that receive the roll-outs with each other change, or
// that receive the evidence.
func TestChangesOfRolloutsReachClients(t *testing.T) {
	l := newRolloutLog(t)
	before := l.state.ConfigVersion()
	id := l.accept(startRollout("desk", "v2")).GetRollout().GetId()
	l.accept(recordRollout("desk", id, count("v2", 10, 3)))
	update := l.state.ConfigSince(before)
	require.False(t, update.GetFull())
	require.Nil(t, update.GetDesired())
	require.Empty(t, update.GetRemoved())
	require.Len(t, update.GetRollouts().GetRollouts(), 1)
	require.Equal(t, inProgress, update.GetRollouts().GetRollouts()[0].GetState())
	require.Empty(t, update.GetRollouts().GetRollouts()[0].GetCounts())

	ordered := l.state.ConfigVersion()
	l.accept(putClass(class("new"), 0, "one"))
	require.Nil(t, l.state.ConfigSince(ordered).GetRollouts())
	l.accept(endRollout("desk", id, reverted))
	require.Equal(t, reverted, l.state.ConfigSince(ordered).GetRollouts().GetRollouts()[0].GetState())
	require.Len(t, l.state.ConfigSince(0).GetRollouts().GetRollouts(), 1)
	l.restart()
	require.Equal(t, reverted, l.state.ConfigSince(ordered).GetRollouts().GetRollouts()[0].GetState(), "full after a restart")
}

// Guards against a roll-out that stays in progress forever because nothing of its pool is left, and against records of
// removed pools that accumulate without bound.
func TestRemovedPoolRevertsItsRollout(t *testing.T) {
	l := newRolloutLog(t)
	l.accept(startRollout("desk", "v2"))
	l.accept(startRollout("models", "v2"))
	next := desiredState(2)
	next.Pools, next.Routes = next.GetPools()[:1], next.GetRoutes()[:1]
	version := l.state.ConfigVersion()
	l.accept(putDesired(next))
	require.Equal(t, reverted, l.state.Rollout("desk").GetState())
	require.Equal(t, "pool_removed", l.state.Rollout("desk").GetReason())
	require.Equal(t, inProgress, l.state.Rollout("models").GetState())
	require.Len(t, l.state.ConfigSince(version).GetRollouts().GetRollouts(), 2)
	require.NotNil(t, l.state.ConfigSince(version).GetDesired())
	l.accept(startRollout("desk", "v2"))
	l.refuse(result.InvalidRollout, startRollout("desk", "v3"))

	limits := DefaultLimits
	limits.RemovedRollouts = 2
	bounded := newLog(t)
	bounded.state = newState(limits)
	d := desiredState(1)
	for i := range 4 {
		d.Pools = append(d.Pools, &wire.Pool{Name: fmt.Sprint("pool-", i)})
	}
	bounded.accept(putDesired(d))
	for i := range 4 {
		bounded.accept(startRollout(fmt.Sprint("pool-", i), "v2"))
	}
	bounded.accept(putDesired(desiredState(2)))
	require.Len(t, bounded.state.Rollouts(), 2)
	require.Equal(t, reverted, bounded.state.Rollout("pool-3").GetState())
	bounded.restart()
}

// rolloutModel holds what operators were told of their orders.
type rolloutModel struct {
	*log
	acknowledged map[string]*wire.Rollout // the last acknowledged order of each pool
	version      uint64                   // of the desired state
}

func drawPool(t *rapid.T) string {
	return rapid.SampledFrom([]string{"desk", "models", "extra"}).Draw(t, "pool")
}

func drawVersion(t *rapid.T) string {
	return rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(t, "version")
}

func (m *rolloutModel) order(t *rapid.T) {
	pool, to := drawPool(t), drawVersion(t)
	before := m.state.Rollout(pool)
	res := m.apply(startRollout(pool, to))
	if res.GetCode() == 0 {
		require.Equal(m.t, to, res.GetRollout().GetTo())
		m.acknowledged[pool] = res.GetRollout()
		return
	}
	require.True(m.t, proto.Equal(before, m.state.Rollout(pool)), "a refused order changes nothing")
}

func (m *rolloutModel) record(t *rapid.T) {
	pool := drawPool(t)
	answers := rapid.Uint64Range(0, 100).Draw(t, "answers")
	m.accept(recordRollout(pool, m.drawID(t, pool), count(drawVersion(t), answers, answers/2)))
}

func (m *rolloutModel) end(t *rapid.T) {
	pool := drawPool(t)
	state := rapid.SampledFrom([]wire.RolloutState{completed, reverted}).Draw(t, "state")
	m.accept(endRollout(pool, m.drawID(t, pool), state))
}

// drawID returns the id of the pool's roll-out, or another one.
func (m *rolloutModel) drawID(t *rapid.T, pool string) uint64 {
	if rapid.Bool().Draw(t, "stale") {
		return rapid.Uint64Range(0, m.index+1).Draw(t, "id")
	}
	return m.state.Rollout(pool).GetId()
}

// putDesired puts a desired state with or without the pool "extra".
func (m *rolloutModel) putDesired(t *rapid.T) {
	m.version++
	d := desiredState(m.version)
	if rapid.Bool().Draw(t, "extra") {
		d.Pools = append(d.Pools, &wire.Pool{Name: "extra"})
	}
	m.accept(putDesired(d))
}

// check verifies that each acknowledged order is held, that evidence only rises, and that no roll-out leaves a final
// state.
func (m *rolloutModel) check(*rapid.T) {
	for pool, told := range m.acknowledged {
		held := m.state.Rollout(pool)
		require.Equal(m.t, told.GetId(), held.GetId(), "the order of %s is lost", pool)
		require.Equal(m.t, told.GetTo(), held.GetTo())
		if told.GetState() != inProgress {
			require.True(m.t, proto.Equal(told, held), "%s has left a final state", pool)
		}
		require.False(m.t, rollout.Exceeds(told.GetCounts(), held.GetCounts()), "evidence of %s is lost", pool)
		m.acknowledged[pool] = held
	}
}

// Guards against an acknowledged order that is lost, and a roll-out that leaves a final state, in any order of orders,
// evidence, verdicts, stale commands, desired states and restarts.
func TestRolloutsAgainstModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &rolloutModel{log: newRolloutLog(rt), acknowledged: make(map[string]*wire.Rollout), version: 1}
		rt.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"order":   m.order,
			"order2":  m.order,
			"record":  m.record,
			"end":     m.end,
			"desired": m.putDesired,
			"restart": func(*rapid.T) { m.restart() },
		})
	})
}

// Guards against a roll-out that is completed towards servers that don't exist, drain, or belong to another service or
// version, and against one that is not since its servers are known by agents only.
func TestServersOfVersion(t *testing.T) {
	l := newRolloutLog(t)
	announce := func(server, pool, version string, draining bool) *wire.Announcement {
		return &wire.Announcement{Server: server, Pool: pool, Address: "10.0.0." + server + ":80", Slots: 1, Sequence: 1, Version: version, Draining: draining}
	}
	l.accept(&wire.Command{Kind: &wire.Command_AnnounceServers{AnnounceServers: &wire.AnnounceServers{Announcements: []*wire.Announcement{
		announce("a", "desk", "v2", false),
		announce("b", "desk", "v2", true),
		announce("c", "desk", "v1", false),
		announce("d", "models", "v2", false),
	}}}})
	require.Equal(t, 1, l.state.ServersOfVersion("desk", "v2"))
	ready := wire.ServerCondition_SERVER_CONDITION_READY
	l.accept(&wire.Command{Kind: &wire.Command_RegisterAgent{RegisterAgent: &wire.RegisterAgent{Agent: &wire.AgentRecord{
		Agent: "agent-1", Incarnation: 1, Servers: []*wire.ServerRecord{
			{Server: "a", Models: []string{"desk"}, Version: "v2", Condition: ready},
			{Server: "e", Models: []string{"desk"}, Version: "v2", Condition: ready},
			{Server: "f", Models: []string{"desk"}, Version: "v2"},
			{Server: "g", Models: []string{"models"}, Version: "v2", Condition: ready},
		},
	}}}})
	require.Equal(t, 2, l.state.ServersOfVersion("desk", "v2"), "a server that is known twice counts once")
	require.Zero(t, l.state.ServersOfVersion("desk", "v3"))
}

// Guards against an outage after an order of the version that is in use: entries would send the pool only the share of a
// version on trial. The order is completed at once; with a server of another version, or none at all, it is not.
func TestOrderOfTheVersionInUseIsCompleted(t *testing.T) {
	const inProgress, completed = wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS, wire.RolloutState_ROLLOUT_STATE_COMPLETED
	for _, row := range []struct {
		name     string
		versions []string
		want     wire.RolloutState
	}{
		{"no servers", nil, inProgress},
		{"only others", []string{"v1", "v1"}, inProgress},
		{"both", []string{"v1", "v2"}, inProgress},
		{"a server that doesn't say", []string{"v2", ""}, inProgress},
		{"only this one", []string{"v2", "v2"}, completed},
	} {
		t.Run(row.name, func(t *testing.T) {
			l := newRolloutLog(t)
			for i, version := range row.versions {
				l.accept(&wire.Command{Kind: &wire.Command_AnnounceServers{AnnounceServers: &wire.AnnounceServers{Announcements: []*wire.Announcement{
					{Server: fmt.Sprint("s", i), Pool: "desk", Address: fmt.Sprint("10.0.0.", i, ":80"), Slots: 1, Sequence: 1, Version: version},
				}}}})
			}
			l.accept(&wire.Command{Kind: &wire.Command_StartRollout{StartRollout: &wire.StartRollout{Pool: "desk", To: "v2", DurationMs: 60_000}}})
			require.Equal(t, row.want, l.state.Rollouts()[0].GetState())
		})
	}
}

// Guards against roll-outs that can't be ordered where there is no desired state: the services are then those that servers
// of agents offer.
func TestRolloutWithoutADesiredState(t *testing.T) {
	l := newLog(t)
	l.replica = New()
	order := &wire.Command{Kind: &wire.Command_StartRollout{StartRollout: &wire.StartRollout{Pool: "registry", To: "v2", DurationMs: 60_000}}}
	require.EqualValues(t, result.InvalidRollout, l.apply(order).GetCode())
	l.accept(&wire.Command{Kind: &wire.Command_RegisterAgent{RegisterAgent: &wire.RegisterAgent{Agent: &wire.AgentRecord{
		Agent: "agent-1", Incarnation: 1, Servers: []*wire.ServerRecord{{Server: "a", Models: []string{"registry"}, Version: "v1"}},
	}}}})
	l.accept(order)
	require.Equal(t, wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS, l.state.Rollouts()[0].GetState())
}
