package agent

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
)

// leaveResponse is the state of a graceful leave.
type leaveResponse struct {
	Server string            `json:"server"`
	State  engine.LeaveState `json:"state"`
}

// postLeave serves POST /v1/leave.
func (a *Agent) postLeave(c echo.Context) error {
	var in engine.LeaveRequest
	if err := readJSON(c, &in); err != nil {
		return err
	}
	s, err := a.announcedServer(in.Server)
	if err != nil {
		return err
	}
	if err := s.leave(c.Request().Context(), "server"); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, leaveResponse{Server: s.name, State: engine.LeaveDraining})
}

// getLeave serves GET /v1/leave/{server}.
func (a *Agent) getLeave(c echo.Context) error {
	s, err := a.announcedServer(c.Param("server"))
	if err != nil {
		return err
	}
	view := s.view.Load()
	if !view.leaving {
		return result.New(result.NotFound, "the backend server was not asked to leave")
	}
	state := engine.LeaveDraining
	if view.drained {
		state = engine.LeaveDrained
		if err := s.push(c.Request().Context(), drainedStateRead{}); err != nil {
			return err
		}
	}
	return c.JSON(http.StatusOK, leaveResponse{Server: s.name, State: state})
}

// announcedServer returns a server that has announced itself. Errors have the code unknown_server.
func (a *Agent) announcedServer(name string) (*server, error) {
	s := a.servers.get(name)
	if s == nil || !s.view.Load().announced() {
		return nil, result.New(result.UnknownServer, "")
	}
	return s, nil
}
