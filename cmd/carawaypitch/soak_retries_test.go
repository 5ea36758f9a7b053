package main

import (
	"regexp"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/retry"
	"github.com/carawaypitch/carawaypitch/retry/audit"
	"github.com/carawaypitch/carawaypitch/settings"
)

// soakArrival is a line of an engine's log about a run that it received.
var soakArrival = regexp.MustCompile(`time=(\S+) .*event=run_received .*attempt=(\S+)`)

// asked notes that a request for the model is sent.
func (s *soak) asked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, time.Now())
}

// checkRetries compares what reached the model engines beyond the first attempt of each request with the bound of retries. The
// engines' logs outlive their processes.
func (s *soak) checkRetries() {
	var record audit.Record
	for _, at := range s.sent {
		record.Sent(at)
	}
	type arrival struct {
		at      time.Time
		attempt engine.AttemptID
	}
	var arrivals []arrival
	for _, i := range soakModels {
		for _, match := range soakArrival.FindAllStringSubmatch(s.engines[i].log.String(), -1) {
			at, err := time.Parse(time.RFC3339Nano, match[1])
			if err != nil {
				s.problem("an engine's log: %v", err)
				return
			}
			arrivals = append(arrivals, arrival{at, engine.AttemptID(match[2])})
		}
	}
	slices.SortStableFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	for _, a := range arrivals {
		record.Arrived(a.at, a.attempt.Request())
	}
	limits := retry.Limits{Ratio: soakRetryRatio, Window: settings.DefaultEntry().Timing.RetryWindow, Allowance: soakRetryAllowance}
	if worst, _ := record.Worst(limits); worst.Excess > 0 {
		s.problem("%d retries reached the engines in %v from %v, for %d requests: %.1f too many",
			worst.Repeats, limits.Window, worst.From, worst.Requests, worst.Excess)
	}
	s.t.Logf("%d runs reached the engines, %d of them retries", len(arrivals), record.Repeats())
}
