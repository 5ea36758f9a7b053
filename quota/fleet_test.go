package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// capClock is a clock that the test controls.
type capClock struct {
	now    time.Time
	offset time.Duration // how far the time of day has been set forward
}

func (c *capClock) Now() time.Time { return c.now }

func (c *capClock) advance(d time.Duration) { c.now = c.now.Add(d) }

// setForward changes the time of day without any time passing.
func (c *capClock) setForward(d time.Duration) {
	c.now = c.now.Add(d)
	c.offset += d
}

func (c *capClock) sinceBoot() time.Duration { return c.now.Sub(time.Unix(0, 0)) - c.offset }

// windowOnly is a window of 8 s without any tolerated overrun.
var windowOnly = Tolerance{Window: 8 * time.Second}

// onlyClass is used where the precedence of classes doesn't matter.
var onlyClass = Class{Name: "only"}

// fleet is a set of entries that share one replicated state. A proposal is applied when the test calls for it.
type fleet struct {
	t         *testing.T
	clock     *capClock
	tolerance Tolerance
	state     *state.State
	index     uint64
	starts    uint64
	caps      []*Caps
	org       []*Cap // cap of the only organisation, by entry
	member    *wire.Member
}

// newFleet returns entries with a cap of 100 per second and a burst of 200 over a window of 8 s, which is 1000 in any
// window.
func newFleet(t *testing.T, entries int, tolerance Tolerance) *fleet {
	f := &fleet{t: t, clock: &capClock{now: time.Unix(1_700_000_000, 0)}, tolerance: tolerance, state: state.New()}
	f.setCap(100, 200)
	for i := range entries {
		f.start(i)
	}
	return f
}

func (f *fleet) apply(command *wire.Command) *wire.CommandResult {
	f.index++
	return f.state.Apply(f.index, command)
}

// setCap sets the organisation's cap in the replicated state, without telling the entries.
func (f *fleet) setCap(rate, burst uint64) {
	f.member = &wire.Member{Name: "org", Keys: []string{"k"}, RatePerS: rate, Burst: burst}
	res := f.apply(&wire.Command{Kind: &wire.Command_PutDesiredState{PutDesiredState: &wire.PutDesiredState{
		Desired: &wire.DesiredState{Version: f.index + 1, Organisations: []*wire.Member{f.member}},
	}}})
	require.Zero(f.t, res.GetCode())
}

func entryName(i int) string { return fmt.Sprintf("e%d", i+1) }

// start starts a new incarnation of an entry.
func (f *fleet) start(i int) {
	f.starts++
	name := entryName(i)
	caps := NewCaps(name, f.starts, Clock{f.clock.Now, f.clock.sinceBoot}, f.tolerance)
	res := f.apply(&wire.Command{Kind: &wire.Command_RegisterEntry{RegisterEntry: &wire.RegisterEntry{
		Entry: &wire.EntryRecord{Entry: name, Incarnation: f.starts},
	}}})
	require.Zero(f.t, res.GetCode())
	if i < len(f.caps) {
		f.caps[i] = caps
	} else {
		f.caps = append(f.caps, caps)
		f.org = append(f.org, nil)
	}
	for _, c := range f.caps {
		c.SetEntries(len(f.caps))
	}
	f.org[i] = caps.Configure(f.member)
}

// commitProposals commits an entry's proposals until it has none, and returns their number.
func (f *fleet) commitProposals(i int) int {
	for n := 0; ; n++ {
		move := f.caps[i].NextProposal()
		if move == nil {
			return n
		}
		require.Less(f.t, n, 100, "the shares don't reach a stable size")
		f.caps[i].ProposalEnded(move, f.commit(move))
	}
}

func (f *fleet) commit(move *wire.MoveShares) *wire.CommandResult {
	return f.apply(&wire.Command{Kind: &wire.Command_MoveShares{MoveShares: move}})
}

// exchangeReports exchanges reports and states between all entries and a new ledger.
func (f *fleet) exchangeReports() {
	ledger := NewLedger(func(string, time.Duration) float64 { return 1000 }, func(from Incarnation, name string) (others, ended uint64) {
		return f.state.HeldByOthers(from.Instance, from.Number, name)
	})
	for range 2 { // in the first round some entries have not reported yet
		for _, c := range f.caps {
			poll := &wire.Poll{Usage: c.Usage(), UsageWindowMs: uint32(f.tolerance.Window.Milliseconds())}
			states := ledger.Record(Incarnation{c.entry, c.incarnation}, poll, f.clock.now)
			c.RenewLease(f.clock.sinceBoot())
			c.ApplyStates(states)
		}
	}
}

// request handles a request like an entry does: if Take refuses and a larger share could help, it commits a proposal
// and tries again.
func (f *fleet) request(i int, units uint64, class Class) bool {
	u := f.org[i]
	u.RecordDemand(units, class)
	if _, _, ok := u.Take(units, class); ok {
		return true
	}
	if _, helps := u.AwaitShare(units); !helps {
		return false
	}
	f.commitProposals(i)
	_, _, ok := u.Take(units, class)
	return ok
}

// fillUp requests single units until one is refused, and returns how many were admitted.
func (f *fleet) fillUp(i int) int {
	n := 0
	for f.request(i, 1, onlyClass) {
		n++
	}
	return n
}

// used returns the use of all entries in the window that ends now.
func (f *fleet) used() float64 {
	total := 0.0
	for _, u := range f.org {
		total += u.localUse()
	}
	return total
}
