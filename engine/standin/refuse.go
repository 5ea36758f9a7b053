package standin

import (
	"net/http"
	"net/url"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
)

// abort closes the connection without a complete response. net/http provides this panic value
// for that purpose and does not log it.
func abort() error { panic(http.ErrAbortHandler) }

// refusals are the responses to errors which mean that nothing was started.
var refusals = []struct {
	err    error
	status int
	kind   string
}{
	{errDuplicate, http.StatusConflict, engine.TypeDuplicate},
	{errUnknownStream, http.StatusNotFound, engine.TypeUnknownStream},
	{errSuspending, http.StatusConflict, engine.TypeSuspending},
	{errNoRoom, http.StatusServiceUnavailable, engine.TypeNoRoom},
	{errNotReady, http.StatusServiceUnavailable, engine.TypeNotReady},
	{errTooLong, http.StatusBadRequest, engine.TypeInvalid},
	{errInvalid, http.StatusBadRequest, engine.TypeInvalid},
}

// refuse responds that nothing was started, with the reason.
func refuse(c echo.Context, cause error) error {
	for _, refusal := range refusals {
		if errors.Is(cause, refusal.err) {
			return c.JSON(refusal.status, engine.ErrorBody{Error: &engine.ErrorDetail{
				Type:    refusal.kind,
				Message: cause.Error(),
				Started: new(bool),
			}})
		}
	}
	return cause
}

// refusesRuns reports whether the switch RefuseFor is set. If so, it sets the backoff header of
// the response.
func (s *Server) refusesRuns(c echo.Context) bool {
	refuseFor := s.faults.get().RefuseFor
	if refuseFor == "" {
		return false
	}
	c.Response().Header().Set(engine.HeaderBackoff, refuseFor)
	return true
}

// respondInternalError responds with a status 500, which does not tell whether the request ran.
func respondInternalError(c echo.Context) error {
	return c.JSON(http.StatusInternalServerError, engine.ErrorBody{Error: internalError()})
}

func internalError() *engine.ErrorDetail {
	return &engine.ErrorDetail{
		Type:    engine.TypeInternal,
		Message: "the engine failed",
	}
}

// pathID returns the attempt ID in a path, which may contain any character.
func pathID(c echo.Context) engine.AttemptID {
	id := c.Param("id")
	if c.Request().URL.RawPath == "" {
		return engine.AttemptID(id)
	}
	if unescaped, err := url.PathUnescape(id); err == nil {
		id = unescaped
	}
	return engine.AttemptID(id)
}
