package engine

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-faster/errors"
)

// Suspend implements [Suspender].
func (h *HTTP) Suspend(ctx context.Context, id AttemptID, targets []string) (Suspension, error) {
	c := call{
		name:   "suspend",
		id:     id,
		method: http.MethodPost,
		path:   streamPath(id, "suspend"),
		body:   mustMarshal(SuspendOrder{Targets: targets}),
		header: http.Header{"Content-Type": {ContentTypeJSON}},
	}
	var answer SuspendAnswer
	if err := h.exchangeJSON(ctx, c, &answer); err != nil {
		return Suspension{}, err
	}
	if answer.Handle == "" {
		return Suspension{}, c.fail(ErrOutcomeUnknown, errors.New("no handle in the response"))
	}
	return answer.suspension(), nil
}

// Discard implements [Suspender].
func (h *HTTP) Discard(ctx context.Context, s Suspension) error {
	c := call{
		name:   "discard",
		method: http.MethodDelete,
		path:   "/v1/suspended/" + url.PathEscape(s.Handle),
	}
	_, err := h.exchange(ctx, c, h.options.MaxAnswerBytes)
	return err
}

// resumeSuspended runs a call that resumes a suspended run.
func (h *HTTP) resumeSuspended(ctx context.Context, c call, request Request, sink Sink) (Outcome, error) {
	c.header.Set(HeaderSuspension, request.Resume.Handle)
	c.header.Set(HeaderResumeFrom, strconv.Itoa(request.ResumeTokens))
	outcome, err := h.runModel(ctx, c, request.ResumeTokens, sink)
	if errors.Is(err, ErrUnknownStream) {
		// The engine checks the handle before it starts anything.
		err = c.fail(ErrNeverSent, err)
	}
	return outcome, err
}

func (a SuspendAnswer) suspension() Suspension {
	return Suspension(a)
}
