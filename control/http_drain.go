package control

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/wire"
)

// drainJSON is the answer of POST /v1/servers/{name}/drain.
type drainJSON struct {
	Server    string `json:"server"`
	Condition string `json:"condition"`
}

// drainServer serves POST /v1/servers/{name}/drain. The call is idempotent, so Change-Id is optional.
func (c *Control) drainServer(call echo.Context) error {
	server := call.Param("name")
	change := &wire.OperatorChange{Operator: operatorOf(call), ChangeId: call.Request().Header.Get(headerChangeID)}
	cmd := &wire.DrainServer{Server: server}
	digest, err := requestDigest(call, 0, cmd)
	if err != nil {
		return err
	}
	change.Digest = digest
	cmd.Change = change
	if _, err := c.commitOperatorChange(call, &wire.Command{Kind: &wire.Command_DrainServer{DrainServer: cmd}}); err != nil {
		return err
	}
	return call.JSON(http.StatusOK, drainJSON{
		Server:    server,
		Condition: conditionName(wire.ServerCondition_SERVER_CONDITION_DRAINING),
	})
}
