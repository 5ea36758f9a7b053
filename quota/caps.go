package quota

import (
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/carawaypitch/carawaypitch/wire"
)

// Tolerance is over which time caps count, and what operators tolerate beyond them.
type Tolerance struct {
	Window    time.Duration
	Overrun   float64 // share beyond a cap
	Allowance float64 // units beyond that
}

// message is the tolerance as proposals carry it. A share of the overrun that isn't a whole permille is dropped.
func (t Tolerance) message() *wire.CapTolerance {
	return &wire.CapTolerance{
		WindowMs:        uint32(t.Window.Milliseconds()),
		OverrunPermille: uint32(t.Overrun * 1000),
		Allowance:       uint64(t.Allowance),
	}
}

// Caps holds the caps of all organisations at one start of an entry, also over changes of the desired state.
type Caps struct {
	Tolerance

	now         func() time.Time
	sinceBoot   func() time.Duration // goes on while the machine is suspended
	entry       string
	incarnation uint64
	entries     atomic.Int64 // of the deployment, as far as known
	wake        chan struct{}
	leaseEnd    atomic.Int64 // of sinceBoot, in nanoseconds

	mu       sync.Mutex
	byName   map[string]*Cap
	sequence uint64 // of the last proposal
	moving   bool   // its outcome isn't known yet
}

// Clock is where times come from: the steady clock, and the time since the machine's boot.
type Clock struct {
	Now       func() time.Time
	SinceBoot func() time.Duration
}

// NewCaps returns the caps of one start of an entry, which knows of no organisation yet.
func NewCaps(entry string, incarnation uint64, clock Clock, tolerance Tolerance) *Caps {
	c := &Caps{
		Tolerance:   tolerance,
		now:         clock.Now,
		sinceBoot:   clock.SinceBoot,
		entry:       entry,
		incarnation: incarnation,
		wake:        make(chan struct{}, 1),
		byName:      make(map[string]*Cap),
	}
	c.RenewLease(clock.SinceBoot())
	return c
}

// SetEntries says how many entries the deployment has, as far as known.
func (c *Caps) SetEntries(n int) {
	c.entries.Store(int64(n))
	c.signal()
}

// Wake tells when a share has run short, so that Moves should be asked at once.
func (c *Caps) Wake() <-chan struct{} { return c.wake }

func (c *Caps) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// valid tells whether the lease on shares holds.
func (c *Caps) valid() bool { return c.sinceBoot() < time.Duration(c.leaseEnd.Load()) }

// Configure returns the cap of an organisation with its rate and burst as they are now, nil if it has none.
func (c *Caps) Configure(spec *wire.Member) *Cap {
	c.mu.Lock()
	defer c.mu.Unlock()
	if spec.GetRatePerS() == 0 && spec.GetBurst() == 0 {
		delete(c.byName, spec.GetName())
		return nil
	}
	u := c.byName[spec.GetName()]
	if u == nil {
		u = &Cap{
			Tolerance: c.Tolerance,
			now:       c.now,
			sinceBoot: c.sinceBoot,
			entries:   &c.entries,
			valid:     c.valid,
			wake:      c.signal,
			changed:   make(chan struct{}),
			ceiling:   math.Inf(1),
			order:     newCapOrder(c.Window),
		}
		c.byName[spec.GetName()] = u
		c.signal()
	}
	u.set(spec)
	return u
}

func (c *Caps) all() map[string]*Cap {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byName)
}

// Usage reports to control what each organisation has used here.
func (c *Caps) Usage() []*wire.Usage {
	caps := c.all()
	out := make([]*wire.Usage, 0, len(caps))
	for _, name := range slices.Sorted(maps.Keys(caps)) {
		report := caps[name].report()
		report.Organisation = name
		out = append(out, report)
	}
	return out
}

// RenewLease extends the lease on shares. The answer that a quorum confirmed was asked for at the given time since boot: what
// control decided since isn't known.
func (c *Caps) RenewLease(asked time.Duration) {
	end := int64(asked + ShareLease)
	for {
		now := c.leaseEnd.Load()
		if end <= now || c.leaseEnd.CompareAndSwap(now, end) {
			return
		}
	}
}

// ApplyStates takes what a control instance says of the other entries.
func (c *Caps) ApplyStates(states []*wire.CapState) {
	caps := c.all()
	for _, one := range states {
		if u := caps[one.GetOrganisation()]; u != nil {
			u.takeState(one)
		}
	}
}

// NextProposal returns a proposal for the shares that should be held now, nil if they are held or the last outcome isn't known yet.
// A share that shrinks does so at once here: once the proposal is committed, others may use it.
func (c *Caps) NextProposal() *wire.MoveShares {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.moving {
		return nil
	}
	move := &wire.MoveShares{Entry: c.entry, Incarnation: c.incarnation, Tolerance: c.Tolerance.message()}
	for _, name := range slices.Sorted(maps.Keys(c.byName)) {
		if share := c.byName[name].move(); share != nil {
			share.Organisation = name
			move.Shares = append(move.Shares, share)
		}
	}
	if len(move.Shares) == 0 {
		return nil
	}
	c.sequence++
	c.moving = true
	move.Sequence = c.sequence
	return move
}

// ProposalEnded takes the outcome of a proposal, nil if it is not known. What was to be raised stays as it was then: the state may
// hold more for this entry than it uses, never less. For the same reason the outcome of any but the last proposal is dropped:
// a share may have been lowered since.
func (c *Caps) ProposalEnded(move *wire.MoveShares, res *wire.CommandResult) {
	c.mu.Lock()
	isLast := move.GetSequence() == c.sequence
	c.moving = c.moving && !isLast
	c.mu.Unlock()
	if !isLast {
		return
	}
	caps := c.all()
	granted := make(map[string]*wire.Share, len(move.GetShares()))
	for _, share := range res.GetShares() {
		granted[share.GetOrganisation()] = share
	}
	for _, asked := range move.GetShares() {
		if u := caps[asked.GetOrganisation()]; u != nil {
			u.moved(asked.GetUnits(), granted[asked.GetOrganisation()])
		}
	}
}
