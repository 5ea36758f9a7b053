package sched

import (
	"time"

	"github.com/carawaypitch/carawaypitch/poison"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Bounds for one request.
const (
	// maxBegunAttempts bounds the attempts that may have begun and then failed. An engine that fails on a request
	// often fails again. Attempts preempted by a higher tier don't count: a class that tolerates lateness but no
	// loss would otherwise lose requests to preemption.
	maxBegunAttempts = 4
	// lateFactor is the multiple of its allowed time after which a request is given up, for a class that tolerates
	// lateness rather than loss. Such a request counts as late from its deadline on.
	lateFactor = 4
	// runningLateFactor is the same for a request whose answer has begun to arrive, in any class that tolerates
	// some lateness: cancelling it would turn a late answer into a lost one and waste its prefill.
	runningLateFactor = 1.5
)

// request is the state of a request without a final answer.
type request struct {
	*Request
	fingerprint poison.Fingerprint
	subjects    []poison.Key // what crashes count for, see subjectsOf
	suspicion   suspicion
	onTrial     bool // was chosen to be tried, see Scheduler.mayTry

	state     state
	sequence  uint64 // arrival order
	tier      int    // zero-based: 0 is tier 1
	class     *class
	pool      *pool
	mayBeLate bool
	promoted  bool // goes before the other classes of its tier
	late      bool // not expected to be in time; goes after the others of its tier
	promised  bool // was queued as on time

	excess          bool // its organisation holds more than its share; goes after all others of the tier
	arrivedInExcess int  // 1 if it was in excess as it arrived

	// Queueing.
	queue        *organisationQueue // nil when not queued, for example in back-off
	rank         time.Time
	lastScan     uint64
	queuedAt     time.Time
	notBefore    time.Time // end of the back-off
	reservations []reservation
	reservedAt   time.Time
	// reservedAlone is set if the gates were told to run it alone.
	reservedAlone bool

	// Forecast.
	expectedFirst time.Duration // until the first event, from the start
	expectedRun   time.Duration
	forecastWait  time.Duration // last forecast
	wouldRefuse   bool          // would have been refused by the fleet-wide view, see Scheduler.holdRefused
	forecastView  string        // view of its last forecast, empty without FleetDemand
	viewAge       time.Duration // age of that view then
	forecastAt    time.Time     // of the next forecast
	unfavourable  int           // successive forecasts by which its caller would not wait long enough
	heldAt        time.Time     // when it became late
	heldUntil     time.Time     // when it was sent or ended

	// Attempts.
	attempt    *attempt // sent and not proved over; nil if none
	attempts   []attemptRecord
	lastNumber uint64 // number of the last attempt sent, without the epoch
	refusals   int    // attempts proved never started
	reached    int    // attempts that reached, or may have reached, a server
	retry      retryState
	begun      int // attempts that may have begun, see maxBegunAttempts
	brokenOff  int // attempts whose answers servers broke off
	avoided    []string
	exposed    bool // an attempt was sent to a version that was being rolled out
	earlier    *earlierProofs
	widen      widenState

	// Answer.
	eventsReceived uint64 // events of the answer received so far
	tokensReceived uint32 // tokens in those events
	lastEvent      []byte // last event delivered of a verbatim stream
	firstRun       int    // index in attempts of the first one that contributed to the answer
	lastUnnamed    bool   // lastEvent has no ID, so that no server can be told to continue after it
	notContinuable bool   // the head delivered isn't that of a stream
	// firstEventAt is when the first event of the answer arrived, not counting the head of a verbatim answer.
	firstEventAt    time.Time
	lastEventAt     time.Time
	longestPause    time.Duration // between two events of the answer
	readerWaited    bool          // the server may have waited for the caller since the last event
	buffer          [][]byte
	bufferSize      int
	resume          *resumePoint
	bound           bool   // goes on at servers of one software version only
	version         string // with bound
	originNoted     bool   // StreamBegan was emitted
	passedOver      []PassedOver
	estimatedOutput uint32 // estimated output tokens
	upperOutput     uint32 // that 90 of 100 such answers don't exceed, 0 if not estimated
	needsFast       bool   // when it was queued, see needsFastServer
	placement       placement

	err        *result.Error // reason for the end, set before the event that ends the request
	lastErr    *result.Error // why the last attempt ended
	callerGone bool

	timerAt    time.Time
	timerIndex int // index in timerHeap, -1 when absent
}

// arrive accepts a request. Exactly one Answer or Fail follows for it.
func (s *Scheduler) arrive(in *Request) {
	if s.requests[in.ID] != nil {
		s.countDropped(droppedArrival)
		return
	}
	s.lastSequence++
	subjects := subjectsOf(in)
	r := &request{Request: in, fingerprint: subjects[0].Fingerprint, subjects: subjects, sequence: s.lastSequence, timerIndex: -1}
	r.class = s.classFor(in.Class)
	r.tier = tierIndex(in.Class.GetTier())
	r.mayBeLate = mayBeLate(in.Class)
	r.pool = s.pool(poolKey{kind: in.Class.GetKind(), target: in.Target})
	r.pool.requests++
	s.countRequest(r)
	s.countArrival(r)
	s.markExcess(r)
	s.noteArrival(r)
	r.state = s.table.Initial()
	s.setLength(r)
	r.bindOrigin()
	s.requests[in.ID] = r
	if r.arrivesLate(s.now) {
		s.startHold(r)
	}
	s.setTimer(r)
	if len(in.EarlierServers) > 0 {
		s.takeOver(r)
		return
	}
	r.promote()
	err := s.refuseQuarantined(r)
	if err == nil {
		err = s.refuseBeforeStop(r)
	}
	if err == nil && r.Origin != nil {
		err = s.refuseResumption(r)
	} else if err == nil {
		err = s.refuseEarly(r)
	}
	if err != nil {
		s.refuse(r, err)
		return
	}
	s.noteAdmitted(r)
	s.enqueue(r)
}

// arrivesLate reports whether the objective passed before the request could be queued, while its body was read for instance. Such a
// request has waited for no server: it goes behind those that may be in time, and doesn't end for its objective.
func (r *request) arrivesLate(now time.Time) bool {
	return r.objectiveApplies() && !r.mayBeLate && !now.Before(r.Objective)
}

// enqueue adds a request without an attempt to its pool's queue, or refuses it if it has been quarantined
// meanwhile.
func (s *Scheduler) enqueue(r *request) {
	if err := s.refuseQuarantined(r); err != nil {
		s.refuse(r, err)
		return
	}
	r.queuedAt = s.now
	r.forecastAt = s.now.Add(forecastInterval)
	s.addToQueue(r)
	s.shed()
	s.setTimer(r)
}

// refuse ends a queued request for lack of capacity or time.
func (s *Scheduler) refuse(r *request, err *result.Error) {
	r.err = err
	_ = s.fire(r, evRefuse)
}

// callerLeft cancels a request that nobody waits for, so that no prefill is spent on it. A keyed request that may
// not be repeated continues once it was dispatched: a cancel would leave its outcome unknown for good.
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
	s.setTimer(r)
}

// keepRunning reports whether the attempt continues although the caller left.
func (r *request) keepRunning() bool {
	return r.Key != "" && !r.Class.GetRepeatable() && r.attempt != nil && !r.attempt.cancelAsked
}

// abandoned reports whether the request only waits for a proof before it ends with CallerLeft.
func (r *request) abandoned() bool {
	return r.err != nil && r.err.Code == result.CallerLeft
}

// wanted reports whether the caller or the key's record still needs the answer.
func (r *request) wanted() bool {
	return !r.callerGone || (r.Key != "" && !r.Class.GetRepeatable())
}

// expiresAt returns when the request is given up, whatever its state.
func (r *request) expiresAt() time.Time {
	allowed := r.Deadline.Sub(r.Arrived)
	switch {
	case r.late && r.objectiveApplies():
		return r.latestBegin()
	case r.objectiveApplies() && r.Objective.Before(r.Deadline):
		return r.Objective
	case r.mayBeLate:
		return r.Arrived.Add(lateFactor * allowed)
	case r.state == streaming && r.Class.GetLateMax() > 0:
		return r.Arrived.Add(time.Duration(runningLateFactor * float64(allowed)))
	default:
		return r.Deadline
	}
}

// dueAt returns when the request should be served: its objective, or its deadline if it has none.
func (r *request) dueAt() time.Time {
	if r.Objective.IsZero() {
		return r.Deadline
	}
	return r.Objective
}

// objectiveApplies reports whether the request has an objective and has reached no server. After a failed attempt
// the objective no longer ends a request: a late answer is still useful.
func (r *request) objectiveApplies() bool {
	return !r.Objective.IsZero() && r.reached == 0 && (r.state == queued || r.state == reserved)
}

// remainingTime returns the time left until the deadline, 0 if it has passed.
func (s *Scheduler) remainingTime(r *request) time.Duration {
	return max(r.Deadline.Sub(s.now), 0)
}

// deadlinePassed ends a request whose expiry has come. The caller is answered at once; a proof that arrives later
// only serves to clean up.
func (s *Scheduler) deadlinePassed(r *request) {
	r.err = r.deadlineError()
	s.noteCutOff(r)
	s.noteCutAtDeadline(r)
	_ = s.fire(r, evDeadline)
}

func (r *request) deadlineError() *result.Error {
	switch {
	case r.state == queued || r.state == reserved:
		return result.New(result.DeadlinePassedInQueue, "")
	case r.attempt != nil && r.attempt.answerEnd != nil:
		return result.New(result.AnswerIncomplete, "the deadline passed before the whole answer arrived")
	case r.attempt != nil && r.attempt.framesSeen && r.Class.GetRepeatable():
		return result.New(result.Cancelled, "the deadline passed while the answer was arriving")
	case !r.Class.GetRepeatable():
		return result.New(result.OutcomeUnknown, "")
	default:
		return result.New(result.UnprovenAttemptAtDeadline, "")
	}
}

// answer completes a request with a whole answer.
func (s *Scheduler) answer(r *request) {
	if !r.Stream && len(r.buffer) > 0 {
		s.emit(Deliver{Request: r.ID, Events: r.buffer})
	}
	end := r.attempt.answerEnd
	s.emit(Answer{Request: r.ID, End: end, Trace: s.trace(r)})
	s.updateEstimates(r, end)
	s.noteAnswered(r, end)
	late := s.now.After(r.Deadline)
	counter := Goodput
	if late {
		counter = Late
	}
	r.class.window.add(s.now, late, false)
	s.countClass(counter, r)
	s.countServedTokens(r, end)
	s.finish(r, nil)
}

// failCaller ends a request with r.err, reporting about ran only what is proved.
func (s *Scheduler) failCaller(r *request) {
	err := s.withProvedRan(r, r.err)
	s.holdEnded(r, forecastHeldInVain)
	if len(r.attempts) == 0 {
		r.countsFor().refusals++
	}
	s.emit(Fail{Request: r.ID, Err: err, Trace: s.trace(r)})
	s.emit(Count{Counter: Refusals, Code: err.Code, Tier: r.Class.GetTier(), Class: r.Class.GetName(), Add: 1})
	if !r.callerGone && err.Code != result.RequestQuarantined && err.Code != result.PartQuarantined {
		// A caller who repeats a request that crashes servers must not make its class appear to miss its target,
		// which would order the class before others.
		r.class.window.add(s.now, false, true)
		s.countClass(Lost, r)
	}
	s.finish(r, err)
}

// withProvedRan sets the proved value of ran on the error; a nil error becomes result.Internal. A code that may not
// carry that value is replaced by that of the last attempt: a request that was attempted and then given up in the
// queue must not be reported as never run.
func (s *Scheduler) withProvedRan(r *request, err *result.Error) *result.Error {
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

// finish removes a request. An attempt that isn't proved over is kept as an orphan, to be cancelled later.
func (s *Scheduler) finish(r *request, err *result.Error) {
	s.removeFromQueue(r)
	s.withdrawAll(r)
	r.returnCredit()
	s.settleRetry(r)
	if r.attempt != nil {
		s.keepOrphan(r)
		s.release(r)
	}
	s.forgetTrial(r)
	s.timers.remove(r)
	delete(s.requests, r.ID)
	s.history.add(s.explain(r, err))
	r.pool.requests--
	s.removeIfUnused(r.pool)
}

func (s *Scheduler) countClass(c Counter, r *request) {
	s.emit(Count{Counter: c, Tier: r.Class.GetTier(), Class: r.Class.GetName(), Add: 1})
}

func (s *Scheduler) countServedTokens(r *request, end *wire.AnswerEnd) {
	tokens := uint64(end.GetPromptTokens()) + uint64(end.GetOutputTokens())
	s.emit(Count{Counter: ServedTokens, Tier: r.Class.GetTier(), Label: r.Organisation, Add: tokens})
}
