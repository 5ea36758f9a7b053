package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds of what is done for one request.
const (
	// maxStarts bounds the attempts that may have begun and ended badly. An engine that fails on a request will often
	// fail again. Attempts that made room for a higher tier don't count: a class that may be late but not lost would
	// lose its work to them.
	maxStarts = 4
	// lateFactor is how many times its deadline a request of a class that tolerates lateness rather than loss may
	// take before it is given up. It is counted late from the deadline on.
	lateFactor = 4
	// runningLateFactor is the same for a request whose answer has begun to arrive, in any class that tolerates some
	// lateness: cutting it would turn late work into lost work and waste its prefill.
	runningLateFactor = 1.5
)

// request is a live request.
type request struct {
	*Request
	fingerprint poison.Fingerprint

	state     state
	sequence  uint64 // order of arrival
	tier      int    // index: 0 is tier 1
	class     *class
	pool      *pool
	mayBeLate bool
	promoted  bool // goes before the other classes of its tier

	// Queue.
	lane         *lane // nil when not queued, or waiting for a back-off
	rank         time.Time
	mark         uint64
	queuedAt     time.Time
	notBefore    time.Time // back-off
	reservations []reservation
	reservedAt   time.Time

	// Attempts.
	attempt  *attempt // sent and not proved over; nil if none
	attempts []attemptRecord
	number   uint64 // of the last attempt sent, without the epoch
	refusals int    // attempts proved never started
	arrivals int    // attempts that reached, or may have reached, a server
	starts   int    // attempts that may have begun, see maxStarts
	avoid    []string
	earlier  *earlierProofs
	widen    widenState

	// Answer.
	delivered uint64 // events kept so far
	tokens    uint32 // in those events
	lastEvent []byte // of a verbatim stream
	// firstEventAt is when the first event of the answer came; the head of a verbatim answer is none.
	firstEventAt time.Time
	lastEventAt  time.Time
	longestPause time.Duration // between two events of the answer
	buffer       [][]byte
	bufferSize   int
	resume       *resumePoint
	passed       []PassedOver
	outputs      uint32 // estimated output tokens

	err        *result.Error // why it ends, set before the event that ends it
	lastErr    *result.Error // why the last attempt ended
	callerGone bool

	wakeAt    time.Time
	wakeIndex int // in wakeHeap, -1 when absent
}

// arrive takes a request over. Exactly one Answer or Fail follows for it.
func (s *Scheduler) arrive(in *Request) {
	if s.requests[in.ID] != nil {
		s.countStray(strayArrive)
		return
	}
	s.sequence++
	r := &request{Request: in, fingerprint: in.fingerprint(), sequence: s.sequence, wakeIndex: -1}
	r.class = s.classFor(in.Class)
	r.tier = tierIndex(in.Class.GetTier())
	r.mayBeLate = mayBeLate(in.Class)
	r.pool = s.pool(poolKey{kind: in.Class.GetKind(), target: in.Target})
	r.pool.live++
	s.noteRequest(r)
	s.noteArrival(r)
	r.state = s.table.Initial()
	r.outputs = s.estimateOutput(r)
	s.requests[in.ID] = r
	s.setWake(r)
	if len(in.EarlierServers) > 0 {
		s.takeOver(r)
		return
	}
	r.promote()
	err := s.refusePoison(r)
	if err == nil {
		err = s.refuseBeforeStop(r)
	}
	if err == nil {
		err = s.refuseEarly(r)
	}
	if err != nil {
		s.refuse(r, err)
		return
	}
	s.enqueue(r)
}

// enqueue puts a request that has no attempt into its pool's queue, or refuses it if servers crashed under it meanwhile.
func (s *Scheduler) enqueue(r *request) {
	if err := s.refusePoison(r); err != nil {
		s.refuse(r, err)
		return
	}
	r.queuedAt = s.now
	s.push(r)
	s.shed()
	s.setWake(r)
}

// refuse ends a queued request for want of room or time.
func (s *Scheduler) refuse(r *request, err *result.Error) {
	r.err = err
	_ = s.fire(r, evRefuse)
}

// callerLeft drops what nobody waits for, so that no prefill is spent on it. Work that may not be repeated and has a
// key is left to run once it was dispatched: a cancel would make its outcome unknown for ever.
func (s *Scheduler) callerLeft(id string) {
	r := s.requests[id]
	if r == nil || r.callerGone {
		return
	}
	r.callerGone = true
	if !r.keepRunning() {
		r.err = result.New(result.CallerLeft, "")
	}
	_ = s.fire(r, evCallerLeft)
	s.setWake(r)
}

// keepRunning tells whether an attempt goes on although the caller left.
func (r *request) keepRunning() bool {
	return r.Key != "" && !r.Class.GetRepeatable() && r.attempt != nil && !r.attempt.cancelAsked
}

// abandoned tells whether the request only waits for a proof, to end with CallerLeft.
func (r *request) abandoned() bool {
	return r.err != nil && r.err.Code == result.CallerLeft
}

// wanted tells whether somebody, or the key's record, wants the answer.
func (r *request) wanted() bool {
	return !r.callerGone || (r.Key != "" && !r.Class.GetRepeatable())
}

// limit is when the request is given up, whatever it waits for.
func (r *request) limit() time.Time {
	allowed := r.Deadline.Sub(r.Arrived)
	switch {
	case r.isFresh() && r.Objective.Before(r.Deadline):
		return r.Objective
	case r.mayBeLate:
		return r.Arrived.Add(lateFactor * allowed)
	case r.state == streaming && r.Class.GetLateMax() > 0:
		return r.Arrived.Add(time.Duration(runningLateFactor * float64(allowed)))
	default:
		return r.Deadline
	}
}

// due is by when the request should be served.
func (r *request) due() time.Time {
	if r.Objective.IsZero() {
		return r.Deadline
	}
	return r.Objective
}

// isFresh tells whether the request has an objective and no server has seen it. After a failure it is worth a late answer.
func (r *request) isFresh() bool {
	return !r.Objective.IsZero() && r.arrivals == 0 && (r.state == queued || r.state == reserved)
}

// remaining is the time left until the deadline, 0 if it has passed.
func (s *Scheduler) remaining(r *request) time.Duration {
	return max(r.Deadline.Sub(s.now), 0)
}

// deadlinePassed ends a request whose limit has come. It is answered at once: a proof that comes later is only
// cleaned up after.
func (s *Scheduler) deadlinePassed(r *request) {
	r.err = r.deadlineError()
	_ = s.fire(r, evDeadline)
}

func (r *request) deadlineError() *result.Error {
	switch {
	case r.state == queued || r.state == reserved:
		return result.New(result.DeadlinePassedInQueue, "")
	case r.attempt != nil && r.attempt.end != nil:
		return result.New(result.AnswerIncomplete, "the deadline passed before the whole answer arrived")
	case r.attempt != nil && r.attempt.framesSeen && r.Class.GetRepeatable():
		return result.New(result.Cancelled, "the deadline passed while the answer was arriving")
	case !r.Class.GetRepeatable():
		return result.New(result.OutcomeUnknown, "")
	default:
		return result.New(result.UnprovenAttemptAtDeadline, "")
	}
}

// answer closes a request with a whole answer.
func (s *Scheduler) answer(r *request) {
	if !r.Stream && len(r.buffer) > 0 {
		s.act(Deliver{Request: r.ID, Events: r.buffer})
	}
	end := r.attempt.end
	s.act(Answer{Request: r.ID, End: end, Trace: s.trace(r)})
	s.learn(r, end)
	s.noteWhole(r, end)
	late := s.now.After(r.Deadline)
	counter := Goodput
	if late {
		counter = Late
	}
	r.class.window.add(s.now, late, false)
	s.countClass(counter, r)
	s.countServed(r, end)
	s.finish(r, nil)
}

// failCaller closes a request with r.err, and says of ran what is proved and no more.
func (s *Scheduler) failCaller(r *request) {
	err := s.truthful(r, r.err)
	s.act(Fail{Request: r.ID, Err: err, Trace: s.trace(r)})
	s.act(Count{Counter: Refusals, Code: err.Code, Tier: r.Class.GetTier(), Class: r.Class.GetName(), Add: 1})
	if !r.callerGone && err.Code != result.RequestQuarantined {
		// A caller who repeats what crashes servers must not make its class look as if it missed its target: the class
		// would go before others.
		r.class.window.add(s.now, false, true)
		s.countClass(Lost, r)
	}
	s.finish(r, err)
}

// truthful gives the error the proved value of ran. A code that may not carry that value is replaced by that of the
// last attempt: a request that was tried and then given up in the queue must not be told that it never ran.
func (s *Scheduler) truthful(r *request, err *result.Error) *result.Error {
	ran := r.ran()
	if err == nil {
		err = result.New(result.Internal, "")
	}
	if !err.Code.Info().Ran.Has(ran) {
		err = r.fallbackError(ran).WithRetryAfter(err.RetryAfter)
	}
	if err.RetryAfter == 0 && ran == result.RanNo && err.Code != result.CallerLeft {
		err = err.WithRetryAfter(s.retryAfter(r))
	}
	return err.WithRan(ran)
}

func (r *request) fallbackError(ran result.Ran) *result.Error {
	if r.lastErr != nil && r.lastErr.Code.Info().Ran.Has(ran) {
		return r.lastErr
	}
	if ran == result.RanUnknown && !r.Class.GetRepeatable() {
		return result.New(result.OutcomeUnknown, "")
	}
	return result.New(result.Cancelled, "")
}

// finish forgets a request. An attempt that isn't proved over is kept for cleaning up.
func (s *Scheduler) finish(r *request, err *result.Error) {
	s.pull(r)
	s.withdrawAll(r)
	r.giveBack()
	if r.attempt != nil {
		s.linger(r)
		s.release(r)
	}
	s.wakes.remove(r)
	delete(s.requests, r.ID)
	s.history.add(s.explain(r, err))
	r.pool.live--
	s.forget(r.pool)
}

func (s *Scheduler) countClass(c Counter, r *request) {
	s.act(Count{Counter: c, Tier: r.Class.GetTier(), Class: r.Class.GetName(), Add: 1})
}

func (s *Scheduler) countServed(r *request, end *wire.AnswerEnd) {
	tokens := uint64(end.GetPromptTokens()) + uint64(end.GetOutputTokens())
	s.act(Count{Counter: ServedTokens, Tier: r.Class.GetTier(), Label: r.Organisation, Add: tokens})
}
