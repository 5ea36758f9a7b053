package state

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// defaultSeed makes property tests reproducible; -rapid.seed selects another one.
const defaultSeed = "20261202"

// TestMain fixes the seed of the property tests, so that each run tries the same commands.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	os.Exit(m.Run())
}

// smallLimits are reached within a few commands.
var smallLimits = Limits{
	Classes: 3, Instances: 3, ServersPerAgent: 2, EndedIncarnations: 2, Draining: 2, Operations: 6, AnswerBytes: 3, TotalAnswerBytes: 5,
	Servers: 3, ExpiredKeys: 4, Changes: 3, ChangeRetention: 1_000_000_000, History: 3,
}

func drawName(t *rapid.T, label string) string {
	return rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, label)
}

func drawNumber(t *rapid.T, label string) uint64 {
	return uint64(rapid.IntRange(0, 6).Draw(t, label))
}

// drawCommand draws a valid or invalid command of any kind.
func drawCommand(t *rapid.T, l *log) *wire.Command {
	name, n, m := drawName(t, "name"), drawNumber(t, "n"), drawNumber(t, "m")
	server := func(i uint64) *wire.ServerRecord {
		r := readyServer(fmt.Sprint("s", i), fmt.Sprint("m", m%2))
		r.Condition = wire.ServerCondition(n % 5)
		return r
	}
	hasChangeID := rapid.Bool().Draw(t, "id")
	id := ""
	if hasChangeID {
		id = fmt.Sprint(m)
	}
	version := l.state.Class(name).GetVersion() + n/6
	setRepeatable := func(b *wire.BeginOperation) { b.Repeatable = m%2 == 0 }
	return rapid.SampledFrom([]*wire.Command{
		putClass(class(name), version, id),
		deleteClass(name, version),
		entry(name, n),
		endEntry(name, n),
		agent(name, n, server(n), server(m+7)),
		agent(name, n),
		removeAgent(name, n),
		drain(fmt.Sprint("s", n)),
		begin(name, drawName(t, "entry"), n, fmt.Sprint("r", m), setRepeatable),
		begin(uuidv7(l.now-m), drawName(t, "entry2"), n, fmt.Sprint("r", m), setRepeatable),
		widen(name, drawName(t, "entry3"), n, m, "s", "t"),
		complete(name, fmt.Sprint("r", m), n, "abcd"[:m%5]),
		release(name, drawName(t, "entry4"), n, m),
		expire(l.now - n),
		raiseFence(),
		putOrder(l.state.Fence()-n/6, fmt.Sprint("s", n), wire.OrderKind(m%5), fmt.Sprint("m", m%2)),
		endOrder(n),
		{},
	}).Draw(t, "command")
}

// Replicas must hold the same state and return the same results after any commands, with a restore at any point. They
// differ if something is missing in the snapshot, or depends on an order that the log does not define.
func TestReplicasStayEqual(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newLog(rt)
		l.state, l.replica = newState(smallLimits), newState(smallLimits)
		config, directory := uint64(0), uint64(0)
		client := &wire.Snapshot{}
		for range rapid.IntRange(1, 60).Draw(rt, "length") {
			l.now += drawNumber(rt, "ms")
			l.apply(proto.CloneOf(drawCommand(rt, l)))
			require.GreaterOrEqual(rt, l.state.ConfigVersion(), config)
			require.GreaterOrEqual(rt, l.state.DirectoryVersion(), directory)
			config, directory = l.state.ConfigVersion(), l.state.DirectoryVersion()
			requireWithinLimits(rt, l.state)
			if rapid.IntRange(0, 9).Draw(rt, "restart") == 0 {
				l.restart()
			}
			if rapid.IntRange(0, 3).Draw(rt, "update") == 0 {
				applyDeltas(rt, client, l.state)
			}
		}
		l.restart()
	})
}

// requireWithinLimits checks that the state is within smallLimits.
func requireWithinLimits(t require.TestingT, s *State) {
	counts := s.Counts()
	require.LessOrEqual(t, len(s.classes), smallLimits.Classes)
	require.LessOrEqual(t, len(s.agents), smallLimits.Instances)
	require.LessOrEqual(t, len(s.entries), smallLimits.Instances)
	require.LessOrEqual(t, len(s.ended.order), smallLimits.EndedIncarnations)
	require.LessOrEqual(t, len(s.draining), smallLimits.Draining)
	require.LessOrEqual(t, counts.Operations, smallLimits.Operations)
	require.LessOrEqual(t, counts.AnswerBytes, smallLimits.TotalAnswerBytes)
	require.LessOrEqual(t, counts.ExpiredKeys, smallLimits.ExpiredKeys)
	require.LessOrEqual(t, counts.Changes, smallLimits.Changes)
	require.LessOrEqual(t, len(s.configHistory.items), smallLimits.History)
}

// applyDeltas updates a client by deltas and compares it with the state.
func applyDeltas(t require.TestingT, client *wire.Snapshot, s *State) {
	if u := s.ConfigSince(client.GetConfigVersion()); u != nil {
		classes := byName(client.GetClasses(), (*wire.Class).GetName, u.GetFull())
		replaceAll(classes, u.GetClasses(), (*wire.Class).GetName, u.GetRemoved())
		client.Classes, client.ConfigVersion = sortedValues(classes), u.GetVersion()
	}
	if u := s.DirectorySince(client.GetDirectoryVersion()); u != nil {
		agents := byName(client.GetAgents(), (*wire.AgentRecord).GetAgent, u.GetFull())
		replaceAll(agents, u.GetAgents(), (*wire.AgentRecord).GetAgent, u.GetRemoved())
		entries := byName(client.GetEntries(), (*wire.EntryRecord).GetEntry, u.GetFull())
		replaceAll(entries, u.GetEntries(), (*wire.EntryRecord).GetEntry, u.GetRemovedEntries())
		client.Agents, client.Entries, client.DirectoryVersion = sortedValues(agents), sortedValues(entries), u.GetVersion()
	}
	want := &wire.Snapshot{
		Classes: s.Classes(), ConfigVersion: s.ConfigVersion(),
		Agents: s.Agents(), Entries: s.Entries(), DirectoryVersion: s.DirectoryVersion(),
	}
	require.True(t, proto.Equal(want, client), "a client differs from the state after its deltas:\n%v\n%v", want, client)
}

// byName returns a list as a map, or an empty map if empty is set.
func byName[V any](list []V, name func(V) string, empty bool) map[string]V {
	m := make(map[string]V)
	if empty {
		return m
	}
	for _, v := range list {
		m[name(v)] = v
	}
	return m
}

// replaceAll stores the values of a list in a map and deletes the removed names.
func replaceAll[V any](m map[string]V, list []V, name func(V) string, removed []string) {
	for _, v := range list {
		m[name(v)] = v
	}
	for _, n := range removed {
		delete(m, n)
	}
}
