package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/carawaypitch/carawaypitch/sched"
	"github.com/carawaypitch/carawaypitch/settings"
	"github.com/carawaypitch/carawaypitch/wire"
)

// schedule is a scheduler without an entry around it.
type schedule struct {
	t    *table
	s    *sched.Scheduler
	now  time.Time
	next int
}

// scheduleModels is over how many models the servers are spread.
const scheduleModels = 25

// newSchedule makes a scheduler with so many servers that have no room, and so many requests that wait for it.
func newSchedule(t *table, servers, queued, organisations int) *schedule {
	t.b.Helper()
	s, err := sched.New(sched.Options{MaxQueued: queued + 1000, Seed: 1})
	t.must(err)
	w := &schedule{t: t, s: s, now: time.Unix(1_700_000_000, 0)}
	w.step(sched.Directory{Agents: directory(servers)})
	for i := range servers {
		w.step(sched.AgentUp{Hello: &wire.AgentHello{Agent: agentName(i), Incarnation: 1}})
		w.room(i, 0)
	}
	for range queued {
		w.arrive(organisations)
	}
	return w
}

// directory is a directory of agents with one backend server and one model each.
func directory(servers int) []*wire.AgentRecord {
	var agents []*wire.AgentRecord
	for i := range servers {
		agents = append(agents, agentRecord(i, "10.20.30.40:7100"))
		agents[i].Servers[0].Models = []string{modelName(i)}
	}
	return agents
}

func modelName(i int) string { return fmt.Sprint("model-", i%scheduleModels) }

func (w *schedule) step(e sched.Event) []sched.Action { return w.s.Step(w.now, e) }

func (w *schedule) room(agent int, running uint32) {
	message := roomMessage(agent, 0)
	message.GetRoom().Targets = []string{modelName(agent)}
	message.GetRoom().Running = running
	w.step(sched.Received{Agent: agentName(agent), Incarnation: 1, Message: message})
}

func (w *schedule) arrive(organisations int) {
	w.next++
	class := &wire.Class{
		Name: fmt.Sprint("class-", w.next%settings.LowestTier), Tier: uint32(w.next%settings.LowestTier) + 1,
		DeadlineMs: 600_000, LateMax: 0.5, Repeatable: true, Kind: settings.KindModel,
	}
	w.step(sched.Arrive{Request: &sched.Request{
		ID: fmt.Sprint("r", w.next), Organisation: fmt.Sprint("organisation-", w.next%organisations), Class: class,
		Target: modelName(w.next), PromptTokens: 200, Arrived: w.now, Deadline: w.now.Add(10 * time.Minute),
	}})
}

// measure notes the time of a tick, of a message about room, of an arrival with the caller's leave after it, and of
// a new directory.
func (w *schedule) measure(size float64, servers, organisations int) {
	const steps = 2000
	clock := func(name string, work func(n int)) { w.t.add(size, name, nanoseconds(w.t, steps, work)) }
	clock("tick-ns", func(int) {
		w.now = w.now.Add(time.Microsecond)
		w.step(sched.Tick{})
	})
	clock("room-ns", func(n int) { w.room(n%servers, uint32(n/servers%2)) })
	clock("arrive-leave-ns", func(int) {
		w.arrive(organisations)
		w.step(sched.CallerLeft{Request: fmt.Sprint("r", w.next)})
	})
	const directories = 50
	agents := directory(servers)
	w.t.add(size, "directory-ns", nanoseconds(w.t, directories, func(int) { w.step(sched.Directory{Agents: agents}) }))
}

// BenchmarkSchedule measures steps of an entry's scheduler by servers, by waiting requests and by organisations.
func BenchmarkSchedule(b *testing.B) {
	run := func(size string, sizes []int, make func(*table, int) (w *schedule, servers, organisations int)) {
		b.Run(size, func(b *testing.B) {
			for b.Loop() {
				t := newTable(b, size)
				for _, n := range sizes {
					before := Memory()
					w, servers, organisations := make(t, n)
					t.add(float64(n), "memory-B", Memory()-before)
					w.measure(float64(n), servers, organisations)
				}
				t.report()
			}
		})
	}
	run("server", []int{50, 100, 200, 400, 1700}, func(t *table, n int) (*schedule, int, int) {
		return newSchedule(t, n, 500, 20), n, 20
	})
	run("queued", []int{500, 1000, 2000, 4000}, func(t *table, n int) (*schedule, int, int) {
		return newSchedule(t, 200, n, 20), 200, 20
	})
	run("organisation", []int{20, 55, 110, 220}, func(t *table, n int) (*schedule, int, int) {
		return newSchedule(t, 200, 2000, n), 200, n
	})
}
