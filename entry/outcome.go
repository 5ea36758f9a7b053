package entry

import (
	"bytes"
	"strings"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// outcome is how a request ended: with a whole answer, or with err.
type outcome struct {
	err  *result.Error
	fate fate // with err

	trace sched.Trace

	status      int
	contentType string
	body        []byte // whole; of a stream the events as they are sent, without the end mark
	dropped     bool   // body was too large to be kept
	size        int    // bytes of the answer, also when dropped
}

// Parts of a stream.
const (
	eventPrefix = "data: "
	eventEnd    = "\n\n"
	streamEnd   = eventPrefix + engine.StreamDone + eventEnd
)

// collector keeps the events of an answer.
type collector struct {
	request *sched.Request
	bound   int // bytes kept of a stream
	events  [][]byte
	stream  bytes.Buffer
	size    int
	dropped bool
}

// newCollector keeps everything of an answer that isn't a stream, which the scheduler has bounded, and up to bound
// bytes of a stream.
func newCollector(r *sched.Request, bound int) *collector {
	return &collector{request: r, bound: bound}
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
	if k.dropped || k.stream.Len()+len(eventPrefix)+len(event)+len(eventEnd) > k.bound {
		k.dropped = true
		k.stream = bytes.Buffer{}
		return
	}
	k.stream.WriteString(eventPrefix)
	k.stream.Write(event)
	k.stream.WriteString(eventEnd)
}

// outcome makes the whole answer.
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
		out.dropped = k.dropped
	case isModel(k.request.Class) && isStream(end.GetContentType()):
		return assembled(out, k.request, k.events, end)
	default:
		out.body = bytes.Join(k.events, nil)
	}
	return out
}

func assembled(out *outcome, r *sched.Request, events [][]byte, end *wire.AnswerEnd) *outcome {
	body, err := assemble(r.Path, events, end)
	if err != nil {
		failure := result.Wrap(err, result.EngineFailed, "the engine's events can't be put together").WithRan(result.RanYes)
		return &outcome{err: failure, fate: fate{sent: true, over: true}}
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
