package link

import (
	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// BodyAssembler puts the bodies of dispatches together from their chunks. It serves one link and one goroutine at a time.
//
// Every Dispatch that goes in comes out exactly once, whole or with an error, unless it is cancelled. It holds at
// most MaxPendingBodies bytes.
type BodyAssembler struct {
	pending map[attemptKey]*pendingBody
	bytes   uint64 // announced sizes of all pending bodies
}

type pendingBody struct {
	dispatch *wire.Dispatch
	body     []byte
}

// NewBodyAssembler returns a Bodies that holds nothing.
func NewBodyAssembler() *BodyAssembler {
	return &BodyAssembler{pending: make(map[attemptKey]*pendingBody)}
}

// Pending returns how many dispatches wait for chunks.
func (b *BodyAssembler) Pending() int {
	return len(b.pending)
}

// AddDispatch takes a AddDispatch. It returns it if it is whole, and nil if chunks have to follow. The error is a
// *FailedDispatch with the code BodyTooLarge, RingFull (too many bodies are pending) or BadMessage (a digest or size
// that doesn't hold); the dispatch must then never start.
func (b *BodyAssembler) AddDispatch(d *wire.Dispatch) (*wire.Dispatch, error) {
	have := uint64(len(d.GetBody()))
	switch {
	case have == d.GetBodySize():
		return whole(d)
	case d.GetBodySize() > MaxBody:
		return nil, failed(d, result.New(result.BodyTooLarge, "a body of %d bytes was announced", d.GetBodySize()))
	case have != 0:
		return nil, failed(d, result.New(result.BadMessage, "the body has %d bytes, announced were %d", have, d.GetBodySize()))
	case b.bytes+d.GetBodySize() > MaxPendingBodies:
		return nil, failed(d, result.New(result.RingFull, "too many bodies are under way on this link"))
	}
	key := keyOf(d.GetAttempt())
	if b.pending[key] != nil {
		return nil, failed(d, result.New(result.BadMessage, "the attempt was dispatched twice"))
	}
	b.pending[key] = &pendingBody{dispatch: d}
	b.bytes += d.GetBodySize()
	return nil, nil
}

// AddChunk takes a part of a body. It returns the Dispatch when this completes it, else nil. A chunk of an attempt that
// isn't pending, such as one that was cancelled, is dropped. A chunk that doesn't continue its body fails the
// dispatch with a *FailedDispatch.
func (b *BodyAssembler) AddChunk(c *wire.BodyChunk) (*wire.Dispatch, error) {
	key := keyOf(c.GetAttempt())
	p := b.pending[key]
	if p == nil {
		return nil, nil
	}
	have, size := uint64(len(p.body)), p.dispatch.GetBodySize()
	length := uint64(len(c.GetData()))
	if c.GetOffset() != have || length == 0 || length > size-have {
		b.forget(key)
		return nil, failed(p.dispatch, result.New(result.BadMessage, "a chunk of %d bytes at %d doesn't continue a body with %d of %d bytes",
			length, c.GetOffset(), have, size))
	}
	if p.body == nil {
		p.body = make([]byte, 0, size)
	}
	p.body = append(p.body, c.GetData()...)
	if uint64(len(p.body)) < size {
		return nil, nil
	}
	b.forget(key)
	p.dispatch.Body = p.body
	return whole(p.dispatch)
}

// Cancel forgets the attempts of the request up to and including the number.
func (b *BodyAssembler) Cancel(id *wire.AttemptID) {
	for key := range b.pending {
		if key.request == id.GetRequest() && key.number <= id.GetNumber() {
			b.forget(key)
		}
	}
}

func (b *BodyAssembler) forget(key attemptKey) {
	b.bytes -= b.pending[key].dispatch.GetBodySize()
	delete(b.pending, key)
}

// whole checks the digest of a complete body.
//
// A body that was mixed up on its way would be run as somebody's request, and nobody would notice but the reader of
// the answer. TCP's checksum is too weak for that over many bodies, and doesn't see a mistake in this package.
func whole(d *wire.Dispatch) (*wire.Dispatch, error) {
	if BodyDigest(d.GetBody()) != d.GetBodyDigest() {
		return nil, failed(d, result.New(result.BadMessage, "the digest of the body doesn't hold"))
	}
	return d, nil
}

// DispatchError is the error of a Dispatch that never became whole.
type DispatchError struct {
	Attempt *wire.AttemptID
	Server  string
	Err     *result.Error
}

// Error implements error.
func (f *DispatchError) Error() string {
	return "link: dispatch of " + f.Attempt.GetRequest() + ": " + f.Err.Error()
}

// Unwrap returns the result.
func (f *DispatchError) Unwrap() error {
	return f.Err
}

func failed(d *wire.Dispatch, err *result.Error) error {
	return &DispatchError{Attempt: d.GetAttempt(), Server: d.GetServer(), Err: err}
}

// asCancel turns a dispatch that can't become whole into a Cancel of its attempt. The gate, which has not seen the
// dispatch, answers it as never started and keeps it so; the entry hears that and may try again.
func asCancel(err error) (*wire.EntryMessage, bool) {
	var f *DispatchError
	if !errors.As(err, &f) {
		return nil, false
	}
	cancel := &wire.Cancel{Attempt: f.Attempt, Server: f.Server, Cause: wire.CancelCause_CANCEL_CAUSE_RETRY}
	return &wire.EntryMessage{Kind: &wire.EntryMessage_Cancel{Cancel: cancel}}, true
}
