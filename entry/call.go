package entry

import (
	"context"
	"sync"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/wire"
)

// call is one request between the scheduler duty, which fills it, and the goroutine that follows it.
type call struct {
	request *sched.Request
	bound   int // bytes of events that may wait

	mu       sync.Mutex
	wake     chan struct{}
	events   [][]byte
	bytes    int
	overflow bool
	ended    bool
	end      *wire.AnswerEnd // with a whole answer
	err      *result.Error   // with a failure
	fate     fate
	trace    sched.Trace // with either
}

// fate is what is known of the attempts of a failed request.
type fate struct {
	sent bool // an attempt was sent
	over bool // all attempts are proved over
}

func newCall(request *sched.Request, bound int) *call {
	return &call{request: request, bound: bound, wake: make(chan struct{}, 1)}
}

// delivery is what a call got since the last look.
type delivery struct {
	events [][]byte
	ended  bool
	end    *wire.AnswerEnd
	err    *result.Error
	fate   fate
	trace  sched.Trace
}

// next waits until there is something, or ctx ends.
func (c *call) next(ctx context.Context) (delivery, error) {
	for {
		if d, ok := c.take(); ok {
			return d, nil
		}
		select {
		case <-c.wake:
		case <-ctx.Done():
			return delivery{}, context.Cause(ctx)
		}
	}
}

func (c *call) take() (delivery, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.overflow {
		return delivery{ended: true, err: result.New(result.AnswerTooLarge, "the caller reads too slowly").WithRan(result.RanYes)}, true
	}
	d := delivery{events: c.events, ended: c.ended, end: c.end, err: c.err, fate: c.fate, trace: c.trace}
	c.events = nil
	c.bytes = 0
	return d, len(d.events) > 0 || d.ended
}

// change changes the call and wakes who follows it.
func (c *call) change(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		do()
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// add takes events. A caller that doesn't read would let them pile up; beyond the bound they are dropped, and the
// stream ends without [DONE].
func (c *call) add(events [][]byte) {
	for _, event := range events {
		c.bytes += len(event)
	}
	if c.bytes > c.bound {
		c.overflow = true
		c.events = nil
		return
	}
	c.events = append(c.events, events...)
}

func (c *call) overflowed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.overflow
}

// calls are the requests that the scheduler knows.
type calls struct {
	mu  sync.Mutex
	all map[string]*call
}

func newCalls() *calls {
	return &calls{all: make(map[string]*call)}
}

// open adds a call. False means that the identity is in use.
func (c *calls) open(call *call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.all[call.request.ID] != nil {
		return false
	}
	c.all[call.request.ID] = call
	return true
}

func (c *calls) close(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.all, id)
}

func (c *calls) get(id string) *call {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all[id]
}

// list returns up to maxListed of the requests that a reader may see.
func (c *calls) list(who reader) []*sched.Request {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []*sched.Request
	for _, call := range c.all {
		if who.sees(call.request.Organisation) && len(found) < maxListed {
			found = append(found, call.request)
		}
	}
	return found
}

func (c *calls) deliver(id string, events [][]byte) {
	if call := c.get(id); call != nil {
		call.change(func() { call.add(events) })
	}
}

func (c *calls) answer(a sched.Answer) {
	id := a.Request
	call := c.get(id)
	if call == nil {
		return
	}
	c.close(id)
	call.change(func() { call.ended, call.end, call.trace = true, a.End, a.Trace })
}

func (c *calls) fail(a sched.Fail, f fate) {
	id := a.Request
	call := c.get(id)
	if call == nil {
		return
	}
	c.close(id)
	call.change(func() { call.ended, call.err, call.fate, call.trace = true, a.Err, f, a.Trace })
}

// failAll ends what is left when the duties have ended. Nobody can prove any more what became of it.
func (c *calls) failAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	err := result.New(result.UnprovenAttemptAtDeadline, "the entry instance stopped before the answer came")
	for id, call := range c.all {
		delete(c.all, id)
		call.change(func() { call.ended, call.err, call.fate = true, err, fate{sent: true} })
	}
}
