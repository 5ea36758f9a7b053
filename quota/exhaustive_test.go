package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawaypitch/carawaypitch/wire"
)

// smallWorld is two entries with a cap of six units, in which proposals are committed and heard of in any order, or never.
type smallWorld struct {
	*fleet
	proposed [2][]*wire.MoveShares
	last     [2]*wire.MoveShares // that was proposed
	decided  [2][]decision
	all      []*Cap // of every start there was: what a dead one used is in the window
	ledger   *Ledger
	releases *Releaser
	binds    time.Time // from when on a lower cap binds, zero while it isn't known everywhere
	changes  int       // rises with all that an action has done
}

// decision is a proposal with its result, on its way back.
type decision struct {
	move *wire.MoveShares
	res  *wire.CommandResult
}

const (
	smallCap     = 6
	smallRequest = 2
	// smallDepth is how many actions one after the other are tried, of each kind at each place.
	smallDepth = 4
)

func newSmallWorld(t *testing.T) *smallWorld {
	w := &smallWorld{fleet: newFleet(t, 0, windowOnly)}
	w.setCap(0, smallCap)
	w.ledger = NewLedger(func(string, time.Duration) float64 { return smallCap }, func(from Incarnation, name string) uint64 {
		return w.state.TotalHeldUnits(name) - w.state.HeldUnits(from.Instance, from.Number, name)
	})
	w.releases = NewReleaser(w.ledger)
	w.begin(0)
	w.begin(1)
	return w
}

func (w *smallWorld) begin(i int) {
	w.start(i)
	w.all = append(w.all, w.org[i])
}

// smallAction is something that may happen. It tells by w.changes whether it did.
type smallAction struct {
	name string
	do   func(w *smallWorld)
}

func smallActions() []smallAction {
	actions := []smallAction{
		{"half a window passes", func(w *smallWorld) { w.pass(4 * time.Second) }},
		{"a window passes", func(w *smallWorld) { w.pass(8*time.Second + w.org[0].step()) }},
		{"the leader releases", (*smallWorld).release},
		{"the cap is halved", (*smallWorld).halve},
	}
	for i := range 2 {
		name := entryName(i)
		actions = append(actions,
			smallAction{name + " takes", func(w *smallWorld) { w.take(i) }},
			smallAction{name + " takes, with a larger share if need be", func(w *smallWorld) { w.changed(w.request(i, smallRequest, onlyClass)) }},
			smallAction{name + " proposes", func(w *smallWorld) { w.propose(i) }},
			smallAction{name + "'s first proposal is committed", func(w *smallWorld) { w.decide(i, 0) }},
			smallAction{name + "'s last proposal is committed", func(w *smallWorld) { w.decide(i, len(w.proposed[i])-1) }},
			smallAction{name + " hears of it", func(w *smallWorld) { w.hear(i) }},
			smallAction{name + " takes the outcome for lost", func(w *smallWorld) { w.lose(i) }},
			smallAction{name + " tells its use", func(w *smallWorld) { w.tell(i) }},
			smallAction{name + " dies and starts again", func(w *smallWorld) { w.begin(i); w.changed(true) }},
			smallAction{name + " learns of the cap", func(w *smallWorld) { w.learn(i) }},
		)
	}
	return actions
}

func (w *smallWorld) changed(is bool) {
	if is {
		w.changes++
	}
}

func (w *smallWorld) pass(d time.Duration) {
	w.clock.pass(d)
	for _, c := range w.caps {
		c.RenewLease(w.clock.sinceBoot())
	}
	w.changed(true)
}

func (w *smallWorld) take(i int) {
	w.org[i].RecordDemand(smallRequest, onlyClass)
	if _, _, ok := w.org[i].Take(smallRequest, onlyClass); ok {
		w.changes++
		return
	}
	_, helps := w.org[i].AwaitShare(smallRequest)
	w.changed(helps)
}

func (w *smallWorld) propose(i int) {
	if move := w.caps[i].NextProposal(); move != nil {
		w.proposed[i] = append(w.proposed[i], move)
		w.last[i] = move
		w.changes++
	}
}

func (w *smallWorld) decide(i, at int) {
	if at < 0 || at >= len(w.proposed[i]) {
		return
	}
	move := w.proposed[i][at]
	w.proposed[i] = append(w.proposed[i][:at:at], w.proposed[i][at+1:]...)
	w.decided[i] = append(w.decided[i], decision{move, w.commit(move)})
	w.changes++
}

func (w *smallWorld) hear(i int) {
	if len(w.decided[i]) == 0 {
		return
	}
	first := w.decided[i][0]
	w.decided[i] = w.decided[i][1:]
	if first.move.GetIncarnation() == w.caps[i].incarnation {
		w.caps[i].ProposalEnded(first.move, first.res)
	}
	w.changes++
}

func (w *smallWorld) lose(i int) {
	if last := w.last[i]; w.caps[i].moving && last.GetIncarnation() == w.caps[i].incarnation {
		w.caps[i].ProposalEnded(last, nil)
		w.changes++
	}
}

func (w *smallWorld) tell(i int) {
	c := w.caps[i]
	poll := &wire.Poll{Usage: c.Usage(), UsageWindowMs: 8000, SinceBootMs: uint64(w.clock.sinceBoot().Milliseconds())}
	c.ApplyStates(w.ledger.Record(Incarnation{c.entry, c.incarnation}, poll, w.clock.now))
	w.changes++
}

func (w *smallWorld) release() {
	for _, command := range w.releases.Due(w.clock.now, w.state.SharesOfEndedEntries()) {
		w.apply(&wire.Command{Kind: &wire.Command_ReleaseShares{ReleaseShares: command}})
	}
	w.changes++
}

func (w *smallWorld) halve() {
	w.setCap(0, smallCap/2)
	w.binds = time.Time{}
	w.changes++
}

func (w *smallWorld) learn(i int) {
	if w.org[i].member != w.member {
		w.caps[i].Configure(w.member)
		w.changes++
	}
}

// most is what may be used in the window that ends now. A lower cap binds a window after all entries know of it.
func (w *smallWorld) most() float64 {
	lower := float64(w.member.GetBurst())
	if w.org[0].member != w.member || w.org[1].member != w.member {
		return smallCap
	}
	if w.binds.IsZero() {
		w.binds = w.clock.now.Add(w.tolerance.Window)
	}
	if w.clock.now.Before(w.binds) {
		return smallCap
	}
	return lower
}

// usedByAll is what every start there was has used in the window that ends now.
func (w *smallWorld) usedByAll() float64 {
	total := 0.0
	for _, u := range w.all {
		total += u.own()
	}
	return total
}

// TestSmallCapHoldsOnEveryPath tries every sequence of actions up to a depth, from states in which each entry holds something.
// Whatever is committed, heard, lost, late or dead in which order, no window sees more than the cap.
func TestSmallCapHoldsOnEveryPath(t *testing.T) {
	actions := smallActions()
	index := make(map[string]int, len(actions))
	for i, a := range actions {
		index[a.name] = i
	}
	const (
		take1, take2 = "e1 takes, with a larger share if need be", "e2 takes, with a larger share if need be"
		tell1, tell2 = "e1 tells its use", "e2 tells its use"
		propose1     = "e1 proposes"
		commit1      = "e1's first proposal is committed"
		lose1        = "e1 takes the outcome for lost"
		window       = "a window passes"
	)
	full1 := []string{take1, take1, take1}
	begins := map[string][]string{
		"nothing is held":                  {},
		"one holds all":                    full1,
		"each holds some":                  {take1, take2, tell1, tell2},
		"one lowers its share":             append(full1[:3:3], tell1, window, propose1, commit1),
		"a lower share is held up":         append(full1[:3:3], tell1, window, propose1, lose1, take1, take1, take1),
		"a larger share is heard of late":  {take1, tell1, "e1 takes", "e1 takes", "e1 takes", propose1, commit1, lose1, window, tell1, propose1, commit1, take2, take2},
		"a cap is halved that all is held": append(full1[:3:3], "the cap is halved", "e1 learns of the cap", "e2 learns of the cap", window),
	}
	for name, begin := range begins {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var path []int
			for _, action := range begin {
				path = append(path, index[action])
			}
			paths := explore(t, actions, path, smallDepth)
			require.Greater(t, paths, 10_000, "it is no exploration if little can happen")
			t.Logf("%d paths", paths)
		})
	}
}

// explore tries every action after a path, and after those all others up to a depth. It returns how many paths there were.
func explore(t *testing.T, actions []smallAction, path []int, depth int) int {
	paths := 0
	for next := range actions {
		w := newSmallWorld(t)
		for _, at := range path {
			actions[at].do(w)
			w.most()
		}
		before := w.changes
		actions[next].do(w)
		if w.changes == before {
			continue
		}
		paths++
		here := append(path[:len(path):len(path)], next)
		if used, most := w.usedByAll(), w.most(); used > most {
			var names []string
			for _, at := range here {
				names = append(names, actions[at].name)
			}
			require.LessOrEqual(t, used, most, "%q", names)
		}
		if depth > 1 {
			paths += explore(t, actions, here, depth-1)
		}
	}
	return paths
}
