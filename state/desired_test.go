package state

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

func routeTo(name, prefix string, pools ...*wire.WeightedPool) *wire.Route {
	c := class(name)
	return &wire.Route{Name: name, Host: "a.example", Prefix: prefix, Class: c, Pools: pools}
}

func fullWeight(pool string) *wire.WeightedPool { return &wire.WeightedPool{Pool: pool, Weight: 1} }

func desiredState(version uint64) *wire.DesiredState {
	return &wire.DesiredState{
		Version:       version,
		Document:      []byte("as sent"),
		Pools:         []*wire.Pool{{Name: "models", Kind: KindModel}, {Name: "desk", Kind: KindService}},
		Routes:        []*wire.Route{routeTo("one", "/one/", fullWeight("models")), routeTo("two", "/two/", fullWeight("desk"))},
		Organisations: []*wire.Member{{Name: "compost", Keys: []string{"k1", "k2"}}, {Name: "yatai", Keys: []string{"k3"}}},
	}
}

func putDesired(d *wire.DesiredState) *wire.Command {
	return &wire.Command{Kind: &wire.Command_PutDesiredState{PutDesiredState: &wire.PutDesiredState{Desired: d}}}
}

// A delayed copy of an older version, or other content under the current version, must not replace the desired state.
// Otherwise routes that operators have removed would return. The check must hold after a restart from a snapshot.
func TestOlderDesiredStateIsIgnored(t *testing.T) {
	l := newLog(t)
	l.replica = New()
	l.accept(putDesired(desiredState(7)))
	version := l.state.ConfigVersion()
	older := desiredState(5)
	older.Routes = older.GetRoutes()[:1]
	other := desiredState(7)
	other.Document = []byte("another content")
	for _, delayed := range []*wire.DesiredState{older, other, desiredState(7)} {
		l.accept(putDesired(delayed))
		require.Equal(t, version, l.state.ConfigVersion(), "the version is unchanged")
	}
	l.restart()
	require.Equal(t, "as sent", string(l.state.Desired().GetDocument()))
	require.Len(t, l.state.Desired().GetRoutes(), 2)
	l.accept(putDesired(desiredState(12)))
	require.EqualValues(t, 12, l.state.Desired().GetVersion())
}

// A desired state that is invalid must be refused with a message that says why.
func TestDesiredStateValidation(t *testing.T) {
	cases := map[string]func(*wire.DesiredState){
		"no service":      func(d *wire.DesiredState) { d.Routes[0].Pools[0].Pool = "nobody" },
		"host and":        func(d *wire.DesiredState) { d.Routes[1].Prefix = d.Routes[0].Prefix },
		"weights":         func(d *wire.DesiredState) { d.Routes[0].Pools[0].Weight = 0 },
		"weights ":        func(d *wire.DesiredState) { d.Routes[0].Pools = nil },
		"deadline_ms":     func(d *wire.DesiredState) { d.Routes[0].Class.DeadlineMs = 0 },
		"share a key":     func(d *wire.DesiredState) { d.Organisations[1].Keys = []string{"k2"} },
		"slash":           func(d *wire.DesiredState) { d.Routes[0].Prefix = "/one" },
		"another name":    func(d *wire.DesiredState) { d.Routes[0].Class.Name = "three" },
		"route \"one\"":   func(d *wire.DesiredState) { d.Routes[1].Name, d.Routes[1].Class.Name = "one", "one" },
		"service \"":      func(d *wire.DesiredState) { d.Pools[1].Name = "models" },
		"organisation \"": func(d *wire.DesiredState) { d.Organisations[1].Name = "compost" },
	}
	for problem, invalidate := range cases {
		l := newLog(t)
		d := desiredState(3)
		invalidate(d)
		require.Contains(t, l.refuse(result.InvalidDesiredState, putDesired(d)).GetMessage(), trimTrailingSpaces(problem))
		require.Nil(t, l.state.Desired())
	}
}

func trimTrailingSpaces(s string) string {
	for len(s) > 0 && s[len(s)-1] == ' ' {
		s = s[:len(s)-1]
	}
	return s
}

// Deltas must contain the desired state only after it has changed, and never its document, which only operators read.
func TestDeltaContainsDesiredStateOnlyIfChanged(t *testing.T) {
	l := newLog(t)
	l.accept(putDesired(desiredState(1)))
	first := l.state.ConfigSince(0)
	require.EqualValues(t, 1, first.GetDesired().GetVersion())
	require.Nil(t, first.GetDesired().GetDocument(), "only operators read the document")
	l.accept(putClass(class("a"), 0, ""))
	delta := l.state.ConfigSince(first.GetVersion())
	require.False(t, delta.GetFull())
	require.Nil(t, delta.GetDesired(), "the client has it already")
	require.Empty(t, delta.GetRemoved(), "the desired state is not a removed class")
	l.accept(putDesired(desiredState(2)))
	require.EqualValues(t, 2, l.state.ConfigSince(delta.GetVersion()).GetDesired().GetVersion())
}
