package capacity

import (
	"testing"
	"time"

	"github.com/carawaypitch/carawaypitch/agent"
)

// BenchmarkAgentEntries measures an agent with one backend server at rest, by the entries that are linked to it. Its
// session with one control instance and its probes of the server are in the cost at 0.
func BenchmarkAgentEntries(b *testing.B) {
	for b.Loop() {
		t := newTable(b, "entry")
		for _, entries := range []int{1, 25, 50, 100, 200, 390} {
			measureAgentEntries(t, entries)
		}
		t.report()
	}
}

func measureAgentEntries(t *table, entries int) {
	t.b.Helper()
	rig, done := newRig(t.b)
	defer done()
	controls := farControls(t, rig)
	a := runAgent(t, rig, controls)
	_, err := rig.Far.Do(Order{Do: doEngine, First: 0, Addresses: []string{"http://" + a.HTTPAddr()}})
	t.must(err)
	before := Memory()
	_, err = rig.Far.Do(Order{
		Do: doEntries, Count: entries, Controls: controls, Name: agentName(0), Addresses: []string{a.LinkAddr()},
	})
	t.must(err)
	time.Sleep(settle)
	first, err := rig.Far.Do(Order{Do: doUsage})
	t.must(err)
	rate, err := rig.Idle(window)
	t.must(err)
	last, err := rig.Far.Do(Order{Do: doUsage})
	t.must(err)
	t.addRate(float64(entries), "idle-", rate)
	t.add(float64(entries), "idle-rooms/s", float64(last.Count-first.Count)/window.Seconds())
	t.add(float64(entries), "memory-B", Memory()-before)
}

// farControls starts one control instance on the far side.
func farControls(t *table, rig *Rig) []string {
	t.b.Helper()
	group, err := freeAddresses(1)
	t.must(err)
	_, err = rig.Far.Do(Order{Do: doControls, Count: 1, Controls: group, Folder: t.b.TempDir()})
	t.must(err)
	return group
}

// runAgent runs agent 0 here.
func runAgent(t *table, rig *Rig, controls []string) *agent.Agent {
	t.b.Helper()
	a, err := agent.New(agentSettings(0, controls), agent.Options{Network: rig.Net, Log: silent()})
	t.must(err)
	rig.Run(a.Run)
	return a
}
