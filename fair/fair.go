// Package fair shares service equally among organisations by start-time fair queueing, measured in tokens. It does
// no I/O and starts no goroutines.
//
// Each organisation has a tag: the virtual time at which its next item would start. A scheduler picks, among items
// that are otherwise equal, one of the organisation with the lowest Tag, and calls Start for it. Start charges the
// estimated tokens; Reconcile corrects the charge once the tokens are known.
//
// The virtual time is the start tag of the item that was started last. An organisation without waiting items enters
// at the virtual time, so idle time earns no credit. An organisation with waiting items keeps its tag however long
// others are served before it, so it later catches up on the service that it missed.
package fair

// minPruneSize is the number of organisations below which none is removed.
const minPruneSize = 64

// Clock holds the tags of all organisations. The zero value is not usable; call New. A Clock is not safe for
// concurrent use.
type Clock struct {
	virtual       int64 // tokens
	organisations map[string]*organisation
	pruneSize     int
}

type organisation struct {
	tag     int64 // tokens; start tag of its next item
	waiting int   // waiting items
}

// New returns a Clock at virtual time 0 without organisations.
func New() *Clock {
	return &Clock{organisations: map[string]*organisation{}, pruneSize: minPruneSize}
}

// Enter counts one more waiting item of the organisation.
func (c *Clock) Enter(name string) {
	o := c.get(name)
	o.waiting++
}

// Leave counts one waiting item of the organisation less. It has no effect if the organisation has none.
func (c *Clock) Leave(name string) {
	if o := c.organisations[name]; o != nil && o.waiting > 0 {
		o.waiting--
	}
}

// Tag returns the tag, in tokens, that the organisation's next item would start with. The lowest tag goes first.
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

// Start charges the organisation the cost, in tokens, of an item that begins service, and returns the item's start
// tag. A negative cost counts as 0. For an item that was waiting, the caller then calls Leave.
func (c *Clock) Start(name string, cost int64) int64 {
	o := c.get(name)
	tag := o.tag
	o.tag += max(cost, 0)
	c.virtual = max(c.virtual, tag)
	return tag
}

// Reconcile replaces an estimated cost, as passed to Start, by the actual one, both in tokens. An item that was
// cancelled before anything was served for it has an actual cost of 0.
//
// Without the correction an organisation that requests more output than is usual for its class would always get
// more than its share, which would show only in the count of served tokens.
func (c *Clock) Reconcile(name string, estimated, actual int64) {
	o := c.get(name)
	o.tag += max(actual, 0) - max(estimated, 0)
}

// VirtualTime returns the virtual time in tokens.
func (c *Clock) VirtualTime() int64 {
	return c.virtual
}

// get returns the organisation, creating it if needed. Without waiting items its tag is raised to the virtual time.
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

// prune removes organisations that are indistinguishable from new ones: nothing waiting and a tag no later than the
// virtual time. Without it memory would grow with every organisation ever seen.
func (c *Clock) prune() {
	if len(c.organisations) < c.pruneSize {
		return
	}
	for name, o := range c.organisations {
		if o.waiting == 0 && o.tag <= c.virtual {
			delete(c.organisations, name)
		}
	}
	c.pruneSize = max(minPruneSize, 2*len(c.organisations))
}

// Len returns the number of organisations held.
func (c *Clock) Len() int {
	return len(c.organisations)
}
