package entry

import (
	"context"
	"strconv"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Call is a request that goes to its backend server byte for byte as its caller wrote it, where the desired state
// routes it.
type Call struct {
	// ID names the request in logs. Callers may use one twice.
	ID string
	// Method, Host and Target are those of the request line and the Host header; Target holds path and query.
	Method, Host, Target string
	// Path is the path alone, still escaped, by which the route is found.
	Path string
	// Key is the organisation's key, empty for none.
	Key string
	// Headers are passed on with the request.
	Headers []*wire.Header
	// Body is the whole body.
	Body []byte
	// Arrived is when the request's head had come.
	Arrived time.Time
	// Timeout is how long the caller waits, 0 if it doesn't say.
	Timeout time.Duration
	// PromptTokens and OutputTokens are the size that the caller declares; HasTokens tells whether it does.
	PromptTokens, OutputTokens uint32
	HasTokens                  bool
	// OutputEstimate is how many output tokens the caller expects, 0 if it doesn't say.
	OutputEstimate uint32
}

// AnswerWriter takes an answer as it comes. An error means that the caller can't be reached any more.
type AnswerWriter interface {
	// WriteHead comes first, once.
	WriteHead(head *wire.AnswerHead) error
	// WriteBody takes the next bytes of the body, which must go out at once.
	WriteBody(data []byte) error
}

// Admission is a call whose route and organisation are known, before its body is read.
type Admission struct {
	// Limits are in force for the caller.
	Limits *wire.CallerLimits

	route  *route
	member *member
}

// Admit finds the route and the organisation of a call. Errors have code result.UnknownRoute, MissingKey or WrongKey, or
// say why the entry admits nothing now.
func (e *Entry) Admit(ctx context.Context, call *Call) (*Admission, *result.Error) {
	if err := e.waitForStart(ctx, call); err != nil {
		return nil, e.refuseCall(call, nil, err)
	}
	if err := e.waitForVersion(ctx); err != nil {
		return nil, e.refuseCall(call, nil, err)
	}
	table := e.view.Load().routing
	if table == nil {
		return nil, e.refuseCall(call, nil, result.New(result.Starting, "no desired state is in force yet"))
	}
	found := table.find(call.Host, call.Path)
	if found == nil {
		return nil, e.refuseCall(call, nil, result.New(result.UnknownRoute, ""))
	}
	admission := &Admission{Limits: table.limits, route: found}
	if !table.keyed {
		return admission, nil
	}
	admission.member = table.members[call.Key]
	switch {
	case admission.member != nil || found.GetPublic():
		return admission, nil
	case call.Key == "":
		return nil, e.refuseCall(call, admission, result.New(result.MissingKey, ""))
	default:
		return nil, e.refuseCall(call, admission, result.New(result.WrongKey, ""))
	}
}

// startWaitShare is the part of a caller's time, one in so many, that it is held at most while the process starts. The
// rest is left for another entry.
const startWaitShare = 4

// waitForStart holds a call while the process starts, and returns why it may not be admitted after that.
func (e *Entry) waitForStart(ctx context.Context, call *Call) *result.Error {
	err := e.notReady()
	if err == nil || err.Code != result.Starting {
		return err
	}
	wait := e.settings.Timing.StartWait
	if call.Timeout > 0 {
		wait = min(wait, call.Timeout/startWaitShare)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for err != nil && err.Code == result.Starting && pause.For(ctx, startPoll) {
		err = e.notReady()
	}
	return err
}

// Exchange serves an admitted call and passes the answer to w. A nil error means that w has the whole answer, or that
// the caller left; any other says what became of the request. If w had the answer's head by then, the answer is cut.
func (e *Entry) Exchange(ctx context.Context, admission *Admission, call *Call, w AnswerWriter) *result.Error {
	e.active.Add(1)
	defer e.active.Add(-1)
	spent, err := e.spend(ctx, admission, call)
	if err != nil {
		return e.refuseCall(call, admission, err)
	}
	err = e.schedule(ctx, admission, call, w)
	if err != nil && err.Ran == result.RanNo {
		spent.Refund()
	}
	return err
}

// schedule has the scheduler serve a call.
func (e *Entry) schedule(ctx context.Context, admission *Admission, call *Call, w AnswerWriter) *result.Error {
	r := e.verbatimRequest(admission, call)
	if err := e.holdBody(r); err != nil {
		return e.refuseCall(call, admission, err)
	}
	defer e.release(r)
	waiting, err := e.arrive(r)
	if err != nil {
		return e.refuseCall(call, admission, err)
	}
	out := e.relay(ctx, waiting, w)
	if out == nil {
		e.callerLeft(r)
		return nil
	}
	e.logEnd(r, out)
	return out.err
}

// refuseCall counts and logs a refusal of the entry itself.
func (e *Entry) refuseCall(call *Call, admission *Admission, err *result.Error) *result.Error {
	var tier uint32
	route, organisation := "", ""
	if admission != nil {
		organisation = admission.member.GetName()
		tier = admission.route.class(admission.member).GetTier()
		route = admission.route.GetName()
	}
	e.meter.refused(err.Code, tier)
	e.log.WithField("request", call.ID).
		WithField("organisation", organisation).
		WithField("route", route).
		WithField("host", call.Host).
		WithField("path", call.Path).
		WithField("desired", e.view.Load().routing.versionOrZero()).
		WithField("config", e.view.Load().version).
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

// spend takes a call from its organisation's usage cap.
func (e *Entry) spend(ctx context.Context, admission *Admission, call *Call) (quota.Grant, *result.Error) {
	m := admission.member
	if m == nil || m.cap == nil {
		return quota.Grant{}, nil
	}
	class := admission.route.class(m)
	from := quota.Class{Name: class.GetName(), Precedence: class.GetPrecedence()}
	m.cap.RecordDemand(m.units(call), from)
	spent, wait, ok := takeFromCap(ctx, m.cap, m.units(call), from)
	if ok {
		return spent, nil
	}
	return quota.Grant{}, result.New(result.OverUsageCap, "%s", m.cap).WithRetryAfter(wait)
}

// takeFromCap takes units from a cap. Where a larger share could let the request in, it is held until the share has changed,
// for quota.MaxShareWait at most: a refusal within the cap is the worse mistake.
func takeFromCap(ctx context.Context, u *quota.Cap, units uint64, class quota.Class) (g quota.Grant, wait time.Duration, ok bool) {
	if g, wait, ok = u.Take(units, class); ok {
		return g, 0, true
	}
	ctx, cancel := context.WithTimeout(ctx, quota.MaxShareWait)
	defer cancel()
	for !ok && ctx.Err() == nil {
		changed, helps := u.AwaitShare(units)
		if helps {
			select {
			case <-changed:
			case <-ctx.Done():
			}
		}
		// The share may have changed since the last try, also where a larger one wouldn't help any more.
		g, wait, ok = u.Take(units, class)
		if !helps {
			break
		}
	}
	return g, wait, ok
}

// units is what a call takes from its organisation's cap.
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
	pool := route.pool()
	class := route.class(admission.member)
	if kind := route.kindOf(pool); kind != class.GetKind() {
		class = proto.CloneOf(class)
		class.Kind = kind
	}
	timeout := time.Duration(class.GetDeadlineMs()) * time.Millisecond
	if call.Timeout > 0 {
		timeout = min(timeout, call.Timeout)
	}
	prompt := call.PromptTokens
	if !call.HasTokens {
		prompt = uint32(len(call.Body))
	}
	return &sched.Request{
		ID:           call.ID + "-" + strconv.FormatUint(e.sequence.Add(1), 36),
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
		Stream:       route.GetPauseMs() > 0,
		Arrived:      call.Arrived,
		Deadline:     call.Arrived.Add(timeout),
		Objective:    route.objective(call.Arrived),
		Overdue:      e.isOverdue(route, class, admission.member.GetName(), call),
		Verbatim:     &sched.Verbatim{Host: call.Host, Headers: call.Headers},
		MaxAttempts:  int(route.GetMaxAttempts()),
	}
}

// isOverdue tells whether the objective of a call has probably passed already, by its caller's first try.
func (e *Entry) isOverdue(route *route, class *wire.Class, organisation string, call *Call) bool {
	used := e.patience.used(class.GetName(), organisation, call.Timeout)
	objective := time.Duration(route.GetObjectiveMs()) * time.Millisecond
	return objective > 0 && used >= objective
}

// GetName returns the organisation's name, empty for a caller without a key.
func (m *member) GetName() string {
	if m == nil {
		return ""
	}
	return m.Member.GetName()
}

// holdBody counts a body against the bound on all bodies.
func (e *Entry) holdBody(r *sched.Request) *result.Error {
	total := e.bodyBytes.Add(int64(len(r.Body)))
	if float64(total) <= float64(e.settings.Limits.MaxQueuedBytes)*tierShare(r.Class) {
		return nil
	}
	e.bodyBytes.Add(-int64(len(r.Body)))
	return result.New(result.QueueFull, "the bodies of waiting requests fill their bound").WithRetryAfter(controlRetryAfter)
}

// relay passes an answer on as it comes. It returns nil if the caller left.
func (e *Entry) relay(ctx context.Context, waiting *call, w AnswerWriter) *outcome {
	out := &outcome{}
	headed := false
	for {
		d, err := waiting.next(ctx)
		if err != nil {
			return nil
		}
		for _, part := range d.events {
			out.size += len(part)
			if headed {
				err = w.WriteBody(part)
			} else {
				headed, err = true, passHead(part, w, out)
			}
			if err != nil {
				return nil
			}
		}
		if d.ended {
			if waiting.overflowed() {
				_ = e.tell(e.base, sched.CallerLeft{Request: waiting.request.ID})
			}
			out.err, out.fate, out.trace = d.err, d.fate, d.trace
			return out
		}
	}
}

// passHead passes on the head of a verbatim answer, which is its first event.
func passHead(part []byte, w AnswerWriter, out *outcome) error {
	head := new(wire.AnswerHead)
	if err := proto.Unmarshal(part, head); err != nil {
		return err
	}
	out.status = int(head.GetStatus())
	return w.WriteHead(head)
}
