package chart_test

import (
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/chart"
	"github.com/carawaypitch/carawaypitch/result"
)

type (
	doorState uint8
	doorEvent uint8
)

const (
	shut doorState = iota
	open
)

const (
	push doorEvent = iota
	lean
)

const door = `{
	"name": "door",
	"events": {"push": "", "lean": ""},
	"guards": {"locked": "", "heavy": ""},
	"actions": {"ring_bell": ""},
	"states": {
		"shut": {"initial": true, "on": {
			"push": [
				{"to": "shut", "guards": ["locked", "!heavy"], "actions": ["ring_bell"]},
				{"to": "open", "guards": ["!locked"]},
			],
			"lean": {"to": "shut"}, // no action
		}},
		"open": {"final": true, "on": {"push": {"to": "open"}}},
	},
}`

func load(t *testing.T, text string) (*chart.Chart, error) {
	t.Helper()
	return chart.Load(fstest.MapFS{"c": {Data: []byte(text)}}, "c")
}

func doorTable(t *testing.T) *chart.Table[doorState, doorEvent] {
	t.Helper()
	c, err := load(t, door)
	require.NoError(t, err)
	table, err := chart.Bind[doorState, doorEvent](c, []string{"shut", "open"}, []string{"push", "lean"})
	require.NoError(t, err)
	return table
}

// Guards against an embedded chart that is invalid, or that has a state, event, guard or action without documentation.
func TestEmbeddedCharts(t *testing.T) {
	for _, name := range []string{"request", "attempt", "server", "replica", "order"} {
		c, err := chart.LoadEmbedded(name)
		require.NoError(t, err)
		require.Equal(t, name, c.Name)
		for _, state := range c.States {
			require.NotEmpty(t, state.Doc, state.Name)
		}
		for _, list := range [][]chart.Declaration{c.Events, c.Guards, c.Actions} {
			for _, item := range list {
				require.NotEmpty(t, item.Doc, item.Name)
			}
		}
	}
}

// Guards against a transition whose guards don't hold, and against negated guards that are evaluated as plain ones.
func TestNextGuardedTakesFirstBranchWhoseGuardsHold(t *testing.T) {
	table := doorTable(t)
	cases := []struct {
		locked, heavy bool
		to            doorState
		actions       []string
		refused       bool
	}{
		{locked: true, to: shut, actions: []string{"ring_bell"}},
		{to: open},
		{heavy: true, to: open},
		{locked: true, heavy: true, refused: true},
	}
	for _, c := range cases {
		values := map[string]bool{"locked": c.locked, "heavy": c.heavy}
		next, err := table.NextGuarded(shut, push, func(name string) bool { return values[name] })
		if c.refused {
			require.True(t, result.Is(err, result.ChartEventRefused))
			continue
		}
		require.NoError(t, err)
		require.Equal(t, c.to, next.To)
		require.Equal(t, c.actions, next.Actions)
	}
	require.Len(t, table.Branches(shut, push), 2)
	require.Equal(t, "!heavy", table.Branches(shut, push)[0].Guards[1].String())
	require.Equal(t, shut, table.Initial())
	require.True(t, table.Final(open))
	require.False(t, table.Final(shut))
}

// Guards against a request that waits forever without any counter to show it: an event that the chart doesn't allow in
// the present state must be a counted error, not be ignored.
func TestDisallowedEventIsACountedError(t *testing.T) {
	table := doorTable(t)
	_, err := table.Next(open, lean)
	require.EqualError(t, err, "chart_event_refused (1902): chart door, state open, event lean: not allowed")
	_, err = table.Next(shut, push)
	require.ErrorContains(t, err, "guards decide")
	_, err = table.Next(9, push)
	require.ErrorContains(t, err, "out_of_range")
	next, err := table.Next(shut, lean)
	require.NoError(t, err)
	require.Equal(t, shut, next.To)
	require.Equal(t, uint64(2), table.Refused())
	require.Equal(t, uint64(1), table.RefusedAt(open, lean))
}

// Guards against Go constants that don't match the chart, which would make a table take transitions of other states.
func TestBindRequiresMatchingNames(t *testing.T) {
	c, err := load(t, door)
	require.NoError(t, err)
	_, err = chart.Bind[doorState, doorEvent](c, []string{"shut", "ajar", "shut"}, []string{"push", "lean"})
	require.True(t, result.Is(err, result.ChartInvalid))
	for _, part := range []string{"open is not in the Go", "ajar is not in the chart", "shut stands twice"} {
		require.ErrorContains(t, err, part)
	}
	_, err = chart.BindEmbedded[doorState, doorEvent]("order", nil, nil)
	require.ErrorContains(t, err, "event commit is not in the Go names")
}

// Guards against a mistake in a chart file that is found only when an event is refused at run time, or never.
func TestLoadFindsMistakes(t *testing.T) {
	cases := map[string]struct{ text, want string }{
		"syntax":          {`{`, "line 1"},
		"unknown field":   {`{"colour": 1}`, `unknown field "colour"`},
		"field in branch": {`{"states": {"a": {"on": {"e": {"goto": "a"}}}}}`, `unknown field "goto"`},
		"key twice":       {`{"name": "a", "name": "b"}`, `"name" stands twice`},
		"no initial":      {`{"name": "c", "states": {"a": {"final": true}}}`, "want one initial state, got 0"},
		"two initial": {
			`{"name": "c", "states": {"a": {"initial": true, "final": true}, "b": {"initial": true, "final": true}}}`,
			"want one initial state, got 2",
		},
		"name":          {`{"name": "Big C"}`, "not snake_case"},
		"unknown state": {singleStateChart(`{"to": "b"}`), `unknown state "b"`},
		"final left": {
			`{"name": "c", "events": {"e": ""}, "states": {"a": {"initial": true, "final": true, "on": {"e": {"to": "b"}}}, "b": {"final": true}}}`,
			"leaves a final state",
		},
		"unknown guard":  {singleStateChart(`{"to": "a", "guards": ["!g"]}`), `unknown guard "g"`},
		"unknown action": {singleStateChart(`{"to": "a", "actions": ["x"]}`), `unknown action "x"`},
		"no branch":      {singleStateChart(`[]`), "no branch"},
		"never taken":    {singleStateChart(`[{"to": "a"}, {"to": "a"}]`), "never taken"},
		"dead end":       {singleStateChart(`{"to": "a"}`), "state a is a dead end"},
		"unreachable":    {`{"name": "c", "states": {"a": {"initial": true, "final": true}, "b": {"final": true}}}`, "b can't be reached"},
		"unused event":   {`{"name": "c", "events": {"e": ""}, "states": {"a": {"initial": true, "final": true}}}`, `event "e" is declared and not used`},
		"unknown event":  {`{"name": "c", "states": {"a": {"initial": true, "on": {"e": {"to": "a"}}}}}`, `unknown event "e"`},
	}
	for name, c := range cases {
		_, err := load(t, c.text)
		require.True(t, result.Is(err, result.ChartInvalid), name)
		require.ErrorContains(t, err, c.want, name)
	}
	_, err := chart.LoadEmbedded("none")
	require.True(t, result.Is(err, result.ChartInvalid))
}

// singleStateChart returns a chart with the single state a and the event e, whose branches are given by on.
func singleStateChart(on string) string {
	return `{"name": "c", "events": {"e": ""}, "states": {"a": {"initial": true, "on": {"e": ` + on + `}}}}`
}
