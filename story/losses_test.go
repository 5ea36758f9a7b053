package story

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const lossLines = `entry-1: time=2026-01-01T00:00:01Z level=info event=request_answered attempts=1 class=long due_ms=800 first_ms=120 ms=900 organisation=a pause_ms=20 prompt=900 refusals=0 room_age_ms=10 roomy=3 sent_ms=0
entry-1: time=2026-01-01T00:00:01Z level=info event=request_answered attempts=1 class=long due_ms=800 first_ms=120 ms=900 organisation=a pause_ms=700 prompt=900 refusals=0 room_age_ms=10 roomy=0 sent_ms=0
entry-1: time=2026-01-01T00:00:01Z level=info event=request_answered attempts=1 class=long due_ms=800 first_ms=1020 ms=1900 organisation=a pause_ms=20 prompt=54000 refusals=0 room_age_ms=300 roomy=3 sent_ms=4
entry-1: time=2026-01-01T00:00:01Z level=info event=request_answered attempts=1 class=long due_ms=800 first_ms=900 ms=1900 organisation=b pause_ms=20 prompt=2000 refusals=0 room_age_ms=10 roomy=0 sent_ms=790
entry-1: time=2026-01-01T00:00:01Z level=info event=request_answered attempts=3 class=long due_ms=800 first_ms=900 ms=1900 organisation=b pause_ms=20 prompt=2000 refusals=1 room_age_ms=10 roomy=0 sent_ms=790
entry-1: time=2026-01-01T00:00:01Z level=info event=request_failed attempts=0 class=long code=1205 due_ms=800 ms=801 organisation=b prompt=3000 refusals=0 room_age_ms=20 roomy=0 sent_ms=0
entry-1: time=2026-01-01T00:00:01Z level=info event=request_failed attempts=0 class=long code=1205 due_ms=800 ms=801 organisation=a prompt=3000 refusals=0 room_age_ms=20 roomy=1 sent_ms=0
entry-1: time=2026-01-01T00:00:01Z level=info event=request_refused code=1208 organisation=a route=long
entry-1: time=2026-01-01T00:00:01Z level=info event=link_up agent=x
no line of this system
`

// Guards against a late or failed request that is counted under a wrong cause, or not at all.
func TestLossesAreSortedByCause(t *testing.T) {
	l := Losses{Pause: 400 * time.Millisecond}
	require.NoError(t, l.Read("file", strings.NewReader(lossLines)))
	causes := map[string]int{}
	for _, loss := range l.List() {
		causes[loss.Cause] = loss.Requests
		require.Equal(t, "long", loss.Class)
	}
	require.Equal(t, map[string]int{
		CausePaused: 1, CauseSlowCompute: 1, CauseQueueWait: 1, CauseRetried: 1,
		"deadline_passed_in_queue (1205)": 2, "over_usage_cap (1208)": 1,
	}, causes)
	first := l.List()[0]
	require.Equal(t, CauseSlowCompute, first.Cause, "the group with the most prompt tokens must be first")
	require.EqualValues(t, 54_000, first.LargestPrompt)
	require.Equal(t, 300*time.Millisecond, first.RoomAge)
}

// Guards against organisations that are counted together, and against wrong counts of unsent requests and free capacity.
func TestLossesByOrganisation(t *testing.T) {
	l := Losses{ByOrganisation: true}
	require.NoError(t, l.Read("file", strings.NewReader(lossLines)))
	var queued []Loss
	for _, loss := range l.List() {
		if strings.HasSuffix(loss.Cause, "(1205)") {
			queued = append(queued, loss)
		}
	}
	require.Len(t, queued, 2)
	for _, loss := range queued {
		require.Equal(t, 1, loss.Unsent)
		require.Equal(t, loss.Organisation == "a", loss.WithRoom == 1)
	}
	var table strings.Builder
	require.NoError(t, l.Write(&table))
	require.Contains(t, table.String(), "deadline_passed_in_queue (1205)")
	require.NotContains(t, table.String(), CausePaused, "pauses must not count as losses without a bound")
}

// Guards against a crash or a division by zero on an empty log.
func TestNoLossesWithoutLines(t *testing.T) {
	var l Losses
	require.NoError(t, l.Read("file", strings.NewReader("")))
	require.Empty(t, l.List())
	require.NoError(t, l.Write(&strings.Builder{}))
}
