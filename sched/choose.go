package sched

import (
	"slices"
	"time"
)

// choose picks the server for a dispatch without an Offer, or nil if none with room may have the request.
func (s *Scheduler) choose(r *request) *server {
	r.passed = r.passed[:0]
	if s.options.Policy != PolicyTargets {
		return s.chooseBaseline(r)
	}
	var best *server
	var bestAt time.Duration
	for _, v := range s.sample(r, s.options.SampledServers, s.canDispatch) {
		at := s.estimateFinish(r, v)
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

// chooseReservations picks the servers at which a request waits: those that would finish it first.
func (s *Scheduler) chooseReservations(r *request) []*server {
	count := s.reservationCount(r)
	servers := s.sample(r, 2*count, s.canReserve)
	finish := make(map[*server]time.Duration, len(servers))
	for _, v := range servers {
		finish[v] = s.estimateFinish(r, v)
	}
	slices.SortStableFunc(servers, func(a, b *server) int { return int(min(max(finish[a]-finish[b], -1), 1)) })
	return servers[:min(count, len(servers))]
}

func (s *Scheduler) reservationCount(r *request) int {
	if s.isWatched(r) {
		return 1 // each gate that it waits at lets its server run empty
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

// canReserve tells whether the server may have the request at all now.
func (s *Scheduler) canReserve(r *request, v *server) bool {
	return v.ready && r.allows(v) && r.resumesOn(v) && !slices.Contains(r.avoid, v.name) && s.fits(r, v)
}

// allows tells whether the request's operation record, if it has one, allows the server. A dispatch elsewhere
// couldn't be found by the entry that takes the request over.
func (r *request) allows(v *server) bool {
	return len(r.Candidates) == 0 || slices.Contains(r.Candidates, v.name)
}

// sample returns up to n servers that suit, some of which probably have the prompt's prefix in their cache. A
// few random ones are as good as the best of all where reports lag, and don't all entries send to the same one.
func (s *Scheduler) sample(r *request, n int, suits func(*request, *server) bool) []*server {
	picked := s.affine(r, suits)
	if len(r.Candidates) > 0 {
		return s.addNamed(r, picked, suits)
	}
	all := r.pool.servers
	if len(all) == 0 {
		return picked
	}
	start := s.random.IntN(len(all))
	if len(all) <= n {
		return s.addFrom(r, picked, all, start, len(all), suits)
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
	if len(picked) > 0 {
		return picked
	}
	return s.addFrom(r, picked, all, start, 1, suits)
}

// sampleTries is how many random picks are made for each server wanted, before all are looked through.
const sampleTries = 2

// addNamed adds the request's candidates.
func (s *Scheduler) addNamed(r *request, picked []*server, suits func(*request, *server) bool) []*server {
	for _, name := range r.Candidates {
		v := s.servers[name]
		if v != nil && slices.Contains(r.pool.servers, v) && suits(r, v) && !slices.Contains(picked, v) {
			picked = append(picked, v)
		}
	}
	return picked
}

// addFrom looks through all servers from a random start until n suit.
func (s *Scheduler) addFrom(r *request, picked, all []*server, start, n int, suits func(*request, *server) bool) []*server {
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
// Options.CandidateCount, those that may have new work first, and among them those that would finish it first.
func (s *Scheduler) Candidates(in *Request) []string {
	r := s.sketch(in)
	ready := s.sample(r, s.options.CandidateCount, func(r *request, v *server) bool { return v.ready })
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
	return namesOf(ready[:min(len(ready), s.options.CandidateCount)])
}

// sketch makes a request for estimates only.
func (s *Scheduler) sketch(in *Request) *request {
	key := poolKey{kind: in.Class.GetKind(), target: in.Target}
	p := s.pools[key]
	if p == nil {
		p = &pool{key: key}
	}
	r := &request{Request: in, pool: p, class: s.classFor(in.Class), tier: tierIndex(in.Class.GetTier()), wakeIndex: -1}
	r.outputs = s.estimateOutput(r)
	return r
}

func namesOf(servers []*server) []string {
	names := make([]string, 0, len(servers))
	for _, v := range servers {
		names = append(names, v.name)
	}
	return names
}
