package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against some instances getting several times the connections of others, which happens if many processes rank
// the same instance first.
func TestRankSpreadsFirstChoices(t *testing.T) {
	const processes, instances = 1000, 10
	chosen := make(map[int]int)
	for p := range processes {
		first := 0
		for o := range instances {
			if Rank(fmt.Sprint("p", p), fmt.Sprint("o", o)) < Rank(fmt.Sprint("p", p), fmt.Sprint("o", first)) {
				first = o
			}
		}
		chosen[first]++
	}
	for o := range instances {
		require.InDelta(t, processes/instances, chosen[o], processes/instances/2, "processes that chose instance %d", o)
	}
}
