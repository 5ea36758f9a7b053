package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/rendezvous"
	"github.com/carawaypitch/carawaypitch/wire"
)

// The directory is received from one instance, the directory source, preferably in the same availability zone. Over
// three links, each process would receive the whole directory three times, two thirds of that from other zones. The other
// links report the versions that their instances have, which shows a source that lags.
const (
	// lagTimeout is how long the source may take to deliver a version that another link has reported, and again once it has
	// been polled for it. Instances reach the same version within milliseconds of each other.
	lagTimeout = 300 * time.Millisecond
	// avoidDuration is how long an instance that lagged is not used as the source.
	avoidDuration = 5 * time.Second
)

// source is a control instance as input to chooseSource.
type source struct {
	name, address string
	isSameZone    bool // in the availability zone of this process
	isFollowed    bool
	isLeader      bool
	isAvoided     bool
	confirmed     time.Time // when the last poll that a quorum confirmed through it was sent
}

// chooseSource returns the index of the instance to receive the directory from, or -1 for none. Of the instances whose last
// quorum-confirmed poll is at most maxAge older than the newest one, it prefers those in the own zone, then those that
// are not the leader, since all processes have a link to the leader, and then ranks by this process's rendezvous hash.
func chooseSource(self string, maxAge time.Duration, all []source) int {
	var newest time.Time
	for _, s := range all {
		if s.confirmed.After(newest) {
			newest = s.confirmed
		}
	}
	var usable []int
	for i, s := range all {
		if !s.confirmed.IsZero() && !s.isAvoided && newest.Sub(s.confirmed) <= maxAge {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return -1
	}
	return slices.MinFunc(usable, func(a, b int) int {
		x, y := all[a], all[b]
		return cmp.Or(
			cmp.Compare(x.followPenalty(), y.followPenalty()),
			cmp.Compare(rendezvous.Rank(self, x.address), rendezvous.Rank(self, y.address)),
		)
	})
}

// followPenalty ranks an instance as a source: the higher, the less suited.
func (s source) followPenalty() int {
	const otherZone, leader = 2, 1
	penalty := 0
	if !s.isSameZone {
		penalty += otherZone
	}
	if s.isLeader {
		penalty += leader
	}
	return penalty
}

// selectSource makes the best of the linked instances the source. While none has answered, the present source stays.
func (s *Session) selectSource(now time.Time) {
	peers, leader := s.knownPeers(), s.Leader()
	sources := make([]source, len(peers))
	for i, p := range peers {
		sources[i] = p.source(now, leader)
	}
	best := chooseSource(s.cfg.Instance, time.Duration(maxUnconfirmedPolls*float64(s.cfg.PollInterval)), sources)
	if best < 0 || sources[best].isFollowed {
		return
	}
	s.cfg.Log.WithField("instance", sources[best].name).WithField("near", sources[best].isSameZone).Info("directory_followed")
	for i, p := range peers {
		p.setFollowed(i == best)
	}
}

// followIfNone makes an instance whose link has just opened the source if there is none.
//
// A starting process has no state. Waiting until an instance has answered with a confirmation would delay the directory
// by one poll, at the time when control is busiest: after all processes have failed.
func (s *Session) followIfNone(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followedPeer() != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isFollowed = true
}

func (p *peer) source(now time.Time, leader string) source {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := source{
		name:       p.instance,
		address:    p.address,
		isSameZone: p.zone == p.session.cfg.Zone,
		isFollowed: p.isFollowed && p.ring != nil,
		isLeader:   p.instance == leader,
		isAvoided:  now.Before(p.avoidUntil),
	}
	if p.ring != nil {
		out.confirmed = p.confirmedAt
	}
	return out
}

// setFollowed starts or stops receiving the directory from the instance, and informs it at once by a poll: an
// instance that has not been informed keeps sending updates that the new source sends too.
func (p *peer) setFollowed(on bool) {
	p.mu.Lock()
	changed := p.isFollowed != on
	p.isFollowed = on
	p.mu.Unlock()
	if changed {
		p.poll()
	}
}

// pendingConfirmation is a confirmed answer to a poll whose versions are not yet in force here.
type pendingConfirmation struct {
	peer   *peer
	answer *wire.Fresh
	sent   pollTime
}

// handleConfirmation records an answer that a quorum confirmed. The confirmation counts once its versions are in force
// here, since the directory may come over another link shortly afterwards.
func (s *Session) handleConfirmation(a pendingConfirmation) {
	s.mu.Lock()
	s.pendingConfirmations[a.peer] = a
	s.mu.Unlock()
	s.resolvePendingConfirmations()
	if a.answer.GetDirectoryVersion() > s.View().DirectoryVersion {
		time.AfterFunc(lagTimeout, func() { s.pollSource(a.answer.GetDirectoryVersion()) })
	}
}

// resolvePendingConfirmations counts the pending confirmations whose versions are in force.
func (s *Session) resolvePendingConfirmations() {
	view, now := s.View(), time.Now()
	var resolved []pendingConfirmation
	s.mu.Lock()
	for p, a := range s.pendingConfirmations {
		if view.ConfigVersion >= a.answer.GetConfigVersion() && view.DirectoryVersion >= a.answer.GetDirectoryVersion() {
			delete(s.pendingConfirmations, p)
			s.freshness.RecordConfirmation(a.sent.at, now)
			resolved = append(resolved, a)
		}
	}
	s.mu.Unlock()
	for _, a := range resolved {
		a.peer.notifyConfirmed(a.answer, a.sent)
	}
}

// pollSource polls the source for a version that another instance has. An instance without changes that concern this
// process delivers a new version only in the answer to a poll.
func (s *Session) pollSource(version uint64) {
	if s.View().DirectoryVersion >= version {
		return
	}
	if p := s.followedPeer(); p != nil {
		p.poll()
	}
	time.AfterFunc(lagTimeout, func() { s.replaceLaggingSource(version) })
}

// followedPeer returns the instance that is the directory source, or nil if there is none.
func (s *Session) followedPeer() *peer {
	for _, p := range s.knownPeers() {
		if p.isDirectorySource() {
			return p
		}
	}
	return nil
}

func (p *peer) isDirectorySource() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isFollowed
}

// replaceLaggingSource avoids a source that has not delivered a version which another instance has.
func (s *Session) replaceLaggingSource(version uint64) {
	if s.View().DirectoryVersion >= version {
		return
	}
	now := time.Now()
	if p := s.followedPeer(); p != nil {
		p.mu.Lock()
		p.avoidUntil = now.Add(avoidDuration)
		p.mu.Unlock()
		s.counters.sourceBehind.Inc()
		s.cfg.Log.WithField("address", p.address).WithField("version", version).Warn("followed_instance_behind")
	}
	s.selectSource(now)
}
