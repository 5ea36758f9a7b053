package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/settings"
)

// beginStream sends a call for a long stream over a connection of its own with a small receive buffer, and reads nothing.
func (c *cluster) beginStream(tokens int) net.Conn {
	c.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(c.entryURLs[0], "http://"))
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = conn.Close() })
	require.NoError(c.t, conn.(*net.TCPConn).SetReadBuffer(4096))
	body := fmt.Sprintf(`{"model":"sample","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, tokens)
	_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %s\r\n"+
		"Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", c.callerKey, len(body), body)
	require.NoError(c.t, err)
	return conn
}

// Real connections buffer what is written in several places. Callers that read nothing must be found nevertheless and their
// runs be cancelled at the server, and one that reads in small steps, behind the same buffers, must not be taken for one.
func TestCallersThatReadNothingAreEndedBesideSlowOnes(t *testing.T) {
	const tokens, slowTokens = 8000, 1000
	c := newCluster(t)
	c.change = func(s any) {
		switch s := s.(type) {
		case *settings.Entry:
			s.Memory.HeldBytes, s.Memory.ReaderWindowBytes = 4*settings.MiB, 16*settings.KiB
		case *settings.Engine:
			// A run takes 8 s, so that it is still running when its call is ended.
			s.DecodePace, s.DecodeSlope = time.Millisecond, time.Microsecond
		}
	}
	c.startAll()
	var readNothing []net.Conn
	for range 5 {
		readNothing = append(readNothing, c.beginStream(tokens))
	}
	slow := bufio.NewReaderSize(c.beginStream(slowTokens), 16)
	var text strings.Builder
	for text.Len() < 20_000 {
		_, err := io.CopyN(&text, slow, 2048)
		require.NoError(t, err)
		time.Sleep(200 * time.Millisecond)
	}
	c.eventually(func() bool {
		return strings.Count(c.entries[0].log.String(), "cause=reads_nothing") == len(readNothing)
	}, "not all callers that read nothing were ended")
	for line := ""; !strings.HasPrefix(line, "data: [DONE]"); {
		var err error
		line, err = slow.ReadString('\n')
		require.NoError(t, err, "the slow caller gets the whole answer")
	}
	require.Equal(t, len(readNothing), strings.Count(c.entries[0].log.String(), "call_ended_early"))
	require.Contains(t, c.entries[0].log.String(), "organisation=zagreb")
	c.eventually(func() bool { return strings.Count(c.agents[0].log.String(), "end=cancelled") == len(readNothing) },
		"the server doesn't stop the work")
}
