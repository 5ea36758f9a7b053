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

func (e *simEntry) start() {
	s := e.s
	e.up = true
	e.incarnation++
	incarnation := e.incarnation
	e.caps = quota.NewCaps(e.name(), incarnation, quota.Clock{Now: func() time.Time { return s.clock().Add(e.clockOffset) }, SinceBoot: func() time.Duration { return time.Hour + s.now }},
		quota.Tolerance{Window: simWindow, Overrun: simOverrun})
	e.caps.SetEntries(len(s.entries))
	e.cap, e.knownCap = nil, -1
	for i := range s.controls {
		s.links[e.number][i].epoch++
		e.pollLater(i, incarnation, s.between(0, 50*time.Millisecond))
	}
	var learn func()
	learn = func() {
		if !e.up || e.incarnation != incarnation {
			return
		}
		if s.hasQuorum() && e.reachesControl() {
			e.learnCap()
		}
		s.after(s.between(20*time.Millisecond, time.Second), learn)
	}
	s.after(s.between(0, 200*time.Millisecond), learn)
	s.after(s.between(0, 50*time.Millisecond), func() { e.arrive(incarnation) })
	e.registered = false
	e.register(incarnation)
	e.proposeLoop(incarnation)
}

// register adds the entry to the directory, and retries until the outcome is known.
func (e *simEntry) register(incarnation uint64) {
	command := &wire.Command{Kind: &wire.Command_RegisterEntry{RegisterEntry: &wire.RegisterEntry{
		Entry: &wire.EntryRecord{Entry: e.name(), Incarnation: incarnation},
	}}}
	e.propose(command, func(res *wire.CommandResult) {
		if res == nil {
			e.register(incarnation)
			return
		}
		e.registered = true
		e.proposeShares()
	})
}

// proposeLoop proposes share changes at each MoveInterval.
func (e *simEntry) proposeLoop(incarnation uint64) {
	if !e.up || e.incarnation != incarnation {
		return
	}
	e.proposeShares()
	e.s.after(quota.MoveInterval, func() { e.proposeLoop(incarnation) })
}

func (e *simEntry) proposeShares() {
	if e.s.now < e.frozenUntil || !e.registered {
		return
	}
	move := e.caps.NextProposal()
	if move == nil {
		return
	}
	e.propose(&wire.Command{Kind: &wire.Command_MoveShares{MoveShares: move}}, func(res *wire.CommandResult) {
		if res.GetCode() == uint32(result.AttemptSuperseded) && e.isEnded() {
			e.kill()
			e.s.after(10*time.Millisecond, e.start)
			return
		}
		e.caps.ProposalEnded(move, res)
		e.retryWaiting()
		e.wake()
	})
}

// isEnded reports whether control has ended this incarnation of the entry.
func (e *simEntry) isEnded() bool { return e.s.directoryIncarnation(e) == 0 }

// wake proposes share changes at once if a share has run short.
func (e *simEntry) wake() {
	select {
	case <-e.caps.Wake():
		e.proposeShares()
	default:
	}
}

// reachesControl reports whether the entry is connected to any running control instance.
func (e *simEntry) reachesControl() bool {
	for i, c := range e.s.controls {
		if c.up && e.s.now >= c.frozenUntil && e.s.now >= e.s.links[e.number][i].cutUntil {
			return true
		}
	}
	return false
}

func (e *simEntry) learnCap() {
	if e.knownCap == len(e.s.caps)-1 {
		return
	}
	e.knownCap = len(e.s.caps) - 1
	change := e.s.caps[e.knownCap]
	e.cap = e.caps.Configure(&wire.Member{Name: simOrg, RatePerS: uint64(change.rate), Burst: uint64(change.burst)})
}

func (e *simEntry) kill() {
	e.up = false
	e.incarnation++ // invalidates the events scheduled for the process
	e.waiting = nil
}

func (e *simEntry) pollLater(control int, incarnation uint64, d time.Duration) {
	e.s.after(d, func() {
		if !e.up || e.incarnation != incarnation {
			return
		}
		e.poll(control)
		e.pollLater(control, incarnation, simPoll)
	})
}

// poll sends the entry's usage to a control instance and applies the response.
func (e *simEntry) poll(control int) {
	s := e.s
	if s.now < e.frozenUntil {
		return
	}
	link, c := s.links[e.number][control], s.controls[control]
	if !c.up {
		return
	}
	message := &wire.Poll{Usage: e.caps.Usage(), UsageWindowMs: uint32(simWindow.Milliseconds()), SinceBootMs: uint64((time.Hour + s.now).Milliseconds())}
	entryIncarnation, controlIncarnation, requestedAt := e.incarnation, c.incarnation, time.Hour+s.now
	s.deliver(link, 0, func() {
		if !c.up || c.incarnation != controlIncarnation {
			return
		}
		e.lastPoll = s.now
		states := c.ledger.Record(quota.Incarnation{Instance: e.name(), Number: entryIncarnation}, message, s.clock())
		confirmDelay := s.between(2*time.Millisecond, 10*time.Millisecond)
		if s.rng.Float64() < 0.02 {
			confirmDelay = s.between(0, simMaxReadDelay)
		}
		if !s.hasQuorum() {
			return
		}
		s.after(confirmDelay, func() {
			if !c.up || c.incarnation != controlIncarnation || !s.hasQuorum() {
				return
			}
			s.deliver(link, 1, func() {
				if e.up && e.incarnation == entryIncarnation {
					e.caps.RenewLease(requestedAt)
					e.caps.ApplyStates(states)
					e.wake()
				}
			})
		})
	}, func() bool { return c.up && s.now >= c.frozenUntil }, func() time.Duration { return c.frozenUntil })
}

// deliver passes a message over a link, in order. A partition or a frozen process delays it, or drops it if it lasts
// longer than the link's timeout.
func (s *sim) deliver(link *simLink, direction int, do func(), more ...any) {
	at := s.now + s.between(500*time.Microsecond, 4*time.Millisecond)
	if s.rng.Float64() < 0.01 {
		at += s.between(0, 300*time.Millisecond)
	}
	isCut := s.now < link.cutUntil && (direction == 1 || !link.oneWay)
	if isCut {
		if link.cutUntil-s.now > simLinkTimeout {
			return
		}
		at = link.cutUntil + s.between(0, 200*time.Millisecond)
	}
	if len(more) == 2 {
		until := more[1].(func() time.Duration)()
		if until > s.now {
			if until-s.now > simLinkTimeout {
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

// requestShare returns the fraction of all requests that this entry receives.
func (e *simEntry) requestShare() float64 {
	total := 0.0
	for i := range e.s.entries {
		total += math.Pow(e.s.plan.skew, float64(i))
	}
	return math.Pow(e.s.plan.skew, float64(e.number)) / total
}

// arrive generates the entry's requests.
func (e *simEntry) arrive(incarnation uint64) {
	s := e.s
	if !e.up || e.incarnation != incarnation {
		return
	}
	phase := min(int(s.now/simPhase), len(s.plan.demand)-1)
	perSecond := s.plan.demand[phase] * simCapRate * e.requestShare() / s.plan.units
	gap := time.Duration(s.rng.ExpFloat64() / max(perSecond, 0.1) * float64(time.Second))
	s.after(min(gap, simPhase), func() {
		if !e.up || e.incarnation != incarnation {
			return
		}
		if s.now >= e.frozenUntil && e.cap != nil && gap <= simPhase {
			units := uint64(max(1, s.plan.units*min(s.rng.ExpFloat64(), 6)))
			e.serve(&simRequest{sent: s.now - s.between(0, 5*time.Millisecond), units: units})
		}
		e.arrive(incarnation)
	})
}

var simClass = quota.Class{Name: "only"}

// serve handles a request as an entry does: it records the demand, tries to take the units, and holds the request if a
// larger share could admit it.
func (e *simEntry) serve(r *simRequest) {
	e.s.requested += float64(r.units)
	e.cap.RecordDemand(r.units, simClass)
	r.deadline = e.s.now + simMaxWait
	if !e.try(r) {
		e.waiting = append(e.waiting, r)
		incarnation := e.incarnation
		e.s.at(r.deadline, func() {
			if e.up && e.incarnation == incarnation {
				e.refuse(r)
			}
		})
	}
	e.wake()
}

// try reports whether the request was admitted or refused.
func (e *simEntry) try(r *simRequest) bool {
	grant, _, ok := e.cap.Take(r.units, simClass)
	if ok {
		r.done = true
		e.runAdmitted(r, grant)
		return true
	}
	if _, helps := e.cap.AwaitShare(r.units); helps {
		return false
	}
	e.refuse(r)
	return true
}

func (e *simEntry) refuse(r *simRequest) {
	if !r.done {
		r.done = true
		e.s.refused += float64(r.units)
	}
}

func (e *simEntry) retryWaiting() {
	waiting := e.waiting
	e.waiting = nil
	for _, r := range waiting {
		if !r.done && !e.try(r) {
			e.waiting = append(e.waiting, r)
		}
	}
}

// runAdmitted runs a request after a delay, or refunds its units.
func (e *simEntry) runAdmitted(r *simRequest, grant quota.Grant) {
	s := e.s
	incarnation := e.incarnation
	wait := min(time.Duration(s.rng.ExpFloat64()*float64(100*time.Millisecond)), simMaxService)
	if s.rng.Float64() < 0.1 {
		s.after(wait, func() {
			if e.up && e.incarnation == incarnation {
				grant.Refund()
			}
		})
		return
	}
	s.after(wait, func() {
		if e.up && e.incarnation == incarnation || wait < 5*time.Millisecond {
			s.runs = append(s.runs, simRun{sent: r.sent, ran: s.now, units: float64(r.units)})
		}
	})
}
