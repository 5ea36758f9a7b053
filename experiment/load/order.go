package load

// Order says in which ways a stream was not the events of one run in their order, from the first to the last.
type Order struct {
	Missing  bool // an event was left out
	Twice    bool // an event came again
	Joined   bool // events of two runs, or of two versions
	FalseEnd bool // the end was that of a whole stream, and came before the last event
}

// orderCheck follows the events of one stream.
type orderCheck struct {
	repeatable   bool // a run may take the place of another one of the same version
	run, version string
	next         int // position of the next token
	faults       Order
}

// event checks one event against those before it.
func (c *orderCheck) event(e completion) {
	if c.run != "" && (e.Fingerprint != c.version || e.ID != c.run && !c.repeatable) {
		c.faults.Joined = true
	}
	c.run, c.version = e.ID, e.Fingerprint
	if e.Position == nil {
		return
	}
	c.faults.Missing = c.faults.Missing || *e.Position > c.next
	c.faults.Twice = c.faults.Twice || *e.Position < c.next
	c.next = *e.Position + 1
}

// end checks the end mark of a stream of so many tokens.
func (c *orderCheck) end(tokens int) {
	if c.next < tokens {
		c.faults.FalseEnd = true
	}
}
