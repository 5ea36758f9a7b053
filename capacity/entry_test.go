package capacity

import (
	"context"
	"testing"
	"time"

	"github.com/carawaypitch/carawaypitch/dev"
	"github.com/carawaypitch/carawaypitch/entry"
	"github.com/carawaypitch/carawaypitch/session"
	"github.com/carawaypitch/carawaypitch/wire"
)

// fixedControl is an entry's session whose view never changes, so that what is measured is the links.
type fixedControl struct{ view *session.View }

func (c *fixedControl) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}

func (c *fixedControl) Propose(context.Context, *wire.Command) (*wire.CommandResult, error) {
	return new(wire.CommandResult), nil
}

func (c *fixedControl) View() *session.View              { return c.view }
func (c *fixedControl) Subscribe(fn func(*session.View)) { fn(c.view) }
func (c *fixedControl) Ready() error                     { return nil }
func (c *fixedControl) CutOff() error                    { return nil }
func (c *fixedControl) ObserveVersion(uint64) bool       { return true }

func fixedView(addresses []string) *session.View {
	view := &session.View{
		ConfigVersion: 1, DirectoryVersion: 1,
		Classes: make(map[string]*wire.Class),
		Agents:  make(map[string]*wire.AgentRecord),
		Entries: make(map[string]*wire.EntryRecord),
	}
	for _, class := range dev.SampleClasses() {
		view.Classes[class.Name] = &wire.Class{
			Name: class.Name, Tier: uint32(class.Tier), DeadlineMs: uint32(class.DeadlineMS), Kind: class.Kind,
		}
	}
	for i, address := range addresses {
		view.Agents[agentName(i)] = agentRecord(i, address)
	}
	return view
}

// linkedEntry starts an entry with links to so many agents.
func linkedEntry(t *table, rig *Rig, agents int) {
	t.b.Helper()
	reply, err := rig.Far.Do(Order{Do: doAgents, Count: agents})
	t.must(err)
	options := entry.Options{
		Network: rig.Net, Log: silent(), Seed: 1, Control: &fixedControl{fixedView(reply.Addresses)},
	}
	e, err := entry.New(entrySettings([]string{loopback}), options)
	t.must(err)
	rig.Run(e.Run)
	_, err = rig.Far.Do(Order{Do: doLinked})
	t.must(err)
	time.Sleep(settle)
}

// BenchmarkEntryLinks measures an entry without requests by its links to agents, which carry heartbeats.
func BenchmarkEntryLinks(b *testing.B) {
	for b.Loop() {
		t := newTable(b, "agent")
		for _, agents := range []int{0, 20, 50, 100, 200, 400} {
			measureEntryLinks(t, agents)
		}
		t.report()
	}
}

func measureEntryLinks(t *table, agents int) {
	t.b.Helper()
	rig, done := newRig(t.b)
	defer done()
	before := Memory()
	linkedEntry(t, rig, agents)
	rate, err := rig.Idle(window)
	t.must(err)
	t.addRate(float64(agents), "idle-", rate)
	t.add(float64(agents), "memory-B", Memory()-before)
}

// BenchmarkEntryAllLinks measures an entry with a link to each agent of the target, to check where the line of
// BenchmarkEntryLinks leads.
func BenchmarkEntryAllLinks(b *testing.B) {
	for b.Loop() {
		t := newTable(b, "agent")
		for _, agents := range []int{400, Beside().Agents} {
			measureEntryLinks(t, agents)
		}
		t.report()
	}
}

// BenchmarkEntryRoom measures what an entry spends on the messages by which agents tell their room. The size is
// messages a second from all of 100 agents.
func BenchmarkEntryRoom(b *testing.B) {
	const agents = 100
	for b.Loop() {
		t := newTable(b, "message")
		rig, done := newRig(b)
		linkedEntry(t, rig, agents)
		for _, each := range []float64{0, 5, 10, 20, 40} {
			_, err := rig.Far.Do(Order{Do: doRoom, Rate: each})
			t.must(err)
			time.Sleep(settle)
			rate, err := rig.Idle(window)
			t.must(err)
			t.addRate(each*agents, "", rate)
		}
		done()
		t.report()
	}
}
