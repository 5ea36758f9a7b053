package logging_test

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/logging"
)

// Guards against lines that operators' tools can't parse, or whose fields change their order.
func TestLineForm(t *testing.T) {
	cases := map[string]struct {
		fields log.Fields
		want   string
	}{
		"none":    {nil, ""},
		"sorted":  {log.Fields{"b": 2, "a": "x"}, " a=x b=2"},
		"quoted":  {log.Fields{"a": "x y", "b": "k=v", "c": "", "d": `"`}, ` a="x y" b="k=v" c="" d="\""`},
		"types":   {log.Fields{"d": 1500 * time.Millisecond, "e": errors.New("a b"), "n": nil}, ` d=1.5s e="a b" n=<nil>`},
		"keys":    {log.Fields{"time": 1, "a b": 2, "": 3}, " _=3 a_b=2 field_time=1"},
		"letters": {log.Fields{"a": "Šibenik"}, " a=Šibenik"},
	}
	for name, c := range cases {
		var out bytes.Buffer
		handler := logging.NewHandler(&out)
		err := handler.HandleLog(&log.Entry{
			Timestamp: time.Date(2026, 1, 2, 15, 4, 5, 6_000_000, time.UTC),
			Level:     log.WarnLevel,
			Message:   "link_lost",
			Fields:    c.fields,
		})
		require.NoError(t, err)
		require.Equal(t, "time=2026-01-02T15:04:05.006Z level=warn event=link_lost"+c.want+"\n", out.String(), name)
	}
}

// Guards against log injection: a header with a line break, logged unquoted, would add a line for an event that never
// happened.
func TestLineBreaksInValuesAreQuoted(t *testing.T) {
	var out bytes.Buffer
	logging.New(log.InfoLevel, &out).WithField("class", "x\ntime=0 event=forged").Info("a\nb")
	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	require.Contains(t, out.String(), `event="a\nb" class="x\ntime=0 event=forged"`)
}

// Guards against concurrent writers mixing their lines, and against lines below the logger's level.
func TestLevelAndManyWriters(t *testing.T) {
	var out bytes.Buffer
	logger := logging.New(log.InfoLevel, &out)
	var group sync.WaitGroup
	for range 50 {
		group.Go(func() {
			logger.Debug("hidden")
			logger.WithField("a", 1).Info("shown")
		})
	}
	group.Wait()
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 50)
	for _, line := range lines {
		require.Regexp(t, `^time=\S+ level=info event=shown a=1$`, line)
	}
}

// Guards against a failed write that the caller can't notice.
func TestWriterErrorIsReturned(t *testing.T) {
	r, w := io.Pipe()
	require.NoError(t, r.CloseWithError(io.ErrClosedPipe))
	require.ErrorIs(t, logging.NewHandler(w).HandleLog(&log.Entry{}), io.ErrClosedPipe)
}
