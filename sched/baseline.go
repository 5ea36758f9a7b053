package sched

// baselineClass is the single class by which the baseline policies order.
const baselineClass = ""

// chooseBaseline chooses a server by one of the baseline policies, or returns nil if none has room.
func (s *Scheduler) chooseBaseline(r *request) *server {
	var suitable []*server
	for _, v := range r.pool.servers {
		if s.canDispatch(r, v) {
			suitable = append(suitable, v)
		}
	}
	if len(suitable) == 0 {
		return nil
	}
	switch s.options.Policy {
	case PolicyRoundRobin:
		s.roundRobin++
		return suitable[s.roundRobin%len(suitable)]
	case PolicyLeastLoad:
		return leastLoaded(suitable, s.random.IntN(len(suitable)))
	default:
		return suitable[s.random.IntN(len(suitable))]
	}
}

// leastLoaded returns the server with the fewest running attempts by its last report, however old that is. Of
// equals it returns the first from index start on.
func leastLoaded(servers []*server, start int) *server {
	best := servers[start]
	for i := range servers {
		v := servers[(start+i)%len(servers)]
		if v.room.GetRunning() < best.room.GetRunning() {
			best = v
		}
	}
	return best
}
