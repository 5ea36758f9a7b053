package entry

import (
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/process"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
)

// requestList is the answer of GET /v1/requests.
type requestList struct {
	Entry    string              `json:"entry"`
	Requests []sched.Explanation `json:"requests"`
}

// reader is who asks about requests: an organisation, about its own, or an operator, about all.
type reader struct {
	organisation string
	isOperator   bool
}

func (r reader) sees(organisation string) bool {
	return r.isOperator || r.organisation == organisation
}

// authenticateReader returns whose key was sent. A key that is also an organisation's is that organisation's only: by a
// mistake in the settings it must not show the work of its rivals.
func (e *Entry) authenticateReader(c echo.Context) (reader, *result.Error) {
	organisation, err := e.authenticate(c)
	if err == nil {
		return reader{organisation: organisation}, nil
	}
	key, ok := process.BearerKey(c.Request())
	if !ok {
		return reader{}, err
	}
	operator, ok := e.operators.Find(key)
	if !ok {
		return reader{}, err
	}
	e.log.WithField("operator", operator).WithField("path", c.Request().URL.Path).Info("requests_read")
	return reader{isOperator: true}, nil
}

// getRequests serves GET /v1/requests: where the requests at this entry that the reader may see stand, the oldest first.
func (e *Entry) getRequests(c echo.Context) error {
	who, err := e.authenticateReader(c)
	if err != nil {
		return e.refuse(c, nil, err)
	}
	list := requestList{Entry: e.settings.Instance, Requests: []sched.Explanation{}}
	live := e.calls.list(who)
	askErr := e.ask(c.Request().Context(), func(s *sched.Scheduler) {
		for _, r := range live {
			if explanation, ok := s.Explain(r.ID); ok {
				list.Requests = append(list.Requests, explanation)
			}
		}
	})
	if askErr != nil {
		return e.refuse(c, nil, result.From(askErr))
	}
	slices.SortFunc(list.Requests, func(a, b sched.Explanation) int {
		if order := a.Arrived.Compare(b.Arrived); order != 0 {
			return order
		}
		return strings.Compare(a.Request, b.Request)
	})
	return c.JSON(http.StatusOK, list)
}

// getRequest serves GET /v1/requests/{id}: where a request stands and how it came there. Another organisation's is as
// unknown as none: that it exists is nobody else's business.
func (e *Entry) getRequest(c echo.Context) error {
	who, err := e.authenticateReader(c)
	if err != nil {
		return e.refuse(c, nil, err)
	}
	var explanation sched.Explanation
	var known bool
	askErr := e.ask(c.Request().Context(), func(s *sched.Scheduler) {
		explanation, known = s.Explain(c.Param("id"))
	})
	switch {
	case askErr != nil:
		return e.refuse(c, nil, result.From(askErr))
	case !known || !who.sees(explanation.Organisation):
		return e.refuse(c, nil, result.New(result.NotFound, "no such request at this entry"))
	}
	return c.JSON(http.StatusOK, explanation)
}
