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

// smallBody is above what net/http reads of an unread body by itself, in bytes.
const smallBody = 300 << 10

// endless is a body without an end. It counts what was read of it.
type endless struct{ read atomic.Int64 }

func (e *endless) Read(p []byte) (int, error) {
	e.read.Add(int64(len(p)))
	return len(p), nil
}

// oversized makes an entry that accepts small bodies only, and a call with a body of unknown length.
func oversized(t *testing.T, body io.Reader, headers ...string) (*rig, *http.Request) {
	r := newRig(t, 0)
	r.addEntry(func(s *settings.Entry) { s.Limits.MaxBody = smallBody })
	r.addService(1)
	request := r.request(context.Background(), 1, http.MethodPost, checkPath, "", append(headers, gateCheck)...)
	request.Body = io.NopCloser(body)
	request.ContentLength = -1
	return r, request
}

// Symptom: a caller sees a reset connection in place of the refusal, and can't know that nothing ran. Sequence: its body
// is too large, or its key wrong; the entry refuses and closes while the caller still sends. Cause: what was unread.
func TestRefusalArrivesWhileTheBodyIsSent(t *testing.T) {
	cases := map[string]struct {
		header string
		code   result.Code
	}{
		"too large": {gateCheck, result.BodyTooLarge},
		"wrong key": {"Authorization: Bearer no", result.WrongKey},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				body := &endless{}
				r, request := oversized(t, io.LimitReader(body, discardBodies*smallBody), c.header)
				a, err := r.do(request)
				require.NoError(t, err)
				e := a.code(t)
				require.Equal(t, c.code, e.Code)
				require.Equal(t, result.RanNo, e.Ran)
				require.EqualValues(t, discardBodies*smallBody, body.read.Load(), "the rest was read")
			})
		})
	}
}

// Symptom: an entry reads for ever. Sequence: a caller sends without an end, or stops in the middle of its body. Cause:
// the rest of a refused body is read without a bound in bytes, or in time.
func TestDiscardIsBounded(t *testing.T) {
	t.Run("endless", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			body := &endless{}
			r, request := oversized(t, body)
			_, _ = r.do(request) // the refusal or a reset: the caller broke off nothing itself
			synctest.Wait()
			require.Zero(t, r.entries[0].active.Load())
			read := body.read.Load()
			synctest.Wait()
			require.Equal(t, read, body.read.Load())
		})
	})
	t.Run("stalled", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			stalled, keep := io.Pipe()
			t.Cleanup(func() { _ = keep.Close() })
			r, request := oversized(t, io.MultiReader(io.LimitReader(&endless{}, smallBody+1), stalled))
			a, err := r.do(request)
			require.NoError(t, err)
			require.Equal(t, result.BodyTooLarge, a.code(t).Code)
			require.Zero(t, r.entries[0].active.Load())
		})
	})
}
