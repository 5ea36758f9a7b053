package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against calls within a usage cap that are refused since most callers suddenly reach one entry, while the other entries
// hold shares that they don't use.
func TestShareFollowsCallersToOneEntry(t *testing.T) {
	const step = 20 * time.Millisecond
	for _, entries := range []int{4, 24, 100} {
		t.Run(fmt.Sprint(entries, " entries"), func(t *testing.T) {
			f := newFleet(t, entries, windowOnly)
			sent, admitted, n := 0, 0, 0
			run := func(d time.Duration, isSkewed bool) {
				sent, admitted = 0, 0
				for at := time.Duration(0); at < d; at += step {
					f.clock.advance(step)
					if at%(500*time.Millisecond) == 0 {
						f.exchangeReports()
					}
					// 50 a second, of 100 that the cap allows.
					n++
					i := n % entries
					if isSkewed && n%10 != 0 {
						i = 0
					}
					sent++
					if f.request(i, 1, onlyClass) {
						admitted++
					}
				}
			}
			run(16*time.Second, false)
			require.GreaterOrEqual(t, 10*admitted, 9*sent, "even: %d of %d", admitted, sent)
			run(6*time.Second, true)
			require.GreaterOrEqual(t, 10*admitted, 9*sent, "skewed: %d of %d", admitted, sent)
		})
	}
}
