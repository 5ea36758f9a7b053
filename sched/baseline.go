package sched

// baselineClass is the one class that the baselines order by.
const baselineClass = ""

// chooseBaseline picks a server by one of the policies that are there to be measured against.
func (s *Scheduler) chooseBaseline(r *request) *server {
	var fit []*server
	for _, v := range r.pool.servers {
		if s.canDispatch(r, v) {
			fit = append(fit, v)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	switch s.options.Policy {
	case PolicyRoundRobin:
		s.turn++
		return fit[s.turn%len(fit)]
	case PolicyLeastLoad:
		return leastLoaded(fit, s.random.IntN(len(fit)))
	default:
		return fit[s.random.IntN(len(fit))]
	}
}

// leastLoaded believes the last report, however old it is. Of equals it takes the first from start on.
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
