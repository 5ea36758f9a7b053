package control_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against a desired state that is sent whole to each agent. Agents are most of the processes, and of a desired
// state they use the pools alone: 635 agents with three links each received 60 kB over each of them with each change.
func TestAgentsReceivePoolsOfDesiredStateOnly(t *testing.T) {
	for _, organisations := range []int{10, 100, 1000} {
		t.Run(fmt.Sprint(organisations, " organisations"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, 3)
				c.startAll()
				defer c.stopAll()
				entry, stopEntry := c.client("entry-1", "10.0.1.1", wire.Role_ROLE_ENTRY, 1)
				defer stopEntry()
				agent, stopAgent := c.client("agent-1", "10.0.1.2", wire.Role_ROLE_AGENT, 1)
				defer stopAgent()
				desired := testDesired(2)
				for i := range organisations {
					name := fmt.Sprint("organisation-", i)
					desired.Organisations = append(desired.Organisations, &wire.Member{Name: name, Keys: []string{name}})
				}
				require.NoError(t, c.leader().control.PutDesired(t.Context(), desired))
				has := func(s *session.Session) func() bool {
					return func() bool { return s.View().Desired.GetVersion() == 2 }
				}
				c.eventually("the entry has the desired state", has(entry))
				require.Len(t, entry.View().Desired.GetOrganisations(), organisations)
				c.eventually("the agent has the desired state", has(agent))
				require.Equal(t, "m", agent.View().Desired.GetPools()[0].GetName())
				require.LessOrEqual(t, proto.Size(agent.View().Desired), 100)

				time.Sleep(5 * time.Second)
				require.NoError(t, agent.Ready())
				require.Equal(t, entry.View().ConfigVersion, agent.View().ConfigVersion)
			})
		})
	}
}
