package entry

import (
	"maps"
	"slices"

	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// catalogue is what callers may request according to one view. It is immutable.
type catalogue struct {
	version  uint64
	classes  map[string]*wire.Class
	models   map[string]bool
	services map[string]bool
	routing  *routing // nil before the first desired state
}

func newCatalogue(view *session.View) *catalogue {
	c := &catalogue{
		version:  view.ConfigVersion,
		classes:  view.Classes,
		models:   make(map[string]bool),
		services: make(map[string]bool),
	}
	for _, agent := range view.Agents {
		for _, server := range agent.GetServers() {
			c.addServer(server)
		}
	}
	return c
}

func (c *catalogue) addServer(server *wire.ServerRecord) {
	offered := c.models
	if server.GetKind() == settings.KindService {
		offered = c.services
	}
	for _, name := range server.GetModels() {
		offered[name] = true
	}
}

// missingKind returns a kind that a class is for and no backend server has, or "".
func (c *catalogue) missingKind() string {
	for _, class := range c.classes {
		offered := c.models
		if class.GetKind() == settings.KindService {
			offered = c.services
		}
		if len(offered) == 0 {
			return class.GetKind()
		}
	}
	return ""
}

func (c *catalogue) sortedModels() []string {
	return slices.Sorted(maps.Keys(c.models))
}
