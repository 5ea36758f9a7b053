package entry

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/engine/framing"
	"github.com/carawaypitch/carawaypitch/holding"
	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Call is a request that is forwarded to its backend server byte for byte, according to the routes of the desired
// state.
type Call struct {
	// ID names the request in logs. It need not be unique.
	ID string
	// Method, Host and Target are those of the request line and the Host header; Target contains path and query.
	Method, Host, Target string
	// Path is the escaped path without the query, by which the route is found.
	Path string
	// Key is the organisation's key, empty if none was sent.
	Key string
	// Headers are forwarded with the request.
	Headers []*wire.Header
	// Body is the complete body. AnnouncedBody is its length as the header gives it, negative if it doesn't.
	Body          []byte
	AnnouncedBody int64
	// Arrived is when the request's header was received.
	Arrived time.Time
	// Timeout is how long the caller waits, 0 if unknown.
	Timeout time.Duration
	// PromptTokens and OutputTokens are the sizes declared by the caller; HasTokens reports whether it declared them.
	PromptTokens, OutputTokens uint32
	HasTokens                  bool
	// Parts are the parts of the prompt in order, the last of which belongs to this call alone; nil if unknown.
	Parts []sched.Part
	// OutputEstimate is the number of output tokens that the caller expects, 0 if unknown.
	OutputEstimate uint32
	// LastEvent is the ID of the last event that the caller has of a stream that it resumes, empty for a new call.
	// Resumes is the ID of the attempt that brought the first event, empty if the caller doesn't name it.
	LastEvent, Resumes string
	// Protocol is that of the caller, such as HTTP/1.0, for logs.
	Protocol string

	read time.Time // when the body had been read
}

// AnswerWriter receives an answer as it arrives. An error means that the caller is unreachable.
type AnswerWriter interface {
	// WriteHead is called once, before any WriteBody. It returns how the answer shows its end to the caller.
	WriteHead(head *wire.AnswerHead) (framing.Framing, error)
	// WriteBody writes the next bytes of the body, which must be sent without buffering.
	WriteBody(data []byte) error
	// Complete is called once after the last bytes of a whole answer. An answer that ends without it was broken off, and
	// must not look complete to its caller.
	Complete()
}

// Admission is an admitted call, with its route and organisation, before its body is read.
type Admission struct {
	// Limits are the limits in force for the caller.
	Limits *wire.CallerLimits

	route  *route
	member *member
}

// Admit finds the route and the organisation of a call. Errors have code result.UnknownRoute, MissingKey or WrongKey,
// or tell why the entry currently admits no requests.
func (e *Entry) Admit(ctx context.Context, call *Call) (*Admission, *result.Error) {
	if err := e.waitForStart(ctx, call); err != nil {
		return nil, e.refuseCall(call, nil, err)
	}
	if err := e.waitForVersion(ctx); err != nil {
		return nil, e.refuseCall(call, nil, err)
	}
	table := e.catalogue.Load().routing
	if table == nil {
		return nil, e.refuseCall(call, nil, result.New(result.Starting, "no desired state is in force yet"))
	}
	found := table.find(call.Host, call.Path)
	if found == nil {
		return nil, e.refuseCall(call, nil, result.New(result.UnknownRoute, ""))
	}
	admission := &Admission{Limits: table.limits, route: found}
	if !table.requiresKey {
		return e.admitHeld(ctx, admission, call)
	}
	admission.member = table.members[call.Key]
	switch {
	case admission.member != nil || found.GetPublic():
		return e.admitHeld(ctx, admission, call)
	case call.Key == "":
		return nil, e.refuseCall(call, admission, result.New(result.MissingKey, ""))
	default:
		return nil, e.refuseCall(call, admission, result.New(result.WrongKey, ""))
	}
}

// admitHeld reserves room for the body of an admitted call. It refuses the call if there is none, or if its organisation
// holds more than its share already.
func (e *Entry) admitHeld(ctx context.Context, admission *Admission, call *Call) (*Admission, *result.Error) {
	organisation := admission.member.GetName()
	held := heldCallOf(ctx)
	held.assign(call.ID, organisation)
	err := e.memory.admitsNew(organisation)
	if err == nil {
		err = held.admitBody(int64(admission.Limits.GetBodyBytes()))
	}
	if err != nil {
		return nil, e.refuseCall(call, admission, err)
	}
	return admission, nil
}

// RefuseBody counts and logs the refusal of an admitted call whose body could not be read, and returns it: err, unless the
// entry itself ended the reading. The rest of the body is read for a short time only, once the refusal is written.
func (e *Entry) RefuseBody(ctx context.Context, admission *Admission, call *Call, err *result.Error) *result.Error {
	switch {
	case wasRefusedUnread(ctx):
		err = refusalOfBody()
	case err.Code == result.DeadlinePassedInQueue, err.Code == result.OverMemoryShare:
		stopReading(ctx)
	}
	e.log.WithField("request", call.ID).
		WithField("body_bytes", bodyRead(ctx)).
		WithField("announced", call.AnnouncedBody).
		WithField("ms", e.now().Sub(call.Arrived).Milliseconds()).
		Info("request_body_unread")
	return e.refuseCall(call, admission, err)
}

// startWaitDivisor bounds the wait for the process to start to 1/startWaitDivisor of the caller's timeout. The rest is
// left for a retry at another entry.
const startWaitDivisor = 4

// waitForStart delays a call while the process starts. It returns nil if the call may be admitted, otherwise the reason
// that it may not.
func (e *Entry) waitForStart(ctx context.Context, call *Call) *result.Error {
	err := e.notReady()
	if err == nil || err.Code != result.Starting {
		return err
	}
	wait := e.settings.Timing.StartWait
	if call.Timeout > 0 {
		wait = min(wait, call.Timeout/startWaitDivisor)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for err != nil && err.Code == result.Starting && pause.For(ctx, startPollInterval) {
		err = e.notReady()
	}
	return err
}

// Exchange serves an admitted call and writes the answer to w, which is told by Complete if it received the whole answer.
// It returns nil then, and if the caller disconnected; otherwise the error describes the outcome of the request.
func (e *Entry) Exchange(ctx context.Context, admission *Admission, call *Call, w AnswerWriter) *result.Error {
	e.active.Add(1)
	defer e.active.Add(-1)
	call.read = e.now()
	if wasRefusedUnread(ctx) {
		return e.refuseCall(call, admission, refusalOfBody())
	}
	grant, err := e.chargeCap(ctx, admission, call)
	if err != nil {
		return e.refuseCall(call, admission, err)
	}
	err = e.schedule(ctx, admission, call, w)
	if err != nil && err.Ran == result.RanNo {
		grant.Refund()
	}
	return err
}

// schedule passes a call to the scheduler and relays its answer.
func (e *Entry) schedule(ctx context.Context, admission *Admission, call *Call, w AnswerWriter) *result.Error {
	r := e.verbatimRequest(admission, call)
	stream, err := e.bindResumption(ctx, admission, call, r)
	if err != nil {
		return e.refuseCall(call, admission, err)
	}
	if r.IsResumable() && !stream.inferred {
		r.StreamKey = stream.key
	}
	if err := e.reserveBody(r); err != nil {
		return e.refuseCall(call, admission, err)
	}
	defer e.releaseBody(r)
	held, err := e.heldBody(ctx, r)
	if err != nil {
		return e.refuseCall(call, admission, err)
	}
	if held != heldCallOf(ctx) {
		defer held.close()
	}
	accepted, err := e.submit(ctx, r, held, stream)
	if err != nil {
		return e.refuseCall(call, admission, err)
	}
	accepted.written.protocol = call.Protocol
	out := e.relay(ctx, accepted, w)
	if out == nil || out.err != nil {
		e.origins.endedEarly(accepted)
	}
	if out == nil {
		e.callerLeft(accepted)
		return accepted.cutError()
	}
	e.logEnd(r, out, &accepted.written)
	return out.err
}

// heldBody returns the account of a call with its body, an own one if the call didn't come over a connection of this entry.
func (e *Entry) heldBody(ctx context.Context, r *sched.Request) (*heldCall, *result.Error) {
	if held := heldCallOf(ctx); held != nil || e.memory == nil {
		return held, nil
	}
	held := e.memory.open(r.ID, r.Organisation, nil)
	if !held.admit(holding.Body, int64(len(r.Body))) {
		held.close()
		return nil, e.memory.refusal("a body of %d bytes doesn't fit", len(r.Body))
	}
	return held, nil
}

// refuseCall counts and logs a refusal by the entry itself.
func (e *Entry) refuseCall(call *Call, admission *Admission, err *result.Error) *result.Error {
	var tier uint32
	route, organisation := "", ""
	if admission != nil {
		organisation = admission.member.GetName()
		tier = admission.route.class(admission.member).GetTier()
		route = admission.route.GetName()
	}
	e.meter.countRefusal(err.Code, tier)
	e.log.WithField("request", call.ID).
		WithField("organisation", organisation).
		WithField("route", route).
		WithField("host", call.Host).
		WithField("path", call.Path).
		WithField("desired", e.catalogue.Load().routing.versionOrZero()).
		WithField("config", e.catalogue.Load().version).
		WithField("code", uint16(err.Code)).
		WithField("ran", err.Ran.String()).
		WithError(err).
		Info("request_refused")
	return err
}

func (r *routing) versionOrZero() uint64 {
	if r == nil {
		return 0
	}
	return r.version
}

// chargeCap charges a call to its organisation's usage cap.
func (e *Entry) chargeCap(ctx context.Context, admission *Admission, call *Call) (quota.Grant, *result.Error) {
	m := admission.member
	if m == nil || m.cap == nil {
		return quota.Grant{}, nil
	}
	class := admission.route.class(m)
	capClass := quota.Class{Name: class.GetName(), Precedence: class.GetPrecedence()}
	m.cap.RecordDemand(m.units(call), capClass)
	ctx, cancel := context.WithDeadline(ctx, e.shareWaitEnd(admission.route, call))
	defer cancel()
	grant, refusal := takeFromCap(ctx, m.cap, m.units(call), capClass)
	switch {
	case refusal == nil:
		return grant, nil
	case refusal.isUnanswered:
		return quota.Grant{}, result.New(result.ControlUnavailable, "control has not answered a proposal for a larger share: %s", m.cap).
			WithRan(result.RanNo).WithRetryAfter(controlRetryAfter)
	default:
		return quota.Grant{}, result.New(result.OverUsageCap, "%s", m.cap).WithRetryAfter(refusal.wait)
	}
}

// shareWaitShare is the part of its objective for which a call is held while control has not answered a proposal for a
// larger share. The rest suffices for the first answer of a server that is not busy.
const shareWaitShare = 0.75

// shareWaitEnd returns until when a call is held for a larger share. Control answers within quota.MaxShareWait, except
// during an election. A call that is refused then comes back later than the next leader would have answered.
func (e *Entry) shareWaitEnd(route *route, call *Call) time.Time {
	end := e.now().Add(quota.MaxShareWait)
	objective := time.Duration(route.GetObjectiveMs()) * time.Millisecond
	held := call.Arrived.Add(time.Duration(shareWaitShare * float64(objective)))
	if held.After(end) {
		return held
	}
	return end
}

// capRefusal is why units were not taken from a cap.
type capRefusal struct {
	wait         time.Duration // after which the units could be admitted
	isUnanswered bool          // a larger share could admit the request, and control has not answered whether it is free
}

// takeFromCap takes units from a cap. If a larger share could admit the request, it waits until the share has changed,
// or until ctx ends, since refusing a request within the cap is worse than delaying it.
func takeFromCap(ctx context.Context, usageCap *quota.Cap, units uint64, class quota.Class) (quota.Grant, *capRefusal) {
	for {
		g, refusal := takeOnce(usageCap, units, class)
		if refusal == nil {
			return g, nil
		}
		changed, largerShareHelps := usageCap.AwaitShare(units)
		if !largerShareHelps {
			return takeOnce(usageCap, units, class)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			g, refusal := takeOnce(usageCap, units, class)
			if refusal != nil {
				refusal.isUnanswered = true
			}
			return g, refusal
		}
	}
}

// takeOnce takes units without waiting. The share may have changed since an earlier Take, even if a larger one would no
// longer help.
func takeOnce(usageCap *quota.Cap, units uint64, class quota.Class) (quota.Grant, *capRefusal) {
	g, wait, ok := usageCap.Take(units, class)
	if !ok {
		return quota.Grant{}, &capRefusal{wait: wait}
	}
	return g, nil
}

// units returns how many units a call takes from its organisation's cap.
func (m *member) units(call *Call) uint64 {
	switch {
	case !m.GetCountsTokens():
		return 1
	case call.HasTokens:
		return uint64(call.PromptTokens) + uint64(call.OutputTokens)
	default:
		return m.GetDefaultTokens()
	}
}

func (e *Entry) verbatimRequest(admission *Admission, call *Call) *sched.Request {
	route := admission.route
	pool := route.pickPool()
	class := route.class(admission.member)
	if kind := route.kindOf(pool); kind != class.GetKind() {
		class = proto.CloneOf(class)
		class.Kind = kind
	}
	prompt := call.PromptTokens
	if !call.HasTokens {
		prompt = uint32(len(call.Body))
	}
	return &sched.Request{
		ID:           call.ID + "-" + strconv.FormatUint(e.verbatimSequence.Add(1), 36),
		Organisation: admission.member.GetName(),
		Class:        class,
		Target:       pool,
		Method:       call.Method,
		Path:         call.Target,
		Body:         call.Body,
		BodyDigest:   link.BodyDigest(call.Body),
		PromptTokens: prompt,
		MaxTokens:    call.OutputTokens,
		OutputTokens: call.OutputEstimate,
		Parts:        call.Parts,
		Stream:       route.GetPauseMs() > 0,
		Arrived:      call.Arrived,
		Read:         call.read,
		Deadline:     deadline(class, call),
		Objective:    route.objectiveTime(call.Arrived),
		Pause:        time.Duration(route.GetPauseMs()) * time.Millisecond,
		Abandon:      time.Duration(route.GetAbandonMs()) * time.Millisecond,
		Overdue:      e.isOverdue(route, class, admission.member.GetName(), call),
		Verbatim:     &sched.Verbatim{Host: call.Host, Headers: call.Headers, LastEvent: call.LastEvent},
		MaxAttempts:  int(route.GetMaxAttempts()),
	}
}

// deadline returns until when a call may be answered: the shorter of what its class allows and its caller waits.
func deadline(class *wire.Class, call *Call) time.Time {
	timeout := time.Duration(class.GetDeadlineMs()) * time.Millisecond
	if call.Timeout > 0 {
		timeout = min(timeout, call.Timeout)
	}
	return call.Arrived.Add(timeout)
}

// Deadline returns until when an admitted call may be answered. Its body is of no use after that.
func (a *Admission) Deadline(call *Call) time.Time {
	return deadline(a.route.class(a.member), call)
}

// isOverdue reports whether the objective of a call, counted from its caller's first try, has probably passed.
func (e *Entry) isOverdue(route *route, class *wire.Class, organisation string, call *Call) bool {
	elapsed := e.callerTimeouts.elapsedBefore(class.GetName(), organisation, call.Timeout)
	objective := time.Duration(route.GetObjectiveMs()) * time.Millisecond
	return objective > 0 && elapsed >= objective
}

// GetName returns the organisation's name, empty for a caller without a key.
func (m *member) GetName() string {
	if m == nil {
		return ""
	}
	return m.Member.GetName()
}

// reserveBody counts a body towards the limit on body bytes.
func (e *Entry) reserveBody(r *sched.Request) *result.Error {
	total := e.bodyBytes.Add(int64(len(r.Body)))
	if float64(total) <= float64(e.settings.Limits.MaxQueuedBytes)*tierFraction(r.Class) {
		return nil
	}
	e.bodyBytes.Add(-int64(len(r.Body)))
	return result.New(result.QueueFull, "the bodies of waiting requests fill their bound").WithRetryAfter(controlRetryAfter)
}

// relay writes an answer to w as it arrives. It returns nil if the caller disconnected.
func (e *Entry) relay(ctx context.Context, accepted *call, w AnswerWriter) *outcome {
	out := &outcome{}
	headWritten := false
	for {
		d, err := accepted.next(ctx)
		if err != nil {
			return nil
		}
		for i, part := range d.events {
			out.size += len(part)
			if headWritten {
				err = accepted.written.writeBody(w, part, accepted.request.Stream)
			} else {
				headWritten, err = true, e.writeAnswerHead(accepted, part, w, out)
			}
			if err != nil {
				accepted.written.err = err
				return nil
			}
			d.events[i] = nil // a part that was written needs no memory while the next one is
			e.wrote(accepted, len(part))
		}
		if d.ended {
			if accepted.endedHere() {
				_ = e.postEvent(e.runContext, sched.CallerLeft{Request: accepted.request.ID})
			}
			out.err, out.attempts, out.trace = d.err, d.attempts, d.trace
			if out.err == nil && !headWritten {
				out.err = result.New(result.AnswerIncomplete, "the answer has no head").WithRan(result.RanYes)
			}
			if out.err == nil {
				w.Complete()
				accepted.written.complete = true
			}
			return out
		}
	}
}

// writeAnswerHead writes the head of a verbatim answer, which is its first event.
func (e *Entry) writeAnswerHead(accepted *call, part []byte, w AnswerWriter, out *outcome) error {
	r := accepted.request
	head := new(wire.AnswerHead)
	if err := proto.Unmarshal(part, head); err != nil {
		return err
	}
	out.status = int(head.GetStatus())
	if head.GetEndsWithConnection() {
		// Logged at the head: a process that is killed during the answer logs no end.
		e.log.WithField("request", r.ID).WithField("class", r.Class.GetName()).Info("answer_ends_with_connection")
	}
	var err error
	accepted.written.framing, err = w.WriteHead(head)
	return err
}

// writeBody writes a part of an answer's body. A part of a stream is an event, or a comment.
func (w *written) writeBody(to AnswerWriter, part []byte, isStream bool) error {
	if err := to.WriteBody(part); err != nil {
		return err
	}
	w.bytes += len(part)
	if isStream {
		w.sequence.Add(part)
	}
	return nil
}
