package control

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// classesJSON is the answer of GET /v1/classes.
type classesJSON struct {
	Version uint64      `json:"version"`
	Classes []classJSON `json:"classes"`
}

// getClasses serves GET /v1/classes.
func (c *Control) getClasses(call echo.Context) error {
	if err := c.awaitQuorum(call); err != nil {
		return err
	}
	out := classesJSON{Classes: []classJSON{}}
	c.machine.read(func(s *state.State) {
		out.Version = s.ConfigVersion()
		for _, class := range s.Classes() {
			out.Classes = append(out.Classes, toClassJSON(class))
		}
	})
	setETag(call, out.Version)
	return call.JSON(http.StatusOK, out)
}

// getClass serves GET /v1/classes/{name}.
func (c *Control) getClass(call echo.Context) error {
	if err := c.awaitQuorum(call); err != nil {
		return err
	}
	var class *wire.Class
	c.machine.read(func(s *state.State) { class = s.Class(call.Param("name")) })
	if class == nil {
		return result.New(result.UnknownClass, "")
	}
	setETag(call, class.GetVersion())
	return call.JSON(http.StatusOK, toClassJSON(class))
}

// putClass serves PUT /v1/classes/{name}. If-Match 0 creates a class.
func (c *Control) putClass(call echo.Context) error {
	data, err := readBody(call)
	if err != nil {
		return err
	}
	class, err := decodeClass(call.Param("name"), data)
	if err != nil {
		return err
	}
	change, err := readChange(call, class)
	if err != nil {
		return err
	}
	cmd := &wire.Command{Kind: &wire.Command_PutClass{PutClass: &wire.PutClass{Change: change, Class: class}}}
	res, err := c.commitOperatorChange(call, cmd)
	if err != nil {
		return err
	}
	setETag(call, res.GetClass().GetVersion())
	return call.JSON(http.StatusOK, toClassJSON(res.GetClass()))
}

// deletedJSON is the answer of DELETE /v1/classes/{name}. Version is that of the configuration without the class.
type deletedJSON struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
}

// deleteClass serves DELETE /v1/classes/{name}.
func (c *Control) deleteClass(call echo.Context) error {
	name := call.Param("name")
	for _, organisation := range c.settings.Organisations {
		if organisation.DefaultClass == name {
			return result.New(result.ClassInUse, "it is the default class of %s", organisation.Name)
		}
	}
	change, err := readChange(call, &wire.Class{Name: name})
	if err != nil {
		return err
	}
	cmd := &wire.Command{Kind: &wire.Command_DeleteClass{DeleteClass: &wire.DeleteClass{Change: change, Name: name}}}
	res, err := c.commitOperatorChange(call, cmd)
	if err != nil {
		return err
	}
	setETag(call, res.GetVersion())
	return call.JSON(http.StatusOK, deletedJSON{Name: name, Version: res.GetVersion()})
}

// commitOperatorChange commits an operator's change and logs it. The answer is sent only after the commit, so an
// accepted change cannot be lost.
func (c *Control) commitOperatorChange(call echo.Context, cmd *wire.Command) (*wire.CommandResult, error) {
	res, err := c.commitChange(call.Request().Context(), cmd)
	if err == nil {
		err = resultError(res)
	}
	c.log.WithField("operator", operatorOf(call)).
		WithField("change_id", call.Request().Header.Get(headerChangeID)).
		WithField("path", call.Request().URL.Path).
		WithField("method", call.Request().Method).
		WithField("code", uint16(result.CodeOf(err))).
		WithField("version", res.GetVersion()).
		Info("operator_change")
	return res, err
}
