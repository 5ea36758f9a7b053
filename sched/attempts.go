package sched

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// attempt is an attempt that was sent and isn't proved over. A request has at most one.
type attempt struct {
	id             *wire.AttemptID
	request        *request
	server         *server
	agent          *agent
	incarnation    uint64 // of the agent, when the attempt was sent
	address        string // of the backend server
	sentAt         time.Time
	cost           int64         // tokens charged to the organisation
	uncorrectedRun time.Duration // predicted run time at the rates that the gate reports
	sentPace       pace          // of the server by its gate, when it was sent; 0 unless it is placed by length
	sentCached     uint32        // prompt tokens that were expected to be cached there, with sentPace
	rollout        uint64        // id of the roll-out in progress when it was sent, 0 without one
	version        string        // software version of the server, when it was sent

	reached       bool      // has reached, or may have reached, the server
	isRetry       bool      // is counted as an arrival by the retry budget
	retrySlot     int64     // of the budget, with isRetry
	linkLost      bool      // the link was lost since it was sent, and reports with it
	started       bool      // the agent reports that it asked the engine to begin
	startedAt     time.Time // when it reported that
	acked         bool      // the agent has replied since the link was last opened
	silentSince   time.Time // when sent, or when the link opened again
	downSince     time.Time // link lost; zero while it is open
	cancelAsked   bool
	cancelCause   wire.CancelCause
	cancelSentAt  time.Time // when the last Cancel was sent
	engineAskedAt time.Time // when ProveAtEngine was last emitted

	framesSeen  bool
	brokenOff   framing.Cause // why the server's answer isn't whole, if the server broke it off
	broken      bool          // the answer can't be completed
	brokenErr   *result.Error
	firstOffset uint64
	bytes       uint64
	digest      xxhash.Digest
	heldFrames  []*wire.Frame // frames that arrived before an earlier one
	heldBytes   int
	gapSince    time.Time
	answerEnd   *wire.AnswerEnd // the engine completed the attempt; frames may be missing
}

// attemptRecord keeps what is needed of an attempt to report ran and for Explain.
type attemptRecord struct {
	number     uint64
	server     string
	agent      string
	sent       time.Time
	over       time.Time
	proof      wire.Proof // UNSPECIFIED without a proof
	provedOver bool       // over, by any kind of proof
	began      bool       // an engine certainly began it
	reason     string
	frames     uint64
	run        RunTrace
}

// ran returns what is proved about the whole request.
func (r *request) ran() result.Ran {
	ran := r.earlierRan()
	for i := range r.attempts {
		ran = combineRan(ran, r.attempts[i].ran())
	}
	return ran
}

func (a *attemptRecord) ran() result.Ran {
	switch {
	case a.began:
		return result.RanYes
	case a.proof == wire.Proof_PROOF_NEVER_STARTED:
		return result.RanNo
	default:
		return result.RanUnknown
	}
}

// combineRan combines the results of two attempts: yes if either ran, no only if neither did.
func combineRan(a, b result.Ran) result.Ran {
	switch {
	case a == result.RanYes || b == result.RanYes:
		return result.RanYes
	case a == result.RanNo && b == result.RanNo:
		return result.RanNo
	default:
		return result.RanUnknown
	}
}

// nextAttemptID returns the identity of the request's next attempt. The upper bits of its number are the owner's
// epoch, so that all attempts of a new owner have higher numbers than those of earlier owners.
func (r *request) nextAttemptID() *wire.AttemptID {
	return &wire.AttemptID{Request: r.ID, Number: r.Epoch<<EpochShift + r.lastNumber + 1}
}

// isCurrent reports whether id is the request's current attempt, at this incarnation of the agent.
func (r *request) isCurrent(a *agent, id *wire.AttemptID) bool {
	return r.attempt != nil && r.attempt.id.GetNumber() == id.GetNumber() && r.attempt.agent == a &&
		r.attempt.incarnation == a.incarnation
}

// dispatch sends the request's body to a server. The state chart ensures that there is no current attempt: it
// allows a dispatch in queued and reserved only, which are re-entered only by a proof. Other reservations are
// withdrawn first; an offer that crosses the withdrawal is declined, since the request then has an attempt.
func (s *Scheduler) dispatch(r *request, to *server, offered bool) {
	if !to.ready || !s.mayUse(r, to) || !r.allows(to) || s.mustWaitForVersion(r, to) {
		s.countDropped(droppedAttempt)
		return
	}
	if !s.renewRetry(r) {
		if offered {
			s.decline(to.agent, &wire.Offer{Attempt: r.nextAttemptID(), Server: to.name})
		}
		s.refuse(r, r.lastErr)
		return
	}
	e := evDispatch
	if offered && r.state == reserved {
		e = evTake
		s.forgetReservation(r, to)
	}
	s.removeFromQueue(r)
	if s.fire(r, e) != nil {
		return
	}
	s.sendBody(r, to, offered)
}

func (s *Scheduler) sendBody(r *request, to *server, offered bool) {
	id := r.nextAttemptID()
	r.lastNumber++
	a := &attempt{
		id: id, request: r, server: to, agent: to.agent, incarnation: to.agent.incarnation, address: to.address,
		sentAt: s.now, silentSince: s.now, firstOffset: r.resumeFrom(), uncorrectedRun: s.uncorrectedRunTime(r, to),
		version: to.record.GetVersion(),
	}
	a.digest.Reset()
	a.cost = s.attemptCost(r, to)
	s.clocks[r.tier].Start(r.Organisation, a.cost)
	r.attempt = a
	r.attempts = append(r.attempts, attemptRecord{
		number: id.GetNumber(), server: to.name, agent: to.agent.name, sent: s.now, run: r.beginRun(id, to),
	})
	to.agent.attempts[r] = struct{}{}
	to.attemptSent(a)
	s.inFlight++
	r.pool.noteDispatch(s.now)
	s.noteTrial(r)
	s.noteSend(r, a)
	r.countsFor().dispatches++
	s.notePlacement(r, to)
	r.pool.load.attemptBegan(s.now, r.class, r.pool.tiers[r.tier].count > 0)
	s.holdEnded(r, forecastServedLate)
	s.settleCredits(r)
	s.send(to.agent, dispatchMessage(s, r, a, offered))
	s.prefixes.addAll(to.name, r.Prefix)
	s.updateReadiness(to)
	s.setTimer(r)
}

func dispatchMessage(s *Scheduler, r *request, a *attempt, offered bool) *wire.EntryMessage {
	d := &wire.Dispatch{
		Attempt:         a.id,
		Server:          a.server.name,
		Work:            s.describeWork(r, a.server),
		Method:          r.Method,
		Path:            r.Path,
		ContentType:     r.ContentType,
		IdempotencyKey:  r.Key,
		Body:            r.Body,
		BodySize:        uint64(len(r.Body)),
		BodyDigest:      r.BodyDigest,
		Offered:         offered,
		ResumeFrom:      uint32(a.firstOffset),
		ResumeAttempt:   r.resumeAttempt(a.server),
		ReportToControl: r.Key != "" && !r.Class.GetRepeatable(),
		Operation:       r.operationName(),
		ResumeTokens:    r.tokensReceived,
		Fingerprint:     uint64(r.fingerprint),
		Parts:           r.sharedParts(),
	}
	if v := r.Verbatim; v != nil {
		d.Verbatim = true
		d.Host = v.Host
		d.Headers = v.Headers
		d.LastEvent = r.lastEvent
		d.Consecutive = r.isConsecutive()
		d.Stream = uint64(r.StreamKey)
	}
	return &wire.EntryMessage{Kind: &wire.EntryMessage_Dispatch{Dispatch: d}}
}

// operationName returns the key of the operation record, organisation/key as in control's state, or "" without a
// key.
func (r *request) operationName() string {
	if r.Key == "" {
		return ""
	}
	return r.Organisation + "/" + r.Key
}

// describeWork describes the request to a gate as of the current time.
func (s *Scheduler) describeWork(r *request, to *server) *wire.Work {
	w := &wire.Work{
		Organisation: r.Organisation,
		Class:        r.Class.GetName(),
		Tier:         r.Class.GetTier(),
		Service:      r.pool.key.kind == kindService,
		Target:       r.Target,
		Repeatable:   r.Class.GetRepeatable(),
		PromptTokens: r.PromptTokens,
		OutputTokens: r.estimatedOutput,
		RemainingMs:  milliseconds(s.remainingTime(r)),
		Urgency:      s.urgency(r),
		CachedTokens: s.cachedTokens(r, to),
		MayBeLate:    r.mayBeLate,
		Preemptible:  r.Class.GetRepeatable() && r.Class.GetPreempt() != preemptNever,
		WaitedMs:     milliseconds(s.now.Sub(r.Arrived)),
		Precedence:   r.gatePrecedence(),
		Watched:      s.isWatched(r),
		Overdue:      r.Overdue || r.late,
		PauseMs:      milliseconds(r.Pause),
		AbandonMs:    milliseconds(r.Abandon),

		SuspendTargets: s.suspendTargets(r, to),
	}
	if !r.Objective.IsZero() {
		w.ObjectiveMs = milliseconds(r.Objective.Sub(s.now))
	}
	if len(r.Prefix) > 0 {
		w.Prefix = r.Prefix[len(r.Prefix)-1]
	}
	s.describePlacement(w, r, to)
	return w
}

// release removes the current attempt from its request, server and agent.
func (s *Scheduler) release(r *request) {
	a := r.attempt
	r.attempt = nil
	s.inFlight--
	s.trialAdvanced(r)
	r.pool.load.attemptEnded(r.class)
	if rec := r.currentRecord(); rec.provedOver && rec.proof != wire.Proof_PROOF_NEVER_STARTED {
		r.pool.load.addOccupancy(r.class, s.now.Sub(a.sentAt))
	}
	delete(a.agent.attempts, r)
	a.server.attemptOver(a)
	s.updateReadiness(a.server)
}

// currentRecord returns the record of the last attempt. There must be one.
func (r *request) currentRecord() *attemptRecord {
	return &r.attempts[len(r.attempts)-1]
}

// attemptStarted handles the agent's report that it asked the engine to begin an attempt.
func (s *Scheduler) attemptStarted(a *agent, m *wire.Started) {
	r := s.requests[m.GetAttempt().GetRequest()]
	if r == nil || !r.isCurrent(a, m.GetAttempt()) || m.GetServer() != r.attempt.server.name {
		s.countDropped(droppedAttempt)
		return
	}
	if !r.attempt.started {
		r.attempt.started, r.attempt.startedAt = true, s.now
		s.noteReached(r)
	}
	s.acknowledge(r)
}

// acknowledge records that the agent knows the current attempt.
func (s *Scheduler) acknowledge(r *request) {
	a := r.attempt
	if a.acked {
		return
	}
	a.acked = true
	a.server.attemptAcknowledged(a)
	if r.state == awaitingProof && !a.cancelAsked && a.agent.up {
		_ = s.fire(r, evAgentResumed)
	}
	s.setTimer(r)
}

func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), int64(^uint32(0))))
}
