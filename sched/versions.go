package sched

import (
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/result"
)

// Streams and software versions.
//
// Servers of several software versions may serve side by side in one pool, and what two of them write doesn't fit together. An
// answer of which a part has been received goes on only at servers of the version that began it, and so does a stream that a
// caller resumes from an earlier request (Request.Origin).

// newVersionWait is how long a version must be in the directory before streams that callers may resume begin there, while servers
// of another version serve. An entry that has lost contact relies on its directory for two seconds: it must not take such a
// stream for one of the version that it knows.
const newVersionWait = 2500 * time.Millisecond

// versionKey is a software version in a pool.
type versionKey struct{ target, version string }

// StreamOrigin is what began a stream.
type StreamOrigin struct {
	// Version is the software version of the server, empty if it doesn't say.
	Version string
	// Linking is set if the entry has no link to a server of the version yet and is opening some.
	Linking bool
}

// resumptionLead is subtracted from the rank of requests that resume a stream, so that they go before new work of their class. It
// is longer than any deadline.
const resumptionLead = 24 * time.Hour

// bindOrigin binds a request to the version that its caller's stream began with.
func (r *request) bindOrigin() {
	if r.Origin != nil {
		r.bound, r.version = true, r.Origin.Version
	}
}

// bindVersion binds a request to the version of its current attempt, which has begun to answer it.
func (r *request) bindVersion() {
	if !r.bound {
		r.bound, r.version = true, r.attempt.version
	}
}

// unbind lifts the binding of a request whose received part is discarded.
func (r *request) unbind() {
	r.bound, r.version = false, ""
	r.bindOrigin()
}

// isOfVersion reports whether a server may have the request, as far as its version goes.
func (r *request) isOfVersion(v *server) bool {
	return !r.bound || v.record.GetVersion() == r.version
}

// noteStreamBegan reports the version that began a stream which its caller may resume, at its first event. The first event of
// a verbatim answer is its head.
func (s *Scheduler) noteStreamBegan(r *request) {
	if r.originNoted || r.Verbatim == nil || !r.IsResumable() || r.eventsReceived < 2 {
		return
	}
	r.originNoted = true
	s.emit(StreamBegan{Request: r.ID, Pool: r.Target, Version: r.version})
}

// versionServers returns the listed servers of the request's version, those of a roll-out in progress included.
func (s *Scheduler) versionServers(r *request) []*server {
	all := slices.Clone(r.pool.servers)
	if ro := s.rollouts[r.pool.key.target]; ro != nil {
		all = append(all, ro.servers...)
	}
	return slices.DeleteFunc(all, func(v *server) bool { return !v.listed || !r.isOfVersion(v) })
}

// refuseResumption returns why a request that resumes a stream is refused, nil if it isn't: no server of its version is left, or
// none of them will have room in time.
func (s *Scheduler) refuseResumption(r *request) *result.Error {
	if !s.directoryReceived {
		return nil
	}
	servers := s.versionServers(r)
	if len(servers) == 0 && r.Origin.Linking {
		return nil
	}
	if len(servers) == 0 {
		return result.New(result.StreamVersionGone, "no server of version %q is left", r.version).WithRetryAfter(minRetryAfter)
	}
	if wait := versionWait(r, servers); wait > 0 && !s.now.Add(wait).Before(r.dueAt()) && s.mayRefuse(r) {
		return result.New(result.CannotFinishInTime, "no server of version %q has room in time", r.version).WithRetryAfter(wait)
	}
	return nil
}

// versionWait returns how long a request waits at least at the servers of its version, by their last reports.
func versionWait(r *request, servers []*server) time.Duration {
	shortest := time.Duration(-1)
	for _, v := range servers {
		if !v.isHealthy() {
			continue
		}
		wait := v.backlogFor(r.tier)
		if v.hasRoom {
			wait = 0
		}
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(shortest, 0)
}

// endVersionsGone ends the waiting streams of versions of which no server is left. An answer in one piece begins anew: its caller
// has nothing of it.
func (s *Scheduler) endVersionsGone() {
	gone := map[*request]struct{}{}
	for _, r := range s.requests {
		waits := r.state == queued || r.state == reserved
		if r.bound && waits && !(r.Origin != nil && r.Origin.Linking) && len(s.versionServers(r)) == 0 {
			gone[r] = struct{}{}
		}
	}
	for _, r := range sortedRequests(gone) {
		if r.Origin == nil && !r.Stream {
			r.resetAnswer()
			s.markDirty(r.pool)
			continue
		}
		s.refuse(r, result.New(result.StreamVersionGone, "the last server of version %q has left", r.version).WithRetryAfter(minRetryAfter))
	}
}

// canGoOnAnywhere reports whether a server may go on with the part of the answer that was received.
func (r *request) canGoOnAnywhere() bool {
	return slices.ContainsFunc(r.pool.servers, func(v *server) bool { return v.ready && v.room.GetResume() && r.isOfVersion(v) })
}

// noteVersions records since when versions have been in the directory. Those in the first one count as known for long.
func (s *Scheduler) noteVersions(isFirst bool) {
	seen := make(map[versionKey]time.Time)
	for _, v := range s.servers {
		for _, target := range v.record.GetModels() {
			key := versionKey{target, v.record.GetVersion()}
			since, known := s.versionsSince[key]
			if !known && !isFirst {
				since = s.now
				s.versionWaitEnd = s.now.Add(newVersionWait)
			}
			seen[key] = since
		}
	}
	s.versionsSince = seen
}

// endVersionWait schedules the pools anew once no version is new any more.
func (s *Scheduler) endVersionWait() {
	if s.versionWaitEnd.IsZero() || s.now.Before(s.versionWaitEnd) {
		return
	}
	s.versionWaitEnd = time.Time{}
	for _, v := range s.sortedServers() {
		for _, p := range v.pools {
			s.markDirty(p)
		}
	}
}

// isNewVersion reports whether the server's version is too new for the streams of a target that callers may resume.
func (s *Scheduler) isNewVersion(target string, v *server) bool {
	since, known := s.versionsSince[versionKey{target, v.record.GetVersion()}]
	return known && s.now.Sub(since) < newVersionWait
}

// mustWaitForVersion reports whether a stream must not begin at the server yet, since its version is new and there are servers of
// another one.
func (s *Scheduler) mustWaitForVersion(r *request, v *server) bool {
	if r.bound || r.Verbatim == nil || !r.IsResumable() || !s.isNewVersion(r.Target, v) {
		return false
	}
	return slices.ContainsFunc(r.pool.servers, func(other *server) bool { return other.ready && !s.isNewVersion(r.Target, other) })
}
