package control_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Guards against shares of lost entries that are held anew for a whole window by each leader of control: while leaders change,
// which they do after the loss of all machines, all requests of an organisation would be refused.
func TestChangesOfLeaderDontDelayReleaseOfShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const window = 8 * time.Second
		c := newCluster(t, 5)
		c.startAll()
		defer c.stopAll()
		desired := testDesired(2)
		desired.Organisations = []*wire.Member{{Name: "org", Keys: []string{"k"}, RatePerS: 1000}}
		require.NoError(t, c.leader().control.PutDesired(t.Context(), desired))
		moveAll := func(incarnation uint64) uint64 {
			s, stop := c.client("entry-1", "10.0.1.1", wire.Role_ROLE_ENTRY, incarnation)
			defer stop()
			c.eventually("the entry is registered", func() bool {
				return s.Ready() == nil && s.View().Entries["entry-1"].GetIncarnation() == incarnation
			})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			res, err := s.Propose(ctx, &wire.Command{Kind: &wire.Command_MoveShares{MoveShares: &wire.MoveShares{
				Entry: "entry-1", Incarnation: incarnation, Sequence: 1,
				Shares:    []*wire.Share{{Organisation: "org", Units: 8000}},
				Tolerance: &wire.CapTolerance{WindowMs: uint32(window.Milliseconds())},
			}}})
			require.NoError(t, err)
			return res.GetShares()[0].GetUnits()
		}
		require.EqualValues(t, 8000, moveAll(1))
		require.Zero(t, moveAll(2), "the first incarnation may have used its share")
		lost := time.Now()
		for range 2 {
			time.Sleep(3 * time.Second)
			c.stop(c.leader())
		}
		c.leader()
		time.Sleep(time.Until(lost.Add(window + time.Second)))
		require.EqualValues(t, 8000, moveAll(3))
	})
}
