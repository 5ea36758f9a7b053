package framing

import (
	"net/http"
	"strings"

	"github.com/go-faster/errors"
)

// ContentTypeStream is the media type of server-sent events.
const ContentTypeStream = "text/event-stream"

// ErrNotContinued means that an answer doesn't continue the stream that its request continues.
var ErrNotContinued = errors.New("the answer doesn't continue the stream")

// IsStream reports whether the body of an answer with the given Content-Type is server-sent events. Its parameters don't matter, even
// if they are malformed.
func IsStream(contentType string) bool {
	mediaType, _, _ := strings.Cut(contentType, ";")
	return strings.EqualFold(strings.TrimSpace(mediaType), ContentTypeStream)
}

// CheckContinuation returns ErrNotContinued unless the body of an answer may follow the events of an earlier answer of which
// the caller has the head. Only the events of a successful stream may.
func CheckContinuation(status int, contentType string) error {
	if status != http.StatusOK || !IsStream(contentType) {
		return errors.Wrapf(ErrNotContinued, "status %d, content type %q", status, contentType)
	}
	return nil
}
