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

// Log events that an entry writes at the end of a request.
const (
	eventAnswered = "request_answered"
	eventFailed   = "request_failed"
	eventRefused  = "request_refused"
)

// Causes of late answers. The cause of a refusal or failure is its result code.
const (
	// CauseQueueWait is the cause if the answer began late after the request had waited at its entry for more than half of
	// the time allowed.
	CauseQueueWait = "late: waited for a place"
	// CauseSlowCompute is the cause if the answer began late although the request was sent early: because of its prompt, or
	// because of the server.
	CauseSlowCompute = "late: computed too long"
	// CauseRetried is the cause if the answer began late and there was more than one attempt that was not refused.
	CauseRetried = "late: a first attempt failed"
	// CausePaused is the cause if the answer began in time, but paused between two events for longer than allowed.
	CausePaused = "late: paused"
	// causeInTime marks an answer in time. It is counted only for the share of losses in all requests.
	causeInTime = "in time"
)

// Group is the key by which losses are grouped.
type Group struct {
	// Cause is one of the causes above, or the name and number of a result code.
	Cause string
	// Class and Organisation are those of the request. Organisation is empty unless Losses.ByOrganisation is set.
	Class, Organisation string
}

// Loss summarises the lost and late requests of one group.
type Loss struct {
	Group
	// Requests is the number of requests; a retry by the caller counts as another request.
	Requests int
	// WithRoom is the number of requests that ended while a server of their pool had free capacity.
	WithRoom int
	// Unsent is the number of requests without an answer that were never offered to a backend server.
	Unsent int
	// PromptTokens is the sum of the lengths of all prompts, LargestPrompt the largest length, both in tokens.
	PromptTokens, LargestPrompt int64
	// Waited is the sum of the times from arrival to the first event of the answer, or to the end without an answer.
	Waited time.Duration
	// RoomAge is the greatest age of the data on a server's free capacity on which the decision on a request was based.
	RoomAge time.Duration
}

// Losses counts requests that were refused, failed or late by cause, from the log lines of entries. The zero value is
// ready to use.
type Losses struct {
	// Pause is the longest pause allowed between two events of an answer, to the millisecond; 0 means no bound.
	Pause time.Duration
	// ByOrganisation groups by organisation also.
	ByOrganisation bool

	requestsByClass map[string]int // number of requests by class, those in time included
	groups          map[Group]*Loss
}

// Read adds all lines of a log. process is the name for lines without a prefix. It returns the reader's error.
func (l *Losses) Read(process string, r io.Reader) error {
	return eachLine(process, r, l.add)
}

// add counts the request that a line ends; other lines are ignored.
func (l *Losses) add(line Line) {
	cause, ok := l.cause(line)
	if !ok {
		return
	}
	if l.groups == nil {
		l.groups, l.requestsByClass = make(map[Group]*Loss), make(map[string]int)
	}
	group := Group{Cause: cause, Class: cmp.Or(line.Field("class"), line.Field("route"))}
	l.requestsByClass[group.Class]++
	if cause == causeInTime {
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
	if line.intField("roomy") > 0 {
		l.WithRoom++
	}
	if line.Event != eventAnswered && line.intField("attempts") == 0 {
		l.Unsent++
	}
	prompt := line.intField("prompt")
	l.PromptTokens += prompt
	l.LargestPrompt = max(l.LargestPrompt, prompt)
	waited := line.intField("ms")
	if line.Event == eventAnswered {
		waited = line.intField("first_ms")
	}
	l.Waited += time.Duration(waited) * time.Millisecond
	l.RoomAge = max(l.RoomAge, time.Duration(line.intField("room_age_ms"))*time.Millisecond)
}

// intField returns the value of a field as an integer, or 0 if it is missing or not an integer.
func (l Line) intField(field string) int64 {
	n, _ := strconv.ParseInt(l.Field(field), 10, 64)
	return n
}

// cause returns why the request that a line ends counts as lost or late, or causeInTime. It reports whether the line ends
// a request.
func (l *Losses) cause(line Line) (string, bool) {
	switch line.Event {
	case eventAnswered:
		return l.answerCause(line), true
	case eventFailed, eventRefused:
		code := result.Code(line.intField("code"))
		return fmt.Sprintf("%s (%d)", code.Info().Name, code), true
	default:
		return "", false
	}
}

// answerCause returns the cause for an answered request. A refused attempt doesn't count as a retry.
func (l *Losses) answerCause(line Line) string {
	first, due := line.intField("first_ms"), line.intField("due_ms")
	switch {
	case first <= due && l.Pause > 0 && line.intField("pause_ms") > l.Pause.Milliseconds():
		return CausePaused
	case first <= due:
		return causeInTime
	case line.intField("attempts")-line.intField("refusals") > 1:
		return CauseRetried
	case line.intField("sent_ms") > due/2:
		return CauseQueueWait
	default:
		return CauseSlowCompute
	}
}

// List returns the groups, in descending order of prompt tokens.
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

// Write writes a table of the groups, and the number of requests of each class. It returns the writer's error.
func (l *Losses) Write(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "CAUSE\tCLASS\tORGANISATION\tTRIES\tOF CLASS\tWITH ROOM\tUNSENT\tPROMPT TOKENS\tLARGEST\tMEAN MS\tROOM AGE MS")
	for _, loss := range l.List() {
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%.1f%%\t%d\t%d\t%d\t%d\t%d\t%d\n",
			loss.Cause, loss.Class, cmp.Or(loss.Organisation, "-"), loss.Requests,
			100*float64(loss.Requests)/float64(l.requestsByClass[loss.Class]), loss.WithRoom, loss.Unsent, loss.PromptTokens,
			loss.LargestPrompt, (loss.Waited / time.Duration(loss.Requests)).Milliseconds(), loss.RoomAge.Milliseconds())
	}
	for _, class := range slices.Sorted(maps.Keys(l.requestsByClass)) {
		fmt.Fprintf(table, "all tries\t%s\t\t%d\n", class, l.requestsByClass[class])
	}
	return table.Flush()
}
