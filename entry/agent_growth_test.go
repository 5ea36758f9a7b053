package entry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

func listedAgents(n int) []*wire.AgentRecord {
	var agents []*wire.AgentRecord
	for i := range n {
		agents = append(agents, &wire.AgentRecord{
			Agent: fmt.Sprintf("agent-%03d", i), AvailabilityZone: fmt.Sprint("zone-", i%5),
			Servers: []*wire.ServerRecord{{Server: fmt.Sprint("s", i), Kind: "model", Models: []string{"m"}}},
		})
	}
	return agents
}

// Guards against an entry that opens links at each step of a deployment's start. 24 links are kept; with a choice at each
// step 103 were opened by 635 agents that registered one after the other, by each of 361 entries.
func TestEntryOpensFewLinksWhileAgentsRegister(t *testing.T) {
	for _, agents := range []int{150, 300, 600} {
		var growth agentGrowth
		now := time.Unix(1_700_000_000, 0)
		opened := make(map[string]bool)
		choose := func(listed []*wire.AgentRecord) {
			among, _ := growth.settled(listed, now)
			for _, agent := range agentSubset("entry-1", "zone-1", among, nil, linksPerTarget) {
				opened[agent.GetAgent()] = true
			}
		}
		for n := range agents {
			now = now.Add(2 * time.Millisecond)
			choose(listedAgents(n))
		}
		now = now.Add(growthSettleTime)
		choose(listedAgents(agents))
		require.GreaterOrEqual(t, len(opened), linksPerTarget)
		require.LessOrEqual(t, len(opened), 2*linksPerTarget+1, "%d agents", agents)
	}
}

// Guards against an agent that is never used: the wait is bounded while others register all the time, and there is none in
// a small deployment.
func TestNewAgentIsUsedSoon(t *testing.T) {
	var growth agentGrowth
	now := time.Unix(1_700_000_000, 0)
	among, again := growth.settled(listedAgents(linksPerTarget), now)
	require.Len(t, among, linksPerTarget)
	require.Zero(t, again)

	began := now
	for n := linksPerTarget + 1; ; n++ {
		among, again = growth.settled(listedAgents(n), now)
		if again == 0 {
			require.Len(t, among, n)
			break
		}
		require.Len(t, among, linksPerTarget, "those that were listed before stay")
		require.LessOrEqual(t, again, growthSettleTime)
		now = now.Add(min(again, growthSettleTime/2))
	}
	require.LessOrEqual(t, now.Sub(began), maxGrowthWait)
}

// Guards against an entry without links after its restart in a running deployment: it receives the whole directory at once,
// and waited until that had settled.
func TestRestartedEntryLinksAtOnce(t *testing.T) {
	var growth agentGrowth
	now := time.Unix(1_700_000_000, 0)
	_, again := growth.settled(nil, now)
	require.Zero(t, again)
	among, again := growth.settled(listedAgents(600), now.Add(time.Millisecond))
	require.Zero(t, again)
	require.Len(t, among, 600)
}
