package result

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

// envelope is the JSON form of an Error, as callers and operators see it.
type envelope struct {
	Error *body `json:"error"`
}

type body struct {
	Code         Code   `json:"code"`
	Name         string `json:"name"`
	Message      string `json:"message"`
	Ran          Ran    `json:"ran"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// MarshalJSON returns {"error": {"code", "name", "message", "ran", "retry_after_ms"}}. A part of a millisecond
// counts as a whole one, so that a caller never comes back too early.
func (e *Error) MarshalJSON() ([]byte, error) {
	return json.Marshal(envelope{Error: &body{
		Code:         e.Code,
		Name:         e.Code.String(),
		Message:      e.Message,
		Ran:          e.Ran,
		RetryAfterMS: milliseconds(e.RetryAfter),
	}})
}

// UnmarshalJSON reads what MarshalJSON wrote. A code that this version doesn't know is kept.
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

func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
