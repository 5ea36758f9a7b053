package gate

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/carawaypitch/carawaypitch/engine"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Timeouts of the listing.
const (
	listTimeout = 10 * time.Second // an unanswered listing is repeated after this time
	listRetry   = 250 * time.Millisecond
)

// clearing proves the engine free of attempts of an earlier incarnation of this agent. Entries take a newer
// incarnation as proof that the attempts of the older one are over: if it were announced while the engine still
// runs one, the request would run on two engines.
//
// It lists the engine's streams, cancels all of them and lists again, because a dispatch of the earlier incarnation
// may have been in transit to the engine during the first listing.
type clearing struct {
	state    clearState
	issuedAt time.Time
	retryAt  time.Time
	// unlisted means that the server keeps no list of what it runs, so nothing proves it free. Instead it gets some
	// time to end the short calls of an earlier incarnation.
	unlisted bool
	// afterGone means that the server was gone, so that its remaining work may be younger than this process.
	afterGone bool
	remaining []*staleStream
	confirmed map[engine.AttemptID]bool // streams whose end is confirmed
	deferred  []deferredCancel
}

type clearState uint8

const (
	clearIdle       clearState = iota // before the first announcement
	clearListing                      // a listing was requested
	clearWaiting                      // a listing failed, or the server keeps no list
	clearCancelling                   // cancels are in progress
	clearComplete                     // the engine is proved free
)

// staleStream is a listed stream that has to be cancelled.
type staleStream struct {
	id       engine.AttemptID
	attempt  *wire.AttemptID
	try      uint32
	pending  bool
	issuedAt time.Time
	retryAt  time.Time
	backoff  time.Duration
}

// deferredCancel is a Cancel whose answer has to wait until the engine is cleared.
type deferredCancel struct {
	request  string
	inquirer inquirer
}

// start requests the list at the first announcement. Before that the agent has no address to ask.
func (c *clearing) start(g *Gate) {
	if c.state == clearIdle {
		c.confirmed = map[engine.AttemptID]bool{}
		c.requestList(g)
	}
}

// restart clears the engine again after the server was gone.
func (c *clearing) restart() {
	c.state = clearIdle
	c.remaining = nil
	c.afterGone = true
}

func (c *clearing) requestList(g *Gate) {
	c.state = clearListing
	c.issuedAt = g.now
	g.emit(ListEngine{})
}

func (c *clearing) deferCancel(request string, inq inquirer) {
	wanted := deferredCancel{request, inq}
	if !slices.Contains(c.deferred, wanted) {
		c.deferred = append(c.deferred, wanted)
	}
}

func (g *Gate) engineListed(e EngineListed) {
	c := &g.clearing
	if c.state != clearListing {
		return
	}
	c.unlisted = errors.Is(e.Err, engine.ErrUnsupported)
	if c.unlisted {
		c.state = clearWaiting
		c.retryAt = c.settleDeadline(g)
		return
	}
	if e.Err != nil {
		c.state = clearWaiting
		c.retryAt = g.now.Add(listRetry)
		c.remaining = nil
		return
	}
	c.cancelListed(g, e.Streams)
}

// settleDeadline returns when a server without a list has had its settle time to end what an earlier incarnation
// started.
//
// It counts from the start of the process if that is known. Counted from the listing, an agent that waited for
// control after a loss of all machines would make its server wait another settle time, while requests in the
// entries' queues miss their targets.
func (c *clearing) settleDeadline(g *Gate) time.Time {
	from := g.now
	if started := g.config.ProcessStarted; !started.IsZero() && !c.afterGone {
		from = started
	}
	return from.Add(g.config.UnlistedSettle)
}

// cancelListed cancels the listed streams. It skips runs of this incarnation, which exist if the server was gone:
// the gate ends those itself.
func (c *clearing) cancelListed(g *Gate, streams []engine.StreamInfo) {
	c.remaining = nil
	for _, s := range streams {
		if c.confirmed[s.ID] && !s.State.Running() {
			continue
		}
		id := parseStream(s.ID)
		if a := g.find(id); a != nil && a.hasStarted() {
			continue
		}
		c.remaining = append(c.remaining, &staleStream{id: s.ID, attempt: id})
	}
	if len(c.remaining) == 0 {
		c.complete(g)
		return
	}
	c.state = clearCancelling
	for _, s := range c.remaining {
		s.cancel(g)
	}
}

// parseStream parses the engine's identifier of an attempt. An identifier in another form yields number 0.
func parseStream(id engine.AttemptID) *wire.AttemptID {
	text := string(id)
	if dot := strings.LastIndexByte(text, '.'); dot >= 0 {
		if number, err := strconv.ParseUint(text[dot+1:], 10, 64); err == nil {
			return &wire.AttemptID{Request: text[:dot], Number: number}
		}
	}
	return &wire.AttemptID{Request: text}
}

func (s *staleStream) cancel(g *Gate) {
	s.try++
	s.pending = true
	s.issuedAt = g.now
	g.emit(CancelEngine{Attempt: s.attempt, Stream: s.id, Try: s.try})
}

// handleCancelAnswer processes the answer to a cancel of a listed stream and reports whether it was one. An unknown
// id proves the stream's end: the engine has listed it before, so no dispatch of it is in transit.
func (c *clearing) handleCancelAnswer(g *Gate, e EngineCancelled) bool {
	if c.state != clearCancelling {
		return false
	}
	at := slices.IndexFunc(c.remaining, func(s *staleStream) bool {
		return s.attempt.GetRequest() == e.Attempt.GetRequest() && s.attempt.GetNumber() == e.Attempt.GetNumber()
	})
	if at < 0 {
		return false
	}
	s := c.remaining[at]
	if e.Err != nil || e.Result == engine.CancelNone {
		s.pending = false
		s.backoff = min(max(2*s.backoff, firstBackoff), maxBackoff)
		s.retryAt = g.now.Add(s.backoff)
		return true
	}
	c.confirmed[s.id] = true
	c.remaining = slices.Delete(c.remaining, at, at+1)
	if len(c.remaining) == 0 {
		c.requestList(g)
	}
	return true
}

// tick repeats requests that failed or were not answered.
func (c *clearing) tick(g *Gate) {
	switch c.state {
	case clearListing:
		if g.now.Sub(c.issuedAt) >= listTimeout {
			c.requestList(g)
		}
	case clearWaiting:
		c.retryOrComplete(g)
	case clearCancelling:
		for _, s := range c.remaining {
			if s.due(g.now) {
				s.cancel(g)
			}
		}
	}
}

func (s *staleStream) due(now time.Time) bool {
	if s.pending {
		return now.Sub(s.issuedAt) >= answerTimeout
	}
	return !now.Before(s.retryAt)
}

func (c *clearing) retryOrComplete(g *Gate) {
	if g.now.Before(c.retryAt) {
		return
	}
	if c.unlisted {
		c.complete(g)
		return
	}
	c.requestList(g)
}

// complete opens the gate for admission and answers the deferred cancels.
func (c *clearing) complete(g *Gate) {
	c.state = clearComplete
	g.fireServer(onCleared)
	deferred := c.deferred
	c.deferred = nil
	for _, d := range deferred {
		if r := g.records.get(d.request); r != nil {
			g.answerCancel(r, d.inquirer)
		}
	}
	for _, e := range g.entries.order {
		if e.connected && !e.ended {
			g.resend(e)
		}
	}
}
