package sched

import (
	"cmp"
	"slices"

	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/wire"
)

// maxTracedRuns bounds the runs of an answer in its Trace.
const maxTracedRuns = 8

// RunTrace describes what one run contributed to an answer.
type RunTrace struct {
	// Attempt is the number of the attempt, Server its server and Version the software version of that.
	Attempt         uint64
	Server, Version string
	// Position is the number of events of the answer before the run, the head of a verbatim answer included. After is the ID of
	// the event after which the run continues a stream, empty without one.
	Position uint64
	After    string
	// Sequence holds the event IDs of the run. The events of an answer that isn't verbatim have none.
	Sequence framing.Sequence
	// Framing is the name of the framing.Framing of the server's answer, and Cause what the judgement of its end rests on. Both
	// are empty as long as the agent has not reported the end.
	Framing string
	Cause   framing.Cause
}

// beginRun returns the trace of an attempt that is about to be sent.
func (r *request) beginRun(id *wire.AttemptID, to *server) RunTrace {
	after := framing.EventID(r.lastEvent)
	if r.Verbatim != nil {
		after = cmp.Or(after, r.Verbatim.LastEvent)
	}
	return RunTrace{
		Attempt:  id.GetNumber(),
		Server:   to.name,
		Version:  to.record.GetVersion(),
		Position: r.eventsReceived,
		After:    after,
		Sequence: framing.After(after, r.isConsecutive()),
	}
}

// isConsecutive reports whether the IDs of the events that were received of the answer are consecutive numbers.
func (r *request) isConsecutive() bool {
	runs, _ := r.tracedRuns()
	return len(runs) > 0 && !slices.ContainsFunc(runs, func(run RunTrace) bool { return !run.Sequence.Consecutive() })
}

// noteRunEvents adds events that were appended to the answer to the trace of the current run. The first one of a verbatim answer
// is its head.
func (r *request) noteRunEvents(events [][]byte) {
	run := &r.currentRecord().run
	if r.Verbatim == nil || !r.Stream {
		run.Sequence.Events += len(events)
		return
	}
	if r.eventsReceived == uint64(len(events)) {
		events = events[1:]
	}
	for _, event := range events {
		run.Sequence.Add(event)
	}
}

// noteRunEnd records how the server's answer to the current run ended, as its agent reports it.
func (r *request) noteRunEnd(m *wire.Over) {
	if m.GetEndCause() == "" {
		return
	}
	run := &r.currentRecord().run
	run.Framing, run.Cause = m.GetFraming(), framing.Cause(m.GetEndCause())
}

// tracedRuns returns the last runs that contributed events to the answer, and the number of those before.
func (r *request) tracedRuns() ([]RunTrace, int) {
	var runs []RunTrace
	for i := r.firstRun; i < len(r.attempts); i++ {
		if r.attempts[i].frames > 0 {
			runs = append(runs, r.attempts[i].run)
		}
	}
	leftOut := max(0, len(runs)-maxTracedRuns)
	return runs[leftOut:], leftOut
}
