package control

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/quorum/replica"
)

// newTestRounds returns rounds, and the numbers of proposals that were submitted together.
func newTestRounds() (*proposalRounds, *[]int) {
	submitted := new([]int)
	return &proposalRounds{submit: func(p ...*replica.Proposal) { *submitted = append(*submitted, len(p)) }}, submitted
}

// Guards against a delay of the first proposal after an idle time, and against proposals that are not submitted together
// while others are under way.
func TestProposalsWaitForCommonRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, submitted := newTestRounds()
		require.False(t, r.add(replica.NewProposal(nil)))
		require.Equal(t, []int{1}, *submitted, "the first one")

		for range 3 {
			time.Sleep(proposalRoundInterval / 10)
			require.True(t, r.add(replica.NewProposal(nil)))
		}
		synctest.Wait()
		require.Len(t, *submitted, 1)
		time.Sleep(proposalRoundInterval * 7 / 10)
		synctest.Wait()
		require.Equal(t, []int{1, 3}, *submitted, "all in one call")

		time.Sleep(10 * proposalRoundInterval)
		require.False(t, r.add(replica.NewProposal(nil)))
		require.Equal(t, []int{1, 3, 1}, *submitted, "after an idle time")
	})
}

// Guards against two rounds in less than the interval: a round that follows a delayed one must wait as long again.
func TestRoundsKeepTheirInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, submitted := newTestRounds()
		const span = 100
		for range span * 4 {
			r.add(replica.NewProposal(nil))
			time.Sleep(proposalRoundInterval / 4)
		}
		require.LessOrEqual(t, len(*submitted), span+1)
	})
}
