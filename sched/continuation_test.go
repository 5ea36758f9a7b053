package sched

import (
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/wire"
)

func headOf(t *testing.T, status uint32, contentType string) string {
	t.Helper()
	data, err := proto.Marshal(&wire.AnswerHead{Status: status, Headers: []*wire.Header{{Name: "Content-Type", Value: contentType}}})
	require.NoError(t, err)
	return string(data)
}

// newVerbatimHarness returns a harness with two model servers that can resume, and a verbatim request at one of them.
func newVerbatimHarness(t *testing.T, stream bool) (*harness, sentMessage) {
	t.Helper()
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 4)
	h.addServer("s2", kindModel, testModel, 4)
	r := h.request("r", summary)
	r.Stream, r.Verbatim = stream, &Verbatim{Host: "a.example"}
	h.step(Arrive{Request: r})
	return h, h.lastDispatch("r", 1)
}

// Guards against a piece that comes twice, or after the head of another kind of answer: a stream goes on at a second server although its
// last event has no ID, so the server can't be told after which one, or although what was begun isn't a stream.
func TestOnlyAStreamWithAnIDAtItsLastEventGoesOn(t *testing.T) {
	stream := func(t *testing.T) string { return headOf(t, 200, "text/event-stream; charset=utf-8") }
	for name, test := range map[string]struct {
		head   func(*testing.T) string
		events []string
		goesOn bool
	}{
		"the head alone":            {stream, nil, true},
		"a comment":                 {stream, []string{": c\n"}, true},
		"an event":                  {stream, []string{"id: 1\ndata: a\n\n"}, true},
		"an event and a comment":    {stream, []string{"id: 1\ndata: a\n\n", ": c\n", "\n"}, true},
		"no IDs":                    {stream, []string{"data: a\n\n"}, false},
		"no ID at the last event":   {stream, []string{"id: 1\ndata: a\n\n", "data: b\n\n"}, false},
		"no ID before the last one": {stream, []string{"data: a\n\n", "id: 2\ndata: b\n\n"}, true},
		"no ID, then a comment":     {stream, []string{"id: 1\ndata: a\n\n", "data: b\n\n", ": c\n"}, false},
		"a refusal":                 {func(t *testing.T) string { return headOf(t, 404, "text/plain") }, nil, false},
		"in one piece":              {func(t *testing.T) string { return headOf(t, 200, "text/plain") }, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			h, d := newVerbatimHarness(t, true)
			h.frame(d.server, d.id, 0, append([]string{test.head(t)}, test.events...)...)
			h.prove(d.server, d.id, wire.Proof_PROOF_FAILED)
			if test.goesOn {
				h.lastDispatch("r", 2)
				return
			}
			require.Len(t, h.dispatches("r"), 1)
			require.Contains(t, h.failures, "r")
		})
	}
}

// Guards against the head of one run, with its length, before the body of another, and against events that come twice: what is buffered
// of an answer that isn't passed on as it arrives is dropped before another server gives a whole one.
func TestBufferedVerbatimAnswerBeginsAnew(t *testing.T) {
	h, d := newVerbatimHarness(t, false)
	h.frame(d.server, d.id, 0, headOf(t, 200, "text/plain"), "first")
	h.prove(d.server, d.id, wire.Proof_PROOF_FAILED)
	next := h.lastDispatch("r", 2)
	require.Zero(t, h.sent[len(h.sent)-1].Message.GetDispatch().GetResumeFrom())
	h.frame(next.server, next.id, 0, headOf(t, 200, "text/plain"), "second")
	h.complete(next.server, next.id, 0, headOf(t, 200, "text/plain"), "second")
	require.Contains(t, h.answers, "r")
	require.Equal(t, []string{headOf(t, 200, "text/plain"), "second"}, h.events["r"])
}

// Guards against a next server that isn't held to the event that is due, and against one that is although the IDs have gaps.
func TestDispatchSaysWhetherEventsAreConsecutive(t *testing.T) {
	for name, test := range map[string]struct {
		ids  []string
		want bool
	}{
		"consecutive":  {[]string{"1", "2", "3"}, true},
		"larger steps": {[]string{"5", "10", "15"}, false},
		"a gap":        {[]string{"1", "2", "4"}, false},
		"one event":    {[]string{"1"}, false},
		"no numbers":   {[]string{"a", "b"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h, d := newVerbatimHarness(t, true)
			events := []string{headOf(t, 200, "text/event-stream")}
			for _, id := range test.ids {
				events = append(events, "id: "+id+"\ndata: x\n\n")
			}
			h.frame(d.server, d.id, 0, events...)
			h.prove(d.server, d.id, wire.Proof_PROOF_FAILED)
			h.lastDispatch("r", 2)
			require.Equal(t, test.want, h.sent[len(h.sent)-1].Message.GetDispatch().GetConsecutive())
		})
	}
}
