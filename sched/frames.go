package sched

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of frames that arrive before an earlier one. Short and long frames travel on two streams, so some
// reordering is normal.
const (
	maxHeldFrames = 256
	maxHeldBytes  = 4 << 20
	// gapTimeout is how long an earlier frame may be missing before it counts as lost.
	gapTimeout = time.Second
)

// frameReceived handles a part of an answer. A frame of another request or attempt is never added to the answer: it
// would be a fragment of a different answer or of a different run.
func (s *Scheduler) frameReceived(a *agent, f *wire.Frame) {
	r := s.requests[f.GetAttempt().GetRequest()]
	if r == nil {
		s.countDropped(droppedRequest)
		return
	}
	if !r.isCurrent(a, f.GetAttempt()) {
		s.countDropped(droppedAttempt)
		return
	}
	s.acknowledge(r)
	s.acceptFrame(r, f)
	if r.attempt == nil {
		return
	}
	s.releaseHeldFrames(r)
	s.checkAnswer(r)
	s.setTimer(r)
}

// acceptFrame appends a frame that is next in order, holds one that is early, and drops a duplicate.
func (s *Scheduler) acceptFrame(r *request, f *wire.Frame) {
	end := f.GetOffset() + uint64(len(f.GetEvents()))
	switch {
	case r.attempt.broken:
	case f.GetOffset() > r.eventsReceived:
		s.holdFrame(r, f)
	case end <= r.eventsReceived:
		s.countDropped(droppedFrame)
	default:
		skip := r.eventsReceived - f.GetOffset()
		tokens := f.GetTokens()
		s.appendEvents(r, f.GetEvents()[skip:], tokens[min(skip, uint64(len(tokens))):])
	}
}

// holdFrame holds a frame until the frames before it have arrived.
func (s *Scheduler) holdFrame(r *request, f *wire.Frame) {
	a := r.attempt
	size := eventBytes(f.GetEvents())
	if len(a.heldFrames) >= maxHeldFrames || a.heldBytes+size > maxHeldBytes {
		s.failAnswer(r, result.New(result.AnswerIncomplete, "too many frames arrived before an earlier one"), retryIncomplete)
		return
	}
	at, _ := slices.BinarySearchFunc(a.heldFrames, f.GetOffset(), func(p *wire.Frame, offset uint64) int {
		return cmp.Compare(p.GetOffset(), offset)
	})
	a.heldFrames = slices.Insert(a.heldFrames, at, f)
	a.heldBytes += size
	if a.gapSince.IsZero() {
		a.gapSince = s.now
	}
}

// releaseHeldFrames appends the held frames that are next in order.
func (s *Scheduler) releaseHeldFrames(r *request) {
	a := r.attempt
	for a == r.attempt && len(a.heldFrames) > 0 && a.heldFrames[0].GetOffset() <= r.eventsReceived && !a.broken {
		f := a.heldFrames[0]
		a.heldFrames = a.heldFrames[1:]
		a.heldBytes -= eventBytes(f.GetEvents())
		a.gapSince = s.now
		s.acceptFrame(r, f)
	}
	if len(a.heldFrames) == 0 && a.answerEnd == nil {
		a.gapSince = time.Time{}
	}
}

// appendEvents appends events, with the number of tokens in each, to the answer. If the chart allows no frame in
// the current state, all are dropped.
func (s *Scheduler) appendEvents(r *request, events [][]byte, tokens []uint32) {
	a := r.attempt
	e := evFrame
	if !a.framesSeen {
		e = evFirstFrame
	}
	a.framesSeen = true
	r.currentRecord().began = true
	if s.fire(r, e) != nil {
		return
	}
	for _, event := range events {
		_, _ = a.digest.Write(event)
		a.bytes += uint64(len(event))
	}
	r.eventsReceived += uint64(len(events))
	r.noteRunEvents(events)
	r.bindVersion()
	s.noteStreamBegan(r)
	r.noteEventTimes(s.now)
	s.trialAdvanced(r)
	for _, n := range tokens {
		r.tokensReceived += n
	}
	r.currentRecord().frames++
	s.deliverEvents(r, events)
}

// deliverEvents delivers the events of a stream, and buffers those of a whole answer until it is checked. This
// doesn't depend on the caller being present: the key's record may need the whole answer.
func (s *Scheduler) deliverEvents(r *request, events [][]byte) {
	if r.Stream {
		r.noteLastEvent(events)
		s.emit(Deliver{Request: r.ID, Events: events})
		return
	}
	r.buffer = append(r.buffer, events...)
	r.bufferSize += eventBytes(events)
	if r.bufferSize > s.options.MaxAnswerBytes {
		s.failAnswer(r, result.New(result.AnswerTooLarge, ""), retryIncomplete)
	}
}

// noteEventTimes records when events of the answer arrived.
func (r *request) noteEventTimes(now time.Time) {
	head := uint64(0)
	if r.Verbatim != nil {
		head = 1
	}
	if r.eventsReceived <= head {
		return
	}
	if r.firstEventAt.IsZero() {
		r.firstEventAt = now
	} else if !r.readerWaited {
		r.longestPause = max(r.longestPause, now.Sub(r.lastEventAt))
	}
	r.readerWaited = false
	r.lastEventAt = now
}

// noteLastEvent keeps the last event that was delivered, after which another server continues the stream. The first event of a
// verbatim answer is its head and not part of the stream, and a comment is no event.
func (r *request) noteLastEvent(events [][]byte) {
	if r.Verbatim == nil {
		return
	}
	first := r.eventsReceived - uint64(len(events))
	if first == 0 {
		r.notContinuable = !isContinuableHead(events[0])
	}
	for i := len(events) - 1; i >= 0 && first+uint64(i) > 0; i-- {
		if framing.IsEvent(events[i]) {
			r.lastEvent = events[i]
			r.lastUnnamed = framing.EventID(events[i]) == ""
			return
		}
	}
}

// isContinuableHead reports whether the answer with the given head may be continued by another run.
func isContinuableHead(event []byte) bool {
	var head wire.AnswerHead
	if proto.Unmarshal(event, &head) != nil {
		return false
	}
	contentType := ""
	for _, line := range head.GetHeaders() {
		if line.GetName() == "Content-Type" {
			contentType = line.GetValue()
		}
	}
	return framing.CheckContinuation(int(head.GetStatus()), contentType) == nil
}

// engineCompleted handles the report that the engine completed the attempt. The last frames may arrive later, since
// long ones travel on another stream.
func (s *Scheduler) engineCompleted(r *request, m *wire.Over) {
	rec := r.currentRecord()
	rec.began = true
	if m.GetAnswer() == nil {
		s.failIncomplete(r, result.New(result.AnswerIncomplete, "the agent gave no length"), retryIncomplete)
		return
	}
	r.attempt.answerEnd = m.GetAnswer()
	if r.attempt.gapSince.IsZero() {
		r.attempt.gapSince = s.now
	}
	s.checkAnswer(r)
}

// checkAnswer completes the request once all events have arrived and match the length and digest that the agent
// reported. An answer that doesn't match is never delivered as a whole one.
func (s *Scheduler) checkAnswer(r *request) {
	a := r.attempt
	switch {
	case a == nil || a.answerEnd == nil:
	case a.broken || r.eventsReceived > a.answerEnd.GetEvents():
		s.failIncomplete(r, result.New(result.AnswerIncomplete, ""), retryIncomplete)
	case r.eventsReceived < a.answerEnd.GetEvents():
		// Frames are missing; they count as lost after gapTimeout.
	case a.bytes != a.answerEnd.GetBytes() || a.digest.Sum64() != a.answerEnd.GetDigest():
		s.failIncomplete(r, result.New(result.AnswerDigestMismatch, ""), retryDigestMismatch)
	default:
		s.complete(r)
	}
}

func (s *Scheduler) complete(r *request) {
	rec := r.currentRecord()
	rec.over, rec.proof, rec.provedOver = s.now, wire.Proof_PROOF_COMPLETED, true
	s.reconcileCharge(r, rec.proof)
	s.noteCompleted(r)
	_ = s.fire(r, evAnswerComplete)
}

// failIncomplete ends an attempt that the engine completed but whose answer is incomplete or damaged here.
func (s *Scheduler) failIncomplete(r *request, err *result.Error, reason string) {
	r.discardUntrusted(err.Code)
	s.countEstimatedWaste(r, reason)
	s.attemptEnded(r, evAttemptFailed, wire.Proof_PROOF_COMPLETED, reason, err)
}

// failAnswer discards the current attempt's answer while the engine may still be running it.
func (s *Scheduler) failAnswer(r *request, err *result.Error, reason string) {
	a := r.attempt
	a.broken = true
	a.heldFrames = nil
	a.brokenErr = err
	if a.answerEnd != nil {
		s.failIncomplete(r, err, reason)
		return
	}
	s.requestCancel(r, wire.CancelCause_CANCEL_CAUSE_RETRY)
}

// gapExpired handles a frame that is missing for longer than gapTimeout.
func (s *Scheduler) gapExpired(r *request) {
	s.failAnswer(r, result.New(result.AnswerIncomplete, "a part of the answer was lost"), retryIncomplete)
}

func eventBytes(events [][]byte) int {
	size := 0
	for _, event := range events {
		size += len(event)
	}
	return size
}
