package sched

import (
	"strconv"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// resumePoint identifies the stream of an earlier attempt that an engine still holds.
type resumePoint struct {
	engineAttempt string // the engine's identifier
	server        string
}

// resumeFrom returns the number of events that the next attempt must skip.
func (r *request) resumeFrom() uint64 {
	return r.eventsReceived
}

// setResume records whether the engine still holds the cache of the attempt that ended.
func (r *request) setResume(m *wire.Over) {
	r.resume = nil
	if !m.GetResumable() {
		return
	}
	number := strconv.FormatUint(r.attempt.id.GetNumber(), 10)
	r.resume = &resumePoint{
		engineAttempt: string(engine.AttemptID(r.ID + "." + number)),
		server:        r.attempt.server.name,
	}
}

// resumeAttempt returns the identifier of the stream that the server is to resume or import, or "".
func (r *request) resumeAttempt(to *server) string {
	if r.resume == nil || !r.canFetch(to) {
		return ""
	}
	return r.resume.engineAttempt
}

// canFetch reports whether the server holds the kept stream itself or can import it.
func (r *request) canFetch(to *server) bool {
	return r.resume.server == to.name && to.room.GetResume() || to.room.GetKv()
}

// canResumeOn reports whether the request may continue at the server. A stream that was partly delivered must
// continue where it stopped. A server that can't resume would compute another run, and the two parts would not be
// one answer.
func (r *request) canResumeOn(to *server) bool {
	return r.eventsReceived == 0 || to.room.GetResume()
}

// canResume reports whether the received part of the answer can be continued or replaced.
func (s *Scheduler) canResume(r *request) bool {
	switch {
	case r.eventsReceived == 0 || !r.Stream:
		return true
	case r.pool.key.kind == kindService:
		return false
	case r.lastUnnamed || r.notContinuable:
		return false
	case r.lastErr != nil && r.lastErr.Code == result.AnswerDigestMismatch:
		return false
	default:
		return r.canGoOnAnywhere()
	}
}

// discardUntrusted discards what may be damaged: after a digest mismatch it isn't known which event was wrong.
func (r *request) discardUntrusted(code result.Code) {
	r.resume = nil
	if code == result.AnswerDigestMismatch {
		r.resetAnswer()
	}
}

// resetAnswer discards the buffered part of an answer of which the caller has received nothing.
func (r *request) resetAnswer() {
	if r.Stream {
		return
	}
	r.eventsReceived = 0
	r.firstRun = len(r.attempts)
	r.tokensReceived = 0
	r.buffer = nil
	r.bufferSize = 0
	r.resume = nil
	r.unbind()
}

// prepareRetry discards the buffered part if it can't be continued. That of a verbatim answer can't: its head states the length of
// the body that belongs to it, and the position after its last event isn't kept.
func (s *Scheduler) prepareRetry(r *request) {
	if r.eventsReceived > 0 && (r.pool.key.kind == kindService || r.Verbatim != nil || !r.canGoOnAnywhere()) {
		r.resetAnswer()
	}
}
