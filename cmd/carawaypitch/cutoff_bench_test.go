package main

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
)

// outageDuration is how long control is away in each round.
const outageDuration = 10 * time.Second

// checkCounts counts gate checks at an entry, one after another, until a moment.
type checkCounts struct {
	good, refused, other int
	lastGood             time.Duration // since the start
}

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

// BenchmarkCutOffFrozen measures what the cut-off rule costs: control as a whole is silent for a while, which to an
// entry looks as if it were cut off alone, and it stops admitting although nothing changed.
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
		c.eventually(func() bool { return returnsOK(c.entryURLs[0] + "/readyz") }, "the entry doesn't come back")
		b.ReportMetric(float64(time.Since(resumed).Milliseconds()), "ms-to-return")
		s.report(b)
		c.killAll()
	}
}

// BenchmarkCutOffKilled measures the other side of the rule: control as a whole is dead, its ports refuse, nobody can
// accept a change, and entries go on.
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
