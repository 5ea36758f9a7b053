package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/carawaypitch/carawaypitch/sched"
)

// measure notes the time of a tick, of a message about room, of an arrival with the caller's leave after it, and of
// a new directory.
func (w *schedule) measure(t *table, size float64, servers, organisations int) {
	t.b.Helper()
	const steps = 2000
	clock := func(name string, work func(n int)) { t.add(size, name, nanoseconds(t, steps, work)) }
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
	t.add(size, "directory-ns", nanoseconds(t, directories, func(int) { w.step(sched.Directory{Agents: agents}) }))
}

// BenchmarkSchedule measures steps of an entry's scheduler by servers, by waiting requests and by organisations.
func BenchmarkSchedule(b *testing.B) {
	run := func(size string, sizes []int, shape func(n int) (servers, queued, organisations int)) {
		b.Run(size, func(b *testing.B) {
			for b.Loop() {
				t := newTable(b, size)
				for _, n := range sizes {
					before := Memory()
					servers, queued, organisations := shape(n)
					w, err := newSchedule(servers, queued, organisations)
					t.must(err)
					t.add(float64(n), "memory-B", Memory()-before)
					w.measure(t, float64(n), servers, organisations)
				}
				t.report()
			}
		})
	}
	run("server", []int{50, 100, 200, 400, 1700}, func(n int) (int, int, int) { return n, 500, 20 })
	run("queued", []int{500, 1000, 2000, 4000}, func(n int) (int, int, int) { return 200, n, 20 })
	run("organisation", []int{20, 55, 110, 220}, func(n int) (int, int, int) { return 200, 2000, n })
}
