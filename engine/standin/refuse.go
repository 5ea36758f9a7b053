package standin

import (
	"net/http"
	"net/url"

	"github.com/go-faster/errors"
	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
)

// abort closes the connection without a whole answer. Its panic is net/http's
// own way to do so, and isn't logged.
func abort() error { panic(http.ErrAbortHandler) }

// refusals are the answers to errors that mean: nothing was begun.
var refusals = []struct {
	err    error
	status int
	kind   string
}{
	{errDuplicate, http.StatusConflict, engine.TypeDuplicate},
	{errUnknown, http.StatusNotFound, engine.TypeUnknownStream},
	{errNotReady, http.StatusServiceUnavailable, engine.TypeNotReady},
	{errTooLong, http.StatusBadRequest, engine.TypeInvalid},
	{errInvalid, http.StatusBadRequest, engine.TypeInvalid},
}

// refuse answers that nothing was begun, and why.
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

// turnsAway tells whether the switch RefuseFor is set, and puts its time into the answer.
func (s *Server) turnsAway(c echo.Context) bool {
	refuseFor := s.faults.get().RefuseFor
	if refuseFor == "" {
		return false
	}
	c.Response().Header().Set(engine.HeaderBackoff, refuseFor)
	return true
}

// fail answers with a status 500, which says nothing of whether it ran.
func fail(c echo.Context) error {
	return c.JSON(http.StatusInternalServerError, engine.ErrorBody{Error: internalError()})
}

func internalError() *engine.ErrorDetail {
	return &engine.ErrorDetail{
		Type:    engine.TypeInternal,
		Message: "the engine failed",
	}
}

// pathID gives the identity in a path, which may hold any character.
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
