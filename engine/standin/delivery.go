package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
)

// delivery sends one stream over one connection.
type delivery struct {
	model  *model
	c      echo.Context
	s      *stream
	reader uint64
	// next is the next token to send.
	next     int
	injected runFaults
	format   *format
	buffer   []byte
}

// await waits for tokens after d.next or for the end of the stream.
func (d *delivery) await() (produced int, state engine.StreamState, err error) {
	return d.model.batch.wait(d.c.Request().Context(), d.s, d.reader, d.next)
}

// stream writes server-sent events as tokens are produced.
func (d *delivery) stream() error {
	d.format = newFormat(d.s, unixNow(), d.model.options.Version)
	response := d.c.Response()
	response.Header().Set(echo.HeaderContentType, engine.ContentTypeStream)
	response.WriteHeader(http.StatusOK)
	if d.format.spec.Chat && d.next == 0 && !d.s.restored {
		d.append(d.format.roleChunk())
	}
	for {
		if err := d.write(); err != nil {
			return err
		}
		produced, state, err := d.await()
		if err != nil {
			return abort()
		}
		d.appendTokens(produced)
		if !state.Running() {
			return d.writeEnd(state)
		}
		if d.interrupt() {
			return abort()
		}
	}
}

// appendTokens appends the events of the tokens before end, limited to half of the answer if it
// is to be truncated.
func (d *delivery) appendTokens(end int) {
	if d.injected.cutAnswer {
		end = min(end, d.s.spec.Total/2)
	}
	for ; d.next < end; d.next++ {
		d.buffer = d.format.appendToken(d.buffer, d.next)
	}
}

// interrupt checks whether a crash is due or the answer is to be truncated here. If so, it
// flushes the buffer, crashes the engine if due, and returns true: the connection must be
// closed.
func (d *delivery) interrupt() bool {
	down, crash := d.crashDue()
	cut := d.injected.cutAnswer && d.next >= d.s.spec.Total/2
	if !crash && !cut {
		return false
	}
	_ = d.write()
	if crash {
		d.model.Crash(down)
	}
	return true
}

// crashDue reports whether the engine is to crash at this point, and its downtime.
func (d *delivery) crashDue() (time.Duration, bool) {
	if d.injected.crash && d.next > 0 {
		return d.injected.downTime, true
	}
	return d.model.faults.takeTokenCrash(d.next)
}

// writeEnd writes the last events: the finish reason, the usage and the end marker, or the
// error that ends the stream.
func (d *delivery) writeEnd(state engine.StreamState) error {
	switch {
	case d.interrupt():
		return abort()
	case state == streamCancelled:
		d.append(engine.ErrorBody{Error: &engine.ErrorDetail{
			Type:    engine.TypeCancelled,
			Message: "the stream was cancelled",
		}})
		return d.write()
	case state == streamSuspended:
		d.append(engine.SuspendedEvent{Suspended: &d.s.suspension.answer})
		return d.write()
	case d.injected.failAfter:
		d.append(engine.ErrorBody{Error: internalError()})
		return d.write()
	}
	d.format.cached = d.s.cached
	d.append(d.format.finishChunk())
	if d.s.spec.IncludeUsage {
		d.append(d.format.usageChunk())
	}
	d.buffer = append(d.buffer, "data: "+engine.StreamDone+"\n\n"...)
	return d.write()
}

func (d *delivery) append(value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the types used here can always be encoded
	}
	d.buffer = append(d.buffer, "data: "...)
	d.buffer = append(d.buffer, encoded...)
	d.buffer = append(d.buffer, "\n\n"...)
}

// write sends the buffered events. After a write error the connection is lost, so it is closed
// without a response.
func (d *delivery) write() error {
	if len(d.buffer) == 0 {
		return nil
	}
	_, err := d.c.Response().Write(d.buffer)
	d.buffer = d.buffer[:0]
	if err != nil {
		return abort()
	}
	d.c.Response().Flush()
	return nil
}

// writeCompletion responds with one JSON body after the stream has ended, or closes the
// connection if a fault requires it.
func (d *delivery) writeCompletion() error {
	for {
		produced, state, err := d.await()
		if err != nil {
			return abort()
		}
		d.next = produced
		if down, crash := d.crashDue(); crash {
			d.model.Crash(down)
			return abort()
		}
		if !state.Running() {
			return d.writeResult(state)
		}
	}
}

func (d *delivery) writeResult(state engine.StreamState) error {
	switch {
	case d.injected.loseAnswer, state == streamSuspended:
		return abort()
	case state == streamCancelled:
		return d.c.JSON(http.StatusConflict, engine.ErrorBody{Error: &engine.ErrorDetail{
			Type:    engine.TypeCancelled,
			Message: "the stream was cancelled",
		}})
	case d.injected.failAfter:
		return respondInternalError(d.c)
	}
	d.format = newFormat(d.s, unixNow(), d.model.options.Version)
	d.format.cached = d.s.cached
	return sendJSON(d.c, d.format.completion(), d.injected.cutAnswer)
}
