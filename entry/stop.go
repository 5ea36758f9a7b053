package entry

import (
	"context"
	"time"

	"github.com/carawaypitch/carawaypitch/pause"
	"github.com/carawaypitch/carawaypitch/wire"
)

const (
	// unreadReserve is the time before the end of the drain at which requests that have not been read whole are refused.
	unreadReserve = time.Second
	// lastHeadTimeout bounds reading the heads that have begun when the drained entry closes its connections.
	lastHeadTimeout = 300 * time.Millisecond
	// lastAnswerTimeout bounds writing the last answers, until the end of the drain, and for lastAnswerReserve if that has come.
	lastAnswerTimeout = time.Second
	lastAnswerReserve = 200 * time.Millisecond
	// deregisterReserve is the time after that until which control may confirm that the entry has ended.
	deregisterReserve = 50 * time.Millisecond
)

// runStop waits until stop ends, then stops the entry gracefully. It returns early if the other goroutines end.
//
// Requests are read and answered with the help of all other goroutines, which end when runStop returns. So it returns only
// when no request is open any more, or when the time is over.
func (e *Entry) runStop(stop, groupContext context.Context) error {
	select {
	case <-stop.Done():
	case <-groupContext.Done():
		return nil
	}
	end := time.Now().Add(e.settings.Timing.Leave + e.settings.Timing.Drain)
	e.drainDeadline.Store(&end)
	e.announceLeaving(groupContext)
	e.stopping.Store(true)
	e.requests.closeKept()
	e.log.WithFields(e.requests.fields()).WithField("active", e.active.Load()).Info("entry_stopping")
	if !e.drain(groupContext, end) {
		// Cut the requests still in flight while callers' connections can still be closed in order.
		e.calls.failAll()
	}
	if last := time.Now().Add(lastAnswerReserve); last.After(end) {
		end = last
	}
	e.endConnections(groupContext, end)
	e.deregister(groupContext, end.Add(deregisterReserve))
	return nil
}

// announceLeaving reports the entry as not ready for settings.Timing.Leave before anything is refused.
//
// A load balancer keeps sending connections until its next readiness check. If they were refused at once, callers would
// see errors caused by the shutdown although other entries are available.
func (e *Entry) announceLeaving(ctx context.Context) {
	if e.settings.Timing.Leave <= 0 {
		return
	}
	e.leaving.Store(true)
	e.log.WithFields(e.requests.fields()).WithField("active", e.active.Load()).WithField("for", e.settings.Timing.Leave).Info("entry_leaving")
	pause.For(ctx, e.settings.Timing.Leave)
}

// drain waits until all requests that began before the entry was stopping have been answered. Those that have not been
// read whole shortly before the end are refused. It returns false if there are requests left at the end.
func (e *Entry) drain(ctx context.Context, end time.Time) bool {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	for e.active.Load() > 0 || e.requests.inDrain() > 0 {
		if time.Until(end) <= unreadReserve {
			e.requests.refuseUnread()
		}
		if !pause.For(ctx, drainPollInterval) {
			e.log.WithFields(e.requests.fields()).WithField("active", e.active.Load()).Warn("drain_timed_out")
			return false
		}
	}
	return true
}

// endConnections closes the callers' listener and the connections between two requests, and waits until the last requests,
// which are all refused, have their answers.
func (e *Entry) endConnections(ctx context.Context, end time.Time) {
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	e.requests.close()
	e.listener.Close()
	hasTime := time.Until(end) >= lastHeadTimeout+lastAnswerReserve
	if hasTime && e.awaitNoRequests(ctx, lastHeadTimeout) {
		return
	}
	ctx, cancel = context.WithTimeout(ctx, lastAnswerTimeout)
	defer cancel()
	for e.requests.open() > 0 {
		e.requests.refuseUnread()
		if !pause.For(ctx, drainPollInterval) {
			return
		}
	}
}

// answerRemaining ends the requests that are open when the goroutines end that serve them: none after runStop, all if another
// goroutine has ended by itself. It waits no longer than a planned stop may take.
func (e *Entry) answerRemaining(ctx context.Context) {
	e.stopping.Store(true)
	e.requests.close()
	e.listener.Close()
	timeout := lastAnswerTimeout
	if end := e.drainDeadline.Load(); end != nil {
		timeout = min(timeout, time.Until(*end))
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for e.requests.open() > 0 {
		e.calls.failAll()
		e.requests.refuseUnread()
		if !pause.For(ctx, drainPollInterval) {
			return
		}
	}
}

// awaitNoRequests waits until no request is open. It returns false if that takes too long.
func (e *Entry) awaitNoRequests(ctx context.Context, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for e.requests.open() > 0 {
		if !pause.For(ctx, drainPollInterval) {
			return false
		}
	}
	return true
}

// deregister tells control that this incarnation has ended, so that its open records may be taken over immediately. It takes no longer
// than until a time, after which the process may be killed.
func (e *Entry) deregister(ctx context.Context, end time.Time) {
	ctx, cancel := context.WithTimeout(ctx, min(deregisterTimeout, time.Until(end)))
	defer cancel()
	command := &wire.Command{Kind: &wire.Command_EndEntry{EndEntry: &wire.EndEntry{
		Entry:       e.settings.Instance,
		Incarnation: e.incarnation,
	}}}
	if _, err := e.control.Propose(ctx, command); err != nil {
		e.log.WithError(err).Warn("deregister_failed")
	}
}
