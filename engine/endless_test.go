package engine

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/engine/framing"
)

// Guards against a call that reads an answer without an end: every call has an end of its own, whatever the server sends.
func TestEndlessAnswerEndsEveryCall(t *testing.T) {
	calls := map[string]func(*HTTP, *testing.T) error{
		"service": func(h *HTTP, t *testing.T) error {
			_, err := h.Run(t.Context(), Request{ID: "r.1", Kind: KindService, Path: "/p"}, new(countingSink))
			return err
		},
		"model": func(h *HTTP, t *testing.T) error {
			_, err := h.Run(t.Context(), Request{ID: "r.1", Kind: KindModel, Path: "/p", Body: []byte("{}")}, new(countingSink))
			return err
		},
		"resume": func(h *HTTP, t *testing.T) error {
			_, err := h.Resume(t.Context(), "r.1", 1, nil, new(countingSink))
			return err
		},
		"cancel":  func(h *HTTP, t *testing.T) error { _, err := h.Cancel(t.Context(), "r.1"); return err },
		"streams": func(h *HTTP, t *testing.T) error { _, err := h.Streams(t.Context()); return err },
		"export":  func(h *HTTP, t *testing.T) error { _, err := h.ExportKV(t.Context(), "r.1"); return err },
		"import":  func(h *HTTP, t *testing.T) error { return h.ImportKV(t.Context(), "r.1", []byte("kv")) },
		"load":    func(h *HTTP, t *testing.T) error { _, err := h.Load(t.Context()); return err },
		"events":  func(h *HTTP, t *testing.T) error { _, err := h.CacheEvents(t.Context(), 0); return err },
		"order":   func(h *HTTP, t *testing.T) error { _, err := h.Order(t.Context(), Order{}); return err },
		"suspend": func(h *HTTP, t *testing.T) error { _, err := h.Suspend(t.Context(), "r.1", nil); return err },
		"discard": func(h *HTTP, t *testing.T) error { return h.Discard(t.Context(), Suspension{Handle: "h"}) },
	}
	for name, call := range calls {
		for _, contentType := range []string{ContentTypeJSON, ContentTypeStream} {
			for _, inHead := range []bool{false, true} {
				t.Run(name+" "+contentType, func(t *testing.T) {
					closed := make(chan struct{})
					server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
						defer close(closed)
						conn, _, err := http.NewResponseController(w).Hijack()
						if err != nil {
							return
						}
						defer func() { _ = conn.Close() }()
						part := "HTTP/1.1 200 OK\r\nContent-Type: " + contentType + "\r\n"
						if !inHead {
							part += "\r\ndata: "
						}
						for err == nil {
							_, err = conn.Write([]byte(part))
							part = strings.Repeat("X-More: more\r\n", 1000)
						}
					}))
					defer server.Close()
					client, err := NewHTTP(server.URL, HTTPOptions{Budget: framing.NewBudget(4 << 20)})
					require.NoError(t, err)
					defer client.Close()
					require.ErrorIs(t, call(client, t), ErrOutcomeUnknown)
					<-closed
				})
			}
		}
	}
}
