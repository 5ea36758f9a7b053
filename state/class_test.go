package state

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

func TestClassIsChecked(t *testing.T) {
	cases := map[string]func(*wire.Class){
		"name":        func(c *wire.Class) { c.Name = "" },
		"name ":       func(c *wire.Class) { c.Name = "a/b" },
		"name  ":      func(c *wire.Class) { c.Name = strings.Repeat("a", 65) },
		"tier":        func(c *wire.Class) { c.Tier = 0 },
		"tier ":       func(c *wire.Class) { c.Tier = 4 },
		"deadline_ms": func(c *wire.Class) { c.DeadlineMs = 0 },
		"deadline_ms ": func(c *wire.Class) {
			c.DeadlineMs = uint32(MaxDeadline.Milliseconds()) + 1
		},
		"late_max":  func(c *wire.Class) { c.LateMax = 1.01 },
		"late_max ": func(c *wire.Class) { c.LateMax = math.NaN() },
		"lost_max":  func(c *wire.Class) { c.LostMax = -0.1 },
		"kind":      func(c *wire.Class) { c.Kind = "" },
		"preempt":   func(c *wire.Class) { c.Preempt = "" },
	}
	for field, spoil := range cases {
		l := newLog(t)
		c := class("gate-check")
		spoil(c)
		res := l.refuse(result.InvalidClass, putClass(c, 0, ""))
		require.Contains(t, res.GetMessage(), strings.TrimSpace(field))
		require.Zero(t, l.state.ConfigVersion())
	}
}

// Symptom: an operator's change is undone by another operator who never saw it.
// Sequence: both read version V, both send a change with V.
// Cause: a change that is applied without comparing, or compared outside the log.
func TestOneOfEqualVersionsWins(t *testing.T) {
	l := newLog(t)
	created := l.accept(putClass(class("a"), 0, "")).GetClass().GetVersion()
	require.Equal(t, l.state.ConfigVersion(), created)
	won := l.accept(putClass(class("a"), created, "")).GetClass().GetVersion()
	lost := l.refuse(result.VersionConflict, putClass(class("a"), created, ""))
	require.Equal(t, won, lost.GetClass().GetVersion(), "the loser hears the version in force")
	l.refuse(result.VersionConflict, putClass(class("a"), 0, ""))
	l.refuse(result.VersionConflict, deleteClass("a", created))
	l.refuse(result.VersionConflict, putClass(class("b"), won+7, ""))
}

func TestVersionOfTheWholeConfigurationMatches(t *testing.T) {
	l := newLog(t)
	old := l.accept(putClass(class("a"), 0, "")).GetVersion()
	whole := l.accept(putClass(class("b"), 0, "")).GetVersion()
	l.accept(putClass(class("a"), whole, ""))
	l.refuse(result.VersionConflict, putClass(class("a"), whole, ""))
	l.refuse(result.VersionConflict, putClass(class("a"), old, ""))
}

func TestDeletedClass(t *testing.T) {
	l := newLog(t)
	v := l.accept(putClass(class("a"), 0, "")).GetVersion()
	gone := l.accept(deleteClass("a", v)).GetVersion()
	require.Greater(t, gone, v)
	require.Nil(t, l.state.Class("a"))
	l.refuse(result.UnknownClass, deleteClass("a", v))
	l.refuse(result.VersionConflict, putClass(class("a"), v, ""))
	l.accept(putClass(class("a"), 0, ""))
}

// Symptom: an operator is told "conflict" about the own change.
// Sequence: the change is committed, its answer is lost, the operator sends it again, also after a restore.
// Cause: a resend that is compared like a new change.
func TestResentChange(t *testing.T) {
	l := newLog(t)
	first := l.accept(putClass(class("a"), 0, "id"))
	l.accept(putClass(class("a"), first.GetVersion(), "other"))
	conflict := l.refuse(result.VersionConflict, putClass(class("a"), 0, "late"))
	l.state = Restore(l.state.Snapshot())
	require.Equal(t, first.String(), l.accept(putClass(class("a"), 0, "id")).String())
	require.Equal(t, conflict.String(), l.refuse(result.VersionConflict, putClass(class("a"), 0, "late")).String())

	otherBody := putClass(class("a"), 0, "id")
	otherBody.GetPutClass().Change.Digest = []byte("another body")
	l.refuse(result.ChangeIDReused, otherBody)
	other := putClass(class("c"), 0, "id")
	other.GetPutClass().Change.Operator = "pavel"
	l.accept(other)
}

func TestChangesAreForgotten(t *testing.T) {
	limits := DefaultLimits
	limits.Changes = 2
	l := newLog(t)
	l.state = newState(limits)
	l.accept(putClass(class("a"), 0, "1"))
	l.accept(putClass(class("b"), 0, "2"))
	l.accept(putClass(class("c"), 0, "3"))
	l.refuse(result.VersionConflict, putClass(class("a"), 0, "1"))
	require.Equal(t, 2, l.state.Counts().Changes)
	l.now += uint64(limits.ChangeRetention.Milliseconds()) + 1
	l.accept(putClass(class("d"), 0, "4"))
	require.Equal(t, 1, l.state.Counts().Changes)
}

func TestInitialClasses(t *testing.T) {
	l := newLog(t)
	init := func(classes ...*wire.Class) *wire.Command {
		return &wire.Command{Kind: &wire.Command_InitializeClasses{InitializeClasses: &wire.InitializeClasses{Classes: classes}}}
	}
	l.refuse(result.InvalidClass, init(class("a"), &wire.Class{Name: "b"}))
	require.Empty(t, l.state.Classes(), "all or none")
	v := l.accept(init(class("b"), class("a"))).GetVersion()
	require.Len(t, l.state.Classes(), 2)
	l.accept(deleteClass("a", v))
	l.accept(init(class("a"), class("b")))
	require.Nil(t, l.state.Class("a"))
}

func TestVersionsOnlyRise(t *testing.T) {
	l := newLog(t)
	l.accept(putClass(class("a"), 0, ""))
	res := l.state.Apply(l.index, putClass(class("b"), 0, ""))
	require.NotZero(t, res.GetCode())
	require.Nil(t, l.state.Class("b"), "an index is applied once")
}

func TestTooManyClasses(t *testing.T) {
	limits := DefaultLimits
	limits.Classes = 1
	l := newLog(t)
	l.state = newState(limits)
	v := l.accept(putClass(class("a"), 0, "")).GetVersion()
	l.refuse(result.InvalidClass, putClass(class("b"), 0, ""))
	l.accept(putClass(class("a"), v, ""))
}

func TestConfigSince(t *testing.T) {
	limits := DefaultLimits
	limits.History = 4
	l := newLog(t)
	l.state = newState(limits)
	require.Nil(t, l.state.ConfigSince(0))
	a := l.accept(putClass(class("a"), 0, "")).GetVersion()
	l.accept(putClass(class("b"), 0, ""))
	b := l.accept(deleteClass("a", a)).GetVersion()
	u := l.state.ConfigSince(a)
	require.False(t, u.GetFull())
	require.Equal(t, []string{"a"}, u.GetRemoved())
	require.Equal(t, "b", u.GetClasses()[0].GetName())
	require.Equal(t, b, u.GetVersion())
	require.Nil(t, l.state.ConfigSince(b))
	require.True(t, l.state.ConfigSince(0).GetFull())
	for range 6 {
		l.accept(putClass(class("c"), l.state.Class("c").GetVersion(), ""))
	}
	require.True(t, l.state.ConfigSince(a).GetFull(), "older than the history")
	require.True(t, Restore(l.state.Snapshot()).ConfigSince(b).GetFull(), "no history after a restore")
}

func TestClockNeverFalls(t *testing.T) {
	l := newLog(t)
	l.accept(raiseFence())
	was := l.state.LeaderUnixMS()
	l.now -= 1000
	l.accept(raiseFence())
	require.Equal(t, was, l.state.LeaderUnixMS())
}
