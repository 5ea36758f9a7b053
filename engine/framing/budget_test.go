package framing

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// endlessBody is a body that goes on until it is closed.
type endlessBody struct {
	part   string
	read   atomic.Int64
	closed atomic.Bool
}

func (b *endlessBody) Read(p []byte) (int, error) {
	if b.closed.Load() {
		return 0, net.ErrClosed
	}
	start := b.read.Add(int64(len(p))) - int64(len(p))
	for i := range p {
		p[i] = b.part[(start+int64(i))%int64(len(b.part))]
	}
	return len(p), nil
}

func (b *endlessBody) Close() error {
	b.closed.Store(true)
	return nil
}

// Guards against answers that take more memory together than the process has, and against sound answers that are refused for
// the sake of those without an end.
func TestBudgetBoundsUnfinishedAnswers(t *testing.T) {
	const budgetBytes, endless, sound = 4 << 20, 40, 100
	budget := NewBudget(budgetBytes)
	var group sync.WaitGroup
	bodies := make([]*endlessBody, endless)
	for i := range bodies {
		bodies[i] = &endlessBody{part: "data: 1\n"}
		group.Go(func() {
			response := &http.Response{Body: bodies[i], ContentLength: -1, Header: make(http.Header)}
			var end End
			if i%2 == 0 {
				_, end = budget.ReadWhole(response, Opaque, 1<<40)
			} else {
				end = budget.ReadStream(response, Events, 1<<40, Sequence{}, func(Part) error { return nil })
			}
			assert.ErrorIs(t, end.Err(), ErrTooLarge)
			assert.Equal(t, Unknown, end.Outcome)
		})
	}
	for range sound {
		text := strings.Repeat("x", 16<<10)
		response := &http.Response{Body: io.NopCloser(strings.NewReader(text)), ContentLength: int64(len(text))}
		body, end := budget.ReadWhole(response, Opaque, 1<<20)
		require.NoError(t, end.Err())
		require.Equal(t, text, string(body))
	}
	group.Wait()
	for _, body := range bodies {
		require.Less(t, body.read.Load(), int64(budgetBytes))
	}
}

// FuzzEndlessInput reads input that repeats without an end. A reader must stop by itself, or at the first whole event.
func FuzzEndlessInput(f *testing.F) {
	for _, part := range []string{"data: 1\n", "x", ":\n", "id: 1\ndata:", "\r", "data\n", ": \n\n", "event: a\r\n"} {
		f.Add(part)
	}
	f.Fuzz(func(t *testing.T, part string) {
		if part == "" || len(part) > 4<<10 {
			return
		}
		const limit = 256 << 10
		budget := NewBudget(limit)
		body := &endlessBody{part: part}
		end := budget.ReadStream(&http.Response{Body: body, ContentLength: -1}, Events, limit, Sequence{}, func(Part) error { return ErrStop })
		require.True(t, end.Outcome == Whole || end.Cause == TooLarge)
		body = &endlessBody{part: part}
		_, end = budget.ReadWhole(&http.Response{Body: body, ContentLength: -1}, JSON, limit)
		require.ErrorIs(t, end.Err(), ErrTooLarge)
		require.Less(t, body.read.Load(), int64(4*limit))
	})
}
