package standin

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
)

// suspension holds what is known of a suspended stream. The stand-in doesn't copy its memory to
// the targets of a suspend call; Faults.RefuseSuspension simulates targets without room.
type suspension struct {
	answer  engine.SuspendAnswer
	expires *time.Timer
}

// suspend stops a stream that is in the batch. Its slot is free afterwards, its memory is kept.
func (b *batch) suspend(id engine.AttemptID, targets []string) (engine.SuspendAnswer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.streams[id]
	refused := b.faults.get().RefuseSuspension
	switch {
	case s == nil || !s.state.Running():
		return engine.SuspendAnswer{}, errUnknownStream
	case refused == SuspensionBusy || s.state == engine.StreamQueued:
		return engine.SuspendAnswer{}, errSuspending
	case refused == SuspensionNoRoom || len(targets) == 0:
		return engine.SuspendAnswer{}, errNoRoom
	}
	b.handles++
	answer := engine.SuspendAnswer{Handle: "h-" + strconv.FormatUint(b.handles, 10), Events: s.produced}
	b.active = slices.DeleteFunc(b.active, func(other *stream) bool { return other == s })
	b.options.Ledger.end(id)
	b.counters.add(func(stats *Stats) { stats.Suspensions++ })
	s.state = streamSuspended
	s.planned = 0
	s.suspension = &suspension{
		answer:  answer,
		expires: time.AfterFunc(b.options.HandleTTL, func() { b.expire(s) }),
	}
	b.suspended[answer.Handle] = s
	s.notify()
	b.recordLoad()
	return answer, nil
}

// expire frees the memory of a stream that was not resumed in time.
func (b *batch) expire(s *stream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.suspended[s.suspension.answer.Handle] == s {
		b.dropSuspended(s, streamLost)
	}
}

// discard frees the memory of a suspended stream.
func (b *batch) discard(handle string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.suspended[handle]
	if s == nil {
		return errUnknownStream
	}
	b.dropSuspended(s, streamCancelled)
	return nil
}

// dropSuspended ends a suspended stream. b.mu must be held.
func (b *batch) dropSuspended(s *stream, state engine.StreamState) {
	delete(b.suspended, s.suspension.answer.Handle)
	s.suspension.expires.Stop()
	b.counters.waste(WasteSuspended, s.computed)
	b.retire(s, state)
	b.recordLoad()
	if len(b.waiting) > 0 {
		b.wake()
	}
}

// resumeSuspended continues a suspended stream after from tokens, before all streams that wait.
func (b *batch) resumeSuspended(id engine.AttemptID, handle string, from int) (*stream, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	held := b.suspended[handle]
	if held == nil || held.id != id || b.faults.get().RefuseHandle {
		return nil, errUnknownStream
	}
	if from > held.produced {
		return nil, errors.Wrap(errInvalid, "from is after the last token")
	}
	delete(b.suspended, handle)
	held.suspension.expires.Stop()
	s := held.restore()
	b.options.Ledger.resume(id)
	b.counters.add(func(stats *Stats) { stats.Resumptions++ })
	b.streams[id] = s
	b.waiting = slices.Insert(b.waiting, 0, s)
	b.recordLoad()
	b.wake()
	return s, nil
}

// restore returns a queued stream that continues a suspended one and takes over its memory. It is
// a stream of its own because the connection of the suspended one may not have read its end yet.
func (s *stream) restore() *stream {
	restored := newStream(s.id, s.spec)
	restored.restored = true
	restored.promptRemaining = s.promptRemaining
	restored.computed = s.computed
	restored.cached = s.cached
	restored.produced = s.produced
	restored.reserved, s.reserved = s.reserved, 0
	return restored
}

// suspend handles a suspend call.
func (m *model) suspend(c echo.Context) error {
	var order engine.SuspendOrder
	if err := decodeStrict(c.Request().Body, &order); err != nil {
		return m.refuse(c, errors.Wrap(errInvalid, err.Error()))
	}
	answer, err := m.batch.suspend(pathID(c), order.Targets)
	if err != nil {
		return m.refuse(c, err)
	}
	if m.faults.get().LoseSuspension {
		return abort()
	}
	return c.JSON(http.StatusOK, answer)
}

// discard handles a call that frees the memory of a suspended stream.
func (m *model) discard(c echo.Context) error {
	if err := m.batch.discard(string(pathID(c))); err != nil {
		return m.refuse(c, err)
	}
	return c.NoContent(http.StatusNoContent)
}

// resumeSuspended handles a completion call that resumes a suspended stream.
func (m *model) resumeSuspended(c echo.Context, id engine.AttemptID, handle string) error {
	from, err := strconv.Atoi(c.Request().Header.Get(engine.HeaderResumeFrom))
	if err != nil || from < 0 {
		return m.refuse(c, errors.Wrap(errInvalid, engine.HeaderResumeFrom))
	}
	s, err := m.batch.resumeSuspended(id, handle, from)
	if err != nil {
		return m.refuse(c, err)
	}
	return m.deliver(c, s, from, runFaults{}, true)
}
