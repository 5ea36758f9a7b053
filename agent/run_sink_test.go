package agent

import (
	"bytes"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/wire"
)

func newSink(service bool) (*runSink, *engineRun, *int) {
	dispatch := completionDispatch("r1", 1)
	dispatch.Work.Service = service
	r := newRun(dispatch, nil, nil)
	notifications := 0
	return &runSink{run: r, notify: func(*engineRun) error {
		notifications++
		return nil
	}}, r, &notifications
}

func TestSinkBatchesEvents(t *testing.T) {
	sink, r, notifications := newSink(false)
	data := []byte("a")
	require.NoError(t, sink.Chunk(engine.Chunk{Data: data, Tokens: 1}))
	data[0] = 'x' // the adapter reuses its buffer
	require.NoError(t, sink.Chunk(engine.Chunk{Data: []byte("b"), Tokens: 1}))
	require.NoError(t, sink.Chunk(engine.Chunk{Data: []byte("usage"), UsageOnly: true}))
	assert.Equal(t, 1, *notifications, "one notification for all waiting events")
	events, tokens := r.take()
	assert.Equal(t, [][]byte{[]byte("a"), []byte("b")}, events)
	assert.Equal(t, []uint32{1, 1}, tokens)
	require.NoError(t, sink.Chunk(engine.Chunk{Data: []byte("c"), Tokens: 1}))
	assert.Equal(t, 2, *notifications)
}

func TestSinkPassesRequestedUsage(t *testing.T) {
	dispatch := withBody(completionDispatch("r1", 1), `{"stream_options":{"include_usage":true}}`)
	r := newRun(dispatch, nil, nil)
	sink := &runSink{run: r, notify: func(*engineRun) error { return nil }}
	require.NoError(t, sink.Chunk(engine.Chunk{Data: []byte("usage"), UsageOnly: true}))
	events, _ := r.take()
	assert.Len(t, events, 1)
}

// A model engine's answer with a status other than 200 is a refusal. Its body must not reach the caller as an answer.
func TestSinkDropsModelRefusal(t *testing.T) {
	refusal := engine.Answer{Status: 503, Body: []byte("busy")}
	sink, r, _ := newSink(false)
	require.NoError(t, sink.Answer(refusal))
	events, _ := r.take()
	assert.Empty(t, events)

	sink, r, _ = newSink(true)
	require.NoError(t, sink.Answer(refusal))
	events, _ = r.take()
	assert.Len(t, events, 1, "a service's answer is passed on with any status")
}

func TestSinkSplitsServiceAnswer(t *testing.T) {
	sink, r, _ := newSink(true)
	body := bytes.Repeat([]byte("x"), serviceChunkBytes+1)
	require.NoError(t, sink.Answer(engine.Answer{Status: 200, ContentType: "text/plain", Body: body}))
	events, _ := r.take()
	assert.Len(t, events, 2)
	assert.Equal(t, body, bytes.Join(events, nil))
	assert.Equal(t, "text/plain", r.contentTypeOrDefault())
}

// The buffer of waiting events is bounded, so an engine that sends faster than the event loop takes the events must be
// slowed down. Otherwise the agent runs out of memory.
func TestSinkAppliesBackPressure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sink, r, _ := newSink(false)
		big := make([]byte, runBufferBytes/2+1)
		require.NoError(t, sink.Chunk(engine.Chunk{Data: big}))
		done := make(chan error, 1)
		put := func() { done <- sink.Chunk(engine.Chunk{Data: big}) }
		go put()
		synctest.Wait()
		assert.Empty(t, done, "the buffer is full")
		r.take()
		require.NoError(t, <-done)
		go put()
		synctest.Wait()
		r.close()
		assert.ErrorIs(t, <-done, errRunClosed)
	})
}

// Guards against an event that comes twice: an attempt that ended before its first token had sent the event that names the role, and
// the next attempt, which begins anew, sends it again.
func TestEventsBeforeTheFirstTokenAreNotRepeated(t *testing.T) {
	role, token := engine.Chunk{Data: []byte("role")}, engine.Chunk{Tokens: 1, Data: []byte("a")}
	for name, test := range map[string]struct {
		from   uint32 // events that the caller has
		chunks []engine.Chunk
		want   int
	}{
		"a new answer":              {0, []engine.Chunk{role, token}, 2},
		"the caller has it":         {1, []engine.Chunk{role, token}, 1},
		"one more than it has":      {1, []engine.Chunk{role, role, token}, 2},
		"none is sent again":        {1, []engine.Chunk{token, {Index: 1, Data: []byte("end")}}, 2},
		"an event between, at last": {1, []engine.Chunk{token, role}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRun(&wire.Dispatch{ResumeFrom: test.from}, nil, nil)
			sink := &runSink{run: r, notify: func(*engineRun) error { return nil }}
			for _, chunk := range test.chunks {
				require.NoError(t, sink.Chunk(chunk))
			}
			events, _ := r.take()
			require.Len(t, events, test.want)
		})
	}
}
