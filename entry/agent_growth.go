package entry

import (
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// growthSettleTime is how long the directory must list no new agent before the subset is chosen anew.
	growthSettleTime = 300 * time.Millisecond
	// maxGrowthWait bounds the wait while agents register all the time.
	maxGrowthWait = 2 * time.Second
)

// agentGrowth delays the choice of a subset of agents while the directory grows.
//
// Each new agent belongs into the subset of some entries, in place of another one. If an entry followed each step of a
// deployment's start, it would link to four times as many agents as it keeps, which entries on slow machines don't bear.
type agentGrowth struct {
	known        map[string]bool
	firstAt      time.Time // of the growth that is not settled, zero for none
	lastAt       time.Time
	settledNames map[string]bool // agents that were listed when the subset was last chosen
}

// settled returns the agents among which to choose: all of them, or while the directory grows those that were listed
// before. It also returns after which time to choose again, 0 for never.
func (g *agentGrowth) settled(agents []*wire.AgentRecord, now time.Time) (among []*wire.AgentRecord, again time.Duration) {
	g.observe(agents, now)
	if again = g.wait(now); again <= 0 {
		g.firstAt = time.Time{}
		g.settledNames = g.known
		return agents, 0
	}
	for _, agent := range agents {
		if g.settledNames[agent.GetAgent()] {
			among = append(among, agent)
		}
	}
	return among, again
}

// observe records the listed agents, and whether there are new ones.
func (g *agentGrowth) observe(agents []*wire.AgentRecord, now time.Time) {
	listed := make(map[string]bool, len(agents))
	hasNew := false
	for _, agent := range agents {
		name := agent.GetAgent()
		listed[name] = true
		hasNew = hasNew || !g.known[name]
	}
	g.known = listed
	if !hasNew {
		return
	}
	g.lastAt = now
	if g.firstAt.IsZero() {
		g.firstAt = now
	}
}

// wait returns the time until the growth is settled. An entry that has chosen among fewer agents than it links to doesn't
// wait: it would be without links after a restart, when it receives the whole directory at once.
func (g *agentGrowth) wait(now time.Time) time.Duration {
	if g.firstAt.IsZero() || len(g.settledNames) < linksPerTarget {
		return 0
	}
	return min(g.lastAt.Add(growthSettleTime).Sub(now), g.firstAt.Add(maxGrowthWait).Sub(now))
}
