package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// An entry that restarts must not admit anything before the replicated state has given it a share. Otherwise, after all
// processes are killed, entries that don't know the earlier use admit the cap a second time within one window.
func TestNothingIsAdmittedBeforeTheFirstShare(t *testing.T) {
	f := newFleet(t, 8, windowOnly)
	_, _, ok := f.org[0].Take(1, onlyClass)
	require.False(t, ok)
	_, helps := f.org[0].AwaitShare(1)
	require.True(t, helps, "the request waits for the share")
	require.Equal(t, 1000, f.fillUp(0))

	for i := range 8 {
		f.start(i)
	}
	for i := range 8 {
		require.Zero(t, f.fillUp(i), "the shares of the earlier incarnations are still reserved")
	}
}

// Used units must not become available again before they have left the window.
func TestCapHoldsInAnyWindow(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	require.Equal(t, 1000, f.fillUp(0))
	_, wait, ok := f.org[0].Take(1, onlyClass)
	require.False(t, ok)
	require.Greater(t, wait, 7*time.Second, "all of the use leaves the window at the same time")
	f.clock.advance(4 * time.Second)
	require.Zero(t, f.fillUp(0))
	f.clock.advance(4*time.Second + f.org[0].slotDuration())
	f.exchangeReports()
	require.Equal(t, 1000, f.fillUp(0))
}

// Setting the time of day must not move the window, or use seems to have left it early when the clock is set forward.
// The window is measured by the time since boot, which can't be set and continues while the machine is suspended.
func TestTimeOfDayDoesNotMoveWindow(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	require.Equal(t, 1000, f.fillUp(0))
	f.clock.setForward(time.Hour)
	require.Zero(t, f.fillUp(0))
	f.clock.setForward(-2 * time.Hour)
	f.clock.advance(8*time.Second + f.org[0].slotDuration())
	f.exchangeReports()
	require.Equal(t, 1000, f.fillUp(0))
}

// Under a constant overload an entry must admit the cap's rate plus its burst, spread over the windows.
func TestCapAdmitsAtItsRate(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	admitted := 0
	for range 400 { // 40 s at 200 per second
		f.clock.advance(100 * time.Millisecond)
		f.exchangeReports()
		f.commitProposals(0)
		if f.request(0, 20, onlyClass) {
			admitted += 20
		}
	}
	require.InDelta(t, 40*(100+200/8), admitted, 400)
}

// Units of requests that did not run must be available again.
func TestRefundedUnitsAreAvailableAgain(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	require.Equal(t, 1000, f.fillUp(0))
	f.clock.advance(9 * time.Second)
	g, _, ok := f.org[0].Take(900, onlyClass)
	require.True(t, ok)
	g.Refund()
	require.Equal(t, 1000, f.fillUp(0))
}

// A refund must go to the slot from which the units were taken. Requests admitted in a burst may be refused up to a
// second later for lack of free servers; refunds to the present slot, which holds less, are truncated at zero, and the
// organisation is refused at two thirds of its cap.
func TestRefundGoesToOriginalSlot(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	require.Equal(t, 1000, f.fillUp(0))
	f.clock.advance(9 * time.Second)
	u := f.org[0]
	var waiting []Grant
	for range 9 {
		g, _, ok := u.Take(100, onlyClass)
		require.True(t, ok)
		waiting = append(waiting, g)
	}
	f.clock.advance(700 * time.Millisecond)
	_, _, ok := u.Take(10, onlyClass)
	require.True(t, ok)
	for _, g := range waiting {
		g.Refund()
	}
	require.InDelta(t, 10, u.localUse(), 0.1)
	f.clock.advance(8200 * time.Millisecond)
	f.exchangeReports()
	require.Equal(t, 1000, f.fillUp(0))
	waiting[0].Refund()
	require.InDelta(t, 1000, u.localUse(), 0.1, "units that have left the window are not refunded")
}

// The wait returned with a refusal must include the use at other entries that leaves the window. Otherwise callers are
// told to retry much too late if most of the cap was used elsewhere.
func TestWaitIncludesUseOfOtherEntries(t *testing.T) {
	f := newFleet(t, 8, windowOnly)
	require.True(t, f.request(0, 10, onlyClass))
	f.org[0].applyState(&wire.CapState{Organisation: "org", Used: 985, Held: 990})
	_, wait, ok := f.org[0].Take(uint64(f.org[0].share)+15, onlyClass)
	require.False(t, ok)
	require.InDelta(t, 200, wait.Milliseconds(), 80)
}

// A request larger than the whole cap must not be admitted, even if nothing else has been.
func TestRequestAboveTheWholeCapIsNeverAdmitted(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	require.False(t, f.request(0, 1001, onlyClass))
	require.True(t, f.request(0, 1000, onlyClass))
	require.False(t, f.request(0, 1, onlyClass))
}

// A lowered cap must apply at an entry as soon as the entry learns of it, and the shares held before must together stay
// within it.
func TestLoweredCapAppliesAtOnce(t *testing.T) {
	f := newFleet(t, 4, windowOnly)
	for i := range 4 {
		for range 150 {
			require.True(t, f.request(i, 1, onlyClass))
		}
		f.clock.advance(minRaiseInterval)
		f.exchangeReports()
		for j := range 4 {
			f.commitProposals(j)
		}
	}
	f.setCap(10, 20)
	for i := range 4 {
		f.caps[i].Configure(f.member)
		_, _, ok := f.org[i].Take(1, onlyClass)
		require.False(t, ok)
	}
	f.clock.advance(9 * time.Second)
	used := 0
	for i := range 4 {
		for {
			if _, _, ok := f.org[i].Take(1, onlyClass); !ok {
				break
			}
			used++
		}
	}
	require.LessOrEqual(t, used, 100, "without any proposal")
	for range 4 {
		f.exchangeReports()
		for i := range 4 {
			f.commitProposals(i)
			used += f.fillUp(i)
		}
	}
	require.InDelta(t, 100, used, 4, "the whole cap can be used")
}

// A share granted under the earlier cap must be scaled if the cap is lowered while the outcome of the proposal is in
// flight. Scaling only the shares held at that moment exceeds the lower cap.
func TestShareGrantedBeforeCapIsLoweredIsScaled(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	f.org[0].RecordDemand(1000, onlyClass)
	_, helps := f.org[0].AwaitShare(1000)
	require.True(t, helps)
	move := f.caps[0].NextProposal()
	res := f.commit(move)
	f.setCap(10, 20)
	f.caps[0].Configure(f.member)
	f.caps[0].ProposalEnded(move, res)
	require.LessOrEqual(t, f.org[0].allowed(), 100.0)
}

// Two entries must together stay within the cap, and one must be able to use what the other one doesn't need.
func TestEntriesTogetherStayWithinCap(t *testing.T) {
	f := newFleet(t, 2, windowOnly)
	require.Equal(t, 1000, f.fillUp(0)+f.fillUp(1))
	f.clock.advance(9 * time.Second)
	f.exchangeReports()
	f.commitProposals(0)
	f.commitProposals(1)
	require.Positive(t, f.fillUp(1))
	f.fillUp(0)
	require.LessOrEqual(t, f.used(), 1000.0)
	require.Greater(t, f.used(), 990.0, "units that one entry doesn't need are available to the other")
}

// A control instance that has just restarted doesn't know the use of all entries, and its response may come last. It
// must only influence how much an entry proposes to hold, never how much it may use.
func TestOutdatedStateDoesNotRaiseUse(t *testing.T) {
	f := newFleet(t, 2, windowOnly)
	for range 600 {
		require.True(t, f.request(1, 1, onlyClass))
	}
	f.org[0].applyState(&wire.CapState{Organisation: "org"})
	require.LessOrEqual(t, f.fillUp(0), 400)
	require.LessOrEqual(t, f.used(), 1000.0)
}

// An entry that is disconnected from control must stay within its share, which is reserved for it alone, and stop
// admitting when its lease expires. Otherwise the entries would together exceed the cap during a network partition.
func TestDisconnectedEntryStaysWithinShare(t *testing.T) {
	f := newFleet(t, 4, windowOnly)
	for i := range 4 {
		for range 150 {
			require.True(t, f.request(i, 1, onlyClass))
		}
	}
	f.exchangeReports()
	for i := range 4 {
		f.commitProposals(i)
	}
	takeAll := func(i int) (n int) {
		for {
			if _, _, ok := f.org[i].Take(1, onlyClass); !ok {
				return n
			}
			n++
		}
	}
	share := f.org[0].share
	for range 2 { // no entry has contact with control for two windows
		for i := range 4 {
			takeAll(i)
		}
		require.LessOrEqual(t, f.used(), 1000.0)
		require.InDelta(t, share, f.org[0].localUse(), 1, "a disconnected entry continues to serve its callers")
		f.clock.advance(8*time.Second + f.org[0].slotDuration())
	}
	f.clock.advance(ShareLease)
	require.Zero(t, takeAll(0))
	f.caps[0].RenewLease(f.clock.sinceBoot())
	require.Positive(t, takeAll(0))
}

// Control may have ended an entry while its machine was suspended. The suspended time must count towards the lease,
// although the process did not run.
func TestLeaseCountsSuspendedTime(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	require.True(t, f.request(0, 10, onlyClass))
	boot := f.caps[0].sinceBoot
	f.caps[0].sinceBoot = func() time.Duration { return boot() + ShareLease }
	_, _, ok := f.org[0].Take(1, onlyClass)
	require.False(t, ok)
}

// The entries together may use the cap plus the tolerated fraction and allowance, and no more.
func TestToleratedOverrunIsPartOfTheCap(t *testing.T) {
	f := newFleet(t, 3, Tolerance{Window: 8 * time.Second, Overrun: 0.1, Allowance: 100})
	used := 0
	for i := range 3 {
		used += f.fillUp(i)
	}
	require.Equal(t, 1200, used)
}

// An entry must propose a larger share before it refuses a request. Its information about the other entries may be
// outdated, and only the replicated state knows whether more of the cap is free.
func TestLargerShareIsProposedBeforeRefusal(t *testing.T) {
	f := newFleet(t, 7, windowOnly)
	require.True(t, f.request(0, 10, onlyClass))
	f.org[0].applyState(&wire.CapState{Organisation: "org", Used: 900, Held: 990}) // more than the others hold
	units := uint64(f.org[0].share)
	_, _, ok := f.org[0].Take(units, onlyClass)
	require.False(t, ok)
	changed, helps := f.org[0].AwaitShare(units)
	require.True(t, helps)
	<-f.caps[0].Wake()
	move := f.caps[0].NextProposal()
	require.Nil(t, f.caps[0].NextProposal(), "a proposal is outstanding")
	f.caps[0].ProposalEnded(move, f.commit(move))
	require.NotPanics(t, func() { <-changed })
	_, _, ok = f.org[0].Take(units, onlyClass)
	require.True(t, ok)

	for f.request(1, 10, onlyClass) {
	}
	for f.request(0, 10, onlyClass) {
	}
	_, helps = f.org[0].AwaitShare(10)
	require.False(t, helps, "the cap is known to be used up")
	f.clock.advance(minRaiseInterval)
	_, helps = f.org[0].AwaitShare(10)
	require.True(t, helps, "shares may have been released meanwhile")
	_, helps = f.org[0].AwaitShare(1001)
	require.False(t, helps, "no share can be that large")
}

// The outcome of a proposal that arrives after a later proposal has lowered the share must be ignored. Applying it
// would let the entry use units that are available to another entry.
func TestLateOutcomeDoesNotRaiseShare(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	require.True(t, f.request(0, 100, onlyClass))
	f.org[0].RecordDemand(500, onlyClass)
	f.org[0].AwaitShare(500)
	raise := f.caps[0].NextProposal()
	late := f.commit(raise)
	f.caps[0].ProposalEnded(raise, nil)
	require.Positive(t, f.fillUp(0))
	f.clock.advance(9 * time.Second)
	f.exchangeReports()
	require.Positive(t, f.commitProposals(0), "the share is lowered")
	share := f.org[0].share
	f.caps[0].ProposalEnded(raise, late)
	require.Equal(t, share, f.org[0].share)
	require.LessOrEqual(t, share, float64(f.state.HeldUnits("e1", 1, "org")))
}

// An entry that starts while an organisation requests several times its cap must get a share. The other entries hold
// and use all of the cap, so nothing becomes free unless they yield.
func TestNewEntryGetsShareOfOverloadedCap(t *testing.T) {
	f := newFleet(t, 2, windowOnly)
	f.fillUp(0)
	require.Zero(t, f.fillUp(1))
	for range 160 { // 40 s at several times the cap
		f.clock.advance(250 * time.Millisecond)
		f.exchangeReports()
		for i := range 2 {
			f.commitProposals(i)
			f.fillUp(i)
		}
		require.LessOrEqual(t, f.used(), 1000.0)
	}
	require.InDelta(t, 500, f.org[1].localUse(), 120)
	require.Greater(t, f.used(), 900.0, "the cap is used")
}

// An entry must report the units that it was not granted, and stop reporting them once enough are free.
func TestReportIncludesUngrantedUnits(t *testing.T) {
	f := newFleet(t, 2, windowOnly)
	f.fillUp(0)
	f.fillUp(1)
	require.Positive(t, f.caps[1].Usage()[0].GetWanted())
	f.clock.advance(9 * time.Second)
	f.exchangeReports()
	f.commitProposals(0)
	f.commitProposals(1)
	require.Zero(t, f.caps[1].Usage()[0].GetWanted(), "enough units are free")
}

// Once a large part of the cap is used, a report must state when the use leaves the window, so that control can release
// a dead entry's share gradually.
func TestReportStatesWhenUseLeavesWindow(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	require.True(t, f.request(0, 100, onlyClass))
	report := f.caps[0].Usage()[0]
	require.Empty(t, report.GetLeaving(), "only a small part of the cap is used")
	require.EqualValues(t, 100, report.LeftAtMost(7*time.Second, f.tolerance.Window))
	f.clock.advance(5 * time.Second)
	require.True(t, f.request(0, 700, onlyClass))
	f.clock.advance(time.Second)
	report = f.caps[0].Usage()[0]
	require.EqualValues(t, 800, report.GetUsed())
	for age, want := range map[time.Duration]uint64{time.Second: 800, 3 * time.Second: 700, 6 * time.Second: 700, 8 * time.Second: 0} {
		require.Equal(t, want, report.LeftAtMost(age, f.tolerance.Window), age.String())
		require.LessOrEqual(t, report.LeftAtLeast(age, f.tolerance.Window), want, age.String())
	}
}

// A share that was scaled down because the cap was lowered must not be raised beyond the lower cap. The replicated
// state still has the larger share, so that a proposal between the two sizes raises the share that the entry uses,
// although it lowers the stored one.
func TestShareScaledByLoweredCapStaysWithinIt(t *testing.T) {
	f := newFleet(t, 2, windowOnly)
	for i := range 2 {
		for range 350 {
			require.True(t, f.request(i, 1, onlyClass))
		}
		f.clock.advance(minRaiseInterval)
		f.exchangeReports()
		f.commitProposals(0)
		f.commitProposals(1)
	}
	f.setCap(60, 120)
	for i := range 2 {
		f.caps[i].Configure(f.member)
	}
	f.clock.advance(9 * time.Second)
	for range 40 {
		for i := range 2 {
			f.fillUp(i)
			require.LessOrEqual(t, f.used(), 600.0)
		}
		f.clock.advance(minRaiseInterval)
	}
}

// Yielding less than one unit must not be proposed. The share is rounded up to a whole unit, so the proposal would
// change nothing but be repeated four times per second.
func TestYieldBelowOneUnitIsNotProposed(t *testing.T) {
	f := newFleet(t, 2, windowOnly)
	u := f.org[0]
	require.True(t, f.request(0, 600, onlyClass))
	f.commitProposals(0)
	f.org[0].share = 700.0
	u.others.wanted, u.lastYield, u.ceiling = 1, f.clock.now, u.share-0.5
	require.Nil(t, f.caps[0].NextProposal())
}
