package entry

import (
	"cmp"
	"fmt"
	"maps"
	"net/http"
	"strings"

	"github.com/apex/log"

	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/sched"
)

// written describes what was written of an answer to its caller, for the log line at its end.
type written struct {
	protocol string          // of the caller, such as HTTP/1.0
	framing  framing.Framing // how the answer shows its end to the caller, framing.None before the head
	sequence framing.Sequence
	bytes    int   // of the body
	complete bool  // the end of the answer was written
	err      error // of a write, nil if none failed
}

// framingToCaller returns how a body that is written without a Content-Length ends.
func framingToCaller(r *http.Request) framing.Framing {
	if r.ProtoAtLeast(1, 1) {
		return framing.Chunked
	}
	return framing.Connection
}

// fields returns the log fields. Before the head there is nothing to tell but that.
func (w *written) fields() log.Fields {
	fields := log.Fields{"framing": w.framing.String(), "complete": w.complete}
	if w.err != nil {
		fields["write_error"] = w.err.Error()
	}
	if w.framing == framing.None {
		return fields
	}
	maps.Copy(fields, log.Fields{
		"protocol":       w.protocol,
		"written_bytes":  w.bytes,
		"written_events": w.sequence.Events,
		"unnamed_events": w.sequence.Unnamed,
		"first_event":    w.sequence.First,
		"last_event":     w.sequence.Last,
		"id_gaps":        w.sequence.Gaps,
	})
	return fields
}

// runFields returns the log fields about the runs that contributed to an answer: server_framing and cause of the last one, and all
// of them in order, as ATTEMPT@SERVER/VERSION POSITION AFTER>FIRST..LAST events:N gaps:N FRAMING:CAUSE.
func runFields(t sched.Trace) log.Fields {
	if len(t.Runs) == 0 {
		return nil
	}
	texts := make([]string, 0, len(t.Runs))
	for _, run := range t.Runs {
		texts = append(texts, runText(run))
	}
	last := t.Runs[len(t.Runs)-1]
	return log.Fields{
		"server_framing": last.Framing,
		"cause":          string(last.Cause),
		"runs":           strings.Join(texts, "; "),
		"runs_left_out":  t.RunsLeftOut,
	}
}

func runText(run sched.RunTrace) string {
	s := run.Sequence
	return fmt.Sprintf("%d@%s/%s at:%d %s>%s..%s events:%d gaps:%d %s:%s", run.Attempt, run.Server, cmp.Or(run.Version, "-"), run.Position,
		run.After, s.First, s.Last, s.Events, s.Gaps, cmp.Or(run.Framing, "-"), cmp.Or(string(run.Cause), "-"))
}
