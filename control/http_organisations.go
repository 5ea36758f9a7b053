package control

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// organisationsJSON is the answer of GET /v1/organisations. It contains no keys and no digests.
type organisationsJSON struct {
	Organisations []organisationJSON `json:"organisations"`
}

type organisationJSON struct {
	Name         string `json:"name"`
	DefaultClass string `json:"default_class"`
}

// getOrganisations serves GET /v1/organisations, from this instance's settings.
func (c *Control) getOrganisations(call echo.Context) error {
	out := organisationsJSON{Organisations: []organisationJSON{}}
	for _, o := range c.settings.Organisations {
		out.Organisations = append(out.Organisations, organisationJSON{Name: o.Name, DefaultClass: o.DefaultClass})
	}
	return call.JSON(http.StatusOK, out)
}
