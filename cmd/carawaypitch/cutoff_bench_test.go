package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
)

// outageDuration is how long control is unavailable in each iteration.
const outageDuration = 10 * time.Second

// checkCounts counts gate checks by outcome.
type checkCounts struct {
	good, refused, other int           // refused: with result.CutOffFromControl
	lastGood             time.Duration // since the start
}

// gateChecksUntil sends gate checks to the first entry, one after another, until end.
func (c *cluster) gateChecksUntil(end time.Time) checkCounts {
	var s checkCounts
	start := time.Now()
	for time.Now().Before(end) {
		got, err := c.caller(0).gateCheck()
		switch {
		case err != nil:
			s.other++
		case got.Status == http.StatusOK:
			s.good++
			s.lastGood = time.Since(start)
		case got.resultError(c.t).Code == result.CutOffFromControl:
			s.refused++
		default:
			s.other++
		}
	}
	return s
}

func (s checkCounts) report(b *testing.B) {
	b.ReportMetric(float64(s.good), "good")
	b.ReportMetric(float64(s.refused), "refused")
	b.ReportMetric(float64(s.other), "other")
	b.ReportMetric(float64(s.lastGood.Milliseconds()), "ms-to-last-good")
}

// BenchmarkCutOffFrozen measures the cost of the cut-off rule. All control instances are frozen for a while, which an
// entry cannot distinguish from its own isolation, so it stops admitting requests although the configuration is
// unchanged.
func BenchmarkCutOffFrozen(b *testing.B) {
	for b.Loop() {
		c := startCluster(b)
		for _, p := range c.controls {
			p.signal(syscall.SIGSTOP)
		}
		s := c.gateChecksUntil(time.Now().Add(outageDuration))
		for _, p := range c.controls {
			p.signal(syscall.SIGCONT)
		}
		resumed := time.Now()
		c.eventually(func() bool { return returnsOK(c.entryURLs[0] + "/readyz") }, "the entry does not become ready again")
		b.ReportMetric(float64(time.Since(resumed).Milliseconds()), "ms-to-return")
		s.report(b)
		c.killAll()
	}
}

// BenchmarkCutOffKilled measures the case in which the cut-off rule does not apply. All control instances are killed and
// their ports refuse connections, so no change can be accepted and entries continue to serve.
func BenchmarkCutOffKilled(b *testing.B) {
	for b.Loop() {
		c := startCluster(b)
		for _, p := range c.controls {
			p.kill()
		}
		c.gateChecksUntil(time.Now().Add(outageDuration)).report(b)
		c.killAll()
	}
}
