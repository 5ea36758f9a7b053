package entry

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/outbox"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
)

// input is one thing for the scheduler duty: an event, or a question.
type input struct {
	event sched.Event
	ask   func(*sched.Scheduler)
}

// schedulerDuty is the only one that touches the scheduler.
func (e *Entry) schedulerDuty(ctx context.Context) error {
	ticks := pause.NewTimer(sched.MinTickInterval)
	defer ticks.Stop()
	looks := time.NewTicker(lookInterval)
	defer looks.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C():
			e.step(sched.Tick{})
			ticks.Fired(e.scheduler.NextTick())
		case <-looks.C:
			e.look()
		case in := <-e.inputs.C():
			e.take(in)
			e.takeMore()
			ticks.Within(e.scheduler.NextTick())
		}
	}
}

func (e *Entry) takeMore() {
	for range inputBatch {
		select {
		case in := <-e.inputs.C():
			e.take(in)
		default:
			return
		}
	}
}

func (e *Entry) take(in input) {
	if in.ask != nil {
		in.ask(e.scheduler)
		return
	}
	e.step(in.event)
}

// step passes an event to the scheduler and does what it says. Events that come of that at once follow in order.
func (e *Entry) step(event sched.Event) {
	next := []sched.Event{event}
	for len(next) > 0 {
		event, next = next[0], next[1:]
		for _, action := range e.scheduler.Step(e.now(), event) {
			if follow := e.execute(action); follow != nil {
				next = append(next, follow)
			}
		}
	}
}

// execute does one action without waiting. It returns the event that follows at once, nil for none.
func (e *Entry) execute(action sched.Action) sched.Event {
	switch a := action.(type) {
	case sched.Send:
		e.links.send(a)
	case sched.Deliver:
		e.calls.deliver(a.Request, a.Events)
	case sched.Answer:
		e.calls.answer(a)
	case sched.Fail:
		e.fail(a)
	case sched.WidenCandidates:
		return e.widen(a)
	case sched.ProveAtEngine:
		e.prover.ask(a)
	case sched.ReportCrash:
		e.outbox.Put(outbox.CrashReport(a.Note))
	case sched.ClearPoison:
		for _, record := range a.Records {
			e.outbox.Put(clearReport(record))
		}
	case sched.Count:
		e.meter.count(a)
	}
	return nil
}

// fail closes a call, and says whether attempts of it may still be running.
func (e *Entry) fail(a sched.Fail) {
	explanation, known := e.scheduler.Explain(a.Request)
	fate := fate{sent: true}
	if known {
		fate.sent = len(explanation.Attempts) > 0
		fate.over = attemptsOver(explanation)
	}
	e.calls.fail(a, fate)
}

func attemptsOver(explanation sched.Explanation) bool {
	for _, attempt := range explanation.Attempts {
		if !attempt.Proved {
			return false
		}
	}
	return true
}

// tell passes an event to the scheduler duty, and waits while its ring is full, until ctx ends.
func (e *Entry) tell(ctx context.Context, event sched.Event) error {
	return e.inputs.Push(ctx, input{event: event})
}

// ask runs a question in the scheduler duty and waits for its end.
func (e *Entry) ask(ctx context.Context, question func(*sched.Scheduler)) error {
	done := make(chan struct{})
	in := input{ask: func(s *sched.Scheduler) {
		question(s)
		close(done)
	}}
	if !e.inputs.TryPush(in) {
		return result.New(result.RingFull, "")
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-e.base.Done():
		return result.New(result.Stopping, "")
	}
}

// inBackground runs work that the scheduler asked for, unless too much is under way.
func (e *Entry) inBackground(work func(context.Context)) bool {
	select {
	case e.slots <- struct{}{}:
	default:
		return false
	}
	e.background.Go(func() {
		defer func() { <-e.slots }()
		work(e.base)
	})
	return true
}
