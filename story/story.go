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
	// maxLine bounds a line of a log, in bytes.
	maxLine = 1 << 20
	// contextBefore is how long before an event of the request changes of what a process believed are shown.
	contextBefore = 5 * time.Second
)

// beliefEvents change what a process goes by, and so what it does with later requests.
var beliefEvents = []string{
	"config_applied", "settings_reloaded", "link_up", "link_down", "server_condition", "server_leaving", "server_announced",
	"entry_started", "entry_stopping", "agent_started", "agent_stopping", "control_started", "role_changed",
	"desired_state_committed", "announcement_not_committed", "log_lines_left_out",
}

// Log holds the lines of one file that matter to a story, in the order in which they were written.
type Log struct {
	process string
	lines   []Line
	beliefs []Line
}

// Read reads a log and keeps the lines about a request, whose id may be a prefix, and the changes of what
// the process believed.
func Read(process string, r io.Reader, request string) (*Log, error) {
	l := &Log{process: process}
	err := eachLine(process, r, func(line Line) {
		switch {
		case strings.HasPrefix(line.Field("request"), request):
			l.lines = append(l.lines, line)
		case slices.Contains(beliefEvents, line.Event):
			l.beliefs = append(l.beliefs, line)
		}
	})
	if err != nil {
		return nil, err
	}
	return l, nil
}

// eachLine calls f with each line of this system in a log. The error is the reader's.
func eachLine(process string, r io.Reader, f func(Line)) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
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

// Write tells the story of a request from the logs of any number of processes: attempts at backend servers first, then
// how the entry ended it, each with what its process had come to believe shortly before, and how long before. Processes'
// clocks need not agree: ages are taken within one process. The error is the writer's.
func Write(w io.Writer, logs []*Log) error {
	var all []chapter
	for _, l := range logs {
		for _, line := range l.lines {
			all = append(all, chapter{line: line, before: l.before(line)})
		}
	}
	slices.SortStableFunc(all, func(a, b chapter) int { return a.rank() - b.rank() })
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

// before returns the last change of each kind of belief in the time before a line.
func (l *Log) before(line Line) []Line {
	last := make(map[string]Line)
	for _, belief := range l.beliefs {
		age := line.At.Sub(belief.At)
		if belief.Process == line.Process && age >= 0 && age <= contextBefore {
			last[belief.subject()] = belief
		}
	}
	var out []Line
	for _, belief := range l.beliefs {
		if last[belief.subject()].Text == belief.Text {
			out = append(out, belief)
		}
	}
	return out
}

// subject names what a belief is about; a later one about the same replaces it.
func (l Line) subject() string {
	return l.Event + " " + l.Field("server") + " " + l.Field("agent")
}

// chapter is one line about the request with what led to it.
type chapter struct {
	line   Line
	before []Line
}

// rank orders by cause: what agents say of attempts comes before what the entry says of the end.
func (c chapter) rank() int {
	switch c.line.Event {
	case "attempt_ended":
		return 0
	case "caller_left":
		return 1
	default:
		return 2
	}
}

func (c chapter) write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s: %s\n", c.line.Process, c.line.Text); err != nil {
		return err
	}
	for _, belief := range c.before {
		if belief.Field("server") != "" && belief.Field("server") != c.line.Field("server") {
			continue
		}
		age := c.line.At.Sub(belief.At)
		if _, err := fmt.Fprintf(w, "    %s before: %s\n", age, belief.Text); err != nil {
			return err
		}
	}
	return nil
}
