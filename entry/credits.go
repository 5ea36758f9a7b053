package entry

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/holding"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// readerChecks is the number of checks of all readers in the time after which one that reads nothing is cut off. Lost
// credits are repeated with the same period.
const readerChecks = 8

// runReaders ends calls whose callers read nothing, and repeats credits, until ctx ends.
func (e *Entry) runReaders(ctx context.Context) error {
	ticker := time.NewTicker(max(e.settings.Memory.ReaderTimeout/readerChecks, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			e.memory.checkReaders(e.now())
			e.repeatCredits()
			e.meter.setHeldByOrganisation(e.memory.heldByOrganisation())
		}
	}
}

// noteSent begins the credits of an attempt that is about to be dispatched. The first one tells the agent the window. It
// goes before the body, so that the agent knows the window when the answer begins.
func (e *Entry) noteSent(a sched.Send) {
	d := a.Message.GetDispatch()
	if e.memory == nil || d == nil {
		return
	}
	c := e.calls.get(d.GetAttempt().GetRequest())
	if c == nil || !c.request.Stream {
		return
	}
	c.mu.Lock()
	c.flow.begin(d.GetAttempt(), a.Agent, a.Incarnation)
	c.mu.Unlock()
	e.sendCredit(c)
}

// noteReceived handles what an event means for the bytes held. It is called before the scheduler's step.
//
// The first credit may be lost; so it is repeated when the attempt begins, and when the link has opened again.
func (e *Entry) noteReceived(event sched.Event) {
	if e.memory == nil {
		return
	}
	switch event := event.(type) {
	case sched.AgentUp:
		for _, h := range e.memory.submitted() {
			if h.call.sentTo(event.Hello.GetAgent(), event.Hello.GetIncarnation()) {
				e.sendCredit(h.call)
			}
		}
	case sched.MessageReceived:
		if started := event.Message.GetStarted(); started != nil {
			if c := e.calls.get(started.GetAttempt().GetRequest()); c != nil && c.sentTo(event.Agent, event.Incarnation) {
				e.sendCredit(c)
			}
		}
		if frame := event.Message.GetFrame(); frame != nil {
			e.noteFrame(frame.GetAttempt().GetRequest())
		}
	}
}

// noteFrame records that the agent sends, and tells the scheduler if the pause before was the caller's own.
func (e *Entry) noteFrame(request string) {
	c := e.calls.get(request)
	if c == nil {
		return
	}
	c.mu.Lock()
	waited := c.flow.hasWaited
	c.flow.hasWaited = false
	c.flow.heardAt = e.now()
	c.mu.Unlock()
	if waited {
		e.scheduler.ReaderWaited(request)
	}
}

// noteBuffered counts what the scheduler has collected of an answer that is delivered in one piece. It is called after
// the scheduler's step.
func (e *Entry) noteBuffered(event sched.Event) {
	if e.memory == nil {
		return
	}
	received, ok := event.(sched.MessageReceived)
	if !ok || received.Message.GetFrame() == nil {
		return
	}
	c := e.calls.get(received.Message.GetFrame().GetAttempt().GetRequest())
	if c == nil || c.request.Stream {
		return
	}
	if held := c.account(); c.request.Key == "" {
		held.set(holding.Assembled, e.scheduler.BufferedBytes(c.request.ID))
	}
}

// sentTo reports whether the present attempt was sent to an incarnation of an agent.
func (c *call) sentTo(agent string, incarnation uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.flow.attempt != nil && c.flow.agent == agent && c.flow.incarnation == incarnation
}

// sendCredit sends the newest credit of a call's attempt. It may be lost, see repeatCredits.
func (e *Entry) sendCredit(c *call) {
	c.mu.Lock()
	if c.flow.attempt == nil || c.ended {
		c.mu.Unlock()
		return
	}
	credit, agent, incarnation := c.flow.credit(e.now()), c.flow.agent, c.flow.incarnation
	c.mu.Unlock()
	message := &wire.EntryMessage{Kind: &wire.EntryMessage_Credit{Credit: credit}}
	e.links.send(sched.Send{Agent: agent, Incarnation: incarnation, Message: message})
}

// wrote records that a part of an answer was written to the caller, or is kept for it elsewhere.
func (e *Entry) wrote(c *call, n int) {
	c.mu.Lock()
	if c.held == nil {
		c.mu.Unlock()
		return
	}
	c.held.release(holding.Pinned, n)
	due := c.flow.wrote(n)
	c.mu.Unlock()
	if due {
		e.sendCredit(c)
	}
}

// repeatCredits sends the credits again that an agent may be waiting for although they were sent. Without it, an attempt
// whose last credit was lost, or too small to be sent, would never go on: the caller has read everything, so nothing new
// is written.
func (e *Entry) repeatCredits() {
	now, interval := e.now(), e.settings.Memory.ReaderTimeout/readerChecks
	for _, h := range e.memory.submitted() {
		c := h.call
		c.mu.Lock()
		due := !c.ended && c.flow.repeatIsDue(now, interval)
		c.mu.Unlock()
		if due {
			e.meter.add(metricCreditsRepeated, 1)
			e.sendCredit(c)
		}
	}
}
