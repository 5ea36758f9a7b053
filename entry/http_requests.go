package entry

import (
	"net/http"
	"slices"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
)

// requestList is the answer of GET /v1/requests.
type requestList struct {
	Entry    string              `json:"entry"`
	Requests []sched.Explanation `json:"requests"`
}

// getRequests serves GET /v1/requests: where the organisation's requests at this entry stand, the oldest first.
func (e *Entry) getRequests(c echo.Context) error {
	organisation, err := e.authenticate(c)
	if err != nil {
		return e.refuse(c, nil, err)
	}
	list := requestList{Entry: e.settings.Instance, Requests: []sched.Explanation{}}
	live := e.calls.list(organisation)
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
	organisation, err := e.authenticate(c)
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
	case !known || explanation.Organisation != organisation:
		return e.refuse(c, nil, result.New(result.NotFound, "no such request at this entry"))
	}
	return c.JSON(http.StatusOK, explanation)
}
