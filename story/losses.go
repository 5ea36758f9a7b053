package story

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
)

// Events of an entry about the end of a request.
const (
	eventAnswered = "request_answered"
	eventFailed   = "request_failed"
	eventRefused  = "request_refused"
)

// Causes of answers that are not what was asked for. Refusals and failures have their code's name.
const (
	// CauseQueueWait is an answer that began late and had waited at its entry for more than half of its time.
	CauseQueueWait = "late: waited for a place"
	// CauseSlowCompute is one that began late though it was sent soon: its prompt, or the server, took so long.
	CauseSlowCompute = "late: computed too long"
	// CauseRetried is one that began late after a second attempt.
	CauseRetried = "late: a first attempt failed"
	// CausePaused is one that began in time and paused between two events for longer than allowed.
	CausePaused = "late: paused"
	// inTime is no loss; it is counted for the shares.
	inTime = "in time"
)

// Group is what losses are counted by.
type Group struct {
	// Cause is one of the causes above, or the name of a result code.
	Cause string
	// Class and Organisation of the request. Organisation is empty unless asked for.
	Class, Organisation string
}

// Loss is what is known of the requests of one group.
type Loss struct {
	Group
	// Requests counts tries: a caller that comes back is counted again.
	Requests int
	// WithRoom counts those that ended while a server of their pool had room.
	WithRoom int
	// Unsent counts those that no backend server was offered.
	Unsent int
	// PromptTokens adds up their prompts, and LargestPrompt is the largest.
	PromptTokens, LargestPrompt int64
	// Waited adds up the time from arrival to end, or to the first event of an answer.
	Waited time.Duration
	// RoomAge is the oldest word of a server's room that any of them was decided by.
	RoomAge time.Duration
}

// Losses sorts requests that were refused, failed or late, as entries' log lines tell.
type Losses struct {
	// Pause is the longest pause between two events of an answer in time; 0 judges no pauses.
	Pause time.Duration
	// ByOrganisation counts each organisation by itself.
	ByOrganisation bool

	total  map[string]int // tries by class
	groups map[Group]*Loss
}

// Read takes all lines of a log. The error is the reader's.
func (l *Losses) Read(process string, r io.Reader) error {
	return eachLine(process, r, l.add)
}

func (l *Losses) add(line Line) {
	cause, ok := l.cause(line)
	if !ok {
		return
	}
	if l.groups == nil {
		l.groups, l.total = make(map[Group]*Loss), make(map[string]int)
	}
	group := Group{Cause: cause, Class: cmp.Or(line.Field("class"), line.Field("route"))}
	l.total[group.Class]++
	if cause == inTime {
		return
	}
	if l.ByOrganisation {
		group.Organisation = line.Field("organisation")
	}
	loss := l.groups[group]
	if loss == nil {
		loss = &Loss{Group: group}
		l.groups[group] = loss
	}
	loss.add(line)
}

func (l *Loss) add(line Line) {
	l.Requests++
	if line.number("roomy") > 0 {
		l.WithRoom++
	}
	if line.Event != eventAnswered && line.number("attempts") == 0 {
		l.Unsent++
	}
	prompt := line.number("prompt")
	l.PromptTokens += prompt
	l.LargestPrompt = max(l.LargestPrompt, prompt)
	waited := line.number("ms")
	if line.Event == eventAnswered {
		waited = line.number("first_ms")
	}
	l.Waited += time.Duration(waited) * time.Millisecond
	l.RoomAge = max(l.RoomAge, time.Duration(line.number("room_age_ms"))*time.Millisecond)
}

// number is a field's value as a whole number, 0 if it is none.
func (l Line) number(field string) int64 {
	n, _ := strconv.ParseInt(l.Field(field), 10, 64)
	return n
}

// cause says why a request counts as lost or late, or that it is in time. False means that the line tells of no request.
func (l *Losses) cause(line Line) (string, bool) {
	switch line.Event {
	case eventAnswered:
		return l.lateness(line), true
	case eventFailed, eventRefused:
		code := result.Code(line.number("code"))
		return fmt.Sprintf("%s (%d)", code.Info().Name, code), true
	default:
		return "", false
	}
}

func (l *Losses) lateness(line Line) string {
	first, due := line.number("first_ms"), line.number("due_ms")
	switch {
	case first <= due && l.Pause > 0 && line.number("pause_ms") > l.Pause.Milliseconds():
		return CausePaused
	case first <= due:
		return inTime
	case line.number("attempts")-line.number("refusals") > 1:
		return CauseRetried
	case line.number("sent_ms") > due/2:
		return CauseQueueWait
	default:
		return CauseSlowCompute
	}
}

// List returns the groups, the one with the most prompt tokens first.
func (l *Losses) List() []Loss {
	var list []Loss
	for _, loss := range l.groups {
		list = append(list, *loss)
	}
	slices.SortFunc(list, func(a, b Loss) int {
		return cmp.Or(
			cmp.Compare(b.PromptTokens, a.PromptTokens),
			cmp.Compare(b.Requests, a.Requests),
			cmp.Compare(a.Cause, b.Cause),
			cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Organisation, b.Organisation),
		)
	})
	return list
}

// Write prints a table of the groups, and the tries of each class. The error is the writer's.
func (l *Losses) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CAUSE\tCLASS\tORGANISATION\tTRIES\tOF CLASS\tWITH ROOM\tUNSENT\tPROMPT TOKENS\tLARGEST\tMEAN MS\tROOM AGE MS")
	for _, loss := range l.List() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t%d\n",
			loss.Cause, loss.Class, cmp.Or(loss.Organisation, "-"), loss.Requests,
			100*float64(loss.Requests)/float64(l.total[loss.Class]), loss.WithRoom, loss.Unsent, loss.PromptTokens,
			loss.LargestPrompt, (loss.Waited / time.Duration(loss.Requests)).Milliseconds(), loss.RoomAge.Milliseconds())
	}
	for _, class := range slices.Sorted(maps.Keys(l.total)) {
		fmt.Fprintf(table, "all tries\t%s\t\t%d\n", class, l.total[class])
	}
	return table.Flush()
}
