package holding

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// A caller that holds little would lose its call for what another holds if the choice went by call alone, or by who
// asks.
func TestLargestCallOfLargestOrganisationEndsFirst(t *testing.T) {
	l := New(Limits{Bytes: 100, OrganisationShare: 0.25})
	mine := l.Open("mine", "a")
	small, big := l.Open("small", "b"), l.Open("big", "b")
	_, ok := l.Hold(mine, Waiting, 35)
	require.True(t, ok)
	_, _ = l.Hold(small, Waiting, 30)
	_, ok = l.Hold(big, Waiting, 32)
	require.True(t, ok)
	ended, ok := l.Hold(mine, Waiting, 20)
	require.True(t, ok)
	require.Equal(t, []*Account{big}, ended)
	require.EqualValues(t, 85, l.Total())
	require.True(t, big.Ended())
	_, ok = l.Hold(big, Waiting, 1)
	require.False(t, ok, "a call that has ended holds nothing more")
}

// A write that blocks keeps its bytes after the end of its call. If they counted as free, the process would hold more
// than it counts.
func TestPinnedBytesStayCountedUntilClose(t *testing.T) {
	l := New(Limits{Bytes: 100, OrganisationShare: 0.25})
	a, b := l.Open("1", "a"), l.Open("2", "b")
	_, _ = l.Hold(a, Waiting, 90)
	l.Move(a, Waiting, Pinned, 10)
	ended, ok := l.Hold(b, Waiting, 90)
	require.True(t, ok)
	require.Equal(t, []*Account{a}, ended)
	require.EqualValues(t, 90, a.HeldAtEnd())
	require.EqualValues(t, 100, l.Total())
	ended, ok = l.Hold(b, Waiting, 1)
	require.False(t, ok, "nothing but the own call is left to end")
	require.Equal(t, []*Account{b}, ended)
	l.Close(a)
	l.Close(a)
	require.Zero(t, l.Total())
	l.Close(b)
	require.Empty(t, l.Organisations())
}

// New work must not end calls that are being served, unless an organisation holds more than its share.
func TestNewCallEndsOnlyCallsOfOrganisationsOverTheirShare(t *testing.T) {
	l := New(Limits{Bytes: 100, OrganisationShare: 0.4})
	served, other := l.Open("served", "a"), l.Open("other", "c")
	_, _ = l.Hold(served, Waiting, 40)
	_, _ = l.Hold(other, Waiting, 40)
	fresh := l.Open("fresh", "b")
	ended, ok := l.Admit(fresh, Body, 30)
	require.False(t, ok)
	require.Empty(t, ended)
	_, _ = l.Hold(served, Waiting, 10)
	require.True(t, l.OverShare("a"))
	ended, ok = l.Admit(fresh, Body, 30)
	require.True(t, ok)
	require.Equal(t, []*Account{served}, ended)
}

// An organisation that is alone may use everything. Otherwise a bound for the good of others would hurt without anyone
// who gains.
func TestShareAppliesOnlyBesideOthers(t *testing.T) {
	l := New(Limits{Bytes: 100, OrganisationShare: 0.25})
	a := l.Open("1", "a")
	_, ok := l.Hold(a, Waiting, 100)
	require.True(t, ok)
	require.False(t, l.OverShare("a"))
	l.Release(a, Waiting, 50)
	b := l.Open("2", "b")
	require.False(t, l.OverShare("a"), "b holds nothing yet")
	_, _ = l.Hold(b, Body, 1)
	require.True(t, l.OverShare("a"))
	require.False(t, l.OverShare("b"))
	require.False(t, l.OverShare("nobody"))
}

// What exceeds the whole bound can't be held however many calls end, so no other call may end for it.
func TestTooLargeForTheProcessEndsNoOtherCall(t *testing.T) {
	l := New(Limits{Bytes: 100, OrganisationShare: 0.25})
	a, b := l.Open("1", "a"), l.Open("2", "b")
	_, _ = l.Hold(a, Waiting, 80)
	ended, ok := l.Admit(b, Body, 101)
	require.False(t, ok)
	require.Empty(t, ended)
	ended, ok = l.Hold(b, Waiting, 101)
	require.False(t, ok)
	require.Equal(t, []*Account{b}, ended)
	require.EqualValues(t, 80, l.Total())
}

func TestAssignMovesBytesToTheOrganisation(t *testing.T) {
	l := New(Limits{Bytes: 100, OrganisationShare: 0.25})
	a := l.Open("", "")
	_, _ = l.Hold(a, Body, 40)
	l.Assign(a, "request", "a")
	require.Equal(t, map[string]int64{"a": 40}, l.Organisations())
	require.Equal(t, "request", a.ID())
}

// Checks the sums against the accounts, and the bound, after each step of random histories: a byte that is counted
// twice or forgotten would end calls for nothing, or let the process exceed its memory.
func TestSumsAndBoundHoldInRandomHistories(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 6))
		l := New(Limits{Bytes: 1000, OrganisationShare: 0.25})
		var open []*Account
		for step := range 400 {
			if len(open) == 0 || rng.IntN(10) == 0 {
				open = append(open, l.Open(strconv.Itoa(step), strconv.Itoa(rng.IntN(4))))
				continue
			}
			i := rng.IntN(len(open))
			a, kind, n := open[i], Kind(rng.IntN(int(kinds))), int64(rng.IntN(200))
			switch rng.IntN(8) {
			case 0:
				l.Close(a)
				open = append(open[:i], open[i+1:]...)
			case 1:
				l.Release(a, kind, n)
			case 2:
				l.Move(a, kind, Kind(rng.IntN(int(kinds))), n)
			case 3:
				_, _ = l.Set(a, kind, n)
			case 4:
				_, _ = l.Admit(a, kind, n)
			case 5:
				l.Assign(a, a.ID(), strconv.Itoa(rng.IntN(4)))
			default:
				_, _ = l.Hold(a, kind, n)
			}
			checkSums(t, l, open)
		}
	}
}

func checkSums(t *testing.T, l *Ledger, open []*Account) {
	t.Helper()
	total, byOrganisation, byKind := int64(0), map[string]int64{}, [kinds]int64{}
	for _, a := range open {
		total += a.Bytes()
		byOrganisation[a.Organisation()] += a.Bytes()
		for _, kind := range Kinds() {
			require.GreaterOrEqual(t, a.Of(kind), int64(0))
			byKind[kind] += a.Of(kind)
		}
	}
	require.Equal(t, total, l.Total())
	require.LessOrEqual(t, total, int64(1000))
	require.Equal(t, byOrganisation, l.Organisations())
	for _, kind := range Kinds() {
		require.Equal(t, byKind[kind], l.OfKind(kind))
	}
}
