package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// smallModel is two entries with a cap of six units, whose proposals are committed and answered in any order, or never.
type smallModel struct {
	*fleet
	proposed     [2][]*wire.MoveShares
	lastProposal [2]*wire.MoveShares // last proposal of each entry
	outcomes     [2][]decision
	allCaps      []*Cap // caps of all incarnations, since the use of a dead one is still in the window
	ledger       *Ledger
	releaser     *Releaser
	lowerCapFrom time.Time // when a lowered cap takes full effect, zero until all entries know it
	changes      int       // incremented by each action that has an effect
}

// decision is a proposal with its result, before the entry receives it.
type decision struct {
	move *wire.MoveShares
	res  *wire.CommandResult
}

const (
	smallCap     = 6
	smallRequest = 2
	// smallDepth is the number of consecutive actions that are explored.
	smallDepth = 4
)

func newSmallModel(t *testing.T) *smallModel {
	w := &smallModel{fleet: newFleet(t, 0, windowOnly)}
	w.setCap(0, smallCap)
	w.ledger = NewLedger(func(string, time.Duration) float64 { return smallCap }, func(from Incarnation, name string) (others, ended uint64) {
		return w.state.HeldByOthers(from.Instance, from.Number, name)
	})
	w.releaser = NewReleaser(w.ledger)
	w.startEntry(0)
	w.startEntry(1)
	return w
}

func (w *smallModel) startEntry(i int) {
	w.start(i)
	w.allCaps = append(w.allCaps, w.org[i])
}

// smallAction is a possible event. It increments smallModel.changes if it has an effect.
type smallAction struct {
	name string
	do   func(w *smallModel)
}

func smallActions() []smallAction {
	actions := []smallAction{
		{"half a window passes", func(w *smallModel) { w.advance(4 * time.Second) }},
		{"a window passes", func(w *smallModel) { w.advance(8*time.Second + w.org[0].slotDuration()) }},
		{"the leader releases shares", (*smallModel).releaseShares},
		{"the cap is halved", (*smallModel).halveCap},
	}
	for i := range 2 {
		name := entryName(i)
		actions = append(actions,
			smallAction{name + " takes units", func(w *smallModel) { w.take(i) }},
			smallAction{name + " takes units, raising its share if needed", func(w *smallModel) { w.countChange(w.request(i, smallRequest, onlyClass)) }},
			smallAction{name + " proposes", func(w *smallModel) { w.propose(i) }},
			smallAction{name + "'s first proposal is committed", func(w *smallModel) { w.commitProposal(i, 0) }},
			smallAction{name + "'s last proposal is committed", func(w *smallModel) { w.commitProposal(i, len(w.proposed[i])-1) }},
			smallAction{name + " receives the outcome", func(w *smallModel) { w.receiveOutcome(i) }},
			smallAction{name + " treats the outcome as lost", func(w *smallModel) { w.loseOutcome(i) }},
			smallAction{name + " reports its use", func(w *smallModel) { w.reportUse(i) }},
			smallAction{name + " is killed and restarts", func(w *smallModel) { w.startEntry(i); w.countChange(true) }},
			smallAction{name + " learns of the cap", func(w *smallModel) { w.learnCap(i) }},
		)
	}
	return actions
}

func (w *smallModel) countChange(hasEffect bool) {
	if hasEffect {
		w.changes++
	}
}

func (w *smallModel) advance(d time.Duration) {
	w.clock.advance(d)
	for _, c := range w.caps {
		c.RenewLease(w.clock.sinceBoot())
	}
	w.countChange(true)
}

func (w *smallModel) take(i int) {
	w.org[i].RecordDemand(smallRequest, onlyClass)
	if _, _, ok := w.org[i].Take(smallRequest, onlyClass); ok {
		w.changes++
		return
	}
	_, helps := w.org[i].AwaitShare(smallRequest)
	w.countChange(helps)
}

func (w *smallModel) propose(i int) {
	if move := w.caps[i].NextProposal(); move != nil {
		w.proposed[i] = append(w.proposed[i], move)
		w.lastProposal[i] = move
		w.changes++
	}
}

func (w *smallModel) commitProposal(i, at int) {
	if at < 0 || at >= len(w.proposed[i]) {
		return
	}
	move := w.proposed[i][at]
	w.proposed[i] = append(w.proposed[i][:at:at], w.proposed[i][at+1:]...)
	w.outcomes[i] = append(w.outcomes[i], decision{move, w.commit(move)})
	w.changes++
}

func (w *smallModel) receiveOutcome(i int) {
	if len(w.outcomes[i]) == 0 {
		return
	}
	first := w.outcomes[i][0]
	w.outcomes[i] = w.outcomes[i][1:]
	if first.move.GetIncarnation() == w.caps[i].incarnation {
		w.caps[i].ProposalEnded(first.move, first.res)
	}
	w.changes++
}

func (w *smallModel) loseOutcome(i int) {
	if last := w.lastProposal[i]; w.caps[i].proposing && last.GetIncarnation() == w.caps[i].incarnation {
		w.caps[i].ProposalEnded(last, nil)
		w.changes++
	}
}

func (w *smallModel) reportUse(i int) {
	c := w.caps[i]
	poll := &wire.Poll{Usage: c.Usage(), UsageWindowMs: 8000, SinceBootMs: uint64(w.clock.sinceBoot().Milliseconds())}
	c.ApplyStates(w.ledger.Record(Incarnation{c.entry, c.incarnation}, poll, w.clock.now))
	w.changes++
}

func (w *smallModel) releaseShares() {
	for _, command := range w.releaser.Due(w.clock.now, w.state.SharesOfEndedEntries()) {
		w.apply(&wire.Command{Kind: &wire.Command_ReleaseShares{ReleaseShares: command}})
	}
	w.changes++
}

func (w *smallModel) halveCap() {
	w.setCap(0, smallCap/2)
	w.lowerCapFrom = time.Time{}
	w.changes++
}

func (w *smallModel) learnCap(i int) {
	if w.org[i].member != w.member {
		w.caps[i].Configure(w.member)
		w.changes++
	}
}

// limit returns how much may be used in the window that ends now. A lowered cap takes full effect one window after all
// entries know it.
func (w *smallModel) limit() float64 {
	lower := float64(w.member.GetBurst())
	if w.org[0].member != w.member || w.org[1].member != w.member {
		return smallCap
	}
	if w.lowerCapFrom.IsZero() {
		w.lowerCapFrom = w.clock.now.Add(w.tolerance.Window)
	}
	if w.clock.now.Before(w.lowerCapFrom) {
		return smallCap
	}
	return lower
}

// usedByAll returns the use of all incarnations in the window that ends now.
func (w *smallModel) usedByAll() float64 {
	total := 0.0
	for _, u := range w.allCaps {
		total += u.localUse()
	}
	return total
}

// The cap must hold in every window for any order of commits, outcomes, losses, delays and restarts. All sequences of
// actions up to a depth are run, from states in which each entry holds a different share.
func TestSmallCapHoldsOnEveryPath(t *testing.T) {
	actions := smallActions()
	index := make(map[string]int, len(actions))
	for i, a := range actions {
		index[a.name] = i
	}
	const (
		take1, take2     = "e1 takes units, raising its share if needed", "e2 takes units, raising its share if needed"
		report1, report2 = "e1 reports its use", "e2 reports its use"
		propose1         = "e1 proposes"
		commit1          = "e1's first proposal is committed"
		lose1            = "e1 treats the outcome as lost"
		window           = "a window passes"
	)
	full1 := []string{take1, take1, take1}
	prefixes := map[string][]string{
		"nothing is held":                        {},
		"one holds all":                          full1,
		"each holds some":                        {take1, take2, report1, report2},
		"one lowers its share":                   append(full1[:3:3], report1, window, propose1, commit1),
		"the outcome of a lowered share is lost": append(full1[:3:3], report1, window, propose1, lose1, take1, take1, take1),
		"the outcome of a raised share is late":  {take1, report1, "e1 takes units", "e1 takes units", "e1 takes units", propose1, commit1, lose1, window, report1, propose1, commit1, take2, take2},
		"a fully held cap is halved":             append(full1[:3:3], "the cap is halved", "e1 learns of the cap", "e2 learns of the cap", window),
	}
	for name, prefix := range prefixes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var path []int
			for _, action := range prefix {
				path = append(path, index[action])
			}
			paths := explore(t, actions, path, smallDepth)
			require.Greater(t, paths, 10_000, "too few actions had an effect")
			t.Logf("%d paths", paths)
		})
	}
}

// explore runs every sequence of up to depth actions after a path, and returns the number of sequences that had an
// effect.
func explore(t *testing.T, actions []smallAction, path []int, depth int) int {
	paths := 0
	for next := range actions {
		w := newSmallModel(t)
		for _, at := range path {
			actions[at].do(w)
			w.limit()
		}
		before := w.changes
		actions[next].do(w)
		if w.changes == before {
			continue
		}
		paths++
		nextPath := append(path[:len(path):len(path)], next)
		if used, limit := w.usedByAll(), w.limit(); used > limit {
			var names []string
			for _, at := range nextPath {
				names = append(names, actions[at].name)
			}
			require.LessOrEqual(t, used, limit, "%q", names)
		}
		if depth > 1 {
			paths += explore(t, actions, nextPath, depth-1)
		}
	}
	return paths
}
