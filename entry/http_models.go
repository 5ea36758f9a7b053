package entry

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// modelList is the response of GET /v1/models, in the completion format.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// getModels serves GET /v1/models: the models that servers in the directory offer.
func (e *Entry) getModels(c echo.Context) error {
	if _, err := e.authenticate(c); err != nil {
		return e.refuse(c, nil, err)
	}
	list := modelList{Object: "list", Data: []modelItem{}}
	for _, name := range e.catalogue.Load().sortedModels() {
		list.Data = append(list.Data, modelItem{ID: name, Object: "model", OwnedBy: "carawaypitch"})
	}
	return c.JSON(http.StatusOK, list)
}
