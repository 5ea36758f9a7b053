package control

import (
	"context"
	"net"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/quorum"
	"github.com/carawaypitch/carawaypitch/quorum/replica"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// tick is the unit of time of the replica's timeouts.
const tick = 20 * time.Millisecond

func (c *Control) replicaConfig() replica.Config {
	return replica.Config{
		Instance:       c.settings.Instance,
		Dir:            c.settings.DataDir,
		FS:             c.options.FS,
		Volatile:       c.settings.Ephemeral,
		SnapshotBytes:  int(c.settings.Limits.LogBytes),
		KeepBytes:      int(c.settings.Limits.LogBytes) / 2,
		Transport:      c.peers,
		StateMachine:   c.machine,
		TickInterval:   tick,
		ElectionTicks:  ticks(c.settings.Timing.Election),
		HeartbeatTicks: ticks(c.settings.Timing.Heartbeat),

		FirstElectionTicks: ticks(c.settings.Timing.FirstElection),
		Seed:               c.options.Seed,
		OnChange:           c.roleChanged,
	}
}

// ticks converts a duration to ticks. It rounds up, so that a timeout is never shorter than configured.
func ticks(d time.Duration) int {
	return int((d + tick - 1) / tick)
}

func (c *Control) roleChanged(s quorum.StateChange) {
	c.log.WithField("role", s.Role).WithField("term", s.Term).WithField("leader", s.Leader).Info("role_changed")
	c.leader.wake()
}

// runReplica bootstraps a new group if that is due, then runs the replica.
func (c *Control) runReplica(ctx context.Context) error {
	if err := c.bootstrap(ctx); err != nil {
		return err
	}
	return c.replica.Run(ctx)
}

// bootstrap makes the configured replicas a new group, if the settings allow it and this disk is empty. It waits until
// all other replicas have reported that their disks are empty too. It does nothing if one of them has a group of which
// this replica is not a first voter.
//
// Ephemeral instances are never first voters, even if the settings name them: they join as learners.
//
// An instance whose disk was wiped still has bootstrap in its settings. If it started a group on its own, its operators
// would see an empty configuration in force. So one peer that has a group is enough for it to join, and one peer
// without contact is enough for it to wait.
func (c *Control) bootstrap(ctx context.Context) error {
	if !c.settings.Bootstrap || c.settings.Ephemeral || c.hasGroup() {
		return nil
	}
	for {
		changed := c.peers.nextChange()
		voters, decided := c.firstVoters()
		if decided && voters == nil {
			return nil
		}
		if decided {
			err := c.replica.Bootstrap(voters)
			if err == nil || errors.Is(err, replica.ErrNotEmpty) {
				return nil
			}
			return errors.Wrap(err, "control: bootstrap")
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// firstVoters returns the voters of a new group. decided is false until all peers are known to be empty, or one of them
// is known to have a group. In the latter case it returns the voters of that group, or nil if this replica is not one
// of them.
//
// Peers learn of each other's empty disks at different times, and one that has started the group reports it at once. If
// the others waited to be added to it, the group would be stuck: adding them takes a leader, and none can be elected
// without them. A first voter whose disk is empty has not voted or acknowledged anything, so it can safely start the
// same group.
func (c *Control) firstVoters() (voters []replica.Member, decided bool) {
	missing := false
	for _, r := range c.settings.Replicas {
		if r.Instance == c.settings.Instance {
			voters = append(voters, replica.Member{ID: c.replica.ID(), Address: c.bootstrapAddress(r.Address), Voter: true})
			continue
		}
		hello := c.peers.hello(r.Instance)
		switch {
		case hello.GetHasGroup():
			return c.votersOfPeerGroup(hello), true
		case hello.GetEphemeral():
			continue
		}
		missing = missing || hello == nil
		voters = append(voters, replica.Member{ID: quorum.ID(hello.GetReplica()), Address: r.Address, Voter: true})
	}
	return voters, !missing
}

// bootstrapAddress returns this replica's address in the first entry of the group. The entry must be the same at all
// voters, so it is the address listed in the settings. Port 0 means a group of one on a free port, whose address is the
// advertised one.
func (c *Control) bootstrapAddress(listed string) string {
	_, port, err := net.SplitHostPort(listed)
	if err != nil || port == "0" {
		return c.advertise()
	}
	return listed
}

// votersOfPeerGroup returns the first voters of a peer's group if this replica, with its present disk, is one of them,
// otherwise nil.
func (c *Control) votersOfPeerGroup(hello *wire.ReplicaHello) []replica.Member {
	var voters []replica.Member
	included := false
	for _, v := range hello.GetFirstVoters() {
		id := quorum.ID(v.GetReplica())
		included = included || id == c.replica.ID()
		voters = append(voters, replica.Member{ID: id, Address: v.GetAddress(), Voter: true})
	}
	if !included {
		return nil
	}
	return voters
}

// memberPeers returns the instances and link addresses of the group's members.
func (c *Control) memberPeers() []*wire.Peer {
	var members []*wire.Peer
	for _, m := range c.replica.Status().Members {
		members = append(members, &wire.Peer{Instance: m.ID.Instance(), LinkAddress: m.Address})
	}
	return members
}

// AddReplicas opens links to further control instances, such as seeds that were added to the settings after this
// instance started. Instances that are known already are skipped. The leader decides whether an instance becomes a
// member.
func (c *Control) AddReplicas(replicas []settings.Replica) {
	var peers []*wire.Peer
	for _, r := range replicas {
		peers = append(peers, &wire.Peer{Instance: r.Instance, LinkAddress: r.Address})
	}
	c.peers.add(peers)
}

func (c *Control) hasGroup() bool {
	return len(c.replica.Status().Members) > 0
}

func (c *Control) isLeader() bool {
	return c.replica.Status().Role == quorum.RoleLeader
}

// leaderInstance returns the instance of the leader as known here, or "" if none is known.
func (c *Control) leaderInstance() string {
	return c.replica.Status().Leader.Instance()
}

func (c *Control) replicaHello() *wire.ReplicaHello {
	hello := &wire.ReplicaHello{
		Instance:    c.settings.Instance,
		Replica:     string(c.replica.ID()),
		LinkAddress: c.advertise(),
		HasGroup:    c.hasGroup(),
		Peers:       c.peers.recentPeers(),
		Ephemeral:   c.settings.Ephemeral,

		AvailabilityZone: c.settings.AvailabilityZone,
	}
	for _, v := range c.replica.InitialVoters() {
		hello.FirstVoters = append(hello.FirstVoters, &wire.FirstVoter{Replica: string(v.ID), Address: v.Address})
	}
	return hello
}
