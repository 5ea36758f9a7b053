package link

import (
	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// BodyAssembler assembles the bodies of dispatches from their chunks. It serves one link and is not safe for concurrent
// use.
//
// Every Dispatch that is added is returned exactly once, complete or as an error, unless it is cancelled. The pending
// bodies take at most MaxPendingBodies bytes.
type BodyAssembler struct {
	pending map[attemptKey]*pendingBody
	bytes   uint64 // sum of the announced sizes of all pending bodies
}

type pendingBody struct {
	dispatch *wire.Dispatch
	body     []byte
}

// NewBodyAssembler returns an empty BodyAssembler.
func NewBodyAssembler() *BodyAssembler {
	return &BodyAssembler{pending: make(map[attemptKey]*pendingBody)}
}

// Pending returns the number of dispatches that wait for chunks.
func (b *BodyAssembler) Pending() int {
	return len(b.pending)
}

// AddDispatch adds a Dispatch. It returns the Dispatch if it is complete, and nil if chunks must follow. The error is a
// *DispatchError with code BodyTooLarge, RingFull (too many pending bodies) or BadMessage (a digest or size that does
// not match); the dispatch must then never start.
func (b *BodyAssembler) AddDispatch(d *wire.Dispatch) (*wire.Dispatch, error) {
	have := uint64(len(d.GetBody()))
	switch {
	case have == d.GetBodySize():
		return verifyDigest(d)
	case d.GetBodySize() > MaxBody:
		return nil, newDispatchError(d, result.New(result.BodyTooLarge, "a body of %d bytes was announced", d.GetBodySize()))
	case have != 0:
		return nil, newDispatchError(d, result.New(result.BadMessage, "the body has %d bytes, announced were %d", have, d.GetBodySize()))
	case b.bytes+d.GetBodySize() > MaxPendingBodies:
		return nil, newDispatchError(d, result.New(result.RingFull, "too many bodies are under way on this link"))
	}
	key := keyOf(d.GetAttempt())
	if b.pending[key] != nil {
		return nil, newDispatchError(d, result.New(result.BadMessage, "the attempt was dispatched twice"))
	}
	b.pending[key] = &pendingBody{dispatch: d}
	b.bytes += d.GetBodySize()
	return nil, nil
}

// AddChunk adds a part of a body. It returns the Dispatch if that completes it, else nil. A chunk of an attempt that is not
// pending, such as a cancelled one, is dropped. A chunk that does not continue its body fails the dispatch with a
// *DispatchError.
func (b *BodyAssembler) AddChunk(c *wire.BodyChunk) (*wire.Dispatch, error) {
	key := keyOf(c.GetAttempt())
	p := b.pending[key]
	if p == nil {
		return nil, nil
	}
	have, size := uint64(len(p.body)), p.dispatch.GetBodySize()
	length := uint64(len(c.GetData()))
	if c.GetOffset() != have || length == 0 || length > size-have {
		b.remove(key)
		return nil, newDispatchError(p.dispatch, result.New(result.BadMessage, "a chunk of %d bytes at %d doesn't continue a body with %d of %d bytes",
			length, c.GetOffset(), have, size))
	}
	if p.body == nil {
		p.body = make([]byte, 0, size)
	}
	p.body = append(p.body, c.GetData()...)
	if uint64(len(p.body)) < size {
		return nil, nil
	}
	b.remove(key)
	p.dispatch.Body = p.body
	return verifyDigest(p.dispatch)
}

// Cancel removes the pending attempts of the request up to and including the number.
func (b *BodyAssembler) Cancel(id *wire.AttemptID) {
	for key := range b.pending {
		if key.request == id.GetRequest() && key.number <= id.GetNumber() {
			b.remove(key)
		}
	}
}

func (b *BodyAssembler) remove(key attemptKey) {
	b.bytes -= b.pending[key].dispatch.GetBodySize()
	delete(b.pending, key)
}

// verifyDigest checks the digest of a complete body.
//
// A body corrupted on the way would run as a valid request, and only the reader of the answer could notice. The
// checksum of TCP is too weak for that over many bodies, and does not detect a fault in this package.
func verifyDigest(d *wire.Dispatch) (*wire.Dispatch, error) {
	if BodyDigest(d.GetBody()) != d.GetBodyDigest() {
		return nil, newDispatchError(d, result.New(result.BadMessage, "the digest of the body doesn't hold"))
	}
	return d, nil
}

// DispatchError is the error of a Dispatch that was refused before it was complete.
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

func newDispatchError(d *wire.Dispatch, err *result.Error) error {
	return &DispatchError{Attempt: d.GetAttempt(), Server: d.GetServer(), Err: err}
}

// asCancel converts the error of a refused dispatch into a Cancel of its attempt. The gate, which has not seen the
// dispatch, answers that the attempt never started and keeps it so; the entry may then try again.
func asCancel(err error) (*wire.EntryMessage, bool) {
	var f *DispatchError
	if !errors.As(err, &f) {
		return nil, false
	}
	cancel := &wire.Cancel{Attempt: f.Attempt, Server: f.Server, Cause: wire.CancelCause_CANCEL_CAUSE_RETRY}
	return &wire.EntryMessage{Kind: &wire.EntryMessage_Cancel{Cancel: cancel}}, true
}
