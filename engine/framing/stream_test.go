package framing

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stream that is held back until its end, or that isn't continued, because a parameter of its media type is malformed.
func TestMediaTypeOfStreams(t *testing.T) {
	for contentType, want := range map[string]bool{
		"text/event-stream":                                true,
		"Text/Event-Stream; charset=utf-8":                 true,
		"text/event-stream;":                               true,
		"text/event-stream; charset":                       true,
		"text/event-stream; charset=":                      true,
		"text/event-stream; charset=utf 8":                 true,
		"text/event-stream; charset=utf-8; charset=latin1": true,
		"text/event-stream2":                               false,
		"text/plain; a=text/event-stream":                  false,
		"":                                                 false,
	} {
		require.Equal(t, want, IsStream(contentType), contentType)
	}
}
