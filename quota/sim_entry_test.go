package quota_test

import (
	"fmt"
	"math"
	"time"

	"github.com/carawaypitch/carawaypitch/quota"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

func (e *simEntry) name() string { return fmt.Sprintf("e%d", e.number) }

func (e *simEntry) begin() {
	s := e.s
	e.up = true
	e.started++
	started := e.started
	e.caps = quota.NewCaps(e.name(), started, quota.Clock{Now: func() time.Time { return s.clock().Add(e.stepped) }, SinceBoot: func() time.Duration { return time.Hour + s.now }},
		quota.Tolerance{Window: simWindow, Overrun: simOverrun})
	e.caps.SetEntries(len(s.entries))
	e.cap, e.known = nil, -1
	for i := range s.controls {
		s.links[e.number][i].epoch++
		e.pollLater(i, started, s.between(0, 50*time.Millisecond))
	}
	var learn func()
	learn = func() {
		if !e.up || e.started != started {
			return
		}
		if s.quorumNow() && e.reaches() {
			e.learn()
		}
		s.after(s.between(20*time.Millisecond, time.Second), learn)
	}
	s.after(s.between(0, 200*time.Millisecond), learn)
	s.after(s.between(0, 50*time.Millisecond), func() { e.arrive(started) })
	e.listed = false
	e.register(started)
	e.moveLoop(started)
}

// register puts the entry into the directory, again until that is known.
func (e *simEntry) register(started uint64) {
	command := &wire.Command{Kind: &wire.Command_RegisterEntry{RegisterEntry: &wire.RegisterEntry{
		Entry: &wire.EntryRecord{Entry: e.name(), Incarnation: started},
	}}}
	e.propose(command, func(res *wire.CommandResult) {
		if res == nil {
			e.register(started)
			return
		}
		e.listed = true
		e.move()
	})
}

// moveLoop is the entry's duty that moves shares.
func (e *simEntry) moveLoop(started uint64) {
	if !e.up || e.started != started {
		return
	}
	e.move()
	e.s.after(quota.MoveInterval, func() { e.moveLoop(started) })
}

func (e *simEntry) move() {
	if e.s.now < e.frozen || !e.listed {
		return
	}
	move := e.caps.NextProposal()
	if move == nil {
		return
	}
	e.propose(&wire.Command{Kind: &wire.Command_MoveShares{MoveShares: move}}, func(res *wire.CommandResult) {
		if res.GetCode() == uint32(result.AttemptSuperseded) && e.isEnded() {
			e.kill()
			e.s.after(10*time.Millisecond, e.begin)
			return
		}
		e.caps.ProposalEnded(move, res)
		e.retry()
		e.wake()
	})
}

// isEnded tells whether control has ended this start of the entry.
func (e *simEntry) isEnded() bool { return e.s.listed(e) == 0 }

// wake moves shares at once if one has run short.
func (e *simEntry) wake() {
	select {
	case <-e.caps.Wake():
		e.move()
	default:
	}
}

// reaches tells whether any control instance can be heard.
func (e *simEntry) reaches() bool {
	for i, c := range e.s.controls {
		if c.up && e.s.now >= c.frozen && e.s.now >= e.s.links[e.number][i].cut {
			return true
		}
	}
	return false
}

func (e *simEntry) learn() {
	if e.known == len(e.s.caps)-1 {
		return
	}
	e.known = len(e.s.caps) - 1
	change := e.s.caps[e.known]
	e.cap = e.caps.Configure(&wire.Member{Name: simOrg, RatePerS: uint64(change.rate), Burst: uint64(change.burst)})
}

func (e *simEntry) kill() {
	e.up = false
	e.started++ // what was scheduled for the process is void
	e.waiting = nil
}

func (e *simEntry) pollLater(control int, started uint64, d time.Duration) {
	e.s.after(d, func() {
		if !e.up || e.started != started {
			return
		}
		e.poll(control)
		e.pollLater(control, started, simPoll)
	})
}

// poll tells a control instance what was used, and takes its answer.
func (e *simEntry) poll(control int) {
	s := e.s
	if s.now < e.frozen {
		return
	}
	link, c := s.links[e.number][control], s.controls[control]
	if !c.up {
		return
	}
	message := &wire.Poll{Usage: e.caps.Usage(), UsageWindowMs: uint32(simWindow.Milliseconds()), SinceBootMs: uint64((time.Hour + s.now).Milliseconds())}
	started, start, asked := e.started, c.start, time.Hour+s.now
	s.deliver(link, 0, func() {
		if !c.up || c.start != start {
			return
		}
		e.heard = s.now
		states := c.ledger.Record(quota.Incarnation{Instance: e.name(), Number: started}, message, s.clock())
		confirm := s.between(2*time.Millisecond, 10*time.Millisecond)
		if s.rng.Float64() < 0.02 {
			confirm = s.between(0, simReadBound)
		}
		if !s.quorumNow() {
			return
		}
		s.after(confirm, func() {
			if !c.up || c.start != start || !s.quorumNow() {
				return
			}
			s.deliver(link, 1, func() {
				if e.up && e.started == started {
					e.caps.RenewLease(asked)
					e.caps.ApplyStates(states)
					e.wake()
				}
			})
		})
	}, func() bool { return c.up && s.now >= c.frozen }, func() time.Duration { return c.frozen })
}

// deliver passes a message over a link, in order. What a cut or a frozen process holds up comes later, or never if the link
// stays silent for too long.
func (s *sim) deliver(link *simLink, direction int, do func(), more ...any) {
	at := s.now + s.between(500*time.Microsecond, 4*time.Millisecond)
	if s.rng.Float64() < 0.01 {
		at += s.between(0, 300*time.Millisecond)
	}
	isCut := s.now < link.cut && (direction == 1 || !link.oneWay)
	if isCut {
		if link.cut-s.now > simSilence {
			return
		}
		at = link.cut + s.between(0, 200*time.Millisecond)
	}
	if len(more) == 2 {
		until := more[1].(func() time.Duration)()
		if until > s.now {
			if until-s.now > simSilence {
				return
			}
			at = max(at, until)
		}
	}
	at = max(at, link.last[direction])
	link.last[direction] = at
	epoch := link.epoch
	s.at(at, func() {
		if link.epoch == epoch {
			do()
		}
	})
}

// share is the part of all requests that come to this entry.
func (e *simEntry) share() float64 {
	total := 0.0
	for i := range e.s.entries {
		total += math.Pow(e.s.plan.skew, float64(i))
	}
	return math.Pow(e.s.plan.skew, float64(e.number)) / total
}

// arrive makes the entry's requests.
func (e *simEntry) arrive(started uint64) {
	s := e.s
	if !e.up || e.started != started {
		return
	}
	phase := min(int(s.now/simPhase), len(s.plan.demand)-1)
	perSecond := s.plan.demand[phase] * simCapRate * e.share() / s.plan.units
	gap := time.Duration(s.rng.ExpFloat64() / max(perSecond, 0.1) * float64(time.Second))
	s.after(min(gap, simPhase), func() {
		if !e.up || e.started != started {
			return
		}
		if s.now >= e.frozen && e.cap != nil && gap <= simPhase {
			units := uint64(max(1, s.plan.units*min(s.rng.ExpFloat64(), 6)))
			e.serve(&simRequest{sent: s.now - s.between(0, 5*time.Millisecond), units: units})
		}
		e.arrive(started)
	})
}

var simClass = quota.Class{Name: "only"}

// serve does what an entry does with a request: it asks, takes, and holds the request for a newer word where that may help.
func (e *simEntry) serve(r *simRequest) {
	e.s.asked += float64(r.units)
	e.cap.RecordDemand(r.units, simClass)
	r.deadline = e.s.now + simMaxHeld
	if !e.try(r) {
		e.waiting = append(e.waiting, r)
		started := e.started
		e.s.at(r.deadline, func() {
			if e.up && e.started == started {
				e.giveUp(r)
			}
		})
	}
	e.wake()
}

// try returns whether nothing more is to be done for a request.
func (e *simEntry) try(r *simRequest) bool {
	grant, _, ok := e.cap.Take(r.units, simClass)
	if ok {
		r.done = true
		e.admitted(r, grant)
		return true
	}
	if _, helps := e.cap.AwaitShare(r.units); helps {
		return false
	}
	e.giveUp(r)
	return true
}

func (e *simEntry) giveUp(r *simRequest) {
	if !r.done {
		r.done = true
		e.s.refused += float64(r.units)
	}
}

func (e *simEntry) retry() {
	waiting := e.waiting
	e.waiting = nil
	for _, r := range waiting {
		if !r.done && !e.try(r) {
			e.waiting = append(e.waiting, r)
		}
	}
}

// admitted has a request run after a while, or gives back what it took.
func (e *simEntry) admitted(r *simRequest, grant quota.Grant) {
	s := e.s
	started := e.started
	wait := min(time.Duration(s.rng.ExpFloat64()*float64(100*time.Millisecond)), simMaxService)
	if s.rng.Float64() < 0.1 {
		s.after(wait, func() {
			if e.up && e.started == started {
				grant.Refund()
			}
		})
		return
	}
	s.after(wait, func() {
		if e.up && e.started == started || wait < 5*time.Millisecond {
			s.runs = append(s.runs, simRun{sent: r.sent, ran: s.now, units: float64(r.units)})
		}
	})
}
