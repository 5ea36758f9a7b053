package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

var (
	urgentClass = Class{Name: "briefing", Precedence: 1}
	minorClass  = Class{Name: "order", Precedence: 3}
	lowestClass = Class{Name: "label", Precedence: 3}
)

// load is the load of one class: the number of requests per 100 ms, and the units of each.
type load struct {
	class    Class
	requests int
	units    uint64
}

// applyLoad runs a load for the given number of seconds, and returns the fraction of each class's units that was
// admitted.
func (f *fleet) applyLoad(seconds int, loads []load) map[string]float64 {
	requested, taken := map[string]float64{}, map[string]float64{}
	for range seconds * 10 {
		f.clock.advance(100 * time.Millisecond)
		f.exchangeReports()
		f.commitProposals(0)
		for _, l := range loads {
			for range l.requests {
				requested[l.class.Name] += float64(l.units)
				if f.request(0, l.units, l.class) {
					taken[l.class.Name] += float64(l.units)
				}
			}
		}
	}
	for name := range requested {
		taken[name] /= requested[name]
	}
	return taken
}

// Under overload the most urgent class must get most of what it requests. Admitting in the order of arrival refuses its
// requests while less urgent ones are answered. The cap is 125 units per second over a window of 8 s; the most urgent
// class requests 100 per second in requests of 10, the least urgent 300 in requests of 3, as in an organisation at six
// times its usual load.
func TestMostUrgentClassGetsTheCapFirst(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	shares := f.applyLoad(32, []load{{lowestClass, 10, 3}, {urgentClass, 1, 10}})
	require.Greater(t, shares["briefing"], 0.8)
	require.Greater(t, shares["label"], 0.05, "the least urgent class gets the rest")
	require.Greater(t, f.used(), 850.0, "the cap is used")
}

// The least urgent class must not be refused completely while the urgent class alone requests four times the cap.
func TestNoClassIsStarved(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	shares := f.applyLoad(32, []load{{urgentClass, 5, 10}, {lowestClass, 5, 3}})
	require.Greater(t, shares["label"], 0.25*shares["briefing"])
}

// A class that requests only a small part of the cap must not be refused in favour of classes that request most of it.
func TestMinorClassIsNotRefused(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	shares := f.applyLoad(32, []load{{urgentClass, 1, 10}, {minorClass, 2, 1}, {lowestClass, 30, 3}})
	require.Greater(t, shares["order"], 2*shares["label"])
}

// If all classes together fit into the cap, no request may be refused.
func TestNothingIsReservedWhileDemandFits(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	shares := f.applyLoad(32, []load{{urgentClass, 1, 4}, {lowestClass, 1, 2}})
	require.InDelta(t, 1, shares["briefing"], 0)
	require.InDelta(t, 1, shares["label"], 0)
}

// Units that other entries hold but have not used must not count as used. Otherwise the units reserved for urgent
// classes make an entry refuse less urgent requests while half of the cap is unused.
func TestUnusedSharesOfOthersAreNotUse(t *testing.T) {
	f := newFleet(t, 4, windowOnly)
	for i := range 4 {
		require.True(t, f.request(i, 10, urgentClass))
	}
	require.True(t, f.request(0, 9, lowestClass))
	f.org[0].applyState(&wire.CapState{Organisation: "org", Used: 30, Held: 900})
	for range 5 {
		require.True(t, f.request(0, 9, lowestClass))
	}
	f.org[0].applyState(&wire.CapState{Organisation: "org", Used: 900, Held: 900})
	require.False(t, f.request(0, 9, lowestClass), "the others have used their shares")
}

// With a cap of 1.8 times the load and many entries, hardly any request may be refused. Each of 105 entries receives
// one request every three seconds, so that extrapolating the demand of urgent classes from one entry to all is mostly
// noise: one urgent request just before another extrapolates to twice the whole cap.
func TestHardlyAnyRefusalAtHalfCapWithManyEntries(t *testing.T) {
	const (
		entries   = 105
		units     = 2500
		perSecond = 27 // requests over all entries: 540,000 of 1,080,000 units in a window
		step      = 100 * time.Millisecond
	)
	random := rand.New(rand.NewPCG(1, 1))
	f := newFleet(t, entries, windowOnly)
	f.setCap(120_000, 120_000)
	for i := range entries {
		f.org[i] = f.caps[i].Configure(f.member)
	}
	requested, refused := 0, 0
	for n := range 300 {
		f.clock.advance(step)
		if n%10 == 0 {
			f.exchangeReports()
		}
		for entry := range entries {
			if n%3 == 0 {
				f.commitProposals(entry)
			}
			if random.Float64() >= perSecond*step.Seconds()/entries {
				continue
			}
			class := urgentClass
			if random.IntN(3) == 0 {
				class = lowestClass
			}
			requested++
			if !f.request(entry, units, class) {
				refused++
			}
		}
	}
	require.Greater(t, requested, 700)
	require.LessOrEqual(t, refused, requested/500, "at most 0.2% of the requests may be refused")
}
