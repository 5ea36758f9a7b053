package quota

import (
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

// load is what an organisation asks of its cap, by class: so many requests each 100 ms of so many units.
type load struct {
	class    Class
	requests int
	units    uint64
}

// play asks for some seconds and returns the share admitted of each class's units.
func (f *fleet) play(seconds int, loads []load) map[string]float64 {
	asked, taken := map[string]float64{}, map[string]float64{}
	for range seconds * 10 {
		f.clock.pass(100 * time.Millisecond)
		f.tellAll()
		f.move(0)
		for _, l := range loads {
			for range l.requests {
				asked[l.class.Name] += float64(l.units)
				if f.request(0, l.units, l.class) {
					taken[l.class.Name] += float64(l.units)
				}
			}
		}
	}
	for name := range asked {
		taken[name] /= asked[name]
	}
	return taken
}

// Symptom: of an organisation at several times its usual the most urgent requests are refused over its cap while its least
// urgent ones are answered. Pattern: a cap of 125 units a second over a window of 8 s; the most urgent class asks for 100 a
// second in requests of 10, the least urgent for 300 in requests of 3, as one organisation at six times its usual did.
// Cause: the cap was given out in the order of arrival.
func TestMostUrgentClassGetsTheCapFirst(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	shares := f.play(32, []load{{lowestClass, 10, 3}, {urgentClass, 1, 10}})
	require.Greater(t, shares["briefing"], 0.8)
	require.Greater(t, shares["label"], 0.05, "what is left over")
	require.Greater(t, f.used(), 850.0, "and the cap is used")
}

// Symptom: a class gets nothing at all for as long as an overload lasts. Pattern: the urgent class alone asks for four
// times the cap. Cause: an order without an exception for what is starved.
func TestNoClassIsStarvedByACap(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	shares := f.play(32, []load{{urgentClass, 5, 10}, {lowestClass, 5, 3}})
	require.Greater(t, shares["label"], 0.25*shares["briefing"])
}

// Calls that need hardly any of the cap are not refused for the sake of those that need most of it.
func TestSmallUseOfACapIsNotSetAside(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	shares := f.play(32, []load{{urgentClass, 1, 10}, {minorClass, 2, 1}, {lowestClass, 30, 3}})
	require.Greater(t, shares["order"], 2*shares["label"])
}

// An organisation whose classes all fit into its cap is served whole, up to the cap.
func TestNothingIsSetAsideOfACapThatIsNotUsedUp(t *testing.T) {
	f := newFleet(t, 1, windowOnly)
	shares := f.play(32, []load{{urgentClass, 1, 4}, {lowestClass, 1, 2}})
	require.InDelta(t, 1, shares["briefing"], 0)
	require.InDelta(t, 1, shares["label"], 0)
}

// Symptom: on a calm day the least urgent requests of an organisation are refused, though half of its cap is unused. Sequence: the
// others hold shares ahead of their use, and most of the cap is held; what the urgent classes may still ask for is set aside of
// the rest. Cause: what is held counted as used.
func TestNothingIsSetAsideOfWhatOthersHoldUnused(t *testing.T) {
	f := newFleet(t, 4, windowOnly)
	for i := range 4 {
		require.True(t, f.request(i, 10, urgentClass))
	}
	require.True(t, f.request(0, 9, lowestClass))
	f.org[0].takeState(&wire.CapState{Organisation: "org", Used: 30, Held: 900})
	for range 5 {
		require.True(t, f.request(0, 9, lowestClass))
	}
	f.org[0].takeState(&wire.CapState{Organisation: "org", Used: 900, Held: 900})
	require.False(t, f.request(0, 9, lowestClass), "it is used now")
}
