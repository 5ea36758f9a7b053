package standin

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// brokenWriter sends a response without a length and chunks, or breaks it off after a number of bytes.
type brokenWriter struct {
	http.ResponseWriter

	unframed bool
	left     int // bytes of the body until the response breaks off; negative means never
}

// applyToAnswer makes the response to a run unframed or cut, as drawn.
func (f runFaults) applyToAnswer(c echo.Context) {
	if !f.unframed && f.cutAfter == 0 {
		return
	}
	left := f.cutAfter
	if left == 0 {
		left = -1
	}
	c.Response().Writer = &brokenWriter{ResponseWriter: c.Response().Writer, unframed: f.unframed, left: left}
}

// WriteHeader implements http.ResponseWriter.
func (w *brokenWriter) WriteHeader(status int) {
	if w.unframed {
		// net/http sends neither a length nor chunks with this value, which it removes, and closes the connection.
		w.Header().Del(echo.HeaderContentLength)
		w.Header().Set("Transfer-Encoding", "identity")
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *brokenWriter) Write(data []byte) (int, error) {
	if w.left < 0 || len(data) <= w.left {
		n, err := w.ResponseWriter.Write(data)
		if w.left >= 0 {
			w.left -= n
		}
		return n, err
	}
	_, _ = w.ResponseWriter.Write(data[:w.left])
	_ = http.NewResponseController(w.ResponseWriter).Flush()
	return 0, abort()
}

// Unwrap returns the writer for http.ResponseController.
func (w *brokenWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
