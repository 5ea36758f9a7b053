package simtest

import (
	"fmt"
	"time"

	"github.com/carawaypitch/carawaypitch/rollout"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Intervals of the entries' polls and of the sample of the evidence that these carry, as in packages session and entry.
const (
	controlDelay   = 3 * time.Millisecond
	leaderInterval = 500 * time.Millisecond
	pollInterval   = time.Second
	sampleInterval = 250 * time.Millisecond
)

// entry is an entry with the product's scheduler.
type entry struct {
	world    *world
	name     string
	life     uint64 // incarnation
	isUp     bool
	ready    bool // control has confirmed its state in this life
	s        *sched.Scheduler
	linked   map[*server]bool
	tickAt   time.Time
	evidence []*wire.RolloutEvidence
	leader   *instance // as it knows
	cut      map[*instance]bool
	// connectedSince is when its contact with control began, zero without any.
	connectedSince time.Time
}

// start begins a new life.
func (e *entry) start() {
	s, err := sched.New(sched.Options{Seed: e.world.random.Uint64(), MaxQueued: 500, Entry: e.name})
	if err != nil {
		panic(err)
	}
	e.life++
	e.s, e.isUp, e.ready, e.linked, e.tickAt, e.evidence, e.leader = s, true, false, map[*server]bool{}, time.Time{}, nil, nil
	for _, in := range e.world.group.instances {
		e.poll(in)
	}
}

func (e *entry) die() { e.isUp = false }

func (e *entry) step(event sched.Event) {
	w := e.world
	for _, action := range e.s.Step(w.now, event) {
		send, ok := action.(sched.Send)
		if !ok {
			continue
		}
		v := w.byAgent[send.Agent]
		if d := send.Message.GetDispatch(); d != nil {
			w.ledger.dispatched(e, d.GetAttempt().GetRequest(), v)
		}
		life, message := e.life, send.Message
		w.after(linkDelay, func() { v.receive(e, life, message) })
	}
	e.scheduleTick()
}

func (e *entry) scheduleTick() {
	w := e.world
	next := w.now.Add(e.s.NextTick())
	if e.tickAt.After(w.now) && !next.Before(e.tickAt) {
		return
	}
	e.tickAt = next
	life := e.life
	w.after(next.Sub(w.now), func() {
		if e.isUp && e.life == life && e.tickAt.Equal(w.now) {
			e.step(sched.Tick{})
		}
	})
}

func (e *entry) arrive() {
	w := e.world
	pick, at := w.random.Float64(), 0
	for at < len(w.schedule.classes)-1 && pick >= w.schedule.classes[at].share {
		pick -= w.schedule.classes[at].share
		at++
	}
	k := w.schedule.classes[at]
	w.requests++
	id := fmt.Sprint("r", w.requests)
	size := w.drawSize(k)
	w.sizes[id] = size
	e.step(sched.Arrive{Request: &sched.Request{
		ID: id, Organisation: "a", Class: k.spec, Target: pool, PromptTokens: size.prompt, OutputTokens: size.output, Arrived: w.now,
		Deadline: w.now.Add(time.Duration(k.spec.GetDeadlineMs()) * time.Millisecond),
	}})
}

func (e *entry) reaches(in *instance) bool { return e.isUp && in.isUp && !e.cut[in] }

// poll asks an instance, which confirms what it has applied if it reaches a quorum.
func (e *entry) poll(in *instance) {
	w, life, sentAt := e.world, e.life, e.world.now
	evidence := e.evidence
	w.after(controlDelay, func() {
		if !e.reaches(in) || e.life != life {
			return
		}
		in.hear(rollout.Source{Entry: e.name, Incarnation: life}, evidence)
		if !in.confirms() {
			return
		}
		update, leader := in.update(), w.group.leader
		w.after(controlDelay, func() {
			if !e.reaches(in) || e.life != life {
				return
			}
			e.apply(update)
			e.leader = leader
			e.step(sched.ControlContact{ConfirmedAt: sentAt})
			e.ready = true
		})
	})
}

// pollLeader polls the leader, or all instances if it has no link to it.
func (e *entry) pollLeader() {
	if e.isUp && len(e.evidence) > 0 {
		if e.leader != nil && e.reaches(e.leader) {
			e.poll(e.leader)
			return
		}
		e.pollAll()
	}
}

func (e *entry) pollAll() {
	for _, in := range e.world.group.instances {
		e.poll(in)
	}
}

func (e *entry) sample() {
	if e.isUp {
		e.evidence = e.s.RolloutEvidence()
	}
}

// configUpdate is what an instance tells of the configuration and the directory.
type configUpdate struct {
	version  uint64
	rollouts []*wire.Rollout
	agents   []*wire.AgentRecord
}

// apply takes what an instance tells, and links new servers.
func (e *entry) apply(u configUpdate) {
	old := 0
	for _, a := range u.agents {
		if a.GetServers()[0].GetVersion() != newVersion {
			old++
		}
	}
	if len(u.rollouts) > 0 {
		e.step(sched.Rollouts{Rollouts: u.rollouts, OldServers: map[string]int{pool: old}})
	}
	fresh := false
	for _, a := range u.agents {
		fresh = fresh || !e.linked[e.world.byAgent[a.GetAgent()]]
	}
	if !fresh {
		return
	}
	e.step(sched.Directory{Agents: u.agents, Entries: len(e.world.entries)})
	for _, a := range u.agents {
		if v := e.world.byAgent[a.GetAgent()]; !e.linked[v] {
			e.linked[v] = true
			e.step(sched.AgentUp{Hello: &wire.AgentHello{Agent: a.GetAgent(), Incarnation: 1}})
			v.reportTo(e)
		}
	}
}
