package sched

import (
	"slices"
	"strings"
)

// Bounds of the servers named for a suspension.
const (
	// maxSuspendTargets is the number of addresses in a message.
	maxSuspendTargets = 3
	// suspendTargetPicks is the number of random picks among which the best ones are named. It is fixed, so that the
	// cost of a message doesn't grow with the servers.
	suspendTargetPicks = 8
)

// suspendTargets returns addresses of other servers of the pool at which the server may place a copy of a run's
// memory briefly, nil if the server doesn't suspend runs. Servers with free slots in the server's own availability
// zone come first: one without room refuses the copy, and a copy between zones takes longer.
func (s *Scheduler) suspendTargets(r *request, to *server) []string {
	all := r.pool.servers
	if !to.record.GetSuspends() || len(all) < 2 {
		return nil
	}
	var targets [suspendTargetPicks]*server
	picked := targets[:0]
	for range suspendTargetPicks {
		v := all[s.random.IntN(len(all))]
		if v != to && v.isHealthy() && v.address != "" && !slices.Contains(picked, v) {
			picked = append(picked, v)
		}
	}
	slices.SortStableFunc(picked, func(a, b *server) int { return targetRank(a, to) - targetRank(b, to) })
	var addresses []string
	for _, v := range picked[:min(len(picked), maxSuspendTargets)] {
		addresses = append(addresses, hostPort(v.address))
	}
	return addresses
}

// targetRank orders servers as targets for a run of another one; lower is better.
func targetRank(v, of *server) int {
	rank := 0
	if v.room.GetFree() == 0 {
		rank += 2
	}
	if v.agent.zone != of.agent.zone {
		rank++
	}
	return rank
}

// hostPort returns the address without its scheme.
func hostPort(address string) string {
	if _, rest, found := strings.Cut(address, "://"); found {
		address = rest
	}
	return strings.TrimSuffix(address, "/")
}
