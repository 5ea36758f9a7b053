package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// A registration by an old process may be committed after that of its successor, or after the removal of the
// instance. It must be refused, or entries would dial a dead process and take the attempts of its successor for
// finished.
func TestOlderIncarnationIsRefused(t *testing.T) {
	cases := map[string]func(l *log){
		"agent replaced": func(l *log) {
			l.accept(agent("x", 2))
			l.refuse(result.AttemptSuperseded, agent("x", 1))
		},
		"agent removed": func(l *log) {
			l.accept(agent("x", 2))
			l.accept(removeAgent("x", 2))
			l.refuse(result.AttemptSuperseded, agent("x", 1))
			l.accept(agent("x", 2))
		},
		"agent removed, restored": func(l *log) {
			l.accept(agent("x", 2))
			l.accept(removeAgent("x", 2))
			l.state = Restore(l.state.Snapshot())
			l.refuse(result.AttemptSuperseded, agent("x", 1))
		},
		"entry replaced": func(l *log) {
			l.accept(entry("x", 2))
			l.refuse(result.AttemptSuperseded, entry("x", 1))
		},
		"entry ended": func(l *log) {
			l.accept(entry("x", 2))
			l.accept(endEntry("x", 2))
			l.refuse(result.AttemptSuperseded, entry("x", 1))
			// Its requests may have been taken over, so it must not register again, also after a restart from a snapshot.
			l.refuse(result.AttemptSuperseded, entry("x", 2))
			l.state = Restore(l.state.Snapshot())
			l.refuse(result.AttemptSuperseded, entry("x", 2))
			l.accept(entry("x", 3))
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) { run(newLog(t)) })
	}
}

// The leader proposes the removal of a silent incarnation, and a newer one registers before that is committed. The
// removal must not remove the newer one from the directory.
func TestRemovalIsLimitedToOneIncarnation(t *testing.T) {
	l := newLog(t)
	l.accept(agent("x", 1))
	l.accept(agent("x", 2))
	l.accept(removeAgent("x", 1))
	require.NotNil(t, l.state.Agent("x"))
	l.accept(entry("x", 1))
	l.accept(entry("x", 2))
	l.accept(endEntry("x", 1))
	require.NotNil(t, l.state.Entry("x"))
	l.accept(removeAgent("x", 2))
	require.Nil(t, l.state.Agent("x"))
}

// Registrations with missing, duplicate or too many names must be refused, and so must instances beyond the limit.
func TestInvalidRegistrationIsRefused(t *testing.T) {
	l := newLog(t)
	l.refuse(result.BadMessage, agent("", 1))
	l.refuse(result.BadMessage, agent("x", 0))
	l.refuse(result.BadMessage, agent("x", 1, readyServer("s"), readyServer("s")))
	l.refuse(result.BadMessage, agent("x", 1, readyServer("")))
	l.refuse(result.BadMessage, entry("", 1))
	l.refuse(result.BadMessage, &wire.Command{})
	limits := DefaultLimits
	limits.Instances, limits.ServersPerAgent = 1, 1
	l.state = newState(limits)
	l.refuse(result.BadMessage, agent("x", 1, readyServer("s"), readyServer("t")))
	l.accept(agent("x", 1))
	l.refuse(result.QueueFull, agent("y", 1))
	l.accept(agent("x", 2))
	l.accept(entry("x", 1))
	l.refuse(result.QueueFull, entry("y", 1))
}

// A repeated registration, also with its servers in another order, must not change the directory version.
func TestRepeatedRegistrationKeepsVersion(t *testing.T) {
	l := newLog(t)
	l.accept(agent("x", 1, readyServer("b"), readyServer("a")))
	v := l.state.DirectoryVersion()
	l.accept(agent("x", 1, readyServer("a"), readyServer("b")))
	require.Equal(t, v, l.state.DirectoryVersion())
}

// A directory delta that misses a change or a removal would leave a client with stale agents or entries.
func TestDirectorySince(t *testing.T) {
	l := newLog(t)
	l.accept(agent("x", 1))
	v := l.state.DirectoryVersion()
	l.accept(entry("x", 1))
	l.accept(agent("y", 1))
	l.accept(removeAgent("x", 1))
	u := l.state.DirectorySince(v)
	require.False(t, u.GetFull())
	require.Equal(t, []string{"x"}, u.GetRemoved())
	require.Equal(t, "y", u.GetAgents()[0].GetAgent())
	require.Equal(t, "x", u.GetEntries()[0].GetEntry())
	l.accept(endEntry("x", 1))
	require.Equal(t, []string{"x"}, l.state.DirectorySince(v).GetRemovedEntries())
	require.True(t, l.state.DirectorySince(0).GetFull())
	require.Nil(t, l.state.DirectorySince(l.state.DirectoryVersion()))
}

func conditionOf(l *log, server string) wire.ServerCondition {
	_, s := l.state.lookUpServer(server)
	return s.GetCondition()
}

// An agent that has not learnt of a drain yet, or has restarted, registers the draining server as ready. The server
// must stay draining, or it would get new work again.
func TestDrainingSurvivesRegistration(t *testing.T) {
	draining := wire.ServerCondition_SERVER_CONDITION_DRAINING
	l := newLog(t)
	l.refuse(result.UnknownServer, drain("s"))
	l.accept(agent("x", 1, readyServer("s"), readyServer("t")))
	l.accept(drain("s"))
	l.accept(drain("s"))
	require.Equal(t, draining, conditionOf(l, "s"))
	l.accept(agent("x", 1, readyServer("s"), readyServer("t")))
	require.Equal(t, draining, conditionOf(l, "s"))
	l.state = Restore(l.state.Snapshot())
	l.accept(agent("x", 2))
	l.accept(agent("x", 2, readyServer("s"), readyServer("t")))
	require.Equal(t, draining, conditionOf(l, "s"), "a new incarnation starts with an empty list")
	l.accept(removeAgent("x", 2))
	l.accept(agent("x", 3, readyServer("s"), readyServer("t")))
	require.Equal(t, draining, conditionOf(l, "s"))
	l.accept(agent("x", 3, readyServer("t")))
	l.accept(agent("x", 3, readyServer("s"), readyServer("t")))
	require.Equal(t, wire.ServerCondition_SERVER_CONDITION_READY, conditionOf(l, "s"), "the server left and was listed again")
}

// A server that is listed by two agents while it moves must belong to exactly one of them.
func TestServerListedByTwoAgents(t *testing.T) {
	l := newLog(t)
	l.accept(agent("y", 2, readyServer("s")))
	l.accept(agent("x", 1, readyServer("s")))
	require.Equal(t, "y", l.state.AgentOf("s"), "the agent with the newer incarnation takes precedence")
	require.Empty(t, l.state.AgentOf("t"))
}

// Guards against a process that takes itself for the first of its entry and uses once more what its predecessor may have used
// of the retry allowance.
func TestOnlyFirstIncarnationOfAnEntryIsFirst(t *testing.T) {
	l := newLog(t)
	isFirst := func(name string, incarnation uint64) bool {
		l.accept(entry(name, incarnation))
		l.restart()
		return l.state.Entry(name).GetFirst()
	}
	require.True(t, isFirst("a", 1))
	require.True(t, isFirst("a", 1), "registered again")
	require.True(t, isFirst("b", 1))
	require.False(t, isFirst("a", 2), "replaced")
	l.accept(endEntry("a", 2))
	require.False(t, isFirst("a", 3), "ended")
	require.True(t, isFirst("c", 1))
	l.accept(endEntry("a", 3))
	l.accept(endEntry("b", 1))
	l.accept(endEntry("c", 1))
	require.False(t, isFirst("d", 1), "the only one, after others")
}
