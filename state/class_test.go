package state

import (
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// A class with a field that is out of range must be refused with a message that names the field.
func TestClassValidation(t *testing.T) {
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
	for field, invalidate := range cases {
		l := newLog(t)
		c := class("gate-check")
		invalidate(c)
		res := l.refuse(result.InvalidClass, putClass(c, 0, ""))
		require.Contains(t, res.GetMessage(), strings.TrimSpace(field))
		require.Zero(t, l.state.ConfigVersion())
	}
}

// Two operators read the same version and both send a change based on it. The second must be refused, or it would
// undo the first one's change unseen.
func TestConcurrentChangesConflict(t *testing.T) {
	l := newLog(t)
	created := l.accept(putClass(class("a"), 0, "")).GetClass().GetVersion()
	require.Equal(t, l.state.ConfigVersion(), created)
	current := l.accept(putClass(class("a"), created, "")).GetClass().GetVersion()
	conflict := l.refuse(result.VersionConflict, putClass(class("a"), created, ""))
	require.Equal(t, current, conflict.GetClass().GetVersion(), "the conflict returns the current version")
	l.refuse(result.VersionConflict, putClass(class("a"), 0, ""))
	l.refuse(result.VersionConflict, deleteClass("a", created))
	l.refuse(result.VersionConflict, putClass(class("b"), current+7, ""))
}

// The version of the whole configuration is accepted as If-Match, and conflicts once any class has changed.
func TestConfigVersionIsAcceptedAsIfMatch(t *testing.T) {
	l := newLog(t)
	old := l.accept(putClass(class("a"), 0, "")).GetVersion()
	whole := l.accept(putClass(class("b"), 0, "")).GetVersion()
	l.accept(putClass(class("a"), whole, ""))
	l.refuse(result.VersionConflict, putClass(class("a"), whole, ""))
	l.refuse(result.VersionConflict, putClass(class("a"), old, ""))
}

// A change based on a version of a deleted class must conflict instead of restoring the class.
func TestDeletedClass(t *testing.T) {
	l := newLog(t)
	v := l.accept(putClass(class("a"), 0, "")).GetVersion()
	deleted := l.accept(deleteClass("a", v)).GetVersion()
	require.Greater(t, deleted, v)
	require.Nil(t, l.state.Class("a"))
	l.refuse(result.UnknownClass, deleteClass("a", v))
	l.refuse(result.VersionConflict, putClass(class("a"), v, ""))
	l.accept(putClass(class("a"), 0, ""))
}

// An operator sends a committed change again because the answer was lost, also after a restore. It must get the first
// result instead of a conflict with its own change.
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

// Without eviction by number and age, the stored results of changes would grow the state indefinitely.
func TestChangesAreEvicted(t *testing.T) {
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

// Initial classes must be set all or none, and must not restore classes that operators have deleted since.
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

// A command delivered a second time at the same log index must not be applied again.
func TestIndexIsAppliedOnce(t *testing.T) {
	l := newLog(t)
	l.accept(putClass(class("a"), 0, ""))
	res := l.state.Apply(l.index, putClass(class("b"), 0, ""))
	require.NotZero(t, res.GetCode())
	require.Nil(t, l.state.Class("b"), "an index is applied once")
}

// The limit on classes must refuse new classes but not changes to existing ones.
func TestTooManyClasses(t *testing.T) {
	limits := DefaultLimits
	limits.Classes = 1
	l := newLog(t)
	l.state = newState(limits)
	v := l.accept(putClass(class("a"), 0, "")).GetVersion()
	l.refuse(result.InvalidClass, putClass(class("b"), 0, ""))
	l.accept(putClass(class("a"), v, ""))
}

// A client must get the changes since its version, or the full configuration if the history does not reach back that
// far or was lost in a restore. Otherwise the client would miss changes.
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
	require.True(t, l.state.ConfigSince(a).GetFull(), "the history does not reach back that far")
	require.True(t, Restore(l.state.Snapshot()).ConfigSince(b).GetFull(), "no history after a restore")
}

// The time of the state must not go back when a new leader has a slower clock.
func TestLeaderTimeIsMonotonic(t *testing.T) {
	l := newLog(t)
	l.accept(raiseFence())
	before := l.state.LeaderUnixMS()
	l.now -= 1000
	l.accept(raiseFence())
	require.Equal(t, before, l.state.LeaderUnixMS())
}
