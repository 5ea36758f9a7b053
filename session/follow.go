package session

import (
	"cmp"
	"slices"
	"time"

	"github.com/carawaypitch/carawaypitch/rendezvous"
	"github.com/carawaypitch/carawaypitch/wire"
)

// The directory is followed over one link, preferably to an instance in the own availability zone. Followed over each, all of it came
// to each process three times, two thirds of that from other zones. The other links tell the version that their instances
// have, by which a followed one that is behind shows.
const (
	// behindFor is how long the followed link may take to bring a version that another link has named, and once more when it is asked.
	// Instances have the same version within milliseconds of each other.
	behindFor = 300 * time.Millisecond
	// avoidFor is how long an instance that was behind isn't followed.
	avoidFor = 5 * time.Second
)

// source is a control instance as the choice of the followed one sees it.
type source struct {
	name, address string
	isNear        bool // in the own availability zone
	isFollowed    bool
	isLeader      bool
	isAvoided     bool
	confirmed     time.Time // when the last poll that a quorum confirmed by it was sent
}

// chooseSource returns the index of the instance to follow, -1 for none: of those that have lately answered with the confirmation of a
// quorum, one in the own zone before others, one that isn't the leader, which all processes have a link to, before it, and
// then in this process's own order.
func chooseSource(self string, lately time.Duration, all []source) int {
	var newest time.Time
	for _, s := range all {
		if s.confirmed.After(newest) {
			newest = s.confirmed
		}
	}
	var usable []int
	for i, s := range all {
		if !s.confirmed.IsZero() && !s.isAvoided && newest.Sub(s.confirmed) <= lately {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return -1
	}
	return slices.MinFunc(usable, func(a, b int) int {
		x, y := all[a], all[b]
		return cmp.Or(
			cmp.Compare(x.distance(), y.distance()),
			cmp.Compare(rendezvous.Rank(self, x.address), rendezvous.Rank(self, y.address)),
		)
	})
}

// distance is how little an instance is suited to be followed.
func (s source) distance() int {
	const far, leader = 2, 1
	distance := 0
	if !s.isNear {
		distance += far
	}
	if s.isLeader {
		distance += leader
	}
	return distance
}

// followBest follows the best of the instances that there are links to. While none has answered, the present one stays.
func (s *Session) followBest(now time.Time) {
	peers, leader := s.all(), s.Leader()
	sources := make([]source, len(peers))
	for i, p := range peers {
		sources[i] = p.source(now, leader)
	}
	best := chooseSource(s.cfg.Instance, time.Duration(unconfirmedPolls*float64(s.cfg.PollInterval)), sources)
	if best < 0 || sources[best].isFollowed {
		return
	}
	s.cfg.Log.WithField("instance", sources[best].name).WithField("near", sources[best].isNear).Info("directory_followed")
	for i, p := range peers {
		p.follow(i == best)
	}
}

// followFirst follows an instance whose link is just open if none is followed yet.
//
// A process that starts has nothing. Were it to wait until an instance has answered with a confirmation, it would have the directory one
// poll later than it could, when control is busiest: after a loss of everything.
func (s *Session) followFirst(p *peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followed() != nil {
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
		isNear:     p.zone == p.session.cfg.Zone,
		isFollowed: p.isFollowed && p.ring != nil,
		isLeader:   p.instance == leader,
		isAvoided:  now.Before(p.avoidUntil),
	}
	if p.ring != nil {
		out.confirmed = p.confirmed
	}
	return out
}

// follow begins or ends following the instance, and says so at once: until it hears, it sends the news that another one sends too.
func (p *peer) follow(on bool) {
	p.mu.Lock()
	changed := p.isFollowed != on
	p.isFollowed = on
	p.mu.Unlock()
	if changed {
		p.poll()
	}
}

// awaited is a confirmed answer to a poll whose versions aren't in force here yet.
type awaited struct {
	peer   *peer
	answer *wire.Fresh
	sent   pollTime
}

// confirm notes an answer that a quorum confirmed. What it confirms counts once its versions are in force here: the directory may
// come over another link a moment later.
func (s *Session) confirm(a awaited) {
	s.mu.Lock()
	s.awaited[a.peer] = a
	s.mu.Unlock()
	s.confirmInForce()
	if a.answer.GetDirectoryVersion() > s.View().DirectoryVersion {
		time.AfterFunc(behindFor, func() { s.askFollowed(a.answer.GetDirectoryVersion()) })
	}
}

// confirmInForce takes the awaited answers whose versions are in force now.
func (s *Session) confirmInForce() {
	view, now := s.View(), time.Now()
	var taken []awaited
	s.mu.Lock()
	for p, a := range s.awaited {
		if view.ConfigVersion >= a.answer.GetConfigVersion() && view.DirectoryVersion >= a.answer.GetDirectoryVersion() {
			delete(s.awaited, p)
			s.freshness.RecordConfirmation(a.sent.at, now)
			taken = append(taken, a)
		}
	}
	s.mu.Unlock()
	for _, a := range taken {
		a.peer.tellConfirmed(a.answer, a.sent)
	}
}

// askFollowed polls the followed instance for a version that another one has. One without news for this process comes with the answer to a
// poll only.
func (s *Session) askFollowed(version uint64) {
	if s.View().DirectoryVersion >= version {
		return
	}
	if p := s.followed(); p != nil {
		p.poll()
	}
	time.AfterFunc(behindFor, func() { s.checkFollowed(version) })
}

// followed is the instance that the directory is followed by, nil for none.
func (s *Session) followed() *peer {
	for _, p := range s.all() {
		if p.follows() {
			return p
		}
	}
	return nil
}

func (p *peer) follows() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isFollowed
}

// checkFollowed leaves a followed instance that hasn't brought a version which another one has.
func (s *Session) checkFollowed(version uint64) {
	if s.View().DirectoryVersion >= version {
		return
	}
	now := time.Now()
	if p := s.followed(); p != nil {
		p.mu.Lock()
		p.avoidUntil = now.Add(avoidFor)
		p.mu.Unlock()
		s.counters.behind.Inc()
		s.cfg.Log.WithField("address", p.address).WithField("version", version).Warn("followed_instance_behind")
	}
	s.followBest(now)
}
