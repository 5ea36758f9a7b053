package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/carawaypitch/carawaypitch/state"
	"github.com/carawaypitch/carawaypitch/wire"
)

// Load of an entry in the tests of this file.
const (
	scaleRequestsPerSecond = 2.5
	scaleUnits             = 1500
	scaleStep              = 50 * time.Millisecond
)

// scaleFleet is a deployment with many entries and organisations. Each request goes to a random organisation, so an
// entry sees a given organisation only once in minutes.
type scaleFleet struct {
	clock         *capClock
	random        *rand.Rand
	state         *state.State
	index         uint64
	ledger        *Ledger
	organisations []string
	caps          []*Caps
	cap           []map[string]*Cap // by entry
	requests      int
	refused       int
	proposals     int // number of proposals
	shares        int // number of shares in them
	reportBytes   int
	reported      int // number of organisations in all reports
	polls         int
}

func newScaleFleet(t *testing.T, entries, organisations int) *scaleFleet {
	f := &scaleFleet{
		clock:  &capClock{now: time.Unix(1_700_000_000, 0)},
		random: rand.New(rand.NewPCG(1, 2)),
		state:  state.New(),
	}
	f.ledger = NewLedger(
		func(string, time.Duration) float64 { return 180_000 },
		func(from Incarnation, name string) (others, ended uint64) {
			return f.state.HeldByOthers(from.Instance, from.Number, name)
		},
	)
	desired := &wire.DesiredState{Version: 1}
	for i := range organisations {
		name := fmt.Sprint("organisation-", i)
		f.organisations = append(f.organisations, name)
		desired.Organisations = append(desired.Organisations, &wire.Member{
			Name: name, Keys: []string{name}, RatePerS: 8_000, Burst: 116_000,
		})
	}
	res := f.apply(&wire.Command{Kind: &wire.Command_PutDesiredState{PutDesiredState: &wire.PutDesiredState{Desired: desired}}})
	require.Zero(t, res.GetCode())
	for i := range entries {
		f.start(t, i, entries, desired)
	}
	return f
}

func (f *scaleFleet) start(t *testing.T, i, entries int, desired *wire.DesiredState) {
	name := entryName(i)
	res := f.apply(&wire.Command{Kind: &wire.Command_RegisterEntry{RegisterEntry: &wire.RegisterEntry{
		Entry: &wire.EntryRecord{Entry: name, Incarnation: 1},
	}}})
	require.Zero(t, res.GetCode())
	caps := NewCaps(name, 1, Clock{f.clock.Now, f.clock.sinceBoot}, windowOnly)
	caps.SetEntries(entries)
	byName := make(map[string]*Cap)
	for _, member := range desired.GetOrganisations() {
		byName[member.GetName()] = caps.Configure(member)
	}
	f.caps = append(f.caps, caps)
	f.cap = append(f.cap, byName)
}

func (f *scaleFleet) apply(command *wire.Command) *wire.CommandResult {
	f.index++
	return f.state.Apply(f.index, command)
}

// propose commits the entry's next proposal, if it has one.
func (f *scaleFleet) propose(i int) {
	move := f.caps[i].NextProposal()
	if move == nil {
		return
	}
	f.proposals++
	f.shares += len(move.GetShares())
	f.caps[i].ProposalEnded(move, f.apply(&wire.Command{Kind: &wire.Command_MoveShares{MoveShares: move}}))
}

func (f *scaleFleet) poll(i int) {
	poll := &wire.Poll{Usage: f.caps[i].Usage(), UsageWindowMs: uint32(windowOnly.Window.Milliseconds())}
	f.polls++
	f.reported += len(poll.GetUsage())
	f.reportBytes += proto.Size(poll)
	f.caps[i].RenewLease(f.clock.sinceBoot())
	f.caps[i].ApplyStates(f.ledger.Record(Incarnation{entryName(i), 1}, poll, f.clock.now))
}

// request handles a request like an entry does.
func (f *scaleFleet) request(i int) {
	u := f.cap[i][f.organisations[f.random.IntN(len(f.organisations))]]
	f.requests++
	u.RecordDemand(scaleUnits, onlyClass)
	if _, _, ok := u.Take(scaleUnits, onlyClass); ok {
		return
	}
	if _, helps := u.AwaitShare(scaleUnits); helps {
		f.propose(i)
		if _, _, ok := u.Take(scaleUnits, onlyClass); ok {
			return
		}
	}
	f.refused++
}

// run advances the clock by the given time. Entries check their shares and poll as often as in a deployment. Each entry
// gets requests at the given rate.
func (f *scaleFleet) run(d time.Duration, requestsPerSecond float64) {
	for step := range int(d / scaleStep) {
		f.clock.advance(scaleStep)
		for i := range f.caps {
			if step%int(MoveInterval/scaleStep) == i%int(MoveInterval/scaleStep) {
				f.propose(i)
			}
			if step%int(time.Second/scaleStep) == i%int(time.Second/scaleStep) {
				f.poll(i)
			}
			if f.random.Float64() < requestsPerSecond*scaleStep.Seconds() {
				f.request(i)
			}
		}
	}
}

// scaleSizes are the sizes at which the growth of costs is measured: entries and organisations double together.
var scaleSizes = []struct{ entries, organisations int }{{40, 40}, {80, 80}, {160, 160}}

// Guards against shares that every entry holds of the cap of every organisation, although none of them admits a
// request. 361 entries with 333 organisations proposed 120,000 shares at once and again with each timeout, until the
// control instances ran out of memory.
func TestIdleOrganisationsCostNoProposals(t *testing.T) {
	for _, size := range scaleSizes {
		f := newScaleFleet(t, size.entries, size.organisations)
		f.run(3*time.Second, 0)
		require.Zero(t, f.shares, "%d entries before the first request", size.entries)
		require.Zero(t, f.reported, "%d entries before the first request", size.entries)
	}
}

// Guards against proposals and reports that grow with entries times organisations. With the same requests at each
// entry, an entry's cost may not depend on the size of the deployment.
func TestCostOfCapsFollowsRequests(t *testing.T) {
	const (
		// A request takes one raise, and one lowering when its use has left the window.
		maxSharesPerRequest = 3
		// Lower shares go with the next raise, or once a second.
		maxProposalsPerRequest = 1.5
		maxReportBytes         = 2 << 10
	)
	for _, size := range scaleSizes {
		f := newScaleFleet(t, size.entries, size.organisations)
		f.run(20*time.Second, scaleRequestsPerSecond)
		require.Greater(t, f.requests, 40*size.entries)
		require.LessOrEqual(t, f.refused, f.requests/100, "%d entries: refused", size.entries)
		require.LessOrEqual(t, f.shares, maxSharesPerRequest*f.requests, "%d entries: shares", size.entries)
		require.LessOrEqual(t, float64(f.proposals), maxProposalsPerRequest*float64(f.requests), "%d entries: proposals", size.entries)
		require.LessOrEqual(t, f.reportBytes/f.polls, maxReportBytes, "%d entries: bytes of a report", size.entries)
	}
}

// BenchmarkLedgerRecord measures a report to the ledger at several sizes of the deployment.
func BenchmarkLedgerRecord(b *testing.B) {
	for _, size := range []int{90, 180, 361, 722} {
		b.Run(fmt.Sprint(size, "-entries"), func(b *testing.B) {
			l := NewLedger(func(string, time.Duration) float64 { return 1 }, func(Incarnation, string) (others, ended uint64) { return 0, 0 })
			now := time.Unix(1_700_000_000, 0)
			random := rand.New(rand.NewPCG(1, 2))
			polls := make([]*wire.Poll, size)
			for i := range polls {
				polls[i] = &wire.Poll{UsageWindowMs: 8000}
				for range 20 {
					name := fmt.Sprint("organisation-", random.IntN(size))
					polls[i].Usage = append(polls[i].Usage, &wire.Usage{Organisation: name, Used: 1500})
				}
				l.Record(Incarnation{entryName(i), 1}, polls[i], now)
			}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				l.Record(Incarnation{entryName(n % size), 1}, polls[n%size], now)
			}
		})
	}
}
