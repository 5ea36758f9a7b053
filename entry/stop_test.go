package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
)

const (
	testDrain = 5 * time.Second
	// rawHead is the head of a call with a body of 10 bytes.
	rawHead = "POST " + checkPath + " HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + compostKey + "\r\n" + gateCheckHeader + "\r\nContent-Length: 10\r\n\r\n"
)

// stopping is an entry that is about to be stopped, with a caller's connection to it.
type stopping struct {
	*harness
	conn   net.Conn
	reader *bufio.Reader
	ended  chan time.Duration // how long the stop took
}

func newStopping(t *testing.T) *stopping {
	h := newHarness(t, 0)
	h.addEntry(func(s *settings.Entry) { s.Timing.Drain = testDrain })
	h.addService(1)
	conn, err := h.net.Host(callerHost).Dial(context.Background(), entryHost(1)+":8080")
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	return &stopping{harness: h, conn: conn, reader: bufio.NewReader(conn), ended: make(chan time.Duration, 1)}
}

func (s *stopping) send(text string) {
	_, err := io.WriteString(s.conn, text)
	require.NoError(s.t, err)
	synctest.Wait()
}

// stop begins to stop the entry.
func (s *stopping) stop() {
	begun := time.Now()
	over := make(chan struct{})
	s.t.Cleanup(func() { <-over })
	go func() {
		defer close(over)
		_ = s.stops[0]()
		s.ended <- time.Since(begun)
	}()
	synctest.Wait()
}

// answer reads an answer and its body.
func (s *stopping) answer() (*http.Response, string) {
	response, err := http.ReadResponse(s.reader, nil)
	require.NoError(s.t, err)
	body, err := io.ReadAll(response.Body)
	require.NoError(s.t, err)
	return response, string(body)
}

// readsEnd reads the end of the connection, with no byte before it.
func (s *stopping) readsEnd() {
	_, err := s.reader.ReadByte()
	require.ErrorIs(s.t, err, io.EOF)
}

// Guards against a connection that is closed without an answer because the body on it comes too slowly for a stopping entry.
func TestBodyThatDoesNotEndIsRefusedByAStoppingEntry(t *testing.T) {
	for name, rest := range map[string]string{"no byte": "", "some bytes": "12345"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStopping(t)
				s.send(rawHead + rest)
				s.stop()
				begun := time.Now()
				response, body := s.answer()
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				refusal := callResponse{body: body}.code(t)
				require.Equal(t, result.Stopping, refusal.Code)
				require.Equal(t, result.RanNo, refusal.Ran)
				require.Less(t, time.Since(begun), testDrain)
				s.send("67") // a caller that hasn't read the refusal goes on, and isn't reset
				s.readsEnd()
				require.LessOrEqual(t, <-s.ended, testDrain)
			})
		})
	}
}

// Guards against a body that is still coming when an entry stops, and is lost with the connection.
func TestBodyThatEndsWhileTheEntryStopsIsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStopping(t)
		s.send(rawHead)
		s.stop()
		time.Sleep(time.Second)
		s.send("1234567890")
		response, _ := s.answer()
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Less(t, <-s.ended, time.Second+100*time.Millisecond)
	})
}

// Guards against a head that is being read when an entry stops, and gets no answer: on a new connection, and on a kept one,
// which the HTTP server counts as idle until the head is whole.
func TestHeadThatIsReadAsAnEntryStopsIsAnswered(t *testing.T) {
	for _, kept := range []bool{false, true} {
		for _, rest := range []string{rawHead[20:] + "1234567890", ""} {
			t.Run(fmt.Sprintf("kept %t, whole %t", kept, rest != ""), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newStopping(t)
					if kept {
						s.send(rawHead + "1234567890")
						response, _ := s.answer()
						require.Equal(t, http.StatusOK, response.StatusCode)
					}
					s.send(rawHead[:20])
					s.stop()
					time.Sleep(100 * time.Millisecond)
					if rest != "" {
						s.send(rest)
					}
					response, _ := s.answer()
					require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
					s.readsEnd()
					require.Less(t, <-s.ended, lastHeadTimeout+lastAnswerTimeout)
				})
			})
		}
	}
}

// Guards against idle connections that delay a stop, or that end with anything but the end.
func TestIdleConnectionEndsUnreadWithTheEntry(t *testing.T) {
	for name, text := range map[string]string{"new": "", "kept": rawHead + "1234567890"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStopping(t)
				if text != "" {
					s.send(text)
					response, _ := s.answer()
					require.Equal(t, http.StatusOK, response.StatusCode)
				}
				s.stop()
				s.readsEnd()
				require.Less(t, <-s.ended, 100*time.Millisecond)
			})
		})
	}
}

// Guards against callers that are refused on connections which they kept, while the stopping entry waits for other requests.
func TestKeptConnectionEndsAsTheEntryIsStopping(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStopping(t)
		s.send(rawHead + "1234567890")
		response, _ := s.answer()
		require.Equal(t, http.StatusOK, response.StatusCode)
		body, rest := io.Pipe()
		request := s.request(context.Background(), 1, http.MethodPost, checkPath, "", gateCheckHeader)
		request.Body, request.ContentLength = body, -1
		go func() {
			answer, err := s.client.Do(request)
			if err == nil {
				answer.Body.Close()
			}
		}()
		synctest.Wait()
		s.stop()
		begun := time.Now()
		s.readsEnd()
		require.Less(t, time.Since(begun), 100*time.Millisecond)
		require.NoError(t, rest.Close())
		require.Less(t, <-s.ended, testDrain)
	})
}

// Guards against connections that are closed without an answer when an incarnation ends because control has ended it.
func TestRequestsOfASupersededIncarnationAreAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStopping(t)
		s.addModel(2).ignoreMessages()
		waiting := s.callAsync(1, chatPath, chatBody)
		s.send(rawHead + "12345")
		s.control.ends <- session.ErrSuperseded
		answer := <-waiting
		require.NoError(t, answer.err)
		require.Equal(t, result.UnprovenAttemptAtDeadline, answer.code(t).Code)
		response, body := s.answer()
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.Equal(t, result.RanNo, callResponse{body: body}.code(t).Ran)
		time.Sleep(lastAnswerTimeout)
		require.Equal(t, http.StatusOK, s.call(1, http.MethodPost, checkPath, "{}", gateCheckHeader).status, "the next incarnation serves")
	})
}
