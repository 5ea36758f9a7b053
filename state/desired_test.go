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

func whole(pool string) *wire.WeightedPool { return &wire.WeightedPool{Pool: pool, Weight: 1} }

func desiredState(version uint64) *wire.DesiredState {
	return &wire.DesiredState{
		Version:       version,
		Document:      []byte("as sent"),
		Pools:         []*wire.Pool{{Name: "models", Kind: KindModel}, {Name: "desk", Kind: KindService}},
		Routes:        []*wire.Route{routeTo("one", "/one/", whole("models")), routeTo("two", "/two/", whole("desk"))},
		Organisations: []*wire.Member{{Name: "compost", Keys: []string{"k1", "k2"}}, {Name: "yatai", Keys: []string{"k3"}}},
	}
}

func putDesired(d *wire.DesiredState) *wire.Command {
	return &wire.Command{Kind: &wire.Command_PutDesiredState{PutDesiredState: &wire.PutDesiredState{Desired: d}}}
}

// Symptom: routes that operators had taken away are back. Sequence: version 7 is committed; a copy of 5 that was held up,
// and another content under 7, arrive; the group restarts from a snapshot. Cause: a change that is applied in order of
// arrival and not by its version.
func TestHighestDesiredStateStaysInForce(t *testing.T) {
	l := newLog(t)
	l.other = New()
	l.accept(putDesired(desiredState(7)))
	version := l.state.ConfigVersion()
	older := desiredState(5)
	older.Routes = older.GetRoutes()[:1]
	other := desiredState(7)
	other.Document = []byte("another content")
	for _, late := range []*wire.DesiredState{older, other, desiredState(7)} {
		l.accept(putDesired(late))
		require.Equal(t, version, l.state.ConfigVersion(), "nothing changed")
	}
	l.restart()
	require.Equal(t, "as sent", string(l.state.Desired().GetDocument()))
	require.Len(t, l.state.Desired().GetRoutes(), 2)
	l.accept(putDesired(desiredState(12)))
	require.EqualValues(t, 12, l.state.Desired().GetVersion())
}

func TestDesiredStateIsChecked(t *testing.T) {
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
	for problem, spoil := range cases {
		l := newLog(t)
		d := desiredState(3)
		spoil(d)
		require.Contains(t, l.refuse(result.InvalidDesiredState, putDesired(d)).GetMessage(), trimmed(problem))
		require.Nil(t, l.state.Desired())
	}
}

func trimmed(s string) string {
	for len(s) > 0 && s[len(s)-1] == ' ' {
		s = s[:len(s)-1]
	}
	return s
}

func TestUpdatesCarryTheDesiredStateOnce(t *testing.T) {
	l := newLog(t)
	l.accept(putDesired(desiredState(1)))
	first := l.state.ConfigSince(0)
	require.EqualValues(t, 1, first.GetDesired().GetVersion())
	require.Nil(t, first.GetDesired().GetDocument(), "only operators read the document")
	l.accept(putClass(class("a"), 0, ""))
	delta := l.state.ConfigSince(first.GetVersion())
	require.False(t, delta.GetFull())
	require.Nil(t, delta.GetDesired(), "the client has it")
	require.Empty(t, delta.GetRemoved(), "the desired state is no class")
	l.accept(putDesired(desiredState(2)))
	require.EqualValues(t, 2, l.state.ConfigSince(delta.GetVersion()).GetDesired().GetVersion())
}
