package entry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/settings"
)

// smallBody, in bytes, is more than net/http reads of an unread body by itself.
const smallBody = 300 << 10

// endlessReader is a body without an end. It counts the bytes read.
type endlessReader struct{ read atomic.Int64 }

func (e *endlessReader) Read(p []byte) (int, error) {
	e.read.Add(int64(len(p)))
	return len(p), nil
}

// newOversizedCall starts an entry that accepts only small bodies, and returns a call with a body of unknown length.
func newOversizedCall(t *testing.T, body io.Reader, headers ...string) (*harness, *http.Request) {
	h := newHarness(t, 0)
	h.addEntry(func(s *settings.Entry) { s.Limits.MaxBody = smallBody })
	h.addService(1)
	request := h.request(context.Background(), 1, http.MethodPost, checkPath, "", append(headers, gateCheckHeader)...)
	request.Body = io.NopCloser(body)
	request.ContentLength = -1
	return h, request
}

// A caller would see a connection reset instead of the refusal, and could not know that nothing ran, if the entry
// refused a call (body too large, wrong key) and closed the connection while the caller was still sending.
func TestRefusalIsDeliveredWhileBodyIsSent(t *testing.T) {
	cases := map[string]struct {
		header string
		code   result.Code
	}{
		"too large": {gateCheckHeader, result.BodyTooLarge},
		"wrong key": {"Authorization: Bearer no", result.WrongKey},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := &endlessReader{}
				h, request := newOversizedCall(t, io.LimitReader(body, discardBodyFactor*smallBody), c.header)
				a, err := h.do(request)
				require.NoError(t, err)
				e := a.code(t)
				require.Equal(t, c.code, e.Code)
				require.Equal(t, result.RanNo, e.Ran)
				require.EqualValues(t, discardBodyFactor*smallBody, body.read.Load(), "the rest of the body must be read")
			})
		})
	}
}

// An entry would read indefinitely if the rest of a refused body were read without a limit in bytes, when the caller
// sends without end, or in time, when it stalls within the body.
func TestDiscardIsBounded(t *testing.T) {
	t.Run("endless", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			body := &endlessReader{}
			h, request := newOversizedCall(t, body)
			_, _ = h.do(request) // a refusal or a reset; the caller itself did not close the connection
			synctest.Wait()
			require.Zero(t, h.entries[0].active.Load())
			read := body.read.Load()
			synctest.Wait()
			require.Equal(t, read, body.read.Load())
		})
	})
	t.Run("stalled", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			stalled, stalledWriter := io.Pipe()
			t.Cleanup(func() { _ = stalledWriter.Close() })
			h, request := newOversizedCall(t, io.MultiReader(io.LimitReader(&endlessReader{}, smallBody+1), stalled))
			a, err := h.do(request)
			require.NoError(t, err)
			require.Equal(t, result.BodyTooLarge, a.code(t).Code)
			require.Zero(t, h.entries[0].active.Load())
		})
	})
}
