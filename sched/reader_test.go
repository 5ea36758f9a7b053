package sched

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A pause that a caller makes by not reading must not count against the server, its version or its pool.
func TestPauseOfTheReaderIsNoPauseOfTheAnswer(t *testing.T) {
	h, d := newStreamHarness(t, summary)
	h.frame(d.server, d.id, 0, "a")
	h.advance(50 * time.Millisecond)
	h.frame(d.server, d.id, 1, "b")
	h.s.ReaderWaited("r")
	h.s.ReaderWaited("unknown")
	h.advance(2 * time.Second)
	h.frame(d.server, d.id, 2, "c")
	require.Equal(t, 50*time.Millisecond, h.s.trace(h.s.requests["r"]).LongestPause)
	h.advance(100 * time.Millisecond)
	h.frame(d.server, d.id, 3, "d")
	require.Equal(t, 100*time.Millisecond, h.s.trace(h.s.requests["r"]).LongestPause)
}

// What is collected of an answer in one piece is held by the entry, and has to be counted there.
func TestBufferedBytesAreThoseOfTheAnswerSoFar(t *testing.T) {
	h := newHarness(t, Options{})
	h.addServer("s1", kindModel, testModel, 4)
	h.step(Arrive{Request: h.request("r", summary)})
	d := h.lastDispatch("r", 1)
	h.frame(d.server, d.id, 0, "abc", "de")
	h.frame(d.server, d.id, 1, "de")
	require.Equal(t, 5, h.s.BufferedBytes("r"))
	require.Zero(t, h.s.BufferedBytes("unknown"))
}
