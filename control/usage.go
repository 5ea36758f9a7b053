package control

import (
	"time"

	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/state"
)

// capOf is how much an organisation may use in a window by the desired state in force.
func (c *Control) capOf(organisation string, window time.Duration) float64 {
	for _, member := range c.desired().GetOrganisations() {
		if member.GetName() == organisation {
			return float64(member.GetRatePerS())*window.Seconds() + float64(member.GetBurst())
		}
	}
	return 0
}

func (c *Control) entriesListed() map[string]uint64 {
	listed := make(map[string]uint64)
	c.machine.read(func(s *state.State) {
		for _, entry := range s.Entries() {
			listed[entry.GetEntry()] = entry.GetIncarnation()
		}
	})
	return listed
}

func (s *session) usageKey() quota.Incarnation {
	return quota.Incarnation{Instance: s.client.instance, Number: s.hello.GetIncarnation()}
}
