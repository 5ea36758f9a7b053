package story

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// maxLineBytes is the length limit of a log line; a longer one is an error.
	maxLineBytes = 1 << 20
	// contextWindow is the time before an event of the request from which state changes of the same process are shown.
	contextWindow = 5 * time.Second
)

// contextEvents are the events of state changes that affect how a process handles later requests.
var contextEvents = []string{
	"config_applied", "settings_reloaded", "link_up", "link_down", "server_condition", "server_leaving", "server_announced",
	"entry_started", "entry_stopping", "agent_started", "agent_stopping", "control_started", "role_changed",
	"desired_state_committed", "announcement_not_committed", "log_lines_left_out",
	"rollout_ordered", "rollout_completed", "rollout_reverted",
}

// Log holds the lines of one log that are about a request, and those of state changes, in the order of the log.
type Log struct {
	process      string
	requestLines []Line
	contextLines []Line
}

// Read reads a log and keeps the lines about requests whose id begins with request, and those of state changes. process is
// the name for lines without a prefix. It returns the reader's error.
func Read(process string, r io.Reader, request string) (*Log, error) {
	l := &Log{process: process}
	err := eachLine(process, r, func(line Line) {
		switch {
		case strings.HasPrefix(line.Field("request"), request):
			l.requestLines = append(l.requestLines, line)
		case slices.Contains(contextEvents, line.Event):
			l.contextLines = append(l.contextLines, line)
		}
	})
	if err != nil {
		return nil, err
	}
	return l, nil
}

// eachLine calls f with each line of a log that Parse accepts. It returns the reader's error, wrapped with process.
func eachLine(process string, r io.Reader, f func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := Parse(process, scanner.Text()); ok {
			f(line)
		}
	}
	if err := scanner.Err(); err != nil {
		return errors.Wrap(err, process)
	}
	return nil
}

// Write writes the course of a request from the logs of any number of processes: the attempts at backend servers first,
// then how the entry ended the request, with the runs that contributed to the answer. Each line is followed by the state changes
// of the same process within contextWindow before it, with their ages. Clocks of different processes may differ, since an age is the difference of
// two times of one process. It returns the writer's error.
func Write(w io.Writer, logs []*Log) error {
	var all []traceEntry
	for _, l := range logs {
		for _, line := range l.requestLines {
			all = append(all, traceEntry{line: line, context: l.precedingContext(line)})
		}
	}
	slices.SortStableFunc(all, func(a, b traceEntry) int { return a.causalRank() - b.causalRank() })
	for _, c := range all {
		if err := c.write(w); err != nil {
			return err
		}
	}
	if len(all) == 0 {
		_, err := fmt.Fprintln(w, "no line about this request; lines that were left out are counted by log_lines_left_out")
		return err
	}
	return nil
}

// precedingContext returns the latest state change for each context key within contextWindow before a line, of the same
// process.
func (l *Log) precedingContext(line Line) []Line {
	last := make(map[string]Line)
	for _, change := range l.contextLines {
		age := line.At.Sub(change.At)
		if change.Process == line.Process && age >= 0 && age <= contextWindow {
			last[change.contextKey()] = change
		}
	}
	var out []Line
	for _, change := range l.contextLines {
		if last[change.contextKey()].Text == change.Text {
			out = append(out, change)
		}
	}
	return out
}

// contextKey identifies what a state change is about; a later change with the same key replaces an earlier one.
func (l Line) contextKey() string {
	return l.Event + " " + l.Field("server") + " " + l.Field("agent")
}

// traceEntry is one line about the request with the state changes that preceded it.
type traceEntry struct {
	line    Line
	context []Line
}

// causalRank orders entries by causality, since times of different processes can't be compared: ends of attempts, logged by
// agents, come before the end of the request, logged by the entry.
func (c traceEntry) causalRank() int {
	switch c.line.Event {
	case "attempt_ended":
		return 0
	case "caller_left":
		return 1
	default:
		return 2
	}
}

func (c traceEntry) write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s: %s\n", c.line.Process, c.line.Text); err != nil {
		return err
	}
	if runs := c.line.Field("runs"); runs != "" {
		for run := range strings.SplitSeq(runs, "; ") {
			if _, err := fmt.Fprintf(w, "    run %s\n", run); err != nil {
				return err
			}
		}
	}
	for _, change := range c.context {
		if change.Field("server") != "" && change.Field("server") != c.line.Field("server") {
			continue
		}
		age := c.line.At.Sub(change.At)
		if _, err := fmt.Fprintf(w, "    %s before: %s\n", age, change.Text); err != nil {
			return err
		}
	}
	return nil
}
