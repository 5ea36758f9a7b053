// Package fair shares service among organisations equally, by start-time fair queueing on tokens. It is pure.
//
// Each organisation has a tag: the virtual time at which its next item would start. Whoever picks the next item
// takes, among equals otherwise, the organisation with the lowest Tag, and calls Start for the item it picked. That
// charges the estimated tokens; TrueUp corrects the charge once the tokens are known.
//
// The virtual time is the start tag of the item that was started last. An organisation that had nothing waiting
// enters at the virtual time, so that being idle earns no credit. One that is waiting keeps its tag however long
// others are served before it, so that what it was denied is made good.
package fair

// pruneFloor is the number of organisations below which none is forgotten.
const pruneFloor = 64

// Clock holds the tags. The zero value isn't ready, see New.
type Clock struct {
	virtual       int64 // tokens
	organisations map[string]*organisation
	pruneAt       int
}

type organisation struct {
	tag     int64 // tokens; start tag of its next item
	waiting int   // items that wait
}

// New returns a Clock at virtual time 0.
func New() *Clock {
	return &Clock{organisations: map[string]*organisation{}, pruneAt: pruneFloor}
}

// Enter says that one more item of the organisation waits.
func (c *Clock) Enter(name string) {
	o := c.get(name)
	o.waiting++
}

// Leave says that an item of the organisation waits no more, without having been started.
func (c *Clock) Leave(name string) {
	if o := c.organisations[name]; o != nil && o.waiting > 0 {
		o.waiting--
	}
}

// Tag returns the tag that the organisation's next item would start with. Lower goes first.
func (c *Clock) Tag(name string) int64 {
	o := c.organisations[name]
	if o == nil {
		return c.virtual
	}
	if o.waiting == 0 {
		return max(o.tag, c.virtual)
	}
	return o.tag
}

// Start charges the organisation with the cost in tokens of an item that begins service now, and returns the
// item's start tag. An item that waited is left (Leave) by the caller after Start.
func (c *Clock) Start(name string, cost int64) int64 {
	o := c.get(name)
	tag := o.tag
	o.tag += max(cost, 0)
	c.virtual = max(c.virtual, tag)
	return tag
}

// Reconcile replaces an estimated cost, as passed to Start, by the actual one. An item that was cancelled before
// anything was served for it has an actual cost of 0.
//
// Without it an organisation that asks for more output than its class usually makes would get more than its share
// for ever, and nobody would see it but in the served tokens.
func (c *Clock) Reconcile(name string, estimated, actual int64) {
	o := c.get(name)
	o.tag += max(actual, 0) - max(estimated, 0)
}

// VirtualTime returns the virtual time in tokens.
func (c *Clock) VirtualTime() int64 {
	return c.virtual
}

// get returns the organisation, brought up to the virtual time if nothing of it waits.
func (c *Clock) get(name string) *organisation {
	o := c.organisations[name]
	if o == nil {
		c.prune()
		o = &organisation{tag: c.virtual}
		c.organisations[name] = o
	}
	if o.waiting == 0 {
		o.tag = max(o.tag, c.virtual)
	}
	return o
}

// prune forgets the organisations that stand no differently from new ones. Without it the memory would grow with
// every organisation ever seen.
func (c *Clock) prune() {
	if len(c.organisations) < c.pruneAt {
		return
	}
	for name, o := range c.organisations {
		if o.waiting == 0 && o.tag <= c.virtual {
			delete(c.organisations, name)
		}
	}
	c.pruneAt = max(pruneFloor, 2*len(c.organisations))
}

// Len returns the number of organisations held.
func (c *Clock) Len() int {
	return len(c.organisations)
}
