package quorum_test

import (
	"slices"
	"testing"

	"github.com/carawaypitch/carawaypitch/quorum"
)

// BenchmarkElection reports the number of ticks from the crash of a leader
// until another replica is the leader, without network delay.
func BenchmarkElection(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(string(rune('0'+size)), func(b *testing.B) {
			var ticks []int
			for i := range b.N {
				c := newCluster(b, size, uint64(i))
				old := c.elect()
				c.crash(old)
				elapsed := 0
				for {
					c.tick()
					elapsed++
					if l := c.leader(); l != nil && l.node.Status().Role == quorum.RoleLeader {
						break
					}
				}
				ticks = append(ticks, elapsed)
			}
			slices.Sort(ticks)
			b.ReportMetric(float64(ticks[len(ticks)/2]), "ticks-p50")
			b.ReportMetric(float64(ticks[len(ticks)*99/100]), "ticks-p99")
			b.ReportMetric(float64(ticks[len(ticks)-1]), "ticks-max")
		})
	}
}
