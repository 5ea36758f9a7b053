package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// capClock is a clock that a test moves.
type capClock struct {
	now     time.Time
	stepped time.Duration // by which the time of day was set forward
}

func (c *capClock) Now() time.Time { return c.now }

func (c *capClock) pass(d time.Duration) { c.now = c.now.Add(d) }

// step sets the time of day, and nothing else.
func (c *capClock) step(d time.Duration) {
	c.now = c.now.Add(d)
	c.stepped += d
}

func (c *capClock) sinceBoot() time.Duration { return c.now.Sub(time.Unix(0, 0)) - c.stepped }

// windowOnly is a window of 8 s in which nothing beyond a cap is tolerated.
var windowOnly = Tolerance{Window: 8 * time.Second}

// onlyClass is the class of tests in which the order of classes plays no part.
var onlyClass = Class{Name: "only"}

// fleet is some entries over one replicated state, joined by nothing: a proposal is applied when the test says so.
type fleet struct {
	t         *testing.T
	clock     *capClock
	tolerance Tolerance
	state     *state.State
	index     uint64
	starts    uint64
	caps      []*Caps
	org       []*Cap // of the one organisation, by entry
	member    *wire.Member
}

// newFleet returns entries with a cap of 100 a second with a burst of 200 over a window of 8 s, that is 1000 in any window.
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

// setCap sets the organisation's cap, which no entry knows yet.
func (f *fleet) setCap(rate, burst uint64) {
	f.member = &wire.Member{Name: "org", Keys: []string{"k"}, RatePerS: rate, Burst: burst}
	res := f.apply(&wire.Command{Kind: &wire.Command_PutDesiredState{PutDesiredState: &wire.PutDesiredState{
		Desired: &wire.DesiredState{Version: f.index + 1, Organisations: []*wire.Member{f.member}},
	}}})
	require.Zero(f.t, res.GetCode())
}

func entryName(i int) string { return fmt.Sprintf("e%d", i+1) }

// start begins a new start of an entry.
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

// move has an entry's shares moved, as often as it proposes to. It returns how often that was.
func (f *fleet) move(i int) int {
	for n := 0; ; n++ {
		move := f.caps[i].NextProposal()
		if move == nil {
			return n
		}
		require.Less(f.t, n, 100, "shares settle")
		f.caps[i].ProposalEnded(move, f.commit(move))
	}
}

func (f *fleet) commit(move *wire.MoveShares) *wire.CommandResult {
	return f.apply(&wire.Command{Kind: &wire.Command_MoveShares{MoveShares: move}})
}

// tellAll has all entries hear how the others stand.
func (f *fleet) tellAll() {
	ledger := NewLedger(func(string, time.Duration) float64 { return 1000 }, func(from Incarnation, name string) uint64 {
		return f.state.TotalHeldUnits(name) - f.state.HeldUnits(from.Instance, from.Number, name)
	})
	for range 2 { // the first words are answered before the others have spoken
		for _, c := range f.caps {
			poll := &wire.Poll{Usage: c.Usage(), UsageWindowMs: uint32(f.tolerance.Window.Milliseconds())}
			states := ledger.Record(Incarnation{c.entry, c.incarnation}, poll, f.clock.now)
			c.RenewLease(f.clock.sinceBoot())
			c.ApplyStates(states)
		}
	}
}

// request does with a request what an entry does: where a larger share could let it in, that is asked for.
func (f *fleet) request(i int, units uint64, class Class) bool {
	u := f.org[i]
	u.RecordDemand(units, class)
	if _, _, ok := u.Take(units, class); ok {
		return true
	}
	if _, helps := u.AwaitShare(units); !helps {
		return false
	}
	f.move(i)
	_, _, ok := u.Take(units, class)
	return ok
}

// fillUp asks for one unit after the other until one is refused, and returns how many were admitted.
func (f *fleet) fillUp(i int) int {
	n := 0
	for f.request(i, 1, onlyClass) {
		n++
	}
	return n
}

// used is what all entries have used in the window that ends now.
func (f *fleet) used() float64 {
	total := 0.0
	for _, u := range f.org {
		total += u.own()
	}
	return total
}
