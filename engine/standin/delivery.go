package standin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
)

// delivery hands one stream over to one connection.
type delivery struct {
	model  *model
	c      echo.Context
	s      *stream
	reader uint64
	// next is the next token to hand over.
	next   int
	fate   fate
	format *format
	buffer []byte
}

// await waits for tokens after d.next or the stream's end.
func (d *delivery) await() (produced int, state engine.StreamState, err error) {
	return d.model.batch.wait(d.c.Request().Context(), d.s, d.reader, d.next)
}

// stream writes server-sent events as the tokens come.
func (d *delivery) stream() error {
	d.format = newFormat(d.s, unixNow())
	response := d.c.Response()
	response.Header().Set(echo.HeaderContentType, engine.ContentTypeStream)
	response.WriteHeader(http.StatusOK)
	if d.format.spec.Chat && d.next == 0 {
		d.append(d.format.role())
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
			return d.end(state)
		}
		if d.crashes() {
			return abort()
		}
	}
}

// appendTokens appends the events up to a token number, or to the half of the
// answer if it is to be cut there.
func (d *delivery) appendTokens(upTo int) {
	if d.fate.cut {
		upTo = min(upTo, d.s.spec.Total/2)
	}
	for ; d.next < upTo; d.next++ {
		d.buffer = d.format.appendToken(d.buffer, d.next)
	}
}

// crashes writes what there is and crashes the engine, if it is to die here or
// the answer is to be cut here. It says whether the connection must close.
func (d *delivery) crashes() bool {
	down, dies := d.dies()
	cut := d.fate.cut && d.next >= d.s.spec.Total/2
	if !dies && !cut {
		return false
	}
	_ = d.write()
	if dies {
		d.model.Crash(down)
	}
	return true
}

// dies says whether the engine crashes here, and for how long.
func (d *delivery) dies() (time.Duration, bool) {
	if d.fate.kills && d.next > 0 {
		return d.fate.down, true
	}
	return d.model.faults.dies(d.next)
}

// end writes the last events: the finish, the usage and the end mark, or the
// error that ends the stream.
func (d *delivery) end(state engine.StreamState) error {
	switch {
	case d.crashes():
		return abort()
	case state == streamCancelled:
		d.append(engine.ErrorBody{Error: &engine.ErrorDetail{
			Type:    engine.TypeCancelled,
			Message: "the stream was cancelled",
		}})
		return d.write()
	case d.fate.failAfter:
		d.append(engine.ErrorBody{Error: internalError()})
		return d.write()
	}
	d.format.cached = d.s.cached
	d.append(d.format.finish())
	if d.s.spec.IncludeUsage {
		d.append(d.format.usage())
	}
	d.buffer = append(d.buffer, "data: "+engine.StreamDone+"\n\n"...)
	return d.write()
}

func (d *delivery) append(value any) {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // the types here always have a JSON form
	}
	d.buffer = append(d.buffer, "data: "...)
	d.buffer = append(d.buffer, encoded...)
	d.buffer = append(d.buffer, "\n\n"...)
}

// write sends what is buffered. A write error needs no answer: the connection
// is gone, and the next wait sees it.
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

// whole answers with one JSON body once the stream has ended, or loses it.
func (d *delivery) whole() error {
	for {
		produced, state, err := d.await()
		if err != nil {
			return abort()
		}
		d.next = produced
		if down, dies := d.dies(); dies {
			d.model.Crash(down)
			return abort()
		}
		if !state.Running() {
			return d.answer(state)
		}
	}
}

func (d *delivery) answer(state engine.StreamState) error {
	switch {
	case d.fate.loseAnswer:
		return abort()
	case state == streamCancelled:
		return d.c.JSON(http.StatusConflict, engine.ErrorBody{Error: &engine.ErrorDetail{
			Type:    engine.TypeCancelled,
			Message: "the stream was cancelled",
		}})
	case d.fate.failAfter:
		return fail(d.c)
	}
	d.format = newFormat(d.s, unixNow())
	d.format.cached = d.s.cached
	return sendWhole(d.c, d.format.whole(), d.fate.cut)
}
