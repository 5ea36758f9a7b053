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

// requestList is the response of GET /v1/requests.
type requestList struct {
	Entry    string              `json:"entry"`
	Requests []sched.Explanation `json:"requests"`
	// Memory is what the entry holds for callers, for operators only; nil if it is not counted.
	Memory *memoryStatus `json:"memory,omitempty"`
}

// requestViewer identifies who asks about requests: an organisation may see its own, an operator all.
type requestViewer struct {
	organisation string
	isOperator   bool
}

func (r requestViewer) maySee(organisation string) bool {
	return r.isOperator || r.organisation == organisation
}

// authenticateViewer returns the viewer whose key was sent. A key that belongs to both an organisation and an operator
// only gives access as the organisation, so that an error in the settings doesn't expose the requests of other
// organisations.
func (e *Entry) authenticateViewer(c echo.Context) (requestViewer, *result.Error) {
	organisation, err := e.authenticate(c)
	if err == nil {
		return requestViewer{organisation: organisation}, nil
	}
	key, ok := process.BearerKey(c.Request())
	if !ok {
		return requestViewer{}, err
	}
	operator, ok := e.operators.Find(key)
	if !ok {
		return requestViewer{}, err
	}
	e.log.WithField("operator", operator).WithField("path", c.Request().URL.Path).Info("requests_read")
	return requestViewer{isOperator: true}, nil
}

// getRequests serves GET /v1/requests: the state of the requests at this entry that the viewer may see, the oldest
// first.
func (e *Entry) getRequests(c echo.Context) error {
	viewer, err := e.authenticateViewer(c)
	if err != nil {
		return e.refuse(c, nil, err)
	}
	list := requestList{Entry: e.settings.Instance, Requests: []sched.Explanation{}}
	if viewer.isOperator {
		list.Memory = e.memory.status()
	}
	visible := e.calls.visibleTo(viewer)
	queryErr := e.queryScheduler(c.Request().Context(), func(s *sched.Scheduler) {
		for _, r := range visible {
			if explanation, ok := s.Explain(r.ID); ok {
				list.Requests = append(list.Requests, explanation)
			}
		}
	})
	if queryErr != nil {
		return e.refuse(c, nil, result.From(queryErr))
	}
	slices.SortFunc(list.Requests, func(a, b sched.Explanation) int {
		if order := a.Arrived.Compare(b.Arrived); order != 0 {
			return order
		}
		return strings.Compare(a.Request, b.Request)
	})
	return c.JSON(http.StatusOK, list)
}

// getRequest serves GET /v1/requests/{id}: the state and the history of a request. A request of another organisation is
// reported as not found, so that its existence is not disclosed.
func (e *Entry) getRequest(c echo.Context) error {
	viewer, err := e.authenticateViewer(c)
	if err != nil {
		return e.refuse(c, nil, err)
	}
	var explanation sched.Explanation
	var known bool
	queryErr := e.queryScheduler(c.Request().Context(), func(s *sched.Scheduler) {
		explanation, known = s.Explain(c.Param("id"))
	})
	switch {
	case queryErr != nil:
		return e.refuse(c, nil, result.From(queryErr))
	case !known || !viewer.maySee(explanation.Organisation):
		return e.refuse(c, nil, result.New(result.NotFound, "no such request at this entry"))
	}
	return c.JSON(http.StatusOK, explanation)
}
