package story

import (
	"bytes"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const entryLog = `time=2026-01-02T15:04:01.000Z level=info event=config_applied version=7
time=2026-01-02T15:04:04.200Z level=warn event=link_down agent=agent-1 error="link: no heartbeat"
time=2026-01-02T15:04:05.000Z level=info event=request_failed code=1303 error="engine_failed (1303): a b" request=5f3a-1 server=s1
time=2026-01-02T15:04:06.000Z level=info event=request_answered request=77aa-2 server=s1
no line of ours
`

const agentLog = `collector agent-1 time=2026-01-02T16:00:00.000Z level=info event=server_condition condition=suspect server=s1
collector agent-1 time=2026-01-02T16:00:00.000Z level=info event=server_condition condition=suspect server=s2
collector agent-2 time=2026-01-02T16:00:00.500Z level=info event=server_condition condition=ready server=s1
collector agent-1 time=2026-01-02T16:00:01.500Z level=warn event=attempt_ended attempt=1 request=5f3a-1 server=s1 status=500
`

func writeStory(t *testing.T, request string) string {
	t.Helper()
	one, err := Read("entry-1", strings.NewReader(entryLog), request)
	require.NoError(t, err)
	two, err := Read("agents", strings.NewReader(agentLog), request)
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, Write(&out, []*Log{one, two}))
	return out.String()
}

// Guards against an order or ages taken from clocks of different processes, which differ by an hour here.
func TestStoryOfARequest(t *testing.T) {
	require.Equal(t, `agent-1: time=2026-01-02T16:00:01.500Z level=warn event=attempt_ended attempt=1 request=5f3a-1 server=s1 status=500
    1.5s before: time=2026-01-02T16:00:00.000Z level=info event=server_condition condition=suspect server=s1
entry-1: time=2026-01-02T15:04:05.000Z level=info event=request_failed code=1303 error="engine_failed (1303): a b" request=5f3a-1 server=s1
    4s before: time=2026-01-02T15:04:01.000Z level=info event=config_applied version=7
    800ms before: time=2026-01-02T15:04:04.200Z level=warn event=link_down agent=agent-1 error="link: no heartbeat"
`, writeStory(t, "5f3a"))
}

// Guards against empty output for a request without lines, which an operator can't tell from a failed command.
func TestStoryOfAnUnknownRequest(t *testing.T) {
	require.Contains(t, writeStory(t, "ffff"), "no line about this request")
}

// Guards against joins of runs that an operator has to look for inside a long line.
func TestStoryListsTheRunsOfAnAnswer(t *testing.T) {
	l, err := Read("entry-1", strings.NewReader(
		`time=2026-01-02T15:04:06.000Z level=info event=request_answered request=77aa-2 runs="1@s1/v1 at:0 >1..2 a; 2@s2/v1 at:3 2>3..4 b"`+"\n"), "77aa")
	require.NoError(t, err)
	var out bytes.Buffer
	require.NoError(t, Write(&out, []*Log{l}))
	require.Contains(t, out.String(), "\n    run 1@s1/v1 at:0 >1..2 a\n    run 2@s2/v1 at:3 2>3..4 b\n")
}

// Guards against values that are read wrongly because of quotes, and against accepting lines of other programs.
func TestParse(t *testing.T) {
	line, ok := Parse("p", `time=2026-01-02T15:04:05.678Z level=info event=x a="1 \"2\"" b=3 c=`)
	require.True(t, ok)
	require.Equal(t, "x", line.Event)
	require.Equal(t, `1 "2"`, line.Field("a"))
	require.Equal(t, "3", line.Field("b"))
	require.Empty(t, line.Field("c"))
	for _, bad := range []string{"", "time=x event=y", "time=2026-01-02T15:04:05Z level=info"} {
		_, ok := Parse("p", bad)
		require.False(t, ok, bad)
	}
}

// Guards against a panic on arbitrary text, and against an accepted line without an event.
func FuzzParse(f *testing.F) {
	f.Add(`time=2026-01-02T15:04:05.678Z level=info event=x a="1 \"2\""`)
	f.Fuzz(func(t *testing.T, text string) {
		line, ok := Parse("p", text)
		require.Equal(t, ok, line.Event != "")
	})
}
