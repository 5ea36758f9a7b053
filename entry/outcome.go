package entry

import (
	"bytes"
	"strings"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// outcome is how a request ended: with a complete answer, or with err.
type outcome struct {
	err      *result.Error
	attempts attemptSummary // set together with err

	trace sched.Trace

	status      int
	contentType string
	body        []byte // complete; for a stream the events as sent, without the end marker
	bodyDropped bool   // body was too large to be stored
	size        int    // bytes of the answer, even if dropped
}

// Parts of an event stream.
const (
	eventPrefix = "data: "
	eventEnd    = "\n\n"
	streamEnd   = eventPrefix + engine.StreamDone + eventEnd
)

// collector collects the events of an answer.
type collector struct {
	request        *sched.Request
	maxStreamBytes int // bound on the bytes stored of a stream
	events         [][]byte
	stream         bytes.Buffer
	size           int
	dropped        bool
	counted        int // bytes of them that are counted as held
}

// newCollector returns a collector that keeps all of a non-streamed answer, whose size the scheduler bounds, and up to
// maxStreamBytes bytes of a stream. A longer stream is dropped.
func newCollector(r *sched.Request, maxStreamBytes int) *collector {
	return &collector{request: r, maxStreamBytes: maxStreamBytes}
}

func (k *collector) add(events [][]byte) {
	for _, event := range events {
		k.size += len(event)
	}
	if !k.request.Stream {
		k.events = append(k.events, events...)
		return
	}
	for _, event := range events {
		k.addToStream(event)
	}
}

func (k *collector) addToStream(event []byte) {
	if k.dropped || k.stream.Len()+len(eventPrefix)+len(event)+len(eventEnd) > k.maxStreamBytes {
		k.dropped = true
		k.stream = bytes.Buffer{}
		return
	}
	k.stream.WriteString(eventPrefix)
	k.stream.Write(event)
	k.stream.WriteString(eventEnd)
}

// outcome returns the outcome for a complete answer.
func (k *collector) outcome(end *wire.AnswerEnd) *outcome {
	out := &outcome{
		status:      statusOf(end),
		contentType: end.GetContentType(),
		size:        k.size,
	}
	switch {
	case k.request.Stream:
		out.contentType = engine.ContentTypeStream
		out.body = k.stream.Bytes()
		out.bodyDropped = k.dropped
	case isModel(k.request.Class) && isStream(end.GetContentType()):
		return assembleOutcome(out, k.request, k.events, end)
	default:
		out.body = bytes.Join(k.events, nil)
	}
	return out
}

func assembleOutcome(out *outcome, r *sched.Request, events [][]byte, end *wire.AnswerEnd) *outcome {
	body, err := assemble(r.Path, events, end)
	if err != nil {
		failure := result.Wrap(err, result.EngineFailed, "the engine's events can't be put together").WithRan(result.RanYes)
		return &outcome{err: failure, attempts: attemptSummary{anySent: true, allEnded: true}}
	}
	out.contentType = engine.ContentTypeJSON
	out.body = body
	out.size = len(body)
	return out
}

func isStream(contentType string) bool {
	return contentType == "" || strings.HasPrefix(contentType, engine.ContentTypeStream)
}

func statusOf(end *wire.AnswerEnd) int {
	if end.GetStatus() == 0 {
		return 200
	}
	return int(end.GetStatus())
}
