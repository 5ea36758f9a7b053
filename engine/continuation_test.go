package engine_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/network"
)

// Guards against an answer in one piece that is appended to the part of a stream which its caller has: an engine answers so to a call
// that continues a stream.
func TestOnlyAStreamContinuesAStream(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				const body = `{"choices":[]}`
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			}
			conn.Close()
		}
	}()
	client, err := engine.NewHTTP("http://"+listener.Addr().String(), engine.HTTPOptions{Network: network.TCP{}})
	require.NoError(t, err)
	defer client.Close()
	suspended := chatRequest("r.1")
	suspended.Resume, suspended.ResumeTokens = &engine.Suspension{Handle: "h"}, 3
	for name, run := range map[string]func(engine.Sink) (engine.Outcome, error){
		"resumed": func(sink engine.Sink) (engine.Outcome, error) {
			return client.Resume(t.Context(), "r.1", 3, []byte(chatBody), sink)
		},
		"suspended": func(sink engine.Sink) (engine.Outcome, error) { return client.Run(t.Context(), suspended, sink) },
	} {
		t.Run(name, func(t *testing.T) {
			sink := new(recorder)
			outcome, err := run(sink)
			require.Empty(t, sink.answers)
			require.ErrorIs(t, err, engine.ErrOutcomeUnknown)
			require.Equal(t, engine.EndUnknown, outcome.End)
		})
	}
}
