package result

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// envelope is the JSON form of an Error that callers and operators receive.
type envelope struct {
	Error *errorBody `json:"error"`
}

// errorBody holds the fields of an Error inside its envelope.
type errorBody struct {
	Code         Code   `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	Ran          Ran    `json:"ran"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// MarshalJSON returns {"error": {"code", "name", "message", "ran", "retry_after_ms"}}. RetryAfter is rounded
// up to whole milliseconds, so that a caller never retries too early.
func (e *Error) MarshalJSON() ([]byte, error) {
	return json.Marshal(envelope{Error: &errorBody{
		Code:         e.Code,
		Name:         e.Code.String(),
		Message:      e.Message,
		Ran:          e.Ran,
		RetryAfterMS: ceilMilliseconds(e.RetryAfter),
	}})
}

// UnmarshalJSON decodes the output of MarshalJSON. It keeps a code that is not in the table. It returns an error if
// data is not valid, or has no "error" field; e is unchanged then.
func (e *Error) UnmarshalJSON(data []byte) error {
	var in envelope
	if err := json.Unmarshal(data, &in); err != nil {
		return errors.Wrap(err, "result")
	}
	if in.Error == nil {
		return errors.New(`result: no "error" field`)
	}
	*e = Error{
		Code:       in.Error.Code,
		Ran:        in.Error.Ran,
		Message:    in.Error.Message,
		RetryAfter: time.Duration(in.Error.RetryAfterMS) * time.Millisecond,
	}
	return nil
}

// ceilMilliseconds returns d in milliseconds; a positive fraction of a millisecond is rounded up.
func ceilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
