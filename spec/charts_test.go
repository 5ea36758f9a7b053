package spec

import (
	"io/fs"
	"strings"
	"testing"
	"testing/fstest"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/chart"
)

// edited returns the table of a chart file in which one text is replaced by another.
func edited[S, E ~uint8](t *testing.T, name string, states, events []string, old, changed string) *chart.Table[S, E] {
	t.Helper()
	path := "charts/" + name + ".jsonc"
	data, err := fs.ReadFile(chart.Files, path)
	require.NoError(t, err)
	require.Contains(t, string(data), old)
	text := strings.ReplaceAll(string(data), old, changed)
	c, err := chart.Load(fstest.MapFS{path: {Data: []byte(text)}}, path)
	require.NoError(t, err)
	table, err := chart.Bind[S, E](c, states, events)
	require.NoError(t, err)
	return table
}

// broken explores a case of the model of attempts with changed charts.
func broken(t *testing.T, c *charts, name string, want Invariant) Invariant {
	t.Helper()
	k, err := findCase(name)
	require.NoError(t, err)
	r, err := k.explore(c, AllGuards, want)
	require.NoError(t, err)
	logTrace(t, r)
	return r.Broken
}

// The specification follows the charts of the code: a chart that forgets a rule makes it fail.
func TestEditedChartsAreFound(t *testing.T) {
	t.Run("work is repeated without a look at its class", func(t *testing.T) {
		c, err := openCharts()
		require.NoError(t, err)
		c.request = edited[requestState, requestEvent](t, "request", requestStates, requestEvents,
			`"cancel_confirmed": [
          {"to": "queued", "guards": ["may_retry"]},
          {"to": "failed", "actions": ["fail_caller"]}
        ],`,
			`"cancel_confirmed": {"to": "queued"},`)
		require.Equal(t, Once, broken(t, c, caseQuietOnce, Once))
	})
	t.Run("an answered cancel counts as an end", func(t *testing.T) {
		c, err := openCharts()
		require.NoError(t, err)
		c.attempt = edited[attemptState, attemptEvent](t, "attempt", attemptStates, attemptEvents,
			`{"to": "cancelling", "actions": ["reply_unproven", "back_off"]}
        ],`,
			`{"to": "tombstoned", "actions": ["release_room", "keep_tombstone", "reply_never_started"]}
        ],`)
		require.Equal(t, NotRunTrue, broken(t, c, caseQuiet, NotRunTrue))
	})
	t.Run("a suspended run goes on after it was reported as over", func(t *testing.T) {
		c, err := openCharts()
		require.NoError(t, err)
		c.attempt = edited[attemptState, attemptEvent](t, "attempt", attemptStates, attemptEvents,
			`"cancel": {"to": "tombstoned", "actions": ["discard_suspended", "release_room", "keep_tombstone", "reply_cancelled"]},`,
			`"cancel": {"to": "running", "actions": ["reply_cancelled", "resume_engine"]},`)
		require.Equal(t, OneEngine, broken(t, c, caseSuspend, OneEngine))
	})
	t.Run("a server is drained while it runs work", func(t *testing.T) {
		c, err := openCharts()
		require.NoError(t, err)
		c.server = edited[serverState, serverEvent](t, "server", serverStates, serverEvents,
			`"leave": {"to": "draining", "actions": ["stop_new_work", "tell"]}`,
			`"leave": {"to": "drained", "actions": ["stop_new_work", "tell"]}`)
		require.Equal(t, DrainedIdle, broken(t, c, caseLeave, DrainedIdle))
	})
}
