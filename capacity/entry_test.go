package capacity

import (
	"testing"
	"time"

	"github.com/carawaypitch/carawaypitch/entry"
)

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
