package framing

import (
	"context"
	"io"
	"net/http"

	"github.com/go-faster/errors"
)

var (
	// ErrIncomplete means that an answer was broken off.
	ErrIncomplete = errors.New("response truncated")
	// ErrTooLarge means that an answer exceeds a limit of the reader.
	ErrTooLarge = errors.New("over the size limit")
)

// Outcome is what is known of a body.
type Outcome uint8

const (
	// Unknown means that the reader stopped before the body's end, so nothing is known about it.
	Unknown Outcome = iota
	// BrokenOff means that the sender, or the connection to it, ended before the body did.
	BrokenOff
	// Whole means that the body's end has arrived.
	Whole
)

// String returns the name used in log lines and metrics.
func (o Outcome) String() string {
	switch o {
	case BrokenOff:
		return "broken_off"
	case Whole:
		return "whole"
	default:
		return "unknown"
	}
}

// Cause is what the judgement of a body's end rests on.
type Cause string

// The causes of Whole: what vouches for the end.
const (
	ByLength        Cause = "length"
	ByLastChunk     Cause = "last_chunk"
	ByConnectionEnd Cause = "connection_end"
	ByContent       Cause = "content" // an end marker, or a JSON value that is complete
)

// The causes of BrokenOff.
const (
	InsideEvent   Cause = "inside_event"
	NoEvent       Cause = "no_event"        // a stream without any event, which ended with its connection
	NoEndMarker   Cause = "no_end_marker"   // a stream of MarkedEvents
	NotDelimited  Cause = "not_delimited"   // content that needs a framing and has none
	ShortOfFrame  Cause = "short_of_frame"  // of its length, or without the last chunk
	Reset         Cause = "reset"           // an error of the connection
	ContentFailed Cause = "content_invalid" // the content says that a part is missing
	BadTrailer    Cause = "malformed_trailer"
	SenderGone    Cause = "sender_gone" // the connection ended in the ordinary way, and so did its sender
)

// The causes of Unknown.
const (
	EndedHere Cause = "ended_here" // this process ended the call
	TooLarge  Cause = "too_large"
)

// End describes how a body ended and how much of it arrived. The zero value is that of an answer without a head.
type End struct {
	Framing Framing
	Outcome Outcome
	// Cause is empty only in the zero value.
	Cause Cause
	// Events is the number of whole events of a stream; 0 for an answer in one piece.
	Events int
	// Bytes is the number of bytes of the body, of its whole parts only for a stream.
	Bytes int64
	// Partial is the number of bytes after the last whole part of a stream.
	Partial int

	err error
}

// Err returns nil for a whole body. Otherwise it returns what ended the reading, joined with [ErrIncomplete] if the body
// was broken off.
func (e End) Err() error {
	switch e.Outcome {
	case Whole:
		return nil
	case BrokenOff:
		return errors.Join(ErrIncomplete, e.err)
	default:
		return e.err
	}
}

// WithoutSender returns the description of a body that ended with its connection and whose sender can't be shown to run still. err
// is why: the end may be that of the sender's process.
func (e End) WithoutSender(err error) End {
	e.Outcome, e.Cause, e.err = BrokenOff, SenderGone, err
	return e
}

// judge completes the description of a body that was read until err: nil after the end marker of the content, io.EOF at
// the end that the framing gives, any other error before that.
func (e End) judge(content Content, err error) End {
	e.err = err
	e.Outcome, e.Cause = e.outcome(content, err)
	return e
}

// checkTrailer returns the description of a body after whose end its trailer has been read.
func (e End) checkTrailer(trailer http.Header) End {
	if err := checkNames(trailer); err != nil && e.Outcome == Whole {
		e.Outcome, e.Cause, e.err = BrokenOff, BadTrailer, err
	}
	return e
}

func (e End) outcome(content Content, err error) (Outcome, Cause) {
	switch {
	case err == nil:
		return Whole, ByContent
	case errors.Is(err, ErrTooLarge):
		return Unknown, TooLarge
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return Unknown, EndedHere
	case errors.Is(err, io.EOF):
		return e.ordinaryEnd(content)
	case errors.Is(err, io.ErrUnexpectedEOF):
		return BrokenOff, ShortOfFrame
	default:
		return BrokenOff, Reset
	}
}

// ordinaryEnd judges a body whose reader came to the end that the framing gives.
func (e End) ordinaryEnd(content Content) (Outcome, Cause) {
	switch {
	case e.Partial > 0:
		return BrokenOff, InsideEvent
	case content == MarkedEvents:
		return BrokenOff, NoEndMarker
	case e.Framing == Length:
		return Whole, ByLength
	case e.Framing == Chunked:
		return Whole, ByLastChunk
	case content == JSON:
		return BrokenOff, NotDelimited
	case content == Events && e.Events == 0:
		return BrokenOff, NoEvent
	default:
		return Whole, ByConnectionEnd
	}
}
