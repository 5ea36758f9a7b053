package sched

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of frames that arrive before an earlier one. Short and long frames travel on two streams, so a little of it
// is normal.
const (
	maxHeldFrames = 256
	maxHeldBytes  = 4 << 20
	// gapBound is how long an earlier frame may stay away before it counts as lost.
	gapBound = time.Second
)

// frame takes a part of an answer. A frame of another request or attempt never gets into the answer: it would be a
// fragment of somebody else's, or of a run that the caller's answer isn't made of.
func (s *Scheduler) frame(a *agent, f *wire.Frame) {
	r := s.requests[f.GetAttempt().GetRequest()]
	if r == nil {
		s.countStray(strayRequest)
		return
	}
	if !r.present(a, f.GetAttempt()) {
		s.countStray(strayAttempt)
		return
	}
	s.acknowledge(r)
	s.takeFrame(r, f)
	if r.attempt == nil {
		return
	}
	s.releaseHeld(r)
	s.checkEnd(r)
	s.setWake(r)
}

// takeFrame keeps a frame that is next, holds one that came too early, and drops one that is there already.
func (s *Scheduler) takeFrame(r *request, f *wire.Frame) {
	end := f.GetOffset() + uint64(len(f.GetEvents()))
	switch {
	case r.attempt.broken:
	case f.GetOffset() > r.delivered:
		s.hold(r, f)
	case end <= r.delivered:
		s.countStray(strayFrame)
	default:
		skip := r.delivered - f.GetOffset()
		tokens := f.GetTokens()
		s.keep(r, f.GetEvents()[skip:], tokens[min(skip, uint64(len(tokens))):])
	}
}

// hold keeps a frame until the ones before it are there.
func (s *Scheduler) hold(r *request, f *wire.Frame) {
	a := r.attempt
	size := eventBytes(f.GetEvents())
	if len(a.pending) >= maxHeldFrames || a.heldBytes+size > maxHeldBytes {
		s.breakOff(r, result.New(result.AnswerIncomplete, "too many frames arrived before an earlier one"), retryIncomplete)
		return
	}
	at, _ := slices.BinarySearchFunc(a.pending, f.GetOffset(), func(p *wire.Frame, offset uint64) int {
		return cmp.Compare(p.GetOffset(), offset)
	})
	a.pending = slices.Insert(a.pending, at, f)
	a.heldBytes += size
	if a.gapSince.IsZero() {
		a.gapSince = s.now
	}
}

// releaseHeld keeps the held frames whose turn has come.
func (s *Scheduler) releaseHeld(r *request) {
	a := r.attempt
	for a == r.attempt && len(a.pending) > 0 && a.pending[0].GetOffset() <= r.delivered && !a.broken {
		f := a.pending[0]
		a.pending = a.pending[1:]
		a.heldBytes -= eventBytes(f.GetEvents())
		a.gapSince = s.now
		s.takeFrame(r, f)
	}
	if len(a.pending) == 0 && a.end == nil {
		a.gapSince = time.Time{}
	}
}

// keep appends events, with the tokens in each, to the answer. All events of a frame after the end are refused.
func (s *Scheduler) keep(r *request, events [][]byte, tokens []uint32) {
	a := r.attempt
	e := evFrame
	if !a.framesSeen {
		e = evFirstFrame
	}
	a.framesSeen = true
	r.record().began = true
	if s.fire(r, e) != nil {
		return
	}
	for _, event := range events {
		_, _ = a.digest.Write(event)
		a.bytes += uint64(len(event))
	}
	r.delivered += uint64(len(events))
	r.noteEvents(s.now)
	for _, n := range tokens {
		r.tokens += n
	}
	r.record().frames++
	s.passOn(r, events)
}

// passOn delivers events of a stream, and holds those of a whole answer until it is checked. A caller who left makes
// no difference: the key's record may need the whole answer.
func (s *Scheduler) passOn(r *request, events [][]byte) {
	if r.Stream {
		r.noteLast(events)
		s.act(Deliver{Request: r.ID, Events: events})
		return
	}
	r.buffer = append(r.buffer, events...)
	r.bufferSize += eventBytes(events)
	if r.bufferSize > s.options.MaxAnswerBytes {
		s.breakOff(r, result.New(result.AnswerTooLarge, ""), retryIncomplete)
	}
}

// noteEvents notes when events of the answer came.
func (r *request) noteEvents(now time.Time) {
	head := uint64(0)
	if r.Verbatim != nil {
		head = 1
	}
	if r.delivered <= head {
		return
	}
	if r.firstEventAt.IsZero() {
		r.firstEventAt = now
	} else {
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
}

// noteLast keeps the last event that was delivered: another server goes on after it. The first one of a verbatim answer
// is its head, and no event of the stream.
func (r *request) noteLast(events [][]byte) {
	if r.Verbatim != nil && r.delivered > 1 && len(events) > 0 {
		r.lastEvent = events[len(events)-1]
	}
}

// completed takes the word that the engine ended the attempt in full. The last frames may still be on the way, since
// long ones travel on another stream.
func (s *Scheduler) completed(r *request, m *wire.Over) {
	rec := r.record()
	rec.began = true
	if m.GetAnswer() == nil {
		s.incomplete(r, result.New(result.AnswerIncomplete, "the agent gave no length"), retryIncomplete)
		return
	}
	r.attempt.end = m.GetAnswer()
	if r.attempt.gapSince.IsZero() {
		r.attempt.gapSince = s.now
	}
	s.checkEnd(r)
}

// checkEnd answers once all events are there and fit the length and digest that the agent gave. Anything else isn't
// the whole answer: it is never given out as one.
func (s *Scheduler) checkEnd(r *request) {
	a := r.attempt
	switch {
	case a == nil || a.end == nil:
	case a.broken || r.delivered > a.end.GetEvents():
		s.incomplete(r, result.New(result.AnswerIncomplete, ""), retryIncomplete)
	case r.delivered < a.end.GetEvents():
		// Frames are missing; wake gives up on them after gapBound.
	case a.bytes != a.end.GetBytes() || a.digest.Sum64() != a.end.GetDigest():
		s.incomplete(r, result.New(result.AnswerDigestMismatch, ""), retryDigest)
	default:
		s.complete(r)
	}
}

func (s *Scheduler) complete(r *request) {
	rec := r.record()
	rec.over, rec.proof, rec.proved = s.now, wire.Proof_PROOF_COMPLETED, true
	s.trueUp(r, rec.proof)
	_ = s.fire(r, evAnswerComplete)
}

// incomplete closes an attempt that the engine ended but whose answer isn't whole here.
func (s *Scheduler) incomplete(r *request, err *result.Error, reason string) {
	r.spoilt(err.Code)
	s.countLostPrefill(r, reason)
	s.ended(r, evAttemptFailed, wire.Proof_PROOF_COMPLETED, reason, err)
}

// breakOff gives up on the present attempt's answer while the engine may still be at it.
func (s *Scheduler) breakOff(r *request, err *result.Error, reason string) {
	a := r.attempt
	a.broken = true
	a.pending = nil
	a.brokenErr = err
	if a.end != nil {
		s.incomplete(r, err, reason)
		return
	}
	s.askCancel(r, wire.CancelCause_CANCEL_CAUSE_RETRY)
}

// gapPassed gives up on a frame that stayed away.
func (s *Scheduler) gapPassed(r *request) {
	s.breakOff(r, result.New(result.AnswerIncomplete, "a part of the answer was lost"), retryIncomplete)
}

func eventBytes(events [][]byte) int {
	size := 0
	for _, event := range events {
		size += len(event)
	}
	return size
}
