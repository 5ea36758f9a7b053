package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/inbound"
	"github.com/carawaypitch/carawaypitch/link"
	"github.com/carawaypitch/carawaypitch/process"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// highestTier is the number of the highest-priority tier.
const highestTier = 1

// admit performs the checks common to all calls and returns the request without its target. It reads the whole body,
// which counts towards the limit on body bytes until releaseBody.
func (e *Entry) admit(c echo.Context, organisation, kind string) (*sched.Request, *result.Error) {
	arrived := e.now()
	if err := e.notReady(); err != nil {
		return nil, err
	}
	if err := e.waitForVersion(c.Request().Context()); err != nil {
		return nil, err
	}
	class, err := e.chooseClass(c, organisation, kind)
	if err != nil {
		return nil, err
	}
	key, err := idempotencyKey(c, class)
	if err != nil {
		return nil, err
	}
	deadline, err := chooseDeadline(c, class)
	if err != nil {
		return nil, err
	}
	body, err := e.readBody(c, class)
	if err != nil {
		return nil, err
	}
	return &sched.Request{
		ID:           requestID(c),
		Organisation: organisation,
		Class:        class,
		Method:       http.MethodPost,
		ContentType:  c.Request().Header.Get(echo.HeaderContentType),
		Body:         body,
		BodyDigest:   link.BodyDigest(body),
		Arrived:      arrived,
		Read:         e.now(),
		Deadline:     arrived.Add(deadline),
		Key:          key,
	}, nil
}

// chooseClass returns the class named in the request header, or the organisation's default class.
func (e *Entry) chooseClass(c echo.Context, organisation, kind string) (*wire.Class, *result.Error) {
	name := c.Request().Header.Get(headerClass)
	if name == "" {
		name = e.defaultClasses[organisation]
	}
	if name == "" {
		return nil, result.New(result.UnknownClass, "name a class in %s: the organisation has no default", headerClass)
	}
	class := e.catalogue.Load().classes[name]
	if class == nil {
		return nil, result.New(result.UnknownClass, "no class %q", name)
	}
	if class.GetKind() != kind {
		return nil, result.New(result.ClassKindMismatch, "class %q is for %s calls", name, class.GetKind())
	}
	return class, nil
}

func idempotencyKey(c echo.Context, class *wire.Class) (string, *result.Error) {
	key := c.Request().Header.Get(headerIdempotencyKey)
	switch {
	case key == "" && !class.GetRepeatable():
		return "", result.New(result.KeyRequired, "")
	case len(key) > maxKeyBytes:
		return "", result.New(result.BadHeader, "%s is longer than %d bytes", headerIdempotencyKey, maxKeyBytes)
	case strings.ContainsFunc(key, notPrintable):
		return "", result.New(result.BadHeader, "%s holds other than printable ASCII", headerIdempotencyKey)
	}
	return key, nil
}

func notPrintable(r rune) bool {
	return r < ' ' || r > '~'
}

// chooseDeadline returns the time allowed for the call: the class's deadline, or a shorter one requested by the caller.
func chooseDeadline(c echo.Context, class *wire.Class) (time.Duration, *result.Error) {
	deadline := time.Duration(class.GetDeadlineMs()) * time.Millisecond
	header := c.Request().Header.Get(headerDeadline)
	if header == "" {
		return deadline, nil
	}
	ms, err := strconv.ParseUint(header, 10, 32)
	if err != nil || ms == 0 {
		return 0, result.New(result.BadDeadline, "")
	}
	return min(deadline, time.Duration(ms)*time.Millisecond), nil
}

// bodyRoomTimeout bounds the wait for room for a body.
const bodyRoomTimeout = 2 * time.Second

// readBody reads the whole body. The total size of all bodies held is bounded, with a lower bound for tiers below the
// first.
func (e *Entry) readBody(c echo.Context, class *wire.Class) ([]byte, *result.Error) {
	bound := int64(e.settings.Limits.MaxBody)
	if c.Request().ContentLength > bound {
		return nil, result.New(result.BodyTooLarge, "want at most %d bytes", bound)
	}
	if err := heldCallOf(c.Request().Context()).admitBody(bound); err != nil {
		return nil, err
	}
	reader := http.MaxBytesReader(c.Response(), c.Request().Body, bound)
	body, err := inbound.ReadBody(c.Request().Context(), reader, c.Request().ContentLength, bound, time.Now().Add(bodyRoomTimeout))
	if wasRefusedUnread(c.Request().Context()) {
		return nil, refusalOfBody()
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.New(result.BodyTooLarge, "want at most %d bytes", bound)
	}
	if inbound.IsRefusal(err) {
		stopReading(c.Request().Context())
		return nil, process.RefusalOfBody(err)
	}
	var refused *result.Error
	if errors.As(err, &refused) {
		return nil, refused
	}
	if err != nil {
		return nil, result.Wrap(err, result.MalformedBody, "the body can't be read to its end")
	}
	total := e.bodyBytes.Add(int64(len(body)))
	if float64(total) > float64(e.settings.Limits.MaxQueuedBytes)*tierFraction(class) {
		e.bodyBytes.Add(-int64(len(body)))
		return nil, result.New(result.QueueFull, "the bodies of waiting requests fill their bound").WithRetryAfter(controlRetryAfter)
	}
	return body, nil
}

// refusalOfBody is the refusal of a request whose body a stopping entry has not read to its end.
func refusalOfBody() *result.Error {
	return result.New(result.Stopping, "the body did not come in time").WithRetryAfter(0)
}

// releaseBody subtracts a request's body from the count of body bytes.
func (e *Entry) releaseBody(r *sched.Request) {
	e.bodyBytes.Add(-int64(len(r.Body)))
}

func tierFraction(class *wire.Class) float64 {
	if class.GetTier() <= highestTier {
		return 1
	}
	return lowerTierFraction
}

// submit passes a request to the scheduler. If it returns an error, the scheduler has not received the request.
func (e *Entry) submit(ctx context.Context, r *sched.Request, held *heldCall, stream streamOrigin) (*call, *result.Error) {
	held.assign(r.ID, r.Organisation)
	if end := e.drainDeadline.Load(); end != nil {
		r.EntryStopsBy = *end
	}
	call := newCall(r, int(e.settings.Limits.MaxAnswer), held)
	call.stream = stream
	if !held.follow(call) {
		return nil, e.memory.refusal("the call was ended while its body was read")
	}
	call.body = inbound.Keep(ctx)
	if !e.calls.register(call) {
		call.body.Release()
		return nil, result.New(result.Internal, "the request's identity is in use").WithRan(result.RanUnknown)
	}
	full := float64(e.inputs.Len()) > float64(e.inputs.Cap())*tierFraction(r.Class)
	if full || !e.inputs.TryPush(input{event: sched.Arrive{Request: r}, at: time.Now()}) {
		e.calls.remove(r.ID)
		call.body.Release()
		return nil, result.New(result.RingFull, "").WithRetryAfter(controlRetryAfter)
	}
	e.log.WithField("request", r.ID).
		WithField("organisation", r.Organisation).
		WithField("class", r.Class.GetName()).
		WithField("target", r.Target).
		Debug("request_arrived")
	return call, nil
}

// refusalWithoutRecord corrects the refusal of a keyed call whose operation record was not read. The call may be a
// resend of one that ran, or is running, at another entry, so only refusals for a malformed call keep their "ran"
// value.
//
// Without this, an entry dispatches the request and crashes, the caller resends with the same key to an entry that is
// cut off from control, and is told that the request did not run although it did.
func refusalWithoutRecord(c echo.Context, err *result.Error) *result.Error {
	if c.Request().Header.Get(headerIdempotencyKey) == "" {
		return err
	}
	switch err.Code {
	case result.MalformedBody, result.BodyTooLarge, result.KeyRequired, result.ClassKindMismatch, result.BadHeader, result.BadDeadline:
		return err
	default:
		return err.WithRan(result.RanUnknown)
	}
}

func isModel(class *wire.Class) bool {
	return class.GetKind() == settings.KindModel
}
