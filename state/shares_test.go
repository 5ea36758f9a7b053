package state

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/carawaypitch/carawaypitch/result"
	"github.com/carawaypitch/carawaypitch/wire"
)

// shareLog is a state with an organisation that may use 1000 in a window, and entries that hold shares of it.
type shareLog struct {
	t require.TestingT
	s *State
}

var shareTolerance = &wire.CapTolerance{WindowMs: 8000}

func newShareLog(t require.TestingT) *shareLog {
	l := &shareLog{t, New()}
	l.setCap(1, 100)
	return l
}

func (l *shareLog) apply(command *wire.Command) *wire.CommandResult {
	return l.s.Apply(l.s.index+1, command)
}

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

// move asks for a share, and returns what the entry holds after that.
func (l *shareLog) move(entry string, incarnation, sequence, units uint64) *wire.CommandResult {
	return l.apply(&wire.Command{Kind: &wire.Command_MoveShares{MoveShares: &wire.MoveShares{
		Entry: entry, Incarnation: incarnation, Sequence: sequence, Tolerance: shareTolerance,
		Shares: []*wire.Share{{Organisation: "org", Units: units, Uses: l.s.HeldUnits(entry, incarnation, "org")}},
	}}})
}

func (l *shareLog) release(entry string, incarnation, units uint64) {
	l.apply(&wire.Command{Kind: &wire.Command_ReleaseShares{ReleaseShares: &wire.ReleaseShares{
		Entry: entry, Incarnation: incarnation, Shares: []*wire.Share{{Organisation: "org", Units: units}},
	}}})
}

func units(res *wire.CommandResult) (own, others uint64) {
	return res.GetShares()[0].GetUnits(), res.GetShares()[0].GetOthers()
}

func TestSharesAddUpToTheCapAtMost(t *testing.T) {
	l := newShareLog(t)
	l.register("e1", 1)
	l.register("e2", 1)
	own, others := units(l.move("e1", 1, 1, 700))
	require.Equal(t, [2]uint64{700, 0}, [2]uint64{own, others})
	own, others = units(l.move("e2", 1, 1, 700))
	require.Equal(t, [2]uint64{300, 700}, [2]uint64{own, others}, "as far as the sum allows")
	units(l.move("e1", 1, 2, 400))
	own, _ = units(l.move("e2", 1, 2, 700))
	require.EqualValues(t, 600, own)
	require.EqualValues(t, 1000, l.s.TotalHeldUnits("org"))
	require.EqualValues(t, 400, l.s.HeldUnits("e1", 1, "org"))
	require.Zero(t, l.s.HeldUnits("e3", 1, "org"))
}

// Symptom: a cap is overrun. Sequence: an entry lowers its share, and the proposal is held up; it raises the share again; the first
// proposal is committed after the second. Cause: a proposal that undid a later one: what the entry uses was free for others.
func TestLateProposalUndoesNoLaterOne(t *testing.T) {
	l := newShareLog(t)
	l.register("e1", 1)
	units(l.move("e1", 1, 1, 500))
	own, _ := units(l.move("e1", 1, 3, 800))
	require.EqualValues(t, 800, own)
	own, _ = units(l.move("e1", 1, 2, 100))
	require.EqualValues(t, 800, own, "the late one")
	own, _ = units(l.move("e1", 1, 3, 800))
	require.EqualValues(t, 800, own, "one that was sent again")
}

// Symptom: a cap is used twice in one window. Sequence: an entry that has used much is killed, or ended as silent; its share is
// free at once; others use it while what was used is in the window. Cause: a share that goes with its holder.
func TestShareOfAnEndedEntryStays(t *testing.T) {
	l := newShareLog(t)
	l.register("e1", 1)
	l.register("e2", 1)
	units(l.move("e1", 1, 1, 900))
	l.register("e1", 2)
	own, others := units(l.move("e1", 2, 1, 900))
	require.Equal(t, [2]uint64{100, 900}, [2]uint64{own, others})
	require.Equal(t, uint32(result.AttemptSuperseded), l.move("e1", 1, 2, 950).GetCode(), "the earlier start moves nothing any more")
	ended := l.s.SharesOfEndedEntries()
	require.Len(t, ended, 1)
	require.True(t, ended[0].GetReplaced())
	require.EqualValues(t, 8000, ended[0].GetWindowMs())

	l.end("e1", 2)
	require.Len(t, l.s.SharesOfEndedEntries(), 2)
	require.False(t, l.s.SharesOfEndedEntries()[1].GetReplaced(), "it may be cut off and live")

	l.release("e1", 1, 300)
	own, _ = units(l.move("e2", 1, 1, 900))
	require.EqualValues(t, 600, own)
	l.release("e1", 1, 800)
	require.EqualValues(t, 300, l.s.HeldUnits("e1", 1, "org"), "a release raises nothing")
	l.release("e1", 1, 0)
	l.release("e2", 1, 0)
	require.EqualValues(t, 600, l.s.HeldUnits("e2", 1, "org"), "nothing is taken from an entry that is listed")
	require.Len(t, l.s.SharesOfEndedEntries(), 1)
}

// A lower cap takes nothing from anybody; its holders scale what they use, and nothing is raised until there is room.
func TestNothingIsRaisedOverALowerCap(t *testing.T) {
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
	require.Zero(t, own, "an organisation that has no cap")
}

// Whatever is proposed in which order, by whom and how late, shares never add up to more than the highest cap there was, and
// a state that was restored from a snapshot goes on alike.
func TestSharesUnderDrawnCommands(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newShareLog(t)
		most, version := uint64(1000), uint64(1)
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
				most = max(most, amount/10*10)
			case "restore":
				l.s = Restore(l.s.Snapshot())
			}
			sum := uint64(0)
			for _, held := range l.s.HeldShares() {
				for _, share := range held.GetShares() {
					sum += share.GetUnits()
				}
			}
			require.Equal(t, sum, l.s.TotalHeldUnits("org"))
			require.LessOrEqual(t, sum, most)
		}
	})
}
