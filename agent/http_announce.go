package agent

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/result"
)

// announceResponse is the body of the response to an announcement.
type announceResponse struct {
	Server    string `json:"server"`
	Condition string `json:"condition"`
}

// postAnnounce serves POST /v1/announce.
func (a *Agent) postAnnounce(c echo.Context) error {
	if a.ready.isStopping() {
		return result.New(result.Stopping, "")
	}
	var in engine.Announcement
	if err := readJSON(c, &in); err != nil {
		return err
	}
	record, err := checkAnnouncement(&in)
	if err != nil {
		return err
	}
	s, err := a.servers.getOrCreateAnnounced(record.GetServer())
	if err != nil {
		return err
	}
	if err := s.announce(c.Request().Context(), record, false); err != nil {
		return err
	}
	return c.JSON(http.StatusOK, announceResponse{
		Server:    s.name,
		Condition: conditionName(s.view.Load().condition),
	})
}
