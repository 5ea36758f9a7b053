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

// Tolerance is the window in which caps count use, and the overrun that operators tolerate.
type Tolerance struct {
	Window    time.Duration
	Overrun   float64 // tolerated fraction of a cap beyond it
	Allowance float64 // tolerated units beyond that
}

// message returns the tolerance as sent in proposals. The overrun is rounded down to a whole permille.
func (t Tolerance) message() *wire.CapTolerance {
	return &wire.CapTolerance{
		WindowMs:        uint32(t.Window.Milliseconds()),
		OverrunPermille: uint32(t.Overrun * 1000),
		Allowance:       uint64(t.Allowance),
	}
}

// Caps holds the caps of all organisations for one incarnation of an entry, across changes of the desired state.
type Caps struct {
	Tolerance

	now         func() time.Time
	sinceBoot   func() time.Duration // continues while the machine is suspended
	entry       string
	incarnation uint64
	entries     atomic.Int64 // number of entries in the deployment, as far as known
	requests    requestSizes
	wake        chan struct{}
	leaseEnd    atomic.Int64 // in nanoseconds of sinceBoot

	mu        sync.Mutex
	byName    map[string]*Cap
	sequence  uint64 // number of the last proposal
	proposing bool   // a proposal is outstanding
	nextLower time.Time
}

// Clock is the source of time: the monotonic clock, and the time since the machine's boot.
type Clock struct {
	Now       func() time.Time
	SinceBoot func() time.Duration
}

// NewCaps returns the caps of one incarnation of an entry. It knows no organisation yet.
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

// SetEntries sets the number of entries in the deployment, as far as known.
func (c *Caps) SetEntries(n int) {
	c.entries.Store(int64(n))
	c.signal()
}

// Wake returns a channel that receives a value when a share has run short, so that NextProposal should be called at
// once.
func (c *Caps) Wake() <-chan struct{} { return c.wake }

func (c *Caps) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// leaseValid reports whether the lease on shares is valid.
func (c *Caps) leaseValid() bool { return c.sinceBoot() < time.Duration(c.leaseEnd.Load()) }

// Configure applies the present rate and burst of an organisation and returns its cap, or nil if it has none.
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
			Tolerance:    c.Tolerance,
			now:          c.now,
			sinceBoot:    c.sinceBoot,
			entries:      &c.entries,
			requests:     &c.requests,
			leaseValid:   c.leaseValid,
			wake:         c.signal,
			shareChanged: make(chan struct{}),
			ceiling:      math.Inf(1),
			order:        newClassOrder(c.Window),
		}
		c.byName[spec.GetName()] = u
		c.signal()
	}
	u.configure(spec)
	return u
}

func (c *Caps) copyCaps() map[string]*Cap {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.byName)
}

// Usage returns the reports to control on the use at this entry, of the organisations that use or hold any of their cap
// here.
func (c *Caps) Usage() []*wire.Usage {
	caps := c.copyCaps()
	var out []*wire.Usage
	for _, name := range slices.Sorted(maps.Keys(caps)) {
		if report := caps[name].report(); report != nil {
			report.Organisation = name
			out = append(out, report)
		}
	}
	return out
}

// RenewLease extends the lease on shares. requestedAt is the time since boot at which the response that a quorum
// confirmed was requested: later decisions of control may not be included in it.
func (c *Caps) RenewLease(requestedAt time.Duration) {
	end := int64(requestedAt + ShareLease)
	for {
		now := c.leaseEnd.Load()
		if end <= now || c.leaseEnd.CompareAndSwap(now, end) {
			return
		}
	}
}

// ApplyStates applies what a control instance says about the other entries.
func (c *Caps) ApplyStates(states []*wire.CapState) {
	caps := c.copyCaps()
	for _, state := range states {
		if u := caps[state.GetOrganisation()]; u != nil {
			u.applyState(state)
		}
	}
}

// NextProposal returns a proposal for the shares that should be held, nil if no share has to change or a proposal is
// outstanding. A share that is lowered is reduced here at once: other entries may use it as soon as the proposal is
// committed.
func (c *Caps) NextProposal() *wire.MoveShares {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.proposing {
		return nil
	}
	move := &wire.MoveShares{Entry: c.entry, Incarnation: c.incarnation, Tolerance: c.Tolerance.message()}
	names := slices.Sorted(maps.Keys(c.byName))
	raised := make(map[string]bool)
	for _, name := range names {
		if share := c.byName[name].proposeRaise(); share != nil {
			share.Organisation = name
			raised[name] = true
			move.Shares = append(move.Shares, share)
		}
	}
	isLowerDue := len(raised) > 0 || !c.now().Before(c.nextLower)
	for _, name := range names {
		if raised[name] {
			continue
		}
		if share := c.byName[name].proposeLower(isLowerDue); share != nil {
			share.Organisation = name
			move.Shares = append(move.Shares, share)
			c.nextLower = c.now().Add(lowerInterval)
		}
	}
	if len(move.Shares) == 0 {
		return nil
	}
	c.sequence++
	c.proposing = true
	move.Sequence = c.sequence
	return move
}

// ProposalEnded applies the outcome of a proposal, nil if it is unknown. A share that was to be raised then keeps its
// size: the replicated state may reserve more for this entry than it uses, never less. For the same reason the outcome
// of any proposal but the last one is ignored: a share may have been lowered since.
func (c *Caps) ProposalEnded(move *wire.MoveShares, res *wire.CommandResult) {
	c.mu.Lock()
	isLast := move.GetSequence() == c.sequence
	c.proposing = c.proposing && !isLast
	c.mu.Unlock()
	if !isLast {
		return
	}
	caps := c.copyCaps()
	granted := make(map[string]*wire.Share, len(move.GetShares()))
	for _, share := range res.GetShares() {
		granted[share.GetOrganisation()] = share
	}
	for _, proposed := range move.GetShares() {
		if u := caps[proposed.GetOrganisation()]; u != nil {
			u.applyOutcome(proposed.GetUnits(), granted[proposed.GetOrganisation()])
		}
	}
}
