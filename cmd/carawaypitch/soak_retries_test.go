package main

import (
	"regexp"
	"slices"
	"strings"
	"time"
)

// soakArrival is a line of an engine's log about a run that it received.
var soakArrival = regexp.MustCompile(`time=(\S+) .*event=run_received .*attempt=(\S+)`)

// asked notes that a request for the model is sent.
func (s *soak) asked() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent = append(s.sent, time.Now())
}

// checkRetries compares what reached the model engines beyond the first attempt of each request with the bound of retries, in
// all windows. The engines' logs outlive their processes.
func (s *soak) checkRetries() {
	type arrival struct {
		at      time.Time
		request string
	}
	var all []arrival
	for _, i := range soakModels {
		for _, match := range soakArrival.FindAllStringSubmatch(s.engines[i].log.String(), -1) {
			at, err := time.Parse(time.RFC3339Nano, match[1])
			if err != nil {
				s.problem("an engine's log: %v", err)
				return
			}
			all = append(all, arrival{at, match[2][:strings.LastIndexByte(match[2], '.')]})
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return a.at.Compare(b.at) })
	seen := map[string]bool{}
	var repeats []time.Time
	for _, a := range all {
		if seen[a.request] {
			repeats = append(repeats, a.at)
		}
		seen[a.request] = true
	}
	window := 10 * time.Second
	within := func(times []time.Time, from time.Time) int {
		return len(slices.DeleteFunc(slices.Clone(times), func(at time.Time) bool { return at.Before(from) || !at.Before(from.Add(window)) }))
	}
	for _, from := range repeats {
		requests := max(within(s.sent, from), within(s.sent, from.Add(-window)), within(s.sent, from.Add(-window/2)))
		allowed := soakRetryRatio*float64(requests) + soakRetryAllowance
		if n := within(repeats, from); float64(n) > allowed {
			s.problem("%d retries reached the engines in %v from %v, for %d requests; allowed %.1f", n, window, from, requests, allowed)
			return
		}
	}
	s.t.Logf("%d runs reached the engines, %d of them retries", len(all), len(repeats))
}
