package entry

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/outbox"
	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
)

// input is an input of the scheduler goroutine: an event or a query.
type input struct {
	event sched.Event
	query func(*sched.Scheduler)
	at    time.Time // when it was queued, zero if that doesn't matter
}

// runScheduler runs the scheduler until ctx ends. No other goroutine accesses the scheduler.
func (e *Entry) runScheduler(ctx context.Context) error {
	ticks := pause.NewTimer(sched.MinTickInterval)
	defer ticks.Stop()
	samples := time.NewTicker(queueSampleInterval)
	defer samples.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticks.C():
			e.step(sched.Tick{})
			ticks.Rearm(e.scheduler.NextTick())
		case <-samples.C:
			e.sampleQueues()
		case in := <-e.inputs.C():
			e.handleInput(in)
			e.handleQueuedInputs()
			ticks.FireWithin(e.scheduler.NextTick())
		}
	}
}

func (e *Entry) handleQueuedInputs() {
	for range maxInputBatch {
		select {
		case in := <-e.inputs.C():
			e.handleInput(in)
		default:
			return
		}
	}
}

func (e *Entry) handleInput(in input) {
	if !in.at.IsZero() {
		now := time.Now()
		e.congestion.observe(now, now.Sub(in.at))
	}
	if in.query != nil {
		in.query(e.scheduler)
		return
	}
	e.step(in.event)
}

// step passes an event to the scheduler and executes the resulting actions. Events that these produce immediately are
// processed in order.
func (e *Entry) step(event sched.Event) {
	next := []sched.Event{event}
	if contact, ok := e.contactEvent(event); ok {
		next = []sched.Event{contact, event}
	}
	defer e.sampleRollouts(event)
	defer e.sampleDemand()
	for len(next) > 0 {
		event, next = next[0], next[1:]
		e.noteReceived(event)
		actions := e.scheduler.Step(e.now(), event)
		e.inFlight.Store(int64(e.scheduler.InFlight()))
		e.count(actions)
		for _, action := range actions {
			if resulting := e.execute(action); resulting != nil {
				next = append(next, resulting)
			}
		}
		e.noteBuffered(event)
	}
}

// count adds the counts of a step before its other actions, so that a request whose caller has its answer is counted.
func (e *Entry) count(actions []sched.Action) {
	for _, action := range actions {
		if counted, ok := action.(sched.Count); ok {
			e.meter.count(counted)
		}
	}
}

// execute executes one action without blocking. It returns the event that the action produces immediately, or nil.
func (e *Entry) execute(action sched.Action) sched.Event {
	switch a := action.(type) {
	case sched.Send:
		e.noteSent(a)
		if a.Message.GetDispatch() != nil {
			e.reached(phaseDispatched)
		}
		e.links.send(a)
	case sched.Deliver:
		e.calls.deliver(a.Request, a.Events)
	case sched.StreamBegan:
		e.origins.began(e.calls.get(a.Request), a)
	case sched.Answer:
		e.calls.complete(a)
	case sched.Fail:
		e.fail(a)
	case sched.WidenCandidates:
		return e.widen(a)
	case sched.ProveAtEngine:
		e.prover.start(a)
	case sched.ReportCrash:
		e.outbox.Put(outbox.CrashReport(a.Note))
	case sched.ClearPoison:
		for _, record := range a.Records {
			e.outbox.Put(clearReport(record))
		}
	case sched.RolloutChanged:
		e.logRollout(a)
	case sched.RetryDecided:
		e.logRetry(a)
	case sched.ShareChanged:
		e.logShare(a)
	case sched.Count:
		// Counted by count.
	}
	return nil
}

// fail closes a call, with the state of its attempts.
func (e *Entry) fail(a sched.Fail) {
	explanation, known := e.scheduler.Explain(a.Request)
	attempts := attemptSummary{anySent: true}
	if known {
		attempts.anySent = len(explanation.Attempts) > 0
		attempts.allEnded = allAttemptsProved(explanation)
	}
	e.calls.fail(a, attempts)
}

func allAttemptsProved(explanation sched.Explanation) bool {
	for _, attempt := range explanation.Attempts {
		if !attempt.Proved {
			return false
		}
	}
	return true
}

// postEvent passes an event to the scheduler goroutine. While the ring is full it waits, until ctx ends.
func (e *Entry) postEvent(ctx context.Context, event sched.Event) error {
	return e.inputs.Push(ctx, input{event: event, at: time.Now()})
}

// queryScheduler runs query in the scheduler goroutine and waits until it returns.
func (e *Entry) queryScheduler(ctx context.Context, query func(*sched.Scheduler)) error {
	done := make(chan struct{})
	in := input{query: func(s *sched.Scheduler) {
		query(s)
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
	case <-e.runContext.Done():
		return result.New(result.Stopping, "")
	}
}

// inBackground starts work requested by the scheduler. It returns false if too much is already in progress.
func (e *Entry) inBackground(work func(context.Context)) bool {
	select {
	case e.backgroundSlots <- struct{}{}:
	default:
		return false
	}
	e.background.Go(func() {
		defer func() { <-e.backgroundSlots }()
		work(e.runContext)
	})
	return true
}
