package simtest

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/rollout"
	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Times of the group of control instances.
const (
	stepDownAfter = 300 * time.Millisecond // a leader without quorum
	minElection   = 250 * time.Millisecond
	maxElection   = 900 * time.Millisecond
	maxCommit     = 15 * time.Millisecond
	proposeFails  = 4 * time.Second
)

// group is three control instances over one committed log. Which commands are committed follows from who leads; that the
// log itself is safe is checked by package spec.
type group struct {
	world     *world
	instances []*instance
	log       []*wire.Command // nil is the first entry of a term
	term      uint64
	leader    *instance // with a quorum, nil during an election
	elects    bool
	// lastFault is the last time at which an instance was down or cut off.
	lastFault time.Time
}

// instance is a control instance with the product's state, ledger and trials.
type instance struct {
	group   *group
	life    int
	isUp    bool
	isCut   bool // from the other instances
	state   *state.State
	applied int
	ledger  *rollout.Ledger
	trials  map[uint64]*rollout.Trial
	leads   rollout.Leadership
	// thinksTerm is the term in which it believes to lead, 0 if it follows.
	thinksTerm uint64
	busyUntil  time.Time // its proposal is under way
	sent       uint64    // configuration version that was pushed last
}

func newGroup(w *world) *group {
	g := &group{world: w}
	for range 3 {
		in := &instance{group: g}
		g.instances = append(g.instances, in)
		in.start()
		w.every(rollout.RoundInterval, in.round)
	}
	g.elect(g.instances[0])
	return g
}

func (in *instance) start() {
	in.life++
	in.isUp, in.state, in.applied, in.ledger, in.trials = true, state.New(), 0, rollout.NewLedger(), map[uint64]*rollout.Trial{}
	in.leads, in.thinksTerm, in.busyUntil, in.sent = rollout.Leadership{}, 0, time.Time{}, 0
	in.catchUp()
}

func (in *instance) inGroup() bool { return in.isUp && !in.isCut }

func (g *group) hasQuorum() bool {
	n := 0
	for _, in := range g.instances {
		if in.inGroup() {
			n++
		}
	}
	return n >= 2
}

// changed follows up on a change of who is up or cut off.
func (g *group) changed() {
	w := g.world
	if l := g.leader; l != nil && (!l.inGroup() || !g.hasQuorum()) {
		g.leader = nil
		term := g.term
		w.after(stepDownAfter, func() {
			if l.thinksTerm == term {
				l.thinksTerm = 0
			}
		})
	}
	if g.leader != nil || g.elects || !g.hasQuorum() {
		return
	}
	g.elects = true
	w.after(w.between(minElection, maxElection), func() {
		g.elects = false
		if !g.hasQuorum() || g.leader != nil {
			return
		}
		for _, i := range w.random.Perm(len(g.instances)) {
			if g.instances[i].inGroup() {
				g.elect(g.instances[i])
				return
			}
		}
	})
}

func (g *group) elect(in *instance) {
	g.term++
	g.leader, in.thinksTerm = in, g.term
	g.commit(nil)
}

func (g *group) commit(cmd *wire.Command) {
	if cmd != nil {
		cmd = proto.CloneOf(cmd)
		cmd.UnixMs = uint64(g.world.now.UnixMilli())
	}
	g.log = append(g.log, cmd)
	g.leader.catchUp()
	for _, in := range g.instances {
		if in != g.leader {
			g.world.after(g.world.between(time.Millisecond, maxCommit), func() {
				if in.inGroup() && g.leader != nil {
					in.catchUp()
				}
			})
		}
	}
}

// catchUp applies what is committed, and tells the entries if the configuration changed.
func (in *instance) catchUp() {
	for ; in.applied < len(in.group.log); in.applied++ {
		if cmd := in.group.log[in.applied]; cmd != nil {
			in.state.Apply(uint64(in.applied+1), cmd)
		}
	}
	if version := in.state.ConfigVersion() + in.state.DirectoryVersion(); version > in.sent {
		in.sent = version
		update := in.update()
		for _, e := range in.group.world.entries {
			life := e.life
			in.group.world.after(controlDelay, func() {
				if e.reaches(in) && e.life == life && e.ready {
					e.apply(update)
				}
			})
		}
	}
}

func (in *instance) update() configUpdate {
	u := configUpdate{version: in.state.ConfigVersion(), rollouts: in.state.Rollouts()}
	for _, v := range in.group.world.servers {
		if in.state.Agent(v.record.GetAgent()) != nil {
			u.agents = append(u.agents, v.record)
		}
	}
	return u
}

// confirms reports whether the instance can confirm that it has applied everything committed.
func (in *instance) confirms() bool {
	return in.inGroup() && in.group.leader != nil && in.applied == len(in.group.log)
}

// propose commits a command at the leader. One that fails halfway is committed all the same or lost. then is called with
// whether it was committed, as far as the proposer learns.
func (in *instance) propose(cmd *wire.Command, then func(bool)) {
	g, w, life, term := in.group, in.group.world, in.life, in.thinksTerm
	if in.thinksTerm == 0 {
		then(false)
		return
	}
	in.busyUntil = w.now.Add(proposeFails)
	w.after(w.between(time.Millisecond, maxCommit), func() {
		isLeader := g.leader == in && g.term == term
		switch {
		case isLeader:
			g.commit(cmd)
		case g.leader != nil && w.random.IntN(2) == 0:
			g.commit(cmd) // the next leader had it in its log
		}
		if in.life == life && (isLeader || in.thinksTerm != term) {
			in.busyUntil = time.Time{}
		}
		then(isLeader)
	})
}

// forward sends a command to the leader.
func (in *instance) forward(cmd *wire.Command, then func(bool)) {
	g := in.group
	g.world.after(controlDelay, func() {
		if g.leader == nil || !in.inGroup() {
			then(false)
			return
		}
		g.leader.propose(cmd, then)
	})
}

// hear takes evidence of an entry, as control does: only of roll-outs in progress.
func (in *instance) hear(from rollout.Source, evidence []*wire.RolloutEvidence) {
	for _, report := range evidence {
		if held := in.state.Rollout(report.GetPool()); held.GetId() == report.GetId() && isInProgress(held) {
			in.ledger.Record(from, report)
		}
	}
}

func isInProgress(r *wire.Rollout) bool {
	return r.GetState() == wire.RolloutState_ROLLOUT_STATE_IN_PROGRESS
}

// round is control's look at the evidence.
func (in *instance) round() {
	w := in.group.world
	if !in.isUp || w.now.Before(in.busyUntil) {
		return
	}
	if in.thinksTerm != 0 && in.thinksTerm < in.group.term && in.inGroup() {
		in.thinksTerm = 0
	}
	standing := rollout.Standing{Leads: in.thinksTerm != 0, Term: in.thinksTerm, Last: uint64(in.applied), Applied: uint64(in.applied)}
	if in.group.leader == in {
		standing.Last = uint64(len(in.group.log))
	}
	in.leads.Observe(standing, w.now)
	record := in.state.Rollout(pool)
	if !isInProgress(record) {
		return
	}
	t := in.trials[record.GetId()]
	if t == nil {
		t = rollout.NewTrial(record)
		in.trials[record.GetId()] = t
	}
	cmd := t.Next(rollout.Look{
		Record: record, Heard: in.ledger.Sum(record.GetId()), Servers: in.state.ServersOfVersion(pool, record.GetTo()),
		UnixMS: max(uint64(w.now.UnixMilli()), in.state.LeaderUnixMS()), Leads: in.leads.Holds(), MayComplete: in.leads.MayComplete(standing, w.now),
	}, w.now).Command(record)
	switch {
	case cmd == nil:
	case in.leads.Holds():
		in.propose(cmd, func(bool) {})
	default:
		in.forward(cmd, func(bool) {})
	}
}
