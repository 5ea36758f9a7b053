package sched

import (
	"slices"
	"time"
)

// chooseServer returns the server for a dispatch without an Offer, or nil if no server with room suits the request.
func (s *Scheduler) chooseServer(r *request) *server {
	if !s.mayTry(r) {
		return nil
	}
	defer s.endChoice(s.beginChoice(r))
	r.passedOver = r.passedOver[:0]
	if v := s.exposeTo(r); v != nil {
		return v
	}
	if s.options.Policy != PolicyTargets {
		return s.chooseBaseline(r)
	}
	var best *server
	var bestAt time.Duration
	for _, v := range s.sampleServers(r, s.options.SampledServers, s.canDispatch) {
		at := s.rankServer(r, v)
		if best == nil || at < bestAt {
			if best != nil {
				r.passOver(best, PassedSlower, bestAt)
			}
			best, bestAt = v, at
			continue
		}
		r.passOver(v, PassedSlower, at)
	}
	return best
}

// chooseReservationServers returns the servers at which to reserve: those with the earliest estimated finish, and under
// pressure those whose use costs the others least.
func (s *Scheduler) chooseReservationServers(r *request) []*server {
	if !s.mayTry(r) {
		return nil
	}
	defer s.endChoice(s.beginChoice(r))
	count := s.reservationCount(r)
	servers := s.sampleServers(r, 2*count, s.canReserve)
	finish := make(map[*server]time.Duration, len(servers))
	for _, v := range servers {
		finish[v] = s.rankServer(r, v)
	}
	slices.SortStableFunc(servers, func(a, b *server) int { return int(min(max(finish[a]-finish[b], -1), 1)) })
	return s.addExposed(r, servers[:min(count, len(servers))])
}

func (s *Scheduler) reservationCount(r *request) int {
	if s.isWatched(r) {
		return 1 // each gate with a watched reservation drains its server
	}
	if r.tier == 0 {
		return 2 * s.options.Reservations
	}
	return s.options.Reservations
}

func (s *Scheduler) canDispatch(r *request, v *server) bool {
	mayBegin := v.room.GetRunning() == 0 || !s.isWatched(r)
	return v.hasRoom && mayBegin && s.canReserve(r, v)
}

// canReserve reports whether the server currently may have the request.
func (s *Scheduler) canReserve(r *request, v *server) bool {
	return s.mayPlace(r, v) && s.fitsDeadline(r, v)
}

// mayPlace is canReserve without regard to the length of the answer.
func (s *Scheduler) mayPlace(r *request, v *server) bool {
	return v.ready && r.allows(v) && r.canResumeOn(v) && !slices.Contains(r.avoided, v.name) && !s.mustWaitForVersion(r, v)
}

// allows reports whether the request's operation record, if it has one, allows the server, and whether the server's software
// version may go on with what was received. An entry that takes the request over couldn't find a dispatch to a server that the
// record doesn't name.
func (r *request) allows(v *server) bool {
	return r.isOfVersion(v) && (len(r.Candidates) == 0 || slices.Contains(r.Candidates, v.name))
}

// sampleServers returns up to n suitable servers, including some that probably have the prompt's prefix cached.
// With delayed reports a small random sample does as well as the best of all servers, and it keeps the entries from
// all choosing the same server.
func (s *Scheduler) sampleServers(r *request, n int, suits func(*request, *server) bool) []*server {
	defer s.endChoice(s.beginChoice(r))
	picked := s.prefixServers(r, suits)
	if len(r.Candidates) > 0 {
		return s.addCandidates(r, picked, suits)
	}
	all := r.pool.servers
	if len(all) == 0 {
		return picked
	}
	start := s.random.IntN(len(all))
	if len(all) <= n {
		return s.addSuitable(r, picked, all, start, len(all), suits)
	}
	for range sampleTries * n {
		if len(picked) >= n {
			return picked
		}
		v := all[s.random.IntN(len(all))]
		if suits(r, v) && !slices.Contains(picked, v) {
			picked = append(picked, v)
		}
	}
	if r.bound || s.needsFastServer(r) {
		// Random picks rarely find the few servers that suit it, and with fewer reservations it would wait longer than others.
		return s.addSuitable(r, picked, all, start, n, suits)
	}
	if len(picked) > 0 {
		return picked
	}
	return s.addSuitable(r, picked, all, start, 1, suits)
}

// sampleTries is the number of random picks per server wanted, before all servers are searched.
const sampleTries = 2

// addCandidates adds the suitable servers among the request's candidates.
func (s *Scheduler) addCandidates(r *request, picked []*server, suits func(*request, *server) bool) []*server {
	for _, name := range r.Candidates {
		v := s.servers[name]
		if v != nil && slices.Contains(r.pool.servers, v) && suits(r, v) && !slices.Contains(picked, v) {
			picked = append(picked, v)
		}
	}
	return picked
}

// addSuitable adds suitable servers, searching all from the index start, until n are picked.
func (s *Scheduler) addSuitable(r *request, picked, all []*server, start, n int, suits func(*request, *server) bool) []*server {
	for i := range all {
		v := all[(start+i)%len(all)]
		if suits(r, v) && !slices.Contains(picked, v) {
			picked = append(picked, v)
		}
		if len(picked) >= n {
			break
		}
	}
	return picked
}

// Candidates returns the servers that a keyed request's operation record should allow: at most
// Options.CandidateCount, servers that may have new work first, ordered by estimated finish.
func (s *Scheduler) Candidates(in *Request) []string {
	r := s.newEstimationRequest(in)
	ready := s.sampleServers(r, s.options.CandidateCount, func(r *request, v *server) bool { return v.ready })
	finish := make(map[*server]time.Duration, len(ready))
	for _, v := range ready {
		finish[v] = s.estimateFinish(r, v)
	}
	slices.SortStableFunc(ready, func(a, b *server) int { return int(min(max(finish[a]-finish[b], -1), 1)) })
	for _, v := range r.pool.servers {
		if len(ready) < s.options.CandidateCount && v.listed && !slices.Contains(ready, v) {
			ready = append(ready, v)
		}
	}
	return serverNames(ready[:min(len(ready), s.options.CandidateCount)])
}

// newEstimationRequest returns a request that is used for estimates only and never queued.
func (s *Scheduler) newEstimationRequest(in *Request) *request {
	key := poolKey{kind: in.Class.GetKind(), target: in.Target}
	p := s.pools[key]
	if p == nil {
		p = &pool{key: key}
	}
	r := &request{Request: in, pool: p, class: s.classFor(in.Class), tier: tierIndex(in.Class.GetTier()), timerIndex: -1}
	s.setLength(r)
	return r
}

func serverNames(servers []*server) []string {
	names := make([]string, 0, len(servers))
	for _, v := range servers {
		names = append(names, v.name)
	}
	return names
}
