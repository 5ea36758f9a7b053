package sched

import (
	"strconv"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// resumePoint says where an engine still holds the stream of an earlier attempt.
type resumePoint struct {
	attempt string // the engine's name of it
	server  string
}

// resumeFrom is the number of events that the next attempt must not make again.
func (r *request) resumeFrom() uint64 {
	return r.delivered
}

// setResume notes that the engine still holds the cache of the attempt that ended.
func (r *request) setResume(m *wire.Over) {
	r.resume = nil
	if !m.GetResumable() {
		return
	}
	number := strconv.FormatUint(r.attempt.id.GetNumber(), 10)
	r.resume = &resumePoint{
		attempt: string(engine.AttemptID(r.ID + "." + number)),
		server:  r.attempt.server.name,
	}
}

// resumeAttempt is the stream that the server is to resume or import, empty for none.
func (r *request) resumeAttempt(to *server) string {
	if r.resume == nil || !r.canReach(to) {
		return ""
	}
	return r.resume.attempt
}

// canReach tells whether the server can get at the kept stream: it is its own, or it can import it.
func (r *request) canReach(to *server) bool {
	return r.resume.server == to.name && to.room.GetResume() || to.room.GetKv()
}

// resumesOn tells whether the request may go on at the server. A stream of which the caller holds a part must go on
// where it stopped. On a server that can't, the rest would be of another run, and the two parts no answer.
func (r *request) resumesOn(to *server) bool {
	return r.delivered == 0 || to.room.GetResume()
}

// canResume tells whether what was kept of the answer can be continued or be made anew.
func (s *Scheduler) canResume(r *request) bool {
	switch {
	case r.delivered == 0 || !r.Stream:
		return true
	case r.pool.key.kind == kindService:
		return false
	case r.lastErr != nil && r.lastErr.Code == result.AnswerDigestMismatch:
		return false
	default:
		return r.pool.anyResume()
	}
}

// spoilt drops what can't be trusted: after a wrong digest nobody knows which event was wrong.
func (r *request) spoilt(code result.Code) {
	r.resume = nil
	if code == result.AnswerDigestMismatch {
		r.startOver()
	}
}

// startOver drops the kept part of an answer that the caller has seen nothing of.
func (r *request) startOver() {
	if r.Stream {
		return
	}
	r.delivered = 0
	r.tokens = 0
	r.buffer = nil
	r.bufferSize = 0
	r.resume = nil
}

// prepareRetry drops the kept part where it can't be continued.
func (s *Scheduler) prepareRetry(r *request) {
	if r.delivered > 0 && (r.pool.key.kind == kindService || !r.pool.anyResume()) {
		r.startOver()
	}
}
