package network

import (
	"bytes"
	"io"
	"net/http"
)

// SingleSend is an http.Transport that writes a request at most once. The transport alone writes a request again, on another
// connection, if a kept connection ends before the first byte of the answer and the request counts as repeatable: by its
// method or an Idempotency-Key or X-Idempotency-Key header, together with the lack of a body or one that can be got again.
type SingleSend struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (s SingleSend) RoundTrip(request *http.Request) (*http.Response, error) {
	out := *request
	out.GetBody = nil
	if out.Body == nil || out.Body == http.NoBody {
		// A reader that the transport knows to be in memory, so that header and body go out in one write.
		out.Body = io.NopCloser(bytes.NewReader(nil))
	}
	return s.Transport.RoundTrip(&out)
}
