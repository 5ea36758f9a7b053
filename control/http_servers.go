package control

import (
	"net/http"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// serversJSON is the answer of GET /v1/servers. Version is that of the directory.
type serversJSON struct {
	Version uint64       `json:"version"`
	Servers []serverJSON `json:"servers"`
}

type serverJSON struct {
	Server           string           `json:"server"`
	Kind             string           `json:"kind"`
	Address          string           `json:"address"`
	Models           []string         `json:"models"`
	Slots            uint32           `json:"slots"`
	Version          string           `json:"version,omitempty"`
	Condition        string           `json:"condition"`
	Capabilities     capabilitiesJSON `json:"capabilities"`
	Agent            string           `json:"agent"`
	AvailabilityZone string           `json:"availability_zone"`
	Order            *orderJSON       `json:"order,omitempty"`
}

type capabilitiesJSON struct {
	Fencing      string `json:"fencing"`
	KV           bool   `json:"kv"`
	Resume       bool   `json:"resume"`
	OnDisconnect string `json:"on_disconnect"`
}

// orderJSON is the open order of a server.
type orderJSON struct {
	ID    uint64 `json:"id"`
	Kind  string `json:"order"`
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
}

// getServers serves GET /v1/servers.
func (c *Control) getServers(call echo.Context) error {
	if err := c.awaitQuorum(call); err != nil {
		return err
	}
	out := serversJSON{Servers: []serverJSON{}}
	c.machine.read(func(s *state.State) {
		out.Version = s.DirectoryVersion()
		orders := make(map[string]*wire.Order)
		for _, o := range s.Orders() {
			orders[o.GetServer()] = o
		}
		for _, agent := range s.Agents() {
			for _, server := range agent.GetServers() {
				out.Servers = append(out.Servers, serverOf(agent, server, orders[server.GetServer()]))
			}
		}
	})
	return call.JSON(http.StatusOK, out)
}

func serverOf(agent *wire.AgentRecord, s *wire.ServerRecord, order *wire.Order) serverJSON {
	out := serverJSON{
		Server:           s.GetServer(),
		Kind:             s.GetKind(),
		Address:          s.GetAddress(),
		Models:           append([]string{}, s.GetModels()...),
		Slots:            s.GetSlots(),
		Version:          s.GetVersion(),
		Condition:        conditionName(s.GetCondition()),
		Agent:            agent.GetAgent(),
		AvailabilityZone: agent.GetAvailabilityZone(),
		Capabilities: capabilitiesJSON{
			Fencing:      s.GetCapabilities().GetFencing(),
			KV:           s.GetCapabilities().GetKv(),
			Resume:       s.GetCapabilities().GetResume(),
			OnDisconnect: s.GetCapabilities().GetOnDisconnect(),
		},
	}
	if order != nil {
		out.Order = &orderJSON{ID: order.GetId(), Kind: orderName(order.GetKind()), Model: order.GetModel(), Role: order.GetRole()}
	}
	return out
}

// conditionName returns the outward name of a condition, such as "draining".
func conditionName(c wire.ServerCondition) string {
	return strings.ToLower(strings.TrimPrefix(c.String(), "SERVER_CONDITION_"))
}

// orderName returns the outward name of an order's kind, such as "load".
func orderName(k wire.OrderKind) string {
	return strings.ToLower(strings.TrimPrefix(k.String(), "ORDER_KIND_"))
}
