package control_test

import (
	"bytes"
	"fmt"
	"regexp"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/wire"
)

// syncs returns how often an instance has synced its disk.
func (c *cluster) syncs(n *instance) float64 {
	var metrics bytes.Buffer
	n.control.Metrics().WritePrometheus(&metrics)
	found := regexp.MustCompile(`(?m)^carawaypitch_replica_syncs_total (\S+)$`).FindStringSubmatch(metrics.String())
	require.NotNil(c.t, found)
	value, err := strconv.ParseFloat(found[1], 64)
	require.NoError(c.t, err)
	return value
}

// Guards against commits of usage cap shares that grow with the entries. Each entry proposes shares at times of its own;
// with one commit for each proposal the leader of a large deployment does nothing else. The proposals of all entries must
// take a bounded number of syncs, and the messages to each member follow the syncs.
func TestShareProposalsOfManyEntriesShareCommits(t *testing.T) {
	const (
		span     = 2 * time.Second
		interval = 200 * time.Millisecond // of one entry's proposals
		// maxSyncsPerSecond follows from the least time between two rounds of proposals, 10 ms. The replica appends the
		// first proposals of a round at once, and the others in a few appends, since syncs take no time here.
		maxSyncsPerSecond = 4 * 100
	)
	for _, entries := range []int{60, 120, 240} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t)
				defer f.stopAll()
				leader := f.leader()
				for i := range entries {
					f.join(wire.Role_ROLE_ENTRY, i)
				}
				f.eventually("all entries know each other", func() bool { return f.converged(entries, 0) })
				require.NoError(t, leader.control.PutDesired(t.Context(), testDesired(2)))

				before := f.syncs(leader)
				done := make(chan error, entries)
				for i := range entries {
					s := f.sessions[fmt.Sprint("entry-", i)]
					go func() {
						time.Sleep(time.Duration(i) * interval / time.Duration(entries))
						for n := range uint64(span / interval) {
							_, err := s.Propose(t.Context(), &wire.Command{Kind: &wire.Command_MoveShares{MoveShares: &wire.MoveShares{
								Entry: fmt.Sprint("entry-", i), Incarnation: 1, Sequence: n + 1,
								Shares:    []*wire.Share{{Organisation: "org", Units: n + 1}},
								Tolerance: &wire.CapTolerance{WindowMs: 8000, Allowance: 1 << 20},
							}}})
							if err != nil {
								done <- err
								return
							}
							time.Sleep(interval)
						}
						done <- nil
					}()
				}
				for range entries {
					require.NoError(t, <-done)
				}
				perSecond := (f.syncs(leader) - before) / span.Seconds()
				require.LessOrEqual(t, perSecond, float64(maxSyncsPerSecond))
			})
		})
	}
}

// Guards against the shares of dead entries that are released one commit after the other. All entries of a deployment
// end at once when all its processes are lost, and callers wait for the last share that is released.
func TestSharesOfManyDeadEntriesAreReleasedTogether(t *testing.T) {
	const entries, maxSyncs = 100, 10
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t)
		defer f.stopAll()
		leader := f.leader()
		for i := range entries {
			f.join(wire.Role_ROLE_ENTRY, i)
		}
		f.eventually("all entries know each other", func() bool { return f.converged(entries, 0) })
		desired := testDesired(2)
		desired.Organisations = []*wire.Member{{Name: "org", Keys: []string{"k"}, RatePerS: 1000}}
		require.NoError(t, leader.control.PutDesired(t.Context(), desired))
		propose := func(i int, command *wire.Command) {
			res, err := f.sessions[fmt.Sprint("entry-", i)].Propose(t.Context(), command)
			require.NoError(t, err)
			require.Zero(t, res.GetCode())
		}
		const window = 8 * time.Second
		for i := range entries {
			propose(i, &wire.Command{Kind: &wire.Command_MoveShares{MoveShares: &wire.MoveShares{
				Entry: fmt.Sprint("entry-", i), Incarnation: 1, Sequence: 1,
				Shares:    []*wire.Share{{Organisation: "org", Units: 1}},
				Tolerance: &wire.CapTolerance{WindowMs: uint32(window.Milliseconds())},
			}}})
		}
		for i := range entries {
			propose(i, &wire.Command{Kind: &wire.Command_EndEntry{EndEntry: &wire.EndEntry{
				Entry: fmt.Sprint("entry-", i), Incarnation: 1,
			}}})
		}
		time.Sleep(quota.ShareLease + window - time.Second)
		before := f.syncs(leader)
		time.Sleep(4 * time.Second)
		syncs := f.syncs(leader) - before
		require.Positive(t, syncs, "the shares are released")
		require.LessOrEqual(t, syncs, float64(maxSyncs))
	})
}
