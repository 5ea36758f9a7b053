package rendezvous

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Symptom: some instances have several times the links of others. Sequence: each of many processes takes the first of its order.
// Cause: a hash whose order is alike for many.
func TestChoicesSpread(t *testing.T) {
	const processes, others = 1000, 10
	chosen := make(map[int]int)
	for p := range processes {
		first := 0
		for o := range others {
			if Rank(fmt.Sprint("p", p), fmt.Sprint("o", o)) < Rank(fmt.Sprint("p", p), fmt.Sprint("o", first)) {
				first = o
			}
		}
		chosen[first]++
	}
	for o := range others {
		require.InDelta(t, processes/others, chosen[o], processes/others/2, "of %d", o)
	}
}
