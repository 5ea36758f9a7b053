package agent

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/gate"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
)

// input is an element of an event loop's ring.
type input interface {
	apply(s *server, now time.Time)
}

// gateEvent is an input that is passed to the gate as it is.
type gateEvent struct{ event gate.Event }

func (in gateEvent) apply(s *server, now time.Time) {
	s.step(now, in.event)
}

// pendingEvent is an event that resulted from a step.
type pendingEvent struct {
	event   gate.Event
	refusal refusal
}

// run is the event loop of the server. It returns only when ctx ends.
func (s *server) run(ctx context.Context) {
	s.base = ctx
	ticks := pause.NewTimer(gate.TickInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			s.closeRuns()
			return
		case in := <-s.inputs.C():
			s.applyBatch(in)
			ticks.FireWithin(s.nextTick())
		case now := <-ticks.C():
			s.sendUnsent()
			s.updateDeparted(now)
			s.proposeAdvice(now)
			s.dropExpired(now)
			s.step(now, gate.Tick{})
			ticks.Rearm(s.nextTick())
		}
	}
}

// nextTick returns the time until the loop's next tick, if no input arrives before.
func (s *server) nextTick() time.Duration {
	if s.unsent.any() || s.leaving.requested {
		return gate.TickInterval
	}
	return s.gate.NextTick()
}

// applyBatch applies an input and what else is on the ring, up to maxInputBatch, so that ticks are not starved.
func (s *server) applyBatch(in input) {
	now := time.Now()
	in.apply(s, now)
	for range maxInputBatch {
		select {
		case in = <-s.inputs.C():
			in.apply(s, now)
		default:
			return
		}
	}
}

// step passes an event to the gate and carries out its actions, and then does the same for all pending events.
func (s *server) step(now time.Time, event gate.Event) {
	s.stepWithRefusal(now, event, refusal{})
}

// stepWithRefusal is step for an event by which the gate refuses an attempt for a reason that only the agent knows.
func (s *server) stepWithRefusal(now time.Time, event gate.Event, reason refusal) {
	s.pending = append(s.pending, pendingEvent{event: event, refusal: reason})
	for len(s.pending) > 0 {
		next := s.pending[0]
		s.pending = s.pending[1:]
		s.currentRefusal = next.refusal
		for _, action := range s.gate.Step(now, next.event) {
			s.perform(now, action)
		}
	}
	s.currentRefusal = refusal{}
}

// enqueue adds an event to be handled after the current step.
func (s *server) enqueue(event gate.Event, reason refusal) {
	s.pending = append(s.pending, pendingEvent{event: event, refusal: reason})
}

// refusal is an attempt that the agent refuses, and the code. A zero code refuses nothing.
type refusal struct {
	key  attemptKey
	code result.Code
}

// closeRuns disconnects the attempts that still run when the agent ends.
func (s *server) closeRuns() {
	s.dropAllSuspended()
	for _, r := range s.runs {
		r.close()
		r.disconnect()
	}
	closeClient(s.client)
}
