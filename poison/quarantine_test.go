package poison_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A request that crashes every engine that runs it, repeated every second with a new request ID at changing entries,
// must be refused by all entries after its third crash. Each repetition is a new request to its entry, so crashes have
// to be known to all entries by the request's content. Otherwise it goes on: in a simulated day, at each of some 50
// crashes one request runs that also ran at the crash before, under another ID and mostly at another entry, each time
// at its first attempt.
func TestRequestThatCrashesServersIsQuarantined(t *testing.T) {
	runFleet(t, func(f *fleet) {
		stopRecording := f.recordCrashTimes()
		for i := range 20 {
			f.chat(i%entries, "compost", poisonPrompt)
			time.Sleep(time.Second)
		}
		times := stopRecording()
		require.GreaterOrEqual(f.t, len(times), 3, "the request reaches engines until its crashes are known")
		retries := 0
		for _, at := range times[3:] {
			if at.Sub(times[2]) > propagationDelay {
				retries++
			}
		}
		require.LessOrEqual(f.t, retries, 3, "retries later than the propagation delay after the third crash; crashes at %v", times)

		f.disableFaults()
		for i := range entries {
			require.True(f.t, f.chat(i, "compost", poisonPrompt).isQuarantined(), "the request is refused at once")
			require.Equal(f.t, http.StatusOK, f.chat(i, "compost", poisonPrompt+" of another kind").status, "another body")
			require.Equal(f.t, http.StatusOK, f.chat(i, "yatai", poisonPrompt).status, "another caller")
		}
	})
}

// quarantine repeats the poison request at one entry until all entries refuse it, and returns the number of engine
// crashes by then.
func (f *fleet) quarantine(index int) int {
	f.t.Helper()
	for before := f.crashCount(); f.crashCount() < before+3; {
		f.chat(index, "compost", poisonPrompt)
		time.Sleep(engineDowntime)
	}
	time.Sleep(propagationDelay)
	f.requireRefusedByAll()
	return f.crashCount()
}

func (f *fleet) requireRefusedByAll() {
	f.t.Helper()
	for i := range f.entries {
		require.True(f.t, f.chat(i, "compost", poisonPrompt).isQuarantined(), "entry %d", i)
	}
}

// A quarantine must survive the restart of the entry that saw the crashes, a rolling restart of the control instances,
// and a restart of all of them at once. It is lost if the crashes are known to one process only, or are kept only in
// memory.
func TestQuarantineSurvivesRestarts(t *testing.T) {
	runFleet(t, func(f *fleet) {
		crashes := f.quarantine(0)

		f.entries[0].stop()
		f.startEntry(0)
		f.awaitEntry(0)
		f.requireRefusedByAll()

		for i := range f.controls {
			f.controls[i].stop()
			time.Sleep(propagationDelay)
			f.requireRefusedByAll()
			f.startControl(i)
			time.Sleep(propagationDelay)
		}
		for _, c := range f.controls {
			c.stop()
		}
		for i := range f.controls {
			f.startControl(i)
		}
		f.entries[1].stop()
		f.startEntry(1)
		f.awaitEntry(1)
		f.requireRefusedByAll()
		require.Equal(f.t, crashes, f.crashCount())
	})
}

// Crashes that an entry saw while control was unavailable must be reported once control is back. Otherwise every other
// entry would lose servers to the same request again.
func TestCrashesSeenWithoutControlAreReportedLater(t *testing.T) {
	runFleet(t, func(f *fleet) {
		for _, c := range f.controls {
			c.stop()
		}
		for range 3 {
			f.chat(0, "compost", poisonPrompt)
		}
		seen := f.crashCount()
		require.GreaterOrEqual(f.t, seen, 1)
		for i := range f.controls {
			f.startControl(i)
		}
		f.awaitLeader()
		time.Sleep(propagationDelay)
		for range 3 {
			f.chat(1, "compost", poisonPrompt)
			time.Sleep(engineDowntime)
		}
		require.LessOrEqual(f.t, f.crashCount(), max(seen, 3), "crashes seen without control count")
		f.requireRefusedByAll()
	})
}

// Harmless requests must not be refused because they ran on engines that another request crashed, each of them losing
// its engine once or more. This happens if every request that runs at a crash counts as its cause.
func TestRequestsNextToPoisonRequestAreServed(t *testing.T) {
	runFleet(t, func(f *fleet) {
		stop := make(chan struct{})
		var callers sync.WaitGroup
		var mu sync.Mutex
		requested := make(map[string]int)
		refused := make(map[string]int)
		for c := range 18 {
			callers.Go(func() {
				for n := 0; ; n++ {
					select {
					case <-stop:
						return
					default:
					}
					text := fmt.Sprintf("question %d of caller %d", n%3, c)
					time.Sleep(callerPause)
					got := f.chat(c%entries, "compost", text)
					mu.Lock()
					requested[text]++
					if got.isQuarantined() {
						refused[text]++
					}
					mu.Unlock()
				}
			})
		}
		for i := range 8 {
			f.chat(i%entries, "compost", poisonPrompt)
			f.chat((i+1)%entries, "compost", fmt.Sprint(poisonPrompt, " number ", i%2))
			time.Sleep(time.Second)
		}
		close(stop)
		callers.Wait()
		require.GreaterOrEqual(f.t, f.crashCount(), 6)
		require.Empty(f.t, refused, "of %d distinct requests", len(requested))
		f.disableFaults()
		for text := range requested {
			require.Equal(f.t, http.StatusOK, f.chat(0, "compost", text).status, text)
		}
		f.requireRefusedByAll()
	})
}

// A request that many callers send must not be refused because many engines fail at once for another reason, such as a
// rack losing power. It runs on more than three of the failed engines; a crash must not count against a request that
// was answered a moment before.
func TestUnrelatedServerFailuresDoNotQuarantine(t *testing.T) {
	runFleet(t, func(f *fleet) {
		end := f.repeat(24, func(c, _ int) answer { return f.chat(c%entries, "yatai", "what many ask") })
		for i := range 8 {
			time.Sleep(time.Second)
			for j := range engines / 2 {
				f.engines[(i%2)*engines/2+j].Crash(engineDowntime / 2)
			}
		}
		quarantined, served := countHeld(end())
		require.Positive(f.t, served)
		require.Zero(f.t, quarantined, "of %d served", served)
	})
}
