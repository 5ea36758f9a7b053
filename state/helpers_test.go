package state

import (
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// log applies commands at increasing indexes, as a replica does. If replica is set, it applies them to that state as
// well and compares the results.
type log struct {
	t       require.TestingT
	state   *State
	replica *State
	index   uint64
	now     uint64
}

func newLog(t require.TestingT) *log {
	return &log{t: t, state: New(), now: 1_000_000}
}

func (l *log) apply(cmd *wire.Command) *wire.CommandResult {
	l.index++
	cmd.UnixMs = l.now
	var replicaResult *wire.CommandResult
	if l.replica != nil {
		replicaResult = l.replica.Apply(l.index, proto.CloneOf(cmd))
	}
	res := l.state.Apply(l.index, cmd)
	if l.replica != nil {
		require.True(l.t, proto.Equal(res, replicaResult), "replicas return different results:\n%v\n%v", res, replicaResult)
	}
	return res
}

// restart replaces the state by one that is restored from its encoded snapshot.
func (l *log) restart() {
	before := l.state.Snapshot()
	data, err := proto.Marshal(before)
	require.NoError(l.t, err)
	after := new(wire.Snapshot)
	require.NoError(l.t, proto.Unmarshal(data, after))
	l.state = restore(after, l.state.limits)
	require.True(l.t, proto.Equal(before, l.state.Snapshot()), "the restored state differs from the original")
	if l.replica != nil {
		require.True(l.t, proto.Equal(before, l.replica.Snapshot()), "replicas hold different states")
	}
}

// accept applies a command that must be accepted.
func (l *log) accept(cmd *wire.Command) *wire.CommandResult {
	res := l.apply(cmd)
	require.Zero(l.t, res.GetCode(), res.GetMessage())
	for _, each := range res.GetEach() {
		require.Zero(l.t, each.GetCode(), each.GetMessage())
	}
	return res
}

// refuse applies a command that must be refused with the given code.
func (l *log) refuse(code result.Code, cmd *wire.Command) *wire.CommandResult {
	res := l.apply(cmd)
	require.Equal(l.t, code.String(), result.Code(res.GetCode()).String(), res.GetMessage())
	return res
}

func class(name string) *wire.Class {
	return &wire.Class{Name: name, Tier: 1, DeadlineMs: 800, Kind: KindService, Preempt: PreemptNever}
}

func putClass(c *wire.Class, ifMatch uint64, id string) *wire.Command {
	change := &wire.OperatorChange{Operator: "olga", ChangeId: id, Digest: []byte(id), IfMatch: ifMatch}
	return &wire.Command{Kind: &wire.Command_PutClass{PutClass: &wire.PutClass{Change: change, Class: c}}}
}

func deleteClass(name string, ifMatch uint64) *wire.Command {
	change := &wire.OperatorChange{Operator: "olga", IfMatch: ifMatch}
	return &wire.Command{Kind: &wire.Command_DeleteClass{DeleteClass: &wire.DeleteClass{Change: change, Name: name}}}
}

func entry(name string, incarnation uint64) *wire.Command {
	e := &wire.EntryRecord{Entry: name, Incarnation: incarnation}
	return &wire.Command{Kind: &wire.Command_RegisterEntry{RegisterEntry: &wire.RegisterEntry{Entry: e}}}
}

func endEntry(name string, incarnation uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_EndEntry{EndEntry: &wire.EndEntry{Entry: name, Incarnation: incarnation}}}
}

func agent(name string, incarnation uint64, servers ...*wire.ServerRecord) *wire.Command {
	a := &wire.AgentRecord{Agent: name, Incarnation: incarnation, Servers: servers}
	return &wire.Command{Kind: &wire.Command_RegisterAgent{RegisterAgent: &wire.RegisterAgent{Agent: a}}}
}

func removeAgent(name string, incarnation uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_RemoveAgent{RemoveAgent: &wire.RemoveAgent{Agent: name, Incarnation: incarnation}}}
}

func readyServer(server string, models ...string) *wire.ServerRecord {
	return &wire.ServerRecord{Server: server, Models: models, Condition: wire.ServerCondition_SERVER_CONDITION_READY}
}

func drain(server string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_DrainServer{DrainServer: &wire.DrainServer{Server: server}}}
}

// begin returns the begin command of a keyed request by an entry; options change fields of it.
func begin(key, entry string, incarnation uint64, request string, options ...func(*wire.BeginOperation)) *wire.Command {
	b := &wire.BeginOperation{
		Organisation:     "union",
		Key:              key,
		Digest:           []byte("body"),
		Entry:            entry,
		EntryIncarnation: incarnation,
		Request:          request,
		Candidates:       []string{"server-" + entry},
	}
	for _, option := range options {
		option(b)
	}
	return &wire.Command{Kind: &wire.Command_BeginOperation{BeginOperation: b}}
}

func repeatable(b *wire.BeginOperation)    { b.Repeatable = true }
func undispatched(b *wire.BeginOperation)  { b.Candidates = nil }
func differentBody(b *wire.BeginOperation) { b.Digest = []byte("other") }

func complete(key, request string, epoch uint64, body string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_CompleteOperation{CompleteOperation: &wire.CompleteOperation{
		Organisation: "union",
		Key:          key,
		Request:      request,
		Epoch:        epoch,
		Answer:       &wire.Answer{Status: 200, Body: []byte(body)},
	}}}
}

func widen(key, entry string, incarnation, epoch uint64, servers ...string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_WidenOperation{WidenOperation: &wire.WidenOperation{
		Organisation: "union", Key: key, Entry: entry, EntryIncarnation: incarnation, Epoch: epoch, Candidates: servers,
	}}}
}

func release(key, entry string, incarnation, epoch uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_ReleaseOperation{ReleaseOperation: &wire.ReleaseOperation{
		Organisation: "union", Key: key, Entry: entry, EntryIncarnation: incarnation, Epoch: epoch,
	}}}
}

func expire(before uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_ExpireOperations{ExpireOperations: &wire.ExpireOperations{
		BeforeUnixMs: before, Limit: MaxExpiryBatch,
	}}}
}

func raiseFence() *wire.Command {
	return &wire.Command{Kind: &wire.Command_RaiseFence{RaiseFence: &wire.RaiseFence{}}}
}

func putOrder(fence uint64, server string, kind wire.OrderKind, model string) *wire.Command {
	o := &wire.Order{Fence: fence, Server: server, Kind: kind, Model: model}
	return &wire.Command{Kind: &wire.Command_PutOrder{PutOrder: &wire.PutOrder{Order: o}}}
}

func endOrder(id uint64) *wire.Command {
	return &wire.Command{Kind: &wire.Command_EndOrder{EndOrder: &wire.EndOrder{Order: id}}}
}
