package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// shareLog is a state with an organisation that may use 1000 units per window, and with entries that hold shares of
// it.
type shareLog struct {
	t     require.TestingT
	state *State
}

var shareTolerance = &wire.CapTolerance{WindowMs: 8000}

func newShareLog(t require.TestingT) *shareLog {
	l := &shareLog{t, New()}
	l.setCap(1, 100)
	return l
}

func (l *shareLog) apply(command *wire.Command) *wire.CommandResult {
	return l.state.Apply(l.state.index+1, command)
}

// setCap puts a desired state in which the organisation has the given rate, in units per second, and a burst of twice
// that.
func (l *shareLog) setCap(version, rate uint64) {
	res := l.apply(&wire.Command{Kind: &wire.Command_PutDesiredState{PutDesiredState: &wire.PutDesiredState{
		Desired: &wire.DesiredState{Version: version, Organisations: []*wire.Member{
			{Name: "org", Keys: []string{"k"}, RatePerS: rate, Burst: 2 * rate},
		}},
	}}})
	require.Zero(l.t, res.GetCode())
}

func (l *shareLog) register(entry string, incarnation uint64) {
	l.apply(&wire.Command{Kind: &wire.Command_RegisterEntry{RegisterEntry: &wire.RegisterEntry{
		Entry: &wire.EntryRecord{Entry: entry, Incarnation: incarnation},
	}}})
}

func (l *shareLog) end(entry string, incarnation uint64) {
	l.apply(&wire.Command{Kind: &wire.Command_EndEntry{EndEntry: &wire.EndEntry{Entry: entry, Incarnation: incarnation}}})
}

// move requests a share for an entry and returns the result.
func (l *shareLog) move(entry string, incarnation, sequence, units uint64) *wire.CommandResult {
	return l.apply(&wire.Command{Kind: &wire.Command_MoveShares{MoveShares: &wire.MoveShares{
		Entry: entry, Incarnation: incarnation, Sequence: sequence, Tolerance: shareTolerance,
		Shares: []*wire.Share{{Organisation: "org", Units: units, Uses: l.state.HeldUnits(entry, incarnation, "org")}},
	}}})
}

func (l *shareLog) release(entry string, incarnation, units uint64) {
	l.apply(&wire.Command{Kind: &wire.Command_ReleaseShares{ReleaseShares: &wire.ReleaseShares{
		Entry: entry, Incarnation: incarnation, Shares: []*wire.Share{{Organisation: "org", Units: units}},
	}}})
}

// units returns the units of the entry and those of all others from the result of a move.
func units(res *wire.CommandResult) (own, others uint64) {
	return res.GetShares()[0].GetUnits(), res.GetShares()[0].GetOthers()
}

// Shares that add up to more than the cap would let the entries together exceed it. A share is raised only as far as
// the sum allows.
func TestSumOfSharesIsAtMostTheCap(t *testing.T) {
	l := newShareLog(t)
	l.register("e1", 1)
	l.register("e2", 1)
	own, others := units(l.move("e1", 1, 1, 700))
	require.Equal(t, [2]uint64{700, 0}, [2]uint64{own, others})
	own, others = units(l.move("e2", 1, 1, 700))
	require.Equal(t, [2]uint64{300, 700}, [2]uint64{own, others}, "limited by the sum of all shares")
	units(l.move("e1", 1, 2, 400))
	own, _ = units(l.move("e2", 1, 2, 700))
	require.EqualValues(t, 600, own)
	require.EqualValues(t, 1000, l.state.TotalHeldUnits("org"))
	require.EqualValues(t, 400, l.state.HeldUnits("e1", 1, "org"))
	require.Zero(t, l.state.HeldUnits("e3", 1, "org"))
}

// An entry lowers its share, the proposal is delayed, and the entry raises the share again. The delayed proposal must
// not be applied after the later one: it would free units that the entry uses, and the cap would be exceeded.
func TestDelayedProposalIsIgnored(t *testing.T) {
	l := newShareLog(t)
	l.register("e1", 1)
	units(l.move("e1", 1, 1, 500))
	own, _ := units(l.move("e1", 1, 3, 800))
	require.EqualValues(t, 800, own)
	own, _ = units(l.move("e1", 1, 2, 100))
	require.EqualValues(t, 800, own, "the delayed proposal")
	own, _ = units(l.move("e1", 1, 3, 800))
	require.EqualValues(t, 800, own, "a repeated proposal")
}

// An entry that has used much of its share is killed, or ended as silent. If its share were free at once, others
// would use it while that use is still in the window, and the cap would be used twice.
func TestShareOfEndedEntryStaysHeld(t *testing.T) {
	l := newShareLog(t)
	l.register("e1", 1)
	l.register("e2", 1)
	units(l.move("e1", 1, 1, 900))
	l.register("e1", 2)
	own, others := units(l.move("e1", 2, 1, 900))
	require.Equal(t, [2]uint64{100, 900}, [2]uint64{own, others})
	require.Equal(t, uint32(result.AttemptSuperseded), l.move("e1", 1, 2, 950).GetCode(), "the earlier incarnation is refused")
	ended := l.state.SharesOfEndedEntries()
	require.Len(t, ended, 1)
	require.True(t, ended[0].GetReplaced())
	require.EqualValues(t, 8000, ended[0].GetWindowMs())

	l.end("e1", 2)
	require.Len(t, l.state.SharesOfEndedEntries(), 2)
	require.False(t, l.state.SharesOfEndedEntries()[1].GetReplaced(), "the entry may be disconnected but running")

	l.release("e1", 1, 300)
	own, _ = units(l.move("e2", 1, 1, 900))
	require.EqualValues(t, 600, own)
	l.release("e1", 1, 800)
	require.EqualValues(t, 300, l.state.HeldUnits("e1", 1, "org"), "a release never raises a share")
	l.release("e1", 1, 0)
	l.release("e2", 1, 0)
	require.EqualValues(t, 600, l.state.HeldUnits("e2", 1, "org"), "shares of a registered entry are not released")
	require.Len(t, l.state.SharesOfEndedEntries(), 1)
}

// Lowering a cap does not lower the held shares; their holders scale what they use. No share may be raised until the
// sum is below the new cap.
func TestSharesAreNotRaisedAboveLoweredCap(t *testing.T) {
	l := newShareLog(t)
	l.register("e1", 1)
	l.register("e2", 1)
	units(l.move("e1", 1, 1, 600))
	l.setCap(2, 10)
	own, _ := units(l.move("e2", 1, 1, 50))
	require.Zero(t, own)
	own, _ = units(l.move("e1", 1, 2, 700))
	require.EqualValues(t, 600, own)
	units(l.move("e1", 1, 3, 60))
	own, _ = units(l.move("e2", 1, 2, 50))
	require.EqualValues(t, 40, own)
	own, _ = units(l.apply(&wire.Command{Kind: &wire.Command_MoveShares{MoveShares: &wire.MoveShares{
		Entry: "e2", Incarnation: 1, Sequence: 3, Tolerance: shareTolerance,
		Shares: []*wire.Share{{Organisation: "nobody", Units: 50}},
	}}}))
	require.Zero(t, own, "an organisation without a cap gets no share")
}

// In whatever order, by whichever entry and however late proposals arrive, the shares must never add up to more than
// the highest cap so far, also after a restore from a snapshot.
func TestSharesUnderRandomCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newShareLog(t)
		highestCap, version := uint64(1000), uint64(1)
		for range rapid.IntRange(1, 60).Draw(t, "commands") {
			entry := fmt.Sprintf("e%d", rapid.IntRange(1, 3).Draw(t, "entry"))
			incarnation := rapid.Uint64Range(1, 4).Draw(t, "incarnation")
			amount := rapid.Uint64Range(0, 1500).Draw(t, "units")
			switch rapid.SampledFrom([]string{"register", "end", "move", "move", "move", "release", "cap", "restore"}).Draw(t, "kind") {
			case "register":
				l.register(entry, incarnation)
			case "end":
				l.end(entry, incarnation)
			case "move":
				l.move(entry, incarnation, rapid.Uint64Range(1, 20).Draw(t, "sequence"), amount)
			case "release":
				l.release(entry, incarnation, amount)
			case "cap":
				version++
				l.setCap(version, amount/10)
				highestCap = max(highestCap, amount/10*10)
			case "restore":
				l.state = Restore(l.state.Snapshot())
			}
			sum := uint64(0)
			for _, held := range l.state.HeldShares() {
				for _, share := range held.GetShares() {
					sum += share.GetUnits()
				}
			}
			require.Equal(t, sum, l.state.TotalHeldUnits("org"))
			require.LessOrEqual(t, sum, highestCap)
		}
	})
}
