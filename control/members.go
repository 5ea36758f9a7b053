package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/replica"
)

const (
	// joinContactAge is how recently an instance must have been in contact to be added to the group. It is at most
	// voterSilence, so that a voter that was removed for its silence isn't added again as a learner.
	joinContactAge = 2 * statusInterval
	// voterSilence is the silence after which a voter is removed so that a caught-up learner can be promoted in its
	// place. It is short because the group must survive the loss of another voter a few seconds after a replacement has
	// started. A voter that returns becomes a learner, and is promoted when another vote is free.
	voterSilence = 2500 * time.Millisecond
	// leaderConfirmation is how long an instance must lead before it judges others as silent. A member that runs is
	// linked again and has answered by then.
	leaderConfirmation = time.Second
	// learnerSilence is the silence after which a learner is removed.
	learnerSilence = 30 * time.Second
	// maxMembers bounds the number of voters and learners.
	maxMembers = 16
)

// adjustMembers takes one step towards a group with the wanted number of voters, chosen among all instances that have
// sent a hello. An instance that returns with a new disk is added as a learner. Once that learner is caught up, the
// instance's earlier replica is removed and the learner is promoted. A learner also replaces a voter that stays silent, or
// is about to stop. It is promoted first, and that voter is removed after that: the other way round the group has one voter
// less for a while, and if all instances stop then, as many lost disks as the wanted number of voters allows leave no
// majority.
//
// The disk of the earlier replica is gone, so it cannot vote again, but the new one must hold the log before it counts
// towards a majority. Otherwise the loss of another instance right after the repair could leave a majority that lacks
// committed entries.
func (l *leader) adjustMembers(ctx context.Context) error {
	view := l.control.memberView()
	view.ledSince, view.contactStart = l.silenceStart, l.contactStart
	step := view.next()
	if step == nil {
		return nil
	}
	return l.changeMember(ctx, step)
}

// memberView returns the group as seen by this instance, without what only its leader loop knows.
func (c *Control) memberView() memberView {
	return memberView{
		status: c.replica.Status(),
		known:  c.peers.all(),
		self:   c.replica.ID(),
		wanted: c.wantedVoters(),
		now:    time.Now(),
	}
}

// wantedVoters returns how many members should vote: the setting, or the number of replicas in the settings if it is 0.
func (c *Control) wantedVoters() int {
	if c.settings.Voters > 0 {
		return c.settings.Voters
	}
	return len(c.settings.Replicas)
}

// memberStep is one membership change.
type memberStep struct {
	change  quorum.ChangeKind
	id      quorum.ID
	address string
}

// memberView is the group as seen by its leader.
type memberView struct {
	status       replica.Status
	known        map[string]peerInfo // by instance
	self         quorum.ID
	wanted       int       // number of voters
	ledSince     time.Time // start of the leadership
	contactStart time.Time // earliest time from which silence counts; before it this instance did not run
	now          time.Time
}

// next returns the next step towards the wanted group, or nil if there is none.
func (v memberView) next() *memberStep {
	if departing := v.departingVoter(); departing != quorum.NoID && v.voters() > v.wanted {
		return &memberStep{change: quorum.Remove, id: departing}
	}
	for _, name := range slices.Sorted(maps.Keys(v.known)) {
		if step := v.stepFor(v.known[name]); step != nil {
			return step
		}
	}
	return v.removeSilentLearner()
}

// stepFor returns the next step for the replica that sent the hello, or nil. The instance's earlier voter is not
// removed before the new replica is caught up.
func (v memberView) stepFor(info peerInfo) *memberStep {
	id := quorum.ID(info.hello.GetReplica())
	if id == quorum.NoID || id.Instance() != info.hello.GetInstance() {
		return nil
	}
	i := slices.IndexFunc(v.status.Members, func(m replica.Member) bool { return m.ID == id })
	if i < 0 {
		if v.now.Sub(info.lastContact) > joinContactAge || v.isLeaving(id) {
			return nil
		}
		if info.hello.GetEphemeral() && len(v.status.Members)+v.waitingWithDisk() >= maxMembers {
			return nil
		}
		if len(v.status.Members) >= maxMembers {
			return v.evictEphemeralLearner()
		}
		return &memberStep{quorum.AddLearner, id, info.hello.GetLinkAddress()}
	}
	if old := earlierLearner(v.status, id); old != quorum.NoID {
		return &memberStep{change: quorum.Remove, id: old}
	}
	if v.status.Members[i].Voter || info.hello.GetEphemeral() || v.isLeaving(id) || !isCaughtUp(v.status, id) {
		return nil
	}
	if old := earlierVoter(v.status, id); old != quorum.NoID {
		return &memberStep{change: quorum.Remove, id: old}
	}
	if v.voters() < v.wanted || v.voters() == v.wanted && v.departingVoter() != quorum.NoID {
		return &memberStep{change: quorum.Promote, id: id}
	}
	return nil
}

// waitingWithDisk returns how many instances with a disk have been in contact recently and are not members yet.
//
// Their places are kept free of instances without a disk. Otherwise the place of an evicted learner would go to the next
// instance without a disk, which would be evicted in turn: the leader would change the membership without end, and the
// instances with a disk would never join.
func (v memberView) waitingWithDisk() int {
	n := 0
	for _, info := range v.known {
		id := quorum.ID(info.hello.GetReplica())
		isMember := slices.ContainsFunc(v.status.Members, func(m replica.Member) bool { return m.ID == id })
		if id != quorum.NoID && !info.hello.GetEphemeral() && !isMember && v.now.Sub(info.lastContact) <= joinContactAge {
			n++
		}
	}
	return n
}

// evictEphemeralLearner returns the removal of a learner without a disk from a full group, to make room for an instance
// with a disk. It returns nil if there is no such learner.
//
// A large deployment runs control instances on machines without a disk in each zone, and more of them with each machine
// that is added. If they filled the group, a machine that replaces a lost voter could not join, and the next loss would
// leave no majority. An evicted instance stops serving; its clients know other instances.
func (v memberView) evictEphemeralLearner() *memberStep {
	for _, m := range slices.Backward(v.status.Members) {
		if !m.Voter && v.known[m.ID.Instance()].hello.GetEphemeral() {
			return &memberStep{change: quorum.Remove, id: m.ID}
		}
	}
	return nil
}

func (v memberView) voters() int {
	n := 0
	for _, m := range v.status.Members {
		if m.Voter {
			n++
		}
	}
	return n
}

// departingVoter returns a voter whose vote should pass to a learner, or NoID: one that is about to stop, or a silent one.
func (v memberView) departingVoter() quorum.ID {
	for _, m := range v.status.Members {
		if m.Voter && v.isLeaving(m.ID) {
			return m.ID
		}
	}
	return v.silentVoter()
}

// silentVoter returns a voter that has been silent for longer than voterSilence, or NoID.
func (v memberView) silentVoter() quorum.ID {
	for _, m := range v.status.Members {
		if m.Voter && v.silence(m.ID) > voterSilence {
			return m.ID
		}
	}
	return quorum.NoID
}

// removeSilentLearner returns the removal of a learner that has been silent for longer than learnerSilence, or nil.
// Such a learner belongs to an instance that was replaced, or to an earlier disk.
func (v memberView) removeSilentLearner() *memberStep {
	for _, m := range v.status.Members {
		if !m.Voter && v.silence(m.ID) > learnerSilence {
			return &memberStep{change: quorum.Remove, id: m.ID}
		}
	}
	return nil
}

// silence returns the time since the last contact with a member. It is 0 for an active member, for this replica itself,
// and while a new leader's messages may not have been answered yet.
//
// Members report to all instances, so silence counts from before the leadership too. Otherwise losses of leaders in a
// row, each in less than voterSilence, would keep the vote of a voter that is gone for good.
func (v memberView) silence(id quorum.ID) time.Duration {
	if id == v.self || isActive(v.status, id) || v.now.Sub(v.ledSince) < leaderConfirmation {
		return 0
	}
	lastContact := v.contactStart
	if info := v.known[id.Instance()]; info.lastContact.After(lastContact) {
		lastContact = info.lastContact
	}
	return v.now.Sub(lastContact)
}

// isCaughtUp reports whether a replica can be promoted.
func isCaughtUp(status replica.Status, id quorum.ID) bool {
	return slices.ContainsFunc(status.Progress, func(p quorum.Progress) bool { return p.ID == id && p.Active && p.CaughtUp })
}

// isActive reports whether the leader receives messages from a replica.
func isActive(status replica.Status, id quorum.ID) bool {
	return slices.ContainsFunc(status.Progress, func(p quorum.Progress) bool { return p.ID == id && p.Active })
}

// earlierVoter returns the voter that the instance of id had with its earlier disk, or NoID.
func earlierVoter(status replica.Status, id quorum.ID) quorum.ID {
	return earlierReplica(status, id, true)
}

// earlierReplica returns the replica that the instance of id had with an earlier disk, or NoID. With voter it looks for
// a voter, else for a learner.
func earlierReplica(status replica.Status, id quorum.ID, voter bool) quorum.ID {
	for _, m := range status.Members {
		if m.Voter == voter && m.ID != id && m.ID.Instance() == id.Instance() {
			return m.ID
		}
	}
	return quorum.NoID
}

// earlierLearner returns a learner that the instance of id had with an earlier disk, or NoID. That disk is gone and the
// replica never voted, so removing it loses nothing.
//
// An instance that loses its disk at each restart leaves one such learner behind each time. The learner does not count
// as silent, since its instance is still in contact. A few restarts would fill the group, and no replacement of a voter
// could join.
func earlierLearner(status replica.Status, id quorum.ID) quorum.ID {
	return earlierReplica(status, id, false)
}

// changeMember makes a membership change. A change that has to wait for another one, or for the learner to catch up, is
// not an error: a later round retries it.
func (l *leader) changeMember(ctx context.Context, step *memberStep) error {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var err error
	switch step.change {
	case quorum.AddLearner:
		_, err = l.control.replica.AddLearner(ctx, step.id, step.address)
	case quorum.Remove:
		_, err = l.control.replica.Remove(ctx, step.id)
	default:
		_, err = l.control.replica.Promote(ctx, step.id)
	}
	if errors.Is(err, quorum.ErrMembershipPending) || errors.Is(err, quorum.ErrNotCaughtUp) {
		return nil
	}
	if err == nil {
		l.control.log.WithField("replica", step.id).WithField("change", changeNames[step.change]).Info("replica_changed")
		l.wake() // for the next step
	}
	return err
}

var changeNames = map[quorum.ChangeKind]string{
	quorum.AddLearner: "added",
	quorum.Promote:    "promoted",
	quorum.Remove:     "removed",
}

// smallGroup is the number of instances with a disk up to which clients link to these alone: three voters, and one more
// while a voter is replaced.
const smallGroup = 4

// memberAddresses returns the link addresses of the members that clients may link to: all of them, or in a small group
// those with a disk. Clients link to all of few instances, but to some of many; with learners among them, a client of a
// small group could have a link to one voter only, and hear of a new leader seconds later.
func (c *Control) memberAddresses() []string {
	var withDisk, all []string
	for _, m := range c.replica.Status().Members {
		all = append(all, m.Address)
		if !c.isEphemeral(m.ID.Instance()) {
			withDisk = append(withDisk, m.Address)
		}
	}
	if len(withDisk) <= smallGroup {
		return withDisk
	}
	return all
}

// isEphemeral reports whether an instance is known to have no disk.
func (c *Control) isEphemeral(instance string) bool {
	if instance == c.settings.Instance {
		return c.settings.Ephemeral
	}
	return c.peers.hello(instance).GetEphemeral()
}

// zonesOf returns the availability zones of control instances by their link addresses, with "" for an unknown one.
func (c *Control) zonesOf(addresses []string) []string {
	if len(addresses) == 0 {
		return nil
	}
	byAddress := map[string]string{c.advertise(): c.settings.AvailabilityZone}
	for _, info := range c.peers.all() {
		byAddress[info.hello.GetLinkAddress()] = info.hello.GetAvailabilityZone()
	}
	zones := make([]string, len(addresses))
	for i, address := range addresses {
		zones[i] = byAddress[address]
	}
	return zones
}
