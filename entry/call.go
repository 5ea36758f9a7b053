package entry

import (
	"context"
	"maps"
	"slices"
	"sync"

	"github.com/carawaypitch/carawaypitch/holding"
	"github.com/carawaypitch/carawaypitch/inbound"
	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// call is a request in progress. The scheduler goroutine adds events to it, and another goroutine passes them to the
// caller.
type call struct {
	request  *sched.Request
	maxBytes int // bound on the bytes of events that wait to be read

	mu       sync.Mutex
	wake     chan struct{}
	events   [][]byte
	bytes    int
	overflow bool
	ended    bool
	end      *wire.AnswerEnd // set if the answer is complete
	err      *result.Error   // set on failure
	attempts attemptSummary
	trace    sched.Trace // set in both cases

	stream  streamOrigin // what began the answer
	written written      // used by the goroutine that serves the caller

	body *inbound.Kept // held until the call has ended

	held *heldCall     // nil if nothing is counted
	flow readerFlow    // not followed if nothing is counted
	cut  *result.Error // why the call was ended by this process, nil if it wasn't
}

// attemptSummary is the state of the attempts of a failed request.
type attemptSummary struct {
	anySent  bool // at least one attempt was dispatched
	allEnded bool // all attempts are proven to have ended
}

func newCall(request *sched.Request, maxBytes int, held *heldCall) *call {
	c := &call{request: request, maxBytes: maxBytes, wake: make(chan struct{}, 1), held: held}
	c.flow.window = held.window()
	return c
}

// delivery holds the events and the outcome added to a call since the previous delivery.
type delivery struct {
	events   [][]byte
	ended    bool
	end      *wire.AnswerEnd
	err      *result.Error
	attempts attemptSummary
	trace    sched.Trace
}

// next waits until there are events or an outcome, or until ctx ends.
func (c *call) next(ctx context.Context) (delivery, error) {
	for {
		if d, ok := c.poll(); ok {
			return d, nil
		}
		select {
		case <-c.wake:
		case <-ctx.Done():
			return delivery{}, context.Cause(ctx)
		}
	}
}

func (c *call) poll() (delivery, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut != nil {
		return delivery{ended: true, err: c.cut}, true
	}
	if c.overflow {
		return delivery{ended: true, err: result.New(result.AnswerTooLarge, "the caller reads too slowly").WithRan(result.RanYes)}, true
	}
	d := delivery{events: c.takeEvents()}
	if len(c.events) == 0 {
		d.ended, d.end, d.err, d.attempts, d.trace = c.ended, c.end, c.err, c.attempts, c.trace
	}
	return d, len(d.events) > 0 || d.ended
}

// takeEvents removes the waiting events, or the first of them if they are counted. The lock must be held.
func (c *call) takeEvents() [][]byte {
	if c.held == nil {
		events := c.events
		c.events, c.bytes = nil, 0
		return events
	}
	size, n := 0, 0
	for n < len(c.events) && (n == 0 || size+len(c.events[n]) <= maxWriteBytes) {
		size += len(c.events[n])
		n++
	}
	events := slices.Clone(c.events[:n])
	clear(c.events[:n])
	c.events = c.events[n:]
	c.bytes -= size
	c.held.move(c.held.kind(holding.Waiting), holding.Pinned, size)
	return events
}

// update changes the call, unless it has ended, and wakes the goroutine that follows it.
func (c *call) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		change()
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// add appends events. If the caller reads too slowly and the waiting events exceed the bound, they are dropped and the
// stream ends without [DONE].
func (c *call) add(events [][]byte) {
	for _, event := range events {
		c.bytes += len(event)
	}
	if c.bytes > c.maxBytes {
		c.overflow = true
		c.events = nil
		c.held.release(c.held.kind(holding.Waiting), c.bytes)
		return
	}
	c.events = append(c.events, events...)
	c.flow.deliver(events)
}

func (c *call) overflowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overflow
}

// endedHere reports whether the call was ended by this process, so that the scheduler has to be told.
func (c *call) endedHere() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overflow || c.cut != nil
}

// calls holds the requests known to the scheduler, by ID.
type calls struct {
	mu  sync.Mutex
	all map[string]*call
}

func newCalls() *calls {
	return &calls{all: make(map[string]*call)}
}

// register adds a call. It returns false if the request ID is in use.
func (c *calls) register(call *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all[call.request.ID] != nil {
		return false
	}
	c.all[call.request.ID] = call
	return true
}

func (c *calls) remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.all, id)
}

func (c *calls) get(id string) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all[id]
}

// list returns all calls.
func (c *calls) list() []*call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Values(c.all))
}

// visibleTo returns up to maxListedRequests of the requests that the viewer may see.
func (c *calls) visibleTo(viewer requestViewer) []*sched.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []*sched.Request
	for _, call := range c.all {
		if viewer.maySee(call.request.Organisation) && len(found) < maxListedRequests {
			found = append(found, call.request)
		}
	}
	return found
}

func (c *calls) deliver(id string, events [][]byte) {
	call := c.get(id)
	if call == nil {
		return
	}
	if call.holdEvents(events) {
		call.update(func() { call.add(events) })
		return
	}
	call.dropEvents()
	call.account().end(endedForMemory, 0) // unless it has ended
}

func (c *calls) complete(a sched.Answer) {
	id := a.Request
	call := c.get(id)
	if call == nil {
		return
	}
	c.remove(id)
	call.update(func() { call.ended, call.end, call.trace = true, a.End, a.Trace })
	call.body.Release()
}

func (c *calls) fail(a sched.Fail, attempts attemptSummary) {
	id := a.Request
	call := c.get(id)
	if call == nil {
		return
	}
	c.remove(id)
	call.update(func() { call.ended, call.err, call.attempts, call.trace = true, a.Err, attempts, a.Trace })
	call.body.Release()
}

// failAll ends the remaining calls when the goroutines that serve them end. The outcome of these requests can
// no longer be determined.
func (c *calls) failAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := result.New(result.UnprovenAttemptAtDeadline, "the entry instance stopped before the answer came")
	for id, call := range c.all {
		delete(c.all, id)
		call.update(func() { call.ended, call.err, call.attempts = true, err, attemptSummary{anySent: true} })
		call.body.Release()
	}
}
