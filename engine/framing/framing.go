// Package framing reads the bodies of backend servers' answers and judges how they ended.
//
// All adapters read answers through [ReadWhole] and [ReadStream], so that there is one judgement: what is not vouched for
// by the answer's framing, or by the content itself, is not whole. All HTTP clients send through [Transport], so that there
// is one judgement of heads too.
package framing

import "net/http"

// Framing is how an answer shows where its body ends (RFC 9112, section 6.3).
type Framing uint8

const (
	// None means that no head of an answer has arrived.
	None Framing = iota
	// Length is a body of a stated or implied length.
	Length
	// Chunked is a body that ends with its last chunk.
	Chunked
	// Connection is a body without either, which ends with its connection.
	Connection
)

// Of returns the framing of a response.
func Of(response *http.Response) Framing {
	switch {
	case len(response.TransferEncoding) > 0:
		return Chunked
	case response.ContentLength >= 0:
		return Length
	default:
		return Connection
	}
}

// String returns the name used in log lines and metrics.
func (f Framing) String() string {
	switch f {
	case Length:
		return "length"
	case Chunked:
		return "chunked"
	case Connection:
		return "connection"
	default:
		return "none"
	}
}

// Content is what a body itself shows about its end.
type Content uint8

const (
	// Opaque content shows nothing. The ordinary end of the connection vouches for a body that has no other framing.
	Opaque Content = iota
	// JSON content is whole if it is one JSON object, array or string. Other content needs a framing of its own: the end
	// of its connection vouches for nothing.
	JSON
	// Events are server-sent events whose last one is not marked.
	Events
	// MarkedEvents are server-sent events whose last one says so. Their framing vouches for nothing.
	MarkedEvents
)
