package agent

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
)

// input is something that a gate duty takes from its ring.
type input interface {
	apply(s *server, now time.Time)
}

// gateEvent is an input that goes to the gate as it is.
type gateEvent struct{ event gate.Event }

func (in gateEvent) apply(s *server, now time.Time) {
	s.step(now, in.event)
}

// followUp is an event that a step led to.
type followUp struct {
	event   gate.Event
	refusal refusal
}

// run is the gate duty. It returns only when ctx ends.
func (s *server) run(ctx context.Context) {
	s.base = ctx
	ticks := pause.NewTimer(gate.TickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			s.abandonRuns()
			return
		case in := <-s.inputs.C():
			s.take(in)
			ticks.FireWithin(s.nextTick())
		case now := <-ticks.C():
			s.sendUnsent()
			s.noteDeparture(now)
			s.shareAdvice(now)
			s.step(now, gate.Tick{})
			ticks.Rearm(s.nextTick())
		}
	}
}

// nextTick is when the duty has to look again, whatever comes meanwhile.
func (s *server) nextTick() time.Duration {
	if s.unsent.any() || s.leaving.asked {
		return gate.TickInterval
	}
	return s.gate.NextTick()
}

// take applies an input and what else is on the ring, up to inputBatch, so that ticks keep their turn.
func (s *server) take(in input) {
	now := time.Now()
	in.apply(s, now)
	for range inputBatch {
		select {
		case in = <-s.inputs.C():
			in.apply(s, now)
		default:
			return
		}
	}
}

// step gives an event to the gate, carries out what it wants, and goes on with what follows from that.
func (s *server) step(now time.Time, event gate.Event) {
	s.stepRefusing(now, event, refusal{})
}

// stepRefusing is step for an event by which the gate refuses an attempt for a reason that only the agent knows.
func (s *server) stepRefusing(now time.Time, event gate.Event, why refusal) {
	s.follow = append(s.follow, followUp{event: event, refusal: why})
	for len(s.follow) > 0 {
		next := s.follow[0]
		s.follow = s.follow[1:]
		s.refusing = next.refusal
		for _, action := range s.gate.Step(now, next.event) {
			s.perform(now, action)
		}
	}
	s.refusing = refusal{}
}

// then lets an event follow the present step.
func (s *server) then(event gate.Event, why refusal) {
	s.follow = append(s.follow, followUp{event: event, refusal: why})
}

// refusal names an attempt that the agent refuses, and why. A zero code refuses nothing.
type refusal struct {
	key  attemptKey
	code result.Code
}

// abandonRuns lets go of what still runs when the agent ends.
func (s *server) abandonRuns() {
	for _, r := range s.runs {
		r.close()
		r.stop()
	}
	closeClient(s.client)
}
